package schedule

import (
	"time"

	"sniperill.example/sniperill/pkg/workflow"
)

// Worker is a worker that tasks can be placed on.
type Worker struct {
	workflow.Worker
	// Schedulable reports whether the worker takes new tasks: it is alive and not draining.
	Schedulable bool
	// Paused is set for a worker that is quarantined, or has just refused a task. It is used only for what
	// no other worker could take.
	Paused bool
	// Pace is how long a task takes on the worker, relative to a worker of median speed. Zero means that it
	// isn't known.
	Pace float64
	// Cold is how much longer the worker is slow after its start.
	Cold time.Duration
}

const (
	// coldFactor is how many times longer a task counts as taking on a cold worker: workers' own paces differ by less,
	// so that each cold worker counts as slower than each warm one.
	coldFactor = 3
	// minCold is from which time on that a worker stays slow it counts as cold. Users' workers take up to twice as long
	// for the stop that makes room on another one.
	minCold = 500 * time.Millisecond
)

// coldness returns how many times longer a task counts as taking on the worker than once it is warm.
func (w *Worker) coldness() float64 {
	if w.Cold < minCold {
		return 1
	}
	return coldFactor
}

// open reports whether the worker takes any new tasks that fit.
func (w *Worker) open() bool { return w.Schedulable && !w.Paused }

// RunningUnit is a task or gang that has been assigned to workers and may still use their
// resources.
type RunningUnit struct {
	Team     string
	Priority int
	Step     *workflow.Step
	// Workers is the worker of each member, as an index into View.Workers.
	Workers []int
	// Submitted is when the unit's job was submitted.
	Submitted time.Time
	// Stopping reports whether the unit has already been told to stop.
	Stopping bool
	// JobFinal reports whether the unit's job has reached a final state, so that the unit will not
	// wait again after it has stopped.
	JobFinal bool
	// LostRunTime is the run time that is thrown away if the unit is stopped now.
	LostRunTime time.Duration
	// GaveWay is how many of its runs were preempted before.
	GaveWay int
	// RemainingRunTime is the estimated run time that the unit still needs.
	RemainingRunTime time.Duration
}

// cores returns the number of cores for which the unit counts in the accounting of work.
func (r *RunningUnit) cores() float64 {
	return float64(len(r.Workers)*r.Step.AccountedMilliCores()) / 1000
}

// accelerators returns the number of accelerators that the unit uses on all its workers.
func (r *RunningUnit) accelerators() int { return len(r.Workers) * r.Step.Resources.Accelerators }

// WaitingUnit is a task or gang that is ready to start.
type WaitingUnit struct {
	Team     string
	Service  string
	Priority int
	Step     *workflow.Step
	// Members is the number of tasks that start together: one, or all tasks of a gang.
	Members int
	// ReadySince is when the unit became ready to start.
	ReadySince time.Time
	// Submitted is when the unit's job was submitted.
	Submitted time.Time
	// Objective is when the unit's job should be done. After HardDeadline the job is worth
	// nothing.
	Objective, HardDeadline time.Time
	// Estimate is the run time of a task on a healthy worker near its data.
	Estimate time.Duration
	// PreemptionCost is what preempting others for the unit has cost so far, in core seconds.
	PreemptionCost float64
	// SpreadGroup is the same for all tasks of a step. It is an index into View.SpreadCounts.
	SpreadGroup int
	// ReservedWorkers is the worker of each member that the previous plan reserved, as an index
	// into View.Workers. It is nil if there is no reservation.
	ReservedWorkers []int
	// AvoidWorkers are workers on which the unit has failed, as indices into View.Workers. The unit doesn't
	// start there before AvoidUntil, and afterwards only if no other worker has room.
	AvoidWorkers []int
	AvoidUntil   time.Time
}

// accelerators returns the number of accelerators that all members need.
func (w *WaitingUnit) accelerators() int { return w.Members * w.Step.Resources.Accelerators }

// coreSeconds returns the core seconds that all members need. They overflow a time.Duration: a gang
// of an hour on 512 accelerators needs 1.5e7.
func (w *WaitingUnit) coreSeconds() float64 {
	return w.Estimate.Seconds() * float64(w.Members*w.Step.AccountedMilliCores()) / 1000
}

// View is all that a plan depends on. ComputePlan does not modify it.
type View struct {
	Now     time.Time
	Workers []Worker
	Running []RunningUnit
	Waiting []WaitingUnit
	// SpreadCounts holds, for each spread group, the number of its running tasks by worker (as an
	// index into Workers).
	SpreadCounts []map[int]int
	// Guaranteed is the number of accelerators guaranteed to each team.
	Guaranteed map[string]int
	// RemoteFactor is how many times longer a task takes away from its data, or a gang in several racks that should be
	// in one.
	RemoteFactor float64
	// UrgentArrivals is the urgent work that was submitted lately, whether it has ended or not, in order of
	// submission.
	UrgentArrivals []UrgentArrival
}

// UrgentArrival is an urgent job that was submitted lately.
type UrgentArrival struct {
	Service      string
	Submitted    time.Time
	Accelerators int           // That its tasks use at the same time.
	Estimate     time.Duration // Run time of a task.
}

// Start places a waiting unit on workers.
type Start struct {
	WaitingIndex int   // Index into View.Waiting.
	Workers      []int // Worker of each member, as an index into View.Workers.
}

// Preemption stops a running unit in favour of a waiting one.
type Preemption struct {
	VictimIndex    int // Index into View.Running.
	PreemptorIndex int // Index into View.Waiting.
}

// Reservation holds workers for a waiting unit until the units preempted there have stopped.
type Reservation struct {
	WaitingIndex int   // Index into View.Waiting.
	Workers      []int // Worker of each member, as an index into View.Workers.
}

// Deferral reports that a waiting unit with time to spare does not start because it would take
// accelerators that are kept free for urgent work.
type Deferral struct {
	WaitingIndex int // Index into View.Waiting.
	// Free is the number of unallocated accelerators, RequiredFree how many of them must stay
	// free.
	Free, RequiredFree int
}

// Plan lists the units to start and to preempt, the reservations to keep until the next plan, and
// the units that are deferred.
type Plan struct {
	Starts       []Start
	Preemptions  []Preemption
	Reservations []Reservation
	Deferrals    []Deferral
}
