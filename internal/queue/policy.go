package queue

import "time"

// Policy enables parts of the planner. The zero value is first come, first served;
// deployments run Default.
type Policy struct {
	// FairShare ranks jobs by guarantee, urgency and fair share instead of by arrival.
	FairShare bool
	// SkipBlocked lets a job start while an earlier job is blocked.
	SkipBlocked bool
	// Reclaim lets teams evict borrowers from accelerators that they own, and urgent
	// jobs evict other jobs.
	Reclaim bool
	// Reserve reserves room for blocked jobs: for large ones at once, for small ones
	// when they are overdue.
	Reserve bool
	// Drain gives precedence to overdue jobs: the room reserved for them drains, and
	// large ones also evict preemptible jobs.
	Drain bool
	// Move checkpoints small jobs and moves them to make room for large ones.
	Move bool
}

// Policies that the benchmarks compare.
var (
	FirstCome = Policy{}
	BestFit   = Policy{SkipBlocked: true}
	Default   = Policy{
		FairShare:   true,
		SkipBlocked: true,
		Reclaim:     true,
		Reserve:     true,
		Drain:       true,
		Move:        true,
	}
)

// Limits and weights of a plan.
const (
	// largeAccelerators is the number of accelerators from which a job is large.
	// Smaller jobs can be fitted around it.
	largeAccelerators = 4
	// maxReservations limits the reservations held at once.
	maxReservations = 4
	// maxSmallReservations limits the reservations for small jobs among them.
	maxSmallReservations = 1
	// maxMoves limits the jobs moved for one reservation, and maxMoveTrials the
	// reservations for which a plan tries to move jobs.
	maxMoves      = 8
	maxMoveTrials = 2
	// maxWeightRatio limits the ratio of the fragmentation weight to the completion
	// weight when the age bonus of large jobs is computed.
	maxWeightRatio = 8.0
	// restartCost is the run time lost by every preemption, apart from the work since
	// the last checkpoint.
	restartCost = time.Minute
	// ageingShare is the fraction of the fleet that is subtracted from the weighted
	// usage of a team for each ageing period that its next job has waited.
	ageingShare = 0.02
	// baseRunTime is the run time from which doublings are counted in the order within
	// a team. Shorter jobs rank like it.
	baseRunTime = time.Minute
)
