package matrix

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestLeaveOverSilentConnection checks that a leaving is known in time although
// every open connection between the agent and the entries has gone silent.
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
					t.Errorf("%s does not know that %s leaves", e.name, n.name)
				}
			}
		}
	})
}
