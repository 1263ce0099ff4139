package quarantine

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrAlwaysFails says that a job failed on so many workers that it is at fault.
var ErrAlwaysFails = errors.New("job fails wherever it is started")

// quarantineFailing puts workers into quarantine that the evidence is against, the worst
// first, as far as the cap allows.
func (q Quarantine) quarantineFailing(now time.Time) {
	type bad struct {
		name   string
		proven int
	}
	var list []bad
	for name, w := range q.workers {
		if w.quarantined {
			continue
		}
		proven, unproven, classes := q.countFailures(now, name)
		if proven >= ProvenFailures || unproven >= UnprovenFailures && classes >= minUnprovenClasses {
			list = append(list, bad{name, proven})
		}
	}
	slices.SortFunc(list, func(a, b bad) int {
		return cmp.Or(cmp.Compare(b.proven, a.proven), cmp.Compare(a.name, b.name))
	})
	for _, b := range list[:min(len(list), max(0, q.maxQuarantined()-q.countQuarantined()))] {
		w := q.workers[b.name]
		w.quarantined, w.quarantinedSince, w.consecutiveStarts = true, now, 0
		w.probeInterval = max(w.probeInterval, MinProbeInterval)
		w.nextProbe = now.Add(w.probeInterval)
		q.workers[b.name] = w
	}
}

// countFailures counts the jobs that the worker failed and that are not themselves
// in doubt: those that started elsewhere, and those that were tried nowhere
// else but whose class starts elsewhere, with the number of such classes.
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

// State says how far the worker is trusted now.
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

// MayProbe says whether the worker may be given one start now. Healthy workers
// always may. WithProbe must follow when the start is given.
func (q Quarantine) MayProbe(now time.Time, name string) bool {
	return q.State(now, name) == Healthy || !now.Before(q.workers[name].nextProbe)
}

// WithProbe returns the quarantine with a start given to the worker: the next
// one may follow after an interval that grows with each.
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

// FailedWorkers returns the workers that failed the job lately, to try others first.
func (q Quarantine) FailedWorkers(id string) []string { return slices.Clone(q.jobs[id].failedOn) }

// CheckJob returns an error that wraps ErrAlwaysFails when the job is at fault:
// it started nowhere and failed on several workers that start other jobs.
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

// WorkerStatus is what an operator sees of a worker that is not healthy.
type WorkerStatus struct {
	Worker    string    `json:"worker"`
	State     State     `json:"state"`
	Since     time.Time `json:"since"`
	NextProbe time.Time `json:"next-probe"`
	Reason    string    `json:"reason"`
}

// WorkerStatusList is the workers that are not healthy, sorted by name.
type WorkerStatusList []WorkerStatus

// Status lists the workers that are not healthy.
func (q Quarantine) Status(now time.Time) WorkerStatusList {
	var out WorkerStatusList
	for name, w := range q.workers {
		state := q.State(now, name)
		if state == Healthy {
			continue
		}
		proven, _, _ := q.countFailures(now, name)
		out = append(out, WorkerStatus{
			Worker: name, State: state, Since: w.quarantinedSince, NextProbe: w.nextProbe,
			Reason: fmt.Sprintf("failed %d jobs, of which %d started elsewhere", len(w.failures), proven),
		})
	}
	slices.SortFunc(out, func(a, b WorkerStatus) int { return cmp.Compare(a.Worker, b.Worker) })
	return out
}
