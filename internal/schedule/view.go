package schedule

import (
	"time"

	"sniperill.example/sniperill/pkg/workflow"
)

// Worker is a worker that may take tasks.
type Worker struct {
	workflow.Worker
	// Schedulable says that the worker takes new tasks: it is alive, not draining and not quarantined.
	Schedulable bool
}

// RunningUnit is a task or gang that has been claimed and may still use its room.
type RunningUnit struct {
	Team     string
	Priority int
	Step     *workflow.Step
	// Workers has the worker of each member by its index in the view.
	Workers []int
	// Submitted is when its job was submitted.
	Submitted time.Time
	// Stopping says that it has been told to stop already.
	Stopping bool
	// JobFinal says that its job is final, so that it won't wait again once it has stopped.
	JobFinal bool
	// LostRunTime is the run time that stopping it now throws away.
	LostRunTime time.Duration
	// RemainingRunTime is the run time that it still needs, as far as is known.
	RemainingRunTime time.Duration
}

// accelerators returns how many it takes on all workers.
func (r *RunningUnit) accelerators() int { return len(r.Workers) * r.Step.Room.Accelerators }

// WaitingUnit is a task or gang whose turn has come.
type WaitingUnit struct {
	Team     string
	Service  string
	Priority int
	Step     *workflow.Step
	// Members is how many tasks start together: one, or all of a gang.
	Members int
	// ReadySince is since when it waits.
	ReadySince time.Time
	// Submitted is when its job was submitted.
	Submitted time.Time
	// Objective is when its job should be done, Late when the job is worth nothing any more.
	Objective, HardDeadline time.Time
	// Estimate is the run time of a task on a sound worker near its data.
	Estimate time.Duration
	// SpreadGroup is shared by the tasks of one step, as an index of the view's Beside.
	SpreadGroup int
	// ReservedWorkers is the workers on which the plan before made room for it, nil for none.
	ReservedWorkers []int
	// AvoidWorker is a worker on which it has failed, below zero for none.
	AvoidWorker int
}

// accelerators returns how many the members take together.
func (w *WaitingUnit) accelerators() int { return w.Members * w.Step.Room.Accelerators }

// coreTime returns the core time that the members need.
func (w *WaitingUnit) coreTime() time.Duration {
	return w.Estimate * time.Duration(w.Members*w.Step.Cores()) / 1000
}

// View is all that a plan depends on. Planning changes nothing in it.
type View struct {
	Now     time.Time
	Workers []Worker
	Running []RunningUnit
	Waiting []WaitingUnit
	// SpreadCounts counts, for each group, its running tasks by worker.
	SpreadCounts []map[int]int
	// Guaranteed accelerators by team.
	Guaranteed map[string]int
}

// Start says where a waiting task or gang starts.
type Start struct {
	WaitingIndex int   // Index in the view.
	Workers      []int // Of each member, by index in the view.
}

// Preemption says what gives way.
type Preemption struct {
	VictimIndex    int // Index in the view.
	PreemptorIndex int // Waiting that it gives way to, by index in the view.
}

// Reservation says where room is being made for a waiting task or gang.
type Reservation struct {
	WaitingIndex int   // Index in the view.
	Workers      []int // Of each member, by index in the view.
}

// Deferral says that a waiting task or gang has time left, and would take accelerators that are kept
// for urgent work.
type Deferral struct {
	WaitingIndex int // Index in the view.
	// Free is how many accelerators nothing claims, Kept how many of them are to stay free.
	Free, RequiredFree int
}

// Plan is what to do next.
type Plan struct {
	Starts       []Start
	Preemptions  []Preemption
	Reservations []Reservation
	Deferrals    []Deferral
}
