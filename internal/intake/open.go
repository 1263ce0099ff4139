package intake

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/journal"
)

// openFor is how long a job counts as open after its outcome could not be told. A write
// that is late by seconds and callers that come back within their timeout are well within.
const openFor = 2 * time.Minute

// acceptedFor is how long an accepted job is remembered here: until the ledger has it, which
// follows the journal within milliseconds and catches up after an outage of seconds.
const acceptedFor = 30 * time.Second

// sweepInterval is the least time between two sweeps, which look at all remembered jobs.
const sweepInterval = time.Second

// openJobs remembers the jobs that this entry is writing, has passed on, could not tell the
// outcome of, or has just accepted, so that no later call says that they have not run. The zero
// value is empty.
type openJobs struct {
	mu    sync.Mutex
	jobs  map[string]*openJob
	swept clock.Instant
}

type openJob struct {
	calls    int           // In progress.
	until    clock.Instant // Of its being remembered, zero when no outcome was left open.
	settled  <-chan struct{}
	accepted bool // It is in the journal; this entry's ledger may not have it yet.
}

// begin notes that a job is being submitted. The function that it returns ends that: it
// takes what the call came to, and returns it, or ErrUndecided instead of a refusal that
// might not be true.
func (o *openJobs) begin(id string) func(error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep()
	o.job(id).calls++
	return func(err error) error { return o.end(id, err) }
}

func (o *openJobs) end(id string, err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.job(id)
	j.calls--
	if j.accepted {
		err = nil // By a call before this one, which could not be told so.
	}
	switch {
	case err == nil:
		j.until, j.settled, j.accepted = clock.Now().Add(acceptedFor), nil, true
	case errors.Is(err, ErrUndecided):
		j.until = clock.Now().Add(openFor)
	case errors.Is(err, ErrUnavailable) && (j.until != 0 || j.calls > 0):
		err = fmt.Errorf("%w: here: %v", errMayBeWritten, err) // No longer a refusal.
	}
	if j.calls == 0 && j.until == 0 {
		delete(o.jobs, id)
	}
	return err
}

// note takes in that an own write of a job was left open.
func (o *openJobs) note(id string, err error) {
	var undecided *journal.UndecidedError
	if !errors.As(err, &undecided) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	j := o.job(id)
	j.until, j.settled = clock.Now().Add(openFor), undecided.Settled
}

// has says whether a job may be written by this entry, or may have been, and whether it has been
// accepted.
func (o *openJobs) has(id string) (open, accepted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, ok := o.jobs[id]
	if !ok || j.forgotten(clock.Now()) {
		return false, false
	}
	return true, j.accepted
}

// settled returns a channel that is closed when an own write that was left open is
// decided, nil when there is none.
func (o *openJobs) settled(id string) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j, ok := o.jobs[id]; ok {
		return j.settled
	}
	return nil
}

// job returns a job's state. The caller holds the lock.
func (o *openJobs) job(id string) *openJob {
	if o.jobs == nil {
		o.jobs = make(map[string]*openJob)
	}
	j, ok := o.jobs[id]
	if !ok {
		j = &openJob{}
		o.jobs[id] = j
	}
	return j
}

// forgotten says whether the job's time has passed.
func (j *openJob) forgotten(now clock.Instant) bool { return j.calls == 0 && now > j.until }

// sweep removes jobs whose time has passed, once in sweepInterval. The caller holds the lock.
func (o *openJobs) sweep() {
	now := clock.Now()
	if now.Sub(o.swept) < sweepInterval {
		return
	}
	o.swept = now
	for id, j := range o.jobs {
		if j.forgotten(now) {
			delete(o.jobs, id)
		}
	}
}
