package matrix

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// maxAbandons is the maximum number of Abandon requests in a run. More of them mean that
// they are retried in a loop.
const maxAbandons = 200

// check compares the results that callers got with what the stand-ins ran.
func (d *deployment) check(faults []*armedFault, dep *departure) {
	d.checkFaults(faults)
	d.checkRequests(faults)
	d.checkJobs(faults)
	d.checkAccelerators()
	d.checkLeaving(dep)
	for _, a := range d.agents {
		if n := a.backend.excess(); n > 0 {
			d.errorf("%s: %d requests arrived while all slots were in use", a.name, n)
		}
	}
}

// checkFaults checks that a fault was injected. Of a pair, one is enough: the first fault
// may keep the work from reaching the step of the other.
func (d *deployment) checkFaults(faults []*armedFault) {
	d.trigger.mu.Lock()
	defer d.trigger.mu.Unlock()
	if n := d.trigger.abandonCount; n > maxAbandons {
		d.violations = append(d.violations, fmt.Sprintf("%d requests to abandon an attempt: they are retried in a loop", n))
	}
	if !slices.ContainsFunc(faults, func(a *armedFault) bool { return a.fired }) {
		d.violations = append(d.violations, fmt.Sprintf("the step %s was never reached", faults[0].step))
	}
}

// runCount returns how often requests with any of the IDs were run on all backend servers.
func (d *deployment) runCount(ids []string) int {
	n := 0
	for _, id := range ids {
		for _, a := range d.agents {
			n += a.backend.runCount(id)
		}
	}
	return n
}

// requestsUnaffected reports whether none of the faults affects requests, so that all of
// them must be done.
func requestsUnaffected(faults []*armedFault) bool {
	for _, a := range faults {
		if a.fault != None && a.fault != OperatorsRace && a.fault != WorkerFailsAll {
			return false
		}
	}
	return true
}

func (d *deployment) checkRequests(faults []*armedFault) {
	for _, r := range d.workload.results {
		ran := d.runCount(r.ids)
		idempotent := r.kind == "quote" || r.kind == "burst"
		if !idempotent && ran > 1 {
			d.errorf("%v must run at most once: ran %d times, reported %q", r.ids, ran, r.outcome)
		}
		if r.outcome == shop.OutcomeDone && ran == 0 {
			d.errorf("%v was reported done but never ran", r.ids)
		}
		if r.outcome == shop.OutcomeNotRun && ran > 0 {
			d.errorf("%v was reported not run but ran %d times", r.ids, ran)
		}
		if requestsUnaffected(faults) && r.outcome != shop.OutcomeDone {
			d.errorf("%v ended %q although no fault affects requests", r.ids, r.outcome)
		}
	}
}

// workerSpan is a period in which a task ran on a worker.
type workerSpan struct {
	standin.Span

	worker string
}

// spans returns the periods in which tasks of a job ran, or of all jobs when job is empty,
// sorted by start time.
func (d *deployment) spans(job string) []workerSpan {
	var out []workerSpan
	for _, a := range d.agents {
		for _, s := range a.worker.Spans() {
			if job == "" || s.Job == job {
				out = append(out, workerSpan{s, a.name})
			}
		}
	}
	slices.SortFunc(out, func(a, b workerSpan) int { return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Task, b.Task)) })
	return out
}

func (d *deployment) checkJobs(faults []*armedFault) {
	for _, j := range d.workload.jobs {
		s := j.submission
		spans := d.spans(s.Team + "/" + s.ID)
		class, _ := config(1).Classes.Find(s.Class)
		d.checkGang(s.ID, class.Shape, spans)
		switch j.status.State {
		case shop.Done:
			d.checkDone(j, class, spans)
		case shop.NotRun:
			if len(spans) > 0 {
				d.errorf("job %s was reported not run but ran %d tasks", s.ID, len(spans))
			}
		case shop.Cancelled:
			if j.cancelledAt.IsZero() {
				d.errorf("job %s was reported cancelled but was not cancelled by its caller", s.ID)
			}
		case shop.Failed:
			d.checkFailed(j, class, faults)
		}
		for _, p := range spans {
			if p.End == "" {
				d.errorf("job %s ended %s but still runs on %s", s.ID, j.status.State, p.worker)
			}
			if !j.learnedAt.IsZero() && p.From.After(j.learnedAt) {
				d.errorf("job %s ended %s but a task started later on %s", s.ID, j.status.State, p.worker)
			}
		}
		if !class.Idempotent && len(splitByAttempt(spans)) > 1 {
			d.errorf("job %s must run at most once: ran %d attempts", s.ID, len(splitByAttempt(spans)))
		}
		if s.ID == "long" && j.accepted && j.status.State != shop.Cancelled {
			d.errorf("cancelled job ended %q: %s", j.status.State, j.status.Reason)
		}
	}
}

