package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// submitWithClock submits a job at an entry whose time of day is off.
func (c *cluster) submitWithClock(off time.Duration, id, team, queue string, steps ...workflow.Step) {
	c.t.Helper()
	c.submittedSteps.Store(id, steps)
	q, _ := c.rules.Queue(queue)
	ctx, cancel := context.WithTimeout(c.ctx, 3*time.Second)
	defer cancel()
	if err := c.entries[0].intake.Submit(ctx, &workflow.Job{ID: id, Team: team, Queue: q, Steps: steps, Submitted: time.Now().Add(off)}); err != nil {
		c.t.Fatal(err)
	}
}

// An entry's time of day has jumped. What it accepts must neither seem to be late at once, so that it gets no
// room, nor to have time.
func TestJobsOfEntryWhoseClockJumpedAreInTime(t *testing.T) {
	tests := []struct {
		name  string
		queue string
		step  workflow.Step
		want  time.Duration // Until its end.
	}{
		{"urgent work takes the room of batch work", "urgent", task(1, 8), 2500 * time.Millisecond},
		{"batch work that leaves room for urgent work", "batch", task(1, 8), 4 * time.Second},
	}
	for _, tt := range tests {
		for _, off := range []time.Duration{-10 * time.Second, -5 * time.Second, -2 * time.Second, 0, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
			t.Run(fmt.Sprintf("%s, off by %v", tt.name, off), func(t *testing.T) {
				withVirtualTime(t, func(t *testing.T) {
					c := newCluster(t, 2, 4)
					time.Sleep(3 * time.Second)
					busy := 3
					if tt.queue == "urgent" {
						busy = 4
					}
					for i := range busy {
						long := task(60, 8)
						long.Checkpoints = true
						c.submit(fmt.Sprint("long", i), "unguaranteed", "batch", long)
					}
					time.Sleep(20 * time.Second) // No deferral lasts as long.
					c.submitWithClock(off, "a", "unguaranteed", tt.queue, tt.step)
					c.await(tt.want, shop.Done, "a")
				})
			})
		}
	}
}
