package platform

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// testEntry is the state machines of an entry over one log.
type testEntry struct {
	*fixture
	jobs        *Jobs
	claims      *Claims
	configs     *Configs
	claimResult ClaimResult
	t           *testing.T
}

func newTestEntry(t *testing.T) *testEntry {
	f := newFixture(t)
	jobs, claims := &Batcher{Log: f.log, Stream: JobStream}, &Batcher{Log: f.log, Stream: ClaimStream}
	for _, b := range []*Batcher{jobs, claims} {
		go func() { _ = b.Run(f.ctx) }()
	}
	e := &testEntry{
		fixture: f, t: t, configs: f.startConfigs(),
		jobs: &Jobs{Append: jobs.Append, Resolve: f.log.Resolve}, claims: &Claims{Append: claims.Append},
	}
	f.follow(&Follower{Stream: JobStream, Handle: e.jobs.Apply, Missed: e.jobs.Missed, CaughtUp: e.jobs.CaughtUp})
	f.follow(&Follower{Stream: ClaimStream, Handle: e.claims.Apply, Missed: e.claims.Missed})
	if err := e.jobs.Accept(f.ctx, shop.Job{ID: "job"}); err != nil {
		t.Fatal(err)
	}
	var err error
	if e.claimResult, err = e.claims.Claim(f.ctx, Claim{Team: "t", Key: "k", Request: "r"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	return e
}

// operation is an operation of an entry that appends to the log.
type operation struct {
	name string
	do   func(*testEntry, context.Context) error
	// done reports whether the operation has taken effect.
	done func(*testEntry) bool
	// retryErr is the error of a retry when the failed operation took effect.
	retryErr error
}

var operations = []operation{
	{
		name: "ClaimAttempt",
		do: func(e *testEntry, ctx context.Context) error {
			return e.jobs.ClaimAttempt(ctx, shop.Attempt{Job: "job", Number: 1}, 1, "entry")
		},
		done:     func(e *testEntry) bool { return e.find().Attempt == 1 },
		retryErr: ErrAttemptClaimed,
	},
	{
		name: "Cancel",
		do:   func(e *testEntry, ctx context.Context) error { return e.jobs.Cancel(ctx, "job") },
		done: func(e *testEntry) bool { return e.find().Cancelled },
	},
	{
		name: "End",
		do: func(e *testEntry, ctx context.Context) error {
			return e.jobs.End(ctx, JobRecord{ID: "job", State: shop.Done})
		},
		done: func(e *testEntry) bool { return e.find().ID == "" },
	},
	{
		name: "Release",
		do:   func(e *testEntry, ctx context.Context) error { return e.claims.Release(ctx, e.claimResult) },
		done: func(e *testEntry) bool { return len(e.claims.keys[claimKey{"t", "k"}]) == 0 },
	},
	{
		name: "Publish",
		do: func(e *testEntry, ctx context.Context) error {
			_, err := e.configs.Publish(ctx, shop.Config{}, 0, "ana")
			return err
		},
		done:     func(e *testEntry) bool { return e.configs.Current() != nil },
		retryErr: shop.ErrConflict,
	},
}

func (e *testEntry) find() LiveJob {
	job, _ := e.jobs.Find("job")
	return job
}

// recoveryDelay is longer than the maximum backoff of a follower.
const recoveryDelay = 5 * time.Second

// recoverLog ends the faults of the log and waits until all records are read.
func (e *testEntry) recoverLog() {
	e.standIn.SetFaults(standin.LogFaults{})
	time.Sleep(recoveryDelay)
	synctest.Wait()
}

// Each operation must report its outcome correctly under each fault of the log. A
// success has taken effect, ErrNotAppended never takes effect, and an operation of
// unknown outcome can be retried.
func TestOperationsUnderFaults(t *testing.T) {
	faults := []struct {
		name   string
		faults standin.LogFaults
		then   *standin.LogFaults // Faults that follow once the record may have been appended.
		want   error
	}{
		{"no fault", standin.LogFaults{}, nil, nil},
		{"slow", standin.LogFaults{Delay: 300 * time.Millisecond}, nil, nil},
		{"slower than the timeout", standin.LogFaults{Delay: 2 * time.Second}, nil, ErrOutcomeUnknown},
		{"down", standin.LogFaults{Down: true}, nil, ErrOutcomeUnknown},
		{"responses lost", standin.LogFaults{LoseAnswers: true}, nil, nil},
		{"response lost, then down", standin.LogFaults{LoseAnswers: true}, &standin.LogFaults{Down: true}, ErrOutcomeUnknown},
		{"rejects", standin.LogFaults{Reject: true}, nil, ErrNotAppended},
	}
	for _, op := range operations {
		for _, tt := range faults {
			t.Run(op.name+"/"+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestEntry(t)
					e.standIn.SetFaults(tt.faults)
					if tt.then != nil {
						time.AfterFunc(DefaultWindow+time.Millisecond, func() { e.standIn.SetFaults(*tt.then) })
					}
					err := op.do(e, e.ctx)
					if !errors.Is(err, tt.want) {
						t.Errorf("%v, want %v", err, tt.want)
					}
					var unknown *OutcomeUnknownError
					if errors.Is(err, ErrOutcomeUnknown) && (!errors.As(err, &unknown) || len(unknown.RecordIDs) != 1) {
						t.Errorf("%v names no record", err)
					}
					e.recoverLog()
					if done := op.done(e); done != (err == nil) && !errors.Is(err, ErrOutcomeUnknown) {
						t.Errorf("%v, but done: %v", err, done)
					}
					if tt.then != nil && !op.done(e) {
						t.Error("the record was appended without an effect")
					}
					if err == nil {
						return
					}
					tookEffect := op.done(e)
					err = op.do(e, e.ctx)
					if tookEffect && !errors.Is(err, op.retryErr) || !tookEffect && err != nil {
						t.Errorf("retry after effect %v: %v", tookEffect, err)
					}
					e.recoverLog()
					if !op.done(e) {
						t.Error("no effect after the retry")
					}
				})
			})
		}
	}
}
