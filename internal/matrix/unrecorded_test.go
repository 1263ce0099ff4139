package matrix

import (
	"testing"
	"testing/synctest"
	"time"

	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// TestUnrecordedJobIsNotLost checks that a job accepted while the log is unavailable
// completes even if its agent dies before the log is available again, that is, while the
// job is not recorded in the log.
func TestUnrecordedJobIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		defer d.close()
		d.ready()
		d.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(5 * time.Second)
		e := d.entries[0].entry
		status, err := e.Submit(t.Context(), entry.Submission{ID: "mockup", Team: "beta", Class: "mockup"})
		if err != nil || status.State != shop.Running {
			t.Fatalf("Submit: %q, %v", status.State, err)
		}
		time.Sleep(time.Second)
		d.agentOf(message{}).kill()
		time.Sleep(15 * time.Second)
		d.log.SetFaults(standin.LogFaults{})
		time.Sleep(5 * time.Second)
		for _, n := range d.entries {
			status, err = n.entry.Wait(t.Context(), "beta", "mockup", 30*time.Second)
			if err != nil || status.State != shop.Done {
				t.Errorf("Wait at %s: %q, %v", n.name, status.State, err)
			}
		}
	})
}
