// Package quarantine tells workers that fail everything they start from jobs
// that fail wherever they are started. It is an immutable value: the planner
// that owns it replaces it, and readers of an older one need no lock.
package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Result says whether a worker started its part of a job.
type Result struct {
	Worker  string
	Job     string
	Class   string
	Started bool
}

// State is how far a worker is trusted.
type State string

// States of a worker.
const (
	// Healthy workers take any work.
	Healthy State = "healthy"
	// Suspect workers failed several jobs, which may be the fault of the jobs.
	// They take one start at a time, at growing intervals.
	Suspect State = "suspect"
	// Quarantined workers take only probes, at growing intervals.
	Quarantined State = "quarantined"
)

// Bounds of the evidence and of the probes.
const (
	// Window is how long a result counts.
	Window = 30 * time.Minute
	// ProvenFailures of jobs that started elsewhere put a worker into quarantine.
	ProvenFailures = 3
	// UnprovenFailures do so too when they are of several classes that start elsewhere.
	UnprovenFailures = 6
	// SuspectFailures make a worker suspect.
	SuspectFailures = 2
	// FailuresClearedByStart is how many failures a start makes up for.
	FailuresClearedByStart = 2
	// ProbeStarts in a row end a quarantine.
	ProbeStarts = 2
	// MinProbeInterval and LongestProbe bound the interval between probes.
	MinProbeInterval = 15 * time.Second
	MaxProbeInterval = time.Hour
	// JobFaultHealthyWorkers that failed a job prove that the job is at fault.
	JobFaultHealthyWorkers = 3
	// JobFaultWorkers do so too when none of them has started anything lately.
	JobFaultWorkers = 8
	// JobFaultFailures do so too, however few workers there are to try.
	JobFaultFailures = 16
	// MaxFailuresPerWorker kept for a worker, and MaxJobs kept; the oldest go first.
	MaxFailuresPerWorker = 32
	MaxJobs              = 4096
)

const minUnprovenClasses = 2

// Quarantine is the evidence of the last while and what follows from it.
// It is never changed in place.
type Quarantine struct {
	workers      map[string]worker
	jobs         map[string]job
	classes      map[string]class
	totalWorkers int
	maxShare     float64
}

// New returns a quarantine without evidence. Of the workers in total, at most
// the share may be in quarantine at once, but always one.
func New(total int, share float64) Quarantine {
	return Quarantine{totalWorkers: total, maxShare: share}
}

// WithWorkers returns the quarantine under another cap.
func (q Quarantine) WithWorkers(total int, share float64) Quarantine {
	q.totalWorkers, q.maxShare = total, share
	return q
}

// worker is what one worker failed, newest last, and its quarantine.
type worker struct {
	failures          []failure
	lastStart         time.Time
	quarantined       bool
	quarantinedSince  time.Time
	probeInterval     time.Duration
	nextProbe         time.Time
	consecutiveStarts int // Probes that started, in a row.
}

type failure struct {
	job, class string
	at         time.Time
}

// job is where a job failed and where it started.
type job struct {
	class        string
	failedOn     []string // Distinct workers.
	startedOn    []string
	failureCount int // Failures on workers that were not in quarantine.
	lastResult   time.Time
}

// class is the two workers that last started a job of it.
type class struct {
	workers   [2]string
	startedAt [2]time.Time
}

func (c class) withStart(worker string, now time.Time) class {
	if c.workers[0] != worker {
		c.workers[1], c.startedAt[1] = c.workers[0], c.startedAt[0]
	}
	c.workers[0], c.startedAt[0] = worker, now
	return c
}

// startsElsewhere says whether another worker started the class lately.
func (c class) startsElsewhere(now time.Time, worker string) bool {
	for i, name := range c.workers {
		if name != "" && name != worker && now.Sub(c.startedAt[i]) < Window {
			return true
		}
	}
	return false
}

// Observe returns the quarantine with results added.
func (q Quarantine) Observe(now time.Time, results ...Result) Quarantine {
	q.workers, q.jobs, q.classes = cloneMap(q.workers), cloneMap(q.jobs), cloneMap(q.classes)
	maps.DeleteFunc(q.jobs, func(_ string, j job) bool { return now.Sub(j.lastResult) >= Window })
	for _, r := range results {
		q.observeJob(now, r)
		if r.Started {
			q.observeStart(now, r)
		} else {
			q.observeFailure(now, r)
		}
	}
	q.quarantineFailing(now)
	return q
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

func (q Quarantine) observeJob(now time.Time, r Result) {
	j, known := q.jobs[r.Job]
	if !known && len(q.jobs) >= MaxJobs {
		q.dropOldestJob()
	}
	j.class, j.lastResult = r.Class, now
	if r.Started {
		j.startedOn = appendUnique(j.startedOn, r.Worker)
	} else {
		j.failedOn = appendUnique(j.failedOn, r.Worker)
		if !q.workers[r.Worker].quarantined {
			j.failureCount++
		}
	}
	q.jobs[r.Job] = j
}

func appendUnique(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(slices.Clone(names), name)
}

func (q Quarantine) dropOldestJob() {
	var oldest string
	for id, j := range q.jobs {
		if at := q.jobs[oldest].lastResult; oldest == "" || j.lastResult.Before(at) || j.lastResult.Equal(at) && id < oldest {
			oldest = id
		}
	}
	delete(q.jobs, oldest)
}

func (q Quarantine) observeStart(now time.Time, r Result) {
	q.classes[r.Class] = q.classes[r.Class].withStart(r.Worker, now)
	w := q.workers[r.Worker]
	w.lastStart = now
	w.consecutiveStarts++
	w.nextProbe = now
	switch {
	case !w.quarantined:
		w.failures = slices.Clone(w.failures[min(len(w.failures), FailuresClearedByStart):])
		if len(w.failures) < SuspectFailures {
			w.probeInterval = 0
		}
	case w.consecutiveStarts >= ProbeStarts:
		w.quarantined = false
		w.failures = nil
	}
	q.workers[r.Worker] = w
}

func (q Quarantine) observeFailure(now time.Time, r Result) {
	w := q.workers[r.Worker]
	w.failures = slices.DeleteFunc(slices.Clone(w.failures), func(f failure) bool {
		return f.job == r.Job || now.Sub(f.at) >= Window
	})
	w.failures = append(w.failures, failure{r.Job, r.Class, now})
	w.failures = w.failures[max(0, len(w.failures)-MaxFailuresPerWorker):]
	if w.quarantined && !q.failsElsewhere(r.Job, r.Worker) {
		w.consecutiveStarts = 0
	}
	q.workers[r.Worker] = w
}

func (q Quarantine) failsElsewhere(id, worker string) bool {
	j := q.jobs[id]
	return len(j.startedOn) == 0 && slices.ContainsFunc(j.failedOn, func(w string) bool { return w != worker })
}
