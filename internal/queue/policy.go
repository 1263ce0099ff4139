package queue

import "time"

// Policy switches the parts of the planner on. The zero value is first come
// first served; Default is what deployments run.
type Policy struct {
	// FairShare ranks by guarantee, urgency and fair share, not by arrival.
	FairShare bool
	// SkipBlocked lets a job start while an earlier one is blocked.
	SkipBlocked bool
	// Reclaim lets owners evict borrowers, and urgent work evict other work.
	Reclaim bool
	// Reserve keeps room for blocked large jobs.
	Reserve bool
	// Drain evicts and bars others for large jobs that waited too long.
	Drain bool
	// Move checkpoints and moves small jobs.
	Move bool
}

// Policies that are compared.
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

// Bounds of a plan.
const (
	// largeAccelerators makes a job large: small ones can be fitted around it.
	largeAccelerators = 4
	// maxReservations bounds the jobs that room is reserved for at once.
	maxReservations = 4
	// maxSmallReservations bounds those for jobs that aren't large.
	maxSmallReservations = 1
	// maxMoves bounds the jobs moved for one reservation, and maxMoveTrials the
	// reservations that a plan tries to move jobs for.
	maxMoves      = 8
	maxMoveTrials = 2
	// maxWeightRatio bounds how much more the policy may mind one aim than the other.
	maxWeightRatio = 8.0
	// restartCost is the run time that any preemption throws away.
	restartCost = time.Minute
	// ageingShare is the share of the fleet that one ageing period of waiting is worth.
	ageingShare = 0.02
	// baseRunTime is the run time that ranks as no doubling at all.
	baseRunTime = time.Minute
)
