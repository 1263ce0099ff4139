// Package clock provides a clock for leases, which tests can replace, and a wait that
// ends with its context.
package clock

import (
	"context"
	"time"
)

// Pause waits for d. It returns the error of the context if that is done first.
func Pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
