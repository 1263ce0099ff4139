package platform

import (
	"context"
	"errors"
	"fmt"

	"sniperill.example/sniperill/pkg/shop"
)

// ErrAttemptClaimed says that the attempt, or a higher one, was claimed by another planner.
var ErrAttemptClaimed = errors.New("attempt is claimed by another planner")

// ErrRecordsTrimmed says that records were trimmed unread, so that nobody here can say yet
// what became of the job.
var ErrRecordsTrimmed = fmt.Errorf("records of the job were trimmed unread: %w", shop.ErrUnavailable)

// noteAttempt takes an attempt's number from a record: the first record of a number
// claims it, unless a higher number came before. To a reader that doesn't know
// the job yet nobody holds the number: it may have missed an earlier claim.
func (s *jobState) noteAttempt(r Record) {
	if r.Job.Attempt <= s.attempt {
		return
	}
	s.attempt = r.Job.Attempt
	s.workers = r.Job.Workers
	s.claimID = ""
	if s.job != nil && r.Kind == KindJobAttempt {
		s.claimID = r.ID
	}
}

// ClaimAttempt claims an attempt for a planner. It returns nil only once this reader
// has seen that the claim came first, so that two planners never start the same
// attempt, and ErrLost when it did not. A claim whose append is unknown is
// settled: with ErrNotAppended it never will be first, with ErrUnknown it may
// still use the number up, for nobody. Whatever the error, the attempt must not
// be started. The workers are where it is to run.
func (j *Jobs) ClaimAttempt(ctx context.Context, a shop.Attempt, planner string, workers ...string) error {
	r := j.newRecord(KindJobAttempt, JobRecord{ID: a.Job, Attempt: a.Number, Planner: planner, Workers: workers})
	offset, err := j.appendAndResolve(ctx, r)
	if err != nil {
		return fmt.Errorf("platform.Start: %w", err)
	}
	var verdict error
	err = j.wait(ctx, &j.mu, func() bool {
		if j.next <= offset {
			return false
		}
		verdict = j.checkClaim(r, offset)
		return true
	})
	if err != nil {
		p := PendingAppend{Stream: JobStream, From: r.AsOf, RecordIDs: []string{r.ID}}
		return fmt.Errorf("platform.Start: %w", &OutcomeUnknownError{PendingAppend: p, Cause: err})
	}
	if verdict != nil {
		return fmt.Errorf("platform.Start: job %s, attempt %d: %w", a.Job, a.Number, verdict)
	}
	return nil
}

// checkClaim says whether a claim that was read came first.
func (j *Jobs) checkClaim(r Record, offset uint64) error {
	s := j.jobs[r.Job.ID]
	switch {
	case offset < j.start || s == nil:
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
