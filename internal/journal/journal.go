package journal

import (
	"context"
	"errors"
	"time"
)

// Failures of a call to the store.
var (
	// ErrUnavailable means that the store did nothing.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUndecided means that it is not known yet whether the records were or will be appended.
	ErrUndecided = errors.New("append undecided")
	// ErrRejected means that the store will never take the records, and has done nothing.
	ErrRejected = errors.New("records rejected by the store")
	// ErrFenced means that a producer with a higher epoch has taken over.
	ErrFenced = errors.New("producer fenced by a higher epoch")
	// ErrOutOfSequence means that another append has followed the producer's last one in its epoch.
	ErrOutOfSequence = errors.New("append out of sequence")
	// ErrTrimmed means that the records at the offset no longer exist.
	ErrTrimmed = errors.New("records trimmed")
)

// UndecidedError is the ErrUndecided of one append. Settled is closed when its outcome is known.
type UndecidedError struct{ Settled <-chan struct{} }

// Error returns the text of ErrUndecided.
func (e *UndecidedError) Error() string { return ErrUndecided.Error() }

// Is reports whether target is ErrUndecided.
func (e *UndecidedError) Is(target error) bool { return target == ErrUndecided }

// Record is a value under a key. A nil value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64 // Set only on records that were read.
}

// Producer identifies a writer and numbers its appends, so that the store can tell a repeated append
// from a new one.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// Next is the offset after the page's last record.
	Next int64
	// End is the offset after the partition's last record.
	End int64
	// More is set if the newest records go on after the last of these keys, which it is.
	More string
}

// Store holds the platform store's operations on the journal's partition.
type Store struct {
	// Append appends all records or none, and returns the first one's offset. An empty list only
	// sets the producer's epoch. It fails with ErrUnavailable, ErrRejected, ErrFenced or
	// ErrOutOfSequence; any other error means that the outcome is unknown.
	Append func(ctx context.Context, p Producer, records []Record) (int64, error)
	// Read returns records from an offset on. If there are none, it waits for one.
	Read func(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// Ping makes a call whose answer is short and shows that the store can be reached.
	Ping func(ctx context.Context) error
	// Newest returns the newest record of each key after the given one, or of the first of them. Next is an
	// offset from which reading on misses nothing.
	Newest func(ctx context.Context, after string) (Page, error)
}
