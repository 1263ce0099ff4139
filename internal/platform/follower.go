package platform

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Defaults of a follower.
const (
	DefaultPollTimeout = 2 * time.Second
	DefaultReadLimit   = 500
)

// Follower reads a stream for as long as it runs. Its exported fields are set
// before Run.
type Follower struct {
	Log    *Log
	Stream string
	// From is the offset to start at.
	From uint64
	// PollTimeout is how long a read waits for a record.
	PollTimeout time.Duration
	// Handle is called with each record in order.
	Handle func(Record)
	// Missed is called when records before first were trimmed unread, or when the
	// log has started over and offsets begin anew: state must be rebuilt from the
	// records kept.
	Missed func(first uint64)
	// CaughtUp is called after each read that came to the end of the stream.
	CaughtUp func()
	// Now is time.Now when nil.
	Now    func() time.Time
	Logger zerolog.Logger

	next     atomic.Uint64
	lastRead atomic.Int64
	damaged  atomic.Uint64
}

// Next returns the offset after the last record that was handled.
func (f *Follower) Next() uint64 { return f.next.Load() }

// Damaged counts the records that couldn't be decoded and were passed over.
func (f *Follower) Damaged() uint64 { return f.damaged.Load() }

// Staleness returns the time since the last successful read, and false before the first.
func (f *Follower) Staleness() (time.Duration, bool) {
	last := f.lastRead.Load()
	if last == 0 {
		return 0, false
	}
	return f.now().Sub(time.Unix(0, last)), true
}

func (f *Follower) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

// Run follows the stream until the context ends. It waits out outages with
// jittered backoff.
func (f *Follower) Run(ctx context.Context) error {
	f.next.Store(f.From)
	wait := f.PollTimeout
	if wait == 0 {
		wait = DefaultPollTimeout
	}
	b := newBackoff()
	for ctx.Err() == nil {
		err := f.readOnce(ctx, f.nextPollTimeout(wait))
		if err == nil {
			b.Reset()
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		f.Logger.Warn().Err(err).Str("stream", f.Stream).Msg("Log is away.")
		t := time.NewTimer(b.NextBackOff())
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
	return nil
}

// restart goes on at the first offset that is kept.
func (f *Follower) restart(first uint64) {
	f.next.Store(first)
	if f.Missed != nil {
		f.Missed(first)
	}
}

// nextPollTimeout is how long the next read waits for a record: not at all before the
// first success, so that an empty stream is known to be empty at once.
func (f *Follower) nextPollTimeout(wait time.Duration) time.Duration {
	if f.lastRead.Load() == 0 {
		return 0
	}
	return wait
}

// readOnce does one read.
func (f *Follower) readOnce(ctx context.Context, wait time.Duration) error {
	p, err := f.Log.read(ctx, f.Stream, f.next.Load(), DefaultReadLimit, wait)
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		f.Logger.Warn().Str("stream", f.Stream).Uint64("first", trimmed.First).Msg("Records were trimmed unread.")
		f.restart(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	if p.streamEnd < f.next.Load() {
		f.Logger.Error().Str("stream", f.Stream).Uint64("next", p.streamEnd).Msg("The log has started over.")
		f.restart(p.streamStart)
		return nil
	}
	for _, r := range p.records {
		f.Handle(r)
	}
	f.damaged.Add(uint64(p.damaged))
	f.next.Store(p.resumeAt)
	f.lastRead.Store(f.now().UnixNano())
	if p.resumeAt >= p.streamEnd && f.CaughtUp != nil {
		f.CaughtUp()
	}
	return nil
}
