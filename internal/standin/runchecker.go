package standin

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/host"
)

// RunChecker records what executors actually ran, and checks it against the scheduler's guarantees.
type RunChecker struct {
	mu        sync.Mutex
	spans     map[string][]ExecutorSpan // By task.
	executors []*Executor               // All that were ever watched.
}

// Watch records what an executor runs. It sets the executor's OnRunEnded.
func (c *RunChecker) Watch(e *Executor) {
	e.OnRunEnded = c.runEnded
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executors = append(c.executors, e)
}

func (c *RunChecker) runEnded(s ExecutorSpan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.spans == nil {
		c.spans = make(map[string][]ExecutorSpan)
	}
	c.spans[s.Task] = append(c.spans[s.Task], s)
}

// watched returns the executors. An executor calls runEnded while it is locked, so to avoid a
// deadlock it must not be called while the checker is locked.
func (c *RunChecker) watched() []*Executor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.executors)
}

// allSpans returns the spans of all runs until now, by task and each task's oldest first. A run that is being
// stopped has not ended.
func (c *RunChecker) allSpans() map[string][]ExecutorSpan {
	var running []ExecutorSpan
	for _, e := range c.watched() {
		running = append(running, e.runningSpans()...) // Ends the runs that are over by now.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string][]ExecutorSpan, len(c.spans))
	for task, spans := range c.spans {
		out[task] = slices.Clone(spans)
	}
	for _, s := range running {
		out[s.Task] = append(out[s.Task], s)
	}
	for _, spans := range out {
		slices.SortFunc(spans, func(a, b ExecutorSpan) int { return int(a.From - b.From) })
	}
	return out
}

// ackedInTime reports whether an ended run was acknowledged before its executor's lease lapsed.
func (c *RunChecker) ackedInTime(s ExecutorSpan) bool {
	for _, e := range c.watched() {
		if e.Lifetime == s.Lifetime {
			return e.AckedInTime(s.Number)
		}
	}
	return false
}

// Ran reports whether any task of a job has been started.
func (c *RunChecker) Ran(job string) bool {
	inJob := func(task string) bool {
		t, err := clusterstate.ParseTaskID(task)
		return err == nil && t.Job == job
	}
	for task := range c.allSpans() {
		if inJob(task) {
			return true
		}
	}
	return false
}

// Done reports whether a run of the task has ended as done.
func (c *RunChecker) Done(task string) bool {
	return slices.ContainsFunc(c.allSpans()[task], func(s ExecutorSpan) bool { return s.End == host.Done })
}

// RanTogether reports whether one run of all the tasks, the members of a gang, went on at the same time and ended as
// done.
func (c *RunChecker) RanTogether(tasks []string) bool {
	type common struct {
		from, to clock.Instant
		members  int
		done     bool
	}
	runs := make(map[int]common)
	all := c.allSpans()
	for i, task := range tasks {
		for _, s := range all[task] {
			r := runs[s.Run]
			if i == 0 {
				r.to = s.To
			}
			if r.members == i { // A run that began again in another lifetime of its worker counts once.
				r.members++
			}
			runs[s.Run] = common{max(r.from, s.From), min(r.to, s.To), r.members, r.done || s.End == host.Done}
		}
	}
	for _, r := range runs {
		if r.members == len(tasks) && r.from < r.to && r.done {
			return true
		}
	}
	return false
}

// Violations returns an error for each task that ran twice at the same time, that was started again
// after a run that ended as done had been acknowledged, or that belongs to a job's second step and
// started before the first step was done.
func (c *RunChecker) Violations() []error {
	var out []error
	all := c.allSpans()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		spans := all[name]
		for i, s := range spans[1:] {
			previous := spans[i]
			if s.From < previous.To {
				out = append(out, fmt.Errorf("%s ran twice at once: run %d on %v until %v (end %d), run %d on %v from %v",
					name, previous.Run, previous.Lifetime, previous.To, previous.End, s.Run, s.Lifetime, s.From))
			}
			if previous.End == host.Done && c.ackedInTime(previous) {
				out = append(out, fmt.Errorf("%s was started again (run %d) after run %d had ended as done", name, s.Run, previous.Run))
			}
		}
		if err := outOfOrder(all, name); err != nil {
			out = append(out, err)
		}
	}
	return out
}

// outOfOrder returns an error if a task of a job's second step started before all tasks of the first
// step were done.
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
		started := all[name][0].From
		if !slices.ContainsFunc(first, func(s ExecutorSpan) bool { return s.End == host.Done && s.To <= started }) {
			return fmt.Errorf("%s began at %v, before task %d of the step before it was done", name, started, i)
		}
	}
	return nil
}
