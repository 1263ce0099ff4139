package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

func TestJobsRunToCompletion(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 6)
		time.Sleep(3 * time.Second)
		c.submit("steps", "red", "batch", many(task(1, 1), 3), after(task(2, 2), 0))
		c.submit("gang", "red", "batch", gang(task(2, 8), 3))
		c.await(10*time.Second, shop.Done, "steps", "gang")
		c.checkStartedOnce("steps.0.0.0", "steps.0.0.1", "steps.0.0.2", "steps.0.1.0", "gang.0.0.0", "gang.0.0.1", "gang.0.0.2")
	})
}

// A busy planner appends progress records continuously. These have no epoch, so the standbys
// must still see heartbeats from it.
func TestBusyPlannerIsNotReplaced(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 3, 6)
		time.Sleep(3 * time.Second)
		before := c.plannerRecords()
		for i := range 40 {
			c.submit(string(rune('a'+i%26))+string(rune('a'+i/26)), "red", "batch", many(task(0.3, 1), 4))
			time.Sleep(200 * time.Millisecond)
		}
		if n := c.plannerRecords() - before; n != 0 {
			t.Errorf("another planner stepped up %d times without a fault, want 0", n)
		}
	})
}

// The agent keeps trying to renew the lease of a worker that has crashed. The lease must
// nevertheless be known to have lapsed, so that the worker's tasks run elsewhere.
func TestTasksOfCrashedWorkerRunElsewhere(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(5, 8), 2))
		time.Sleep(time.Second)
		c.agents[0].machine.Executor().Crash()
		c.await(25*time.Second, shop.Done, "a")
	})
}

func TestRunningTasksSurviveStoreOutage(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.StoreFault
	}{
		{"busy", standin.StoreBusy},
		{"silent", standin.StoreSilent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "batch", task(4, 8))
				time.Sleep(500 * time.Millisecond)
				c.store.SetFault(tt.fault)
				time.Sleep(4 * time.Second)
				c.store.SetFault(standin.StoreHealthy)
				c.await(5*time.Second, shop.Done, "a")
				c.checkStartedOnce("a.0.0.0")
			})
		})
	}
}

func TestStuckTaskRunsElsewhere(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(6, 8))
		time.Sleep(time.Second)
		for _, a := range c.agents {
			a.machine.Executor().Hang(true) // Affects only the tasks that are running now.
		}
		c.await(14*time.Second, shop.Done, "a")
	})
}

// An agent that was frozen for a while reports what it knew before. Its tasks seem to have stood still
// all the while, but the planner has not seen them. The freezes are shorter than what is left of the lease.
func TestTasksOfFrozenAgentRunOn(t *testing.T) {
	for _, frozen := range []time.Duration{2400 * time.Millisecond, 3500 * time.Millisecond, 5 * time.Second, 6 * time.Second} {
		t.Run(frozen.String(), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "batch", many(task(14, 8), 2))
				time.Sleep(1500 * time.Millisecond)
				c.freeze(c.agents[0], frozen)
				c.await(20*time.Second, shop.Done, "a")
				c.checkStartedOnce("a.0.0.0", "a.0.0.1")
			})
		})
	}
}

// An agent's newest poll of its worker may be older than the newest start. A planner that
// takes over in between must not conclude that the run never started.
func TestTakeoverKeepsJustStartedRuns(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 3)
		time.Sleep(3 * time.Second)
		for i, d := range []time.Duration{0, 300, 600, 80} {
			c.submit(string(rune('a'+i)), "red", "batch", many(task(6, 1), 2))
			time.Sleep(d * time.Millisecond)
		}
		c.planner().stop() // It resigns, and the other one steps up at once.
		c.await(12*time.Second, shop.Done, "a", "b", "c", "d")
		c.checkStartedOnce("a.0.0.0", "a.0.0.1", "b.0.0.0", "b.0.0.1", "c.0.0.0", "c.0.0.1", "d.0.0.0", "d.0.0.1")
	})
}

// A planner that is told to stop sends the starts of all claimed runs before it resigns, at
// whatever moment the stop comes while a job is starting.
func TestStoppingPlannerSendsClaimedRuns(t *testing.T) {
	for delay := time.Duration(0); delay < 40*time.Millisecond; delay += 3 * time.Millisecond {
		withVirtualTime(t, func(t *testing.T) {
			c := newCluster(t, 2, 3)
			time.Sleep(3 * time.Second)
			c.submit("a", "red", "batch", many(task(2, 1), 4))
			time.Sleep(delay)
			c.planner().stop()
			c.await(4*time.Second, shop.Done, "a")
			for _, run := range c.runs.started {
				if !strings.HasSuffix(run, "/1") {
					t.Errorf("stopped %v after the job was accepted: run %s was started, want only first runs", delay, run)
				}
			}
		})
	}
}

