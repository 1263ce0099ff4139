// Package quarantine distinguishes workers on which most jobs fail from jobs that fail
// on every worker, and keeps work away from such workers. A Quarantine is an immutable
// value: the planner that owns it replaces it, and readers of an older one need no lock.
package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Result is the outcome of starting a worker's part of a job.
type Result struct {
	Worker  string
	Job     string
	Class   string
	Started bool
}

// State is the state of a worker in the quarantine.
type State string

// States of a worker.
const (
	// Healthy workers accept any work.
	Healthy State = "healthy"
	// Suspect workers had several failures, for which the jobs may be at fault. They
	// get one start at a time, at growing intervals.
	Suspect State = "suspect"
	// Quarantined workers get only probes, at growing intervals.
	Quarantined State = "quarantined"
)

// Thresholds and limits of failures and probes.
const (
	// Window is the time for which a result counts.
	Window = 30 * time.Minute
	// ProvenFailures is the number of jobs that must fail on a worker but start on
	// another one for the worker to be quarantined.
	ProvenFailures = 3
	// TotalFailures is the number of proven and unproven failures together for which a
	// worker is also quarantined, if the unproven ones are of several classes whose jobs
	// start elsewhere.
	TotalFailures = 6
	// SuspectFailures is the number of failures at which a worker is suspect.
	SuspectFailures = 2
	// FailuresClearedByStart is the number of failures that a successful start clears,
	// the oldest first.
	FailuresClearedByStart = 2
	// ProbeStarts is the number of successful starts in a row that end a quarantine.
	ProbeStarts = 2
	// MinProbeInterval and MaxProbeInterval limit the interval between probes.
	MinProbeInterval = 15 * time.Second
	MaxProbeInterval = time.Hour
	// JobFaultHealthyWorkers is the number of workers on which a job must fail to be at
	// fault, if all of them started other jobs lately.
	JobFaultHealthyWorkers = 3
	// JobFaultWorkers is the number of workers on which a job must fail to be at fault,
	// whether or not they started other jobs lately.
	JobFaultWorkers = 8
	// JobFaultFailures is the number of failures at which a job is at fault, however few
	// workers they were on.
	JobFaultFailures = 16
	// MaxFailuresPerWorker and MaxJobs limit the failures and jobs that are kept. The
	// oldest are dropped first.
	MaxFailuresPerWorker = 32
	MaxJobs              = 4096
)

// minUnprovenClasses is the number of classes of unproven failures that TotalFailures
// requires.
const minUnprovenClasses = 2

// Quarantine holds the recent results of workers and jobs, and the workers in
// quarantine. It is never modified in place.
type Quarantine struct {
	workers      map[string]worker
	jobs         map[string]job
	classes      map[string]class
	totalWorkers int
	maxShare     float64
}

// New returns a quarantine without results. At most the given share of the total number
// of workers may be in quarantine at once, but always at least one worker.
func New(total int, share float64) Quarantine {
	return Quarantine{totalWorkers: total, maxShare: share}
}

// WithWorkers returns the quarantine with another total and share of workers.
func (q Quarantine) WithWorkers(total int, share float64) Quarantine {
	q.totalWorkers, q.maxShare = total, share
	return q
}

// worker holds the failures on one worker, the newest last, and its quarantine.
type worker struct {
	failures          []failure
	lastStart         time.Time
	quarantined       bool
	quarantinedSince  time.Time
	probeInterval     time.Duration
	nextProbe         time.Time
	consecutiveStarts int // Successful starts in a row, while in quarantine.
}

type failure struct {
	job, class string
	at         time.Time
}

// job records on which workers a job failed and started.
type job struct {
	class        string
	failedOn     []string // Distinct workers.
	startedOn    []string
	failureCount int // Failures on workers that were not in quarantine.
	lastResult   time.Time
}

// class records the last two workers that started a job of the class. Two are enough to
// tell whether any worker but a given one did.
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

// startsElsewhere reports whether another worker started a job of the class lately.
func (c class) startsElsewhere(now time.Time, worker string) bool {
	for i, name := range c.workers {
		if name != "" && name != worker && now.Sub(c.startedAt[i]) < Window {
			return true
		}
	}
	return false
}

// Observe returns the quarantine with the results added.
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
