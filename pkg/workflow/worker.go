package workflow

import (
	"fmt"
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// Worker is a worker with its total resources.
type Worker struct {
	Service   string    `json:"service"`
	Rack      string    `json:"rack,omitempty"`
	Labels    []string  `json:"labels,omitempty"`
	Resources Resources `json:"room"`
}

// Takes reports whether the worker could run a task of a service's step when idle.
func (w *Worker) Takes(service string, s *Step) bool {
	return w.Service == service && (s.Label == "" || slices.Contains(w.Labels, s.Label)) && w.Resources.Fits(s.Demand())
}

// WorkerList is the list of workers of a deployment.
type WorkerList []Worker

// CanRun fails with shop.ErrNeverFits when a step of the job would not fit even if all
// workers were idle.
func (l WorkerList) CanRun(j *Job) error {
	if err := j.Queue.CanServe(); err != nil {
		return fmt.Errorf("workflow.CanRun: %w", err)
	}
	for i := range j.Steps {
		if err := l.checkStep(j.Queue.Service, &j.Steps[i]); err != nil {
			return fmt.Errorf("workflow.CanRun: steps[%d]: %w", i, err)
		}
	}
	return nil
}

// checkStep fails with shop.ErrNeverFits when a task of the step, or all its tasks at once
// if it is a gang, would not fit on idle workers.
func (l WorkerList) checkStep(service string, s *Step) error {
	needed := 1
	if s.Gang {
		needed = s.Count
	}
	tasks := 0
	for i := range l {
		if !l[i].Takes(service, s) {
			continue
		}
		n := l[i].Resources.FitCount(s.Demand(), needed)
		if s.MaxPerWorker > 0 {
			n = min(n, s.MaxPerWorker)
		}
		tasks += n
	}
	if tasks >= needed {
		return nil
	}
	return fmt.Errorf("%d of %d tasks that start together fit on the workers of service %q with label %q, each needs %+v: %w",
		tasks, needed, service, s.Label, s.Resources, shop.ErrNeverFits)
}
