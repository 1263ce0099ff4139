package dispatch_test

import (
	"context"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/shop"
)

// The next lifetime carries out the start, and is silent for its agent until the lease of the one before has lapsed.
func TestStartInSilentNextLifetimeIsNotOver(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 100 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				checker := c.watchRuns()
				time.Sleep(3*time.Second + offset)
				a := c.agents[0]
				a.mute.Store(true)
				c.restartAtNextStart(a, 2, checker)
				answerStart := func(error) error {
					a.machine.Executor().Silence(true)
					return context.DeadlineExceeded
				}
				a.answerStart.Store(&answerStart)
				c.submit("a", "red", "batch", task(20, 8))
				time.Sleep(16 * time.Second)
				a.answerStart.Store(nil)
				a.mute.Store(false)
				a.machine.Executor().Silence(false)
				c.await(60*time.Second, shop.Done, "a")
				c.reportViolations(checker)
			})
		})
	}
}

// A start is delayed; its stop is accepted and it is absent; the worker restarts; the start arrives.
func TestLateStartAfterAbsenceRunsNothing(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		checker := c.watchRuns()
		time.Sleep(3 * time.Second)
		a := c.agents[0]
		var late host.Start
		a.beforeStart = func(s host.Start) {
			if late.Task == "" {
				late = s
			}
		}
		a.loseStarts.Store(true)
		c.submit("a", "red", "batch", task(20, 8))
		time.Sleep(500 * time.Millisecond)
		drain := a.machine.Executor().Heartbeat("s", "r1-0", 100)
		drain.Draining, drain.DrainRemaining = true, time.Minute
		if err := a.process.Heartbeat(c.ctx, drain); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		a.loseStarts.Store(false)
		c.restartWorker(a, 2, checker)
		_ = a.machine.Worker().Start(c.ctx, late) // A worker may refuse it.
		time.Sleep(3 * time.Second)
		c.await(60*time.Second, shop.Done, "a")
		c.reportViolations(checker)
	})
}

// The agent is cut off from the planner as the worker restarts under its id with a start on its way.
func TestStartInCutOffNextLifetimeIsNotOver(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 200 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				checker := c.watchRuns()
				time.Sleep(3*time.Second + offset)
				a := c.agents[0]
				a.beforeStart = func(host.Start) {
					a.beforeStart = nil
					c.restartWorker(a, 2, checker)
					c.connect(a, false)
					for _, e := range c.entries {
						e.agents.delayReports(agentAddress(a.name), c.closedAfter(15*time.Second))
						e.agents.delayAnswers(agentAddress(a.name), c.closedAfter(15*time.Second))
					}
				}
				c.submit("a", "red", "batch", task(20, 8))
				time.Sleep(16 * time.Second)
				c.connect(a, true)
				c.await(60*time.Second, shop.Done, "a")
				c.reportViolations(checker)
			})
		})
	}
}

// closedAfter returns a channel that is closed after d.
func (c *cluster) closedAfter(d time.Duration) chan struct{} {
	out := make(chan struct{})
	go func() {
		select {
		case <-time.After(d):
		case <-c.ctx.Done():
		}
		close(out)
	}()
	return out
}

// An agent's process restarts every 8 s, and its worker has ended for good.
func TestTaskOfDeadWorkerRunsElsewhereWhileItsAgentRestarts(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		checker := c.watchRuns()
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(5, 8))
		time.Sleep(time.Second)
		a := c.agents[0]
		a.machine.Executor().Crash()
		go func() {
			for c.ctx.Err() == nil {
				c.restartAgent(a)
				_ = clock.Pause(c.ctx, 8*time.Second)
			}
		}()
		c.await(30*time.Second, shop.Done, "a")
		c.reportViolations(checker)
	})
}
