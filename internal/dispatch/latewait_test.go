package dispatch_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/shop"
)

// A worker has restarted under its id, and ends for good before a stop of the run of the lifetime before reached it.
// Its agent restarts, and knows only its last heartbeat.
func TestTaskOfDeadNextLifetimeRunsElsewhere(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		checker := c.watchRuns()
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(5, 8))
		time.Sleep(time.Second)
		a := c.agents[0]
		refuseStop := func() error { return host.ErrUnhealthy }
		a.refuseStop.Store(&refuseStop)
		next := c.restartWorker(a, 2, checker)
		time.Sleep(2 * time.Second) // Until the planner knows the next lifetime.
		a.mute.Store(true)
		last := next.Heartbeat("s", "r1-0", 100)
		next.Crash()
		c.restartAgent(a)
		if err := a.process.Heartbeat(c.ctx, last); err != nil {
			t.Fatal(err)
		}
		c.await(60*time.Second, shop.Done, "a")
		c.reportViolations(checker)
	})
}
