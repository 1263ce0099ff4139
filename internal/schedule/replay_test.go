package schedule_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/schedule"
	"sniperill.example/sniperill/pkg/workflow"
)

const (
	// replayTick is the time between two plans of a replay.
	replayTick = 20 * time.Millisecond
	// replayStop is how long the stop of a task takes, longer for every other task.
	replayStop = 60 * time.Millisecond
)

// task is one urgent task of a replay.
type task struct {
	team    string
	step    *workflow.Step
	from    time.Time
	took    time.Duration
	worker  int // Below zero while it waits.
	started time.Time
	stopped time.Time // When its stop ends, zero when it has not been told to stop.
	done    bool
	kept    []int
}

// replay is a fleet on which the schedule's plans are carried out on virtual time.
type replay struct {
	workers    []schedule.Worker
	tasks      []*task
	guaranteed map[string]int
	now        time.Time
	stops      int
}

func newReplay(workers int) *replay { return &replay{workers: fleet(workers), now: epoch} }

// submit lets a task come after a delay.
func (r *replay) submit(team string, accelerators int, took, after time.Duration) {
	s := step(accelerators)
	s.Estimate = took
	r.tasks = append(r.tasks, &task{team: team, step: s, from: epoch.Add(after), took: took, worker: -1})
}

// run plans until all tasks are done.
func (r *replay) run(t *testing.T, most time.Duration) {
	t.Helper()
	for left := len(r.tasks); left > 0; r.now = r.now.Add(replayTick) {
		if r.now.Sub(epoch) > most {
			t.Fatalf("%d tasks are not done after %v", left, most)
		}
		left = r.end()
		r.plan()
	}
}

// end takes in what has ended and returns how many tasks are not done.
func (r *replay) end() int {
	left := 0
	for _, k := range r.tasks {
		switch {
		case k.worker >= 0 && !k.stopped.IsZero() && !r.now.Before(k.stopped):
			k.worker, k.stopped = -1, time.Time{}
		case k.worker >= 0 && !r.now.Before(k.started.Add(k.took)):
			k.worker, k.done = -1, true
		}
		if !k.done {
			left++
		}
	}
	return left
}

func (r *replay) plan() {
	v := &schedule.View{Now: r.now, Workers: r.workers, Guaranteed: r.guaranteed, Beside: make([]map[int]int, 1)}
	var running, waiting []*task
	for _, k := range r.tasks {
		switch {
		case k.done || r.now.Before(k.from):
		case k.worker >= 0:
			running = append(running, k)
			v.Running = append(v.Running, schedule.Running{
				Team: k.team, Submitted: k.from, Step: k.step, Workers: []int{k.worker}, Stopping: !k.stopped.IsZero(),
				Lost: r.now.Sub(k.started), Left: k.started.Add(k.took).Sub(r.now),
			})
		default:
			waiting = append(waiting, k)
			w := waits(k.step, 1)
			w.Team, w.Priority, w.Submitted, w.Kept = k.team, 0, k.from, k.kept
			w.Objective = k.from.Add(10 * time.Second)
			v.Waiting = append(v.Waiting, w)
			k.kept = nil
		}
	}
	plan := schedule.Next(v)
	for _, s := range plan.Starts {
		k := waiting[s.Waiting]
		k.worker, k.started = s.Workers[0], r.now
	}
	for _, s := range plan.Stops {
		r.stops++
		k := running[s.Running]
		k.stopped = r.now.Add(replayStop * time.Duration(1+s.Running%2))
	}
	for _, s := range plan.Keeps {
		waiting[s.Waiting].kept = s.Workers
	}
}
