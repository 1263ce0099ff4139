package dispatch_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/host"
)

// Only a task whose start may still take effect waits longer than the lease of its lost worker.
func TestTasksOfLostWorkerWaitNoLongerThanTheyMust(t *testing.T) {
	crash := func(_ *cluster, a *agent) { a.machine.Executor().Crash() }
	lose := func(c *cluster, a *agent) {
		crash(c, a)
		a.kill()
		c.connect(a, false)
	}
	loseWithPlanner := func(c *cluster, a *agent) {
		lose(c, a)
		c.killPlanner()
	}
	tests := []struct {
		name   string
		starts bool // They reach the worker.
		ran    time.Duration
		lose   func(*cluster, *agent)
		within time.Duration
	}{
		{"worker lost, start in flight", false, 100 * time.Millisecond, crash, 16100 * time.Millisecond},
		{"worker lost, start just answered", true, 40 * time.Millisecond, crash, 15800 * time.Millisecond},
		{"worker lost", true, 5 * time.Second, crash, 8500 * time.Millisecond},
		{"worker and agent lost", true, 5 * time.Second, lose, 10800 * time.Millisecond},
		{"worker, agent and planner lost", true, 20 * time.Second, loseWithPlanner, 11 * time.Second},
		{"worker, agent and planner lost, 3 s after the start", true, 3 * time.Second, loseWithPlanner, 11 * time.Second},
		{"start lost, worker sound", false, 600 * time.Millisecond, func(_ *cluster, a *agent) { a.loseStarts.Store(false) }, 5500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 3, 2)
				checker := c.watchRuns()
				time.Sleep(3300 * time.Millisecond)
				a := c.agents[0]
				a.loseStarts.Store(!tt.starts)
				c.submit("a", "red", "batch", task(60, 8))
				time.Sleep(tt.ran)
				before := c.runs.count("a.0.0.0")
				tt.lose(c, a)
				lost := time.Now()
				for c.runs.count("a.0.0.0") == before && time.Since(lost) < time.Minute {
					time.Sleep(5 * time.Millisecond)
				}
				if waited := time.Since(lost); waited > tt.within {
					t.Errorf("the task started again %v after the loss, want at most %v", waited, tt.within)
				}
				c.reportViolations(checker)
			})
		})
	}
}

// Each task whose start isn't answered waits for 5 s, so a worker that answers none must not get one after the other.
func TestWorkerThatAnswersNoStartsGetsFew(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 3)
		time.Sleep(3300 * time.Millisecond)
		a := c.agents[0]
		a.loseStarts.Store(true)
		var lost sync.Map // Tasks.
		a.beforeStart = func(s host.Start) { lost.Store(s.Task, true) }
		for i := range 50 {
			c.submit(fmt.Sprint("job", i), "red", "batch", task(0.8, 0))
			time.Sleep(100 * time.Millisecond)
		}
		n := 0
		lost.Range(func(any, any) bool {
			n++
			return true
		})
		if n > 15 {
			t.Errorf("the worker got starts of %d tasks in 5 s, want at most 15", n)
		}
	})
}
