package journal

import (
	"context"
	"errors"
	"time"
)

const (
	// hedgeDelay is how late a call to the store may be before it is sent once more on another
	// connection. A store that was unresponsive answers new calls, but not those that it received
	// meanwhile. A slow store takes some 400 ms.
	hedgeDelay = 450 * time.Millisecond
	// maxHedgedCalls bounds the number of calls for one outcome.
	maxHedgedCalls = 3
	// lostHedgeDelay and maxLostHedgedCalls replace these while the store is lost, so that work goes on
	// soon after it is back.
	lostHedgeDelay     = 150 * time.Millisecond
	maxLostHedgedCalls = 6
)

// hedge says when a call is repeated that gets no answer.
type hedge struct {
	first time.Duration // Before the second call.
	next  time.Duration // Before each further one.
	calls int           // At most, in all.
}

// newHedge returns the hedge for a call that may wait for a record before it is answered.
func newHedge(wait time.Duration, lost bool) hedge {
	if lost {
		return hedge{first: wait + lostHedgeDelay, next: lostHedgeDelay, calls: maxLostHedgedCalls}
	}
	return hedge{first: wait + hedgeDelay, next: hedgeDelay, calls: maxHedgedCalls}
}

// hedged makes a call that may safely be repeated. While there is no answer, it repeats the call as h
// says. The first answer counts. It fails with ErrUnavailable only if the store did nothing for any of
// the calls.
func hedged[T any](ctx context.Context, h hedge, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		value T
		err   error
	}
	outcomes := make(chan outcome, h.calls)
	sent, pending := 0, 0
	send := func() {
		sent++
		pending++
		go func() {
			value, err := call(ctx)
			outcomes <- outcome{value, err}
		}()
	}
	send()
	timer := time.NewTimer(h.first)
	defer timer.Stop()
	var failure error
	for {
		select {
		case o := <-outcomes:
			pending--
			if o.err == nil || errors.Is(o.err, ErrFenced) || errors.Is(o.err, ErrTrimmed) || errors.Is(o.err, ErrRejected) {
				return o.value, o.err
			}
			if failure == nil || errors.Is(failure, ErrUnavailable) {
				failure = o.err
			}
			if pending == 0 {
				return o.value, failure
			}
		case <-timer.C:
			if failure == nil && sent < h.calls {
				send()
				timer.Reset(h.next)
			}
		}
	}
}
