package dispatch_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// A stop saves what a task that checkpoints has done, so it gives way before one that would lose little.
func TestTaskThatCheckpointsGivesWayFirst(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		saves := task(12, 8)
		saves.Checkpoints = true
		c.submit("a", "blue", "batch", saves)
		time.Sleep(5 * time.Second)
		c.submit("b", "blue", "batch", task(12, 8))
		time.Sleep(500 * time.Millisecond)
		c.submit("urgent", "red", "urgent", task(2, 8))
		c.await(3*time.Second, shop.Done, "urgent")
		c.await(30*time.Second, shop.Done, "a", "b")
		c.checkStartedOnce("b.0.0.0", "urgent.0.0.0")
	})
}

// Urgent work beyond its team's guarantee makes only so much batch work give way for one task, also if others take
// the room each time.
func TestPreemptionsForOneTaskAddUp(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		c.submit("batch", "green", "batch", many(task(30, 8), 2))
		time.Sleep(3 * time.Second)
		c.submit("beyond", "green", "urgent", task(2, 8))
		time.Sleep(50 * time.Millisecond)
		c.submit("within", "red", "urgent", task(2, 8)) // It takes the room that the first batch task leaves.
		c.await(6*time.Second, shop.Done, "within", "beyond")
		c.await(60*time.Second, shop.Done, "batch")
		if n := c.runs.count("batch.0.0.0") + c.runs.count("batch.0.0.1"); n != 3 {
			t.Errorf("batch tasks were started %d times, want 3", n)
		}
	})
}
