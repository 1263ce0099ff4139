package intake

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/journal"
)

// undecidedRetention is how long a job counts as open after its outcome could not be told. A write
// that is late by seconds and callers that come back within their timeout are well within.
const undecidedRetention = 2 * time.Minute

// acceptedRetention is how long an accepted job is remembered here: until the ledger has it, which
// follows the journal within milliseconds and catches up after an outage of seconds.
const acceptedRetention = 30 * time.Second

// sweepInterval is the least time between two sweeps, which look at all remembered jobs.
const sweepInterval = time.Second

// pendingJobs remembers the jobs that this entry is writing, has passed on, could not tell the
// outcome of, or has just accepted, so that no later call says that they have not run. The zero
// value is empty.
type pendingJobs struct {
	mu        sync.Mutex
	jobs      map[string]*pendingJob
	lastSweep clock.Instant
}

type pendingJob struct {
	calls    int           // In progress.
	expires  clock.Instant // Of its being remembered, zero when no outcome was left open.
	settled  <-chan struct{}
	accepted bool // It is in the journal; this entry's ledger may not have it yet.
}

// begin notes that a job is being submitted. The function that it returns ends that: it
// takes what the call came to, and returns it, or ErrUndecided instead of a refusal that
// might not be true.
func (o *pendingJobs) begin(id string) func(error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep()
	o.getOrCreate(id).calls++
	return func(err error) error { return o.end(id, err) }
}

func (o *pendingJobs) end(id string, err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.getOrCreate(id)
	j.calls--
	if j.accepted {
		err = nil // By a call before this one, which could not be told so.
	}
	switch {
	case err == nil:
		j.expires, j.settled, j.accepted = clock.Now().Add(acceptedRetention), nil, true
	case errors.Is(err, ErrUndecided):
		j.expires = clock.Now().Add(undecidedRetention)
	case errors.Is(err, ErrUnavailable) && (j.expires != 0 || j.calls > 0):
		err = fmt.Errorf("%w: here: %v", errMayBeWritten, err) // No longer a refusal.
	}
	if j.calls == 0 && j.expires == 0 {
		delete(o.jobs, id)
	}
	return err
}

// noteUndecided takes in that an own write of a job was left open.
func (o *pendingJobs) noteUndecided(id string, err error) {
	var undecided *journal.UndecidedError
	if !errors.As(err, &undecided) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.getOrCreate(id)
	j.expires, j.settled = clock.Now().Add(undecidedRetention), undecided.Settled
}

// status says whether a job may be written by this entry, or may have been, and whether it has been
// accepted.
func (o *pendingJobs) status(id string) (open, accepted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, ok := o.jobs[id]
	if !ok || j.expired(clock.Now()) {
		return false, false
	}
	return true, j.accepted
}

// settled returns a channel that is closed when an own write that was left open is
// decided, nil when there is none.
func (o *pendingJobs) settled(id string) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j, ok := o.jobs[id]; ok {
		return j.settled
	}
	return nil
}

// getOrCreate returns a job's state. The caller holds the lock.
func (o *pendingJobs) getOrCreate(id string) *pendingJob {
	if o.jobs == nil {
		o.jobs = make(map[string]*pendingJob)
	}
	j, ok := o.jobs[id]
	if !ok {
		j = &pendingJob{}
		o.jobs[id] = j
	}
	return j
}

// expired says whether the job's time has passed.
func (j *pendingJob) expired(now clock.Instant) bool { return j.calls == 0 && now > j.expires }

// sweep removes jobs whose time has passed, once in sweepInterval. The caller holds the lock.
func (o *pendingJobs) sweep() {
	now := clock.Now()
	if now.Sub(o.lastSweep) < sweepInterval {
		return
	}
	o.lastSweep = now
	for id, j := range o.jobs {
		if j.expired(now) {
			delete(o.jobs, id)
		}
	}
}
