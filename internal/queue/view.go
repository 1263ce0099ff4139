package queue

import (
	"errors"
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// ErrOverQuota says that a job asks for more accelerators than its team may ever use.
var ErrOverQuota = errors.New("shape is above the quota of the team")

// Job is a job that waits.
type Job struct {
	shop.Job
	// Estimate is the run time that is left, corrected for how far off the
	// declared ones of its team and class are.
	Estimate time.Duration
	// Attempt is the number that the next start carries.
	Attempt int
	// Preemptions counts how often the job gave way.
	Preemptions int
	// QueuedSince is when the job was last queued: at its submission, or when it gave way.
	QueuedSince time.Time
}

// waitingSince returns since when the job has waited. A large job that gave way
// starts to wait anew; a small one gives way often, and keeps its place.
func (j *Job) waitingSince() time.Time {
	if j.QueuedSince.IsZero() || !isLarge(j.Shape) {
		return j.Submitted
	}
	return j.QueuedSince
}

// JobList is jobs that wait.
type JobList []Job

// Running is a job that starts or runs.
type Running struct {
	shop.Job
	Attempt      int
	Parts        placement.PartList
	Started      time.Time
	Checkpointed time.Time // Zero when it never was.
	ExpectedEnd  time.Time
	Preemptions  int
	// Stopping says that the job has been told to give way already.
	Stopping bool
}

// lostRunTime returns the run time that stopping the job now throws away.
func (r *Running) lostRunTime(now time.Time) time.Duration {
	from := r.Started
	if r.Checkpointed.After(from) {
		from = r.Checkpointed
	}
	return max(0, now.Sub(from))
}

// RunningList is jobs that start or run, sorted by id.
type RunningList []Running

// Reservation keeps room for a job that waits.
type Reservation struct {
	Job   string
	Parts placement.PartList
	// ReservedSince is when the room was first reserved.
	ReservedSince time.Time
	// ExpectedStart is when the job was promised to start at the latest, going by estimates.
	ExpectedStart time.Time
	// Drain says that nothing else may enter the room.
	Drain bool
}

// ReservationList is reservations, the oldest job first.
type ReservationList []Reservation

// View is all that a plan depends on. Nothing in it is changed by planning.
type View struct {
	Now    time.Time
	Config *shop.Config
	// Fleet was made with the teams of Config and what they own.
	Fleet   *placement.Fleet
	Queued  JobList
	Running RunningList
	// Reservations are those of the plan before.
	Reservations ReservationList
}

// Start tells to start a job, after what it evicts has stopped.
type Start struct {
	shop.Attempt
	Parts placement.PartList
	Evict []shop.Attempt
}

// Preempt tells to checkpoint and stop a job, and to queue it again.
type Preempt struct {
	shop.Attempt
	// For is the job that it gives way to.
	For string
}

// Refusal says why a job is not run. Err wraps shop.ErrNotRun and the reason.
type Refusal struct {
	Job string
	Err error
}

// Move tells to checkpoint a job and run it elsewhere as its next attempt.
type Move struct {
	shop.Attempt
	To placement.PartList
	// For is the job that the move makes room for.
	For string
}

// Plan is what to do next, in the order of rank.
type Plan struct {
	Starts       []Start
	Preempts     []Preempt
	Refusals     []Refusal
	Moves        []Move
	Reservations ReservationList
}
