package matrix

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// maxAbandons is how many times attempts may be asked to be abandoned in all.
const maxAbandons = 200

// check compares what callers got with what the stand-ins truly ran.
func (d *deployment) check(faults []*armedFault, gone *departure) {
	d.checkFaults(faults)
	d.checkRequests(faults)
	d.checkJobs(faults)
	d.checkAccelerators()
	d.checkLeaving(gone)
	for _, a := range d.agents {
		if n := a.backend.excess(); n > 0 {
			d.errorf("%s: %d requests came while all slots were in use", a.name, n)
		}
	}
}

// checkFaults makes sure that the step was reached. Of a pair, the first fault
// may keep the work from reaching the step of the other.
func (d *deployment) checkFaults(faults []*armedFault) {
	d.trigger.mu.Lock()
	defer d.trigger.mu.Unlock()
	if n := d.trigger.abandonCount; n > maxAbandons {
		d.violations = append(d.violations, fmt.Sprintf("%d requests to abandon an attempt: they are tried again in a loop", n))
	}
	if !slices.ContainsFunc(faults, func(a *armedFault) bool { return a.fired }) {
		d.violations = append(d.violations, fmt.Sprintf("the step %s was never reached", faults[0].step))
	}
}

func (d *deployment) runCount(ids []string) int {
	n := 0
	for _, id := range ids {
		for _, a := range d.agents {
			n += a.backend.runCount(id)
		}
	}
	return n
}

// requestsUnaffected says whether no fault touches requests, so that all have to be done.
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
		again := r.kind == "quote" || r.kind == "burst"
		if !again && ran > 1 {
			d.errorf("%v must not run twice and ran %d times, told %q", r.ids, ran, r.outcome)
		}
		if r.outcome == shop.OutcomeDone && ran == 0 {
			d.errorf("%v was told done and never ran", r.ids)
		}
		if r.outcome == shop.OutcomeNotRun && ran > 0 {
			d.errorf("%v was told not run and ran %d times", r.ids, ran)
		}
		if requestsUnaffected(faults) && r.outcome != shop.OutcomeDone {
			d.errorf("%v ended %q without a fault", r.ids, r.outcome)
		}
	}
}

// workerSpan is a span with its worker.
type workerSpan struct {
	standin.Span

	worker string
}

// spans returns what ran of a job, by time.
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
				d.errorf("job %s was told not run and ran %d tasks", s.ID, len(spans))
			}
		case shop.Cancelled:
			if j.cancelledAt.IsZero() {
				d.errorf("job %s was told cancelled and nobody cancelled it", s.ID)
			}
		case shop.Failed:
			d.checkFailed(j, class, faults)
		}
		for _, p := range spans {
			if p.End == "" {
				d.errorf("job %s ended %s and still runs on %s", s.ID, j.status.State, p.worker)
			}
			if !j.learnedAt.IsZero() && p.From.After(j.learnedAt) {
				d.errorf("job %s ended %s and a task began later on %s", s.ID, j.status.State, p.worker)
			}
		}
		if !class.Idempotent && len(splitByAttempt(spans)) > 1 {
			d.errorf("job %s runs at most once and ran %d attempts", s.ID, len(splitByAttempt(spans)))
		}
		if s.ID == "long" && j.accepted && j.status.State != shop.Cancelled {
			d.errorf("the cancelled job ended %q: %s", j.status.State, j.status.Reason)
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
	d.errorf("job %s was told done and no attempt of it is: %v", j.submission.ID, spans)
}

// checkFailed allows a failure only where it is the truth.
func (d *deployment) checkFailed(j *jobResult, class shop.Class, faults []*armedFault) {
	broken := slices.ContainsFunc(faults, func(a *armedFault) bool { return a.fault == WorkerFailsAll })
	if class.Idempotent && !broken || requestsUnaffected(faults) && !broken {
		d.errorf("job %s may run again and ended failed: %s", j.submission.ID, j.status.Reason)
	}
}

// splitByAttempt splits spans by attempt, the lowest first.
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

// checkGang checks that a gang ran whole, but for the lease and its margin, and
// that no two attempts ran at once.
func (d *deployment) checkGang(id string, shape shop.Shape, spans []workerSpan) {
	all := splitByAttempt(spans)
	for i, attempt := range all {
		if part := longestPartialRun(attempt, max(1, shape.Tasks), time.Now()); part > gangTimes().ExpireAfter() {
			d.errorf("job %s attempt %d ran with a part of its tasks for %s", id, attempt[0].Attempt, part)
		}
		for _, p := range attempt {
			for _, later := range all[i+1:] {
				for _, q := range later {
					if overlap(p, q, time.Now()) {
						d.errorf("job %s ran attempts %d and %d at once", id, p.Attempt, q.Attempt)
					}
				}
			}
		}
	}
}

func spanEnd(p workerSpan, now time.Time) time.Time {
	if p.End == "" {
		return now
	}
	return p.To
}

func overlap(a, b workerSpan, now time.Time) bool {
	return a.From.Before(spanEnd(b, now)) && b.From.Before(spanEnd(a, now))
}

// longestPartialRun returns the longest time in which some tasks of an attempt ran
// without all the others running or done.
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

// checkAccelerators checks that no accelerator ran two tasks at once.
func (d *deployment) checkAccelerators() {
	all := d.spans("")
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.worker == b.worker && a.Accelerators&b.Accelerators != 0 && overlap(a, b, time.Now()) {
				d.errorf("%s ran %s and %s on the same accelerator", a.worker, a.Task, b.Task)
			}
		}
	}
}

// checkLeaving checks that an agent got no new work once its leaving was known.
func (d *deployment) checkLeaving(l *departure) {
	if l.from.IsZero() {
		return
	}
	known := l.from.Add(maxSpreadTime)
	until := l.to
	if until.IsZero() {
		until = time.Now()
	}
	for _, s := range l.agent.worker.Spans() {
		if s.From.After(known) && s.From.Before(until) {
			d.errorf("%s began task %s %s after it had said that it leaves", l.agent.name, s.Task, s.From.Sub(l.from))
		}
	}
	for _, a := range l.agent.backend.arrivalsAfter(known) {
		if a.at.Before(until) {
			d.errorf("%s got request %s %s after it had said that it leaves", l.agent.name, a.id, a.at.Sub(l.from))
		}
	}
}