// When many standbys see the planner resign, exactly one steps up.
func TestOneStandbyStepsUp(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 12, 3)
		time.Sleep(3 * time.Second)
		for range 3 {
			before := c.plannerRecords()
			c.planner().stop()
			time.Sleep(2 * time.Second)
			if n := c.plannerRecords() - before; n != 2 { // One for the resignation, one for the step-up.
				t.Errorf("%d planner records after a resignation, want 2", n)
			}
		}
	})
}

// Among many entries, the planner is replaced soon also when most of the standbys that come first have
// gone with it, and few step up at once.
func TestPlannerIsReplacedAmongMany(t *testing.T) {
	tests := []struct {
		name  string
		alive int // Entries that remain.
	}{
		{"the planner alone is killed", 54},
		{"half of all entries are killed", 27},
		{"all but three are killed", 3},
		{"all but one are killed", 1},
	}
	for i := range 5 * len(tests) {
		tt, rotation := tests[i/5], i%5*11 // Other entries remain each time, with other ranks.
		t.Run(fmt.Sprint(tt.name, rotation), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 55, 2)
				time.Sleep(3 * time.Second)
				gone := c.planner()
				gone.kill()
				survivor, left := (*entry)(nil), 54
				for _, e := range slices.Concat(c.entries[rotation:], c.entries[:rotation]) {
					switch {
					case e == gone:
					case left > tt.alive:
						e.kill()
						left--
					default:
						survivor = e
					}
				}
				before, start := c.plannerRecords(), time.Now()
				epoch, _ := survivor.state.Planner()
				for {
					if now, _ := survivor.state.Planner(); now.Epoch != epoch.Epoch {
						break
					}
					if time.Since(start) > 2*time.Second {
						t.Fatalf("no planner stepped up in %v", time.Since(start))
					}
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(time.Second)
				if n := c.plannerRecords() - before; n > 2 {
					t.Errorf("%d planners stepped up, want at most 2", n)
				}
			})
		})
	}
}

// Planning moves to an entry with more processor time, also back to one after all of them were killed, and
// no run is lost or repeated.
func TestPlanningMovesToFasterEntry(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 0, 3)
		add := func(name string, cpuShare float64) *entry {
			e := c.startEntryWithShare(name, cpuShare)
			c.mu.Lock()
			c.entries = append(c.entries, e)
			c.mu.Unlock()
			return e
		}
		for i := range 4 {
			add(fmt.Sprint("slow-", i), 0.192)
		}
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(8, 1), 6))
		time.Sleep(time.Second)
		first := add("fast-0", 0.8)
		time.Sleep(3 * time.Second)
		if got := c.planner(); got != first {
			t.Errorf("%s plans, want the fast entry", got.name)
		}
		first.kill()
		c.mu.Lock()
		c.entries = c.entries[:4]
		c.mu.Unlock()
		time.Sleep(2 * time.Second)
		if got := c.planner(); got == first {
			t.Error("the fast entry was not replaced after it was killed")
		}
		before := c.plannerRecords()
		time.Sleep(4 * time.Second)
		if n := c.plannerRecords() - before; n != 0 {
			t.Errorf("%d planner records while the fast entry is gone, want none", n)
		}
		c.await(10*time.Second, shop.Done, "a")
		c.checkStartedOnce("a.0.0.0", "a.0.0.1", "a.0.0.2", "a.0.0.3", "a.0.0.4", "a.0.0.5")
	})
}

// The progress of tasks on a worker that doesn't answer is not known, so they don't count as
// stuck.
func TestTasksOfUnreachableWorkerAreNotMoved(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(8, 8), 2))
		time.Sleep(time.Second)
		for _, a := range c.agents {
			a.machine.Executor().Silence(true)
		}
		time.Sleep(4500 * time.Millisecond)
		for _, a := range c.agents {
			a.machine.Executor().Silence(false)
		}
		c.await(6*time.Second, shop.Done, "a")
		c.checkStartedOnce("a.0.0.0", "a.0.0.1")
	})
}

// A planner that is dead or cut off is replaced sooner than one that may only be slow, as a
// standby asks the planner whether it reaches the store.
func TestDeadPlannerIsReplacedQuickly(t *testing.T) {
	tests := []struct {
		name   string
		fail   func(*cluster, *entry)
		within time.Duration
	}{
		{"its process is killed", func(_ *cluster, e *entry) { e.kill() }, 1200 * time.Millisecond},
		{"it is cut off from the store", func(_ *cluster, e *entry) { e.storeLink.setDisconnected(true) }, 1600 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 4, 2)
				time.Sleep(3 * time.Second)
				p := c.planner()
				other := c.entries[0]
				if other == p {
					other = c.entries[1]
				}
				tt.fail(c, p)
				start := time.Now()
				if err := c.submitAt(other, "a", "red", "batch", task(1, 1)); err != nil {
					t.Fatal(err)
				}
				for c.runs.count("a.0.0.0") == 0 {
					if time.Since(start) > tt.within {
						t.Fatalf("no task was started %v after the planner had failed", time.Since(start))
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		})
	}
}

