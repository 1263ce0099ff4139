package dispatch_test

import (
	"context"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// failingMembers makes the members of gangs fail a while after their start, each at a time of its own, unless they are
// repaired before.
func failingMembers(after ...time.Duration) func(*standin.Executor) {
	return func(e *standin.Executor) {
		requirements := e.Requirements
		e.Requirements = func(task string) (workflow.Resources, time.Duration) {
			room, _ := requirements(task)
			t, _ := clusterstate.ParseTaskID(task)
			return room, after[t.Index]
		}
		e.FailAll(true)
	}
}

// failedRuns are the runs of a gang of which a member failed.
type failedRuns struct {
	mu   sync.Mutex
	runs map[int]bool
}

func (f *failedRuns) record(s standin.ExecutorSpan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs == nil {
		f.runs = make(map[int]bool)
	}
	if s.End == host.Failed {
		f.runs[s.Run] = true
	}
}

func (f *failedRuns) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

// refuseStopsFor makes all workers refuse all stops for d, so that members go on after the first has failed.
func (c *cluster) refuseStopsFor(d time.Duration) {
	end := time.Now().Add(d)
	refuse := func() error {
		if time.Now().Before(end) {
			return host.ErrUnhealthy
		}
		return nil
	}
	for _, a := range c.agents {
		a.refuseStop.Store(&refuse)
	}
}

// killAtFailures kills the next planners as soon as each has stored a failure of a job. It calls after with that
// record while no planner is active.
func (c *cluster) killAtFailures(job string, kills int, after func(journal.Record)) {
	seen := 0
	for kills > 0 {
		records := c.store.Records()
		for _, r := range records[seen:] {
			if r.Key == "p/"+job && strings.Contains(string(r.Value), `"f":`) && kills > 0 {
				kills--
				c.killPlanner()
				after(r)
				time.Sleep(100 * time.Millisecond) // What the planner had sent is stored by then.
				break
			}
		}
		seen = len(records)
		if kills > 0 {
			time.Sleep(5 * time.Millisecond)
			if c.ctx.Err() != nil {
				return
			}
		}
	}
}

// Guards against a gang whose one failed run counts several times, as planners are killed between the ends of its
// members: its job was failed with attempts left.
func TestFailedRunOfGangCountsOnceAcrossPlanners(t *testing.T) {
	ms := func(n ...int) (out []time.Duration) {
		for _, i := range n {
			out = append(out, time.Duration(i)*time.Millisecond)
		}
		return out
	}
	tests := []struct {
		name     string
		attempts int
		after    []time.Duration // How long after their start members fail.
		kills    int
		earlier  bool // An earlier version, which doesn't store which run it counted, plans in between.
		lost     bool // The worker of the member that is to fail first is lost for good before.
	}{
		{name: "two members", attempts: 2, after: ms(300, 600), kills: 1},
		{name: "the second end comes after the takeover", attempts: 2, after: ms(300, 6000), kills: 1},
		{name: "three members, two planners", attempts: 3, after: ms(300, 700, 1100), kills: 2},
		{name: "three members, far apart", attempts: 3, after: ms(300, 5000, 9000), kills: 2},
		{name: "an earlier version", attempts: 2, after: ms(300, 6000), kills: 1, earlier: true},
		{name: "a lost worker", attempts: 2, after: ms(1000, 12000, 14000), kills: 1, lost: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				var failed failedRuns
				c := newClusterWith(t, 4, 8, func(*standin.Store) {}, func(e *standin.Executor) {
					failingMembers(tt.after...)(e)
					e.OnRunEnded = failed.record
				})
				c.rules.Queues[1].MaxAttempts = tt.attempts
				time.Sleep(3 * time.Second)
				c.refuseStopsFor(tt.after[len(tt.after)-1] + time.Second)
				c.submit("a", "red", "batch", gang(task(1, 8), len(tt.after)))
				if tt.lost {
					time.Sleep(500 * time.Millisecond)
					for _, a := range c.agents {
						for _, name := range a.machine.Executor().Running() {
							if strings.HasSuffix(name, ".0") {
								a.machine.Executor().Crash()
							}
						}
					}
				}
				c.killAtFailures("a", tt.kills, func(r journal.Record) {
					if !tt.earlier {
						return
					}
					without := regexp.MustCompile(`,"x":\d+`).ReplaceAll(r.Value, nil)
					_, err := c.store.Journal().Append(context.WithoutCancel(c.ctx), journal.Producer{Name: "earlier", Epoch: 1},
						[]journal.Record{{Key: r.Key, Value: without}})
					if err != nil {
						t.Error(err)
					}
				})
				c.await(90*time.Second, shop.Failed, "a")
				if n := failed.count(); n != tt.attempts {
					t.Errorf("the job is failed after %d failed runs of its gang, want %d", n, tt.attempts)
				}
			})
		})
	}
}

// Guards against runs beyond the attempts of a queue: a gang of which a member fails and the others are broken uses
// up its attempts, also if a planner is killed as it stores each failure.
func TestGangFailsAfterItsAttemptsAcrossPlanners(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		const attempts = 3
		gangs := &standin.Gangs{Timeout: 3 * time.Second, Size: func(clusterstate.TaskID) int { return 2 }}
		c := newClusterWith(t, 5, 4, func(*standin.Store) {}, func(e *standin.Executor) {
			failingMembers(300*time.Millisecond, 600*time.Millisecond)(e)
			e.Gangs = gangs
		})
		c.rules.Queues[1].MaxAttempts = attempts
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", gang(task(1, 8), 2))
		c.killAtFailures("a", attempts, func(journal.Record) {})
		c.await(30*time.Second, shop.Failed, "a")
		for _, task := range []string{"a.0.0.0", "a.0.0.1"} {
			if n := c.runs.count(task); n != attempts {
				t.Errorf("task %s was started %d times, want %d", task, n, attempts)
			}
		}
	})
}

// Guards against a next run on the workers on which the last one has just failed, as a planner takes over in between: a
// faulty worker used up the attempts of a job.
func TestNextRunAvoidsFaultyWorkersAcrossPlanners(t *testing.T) {
	tests := []struct {
		name string
		step workflow.Step
	}{
		{"task", task(1, 8)},
		{"gang", gang(task(1, 8), 2)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newClusterWith(t, 3, 5, func(*standin.Store) {}, failingMembers(300*time.Millisecond, 600*time.Millisecond))
				time.Sleep(3 * time.Second)
				c.refuseStopsFor(time.Second)
				c.submit("a", "red", "batch", tt.step)
				time.Sleep(200 * time.Millisecond)
				for _, a := range c.agents {
					if e := a.machine.Executor(); len(e.Running()) == 0 {
						e.FailAll(false)
					}
				}
				c.killAtFailures("a", 1, func(journal.Record) {})
				c.await(30*time.Second, shop.Done, "a")
			})
		})
	}
}
