package journal

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/clock"
)

// Timing of a Follower's reads.
const (
	// DefaultReadWait is how long a read waits for a record. It also bounds how long a connection
	// that gives no answer goes unnoticed.
	DefaultReadWait = 700 * time.Millisecond
	// readTimeoutMargin is how much longer than its wait a read may take before it times out.
	readTimeoutMargin = time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 100 * time.Millisecond
)

// Follower applies every record of the journal in order. Its exported fields must be set before
// Run.
type Follower struct {
	Store Store
	// Apply is called once for each record, in order. At the start and after the history was
	// trimmed, it is called only for the newest record of each key.
	Apply    func(Record)
	ReadWait time.Duration // DefaultReadWait when zero.
	// ReadInterval returns the minimum time between the starts of two reads, so that a busy journal
	// costs fewer calls. If it is nil, there is none. Call Wake when it becomes shorter.
	ReadInterval func() time.Duration
	// Superseded reports whether a record need not be applied if the same page has a newer one of its
	// key. If it is nil, all records are applied.
	Superseded func(Record) bool
	// PageApplied, if set, is called after the records of a page were applied, before CaughtUpAt counts it.
	PageApplied func(AppliedPage)
	Log         zerolog.Logger

	mu          sync.Mutex // Held during Apply, which therefore must not call methods that lock it.
	next        int64
	loaded      bool
	lastOffsets map[string]int64 // Offset of the last record applied, by key.
	unavailable bool
	wake        chan struct{} // Ends the pause between two reads.
	shared      sharedRefreshes

	// These are atomic because callers read them while holding locks that Apply may need.
	answeredAt atomic.Int64 // When the last answer to a read arrived.
	applied    atomic.Int64 // As next.
	caughtUpAt atomic.Int64 // When the last read that reached the end was sent.
}

// AppliedPage describes a page of records that was applied.
type AppliedPage struct {
	Next int64 // The offset at which reading goes on.
	// Dropped are the keys of applied records that no longer have a value, though no record said so: the history was
	// trimmed meanwhile.
	Dropped []string
}

// Run follows the journal until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	if f.ReadWait == 0 {
		f.ReadWait = DefaultReadWait
	}
	wake := f.wakeChannel()
	for ctx.Err() == nil {
		start := clock.Now()
		if err := f.readPage(ctx, f.ReadWait); err != nil && ctx.Err() == nil {
			f.markUnavailable(err)
			if clock.Pause(ctx, readRetryDelay) != nil {
				break
			}
			continue
		}
		f.pause(ctx, wake, start)
	}
	return ctx.Err()
}

// pause waits until the next read is due, given when the last one started.
func (f *Follower) pause(ctx context.Context, wake <-chan struct{}, start clock.Instant) {
	if f.ReadInterval == nil {
		return
	}
	for {
		remaining := f.ReadInterval() - clock.Since(start)
		if remaining <= 0 {
			return
		}
		t := time.NewTimer(remaining)
		select {
		case <-t.C:
		case <-wake: // The interval may be shorter now.
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

// Wake makes Run evaluate ReadInterval again.
func (f *Follower) Wake() {
	select {
	case f.wakeChannel() <- struct{}{}:
	default:
	}
}

func (f *Follower) wakeChannel() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wake == nil {
		f.wake = make(chan struct{}, 1)
	}
	return f.wake
}

// Refresh reads up to the journal's current end.
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

// AnsweredAt returns when the last answer to a read arrived, zero before the first.
func (f *Follower) AnsweredAt() clock.Instant { return clock.Instant(f.answeredAt.Load()) }

// Probe calls the store without reading records. A page of records may take longer than a caller can
// wait, and many of them at once choke a slow link.
func (f *Follower) Probe(ctx context.Context) error {
	if err := f.Store.Ping(ctx); err != nil {
		return err
	}
	f.answeredAt.Store(int64(clock.Now()))
	return nil
}

// CaughtUpAt returns when the last read that reached the journal's end was sent, zero before the
// first. All records appended before then have been applied.
func (f *Follower) CaughtUpAt() clock.Instant { return clock.Instant(f.caughtUpAt.Load()) }

// AppliedTo returns the offset before which all records have been applied.
func (f *Follower) AppliedTo() int64 { return f.applied.Load() }

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
			f.Log.Warn().Int64("offset", next).Msg("The store trimmed records that were not read yet; loading the newest record of each key.")
			loaded = false
		}
	}
	if !loaded {
		page, err = f.loadNewest(ctx)
	}
	if err != nil {
		return err
	}
	f.applyPage(page, sent, !loaded)
	return nil
}

