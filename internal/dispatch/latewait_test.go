package dispatch_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/shop"
)

// A worker whose task has long been in its reports leaves; nothing listens at its address.
func TestTaskOfLeftWorkerDoesNotWaitForLateStart(t *testing.T) {
	for _, ran := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(ran.String(), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "batch", task(20, 8))
				time.Sleep(ran)
				a := c.agents[0]
				a.mute.Store(true)
				leaving := a.machine.Executor().Heartbeat("s", "r1-0", 100)
				leaving.Draining = true
				if err := a.process.Heartbeat(c.ctx, leaving); err != nil {
					t.Fatal(err)
				}
				a.process.Leave(leaving.Lifetime.ID)
				a.machine.Executor().Crash()
				left := time.Now()
				for c.runs.count("a.0.0.0") == 1 && time.Since(left) < time.Minute {
					time.Sleep(5 * time.Millisecond)
				}
				if waited := time.Since(left); waited > time.Second {
					t.Errorf("the task started again %v after its worker left, want at most 1s", waited)
				}
				c.reportViolations(checker)
			})
		})
	}
}

// Orders with starts take long, as they are larger than other calls.
func TestTaskStartsThoughOrdersTakeLong(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 1400 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				checker := c.watchRuns()
				for _, e := range c.entries {
					e.agents.delayOrders(delay)
				}
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "batch", task(5, 8))
				time.Sleep(20 * time.Second)
				if n := c.runs.count("a.0.0.0"); n != 1 {
					t.Errorf("%d starts within 20 s, want 1", n)
				}
				c.reportViolations(checker)
			})
		})
	}
}

// A worker restarts under its id, and its next lifetime gets a start at once and a renewal a second late.
func TestStartInNextLifetimeOutlastsLateRenewal(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 100 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				checker := c.watchRuns()
				time.Sleep(3*time.Second + offset)
				a := c.agents[0]
				a.mute.Store(true)
				a.beforeStart = func(s host.Start) {
					a.beforeStart = nil
					next := c.restartWorker(a, 2, checker)
					// The poll that followed the last answer is on its way on a new connection.
					time.AfterFunc(1500*time.Millisecond, func() {
						next.Silence(false)
						_, _ = next.Worker().Poll(c.ctx, host.PollRequest{
							Lifetime: next.Lifetime.String(), Epoch: s.Epoch, LeaseEnd: time.Hour,
						})
						next.Silence(true)
					})
				}
				answer := func(err error) error {
					a.machine.Executor().Silence(true)
					return err
				}
				a.answerStart.Store(&answer)
				c.submit("a", "red", "batch", task(20, 8))
				time.Sleep(20 * time.Second)
				a.answerStart.Store(nil)
				a.mute.Store(false)
				a.machine.Executor().Silence(false)
				c.await(60*time.Second, shop.Done, "a")
				c.reportViolations(checker)
			})
		})
	}
}

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

// A worker takes 0.3 s for each start, and an agent makes eight calls at a time.
func TestLargeGangStartsOnSlowWorker(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 1)
		checker := c.watchRuns()
		time.Sleep(3 * time.Second)
		a := c.agents[0]
		a.beforeStart = func(host.Start) { time.Sleep(300 * time.Millisecond) }
		c.submit("a", "red", "batch", gang(small(120, 60), 60))
		time.Sleep(20 * time.Second)
		if n := len(a.machine.Executor().Running()); n != 60 {
			t.Errorf("%d of 60 tasks of the gang run after 20 s", n)
		}
		c.reportViolations(checker)
	})
}
