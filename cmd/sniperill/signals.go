package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signals returns a context that is cancelled by the first SIGINT or SIGTERM, one that is
// cancelled by the second, and a function that stops listening for signals and cancels
// both.
func signals(parent context.Context) (stopCtx, hardStopCtx context.Context, stop func()) {
	stopCtx, cancelStop := context.WithCancel(parent)
	hardStopCtx, cancelHardStop := context.WithCancel(context.WithoutCancel(parent))
	received := make(chan os.Signal, 2)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		for _, cancel := range []context.CancelFunc{cancelStop, cancelHardStop} {
			select {
			case <-received:
				cancel()
			case <-done:
				return
			}
		}
	}()
	return stopCtx, hardStopCtx, func() {
		signal.Stop(received)
		close(done)
		cancelStop()
		cancelHardStop()
	}
}
