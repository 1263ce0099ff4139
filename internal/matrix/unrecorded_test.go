package matrix

import (
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
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

// TestAttemptWithoutLogIsRecorded checks that an attempt that was started while the log was unavailable,
// of a job that was already in the log, is claimed there once the log is back. A planner that starts anew
// would otherwise start the job a second time before it hears of the attempt from its agents.
func TestAttemptWithoutLogIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 1)
		defer d.close()
		d.ready()
		for _, a := range d.agents {
			a.kill()
		}
		e := d.entries[0].entry
		status, err := e.Submit(t.Context(), entry.Submission{ID: "mockup", Team: "beta", Class: "mockup"})
		if err != nil {
			t.Fatalf("Submit: %q, %v", status.State, err)
		}
		time.Sleep(2 * time.Second)
		d.log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(5 * time.Second)
		for _, a := range d.agents {
			a.start()
		}
		d.await("a start without the log", func() bool { return len(d.spans("beta/mockup")) > 0 })
		started := d.spans("beta/mockup")[0].Attempt
		d.log.SetFaults(standin.LogFaults{})
		time.Sleep(5 * time.Second)
		if got := d.recordedAttempt(t, "beta/mockup"); got < int(started) {
			t.Errorf("attempt %d runs, and the newest in the log is %d", started, got)
		}
	})
}

// recordedAttempt returns the highest attempt of a job in the log.
func (d *deployment) recordedAttempt(t *testing.T, job string) int {
	t.Helper()
	resp, err := d.log.Read(t.Context(), connect.NewRequest(&sniperillv1.ReadRequest{Stream: platform.JobStream}))
	if err != nil {
		t.Fatal(err)
	}
	attempt := 0
	for _, data := range resp.Msg.GetRecords() {
		r, err := platform.DecodeRecord(data.GetData())
		if err == nil && r.Job != nil && r.Job.ID == job {
			attempt = max(attempt, r.Job.Attempt)
		}
	}
	return attempt
}
