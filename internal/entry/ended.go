package entry

import (
	"context"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/pkg/shop"
)

// Limits on the ended jobs that an entry remembers.
const (
	maxEndedJobs   = 50_000
	endedRetention = 24 * time.Hour
)

// Status is the state of a job as this entry knows it.
type Status struct {
	shop.Job

	State   shop.JobState
	Attempt int
	Workers []string
	Answer  []byte
	// AnswerAt names the agent that keeps the answer if it is too large for the log.
	AnswerAt string
	Reason   string
	Started  time.Time
	Ended    time.Time
}

// WithEnd returns a copy of the status for a job that ended in the given state.
func (s Status) WithEnd(state shop.JobState, reason string, at time.Time) Status {
	s.State = state
	s.Reason = reason
	s.Ended = at
	return s
}

// endedJobs remembers ended jobs, and wakes the goroutines that wait for a change of
// jobs or of the inventory.
type endedJobs struct {
	mu      sync.Mutex
	byID    map[string]Status
	order   []string
	changed chan struct{}
}

// add records that a job has ended. Only the first end of a job counts.
func (e *endedJobs) add(s Status) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byID == nil {
		e.byID = make(map[string]Status)
	}
	if _, ok := e.byID[s.ID]; ok {
		return
	}
	e.byID[s.ID] = s
	e.order = append(e.order, s.ID)
	e.evict(s.Ended)
	e.notifyLocked()
}

// evict drops the oldest jobs beyond maxEndedJobs or endedRetention. The caller holds mu.
func (e *endedJobs) evict(now time.Time) {
	n := 0
	for n < len(e.order) && (len(e.order)-n > maxEndedJobs || now.Sub(e.byID[e.order[n]].Ended) > endedRetention) {
		delete(e.byID, e.order[n])
		n++
	}
	e.order = e.order[n:]
}

func (e *endedJobs) find(id string) (Status, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.byID[id]
	return s, ok
}

// notify makes all waiters check their condition again.
func (e *endedJobs) notify() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notifyLocked()
}

func (e *endedJobs) notifyLocked() {
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// nextChange returns a channel that is closed at the next notification.
func (e *endedJobs) nextChange() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}

// wait calls done at once and after each notification until it returns true or the
// context ends.
func (e *endedJobs) wait(ctx context.Context, done func() bool) {
	for {
		changed := e.nextChange()
		if done() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// apply adds the job of a record if the record says that the job has ended.
func (e *endedJobs) apply(r platform.Record) {
	if r.Kind != platform.KindJobEnded || r.Job == nil {
		return
	}
	s := Status{
		State: r.Job.State, Attempt: r.Job.Attempt, Ended: r.Appended,
		Reason: r.Job.Reason, Answer: r.Job.Answer, AnswerAt: r.Job.AnswerAt, Workers: r.Job.Workers, Started: r.Job.Started,
	}
	s.ID = r.Job.ID
	if r.Job.Job != nil {
		s.Job = *r.Job.Job
	}
	e.add(s)
}

// list returns the ended jobs of a team, or of all teams if team is empty, oldest first.
func (e *endedJobs) list(team string) []Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Status
	for _, id := range e.order {
		if s := e.byID[id]; team == "" || s.Team == team {
			out = append(out, s)
		}
	}
	return out
}
