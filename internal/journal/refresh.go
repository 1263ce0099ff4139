package journal

import (
	"context"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/clock"
)

const (
	// sharedRefreshTimeout bounds a shared refresh. Callers wait no longer for their outcome.
	sharedRefreshTimeout = 1500 * time.Millisecond
	// sharedRefreshAge is the age from which a shared refresh no longer holds up the next one, as its connection may
	// have gone silent. A healthy store answers in 10 ms.
	sharedRefreshAge = 100 * time.Millisecond
	// maxSharedRefreshes bounds the shared refreshes at the same time.
	maxSharedRefreshes = 4
)

// sharedRefreshes are the refreshes that callers have in common. The zero value is ready to use.
type sharedRefreshes struct {
	mu      sync.Mutex
	running int
	newest  clock.Instant // When the newest one was started.
	next    *sharedRefresh
}

// sharedRefresh is one refresh of any number of callers.
type sharedRefresh struct {
	done chan struct{} // Closed when it ends.
	err  error         // Set before.
}

// SharedRefresh is Refresh for many callers at once. Those that call while one is in progress share the next one, so
// that the number of reads doesn't grow with that of the callers.
func (f *Follower) SharedRefresh(ctx context.Context) error {
	s := &f.shared
	s.mu.Lock()
	if s.next == nil {
		s.next = &sharedRefresh{done: make(chan struct{})}
	}
	mine := s.next
	if s.running == 0 || s.running < maxSharedRefreshes && clock.Since(s.newest) >= sharedRefreshAge {
		f.startShared()
	}
	s.mu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startShared starts the next shared refresh. The caller holds shared.mu.
func (f *Follower) startShared() {
	s := &f.shared
	r := s.next
	s.next, s.newest = nil, clock.Now()
	s.running++
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sharedRefreshTimeout)
		defer cancel()
		r.err = f.Refresh(ctx)
		close(r.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
		if s.next != nil {
			f.startShared()
		}
	}()
}