// loadNewest reads the newest record of each key, ordered by their offsets. Each page has the time of a read:
// their number grows with the journal.
func (f *Follower) loadNewest(ctx context.Context) (Page, error) {
	var out Page
	for after := ""; ; {
		page, err := f.hedgedRead(ctx, 0, func(ctx context.Context) (Page, error) { return f.Store.Newest(ctx, after) })
		if err != nil {
			return Page{}, err
		}
		f.answeredAt.Store(int64(clock.Now()))
		if after == "" { // The pages are not a consistent snapshot, so reading continues from the first one's end.
			out.Next, out.End = page.Next, page.End
		}
		out.Records = append(out.Records, page.Records...)
		if page.More == "" {
			break
		}
		after = page.More
	}
	slices.SortFunc(out.Records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out, nil
}

// hedgedRead makes a call that may wait for a record, with hedging and a timeout.
func (f *Follower) hedgedRead(ctx context.Context, wait time.Duration, call func(context.Context) (Page, error)) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	return hedged(ctx, wait+hedgeDelay, call)
}

// applyPage applies the records that are new. Reads may overlap, and the newest record of a key
// may lie beyond the offset at which reading continues.
// NewestOfAll says that the page has the newest record of each key.
func (f *Follower) applyPage(page Page, sent clock.Instant, newestOfAll bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastOffsets == nil {
		f.lastOffsets = make(map[string]int64)
	}
	newest := f.newestInPage(page)
	for _, r := range page.Records {
		if last, ok := f.lastOffsets[r.Key]; ok && r.Offset <= last {
			continue
		}
		f.lastOffsets[r.Key] = r.Offset
		if r.Offset < newest[r.Key] && f.Superseded(r) {
			continue
		}
		f.Apply(r)
	}
	f.loaded = true
	f.next = max(f.next, page.Next)
	f.applied.Store(f.next)
	f.answeredAt.Store(int64(clock.Now()))
	if f.PageApplied != nil {
		applied := AppliedPage{Next: f.next}
		if newestOfAll {
			applied.Dropped = f.droppedKeys(page)
		}
		f.PageApplied(applied)
	}
	if f.next >= page.End {
		f.caughtUpAt.Store(max(f.caughtUpAt.Load(), int64(sent)))
	}
	if f.unavailable {
		f.unavailable = false
		f.Log.Info().Int64("offset", f.next).Msg("Reading the journal again.")
	}
}

// droppedKeys returns the keys that a page of the newest record of each key doesn't have, but for those of which a
// record may be newer than the page.
func (f *Follower) droppedKeys(page Page) []string {
	kept := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		kept[r.Key] = true
	}
	var out []string
	for key, last := range f.lastOffsets {
		if last < page.Next && !kept[key] {
			out = append(out, key)
		}
	}
	return out
}

// newestInPage returns the offset of each key's newest record in a page, or nil if all records are to
// be applied.
func (f *Follower) newestInPage(page Page) map[string]int64 {
	if f.Superseded == nil || len(page.Records) < 2 {
		return nil
	}
	out := make(map[string]int64, len(page.Records))
	for _, r := range page.Records {
		out[r.Key] = max(out[r.Key], r.Offset)
	}
	return out
}

func (f *Follower) markUnavailable(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.unavailable {
		f.unavailable = true
		f.Log.Warn().Err(err).Int64("offset", f.next).Msg("Lost the journal.")
	}
}
