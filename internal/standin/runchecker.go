package standin

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/host"
)

// RunChecker judges a scheduler by what executors truly ran.
type RunChecker struct {
	mu        sync.Mutex
	spans     map[string][]ExecutorSpan // By task.
	executors []*Executor               // All there ever were.
}

// Watch notes what an executor runs. It sets the executor's Over.
func (w *RunChecker) Watch(e *Executor) {
	e.OnRunEnded = w.runEnded
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executors = append(w.executors, e)
}

func (w *RunChecker) runEnded(s ExecutorSpan) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.spans == nil {
		w.spans = make(map[string][]ExecutorSpan)
	}
	w.spans[s.Task] = append(w.spans[s.Task], s)
}

// watched returns the executors. Those call over while they are locked, so none is called with
// the witness locked.
func (w *RunChecker) watched() []*Executor {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.executors)
}

// endedSpans returns what is over by now, each task's oldest run first.
func (w *RunChecker) endedSpans() map[string][]ExecutorSpan {
	for _, e := range w.watched() {
		e.Running() // It ends what is over by now.
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string][]ExecutorSpan, len(w.spans))
	for task, spans := range w.spans {
		spans = slices.Clone(spans)
		slices.SortFunc(spans, func(a, b ExecutorSpan) int { return int(a.From - b.From) })
		out[task] = spans
	}
	return out
}

// ackedInTime says whether the end of a run was acknowledged before its executor's lease lapsed.
func (w *RunChecker) ackedInTime(s ExecutorSpan) bool {
	for _, e := range w.watched() {
		if e.Lifetime == s.Lifetime {
			return e.AckedInTime(s.Number)
		}
	}
	return false
}

// Ran says whether any task of a job has been started.
func (w *RunChecker) Ran(job string) bool {
	inJob := func(task string) bool {
		t, err := clusterstate.ParseTaskID(task)
		return err == nil && t.Job == job
	}
	for task := range w.endedSpans() {
		if inJob(task) {
			return true
		}
	}
	for _, e := range w.watched() {
		if slices.ContainsFunc(e.Running(), inJob) {
			return true
		}
	}
	return false
}

// Done says whether a run of the task has ended as done.
func (w *RunChecker) Done(task string) bool {
	return slices.ContainsFunc(w.endedSpans()[task], func(s ExecutorSpan) bool { return s.End == host.Done })
}

// Violations lists the tasks that ran twice at once, that were started again after an end as
// done had been acknowledged, and those of a second step that began before the first was done.
func (w *RunChecker) Violations() []error {
	var out []error
	all := w.endedSpans()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		spans := all[name]
		for i, s := range spans[1:] {
			before := spans[i]
			if s.From < before.To {
				out = append(out, fmt.Errorf("%s ran twice at once: run %d until %v, run %d from %v", name, before.Run, before.To, s.Run, s.From))
			}
			if before.End == host.Done && w.ackedInTime(before) {
				out = append(out, fmt.Errorf("%s was started again (run %d) after run %d had ended as done", name, s.Run, before.Run))
			}
		}
		if err := outOfOrder(all, name); err != nil {
			out = append(out, err)
		}
	}
	return out
}

// outOfOrder says whether a task of a second step began before all of the first were done.
func outOfOrder(all map[string][]ExecutorSpan, name string) error {
	t, err := clusterstate.ParseTaskID(name)
	if err != nil {
		return err
	}
	for i := 0; t.Step == 1; i++ {
		first, ok := all[clusterstate.TaskID{Job: t.Job, Index: i}.String()]
		if !ok {
			break
		}
		begun := all[name][0].From
		if !slices.ContainsFunc(first, func(s ExecutorSpan) bool { return s.End == host.Done && s.To <= begun }) {
			return fmt.Errorf("%s began at %v, before task %d of the step before it was done", name, begun, i)
		}
	}
	return nil
}
