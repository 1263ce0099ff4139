package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// fastMembers makes the own work of some tasks shorter than their runs, which last until the slowest member of
// their gang ends.
func fastMembers(work time.Duration, tasks ...string) func(*standin.Executor) {
	return func(e *standin.Executor) {
		e.OwnWork = func(task string, runTime time.Duration) time.Duration {
			if slices.Contains(tasks, task) {
				return work
			}
			return runTime
		}
	}
}

// hang makes the tasks that run on the workers stand still, or go on.
func (c *cluster) hang(hanging bool) {
	for _, a := range c.agents {
		a.machine.Executor().Hang(hanging)
	}
}

// A gang's member whose own work is done shows 100 percent until the slowest member ends.
func TestMemberThatWaitsForItsGangIsNotStuck(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newClusterWith(t, 2, 2, func(*standin.Store) {}, fastMembers(4*time.Second, "a.0.0.0"))
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", gang(task(16, 8), 2))
		c.await(17*time.Second, shop.Done, "a")
		c.checkStartedOnce("a.0.0.0", "a.0.0.1")
	})
}

func TestStuckGangRunsElsewhere(t *testing.T) {
	tests := []struct {
		name  string
		step  workflow.Step
		fast  []string      // Tasks whose own work takes 2 s.
		hangs time.Duration // How long after the start all tasks stand still.
	}{
		{"its slowest member stands still", gang(task(6, 8), 2), []string{"a.0.0.0"}, 3 * time.Second},
		{"all members show 100 percent", gang(task(6, 8), 2), []string{"a.0.0.0", "a.0.0.1"}, 4 * time.Second},
		{"a single task shows 100 percent", task(6, 8), []string{"a.0.0.0"}, 4 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newClusterWith(t, 2, 4, func(*standin.Store) {}, fastMembers(2*time.Second, tt.fast...))
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "batch", tt.step)
				time.Sleep(tt.hangs)
				c.hang(true)
				c.await(14*time.Second, shop.Done, "a")
			})
		})
	}
}

// Workers' tasks stand still for some seconds. One that has done more than that is not begun anew.
func TestTaskThatGoesOnKeepsItsWork(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(16, 8))
		time.Sleep(8 * time.Second)
		c.hang(true)
		time.Sleep(6 * time.Second)
		c.hang(false)
		c.await(9*time.Second, shop.Done, "a")
		c.checkStartedOnce("a.0.0.0")
	})
}

// A task that takes many times as long as declared takes longer for its first percent than a task may stand still.
func TestLongTaskIsDone(t *testing.T) {
	const factor = 50
	withVirtualTime(t, func(t *testing.T) {
		c := newClusterWith(t, 2, 2, func(*standin.Store) {}, func(e *standin.Executor) {
			declared := e.Requirements
			e.Requirements = func(task string) (workflow.Resources, time.Duration) {
				resources, runTime := declared(task)
				return resources, factor * runTime
			}
		})
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(10, 8))
		c.await(factor*10*time.Second+30*time.Second, shop.Done, "a")
	})
}

// A gang ends with its slowest member, also if the one on the worker that leaves has done its own work.
func TestGangLeavesDrainingWorkerOfMemberThatWaits(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newClusterWith(t, 2, 4, func(*standin.Store) {}, fastMembers(time.Second, "a.0.0.0"))
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "urgent", gang(task(6, 8), 2))
		time.Sleep(2500 * time.Millisecond)
		c.leave("a.0.0.0", 2*time.Second)
		c.await(9*time.Second, shop.Done, "a")
	})
}
