package dispatch_test

import (
	"errors"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/shop"
)

// restartAgent restarts the agent process of a worker whose own heartbeats don't reach it.
func (c *cluster) restartAgent(a *agent) {
	a.kill()
	a.mute.Store(true)
	c.startAgentProcess(a, "r1-0")
}

// connect makes an agent reachable for all entries, or not.
func (c *cluster) connect(a *agent, connected bool) {
	for _, e := range c.entries {
		if connected {
			e.agents.set(agentAddress(a.name), a.process)
		} else {
			e.agents.set(agentAddress(a.name), nil)
		}
	}
}

// A restarted agent is in contact with no lifetime at first, and renews the lease of the worker's own right after
// its last report that reaches the planner. The planner must count the lease from that report.
func TestLeaseIsRenewedAfterReportWithoutLifetime(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		checker := c.watchRuns()
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(30, 8))
		time.Sleep(time.Second)
		a := c.agents[0]
		c.restartAgent(a)
		odd := a.machine.Executor().Heartbeat("s", "r1-0", 1)
		odd.Lifetime = host.Lifetime{ID: "other"}
		if err := a.process.Heartbeat(c.ctx, odd); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		c.connect(a, false)
		time.Sleep(1500 * time.Millisecond) // The Watch call in progress ends.
		if err := a.process.Heartbeat(c.ctx, a.machine.Executor().Heartbeat("s", "r1-0", 100)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(9 * time.Second)
		c.connect(a, true)
		c.await(60*time.Second, shop.Done, "a")
		c.reportViolations(checker)
	})
}

// A worker ends for good while its agent restarts, which never has contact with the worker's lifetime. What ran there
// runs elsewhere once its lease has lapsed.
func TestTasksOfWorkerUnknownToItsAgentRunElsewhere(t *testing.T) {
	for _, tt := range []struct {
		name      string
		announced bool // A last heartbeat reaches the restarted agent.
	}{{"no heartbeat", false}, {"a last heartbeat", true}} {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "batch", task(5, 8))
				time.Sleep(time.Second)
				a := c.agents[0]
				last := a.machine.Executor().Heartbeat("s", "r1-0", 100)
				a.machine.Executor().Crash()
				c.restartAgent(a)
				if tt.announced {
					if err := a.process.Heartbeat(c.ctx, last); err != nil {
						t.Fatal(err)
					}
				}
				c.await(25*time.Second, shop.Done, "a")
				c.reportViolations(checker)
			})
		})
	}
}

// A worker restarts under its id while a start is on its way, which the new lifetime carries out, and its heartbeats
// don't arrive for longer than a lease. That the lease of the lifetime before has lapsed doesn't end what runs.
func TestStartInUnannouncedLifetimeIsNotOver(t *testing.T) {
	for offset := time.Duration(0); offset < 2*time.Second; offset += 100 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				checker := c.watchRuns()
				time.Sleep(3*time.Second + offset)
				a := c.agents[0]
				a.mute.Store(true)
				c.restartAtNextStart(a, 2, checker)
				c.submit("a", "red", "batch", task(20, 8))
				time.Sleep(14 * time.Second)
				a.mute.Store(false)
				c.await(60*time.Second, shop.Done, "a")
				c.reportViolations(checker)
			})
		})
	}
}

// A worker restarts under its id after a run was found absent in the lifetime before, and that answer arrives only
// when the planner knows the next lifetime, in which the start has taken effect before the planner's first call there.
func TestAbsenceInEarlierLifetimeEndsNoRun(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 1, 2)
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
		time.Sleep(600 * time.Millisecond)
		released := make(chan struct{})
		c.entries[0].agents.delayAnswers(agentAddress(a.name), released)
		time.Sleep(400 * time.Millisecond) // Until the stop was answered.
		refuseStop := func() error { return host.ErrUnhealthy }
		a.refuseStop.Store(&refuseStop)
		heartbeat := c.restartWorker(a, 2, checker).Heartbeat("s", "r1-0", 100)
		if err := a.machine.Worker().Start(c.ctx, late); err != nil {
			t.Fatal(err)
		}
		heartbeat.Draining, heartbeat.DrainRemaining = true, time.Minute
		if err := a.process.Heartbeat(c.ctx, heartbeat); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		close(released)
		time.Sleep(500 * time.Millisecond)
		if err := a.machine.Worker().Start(c.ctx, late); !errors.Is(err, host.ErrFenced) {
			t.Errorf("a start that arrives after the planner's calls: %v, want %v", err, host.ErrFenced)
		}
		time.Sleep(time.Second)
		a.refuseStop.Store(nil)
		a.loseStarts.Store(false)
		c.await(60*time.Second, shop.Done, "a")
		c.reportViolations(checker)
	})
}

// A worker leaves while planners change. A new planner must not wait for a lease that another process of the agent
// may have renewed: the worker has ended for certain.
func TestTasksOfLeftWorkerRunElsewhereAtOnceAfterTakeover(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(20, 8))
		time.Sleep(time.Second)
		c.killPlanner()
		a := c.agents[0]
		a.mute.Store(true)
		leaving := a.machine.Executor().Heartbeat("s", "r1-0", 100)
		leaving.Draining = true
		if err := a.process.Heartbeat(c.ctx, leaving); err != nil {
			t.Fatal(err)
		}
		a.process.Leave(leaving.Lifetime.ID)
		a.machine.Executor().Crash()
		time.Sleep(4 * time.Second)
		if n := c.runs.count("a.0.0.0"); n != 2 {
			t.Errorf("%d starts 4 s after the worker has left, want 2", n)
		}
	})
}
