package matrix

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestLeaveOverSilentConnection checks that every entry learns within maxSpreadTime that an
// agent leaves, even if all open connections between them have silently stopped working.
func TestLeaveOverSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		defer d.close()
		d.ready()
		n := d.agents[1]
		d.silenceConnections(n.name, message{})
		ctx, cancel := context.WithTimeout(t.Context(), maxSpreadTime)
		defer cancel()
		go func() { _ = n.agent.Leave(ctx) }()
		time.Sleep(maxSpreadTime)
		for _, e := range d.entries {
			for _, w := range e.entry.Workers() {
				if w.State.Name == n.name && !w.State.Leaving {
					t.Errorf("%s does not know that %s is leaving", e.name, n.name)
				}
			}
		}
	})
}
