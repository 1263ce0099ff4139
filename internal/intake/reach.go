package intake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/clock"
)

const (
	// recentAnswer is the age up to which an answer of the store shows that it can be reached.
	recentAnswer = 100 * time.Millisecond
	// probeStoreTimeout bounds a probe of the store. A slow store answers in 0.2 s.
	probeStoreTimeout = 450 * time.Millisecond
	// lostStoreWait is how long a call waits for a probe if the one before failed. A healthy store
	// answers in 7 ms.
	lostStoreWait = 30 * time.Millisecond
	// probeStoreInterval is the time between two probes of a store that was lost.
	probeStoreInterval = 50 * time.Millisecond
	// maxReadyAge is the age of the store's newest answer up to which an entry takes calls of its peers.
	// The planner writes a record every 0.3 s, and the others read every 0.2 s.
	maxReadyAge = 600 * time.Millisecond
)

// storeProbe makes sure that the store answers before something is written there: a write that isn't
// answered stays undecided, while a call for which nothing was written can be refused. The zero value is
// ready to use.
type storeProbe struct {
	mu     sync.Mutex
	newest *probeCall // Nil before the first.
	lost   bool       // The last probe that ended got no answer.
}

type probeCall struct {
	started clock.Instant
	done    chan struct{} // Closed when the call ends.
	err     error         // Set before.
}

// reachStore fails with ErrUnavailable if the store doesn't answer. If the store has just answered, it
// makes no call.
func (s *Service) reachStore(ctx context.Context) error {
	silent := clock.Since(s.Follower.AnsweredAt())
	if silent < recentAnswer || s.Writer.Stalled() { // A stalled writer refuses the record.
		return nil
	}
	call, lost := s.probeStore()
	wait := probeStoreTimeout
	if lost || silent > maxStateAge {
		wait = lostStoreWait
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-call.done:
		return call.err
	case <-t.C:
	case <-ctx.Done():
	}
	return fmt.Errorf("intake.Service: %w: it has not answered for %v", ErrUnavailable, clock.Since(s.Follower.AnsweredAt()))
}

// probeStore returns the newest probe, and whether the store was lost before. It starts a probe if none
// is in progress. If the store was lost, it also starts one if the newest is older than
// probeStoreInterval, as a store that was silent answers only new calls.
func (s *Service) probeStore() (call *probeCall, lost bool) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	call, lost = s.store.newest, s.store.lost
	if call != nil && !isDone(call.done) && (!lost || clock.Since(call.started) < probeStoreInterval) {
		return call, lost
	}
	call = &probeCall{started: clock.Now(), done: make(chan struct{})}
	s.store.newest = call
	go s.runProbe(call)
	return call, lost
}

// runProbe makes one call. Calls that come later need the outcome, too, so it doesn't end with the one
// that started it.
func (s *Service) runProbe(call *probeCall) {
	ctx, cancel := context.WithTimeout(context.Background(), probeStoreTimeout)
	defer cancel()
	err := s.Follower.Probe(ctx)
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.lost = err != nil && s.Follower.AnsweredAt() < call.started
	if err != nil {
		call.err = fmt.Errorf("intake.Service: %w: %w", ErrUnavailable, err)
	}
	close(call.done)
}

func isDone(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
