package platform

import (
	"context"
	"errors"
	"fmt"

	"sniperill.example/sniperill/pkg/shop"
)

// ErrAttemptClaimed means that another planner has claimed the attempt or a later
// one, or that the job has ended.
var ErrAttemptClaimed = errors.New("attempt is claimed by another planner")

// ErrRecordsTrimmed means that records were trimmed before this process read them,
// so that the state of the job isn't known here yet.
var ErrRecordsTrimmed = fmt.Errorf("records of the job were trimmed unread: %w", shop.ErrUnavailable)

// noteAttempt updates the highest attempt from a record. The first record with a
// number claims it, unless a higher number came before. A reader that doesn't
// know the job yet records no claim for the number, because it may have missed
// an earlier one. A claim whose writer hadn't read the record of the previous
// attempt has no effect: the writer can't know whether that attempt still runs.
func (s *jobState) noteAttempt(r Record) {
	if r.Job.Attempt <= s.attempt {
		return
	}
	switch {
	case r.Kind != KindJobAttempt:
		s.attemptOffset = max(s.attemptOffset, r.Job.AttemptOffset)
	case s.attemptOffset > 0 && s.attemptOffset >= r.AsOf:
		return
	default:
		s.attemptOffset = r.Offset
	}
	s.attempt = r.Job.Attempt
	s.workers = r.Job.Workers
	s.claimID = ""
	if s.job != nil && r.Kind == KindJobAttempt {
		s.claimID = r.ID
	}
}

// ClaimAttempt claims an attempt for a planner that knows of the attempts up to
// known; workers are where it is to run.
// It returns nil only after this reader has read the claim and seen that it came
// first, so that two planners never start the same attempt. It fails with
// ErrAttemptClaimed when the claim did not come first. An append of unknown
// outcome is resolved: with ErrNotAppended the claim never takes effect, with
// ErrOutcomeUnknown it may still use up the number without anybody holding it.
// On any error the attempt must not be started.
func (j *Jobs) ClaimAttempt(ctx context.Context, a shop.Attempt, known int, planner string, workers ...string) error {
	r := j.newRecord(KindJobAttempt, JobRecord{ID: a.Job, Attempt: a.Number, Planner: planner, Workers: workers})
	if n := j.attemptAsOf(r); n > known {
		return fmt.Errorf("platform.ClaimAttempt: job %s, attempt %d: attempt %d is in the log: %w", a.Job, a.Number, n, ErrAttemptClaimed)
	}
	offset, err := j.appendAndResolve(ctx, r)
	if err != nil {
		return fmt.Errorf("platform.ClaimAttempt: %w", err)
	}
	var claimErr error
	err = j.wait(ctx, &j.mu, func() bool {
		if j.next <= offset {
			return false
		}
		claimErr = j.checkClaim(r, offset)
		return true
	})
	if err != nil {
		p := PendingAppend{Stream: JobStream, From: r.AsOf, RecordIDs: []string{r.ID}}
		return fmt.Errorf("platform.ClaimAttempt: %w", &OutcomeUnknownError{PendingAppend: p, Cause: err})
	}
	if claimErr != nil {
		return fmt.Errorf("platform.ClaimAttempt: job %s, attempt %d: %w", a.Job, a.Number, claimErr)
	}
	return nil
}

// attemptAsOf returns the highest attempt that this reader has read of the record's job. If it has read
// on since the record was made, that may be an attempt that the record doesn't cover.
func (j *Jobs) attemptAsOf(r Record) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.jobs[r.Job.ID]; s != nil {
		return s.attempt
	}
	return 0
}

// checkClaim returns nil when a claim that this reader has read holds its attempt.
func (j *Jobs) checkClaim(r Record, offset uint64) error {
	s := j.jobs[r.Job.ID]
	switch {
	case offset < j.start || r.AsOf < j.start || s == nil:
		return ErrRecordsTrimmed
	case s.ended:
		return ErrAttemptClaimed
	case s.claimID == r.ID:
		return nil
	case s.claimID == "" && s.attempt == r.Job.Attempt:
		return ErrRecordsTrimmed
	default:
		return ErrAttemptClaimed
	}
}
