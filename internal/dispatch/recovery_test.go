package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// maxRecovery is the time from the store's answer to the first claim of a new planner.
const maxRecovery = 3 * time.Second

// killProcesses ends all entries and agents.
func (c *cluster) killProcesses() {
	for _, e := range c.entries {
		e.kill()
	}
	for _, a := range c.agents {
		a.kill()
	}
}

// startProcesses starts all entries and agents again.
func (c *cluster) startProcesses() {
	for i, a := range c.agents {
		c.startAgentProcess(a, fmt.Sprintf("r1-%d", i/3))
	}
	for _, e := range c.entries {
		c.restartEntry(e)
	}
}

// awaitClaim returns how long it takes until a record of progress is stored beyond the first n records.
func (c *cluster) awaitClaim(n int) time.Duration {
	started := time.Now()
	for {
		for _, r := range c.store.Records()[n:] {
			if strings.HasPrefix(r.Key, "p/") {
				return time.Since(started)
			}
		}
		if time.Since(started) > time.Minute {
			c.t.Fatal("no claim is stored within a minute")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// finalRecords counts the records with the final state of a job.
func (c *cluster) finalRecords(job string) int {
	n := 0
	for _, r := range c.store.Records() {
		if r.Key == "p/"+job && strings.HasPrefix(string(r.Value), `{"state":`) {
			n++
		}
	}
	return n
}

// All machines lose power, all processes are killed and the history is dropped, one after the other or
// together. Some jobs have ended, some run and some wait.
func TestJobsEndOnceAfterLossOfEverything(t *testing.T) {
	powerLost := func(c *cluster, checker *standin.RunChecker) {
		for i, a := range c.agents {
			c.restartWorker(a, int64(2+i), checker)
		}
		c.killProcesses()
	}
	killed := func(c *cluster, _ *standin.RunChecker) { c.killProcesses() }
	plannerLost := func(c *cluster, _ *standin.RunChecker) { c.killPlanner() }
	dropped := func(c *cluster, _ *standin.RunChecker) { c.store.DropHistory() }
	type fault = func(*cluster, *standin.RunChecker)
	tests := []struct {
		name   string
		faults []fault
		gap    time.Duration // Between two faults.
		down   time.Duration // How long the processes are gone.
		silent bool          // The store answers 2 s after they have started.
	}{
		{"power", []fault{powerLost}, 0, 0, false},
		{"power, for a while", []fault{powerLost}, 0, 3 * time.Second, false},
		{"processes", []fault{killed}, 0, 0, false},
		{"history", []fault{dropped, killed}, 0, 0, false},
		{"in order", []fault{powerLost, killed, dropped}, 400 * time.Millisecond, 0, false},
		{"in order, while the planner steps up", []fault{powerLost, killed, dropped}, 900 * time.Millisecond, 0, false},
		{"together", []fault{powerLost, killed, dropped}, 0, 0, false},
		{"together, for a while", []fault{powerLost, killed, dropped}, 0, 3 * time.Second, false},
		{"together, and the planner stays away", []fault{plannerLost, powerLost, killed, dropped}, 0, 0, false},
		{"together, and the store is silent", []fault{powerLost, killed, dropped}, 0, 500 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 5, 6)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				jobs := []string{"ended", "short", "long", "steps", "waiting"}
				c.submit("ended", "red", "batch", many(task(0.2, 1), 3))
				c.await(3*time.Second, shop.Done, "ended")
				c.submit("short", "red", "batch", many(task(0.5, 4), 4))
				c.submit("long", "red", "batch", many(task(4, 4), 4))
				c.submit("steps", "blue", "urgent", many(task(0.3, 1), 4), after(task(0.3, 1), 0))
				c.submit("waiting", "blue", "batch", many(task(2, 8), 8))
				time.Sleep(700 * time.Millisecond)
				if tt.silent {
					c.store.SetFault(standin.StoreSilent)
				}
				for i, f := range tt.faults {
					if i > 0 && tt.gap > 0 { // The processes are back when the next fault comes.
						c.startProcesses()
						time.Sleep(tt.gap)
					}
					f(c, checker)
				}
				time.Sleep(tt.down)
				c.startProcesses()
				if tt.silent {
					time.Sleep(2 * time.Second)
					c.store.SetFault(standin.StoreHealthy)
				}
				took := c.awaitClaim(len(c.store.Records()))
				t.Logf("first claim or end after %v", took)
				if took > maxRecovery {
					t.Errorf("the first claim was stored after %v, want %v at most", took, maxRecovery)
				}
				c.await(40*time.Second, shop.Done, jobs...)
				time.Sleep(3 * time.Second)
				for _, j := range jobs {
					if n := c.finalRecords(j); n != 1 {
						t.Errorf("job %s was stored as ended %d times, want once", j, n)
					}
				}
				c.reportViolations(checker)
			})
		})
	}
}
