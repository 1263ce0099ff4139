package queue

import (
	"errors"
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// ErrOverQuota is returned for a job that needs more accelerators than the quota of
// its team.
var ErrOverQuota = errors.New("shape is above the quota of the team")

// Job is a waiting job.
type Job struct {
	shop.Job
	// Estimate is the remaining run time, corrected by how far off the run times
	// declared by its team for its class have been.
	Estimate time.Duration
	// Attempt is the number of the next attempt.
	Attempt int
	// Preemptions counts how often the job has been preempted.
	Preemptions int
	// QueuedSince is when the job was last queued: at submission or when it was last
	// preempted.
	QueuedSince time.Time
}

// waitingSince returns the time from which the wait of the job counts. For a large job
// it restarts at each preemption. A small job is preempted often and keeps its place
// by the time of submission.
func (j *Job) waitingSince() time.Time {
	if j.QueuedSince.IsZero() || !isLarge(j.Shape) {
		return j.Submitted
	}
	return j.QueuedSince
}

// JobList is a list of waiting jobs.
type JobList []Job

// Running is a job that is starting or running.
type Running struct {
	shop.Job
	Attempt      int
	Parts        placement.PartList
	Started      time.Time
	Checkpointed time.Time // Zero without a checkpoint.
	ExpectedEnd  time.Time
	Preemptions  int
	// Stopping is set when the job has already been told to stop.
	Stopping bool
}

// lostRunTime returns the run time since the last checkpoint, or else since the start,
// which is lost when the job is stopped now.
func (r *Running) lostRunTime(now time.Time) time.Duration {
	from := r.Started
	if r.Checkpointed.After(from) {
		from = r.Checkpointed
	}
	return max(0, now.Sub(from))
}

// RunningList is a list of starting and running jobs, sorted by ID.
type RunningList []Running

// Reservation is room reserved for a waiting job.
type Reservation struct {
	Job   string
	Parts placement.PartList
	// ReservedSince is when the room was first reserved.
	ReservedSince time.Time
	// ExpectedStart is when the job should start at the latest, by the estimates.
	ExpectedStart time.Time
	// Drain keeps other jobs from starting in the room, except urgent jobs and jobs
	// that start on what their team owns.
	Drain bool
}

// ReservationList is a list of reservations, the oldest reservation first.
type ReservationList []Reservation

// View is the complete input of a plan. Planning doesn't modify it.
type View struct {
	Now    time.Time
	Config *shop.Config
	// Fleet must have been built with the teams of Config and what they own.
	Fleet   *placement.Fleet
	Queued  JobList
	Running RunningList
	// Reservations are those of the previous plan.
	Reservations ReservationList
}

// Start is an instruction to start a job once the attempts in Evict have stopped.
type Start struct {
	shop.Attempt
	Parts placement.PartList
	Evict []shop.Attempt
}

// Preempt is an instruction to checkpoint and stop a job, and to queue it again.
type Preempt struct {
	shop.Attempt
	// For is the ID of the job that starts in its place.
	For string
}

// Refusal is a job that is not run. Err wraps shop.ErrNotRun and the reason.
type Refusal struct {
	Job string
	Err error
}

// Move is an instruction to checkpoint a job and run it elsewhere as its next attempt.
type Move struct {
	shop.Attempt
	To placement.PartList
	// For is the ID of the job for which the move makes room.
	For string
}

// Plan is the result of planning. Each list is in the order of the decisions, except
// for Reservations.
type Plan struct {
	Starts       []Start
	Preempts     []Preempt
	Refusals     []Refusal
	Moves        []Move
	Reservations ReservationList
}
