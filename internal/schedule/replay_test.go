package schedule_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/schedule"
	"sniperill.example/sniperill/pkg/workflow"
)

const (
	// replayInterval is the time between two plans of a replay.
	replayInterval = 20 * time.Millisecond
	// replayStopTime is how long a task takes to stop; running tasks at odd indices take twice as
	// long.
	replayStopTime = 60 * time.Millisecond
)

// task is an urgent task of a replay.
type task struct {
	team            string
	step            *workflow.Step
	submitted       time.Time
	runTime         time.Duration
	worker          int // Negative while the task waits.
	started         time.Time
	stopEnds        time.Time // When the task will have stopped, zero if it was not told to.
	done            bool
	reservedWorkers []int
}

// replay carries out the schedule's plans on a set of workers in virtual time.
type replay struct {
	workers     []schedule.Worker
	tasks       []*task
	guaranteed  map[string]int
	now         time.Time
	preemptions int
}

func newReplay(workers int) *replay { return &replay{workers: newWorkers(workers), now: testStart} }

// submit adds a task that is submitted after a delay.
func (r *replay) submit(team string, accelerators int, runTime, delay time.Duration) {
	s := newStep(accelerators)
	s.Estimate = runTime
	r.tasks = append(r.tasks, &task{team: team, step: s, submitted: testStart.Add(delay), runTime: runTime, worker: -1})
}

// run makes plans until all tasks are done. It fails if that takes longer than limit.
func (r *replay) run(t *testing.T, limit time.Duration) {
	t.Helper()
	for left := len(r.tasks); left > 0; r.now = r.now.Add(replayInterval) {
		if r.now.Sub(testStart) > limit {
			t.Fatalf("%d tasks are not done after %v", left, limit)
		}
		left = r.endTasks()
		r.plan()
	}
}

// endTasks updates the tasks that have ended or stopped and returns how many are not done.
func (r *replay) endTasks() int {
	left := 0
	for _, k := range r.tasks {
		switch {
		case k.worker >= 0 && !k.stopEnds.IsZero() && !r.now.Before(k.stopEnds):
			k.worker, k.stopEnds = -1, time.Time{}
		case k.worker >= 0 && !r.now.Before(k.started.Add(k.runTime)):
			k.worker, k.done = -1, true
		}
		if !k.done {
			left++
		}
	}
	return left
}

func (r *replay) plan() {
	v := &schedule.View{Now: r.now, Workers: r.workers, Guaranteed: r.guaranteed, SpreadCounts: make([]map[int]int, 1)}
	var running, waiting []*task
	for _, k := range r.tasks {
		switch {
		case k.done || r.now.Before(k.submitted):
		case k.worker >= 0:
			running = append(running, k)
			v.Running = append(v.Running, schedule.RunningUnit{
				Team: k.team, Submitted: k.submitted, Step: k.step, Workers: []int{k.worker}, Stopping: !k.stopEnds.IsZero(),
				LostRunTime: r.now.Sub(k.started), RemainingRunTime: k.started.Add(k.runTime).Sub(r.now),
			})
		default:
			waiting = append(waiting, k)
			w := waitingUnit(k.step, 1)
			w.Team, w.Priority, w.Submitted, w.ReservedWorkers = k.team, 0, k.submitted, k.reservedWorkers
			w.Objective = k.submitted.Add(10 * time.Second)
			v.Waiting = append(v.Waiting, w)
			k.reservedWorkers = nil
		}
	}
	plan := schedule.ComputePlan(v)
	for _, s := range plan.Starts {
		k := waiting[s.WaitingIndex]
		k.worker, k.started = s.Workers[0], r.now
	}
	for _, s := range plan.Preemptions {
		r.preemptions++
		k := running[s.VictimIndex]
		k.stopEnds = r.now.Add(replayStopTime * time.Duration(1+s.VictimIndex%2))
	}
	for _, s := range plan.Reservations {
		waiting[s.WaitingIndex].reservedWorkers = s.Workers
	}
}
