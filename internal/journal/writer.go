package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/clock"
)

// Limits and timing of a Writer's appends.
const (
	// DefaultAttemptTimeout bounds one attempt to append, so that a connection that gives no
	// answer is given up. A healthy store answers in 10 ms, one that is 60 times slower in
	// 400 ms.
	DefaultAttemptTimeout = 900 * time.Millisecond
	// maxBatchRecords bounds the number of records in one append. Progress records have up to some
	// 100 KB.
	maxBatchRecords = 64
	// maxBatchBytes bounds the size of one append. The store accepts up to 2 MiB, of which a record may
	// take 256 KiB.
	maxBatchBytes = 1 << 20
	// retryDelay is the delay before a failed append is sent again.
	retryDelay = 50 * time.Millisecond
)

// Writer appends records in batches, one batch at a time. Its exported fields must be set before
// Run.
type Writer struct {
	Store Store
	// Producer's name and epoch must be unique to this process. The writer maintains the sequence.
	Producer       Producer
	AttemptTimeout time.Duration // DefaultAttemptTimeout when zero.
	// RetryUnavailable makes the writer retry a batch even if the store has refused it.
	RetryUnavailable bool
	Log              zerolog.Logger

	mu               sync.Mutex
	queue            []*pendingAppend
	wake             chan struct{}
	unavailableSince clock.Instant // When the first of the latest consecutive failed calls ended, zero if the last call succeeded.
	sending          bool          // A batch has been sent and its outcome is not known yet.
	closed           bool          // Run has ended, so that further appends are refused.
}

// pendingAppend is a set of records that are appended together.
type pendingAppend struct {
	records []Record
	sent    bool
	done    chan struct{}
	offset  int64
	err     error
}

func (w *Writer) setDefaults() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wake == nil {
		w.wake = make(chan struct{}, 1)
	}
	if w.AttemptTimeout == 0 {
		w.AttemptTimeout = DefaultAttemptTimeout
	}
}

// UnavailableFor returns for how long the store has been unavailable, zero if the last call
// succeeded.
func (w *Writer) UnavailableFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unavailableSince == 0 {
		return 0
	}
	return clock.Since(w.unavailableSince)
}

// Stalled reports whether the store is unavailable and the outcome of a batch is open, so that Add fails
// at once.
func (w *Writer) Stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled()
}

// stalled is Stalled for a caller that holds mu.
func (w *Writer) stalled() bool { return w.unavailableSince != 0 && w.sending && !w.RetryUnavailable }

// Add appends the records together and returns the first one's offset. It fails with ErrRejected if
// the store will never take them, with ErrUnavailable if nothing was or will be written, and with an
// UndecidedError if ctx ended before the outcome was known. While the store is unavailable and a
// batch's outcome is open, Add fails at once.
func (w *Writer) Add(ctx context.Context, records ...Record) (int64, error) {
	w.setDefaults()
	e := &pendingAppend{records: records, done: make(chan struct{})}
	w.mu.Lock()
	switch {
	case w.closed:
		w.mu.Unlock()
		return 0, fmt.Errorf("journal.Add: %w", ErrFenced)
	case w.stalled():
		w.mu.Unlock()
		return 0, fmt.Errorf("journal.Add: %w", ErrUnavailable)
	}
	w.queue = append(w.queue, e)
	w.mu.Unlock()
	w.signal()

	select {
	case <-e.done:
		return e.offset, e.err
	case <-ctx.Done():
		return 0, w.withdraw(e)
	}
}

// SplitAppends splits records into as many appends as they need by their size, in their order.
func SplitAppends(records []Record) [][]Record {
	var out [][]Record
	size := 0
	for i, r := range records {
		size += len(r.Value)
		if i == 0 || size > maxBatchBytes {
			out = append(out, nil)
			size = len(r.Value)
		}
		out[len(out)-1] = append(out[len(out)-1], r)
	}
	return out
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// withdraw removes a pending append from the queue, unless it has been sent.
func (w *Writer) withdraw(e *pendingAppend) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.sent {
		return fmt.Errorf("journal.Add: %w", &UndecidedError{Settled: e.done})
	}
	w.queue = slices.DeleteFunc(w.queue, func(o *pendingAppend) bool { return o == e })
	return fmt.Errorf("journal.Add: %w", ErrUnavailable)
}

