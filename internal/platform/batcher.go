package platform

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of a Batcher.
const (
	DefaultWindow     = 4 * time.Millisecond
	DefaultMaxRecords = 256
	DefaultMaxBytes   = 256 << 10
	// DefaultAppendRate, in appends per second and stream, leaves most of the
	// log's append rate to the other entries.
	DefaultAppendRate = rate.Limit(30)
)

// Batcher combines the appends of concurrent callers to one stream into fewer
// appends to the log. Its exported fields must be set before Run or Append.
type Batcher struct {
	Log    *Log
	Stream string
	// Window is how long the first record of a batch waits for more.
	Window time.Duration
	// MaxRecords and MaxBytes limit the size of a batch.
	MaxRecords int
	MaxBytes   int
	// AppendRate is the maximum number of appends per second.
	AppendRate rate.Limit

	once    sync.Once
	calls   chan *call
	stopped chan struct{}
	// carriedOver is a call that didn't fit into the previous batch.
	carriedOver *call
}

// States of a call. A caller whose context ends before its record is sent
// abandons the call; the record is then never sent.
const (
	callWaiting int32 = iota
	callSent
	callAbandoned
)

// call is one call of Append.
type call struct {
	record Record
	size   int
	state  atomic.Int32
	done   chan appendResult
}

type appendResult struct {
	offset uint64
	err    error
}

func (b *Batcher) init() {
	b.once.Do(func() {
		b.calls = make(chan *call)
		b.stopped = make(chan struct{})
		if b.Window == 0 {
			b.Window = DefaultWindow
		}
		if b.MaxRecords == 0 {
			b.MaxRecords = DefaultMaxRecords
		}
		if b.MaxBytes == 0 {
			b.MaxBytes = DefaultMaxBytes
		}
		if b.AppendRate == 0 {
			b.AppendRate = DefaultAppendRate
		}
	})
}

// Append appends one record and returns its offset. It fails with ErrNotAppended
// or ErrOutcomeUnknown, as Log.Append does.
func (b *Batcher) Append(ctx context.Context, r Record) (uint64, error) {
	b.init()
	data, err := r.Encode()
	if err != nil {
		return 0, fmt.Errorf("platform.Batcher: %w: %w", ErrNotAppended, err)
	}
	c := &call{record: r, size: len(data), done: make(chan appendResult, 1)}
	select {
	case b.calls <- c:
	case <-ctx.Done():
		return 0, fmt.Errorf("platform.Batcher: %w: %w", ErrNotAppended, ctx.Err())
	case <-b.stopped:
		return 0, fmt.Errorf("platform.Batcher: stopped: %w", ErrNotAppended)
	}
	select {
	case a := <-c.done:
		return a.offset, a.err
	case <-ctx.Done():
	}
	if c.state.CompareAndSwap(callWaiting, callAbandoned) {
		return 0, fmt.Errorf("platform.Batcher: %w: %w", ErrNotAppended, ctx.Err())
	}
	return 0, &OutcomeUnknownError{PendingAppend: PendingAppend{Stream: b.Stream, From: r.AsOf, RecordIDs: []string{r.ID}}, Cause: ctx.Err()}
}

// Run sends batches until the context ends.
func (b *Batcher) Run(ctx context.Context) error {
	b.init()
	defer close(b.stopped)
	limiter := rate.NewLimiter(b.AppendRate, 1)
	for {
		batch := b.collect(ctx)
		if err := limiter.Wait(ctx); err != nil && len(batch) == 0 {
			return nil
		}
		if ctx.Err() != nil {
			failBatch(append(batch, b.takeCarriedOver()...), ctx.Err())
			return nil
		}
		b.send(ctx, batch)
	}
}

// collect waits for a first call, and then for more until the window ends or the
// batch is full.
func (b *Batcher) collect(ctx context.Context) []*call {
	batch := b.takeCarriedOver()
	if len(batch) == 0 {
		select {
		case c := <-b.calls:
			batch = append(batch, c)
		case <-ctx.Done():
			return nil
		}
	}
	size := batch[0].size
	window := time.NewTimer(b.Window)
	defer window.Stop()
	for len(batch) < b.MaxRecords {
		select {
		case c := <-b.calls:
			if size += c.size; size > b.MaxBytes {
				b.carriedOver = c
				return batch
			}
			batch = append(batch, c)
		case <-window.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// takeCarriedOver returns and clears the call that didn't fit into the previous
// batch, as a list of at most one.
func (b *Batcher) takeCarriedOver() []*call {
	if b.carriedOver == nil {
		return nil
	}
	c := b.carriedOver
	b.carriedOver = nil
	return []*call{c}
}

// failBatch answers all calls of a batch with ErrNotAppended.
func failBatch(batch []*call, cause error) {
	for _, c := range batch {
		c.done <- appendResult{err: fmt.Errorf("platform.Batcher: %w: %w", ErrNotAppended, cause)}
	}
}

// send appends the records of a batch, except those of abandoned calls, and answers
// the calls.
func (b *Batcher) send(ctx context.Context, batch []*call) {
	var sent []*call
	var records []Record
	for _, c := range batch {
		if c.state.CompareAndSwap(callWaiting, callSent) {
			sent = append(sent, c)
			records = append(records, c.record)
		}
	}
	if len(sent) == 0 {
		return
	}
	first, err := b.Log.Append(ctx, b.Stream, records...)
	for i, c := range sent {
		a := appendResult{offset: first + uint64(i), err: err}
		var unknown *OutcomeUnknownError
		if errors.As(err, &unknown) {
			p := PendingAppend{Stream: b.Stream, From: c.record.AsOf, RecordIDs: []string{c.record.ID}}
			a.err = &OutcomeUnknownError{PendingAppend: p, Cause: unknown.Cause}
		}
		c.done <- a
	}
}
