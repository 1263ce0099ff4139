package platform

import (
	"context"
	"sync"
)

// waiters lets callers wait for a condition on state that a mutex guards.
type waiters struct {
	changed chan struct{}
}

// wake makes the waiting callers check their condition again. The caller must hold
// the mutex.
func (w *waiters) wake() {
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// wait returns when the condition holds. It calls condition with the mutex held, at
// first and after each wake.
func (w *waiters) wait(ctx context.Context, mu *sync.Mutex, condition func() bool) error {
	for {
		mu.Lock()
		done := condition()
		if w.changed == nil {
			w.changed = make(chan struct{})
		}
		changed := w.changed
		mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
