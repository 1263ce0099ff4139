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
)

// hedged makes a call that may safely be repeated. While there is no answer, it repeats the call
// after delay and then after each hedgeDelay, up to maxHedgedCalls calls in all. The first answer
// counts. It fails with ErrUnavailable only if the store did nothing for any of the calls.
func hedged[T any](ctx context.Context, delay time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		value T
		err   error
	}
	outcomes := make(chan outcome, maxHedgedCalls)
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
	timer := time.NewTimer(delay)
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
			if failure == nil && sent < maxHedgedCalls {
				send()
				timer.Reset(hedgeDelay)
			}
		}
	}
}
