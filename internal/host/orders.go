package host

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"sniperill.example/sniperill/internal/clock"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

const (
	// startTimeout bounds one call that starts a task; a healthy worker answers in 1 ms.
	startTimeout = 350 * time.Millisecond
	// maxStartAttempts is how often a start without an answer is sent; the run number makes
	// a repeat harmless.
	maxStartAttempts = 2
	// stopTimeout bounds one call that stops a task.
	stopTimeout = 350 * time.Millisecond
	// maxParallelCalls bounds the calls to the worker at a time.
	maxParallelCalls = 8
	// minStartLease is the lease that must be left for a start to be worth sending.
	minStartLease = 500 * time.Millisecond
)

// startTask runs one start order.
func (h *Agent) startTask(ctx context.Context, lifetime string, epoch int64, o *pb.StartTask) *pb.OrderResult {
	result := &pb.OrderResult{Task: o.GetTask(), Run: o.GetRun()}
	until, reason := h.mayStart(lifetime, epoch)
	if reason != "" {
		result.Outcome, result.Detail = pb.Outcome_OUTCOME_REFUSED, reason
		return result
	}
	order := Start{
		Lifetime: lifetime, Epoch: epoch, Task: o.GetTask(), Run: int(o.GetRun()),
		Payload: o.GetPayload(), Checkpoint: o.GetCheckpoint(), LeaseEnd: until,
	}
	maybeStarted := false
	for range maxStartAttempts {
		err := h.startOnce(ctx, order)
		switch {
		case err == nil:
			h.recordStart(order.Task, order.Run)
			result.Outcome = pb.Outcome_OUTCOME_STARTED
			return result
		case errors.Is(err, ErrRefused), errors.Is(err, ErrOtherLifetime), errors.Is(err, ErrUnhealthy), errors.Is(err, ErrFenced):
			result.Detail = err.Error()
			if !maybeStarted {
				result.Outcome = pb.Outcome_OUTCOME_REFUSED
				return result
			}
		default:
			maybeStarted = true
			result.Detail = err.Error()
		}
	}
	return result
}

func (h *Agent) startOnce(ctx context.Context, order Start) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return h.Worker.Start(ctx, order)
}

// mayStart returns the lease's end for a start, or why it must not be sent.
func (h *Agent) mayStart(lifetime string, epoch int64) (time.Duration, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	switch {
	case lifetime != h.lifetime.String():
		return 0, "the worker is in another lifetime"
	case epoch < h.epoch:
		return 0, "a newer planner has taken over"
	case h.heartbeat.Draining:
		return 0, "the worker is draining"
	case h.unreachable:
		return 0, "the worker doesn't answer"
	case h.lease.grantEnd.Sub(now) < minStartLease:
		return 0, "the lease is about to end"
	}
	until := h.lease.endOnWorkerClock(now)
	if until == 0 {
		return 0, "the worker's clock is not known yet"
	}
	return until, ""
}

// stopTasks runs stop orders and looks at the worker to tell what became of them.
func (h *Agent) stopTasks(ctx context.Context, lifetime string, epoch int64, orders []*pb.StopTask) []*pb.OrderResult {
	results := make([]*pb.OrderResult, len(orders))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i, o := range orders {
		results[i] = &pb.OrderResult{Task: o.GetTask(), Run: o.GetRun()}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, stopTimeout)
			defer cancel()
			err := h.Worker.Stop(ctx, Stop{Lifetime: lifetime, Epoch: epoch, Task: o.GetTask(), Run: int(o.GetRun())})
			switch {
			case err == nil:
				results[i].Outcome = pb.Outcome_OUTCOME_STOPPING
			default:
				results[i].Detail = err.Error()
			}
			return nil
		})
	}
	_ = group.Wait() // The functions report by result and return no error.

	look, err := h.poll(ctx, PollRequest{Lifetime: lifetime, Epoch: epoch})
	if err != nil {
		for _, r := range results {
			r.Outcome, r.Detail = pb.Outcome_OUTCOME_UNKNOWN, "look after the stop: "+err.Error()
		}
		return results
	}
	for _, r := range results {
		if r.GetOutcome() == pb.Outcome_OUTCOME_STOPPING && !containsRun(look, r.GetTask(), int(r.GetRun())) {
			r.Outcome = pb.Outcome_OUTCOME_ABSENT
		}
	}
	return results
}

// containsRun says whether the run is running, or has ended with its end listed.
func containsRun(look WorkerState, task string, run int) bool {
	return slices.ContainsFunc(look.Running, func(r Running) bool { return r.Task == task && r.Run == run }) ||
		slices.ContainsFunc(look.Ended, func(e Ended) bool { return e.Task == task && e.Run == run })
}
