package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// Limits of the users' store.
const (
	maxRecord = 256 << 10
	maxAppend = 2 << 20
)

// limit gives the store these limits.
func limit(s *standin.Store) { s.MaxRecord, s.MaxAppend = maxRecord, maxAppend }

// checkpoint returns a function that gives an executor checkpoints of a length.
func checkpoint(length int) func(*standin.Executor) {
	return func(e *standin.Executor) { e.Checkpoint = strings.Repeat("c", length) }
}

// small returns a step of n tasks that need almost nothing.
func small(seconds float64, n int) workflow.Step {
	s := many(task(seconds, 0), n)
	s.Resources.MilliCores, s.Resources.MemoryMB = 10, 10
	return s
}

// The progress of a job outgrows one record of the store, as its tasks have failed and have checkpoints.
// Neither other jobs nor a new planner suffer from that.
func TestLargeJobDoesNotStopPlanning(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newClusterWith(t, 2, 3, limit, checkpoint(150))
		checker := c.watchRuns()
		for _, a := range c.agents {
			a.machine.Executor().FailAll(true)
		}
		time.Sleep(3 * time.Second)
		before := c.plannerRecords()
		c.submit("large", "red", "batch", small(8, 2000))
		time.Sleep(10 * time.Second)
		for _, a := range c.agents {
			a.machine.Executor().FailAll(false)
		}
		c.submit("other", "blue", "urgent", task(1, 1))
		c.await(5*time.Second, shop.Done, "other")
		if n := c.plannerRecords() - before; n != 0 {
			t.Errorf("%d planners gave up or stepped up, want none", n)
		}
		c.planner().stop()
		c.await(30*time.Second, shop.Done, "large")
		c.reportViolations(checker)
		for i := range 2000 {
			if n := c.runs.count(fmt.Sprint("large.0.0.", i)); n != 2 {
				t.Fatalf("task %d was started %d times, want 2, of which one failed", i, n)
			}
		}
	})
}

// What one pass stores may be larger than what the store takes in one append.
func TestManyChangesAtOnceAreStored(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newClusterWith(t, 2, 2, limit, checkpoint(3000))
		time.Sleep(3 * time.Second)
		var jobs []string
		for i := range 14 {
			jobs = append(jobs, fmt.Sprint("job", i))
			c.submit(jobs[i], "red", "batch", small(20, 60))
		}
		time.Sleep(4 * time.Second)
		before := c.plannerRecords()
		c.agents[0].machine.Executor().Crash()
		time.Sleep(11 * time.Second)
		if n := c.plannerRecords() - before; n != 0 {
			t.Errorf("%d planners gave up or stepped up, want none", n)
		}
		c.await(40*time.Second, shop.Done, jobs...)
	})
}

// A job whose progress the store rejects starts nothing, and affects no other job.
func TestRejectedRecordAffectsItsJobOnly(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newClusterWith(t, 2, 2, func(s *standin.Store) { s.MaxRecord = 2 << 10 }, func(*standin.Executor) {})
		time.Sleep(3 * time.Second)
		before := c.plannerRecords()
		c.submit("rejected", "red", "batch", small(2, 500))
		for i := range 3 {
			id := fmt.Sprint("other", i)
			c.submit(id, "blue", "batch", task(1, 1), after(task(1, 1), 0))
			c.await(5*time.Second, shop.Done, id)
		}
		if n := c.plannerRecords() - before; n != 0 {
			t.Errorf("%d planners gave up or stepped up, want none", n)
		}
		for i := range 500 {
			if n := c.runs.count(fmt.Sprint("rejected.0.0.", i)); n != 0 {
				t.Fatalf("task %d of the rejected job was started %d times, want 0: its claim is not stored", i, n)
			}
		}
	})
}

// The store rejects the records of a job whose tasks have ended, and the planner is replaced before they are
// stored. The ends must not be acknowledged to the worker before.
func TestEndsOfRejectedRecordsAreNotAcknowledged(t *testing.T) {
	for _, wait := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 1)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "batch", small(2, 3))
				time.Sleep(time.Second)
				c.store.Reject("p/a")
				c.submit("other", "blue", "batch", task(0.5, 1), after(task(0.5, 1), 0))
				c.await(3*time.Second, shop.Done, "other")
				time.Sleep(wait)
				c.killPlanner()
				c.store.Reject("")
				c.await(15*time.Second, shop.Done, "a")
				c.reportViolations(checker)
			})
		})
	}
}

// A worker restarts under its id while a record with an end of its lifetime before is on its way to the store, which
// rejects it. An end of the new lifetime that the job's records lack, too, must not be acknowledged.
func TestEndsOfRejectedRecordsAreNotAcknowledgedInNextLifetime(t *testing.T) {
	for offset := 950 * time.Millisecond; offset < time.Second; offset += 10 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 1, 1)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				a, planner := c.agents[0], c.planner()
				sent := make(chan host.Start, 100)
				a.beforeStart = func(s host.Start) {
					if s.Task == "a.0.0.1" {
						sent <- s
						time.Sleep(300 * time.Millisecond)
					}
				}
				c.submit("a", "red", "batch", many(task(1, 1), 2))
				time.Sleep(offset)
				planner.storeLink.loseAppends(true)
				time.Sleep(300 * time.Millisecond) // The first task ends.
				refuseStop := func() error { return host.ErrUnhealthy }
				a.refuseStop.Store(&refuseStop)
				c.restartWorker(a, 2, checker)
				if err := a.machine.Worker().Start(c.ctx, <-sent); err != nil { // It is delivered twice.
					t.Fatal(err)
				}
				time.Sleep(1500 * time.Millisecond) // The other one ends.
				c.store.Reject("p/a")
				planner.storeLink.loseAppends(false)
				time.Sleep(4 * time.Second)
				c.restartEntry(planner)
				a.refuseStop.Store(nil)
				c.store.Reject("")
				c.await(30*time.Second, shop.Done, "a")
				c.reportViolations(checker)
			})
		})
	}
}

// The checkpoint of a task that is done must not be stored again with each change of its job.
func TestDoneTasksKeepNoCheckpoint(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newClusterWith(t, 1, 1, limit, checkpoint(100))
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", small(2, 20), after(small(5, 1), 0))
		time.Sleep(5 * time.Second)
		j, _ := c.entries[0].state.Job("a")
		done := 0
		for k, u := range j.Progress().Units {
			if u.Done {
				done++
			}
			if u.Done && u.Checkpoint != "" {
				t.Errorf("task %v is done, with a checkpoint of %d bytes", k, len(u.Checkpoint))
			}
		}
		if done != 20 {
			t.Errorf("%d tasks are done, want 20", done)
		}
	})
}
