package dispatch_test

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// placements records on which workers the tasks of jobs started.
type placements struct {
	mu   sync.Mutex
	jobs map[string][]string
}

func (p *placements) record(worker, task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, err := clusterstate.ParseTaskID(task); err == nil {
		p.jobs[t.Job] = append(p.jobs[t.Job], worker)
	}
}

func (p *placements) of(job string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(slices.Values(p.jobs[job]))
}

// newUnevenCluster returns a cluster some of whose workers take 2.4 times as long as the others.
func newUnevenCluster(t *testing.T, workers int, slow ...string) (*cluster, *placements) {
	placed := &placements{jobs: make(map[string][]string)}
	c := newClusterWith(t, 3, workers, func(*standin.Store) {}, func(e *standin.Executor) {
		required, started := e.Requirements, e.OnRunStarted
		e.OnRunStarted = func(task string, run int) {
			placed.record(e.Lifetime.ID, task)
			started(task, run)
		}
		if slices.Contains(slow, e.Lifetime.ID) {
			e.Requirements = func(task string) (workflow.Resources, time.Duration) {
				r, d := required(task)
				return r, time.Duration(2.4 * float64(d))
			}
		}
	})
	return c, placed
}

// Urgent gangs start on the fast workers once a job has run on all of them, also with the next planner.
func TestUrgentWorkStartsOnFastWorkers(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c, placed := newUnevenCluster(t, 6, "worker-1", "worker-4")
		checker := c.watchRuns()
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(6, 8), 6))
		c.await(40*time.Second, shop.Done, "a")
		fast := []string{"worker-0", "worker-2", "worker-3", "worker-5"}
		c.submit("b", "red", "urgent", gang(task(2, 8), 4))
		c.await(10*time.Second, shop.Done, "b")
		if diff := cmp.Diff(fast, placed.of("b")); diff != "" {
			t.Errorf("workers of the gang (-want +got):\n%s", diff)
		}
		time.Sleep(6 * time.Second)
		c.killPlanner()
		c.awaitPlanner()
		time.Sleep(3 * time.Second)
		c.submit("c", "red", "urgent", gang(task(2, 8), 4))
		c.await(10*time.Second, shop.Done, "c")
		if diff := cmp.Diff(fast, placed.of("c")); diff != "" {
			t.Errorf("workers of the gang with the next planner (-want +got):\n%s", diff)
		}
		c.reportViolations(checker)
	})
}

// The running tasks of a job tell the paces a few seconds after its start, before any of them ends.
func TestProgressTellsPaces(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c, placed := newUnevenCluster(t, 6, "worker-1", "worker-4")
		checker := c.watchRuns()
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", gang(task(30, 5), 6))
		time.Sleep(5 * time.Second)
		c.submit("b", "red", "urgent", gang(task(2, 3), 2))
		c.await(10*time.Second, shop.Done, "b")
		for _, worker := range placed.of("b") {
			if worker == "worker-1" || worker == "worker-4" {
				t.Errorf("the gang started on %s, which is slow", worker)
			}
		}
		c.reportViolations(checker)
	})
}

// Runs that begin while their worker is cold, and so slow for a while, say nothing about its pace.
func TestColdWorkersAreNotTakenAsSlow(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c, _ := newUnevenCluster(t, 6, "worker-1", "worker-4")
		for _, a := range c.agents {
			if a.name == "worker-1" || a.name == "worker-4" {
				a.coldFor.Store(int64(time.Minute))
			}
		}
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(2, 8), 30))
		c.await(60*time.Second, shop.Done, "a")
		time.Sleep(6 * time.Second)
		for _, r := range c.store.Records() {
			if strings.HasPrefix(r.Key, "pace/") {
				t.Errorf("record %q was stored: %s", r.Key, r.Value)
			}
		}
	})
}

// Nothing is stored as long as all workers are alike.
func TestPacesOfLikeWorkersAreNotStored(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c, _ := newUnevenCluster(t, 4)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(5, 8), 12))
		c.await(60*time.Second, shop.Done, "a")
		for _, r := range c.store.Records() {
			if strings.HasPrefix(r.Key, "pace/") {
				t.Errorf("record %q was stored: %s", r.Key, r.Value)
			}
		}
	})
}

// The store rejects the records of the paces for a while. They are stored soon after.
func TestRejectedPacesAreStoredAgain(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c, _ := newUnevenCluster(t, 6, "worker-1", "worker-4")
		checker := c.watchRuns()
		time.Sleep(3 * time.Second)
		c.store.Reject("pace/")
		c.submit("a", "red", "batch", many(task(3, 8), 24))
		c.await(60*time.Second, shop.Done, "a")
		time.Sleep(6 * time.Second)
		c.store.Reject("")
		time.Sleep(6 * time.Second)
		state := &clusterstate.State{}
		for _, r := range c.store.Records() {
			if err := state.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		if got := len(state.Paces()); got != 6 {
			t.Errorf("the paces of %d machines are stored, want 6", got)
		}
		c.reportViolations(checker)
	})
}

// A worker answers starts late, when its tasks have made progress. It isn't taken as fast for that.
func TestLateAnswersTellNoPace(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c, _ := newUnevenCluster(t, 6)
		late := func(err error) error {
			time.Sleep(1200 * time.Millisecond)
			return err
		}
		c.agents[0].answerStart.Store(&late)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(4, 8), 30))
		c.await(60*time.Second, shop.Done, "a")
		time.Sleep(6 * time.Second)
		for _, r := range c.store.Records() {
			if strings.HasPrefix(r.Key, "pace/") {
				t.Errorf("record %q was stored: %s", r.Key, r.Value)
			}
		}
	})
}

// shownPaces returns the lines of the metrics that tell the workers' paces.
func shownPaces() (out []string) {
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, "sniperill_planner_worker_pace{") {
			out = append(out, line)
		}
	}
	return out
}

// The entry that plans shows the pace of each worker, and none once it has stopped.
func TestPacesAreShown(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c, _ := newUnevenCluster(t, 3, "worker-1")
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(3, 8), 12))
		c.await(60*time.Second, shop.Done, "a")
		for i, line := range shownPaces() {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			pace, err := strconv.ParseFloat(value, 64)
			if want := fmt.Sprintf(`sniperill_planner_worker_pace{worker="worker-%d"}`, i); name != want {
				t.Errorf("metric %s, want %s", name, want)
			}
			if slow := pace > 1.5; err != nil || slow != (i == 1) {
				t.Errorf("%s is %v (%v)", name, pace, err)
			}
		}
		if n := len(shownPaces()); n != 3 {
			t.Errorf("the paces of %d workers are shown, want 3", n)
		}
		c.killPlanner()
		time.Sleep(time.Second)
		if lines := shownPaces(); len(lines) > 0 {
			t.Errorf("shown by a planner that has stopped: %q", lines)
		}
	})
}
