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

// testEntry is an entry's state machines over one log.
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
	d := &testEntry{
		fixture: f, t: t, configs: f.startConfigs(),
		jobs: &Jobs{Append: jobs.Append, Resolve: f.log.Resolve}, claims: &Claims{Append: claims.Append},
	}
	f.follow(&Follower{Stream: JobStream, Handle: d.jobs.Apply, Missed: d.jobs.Missed, CaughtUp: d.jobs.CaughtUp})
	f.follow(&Follower{Stream: ClaimStream, Handle: d.claims.Apply, Missed: d.claims.Missed})
	if err := d.jobs.Accept(f.ctx, shop.Job{ID: "job"}); err != nil {
		t.Fatal(err)
	}
	var err error
	if d.claimResult, err = d.claims.Claim(f.ctx, Claim{Team: "t", Key: "k", Request: "r"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	return d
}

// operation is one thing that an entry does through the log.
type operation struct {
	name string
	do   func(*testEntry, context.Context) error
	// done says whether all readers see the effect.
	done func(*testEntry) bool
	// retryErr does the step once more, after it failed, and may find it done.
	retryErr error
}

var operations = []operation{
	{
		name: "Start",
		do: func(d *testEntry, ctx context.Context) error {
			return d.jobs.ClaimAttempt(ctx, shop.Attempt{Job: "job", Number: 1}, "entry")
		},
		done:     func(d *testEntry) bool { return d.find().Attempt == 1 },
		retryErr: ErrAttemptClaimed,
	},
	{
		name: "Cancel",
		do:   func(d *testEntry, ctx context.Context) error { return d.jobs.Cancel(ctx, "job") },
		done: func(d *testEntry) bool { return d.find().Cancelled },
	},
	{
		name: "End",
		do: func(d *testEntry, ctx context.Context) error {
			return d.jobs.End(ctx, JobRecord{ID: "job", State: shop.Done})
		},
		done: func(d *testEntry) bool { return d.find().ID == "" },
	},
	{
		name: "Release",
		do:   func(d *testEntry, ctx context.Context) error { return d.claims.Release(ctx, d.claimResult) },
		done: func(d *testEntry) bool { return len(d.claims.keys[claimKey{"t", "k"}]) == 0 },
	},
	{
		name: "Publish",
		do: func(d *testEntry, ctx context.Context) error {
			_, err := d.configs.Publish(ctx, shop.Config{}, 0, "ana")
			return err
		},
		done:     func(d *testEntry) bool { return d.configs.Current() != nil },
		retryErr: shop.ErrConflict,
	},
}

func (d *testEntry) find() LiveJob {
	job, _ := d.jobs.Find("job")
	return job
}

// recoveryDelay is longer than the backoff of a follower.
const recoveryDelay = 5 * time.Second

// recoverLog waits until the log is sound and all is read.
func (d *testEntry) recoverLog() {
	d.standIn.SetFaults(standin.LogFaults{})
	time.Sleep(recoveryDelay)
	synctest.Wait()
}

// Each step under each fault of the log says what happened: a success has its
// effect, "not appended" never has one, and what is unknown can be done again.
func TestOperationsUnderFaults(t *testing.T) {
	faults := []struct {
		name   string
		faults standin.LogFaults
		then   *standin.LogFaults // Once the step's record has landed.
		want   error
	}{
		{"sound", standin.LogFaults{}, nil, nil},
		{"slow", standin.LogFaults{Delay: 300 * time.Millisecond}, nil, nil},
		{"slower than the timeout", standin.LogFaults{Delay: 2 * time.Second}, nil, ErrOutcomeUnknown},
		{"down", standin.LogFaults{Down: true}, nil, ErrOutcomeUnknown},
		{"answers lost", standin.LogFaults{LoseAnswers: true}, nil, nil},
		{"answer lost, then down", standin.LogFaults{LoseAnswers: true}, &standin.LogFaults{Down: true}, ErrOutcomeUnknown},
		{"rejects", standin.LogFaults{Reject: true}, nil, ErrNotAppended},
	}
	for _, step := range operations {
		for _, tt := range faults {
			t.Run(step.name+"/"+tt.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newTestEntry(t)
					d.standIn.SetFaults(tt.faults)
					if tt.then != nil {
						time.AfterFunc(DefaultWindow+time.Millisecond, func() { d.standIn.SetFaults(*tt.then) })
					}
					err := step.do(d, d.ctx)
					if !errors.Is(err, tt.want) {
						t.Errorf("%v, want %v", err, tt.want)
					}
					var unknown *OutcomeUnknownError
					if errors.Is(err, ErrOutcomeUnknown) && (!errors.As(err, &unknown) || len(unknown.RecordIDs) != 1) {
						t.Errorf("%v names no record", err)
					}
					d.recoverLog()
					if done := step.done(d); done != (err == nil) && !errors.Is(err, ErrOutcomeUnknown) {
						t.Errorf("%v, but done: %v", err, done)
					}
					if tt.then != nil && !step.done(d) {
						t.Error("the record landed without an effect")
					}
					if err == nil {
						return
					}
					landed := step.done(d)
					err = step.do(d, d.ctx)
					if landed && !errors.Is(err, step.retryErr) || !landed && err != nil {
						t.Errorf("again, landed %v: %v", landed, err)
					}
					d.recoverLog()
					if !step.done(d) {
						t.Error("not done after it was done again")
					}
				})
			})
		}
	}
}