// A worker announces that it leaves, and is gone two seconds later. What can't end by then is moved at the
// announcement: afterwards nothing shows that its runs are over until the lease has lapsed.
func TestTasksLeaveDrainingWorker(t *testing.T) {
	tests := []struct {
		name   string
		step   workflow.Step
		ran    time.Duration // Before the announcement.
		within time.Duration // After it.
		starts int           // Of the first task.
	}{
		{"a gang that can't end in time", gang(task(4, 8), 2), time.Second, 6 * time.Second, 2},
		{"a task that can't end in time", task(4, 8), time.Second, 6 * time.Second, 2},
		{"a gang that can end in time", gang(task(4, 8), 2), 2500 * time.Millisecond, 2 * time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 4)
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "urgent", tt.step)
				time.Sleep(tt.ran)
				announced := time.Now()
				c.leave("a.0.0.0", 2*time.Second)
				c.await(tt.within, shop.Done, "a")
				if n := c.runs.count("a.0.0.0"); n != tt.starts {
					t.Errorf("a.0.0.0 was started %d times, want %d; done after %v", n, tt.starts, time.Since(announced))
				}
			})
		})
	}
}

// leave makes the worker on which a task runs announce that it leaves, and be gone after d.
func (c *cluster) leave(task string, d time.Duration) {
	c.t.Helper()
	var leaving *agent
	for _, a := range c.agents {
		if slices.Contains(a.machine.Executor().Running(), task) {
			leaving = a
		}
	}
	drain := leaving.machine.Executor().Heartbeat("s", "r1-0", leaving.heartbeats.Add(1))
	drain.Draining, drain.DrainRemaining = true, d
	if err := leaving.process.Heartbeat(c.ctx, drain); err != nil {
		c.t.Fatal(err)
	}
	time.AfterFunc(d, leaving.machine.Executor().Crash)
}

// A worker crashes and restarts with the same id while a start is on its way to it. The start
// takes effect in the new lifetime, and that run must end before the task runs elsewhere.
func TestLateStartReachesRestartedWorker(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 3)
		checker := c.watchRuns()
		c.restartAtNextStart(c.agents[0], 2, checker)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(3, 8), 2))
		c.await(25*time.Second, shop.Done, "a")
		c.reportViolations(checker)
	})
}

// As above, but the run has ended as done by the first report from the new lifetime. That end counts, also if
// the new lifetime seems to be older than the one before, as the worker's time of day has jumped back.
func TestEndOfLateStartInRestartedWorkerCounts(t *testing.T) {
	tests := []struct {
		name     string
		born     int64 // The first lifetime has 1.
		takeover bool  // Another planner takes over before that report.
	}{
		{"the planner stays", 2, false},
		{"another planner takes over", 2, true},
		{"the worker's time of day has jumped back", 0, false},
		{"its time of day has jumped back, and another planner takes over", 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 1)
				checker := c.watchRuns()
				c.restartAtNextStart(c.agents[0], tt.born, checker)
				time.Sleep(3200 * time.Millisecond) // Some time before the worker's next heartbeat.
				c.submit("a", "red", "batch", task(0.3, 1))
				if tt.takeover {
					time.Sleep(100 * time.Millisecond)
					c.planner().stop()
				}
				c.await(25*time.Second, shop.Done, "a")
				c.reportViolations(checker)
			})
		})
	}
}

// A worker restarts after its time of day has jumped back, and its agent restarts, too. The agent doesn't
// know the lifetime before, and the new one seems to be older.
func TestTasksOfForgottenLifetimeRunAgain(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 1)
		a := c.agents[0]
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(3, 1))
		time.Sleep(time.Second)
		a.kill()
		a.machine.Executor().Crash()
		next := c.newExecutor(a.name, 0)
		next.Lifetime.ID = "other"
		a.machine.SetExecutor(next)
		c.startAgentProcess(a, "r1-0")
		c.await(20*time.Second, shop.Done, "a")
	})
}

// A worker crashes and restarts with the same id. Run ends of the new lifetime have the same
// numbers as ends that were acknowledged in the lifetime before, and must not be ignored.
func TestEndsOfRestartedWorkerAreApplied(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 1)
		a := c.agents[0]
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(0.5, 1), 8))
		c.await(5*time.Second, shop.Done, "a")
		c.submit("long", "red", "batch", task(3, 1)) // It has to be stopped in the new lifetime first.
		time.Sleep(100 * time.Millisecond)
		a.machine.Executor().Crash()
		a.machine.SetExecutor(c.newExecutor(a.name, 2))
		time.Sleep(300 * time.Millisecond) // The agent retries its poll meanwhile.
		a.process.Heartbeat(c.ctx, a.machine.Executor().Heartbeat("s", "r1-0", a.heartbeats.Add(1)))
		c.submit("b", "red", "batch", many(task(0.5, 1), 2))
		c.await(5*time.Second, shop.Done, "b")
		c.checkStartedOnce("b.0.0.0", "b.0.0.1")
	})
}