// Run appends queued records until ctx ends or the producer is fenced, and returns the reason.
func (w *Writer) Run(ctx context.Context) error {
	w.setDefaults()
	for {
		batch := w.nextBatch()
		if len(batch) == 0 {
			select {
			case <-w.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := w.appendBatch(ctx, batch); err != nil {
			w.closeQueue(err)
			return err
		}
	}
}

// nextBatch removes the records of the next append from the queue.
func (w *Writer) nextBatch() []*pendingAppend {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, records, size := 0, 0, 0
	for _, e := range w.queue {
		for _, r := range e.records {
			records++
			size += len(r.Value)
		}
		if n > 0 && (records > maxBatchRecords || size > maxBatchBytes) {
			break
		}
		e.sent = true
		n++
	}
	batch := slices.Clone(w.queue[:n])
	w.queue = slices.Delete(w.queue, 0, n)
	return batch
}

// appendBatch retries until the batch's outcome is known or ctx ends.
func (w *Writer) appendBatch(ctx context.Context, batch []*pendingAppend) error {
	var records []Record
	for _, e := range batch {
		records = append(records, e.records...)
	}
	w.setSending(true)
	defer w.setSending(false)
	maybeWritten := false
	for {
		offset, err := w.attempt(ctx, records)
		switch {
		case err == nil:
			w.markAvailable()
			w.Producer.Sequence++
			completeBatch(batch, offset)
			return nil
		case errors.Is(err, ErrFenced):
			failBatch(batch, err)
			return err
		case errors.Is(err, ErrRejected):
			return w.handleRejected(ctx, batch, err)
		case ctx.Err() != nil:
			failBatch(batch, fmt.Errorf("journal.Writer: %w: %w", ErrUndecided, ctx.Err()))
			return ctx.Err()
		}
		w.markUnavailable(err)
		if !errors.Is(err, ErrUnavailable) {
			maybeWritten = true
		}
		if !maybeWritten && !w.RetryUnavailable {
			failBatch(batch, err)
			w.failQueued(err)
			return nil
		}
		if clock.Pause(ctx, retryDelay) != nil {
			failBatch(batch, fmt.Errorf("journal.Writer: %w: %w", ErrUndecided, ctx.Err()))
			return ctx.Err()
		}
	}
}

// handleRejected fails a batch that the store will never take. If it holds several appends, each gets
// a batch of its own, so that only those at fault fail.
func (w *Writer) handleRejected(ctx context.Context, batch []*pendingAppend, err error) error {
	if len(batch) == 1 {
		w.Log.Error().Err(err).Str("key", batch[0].records[0].Key).Int("records", len(batch[0].records)).
			Msg("The store rejects an append for good.")
		failBatch(batch, err)
		return nil
	}
	for _, e := range batch {
		if err := w.appendBatch(ctx, []*pendingAppend{e}); err != nil {
			failBatch(batch[slices.Index(batch, e)+1:], fmt.Errorf("journal.Writer: %w: %w", ErrUnavailable, err))
			return err
		}
	}
	return nil
}

func (w *Writer) attempt(ctx context.Context, records []Record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, w.AttemptTimeout)
	defer cancel()
	// The sequence number lets the store recognise a repeat, so hedging is safe.
	return hedged(ctx, hedgeDelay, func(ctx context.Context) (int64, error) {
		return w.Store.Append(ctx, w.Producer, records)
	})
}

func (w *Writer) setSending(sending bool) {
	w.mu.Lock()
	w.sending = sending
	w.mu.Unlock()
}

func (w *Writer) markUnavailable(cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unavailableSince == 0 {
		w.unavailableSince = clock.Now()
		w.Log.Warn().Err(cause).Msg("Lost the store for writing.")
	}
}

func (w *Writer) markAvailable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unavailableSince != 0 {
		w.Log.Info().Dur("away", clock.Since(w.unavailableSince)).Msg("The store takes writes again.")
		w.unavailableSince = 0
	}
}

func completeBatch(batch []*pendingAppend, offset int64) {
	for _, e := range batch {
		e.offset = offset
		offset += int64(len(e.records))
		close(e.done)
	}
}

func failBatch(batch []*pendingAppend, err error) {
	for _, e := range batch {
		e.err = err
		close(e.done)
	}
}

// failQueued fails all appends that have not been sent.
func (w *Writer) failQueued(err error) {
	w.mu.Lock()
	queued := w.queue
	w.queue = nil
	w.mu.Unlock()
	failBatch(queued, err)
}

// closeQueue fails all appends that have not been sent, and all later ones.
func (w *Writer) closeQueue(err error) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.failQueued(fmt.Errorf("journal.Writer: %w: %w", ErrUnavailable, err))
}
