package journal

import (
	"context"
	"errors"
	"time"
)

// What came of a call to the store.
var (
	// ErrUnavailable says that the store did nothing.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUndecided says that nobody knows yet whether the records were or will be appended.
	ErrUndecided = errors.New("append undecided")
	// ErrFenced says that a producer with a higher epoch has taken over.
	ErrFenced = errors.New("producer fenced by a higher epoch")
	// ErrTrimmed says that the offset's records are gone.
	ErrTrimmed = errors.New("records trimmed")
)

// UndecidedError is the ErrUndecided of one append. Settled is closed when its outcome is known.
type UndecidedError struct{ Settled <-chan struct{} }

// Error gives the text of ErrUndecided.
func (e *UndecidedError) Error() string { return ErrUndecided.Error() }

// Is says that the error is ErrUndecided.
func (e *UndecidedError) Is(target error) bool { return target == ErrUndecided }

// Record is a value under a key. A nil value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // Set on records that were read.
}

// Producer numbers appends so that the store can tell a repeat from a new one.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Page is what a read returned.
type Page struct {
	Records []Record
	// Next is the offset after the page's last record.
	Next int64
	// End is the offset after the partition's last record.
	End int64
}

// Store is the calls of the platform's store on the journal's partition.
type Store struct {
	// Append appends all records or none, and returns the first one's offset. An empty
	// list only sets the producer's epoch. It fails with ErrUnavailable, ErrFenced, or
	// any other error when the outcome is unknown.
	Append func(ctx context.Context, p Producer, records []Record) (int64, error)
	// Read returns records from an offset on, and waits for one when there is none.
	Read func(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// Newest returns each key's newest record; Next is an offset from which
	// reading on misses nothing.
	Newest func(ctx context.Context) (Page, error)
}
