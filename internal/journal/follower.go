package journal

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/clock"
)

// Defaults of a Follower.
const (
	// DefaultReadWait is how long a read waits for a record. It bounds how long a silent
	// connection goes unnoticed.
	DefaultReadWait = 700 * time.Millisecond
	// readTimeoutMargin is how much longer than its wait a read may take before it is given up.
	readTimeoutMargin = time.Second
	// readRetryDelay is the wait after a failed read.
	readRetryDelay = 100 * time.Millisecond
)

// Follower applies every record of the journal in order. Set its fields before Run.
type Follower struct {
	Store Store
	// Apply gets every record once, in order, or each key's newest after a reset.
	Apply    func(Record)
	ReadWait time.Duration // DefaultWait when zero.
	// MinReadInterval is the least time between two reads, so that busy journals cost fewer calls.
	MinReadInterval time.Duration
	Log             zerolog.Logger

	mu          sync.Mutex // Held while records are applied, so Apply must not wait for the follower.
	next        int64
	loaded      bool
	lastOffsets map[string]int64 // The offset applied last, by key.
	unavailable bool

	// Instants are read by those that hold locks which Apply may want.
	lastContact atomic.Int64 // When the newest answered read was sent.
	caughtUpAt  atomic.Int64 // When the newest read that reached the end was sent.
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	if f.ReadWait == 0 {
		f.ReadWait = DefaultReadWait
	}
	for ctx.Err() == nil {
		begun := clock.Now()
		if err := f.readPage(ctx, f.ReadWait); err != nil && ctx.Err() == nil {
			f.markUnavailable(err)
			if clock.Pause(ctx, readRetryDelay) != nil {
				break
			}
			continue
		}
		if rest := f.MinReadInterval - clock.Since(begun); rest > 0 && clock.Pause(ctx, rest) != nil {
			break
		}
	}
	return ctx.Err()
}

// Refresh reads to the journal's end.
func (f *Follower) Refresh(ctx context.Context) error {
	sent := clock.Now()
	for {
		if err := f.readPage(ctx, 0); err != nil {
			return err
		}
		if f.CaughtUpAt() >= sent {
			return nil
		}
	}
}

// LastContact returns when the newest answered read was sent; zero before the first.
func (f *Follower) LastContact() clock.Instant { return clock.Instant(f.lastContact.Load()) }

// CaughtUpAt returns when the newest read that reached the end was sent; zero before the first.
func (f *Follower) CaughtUpAt() clock.Instant { return clock.Instant(f.caughtUpAt.Load()) }

func (f *Follower) position() (next int64, loaded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.loaded
}

// readPage reads one page and applies it.
func (f *Follower) readPage(ctx context.Context, wait time.Duration) error {
	next, loaded := f.position()
	sent := clock.Now()
	var page Page
	var err error
	if loaded {
		page, err = f.hedgedRead(ctx, wait, func(ctx context.Context) (Page, error) { return f.Store.Read(ctx, next, wait) })
		if errors.Is(err, ErrTrimmed) {
			f.Log.Warn().Int64("offset", next).Msg("The store dropped history; loading each key's newest record.")
			loaded = false
		}
	}
	if !loaded {
		page, err = f.hedgedRead(ctx, 0, f.Store.Newest)
	}
	if err != nil {
		return err
	}
	f.applyPage(page, sent)
	return nil
}

// hedgedRead makes a call that may wait for a record.
func (f *Follower) hedgedRead(ctx context.Context, wait time.Duration, call func(context.Context) (Page, error)) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	return hedged(ctx, wait+hedgeDelay, call)
}

// applyPage passes on what is new. Two reads may overlap, and the newest of each key may
// be newer than the offset from which reading goes on.
func (f *Follower) applyPage(page Page, sent clock.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastOffsets == nil {
		f.lastOffsets = make(map[string]int64)
	}
	for _, r := range page.Records {
		if last, ok := f.lastOffsets[r.Key]; ok && r.Offset <= last {
			continue
		}
		f.lastOffsets[r.Key] = r.Offset
		f.Apply(r)
	}
	f.loaded = true
	f.next = max(f.next, page.Next)
	f.lastContact.Store(max(f.lastContact.Load(), int64(sent)))
	if f.next >= page.End {
		f.caughtUpAt.Store(max(f.caughtUpAt.Load(), int64(sent)))
	}
	if f.unavailable {
		f.unavailable = false
		f.Log.Info().Int64("offset", f.next).Msg("Reading the journal again.")
	}
}

func (f *Follower) markUnavailable(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.unavailable {
		f.unavailable = true
		f.Log.Warn().Err(err).Int64("offset", f.next).Msg("Lost the journal.")
	}
}
