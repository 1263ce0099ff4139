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

// openJobs remembers the jobs that this entry is writing, has passed on, or could not tell
// the outcome of, so that no later call says that they have not run. The zero value is empty.
type openJobs struct {
	mu   sync.Mutex
	jobs map[string]*openJob
}

type openJob struct {
	calls   int           // In progress.
	until   clock.Instant // Of its being open, zero when no outcome was left open.
	settled <-chan struct{}
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
	switch {
	case err == nil:
		j.until, j.settled = 0, nil // It is in the journal.
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

// has says whether a job may be written by this entry, or may have been.
func (o *openJobs) has(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep()
	_, ok := o.jobs[id]
	return ok
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

// sweep forgets jobs whose time has passed. The caller holds the lock.
func (o *openJobs) sweep() {
	now := clock.Now()
	for id, j := range o.jobs {
		if j.calls == 0 && now > j.until {
			delete(o.jobs, id)
		}
	}
}
