package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"sniperill.example/sniperill/pkg/workflow"
)

// startedAfter returns how long from now on it takes until a task starts, at most longest.
func (c *cluster) startedAfter(task string, longest time.Duration) time.Duration {
	began := time.Now()
	for c.runs.count(task) == 0 && time.Since(began) < longest {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against a gang that waits for a rack for ever: each rack has a task that takes long, or for ever, on one of its
// workers, and most workers are idle. What it has waited counts also if another planner takes over.
func TestGangStartsThoughNoRackIsFree(t *testing.T) {
	const racks = 4
	endless := task(1, 8)
	endless.Endless = true
	tests := []struct {
		name     string
		blocking workflow.Step
		kills    bool
		longest  time.Duration
	}{
		{"endless tasks", endless, false, time.Second},
		{"endless tasks, and the planner is killed", endless, true, 5 * time.Second},
		{"long tasks", task(100, 8), false, 11 * time.Second},
		{"long tasks, and the planner is killed", task(100, 8), true, 12 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 4, 3*racks)
				time.Sleep(3 * time.Second)
				for i := range racks {
					step := tt.blocking
					step.DataRack = fmt.Sprintf("r1-%d", i)
					c.submit(fmt.Sprint("blocking", i), "blue", "urgent", step)
				}
				time.Sleep(2 * time.Second)
				step := gang(task(60, 8), 3)
				step.SameRack = true
				c.submit("a", "red", "batch", step)
				if tt.kills {
					time.AfterFunc(6*time.Second, c.killPlanner)
				}
				if took := c.startedAfter("a.0.0.0", 40*time.Second); took > tt.longest {
					t.Errorf("the gang starts after %v, want %v at most", took, tt.longest)
				}
			})
		})
	}
}
