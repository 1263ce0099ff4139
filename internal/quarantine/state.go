package quarantine

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrAlwaysFails is returned for a job that failed on so many workers, or so often,
// that the job is at fault and not the workers.
var ErrAlwaysFails = errors.New("job fails wherever it is started")

// quarantineFailing puts the workers whose failures reach a threshold into quarantine,
// those with the most proven failures first, up to the limit.
func (q Quarantine) quarantineFailing(now time.Time) {
	type candidate struct {
		name   string
		proven int
	}
	var candidates []candidate
	for name, w := range q.workers {
		if w.quarantined {
			continue
		}
		proven, total, classes := q.countFailures(now, name)
		if proven >= ProvenFailures || total >= TotalFailures && classes >= minUnprovenClasses {
			candidates = append(candidates, candidate{name, proven})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.proven, a.proven), cmp.Compare(a.name, b.name))
	})
	for _, c := range candidates[:min(len(candidates), max(0, q.maxQuarantined()-q.countQuarantined()))] {
		w := q.workers[c.name]
		w.quarantined, w.quarantinedSince, w.consecutiveStarts = true, now, 0
		w.probeInterval = max(w.probeInterval, MinProbeInterval)
		w.nextProbe = now.Add(w.probeInterval)
		q.workers[c.name] = w
	}
}

// countFailures counts the jobs that failed on the worker within Window, apart from
// those that may be at fault themselves. A failure is proven if the job started on
// another worker. It is unproven if the job failed on no other worker, but another
// worker started its class lately. The second result is the sum of both; classes is
// the number of classes with unproven failures.
func (q Quarantine) countFailures(now time.Time, name string) (proven, unproven, classes int) {
	seen := make(map[string]bool)
	for _, f := range q.workers[name].failures {
		j := q.jobs[f.job]
		switch {
		case now.Sub(f.at) >= Window:
		case slices.ContainsFunc(j.startedOn, func(w string) bool { return w != name }):
			proven++
		case !q.failsElsewhere(f.job, name) && q.classes[f.class].startsElsewhere(now, name):
			unproven++
			seen[f.class] = true
		}
	}
	return proven, proven + unproven, len(seen)
}

func (q Quarantine) maxQuarantined() int { return max(1, int(q.maxShare*float64(q.totalWorkers))) }

func (q Quarantine) countQuarantined() int {
	n := 0
	for _, w := range q.workers {
		if w.quarantined {
			n++
		}
	}
	return n
}

// State returns the state of the worker.
func (q Quarantine) State(now time.Time, name string) State {
	w := q.workers[name]
	if w.quarantined {
		return Quarantined
	}
	n := 0
	for _, f := range w.failures {
		if now.Sub(f.at) < Window && !q.failsElsewhere(f.job, name) {
			n++
		}
	}
	if n >= SuspectFailures {
		return Suspect
	}
	return Healthy
}

// MayProbe reports whether one start may be sent to the worker now. This is always so
// for healthy workers. If a start is sent, WithProbe must be called.
func (q Quarantine) MayProbe(now time.Time, name string) bool {
	return q.State(now, name) == Healthy || !now.Before(q.workers[name].nextProbe)
}

// WithProbe returns the quarantine after a start has been sent to the worker. Unless
// the worker is healthy, the next one may follow after an interval that doubles with
// each probe, up to MaxProbeInterval.
func (q Quarantine) WithProbe(now time.Time, name string) Quarantine {
	if q.State(now, name) == Healthy {
		return q
	}
	q.workers = cloneMap(q.workers)
	w := q.workers[name]
	w.probeInterval = min(max(2*w.probeInterval, MinProbeInterval), MaxProbeInterval)
	w.nextProbe = now.Add(w.probeInterval)
	q.workers[name] = w
	return q
}

// FailedWorkers returns the workers on which the job failed lately, so that others can
// be tried first.
func (q Quarantine) FailedWorkers(id string) []string { return slices.Clone(q.jobs[id].failedOn) }

// CheckJob returns an error that wraps ErrAlwaysFails if the job is at fault: it started
// nowhere, and it failed on several workers that start other jobs, on many workers of
// any kind, or many times. Workers in quarantine don't count.
func (q Quarantine) CheckJob(now time.Time, id string) error {
	j, ok := q.jobs[id]
	if !ok || len(j.startedOn) > 0 {
		return nil
	}
	var healthy, other []string
	for _, name := range j.failedOn {
		w := q.workers[name]
		switch {
		case w.quarantined:
		case !w.lastStart.IsZero() && now.Sub(w.lastStart) < Window:
			healthy = append(healthy, name)
		default:
			other = append(other, name)
		}
	}
	if len(healthy) >= min(JobFaultHealthyWorkers, max(1, q.totalWorkers)) {
		return fmt.Errorf("%w: failed on %s, which start other jobs", ErrAlwaysFails, strings.Join(healthy, ", "))
	}
	if n := len(healthy) + len(other); n >= JobFaultWorkers || j.failureCount >= JobFaultFailures {
		return fmt.Errorf("%w: failed %d times on %s", ErrAlwaysFails, j.failureCount, strings.Join(append(healthy, other...), ", "))
	}
	return nil
}

// WorkerStatus describes a worker that is not healthy to operators.
type WorkerStatus struct {
	Worker    string    `json:"worker"`
	State     State     `json:"state"`
	Since     time.Time `json:"since"`
	NextProbe time.Time `json:"next-probe"`
	Reason    string    `json:"reason"`
}

// WorkerStatusList is a list of workers that are not healthy, sorted by name.
type WorkerStatusList []WorkerStatus

// Status returns the workers that are not healthy. The number of failed jobs in Reason
// covers all failures kept, the number started elsewhere only those within Window.
func (q Quarantine) Status(now time.Time) WorkerStatusList {
	var list WorkerStatusList
	for name, w := range q.workers {
		state := q.State(now, name)
		if state == Healthy {
			continue
		}
		proven, _, _ := q.countFailures(now, name)
		list = append(list, WorkerStatus{
			Worker: name, State: state, Since: w.quarantinedSince, NextProbe: w.nextProbe,
			Reason: fmt.Sprintf("failed %d jobs, of which %d started elsewhere", len(w.failures), proven),
		})
	}
	slices.SortFunc(list, func(a, b WorkerStatus) int { return cmp.Compare(a.Worker, b.Worker) })
	return list
}
