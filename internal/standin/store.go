package standin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/journal"
)

// Store is an in-memory stand-in for one compacted partition of the platform's metadata store. The
// zero value is ready to use; set Delay before use.
type Store struct {
	// Delay is the latency of each call.
	Delay time.Duration
	// MaxRecord is the size of the largest value that it takes, in bytes; zero means no limit.
	MaxRecord int
	// MaxAppend is the size of the largest append that it takes, in bytes; zero means no limit.
	MaxAppend int
	// MaxRead is the number of records that a read, or a page of newest records, has at most; zero means no limit.
	MaxRead int

	mu            sync.Mutex
	records       []journal.Record
	first         int64 // The first offset that was not dropped from the history.
	producers     map[string]producer
	grown         chan struct{} // Closed when records are appended; nil if nobody waits.
	fault         StoreFault
	answersToLose int // The number of next appends that take effect but are not answered.
	rejectPrefix  string
	calls         int
}

// producer is the state of a producer after its last append.
type producer struct {
	epoch, sequence int64
	offset          int64
}

// StoreFault is the state of a store, which may be faulty.
type StoreFault int

// Faults of a store.
const (
	StoreHealthy       StoreFault = iota
	StoreBusy                     // Fails every call with journal.ErrUnavailable.
	StoreSilent                   // Does nothing and never answers.
	StoreAppendsSilent            // Answers reads, but does no appends and never answers them.
)

// SetFault sets the store's fault. StoreHealthy ends it.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Store) currentFault() StoreFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// LoseAnswers makes the store perform the next n appends without answering.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Reject makes the store reject appends with a record whose key begins with a prefix; an empty one ends that.
func (s *Store) Reject(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectPrefix = prefix
}

// DropHistory drops the history, so that only each key's newest record can be read.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = int64(len(s.records))
}

// Records returns all records ever appended.
func (s *Store) Records() []journal.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Journal returns the calls to the store.
func (s *Store) Journal() journal.Store {
	return journal.Store{Append: s.append, Read: s.read, Newest: s.newest, Ping: s.beginCall}
}

// beginCall counts a call, waits for the delay and applies the fault.
func (s *Store) beginCall(ctx context.Context) error {
	if s.Delay > 0 {
		if err := clock.Pause(ctx, s.Delay); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	switch s.currentFault() {
	case StoreBusy:
		return fmt.Errorf("standin.Store: %w", journal.ErrUnavailable)
	case StoreSilent:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *Store) append(ctx context.Context, p journal.Producer, records []journal.Record) (int64, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	if s.currentFault() == StoreAppendsSilent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	offset, lost, err := s.commit(p, records)
	if lost {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return offset, err
}

func (s *Store) commit(p journal.Producer, records []journal.Record) (offset int64, lost bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if tooLarge := func(r journal.Record) bool { return len(r.Value) > s.MaxRecord }; s.MaxRecord > 0 && slices.ContainsFunc(records, tooLarge) {
		return 0, false, fmt.Errorf("standin.Store: %w", journal.ErrRejected)
	}
	rejected := func(r journal.Record) bool { return strings.HasPrefix(r.Key, s.rejectPrefix) }
	if s.rejectPrefix != "" && slices.ContainsFunc(records, rejected) {
		return 0, false, fmt.Errorf("standin.Store: %w", journal.ErrRejected)
	}
	size := 0
	for _, r := range records {
		size += len(r.Value)
	}
	if s.MaxAppend > 0 && size > s.MaxAppend {
		return 0, false, fmt.Errorf("standin.Store: append of %d bytes: %w", size, journal.ErrRejected)
	}
	last, known := s.producers[p.Name]
	switch {
	case known && p.Epoch < last.epoch:
		return 0, false, fmt.Errorf("standin.Store: %w", journal.ErrFenced)
	case known && p.Epoch == last.epoch && p.Sequence == last.sequence:
		return last.offset, false, nil
	case known && p.Epoch == last.epoch && p.Sequence != last.sequence+1:
		return 0, false, fmt.Errorf("standin.Store: producer %s has sequence %d, not %d: %w", p.Name, last.sequence, p.Sequence, journal.ErrOutOfSequence)
	}
	offset = int64(len(s.records))
	for _, r := range records {
		r.Offset = int64(len(s.records))
		s.records = append(s.records, r)
	}
	if s.producers == nil {
		s.producers = make(map[string]producer)
	}
	s.producers[p.Name] = producer{p.Epoch, p.Sequence, offset}
	if s.grown != nil {
		close(s.grown)
		s.grown = nil
	}
	if s.answersToLose > 0 {
		s.answersToLose--
		return offset, true, nil
	}
	return offset, false, nil
}

func (s *Store) read(ctx context.Context, from int64, wait time.Duration) (journal.Page, error) {
	if err := s.beginCall(ctx); err != nil {
		return journal.Page{}, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		page, grown, err := s.page(from)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-t.C:
			if s.currentFault() == StoreSilent {
				<-ctx.Done()
				return page, ctx.Err()
			}
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (s *Store) page(from int64) (journal.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.first {
		return journal.Page{}, nil, fmt.Errorf("standin.Store: %w", journal.ErrTrimmed)
	}
	end := int64(len(s.records))
	if s.grown == nil {
		s.grown = make(chan struct{})
	}
	next := end
	if s.MaxRead > 0 {
		next = min(end, from+int64(s.MaxRead))
	}
	return journal.Page{Records: slices.Clone(s.records[min(from, end):next]), Next: next, End: end}, s.grown, nil
}

func (s *Store) newest(ctx context.Context, after string) (journal.Page, error) {
	if err := s.beginCall(ctx); err != nil {
		return journal.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]journal.Record)
	for _, r := range s.records {
		if r.Value == nil {
			delete(newest, r.Key)
			continue
		}
		newest[r.Key] = r
	}
	end := int64(len(s.records))
	page := journal.Page{Next: end, End: end}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key <= after {
			continue
		}
		if s.MaxRead > 0 && len(page.Records) == s.MaxRead {
			page.More = page.Records[s.MaxRead-1].Key
			break
		}
		page.Records = append(page.Records, newest[key])
	}
	return page, nil
}
