package platform

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"sniperill.example/sniperill/pkg/shop"
)

// LiveJob is a job that was accepted and hasn't ended.
type LiveJob struct {
	shop.Job
	// Attempt is the highest attempt known from the log.
	Attempt int
	// Workers are where that attempt was to run.
	Workers []string
	// Cancelled says that its cancellation was asked for.
	Cancelled bool
}

// LiveJobList is live jobs in the order of their submission.
type LiveJobList []LiveJob

// Jobs knows which jobs are accepted and not ended, from the stream of jobs.
//
// A snapshot of a job, or the job itself, may land after the job's end when
// its writer is slow. Each record says what its writer had read, so a reader
// that began to read after that point doesn't trust it, and a reader that
// began before knows the end.
type Jobs struct {
	// Append adds a record to the stream, Settle decides an append that is unknown.
	Append  func(context.Context, Record) (uint64, error)
	Resolve func(context.Context, PendingAppend) (uint64, error)

	live atomic.Pointer[liveJobs]

	mu sync.Mutex
	timeline
	waiters
	jobs  map[string]*jobState
	voids map[string]bool
	// pruneQueue is what can be forgotten once MaxLag records have passed.
	pruneQueue []pruneEntry
}

// liveJobs is a published list with an index. It is never changed.
type liveJobs struct {
	list LiveJobList
	byID map[string]int
}

// jobState is what the records say of one job, in whatever order they came.
type jobState struct {
	job     *shop.Job
	attempt int
	// claimID is the record that the highest attempt was claimed by.
	claimID string
	// workers are where that attempt was to run.
	workers    []string
	cancelled  bool
	ended      bool
	refreshed  time.Time
	lastOffset uint64
}

func (s *jobState) live() bool { return s.job != nil && !s.ended }

// pruneEntry names a job or a void record by the offset that it was noted at.
type pruneEntry struct {
	offset uint64
	job    string
	voids  []string
}

// Live returns the live jobs as of the last time that the stream was read to
// its end. It takes no lock.
func (j *Jobs) Live() LiveJobList {
	if l := j.live.Load(); l != nil {
		return l.list
	}
	return nil
}

// Find returns a live job as of the last time that the stream was read to its
// end. It takes no lock.
func (j *Jobs) Find(id string) (LiveJob, bool) {
	l := j.live.Load()
	if l == nil {
		return LiveJob{}, false
	}
	i, ok := l.byID[id]
	if !ok {
		return LiveJob{}, false
	}
	return l.list[i], true
}

// Ready says whether the stream was read to its end once.
func (j *Jobs) Ready() bool { return j.live.Load() != nil }

// Next returns the offset after the last record read.
func (j *Jobs) Next() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.next
}

// Missed tells that records before first were trimmed unread. The live jobs
// stay those of before until CaughtUp. When first was read already, the log has
// started over: what is known stays so, and the live jobs are due at once.
func (j *Jobs) Missed(first uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	over := first < j.next
	j.restart(first)
	j.voids, j.pruneQueue = nil, nil
	if !over {
		j.jobs = nil
		return
	}
	j.voids = map[string]bool{}
	for id, s := range j.jobs {
		// Whoever had an attempt has it still, and no record of the new log does.
		s.claimID, s.refreshed, s.lastOffset = "", time.Time{}, first
		j.pruneQueue = append(j.pruneQueue, pruneEntry{offset: first, job: id})
	}
}

