package intake

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/journal"
)

// undecidedRetention is how long a job counts as pending after an undecided outcome. This is well
// beyond the seconds by which a write may be late, and beyond the time for which callers retry.
const undecidedRetention = 2 * time.Minute

// acceptedRetention is how long an accepted job is remembered here, so that the cluster state has
// it by then. The cluster state follows the journal within milliseconds, and catches up after an
// outage of seconds.
const acceptedRetention = 30 * time.Second

// sweepInterval is the minimum time between two sweeps, each of which checks all remembered jobs.
const sweepInterval = time.Second

// pendingJobs remembers the jobs that this entry is writing or forwarding, whose outcome is
// undecided, or that it has just accepted, so that no later call reports that they have not run.
// The zero value is empty.
type pendingJobs struct {
	mu        sync.Mutex
	jobs      map[string]*pendingJob
	lastSweep clock.Instant
}

type pendingJob struct {
	calls    int             // Submissions in progress.
	expires  clock.Instant   // When to forget the job, zero if no call was accepted or undecided.
	settled  <-chan struct{} // Closed when this entry's undecided write is decided, nil if there is none.
	accepted bool            // It is in the journal; the cluster state may not have it yet.
}

// begin records that a submission of a job is in progress. The returned function records its end.
// It takes the result of the submission and returns the result for the caller: ErrUndecided instead
// of a refusal that may be wrong, and nil if another submission was accepted.
func (p *pendingJobs) begin(id string) func(error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	p.getOrCreate(id).calls++
	return func(err error) error { return p.end(id, err) }
}

func (p *pendingJobs) end(id string, err error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.getOrCreate(id)
	j.calls--
	if j.accepted {
		err = nil // An earlier call was accepted, whose caller may not have learned so.
	}
	switch {
	case err == nil:
		j.expires, j.settled, j.accepted = clock.Now().Add(acceptedRetention), nil, true
	case errors.Is(err, ErrUndecided):
		j.expires = clock.Now().Add(undecidedRetention)
	case errors.Is(err, ErrUnavailable) && (j.expires != 0 || j.calls > 0):
		err = fmt.Errorf("%w: here: %v", errMayBeWritten, err) // %v, so that it doesn't count as a refusal.
	}
	if j.calls == 0 && j.expires == 0 {
		delete(p.jobs, id)
	}
	return err
}

// noteUndecided records that this entry's write of a job is undecided, if err says so.
func (p *pendingJobs) noteUndecided(id string, err error) {
	var undecided *journal.UndecidedError
	if !errors.As(err, &undecided) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.getOrCreate(id)
	j.expires, j.settled = clock.Now().Add(undecidedRetention), undecided.Settled
}

// status reports whether this entry may be writing a job or may have written it, and whether the job
// has been accepted.
func (p *pendingJobs) status(id string) (pending, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.jobs[id]
	if !ok || j.expired(clock.Now()) {
		return false, false
	}
	return true, j.accepted
}

// settled returns a channel that is closed when this entry's undecided write of a job is decided. It
// returns nil if there is none.
func (p *pendingJobs) settled(id string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j, ok := p.jobs[id]; ok {
		return j.settled
	}
	return nil
}

// getOrCreate returns the pending job with an ID, which it creates if needed. The caller holds mu.
func (p *pendingJobs) getOrCreate(id string) *pendingJob {
	if p.jobs == nil {
		p.jobs = make(map[string]*pendingJob)
	}
	j, ok := p.jobs[id]
	if !ok {
		j = &pendingJob{}
		p.jobs[id] = j
	}
	return j
}

// expired reports whether the job need not be remembered any more.
func (j *pendingJob) expired(now clock.Instant) bool { return j.calls == 0 && now > j.expires }

// sweep removes expired jobs, at most once per sweepInterval. The caller holds mu.
func (p *pendingJobs) sweep() {
	now := clock.Now()
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for id, j := range p.jobs {
		if j.expired(now) {
			delete(p.jobs, id)
		}
	}
}
