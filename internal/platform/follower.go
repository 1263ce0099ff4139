package platform

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Defaults of a Follower.
const (
	DefaultPollTimeout = 2 * time.Second
	DefaultReadLimit   = 500
)

// Follower reads a stream continuously. Its exported fields must be set before
// Run.
type Follower struct {
	Log    *Log
	Stream string
	// From is the first offset to read.
	From uint64
	// PollTimeout is how long a read waits for a new record.
	PollTimeout time.Duration
	// Handle is called with each record, in order.
	Handle func(Record)
	// Missed is called when records before first were trimmed before they were
	// read, or when the log was replaced by a new one with new offsets. State must
	// then be rebuilt from the records that the log still has, from first on.
	Missed func(first uint64)
	// CaughtUp is called after each read that reached the end of the stream.
	CaughtUp func()
	// Now returns the current time; nil means time.Now.
	Now    func() time.Time
	Logger zerolog.Logger

	next     atomic.Uint64
	lastRead atomic.Int64
	damaged  atomic.Uint64
}

// Next returns the offset after the last record that was handled.
func (f *Follower) Next() uint64 { return f.next.Load() }

// Damaged returns the number of records that were skipped because they couldn't be
// decoded.
func (f *Follower) Damaged() uint64 { return f.damaged.Load() }

// Staleness returns the time since the last successful read. It returns false
// before the first one.
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

// Run follows the stream until the context ends. It retries failed reads with
// jittered exponential backoff.
func (f *Follower) Run(ctx context.Context) error {
	f.next.Store(f.From)
	pollTimeout := f.PollTimeout
	if pollTimeout == 0 {
		pollTimeout = DefaultPollTimeout
	}
	b := newBackoff()
	for ctx.Err() == nil {
		err := f.readOnce(ctx, f.nextPollTimeout(pollTimeout))
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

// restart continues at the first offset that the log still has.
func (f *Follower) restart(first uint64) {
	f.next.Store(first)
	if f.Missed != nil {
		f.Missed(first)
	}
}

// nextPollTimeout returns how long the next read waits for a new record. It is zero
// before the first successful read, so that an empty stream is detected at once.
func (f *Follower) nextPollTimeout(pollTimeout time.Duration) time.Duration {
	if f.lastRead.Load() == 0 {
		return 0
	}
	return pollTimeout
}

// readOnce makes one read and handles its records.
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
		f.Logger.Error().Str("stream", f.Stream).Uint64("next", p.streamEnd).Msg("Log was replaced by a new one; rebuilding state.")
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
