package dispatch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// lateCalls are the calls of an agent to its worker that got no answer.
type lateCalls struct {
	mu    sync.Mutex
	start host.Start
}

// sentStart returns the start that got no answer.
func (l *lateCalls) sentStart() host.Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.start
}

// loseFirstStart makes an agent's next start get no answer, while the repeat is answered.
func (c *cluster) loseFirstStart(a *agent) *lateCalls {
	late := &lateCalls{}
	a.beforeStart = func(s host.Start) {
		late.mu.Lock()
		defer late.mu.Unlock()
		if late.start.Task == "" {
			late.start = s
		}
	}
	lost := false
	refuse := func() error {
		if lost {
			return nil
		}
		lost = true
		return context.DeadlineExceeded
	}
	a.refuseStart.Store(&refuse)
	return late
}

// newClusterWithLateStart returns a cluster with one worker on which a job is done, and the first start of its task still
// on its way.
func newClusterWithLateStart(t *testing.T) (*cluster, *standin.RunChecker, *agent, *lateCalls) {
	c := newCluster(t, 3, 1)
	checker := c.watchRuns()
	time.Sleep(3 * time.Second)
	a := c.agents[0]
	late := c.loseFirstStart(a)
	c.submit("a", "red", "batch", task(1, 8))
	c.await(5*time.Second, shop.Done, "a")
	return c, checker, a, late
}

// arrive delivers the start, and a look and a stop that were sent with it, to a worker, and checks that it refuses them.
func (l *lateCalls) arrive(t *testing.T, to host.Worker) {
	t.Helper()
	s := l.sentStart()
	if s.Task == "" {
		t.Fatal("no start was lost")
	}
	_, looked := to.Poll(t.Context(), host.PollRequest{Lifetime: s.Lifetime, Epoch: s.Epoch, AckedEnd: 5})
	calls := []struct {
		name string
		err  error
	}{
		{"start", to.Start(t.Context(), s)},
		{"look", looked},
		{"stop", to.Stop(t.Context(), host.Stop{Lifetime: s.Lifetime, Epoch: s.Epoch, Task: s.Task, Run: s.Run + 1})},
	}
	for _, call := range calls {
		if !errors.Is(call.err, host.ErrFenced) {
			t.Errorf("the worker's next lifetime answers a late %s with %v, want %v", call.name, call.err, host.ErrFenced)
		}
	}
}

// Guards against a task that has ended as done and runs again: the first of its agent's two starts, or a look or a stop of
// that time, arrives after its worker has crashed and started again under its id.
func TestCallsOfEarlierLifetimeAreBarred(t *testing.T) {
	tests := []struct {
		name    string
		disrupt func(*cluster, *agent) // As the worker crashes.
		late    time.Duration          // How long after its restart the calls arrive.
	}{
		{"two seconds", func(*cluster, *agent) {}, 2 * time.Second},
		{"nine seconds", func(*cluster, *agent) {}, 9 * time.Second},
		{"the planner is killed", func(c *cluster, _ *agent) { c.killPlanner() }, 5 * time.Second},
		{"the agent is restarted", func(c *cluster, a *agent) {
			c.restartAgent(a)
			a.mute.Store(false)
		}, 4 * time.Second},
		{"the worker restarts twice", func(c *cluster, a *agent) {
			c.restartWorker(a, 2, &standin.RunChecker{})
			time.Sleep(2 * time.Second)
		}, 2 * time.Second},
		{"while the store is away", func(c *cluster, _ *agent) {
			c.store.SetFault(standin.StoreBusy)
			time.AfterFunc(5*time.Second, func() { c.store.SetFault(standin.StoreHealthy) })
		}, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c, checker, a, late := newClusterWithLateStart(t)
				time.Sleep(2 * time.Second) // The end is acknowledged.
				tt.disrupt(c, a)
				c.restartWorker(a, 3, checker)
				time.Sleep(tt.late)
				late.arrive(t, a.machine.Worker())
				time.Sleep(4 * time.Second) // The store is back.
				c.submit("b", "red", "batch", task(1, 8))
				c.await(10*time.Second, shop.Done, "b")
				c.reportViolations(checker)
			})
		})
	}
}

// Nothing of another job starts in a worker's next lifetime before that refuses calls of earlier ones.
func TestNothingStartsBeforeCallsAreBarred(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c, checker, a, late := newClusterWithLateStart(t)
		c.submit("b", "red", "batch", task(20, 8))
		time.Sleep(time.Second)
		sent := late.sentStart()
		c.setUpExecutor = func(next *standin.Executor) {
			next.OnStart = func(_ context.Context, s host.Start) {
				if s.Epoch <= sent.Epoch {
					t.Errorf("run %d of %s starts in epoch %d, and calls of epoch %d may still arrive", s.Run, s.Task, s.Epoch, sent.Epoch)
				}
			}
		}
		c.restartWorker(a, 2, checker)
		c.await(60*time.Second, shop.Done, "b")
		c.reportViolations(checker)
	})
}

// Guards against a late call that arrives while the agent's poll waits for a second with the epoch of before.
func TestCallsAreBarredOnceTheWorkerIsKnown(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c, checker, a, late := newClusterWithLateStart(t)
		time.Sleep(2 * time.Second)
		a.mute.Store(true)
		next := c.restartWorker(a, 2, checker)
		if err := a.process.Heartbeat(c.ctx, next.Heartbeat("s", "r1-0", 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		late.arrive(t, a.machine.Worker())
		c.reportViolations(checker)
	})
}

// Guards against a job that stays running for good, as the end of its task is dropped before any answered look has shown
// it.
func TestTaskWhoseEndIsLostRunsAgain(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(1, 8))
		time.Sleep(500 * time.Millisecond)
		worker := c.agents[0].machine.Executor()
		worker.CutOff(true)
		time.Sleep(time.Second)
		worker.CutOff(false)
		planner, _ := c.entries[0].state.Planner()
		late := host.PollRequest{Lifetime: worker.Lifetime.String(), Epoch: planner.Epoch, AckedEnd: 1}
		if _, err := worker.Worker().Poll(c.ctx, late); err != nil {
			t.Fatal(err)
		}
		c.await(10*time.Second, shop.Done, "a")
	})
}
