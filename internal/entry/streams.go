package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"sniperill.example/sniperill/internal/platform"
)

// readWaitTimeout is how long a read of the log waits for a new record.
const readWaitTimeout = time.Second

// logUnavailableTimeout is the time without an answer after which the log counts as
// unavailable.
const logUnavailableTimeout = 2500 * time.Millisecond

// maxSnapshotJobs bounds the jobs that a snapshotter appends in one round.
const maxSnapshotJobs = 500

// streams holds the entry's readers and writers of the streams in the platform's log.
type streams struct {
	log     *platform.Log
	configs *platform.Configs
	jobs    *platform.Jobs
	claims  *platform.Claims

	jobBatch     *platform.Batcher
	claimBatch   *platform.Batcher
	followers    []*platform.Follower
	snapshotters []*platform.Snapshotter
	// unpublished is set while jobs have changes that are not published yet. Only the
	// follower of the job stream uses it.
	unpublished bool
}

func (s *streams) setUp(e *Entry) {
	s.log = &platform.Log{Client: e.Log}
	s.jobBatch = &platform.Batcher{Log: s.log, Stream: platform.JobStream}
	s.claimBatch = &platform.Batcher{Log: s.log, Stream: platform.ClaimStream}
	s.configs = &platform.Configs{Append: s.appendConfig}
	s.jobs = &platform.Jobs{Append: s.jobBatch.Append, Resolve: s.log.Resolve}
	s.claims = &platform.Claims{Append: s.claimBatch.Append, Logger: e.Logger}
	s.followers = []*platform.Follower{
		{
			Stream: platform.ConfigStream, Handle: s.configs.Apply, Missed: s.configs.Missed,
			CaughtUp: e.configChanged,
		},
		{
			Stream: platform.JobStream,
			Missed: func(first uint64) {
				s.jobs.Missed(first)
				s.unpublished = true
			},
			Handle: func(r platform.Record) {
				s.jobs.Apply(r)
				e.endedJobs.apply(r)
				s.unpublished = true
			},
			CaughtUp: func() {
				if !s.unpublished && s.jobs.Ready() {
					return
				}
				s.unpublished = false
				s.jobs.CaughtUp()
				e.planner.wake()
			},
		},
		{Stream: platform.ClaimStream, Handle: s.claims.Apply, Missed: s.claims.Missed},
	}
	for _, f := range s.followers {
		f.Log, f.PollTimeout, f.Now, f.Logger = s.log, readWaitTimeout, e.Now, e.Logger
	}
	s.snapshotters = []*platform.Snapshotter{
		{Due: s.configs.Due, Append: s.appendConfig},
		{
			Due:    func(before time.Time) []platform.Record { return s.jobs.Due(before, maxSnapshotJobs) },
			Append: s.jobBatch.Append,
		},
		{Due: s.claims.Due, Append: s.claimBatch.Append},
	}
	for _, snapshotter := range s.snapshotters {
		snapshotter.Retention, snapshotter.Now, snapshotter.Logger = e.Retention, e.Now, e.Logger
	}
}

func (s *streams) appendConfig(ctx context.Context, r platform.Record) (uint64, error) {
	return s.log.Append(ctx, platform.ConfigStream, r)
}

func (s *streams) run(ctx context.Context, g *errgroup.Group) {
	for _, f := range s.followers {
		g.Go(func() error { return f.Run(ctx) })
	}
	for _, snapshotter := range s.snapshotters {
		g.Go(func() error { return snapshotter.Run(ctx) })
	}
	g.Go(func() error { return s.jobBatch.Run(ctx) })
	g.Go(func() error { return s.claimBatch.Run(ctx) })
	g.Go(func() error { return s.claims.Run(ctx) })
	g.Go(func() error { return s.configs.Run(ctx) })
}

// unavailable reports whether the log has not answered for logUnavailableTimeout.
func (s *streams) unavailable() bool {
	stale, ok := s.followers[1].Staleness()
	return !ok || stale > logUnavailableTimeout
}
