package quarantine

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 2, 8, 0, 0, 0, time.UTC)

func ExampleQuarantine_Observe() {
	q := New(10, 0.2)
	for _, job := range []string{"j1", "j2", "j3"} {
		q = q.Observe(start,
			Result{Worker: "w1", Job: job, Class: "render"},
			Result{Worker: "w2", Job: job, Class: "render", Started: true})
	}
	fmt.Println(q.State(start, "w1"), q.State(start, "w2"))
	fmt.Println(q.Status(start)[0].Reason)
	// Output:
	// quarantined healthy
	// failed 3 jobs, of which 3 started elsewhere
}

// failedThenStarted returns the results of n jobs that fail on one worker and then start
// on another.
func failedThenStarted(n int, class, bad, good string) []Result {
	var l []Result
	for i := range n {
		job := fmt.Sprintf("%s-%s-%d", class, bad, i)
		l = append(l, Result{bad, job, class, false}, Result{good, job, class, true})
	}
	return l
}

// onlyFailed returns the results of n jobs that fail on each of the workers.
func onlyFailed(n int, class string, workers ...string) []Result {
	var l []Result
	for i := range n {
		for _, w := range workers {
			l = append(l, Result{w, fmt.Sprintf("only-%s-%d", class, i), class, false})
		}
	}
	return l
}

func TestState(t *testing.T) {
	healthy := []Result{{"w2", "a", "render", true}, {"w3", "b", "fit", true}, {"w4", "c", "quote", true}}
	tests := []struct {
		name    string
		results []Result
		after   time.Duration
		want    State
	}{
		{"no results", nil, 0, Healthy},
		{"one failure", failedThenStarted(1, "render", "w1", "w2"), 0, Healthy},
		{"two jobs that start elsewhere", failedThenStarted(2, "render", "w1", "w2"), 0, Suspect},
		{"three jobs that start elsewhere", failedThenStarted(3, "render", "w1", "w2"), 0, Quarantined},
		{"still quarantined a day later", failedThenStarted(3, "render", "w1", "w2"), 24 * time.Hour, Quarantined},
		{"suspect state expires", failedThenStarted(2, "render", "w1", "w2"), Window, Healthy},
		{"one bad job, many times", slices.Concat(healthy, onlyFailed(1, "render", "w1", "w1", "w1", "w1", "w1")), 0, Healthy},
		{"bad jobs that fail everywhere", slices.Concat(healthy, onlyFailed(9, "render", "w1", "w2", "w3")), 0, Healthy},
		{"bad jobs of two classes", slices.Concat(healthy, onlyFailed(4, "render", "w1", "w2"), onlyFailed(4, "fit", "w1", "w2")), 0, Healthy},
		{"a burst of one class", slices.Concat(healthy, onlyFailed(20, "render", "w1")), 0, Suspect},
		{"failures of two classes that start elsewhere", slices.Concat(healthy, onlyFailed(3, "render", "w1"), onlyFailed(3, "fit", "w1")), 0, Quarantined},
		{"failures of classes that start nowhere", slices.Concat(onlyFailed(9, "render", "w1"), onlyFailed(9, "fit", "w1")), 0, Suspect},
		{"a start clears failures", slices.Concat(failedThenStarted(2, "render", "w1", "w2"), []Result{{"w1", "x", "fit", true}}), 0, Healthy},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(10, 0.2).Observe(start, tt.results...)
			if got := q.State(start.Add(tt.after), "w1"); got != tt.want {
				t.Errorf("%s, want %s", got, tt.want)
			}
		})
	}
}

func TestProbes(t *testing.T) {
	q := New(10, 0.2).Observe(start, failedThenStarted(3, "render", "w1", "w2")...)
	now, last := start, time.Duration(0)
	for i := range 12 {
		from := now
		for !q.MayProbe(now, "w1") {
			now = now.Add(time.Second)
		}
		if wait := now.Sub(from); wait < min(last, MaxProbeInterval) || wait > MaxProbeInterval {
			t.Errorf("probe %d after %v, previous one after %v", i, wait, last)
		} else {
			last = wait
		}
		q = q.WithProbe(now, "w1")
		q = q.Observe(now, Result{"w1", fmt.Sprint("probe", i), "render", false})
	}
	if last != MaxProbeInterval {
		t.Errorf("longest interval is %v, not MaxProbeInterval", last)
	}
	now = now.Add(MaxProbeInterval)
	q = q.Observe(now, Result{"w1", "good", "render", true})
	if q.State(now, "w1") != Quarantined || !q.MayProbe(now, "w1") {
		t.Error("after one successful probe, the worker must stay in quarantine and allow the next probe at once")
	}
	q = q.Observe(now, Result{"w1", "better", "render", true})
	if q.State(now, "w1") != Healthy {
		t.Error("worker still not healthy after two successful probes")
	}
}

