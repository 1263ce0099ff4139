package entry

import (
	"context"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/pkg/shop"
)

// Bounds of what an entry remembers of ended jobs.
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
	// AnswerAt is the agent that keeps an answer too large for the log.
	AnswerAt string
	Reason   string
	Started  time.Time
	Ended    time.Time
}

// WithEnd returns the status of a job that has ended.
func (s Status) WithEnd(state shop.JobState, reason string, at time.Time) Status {
	s.State = state
	s.Reason = reason
	s.Ended = at
	return s
}

// endedJobs knows the ended jobs, and wakes those who wait for one.
type endedJobs struct {
	mu      sync.Mutex
	byID    map[string]Status
	order   []string
	changed chan struct{}
}

// add notes that a job has ended; the first end counts.
func (b *endedJobs) add(s Status) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID == nil {
		b.byID = make(map[string]Status)
	}
	if _, ok := b.byID[s.ID]; ok {
		return
	}
	b.byID[s.ID] = s
	b.order = append(b.order, s.ID)
	b.evict(s.Ended)
	b.notifyLocked()
}

// evict drops the oldest ends, by count and by age.
func (b *endedJobs) evict(now time.Time) {
	n := 0
	for n < len(b.order) && (len(b.order)-n > maxEndedJobs || now.Sub(b.byID[b.order[n]].Ended) > endedRetention) {
		delete(b.byID, b.order[n])
		n++
	}
	b.order = b.order[n:]
}

func (b *endedJobs) find(id string) (Status, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.byID[id]
	return s, ok
}

// notify lets those who wait look again.
func (b *endedJobs) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyLocked()
}

func (b *endedJobs) notifyLocked() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change.
func (b *endedJobs) nextChange() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// wait calls look after each change until it says true or the context ends.
func (b *endedJobs) wait(ctx context.Context, look func() bool) {
	for {
		changed := b.nextChange()
		if look() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// apply takes the records that tell of a job's end.
func (b *endedJobs) apply(r platform.Record) {
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
	b.add(s)
}

// list returns the ended jobs of a team, or of all when the team is empty.
func (b *endedJobs) list(team string) []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Status
	for _, id := range b.order {
		if s := b.byID[id]; team == "" || s.Team == team {
			out = append(out, s)
		}
	}
	return out
}