// CaughtUp tells that the stream was read to its end, and publishes the live jobs.
func (j *Jobs) CaughtUp() {
	j.mu.Lock()
	defer j.mu.Unlock()
	l := LiveJobList{}
	for _, s := range j.jobs {
		if s.live() {
			l = append(l, LiveJob{Job: *s.job, Attempt: s.attempt, Workers: s.workers, Cancelled: s.cancelled})
		}
	}
	slices.SortFunc(l, func(a, b LiveJob) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	byID := make(map[string]int, len(l))
	for i, live := range l {
		byID[live.ID] = i
	}
	j.live.Store(&liveJobs{list: l, byID: byID})
}

// Apply takes the next record of the stream.
func (j *Jobs) Apply(r Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.advance(r) {
		return
	}
	defer j.wake()
	if j.jobs == nil {
		j.jobs, j.voids = map[string]*jobState{}, map[string]bool{}
	}
	j.prune()
	switch r.Kind {
	case KindVoid:
		for _, id := range r.Voids {
			j.voids[id] = true
		}
		j.pruneQueue = append(j.pruneQueue, pruneEntry{offset: r.Offset, voids: r.Voids})
	case KindJobAccepted:
		if r.AsOf >= j.start && !r.stale() && !j.voids[r.ID] {
			j.applyAccepted(r)
		}
	case KindJobAttempt, KindJobCancelled, KindJobEnded:
		s := j.state(r)
		s.noteAttempt(r)
		s.cancelled = s.cancelled || r.Kind == KindJobCancelled
		s.ended = s.ended || r.Kind == KindJobEnded
	}
}

// applyAccepted takes an accepted job or a snapshot of one.
func (j *Jobs) applyAccepted(r Record) {
	s := j.state(r)
	if s.job == nil {
		s.job = r.Job.Job
	}
	s.noteAttempt(r)
	s.cancelled = s.cancelled || r.Job.Cancelled
	s.refreshed = later(s.refreshed, j.timeAt(r.AsOf))
}

// state returns the state of the record's job and notes that it was mentioned.
func (j *Jobs) state(r Record) *jobState {
	s, ok := j.jobs[r.Job.ID]
	if !ok {
		s = &jobState{}
		j.jobs[r.Job.ID] = s
	}
	s.lastOffset = r.Offset
	j.pruneQueue = append(j.pruneQueue, pruneEntry{offset: r.Offset, job: r.Job.ID})
	return s
}

// prune drops ended jobs and voids that no record can refer to any more.
func (j *Jobs) prune() {
	n := 0
	for n < len(j.pruneQueue) && j.next-j.pruneQueue[n].offset > MaxLag+1 {
		o := j.pruneQueue[n]
		if s := j.jobs[o.job]; s != nil && s.lastOffset == o.offset && !s.live() {
			delete(j.jobs, o.job)
		}
		for _, id := range o.voids {
			delete(j.voids, id)
		}
		n++
	}
	j.pruneQueue = j.pruneQueue[n:]
}

// Due returns snapshots of the live jobs that were last refreshed before that
// time, at most limit.
func (j *Jobs) Due(before time.Time, limit int) []Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	var l []Record
	for id, s := range j.jobs {
		if len(l) == limit {
			break
		}
		if !s.live() || !s.refreshed.Before(before) {
			continue
		}
		l = append(l, Record{
			ID:   uuid.NewString(),
			Kind: KindJobAccepted,
			AsOf: j.next,
			Job:  &JobRecord{ID: id, Job: s.job, Attempt: s.attempt, Workers: s.workers, Cancelled: s.cancelled},
		})
	}
	return l
}

// Accept records a job; it is accepted once Accept returns nil. A job whose
// append is unknown is settled: with ErrNotAppended it never will be accepted,
// with ErrUnknown nobody can say while the log is away.
func (j *Jobs) Accept(ctx context.Context, job shop.Job) error {
	r := j.newRecord(KindJobAccepted, JobRecord{ID: job.ID, Job: &job})
	offset, err := j.appendAndResolve(ctx, r)
	if err != nil {
		return fmt.Errorf("platform.Accept: %w", err)
	}
	if offset-r.AsOf > MaxLag {
		return fmt.Errorf("platform.Accept: read %d records too few: %w", offset-r.AsOf-MaxLag, ErrNotAppended)
	}
	return nil
}

// appendAndResolve appends a record and decides an append that is unknown.
func (j *Jobs) appendAndResolve(ctx context.Context, r Record) (uint64, error) {
	offset, err := j.Append(ctx, r)
	var unknown *OutcomeUnknownError
	if errors.As(err, &unknown) && j.Resolve != nil {
		return j.Resolve(ctx, unknown.PendingAppend)
	}
	return offset, err
}

// Cancel records that the job's cancellation was asked for.
func (j *Jobs) Cancel(ctx context.Context, id string) error {
	return j.append(ctx, "Cancel", KindJobCancelled, JobRecord{ID: id})
}

// End records how the job ended. It may be repeated until it succeeds; the
// first record counts.
func (j *Jobs) End(ctx context.Context, job JobRecord) error {
	if !job.State.Final() {
		return fmt.Errorf("platform.End: %q isn't final: %w", job.State, shop.ErrInvalid)
	}
	return j.append(ctx, "End", KindJobEnded, job)
}

func (j *Jobs) append(ctx context.Context, name string, k Kind, job JobRecord) error {
	if _, err := j.Append(ctx, j.newRecord(k, job)); err != nil {
		return fmt.Errorf("platform.%s: %w", name, err)
	}
	return nil
}

func (j *Jobs) newRecord(k Kind, job JobRecord) Record {
	return Record{ID: uuid.NewString(), Kind: k, AsOf: j.Next(), Job: &job}
}