func TestMaxQuarantined(t *testing.T) {
	tests := []struct {
		total int
		share float64
		want  int
	}{{10, 0.2, 2}, {10, 0, 1}, {3, 0.2, 1}, {40, 0.2, 6}}
	for _, tt := range tests {
		q := New(tt.total, tt.share)
		for i := range 6 {
			q = q.Observe(start, failedThenStarted(3, "render", fmt.Sprint("bad", i), "good")...)
		}
		got := 0
		for _, s := range q.Status(start) {
			if s.State == Quarantined {
				got++
			}
		}
		if got != tt.want || len(q.Status(start)) != 6 {
			t.Errorf("%d of %d in quarantine, want %d; %d not healthy, want 6", got, tt.total, tt.want, len(q.Status(start)))
		}
	}
}

func TestCheckJob(t *testing.T) {
	healthy := []Result{{"w1", "a", "fit", true}, {"w2", "b", "fit", true}, {"w3", "c", "fit", true}}
	tests := []struct {
		name    string
		results []Result
		want    bool
	}{
		{"unknown", nil, false},
		{"two healthy workers", slices.Concat(healthy, onlyFailed(1, "render", "w1", "w2")), false},
		{"three healthy workers", slices.Concat(healthy, onlyFailed(1, "render", "w1", "w2", "w3")), true},
		{"three workers that start nothing", onlyFailed(1, "render", "w1", "w2", "w3"), false},
		{"eight workers that start nothing", onlyFailed(1, "render", "1", "2", "3", "4", "5", "6", "7", "8"), true},
		{"one worker, again and again", onlyFailed(1, "render", slices.Repeat([]string{"w1"}, JobFaultFailures)...), true},
		{"started once", slices.Concat(healthy, onlyFailed(1, "render", "w1", "w2", "w3"), []Result{{"w4", "only-render-0", "render", true}}), false},
		{"a worker in quarantine does not count", slices.Concat(healthy, failedThenStarted(3, "fit", "w3", "w1"), onlyFailed(1, "render", "w1", "w2", "w3")), false},
	}
	for _, tt := range tests {
		err := New(10, 0.2).Observe(start, tt.results...).CheckJob(start, "only-render-0")
		if errors.Is(err, ErrAlwaysFails) != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
		}
	}
	q := New(10, 0.2).Observe(start, onlyFailed(1, "render", "w1", "w2")...)
	if d := cmp.Diff([]string{"w1", "w2"}, q.FailedWorkers("only-render-0")); d != "" {
		t.Error(d)
	}
}

// TestNoFalsePositives starts working and failing jobs on working and failing workers in
// random order. No working worker may be quarantined, and no working job found at fault.
func TestNoFalsePositives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 11
		badWorkers := rapid.IntRange(0, 2).Draw(t, "bad workers")
		badJobs := rapid.IntRange(0, 10).Draw(t, "bad jobs")
		q, now := New(total, 0.2), start
		for n := range 300 {
			now = now.Add(time.Second)
			job := rapid.IntRange(0, 40).Draw(t, "job")
			id := fmt.Sprint(job, "-", n/100)
			w := rapid.IntRange(0, total-1).Draw(t, "worker")
			name := fmt.Sprint("w", w)
			if q.CheckJob(now, id) != nil || slices.Contains(q.FailedWorkers(id), name) || !q.MayProbe(now, name) {
				continue
			}
			q = q.WithProbe(now, name)
			started := job >= badJobs && w >= badWorkers
			q = q.Observe(now, Result{name, id, fmt.Sprint("class-", job%3), started})
			if w >= badWorkers && q.State(now, name) == Quarantined {
				t.Fatalf("working %s quarantined: %+v", name, q.Status(now))
			}
			if err := q.CheckJob(now, id); job >= badJobs && err != nil {
				t.Fatalf("working job %s found at fault: %v", id, err)
			}
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	for _, workers := range []int{11, 160, 640, 2560} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			q := New(workers, 0.2)
			for i := range workers {
				q = q.Observe(start, Result{fmt.Sprint(i), fmt.Sprint(i), "render", i%10 > 0})
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Observe(start, Result{"1", "new", "render", true})
			}
		})
	}
}