func (d *deployment) checkDone(j *jobResult, class shop.Class, spans []workerSpan) {
	for _, attempt := range splitByAttempt(spans) {
		done := 0
		for _, p := range attempt {
			if p.End == standin.TaskDone {
				done++
			}
		}
		if done == max(1, class.Shape.Tasks) {
			return
		}
	}
	d.errorf("job %s was reported done but no attempt of it is: %v", j.submission.ID, spans)
}

// checkFailed checks that a job that ended failed was allowed to: an idempotent one only if
// a worker fails every task, and any other only if that or another fault affects it.
func (d *deployment) checkFailed(j *jobResult, class shop.Class, faults []*armedFault) {
	workerBroken := slices.ContainsFunc(faults, func(a *armedFault) bool { return a.fault == WorkerFailsAll })
	if class.Idempotent && !workerBroken || requestsUnaffected(faults) && !workerBroken {
		d.errorf("job %s ended failed without a fault that allows it: %s", j.submission.ID, j.status.Reason)
	}
}

// splitByAttempt groups spans by attempt, in the order of their first spans.
func splitByAttempt(spans []workerSpan) [][]workerSpan {
	var out [][]workerSpan
	byNumber := make(map[uint32]int)
	for _, p := range spans {
		i, ok := byNumber[p.Attempt]
		if !ok {
			i = len(out)
			byNumber[p.Attempt] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], p)
	}
	return out
}

// checkGang checks that no attempt ran with only a part of its tasks for longer than the
// lease and its margin, and that no two attempts ran at the same time.
func (d *deployment) checkGang(id string, shape shop.Shape, spans []workerSpan) {
	all := splitByAttempt(spans)
	for i, attempt := range all {
		if part := longestPartialRun(attempt, max(1, shape.Tasks), time.Now()); part > gangTimes().ExpireAfter() {
			d.errorf("job %s attempt %d ran with only a part of its tasks for %s", id, attempt[0].Attempt, part)
		}
		for _, p := range attempt {
			for _, later := range all[i+1:] {
				for _, q := range later {
					if overlap(p, q, time.Now()) {
						d.errorf("job %s ran attempts %d and %d at the same time", id, p.Attempt, q.Attempt)
					}
				}
			}
		}
	}
}

// spanEnd returns the end of a span, or now while the task still runs.
func spanEnd(p workerSpan, now time.Time) time.Time {
	if p.End == "" {
		return now
	}
	return p.To
}

// overlap reports whether two tasks ran at the same time.
func overlap(a, b workerSpan, now time.Time) bool {
	return a.From.Before(spanEnd(b, now)) && b.From.Before(spanEnd(a, now))
}

// longestPartialRun returns the longest time in which some tasks of an attempt ran while
// others were neither running nor done.
func longestPartialRun(attempt []workerSpan, tasks int, now time.Time) time.Duration {
	var edges []time.Time
	for _, p := range attempt {
		edges = append(edges, p.From, spanEnd(p, now))
	}
	slices.SortFunc(edges, time.Time.Compare)
	var longest, length time.Duration
	for i := range len(edges) - 1 {
		from, to := edges[i], edges[i+1]
		runs, done := 0, 0
		for _, p := range attempt {
			switch end := spanEnd(p, now); {
			case !p.From.After(from) && !end.Before(to):
				runs++
			case p.End == standin.TaskDone && !end.After(from):
				done++
			}
		}
		if runs == 0 || runs+done == tasks {
			length = 0
			continue
		}
		length += to.Sub(from)
		longest = max(longest, length)
	}
	return longest
}

// checkAccelerators checks that no accelerator ran two tasks at the same time.
func (d *deployment) checkAccelerators() {
	all := d.spans("")
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.worker == b.worker && a.Accelerators&b.Accelerators != 0 && overlap(a, b, time.Now()) {
				d.errorf("%s ran %s and %s on the same accelerator at the same time", a.worker, a.Task, b.Task)
			}
		}
	}
}

// checkLeaving checks that a leaving agent got no new work after maxSpreadTime, when the
// entries must know that it leaves.
func (d *deployment) checkLeaving(dep *departure) {
	if dep.from.IsZero() {
		return
	}
	known := dep.from.Add(maxSpreadTime)
	end := dep.to
	if end.IsZero() {
		end = time.Now()
	}
	for _, s := range dep.agent.worker.Spans() {
		if s.From.After(known) && s.From.Before(end) {
			d.errorf("%s started task %s %s after it announced its leaving", dep.agent.name, s.Task, s.From.Sub(dep.from))
		}
	}
	for _, a := range dep.agent.backend.arrivalsAfter(known) {
		if a.at.Before(end) {
			d.errorf("%s got request %s %s after it announced its leaving", dep.agent.name, a.id, a.at.Sub(dep.from))
		}
	}
}
