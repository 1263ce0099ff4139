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

// LiveJob is a job that is accepted and has not ended.
type LiveJob struct {
	shop.Job
	// Attempt is the highest attempt number in the log.
	Attempt int
	// Workers are the workers that this attempt was assigned to.
	Workers []string
	// Cancelled says that cancellation was requested.
	Cancelled bool
}

// LiveJobList is a list of live jobs in the order of their submission.
type LiveJobList []LiveJob

// Jobs keeps track of the jobs that are accepted and have not ended. It is a state
// machine over the stream of jobs.
//
// The accepted record of a job, or a snapshot of it, may be appended after the
// job's end when its writer is slow. The record's AsOf says what the writer had
// read. A reader that started after that offset ignores the record, and a reader
// that started before it has read the end.
type Jobs struct {
	// Append appends a record to the stream. Resolve determines the outcome of an
	// append that is unknown; see Log.Resolve.
	Append  func(context.Context, Record) (uint64, error)
	Resolve func(context.Context, PendingAppend) (uint64, error)

	live atomic.Pointer[liveJobs]

	mu sync.Mutex
	timeline
	waiters
	jobs  map[string]*jobState
	voids map[string]bool
	// pruneQueue lists, by offset, what can be dropped after MaxLag more records.
	pruneQueue []pruneEntry
}

// liveJobs is an immutable list of live jobs with an index.
type liveJobs struct {
	list LiveJobList
	byID map[string]int
}

// jobState is the state of one job, merged from its records in any order.
type jobState struct {
	job     *shop.Job
	attempt int
	// attemptOffset is the offset of the last claim that took effect; 0 when this
	// reader has read none.
	attemptOffset uint64
	// claimID is the id of the record that claimed the highest attempt; empty when
	// this reader can't tell.
	claimID string
	// workers are the workers that this attempt was assigned to.
	workers   []string
	cancelled bool
	ended     bool
	// refreshed is the time as of which the job was last accepted or snapshotted.
	refreshed time.Time
	// lastOffset is the offset of the last record about the job.
	lastOffset uint64
}

func (s *jobState) live() bool { return s.job != nil && !s.ended }

// pruneEntry is a job or a list of voided record ids that was mentioned at an
// offset.
type pruneEntry struct {
	offset uint64
	job    string
	voids  []string
}

// Live returns the live jobs as of the last time that the end of the stream was
// reached. It takes no lock.
func (j *Jobs) Live() LiveJobList {
	if l := j.live.Load(); l != nil {
		return l.list
	}
	return nil
}

// Find returns a live job as of the last time that the end of the stream was
// reached. It takes no lock.
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

// Ready reports whether the end of the stream was reached at least once.
func (j *Jobs) Ready() bool { return j.live.Load() != nil }

// Next returns the offset after the last record read.
func (j *Jobs) Next() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.next
}

// Missed is called when records before first were trimmed before they were read.
// Live returns the previous jobs until CaughtUp. When first was read already, the
// log has been replaced by a new one: the known state is kept, and all live jobs
// are due for a snapshot at once.
func (j *Jobs) Missed(first uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	replaced := first < j.next
	j.restart(first)
	j.voids, j.pruneQueue = nil, nil
	if !replaced {
		j.jobs = nil
		return
	}
	j.voids = map[string]bool{}
	for id, s := range j.jobs {
		// Claims of attempts in the old log stay valid: no record of the new log
		// may claim the same number.
		s.claimID, s.attemptOffset, s.refreshed, s.lastOffset = "", 0, time.Time{}, first
		j.pruneQueue = append(j.pruneQueue, pruneEntry{offset: first, job: id})
	}
}

// CaughtUp is called when the end of the stream was reached. It publishes the live
// jobs.
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

// Apply applies the next record of the stream.
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

// applyAccepted applies an accepted job or a snapshot of one.
func (j *Jobs) applyAccepted(r Record) {
	s := j.state(r)
	if s.job == nil {
		s.job = r.Job.Job
		if r.Job.Attempt > 0 && s.attemptOffset < r.AsOf {
			// A claim that was read without knowing the job may have had no effect.
			s.attempt, s.attemptOffset = 0, 0
		}
	}
	s.noteAttempt(r)
	s.cancelled = s.cancelled || r.Job.Cancelled
	s.refreshed = later(s.refreshed, j.timeAt(r.AsOf))
}

// state returns the state of the record's job, and adds the job to the prune queue.
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

// prune drops ended jobs and voided ids that no record can refer to any more.
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

// Due returns snapshots of at most limit live jobs that were last refreshed before
// the given time.
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
			Job: &JobRecord{
				ID: id, Job: s.job, Attempt: s.attempt, AttemptOffset: s.attemptOffset, Workers: s.workers, Cancelled: s.cancelled,
			},
		})
	}
	return l
}

// Accept appends a job to the log. The job is accepted when Accept returns nil. An
// append of unknown outcome is resolved: with ErrNotAppended the job will never be
// accepted, with ErrOutcomeUnknown the outcome can't be determined while the log
// is unavailable.
func (j *Jobs) Accept(ctx context.Context, job shop.Job) error {
	r := j.newRecord(KindJobAccepted, JobRecord{ID: job.ID, Job: &job})
	offset, err := j.appendAndResolve(ctx, r)
	if err != nil {
		return fmt.Errorf("platform.Accept: %w", err)
	}
	if offset-r.AsOf > MaxLag {
		return fmt.Errorf("platform.Accept: as-of offset is %d records further back than allowed: %w", offset-r.AsOf-MaxLag, ErrNotAppended)
	}
	return nil
}

// appendAndResolve appends a record and resolves the append when its outcome is
// unknown.
func (j *Jobs) appendAndResolve(ctx context.Context, r Record) (uint64, error) {
	offset, err := j.Append(ctx, r)
	var unknown *OutcomeUnknownError
	if errors.As(err, &unknown) && j.Resolve != nil {
		return j.Resolve(ctx, unknown.PendingAppend)
	}
	return offset, err
}

// Cancel records that the job's cancellation was requested.
func (j *Jobs) Cancel(ctx context.Context, id string) error {
	return j.append(ctx, "Cancel", KindJobCancelled, JobRecord{ID: id})
}

// End records how the job ended. It fails with shop.ErrInvalid when the state isn't
// final. It may be repeated until it succeeds; the first record counts.
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

// newRecord returns a record as of what this reader has read.
func (j *Jobs) newRecord(k Kind, job JobRecord) Record {
	return Record{ID: uuid.NewString(), Kind: k, AsOf: j.Next(), Job: &job}
}
