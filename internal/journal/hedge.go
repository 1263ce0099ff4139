package journal

import (
	"context"
	"errors"
	"time"
)

const (
	// hedgeDelay is how long a call to the store may be late before it is sent once more on
	// another connection: a store that was silent answers new calls, not those that it was
	// sent meanwhile. A slow store takes some 400 ms.
	hedgeDelay = 450 * time.Millisecond
	// maxHedgedCalls bounds the calls for one outcome.
	maxHedgedCalls = 3
)

// hedged makes a call that may be repeated. While it has no answer it is made again, after
// late and then each hedgeGap; the first answer counts. It fails with ErrUnavailable only
// when the store did nothing for any of the calls.
func hedged[T any](ctx context.Context, late time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		value T
		err   error
	}
	outcomes := make(chan outcome, maxHedgedCalls)
	made, open := 0, 0
	begin := func() {
		made++
		open++
		go func() {
			value, err := call(ctx)
			outcomes <- outcome{value, err}
		}()
	}
	begin()
	again := time.NewTimer(late)
	defer again.Stop()
	var worst error
	for {
		select {
		case o := <-outcomes:
			open--
			if o.err == nil || errors.Is(o.err, ErrFenced) || errors.Is(o.err, ErrTrimmed) {
				return o.value, o.err
			}
			if worst == nil || errors.Is(worst, ErrUnavailable) {
				worst = o.err
			}
			if open == 0 {
				return o.value, worst
			}
		case <-again.C:
			if worst == nil && made < maxHedgedCalls {
				begin()
				again.Reset(hedgeDelay)
			}
		}
	}
}
