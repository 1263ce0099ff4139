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
	// StartTimeout bounds one start call to the worker; a healthy worker answers in 1 ms.
	StartTimeout = 350 * time.Millisecond
	// maxStartAttempts is how often a start that is not answered is sent. The run number makes
	// repeats harmless.
	maxStartAttempts = 2
	// LateStartTimeout bounds how long after its order has lapsed a worker carries out a start.
	LateStartTimeout = StartTimeout + LateCallTimeout
	// stopTimeout bounds one stop call to the worker.
	stopTimeout = 350 * time.Millisecond
	// barTimeout bounds the calls that bar a run whose start was refused. An order may have
	// 64 of them, and its answer is awaited for 2.5 s.
	barTimeout = 200 * time.Millisecond
	// maxParallelCalls bounds the concurrent start calls of an order, and likewise its stop calls.
	maxParallelCalls = 8
	// minStartLease is the shortest remaining lease with which a start is worth sending.
	minStartLease = 500 * time.Millisecond
)

// startTask carries out one start of an order.
func (a *Agent) startTask(ctx context.Context, m *pb.OrderRequest, o *pb.StartTask) *pb.OrderResult {
	result := &pb.OrderResult{Task: o.GetTask(), Run: o.GetRun()}
	maybeStarted := false // Whether an earlier attempt had no definite answer.
	for range maxStartAttempts {
		// Also before a repeat: the lifetime, the planner or the lease may have ended meanwhile.
		leaseEnd, reason := a.mayStart(m)
		if reason != "" {
			if !maybeStarted {
				return a.refuseUnsent(m, o, reason)
			}
			result.Detail = reason
			return result
		}
		err := a.startOnce(ctx, Start{
			Lifetime: m.GetLifetime(), Epoch: m.GetEpoch(), Task: o.GetTask(), Run: int(o.GetRun()),
			Payload: o.GetPayload(), Checkpoint: o.GetCheckpoint(), LeaseEnd: leaseEnd,
		})
		switch {
		case err == nil:
			a.recordStart(o.GetTask(), int(o.GetRun()))
			result.Outcome, result.Settled = pb.Outcome_OUTCOME_STARTED, !maybeStarted
			return result
		case errors.Is(err, ErrRefused), errors.Is(err, ErrOtherLifetime), errors.Is(err, ErrUnhealthy), errors.Is(err, ErrFenced):
			if !maybeStarted {
				return a.barRefused(ctx, m, o, err)
			}
			result.Detail = err.Error()
		default:
			maybeStarted = true
			result.Detail = err.Error()
		}
	}
	return result
}

// barRefused stops a run whose start the worker has refused, and returns the start's result: the run is absent if
// the worker has accepted the stop and doesn't list the run after it. The answer to the start doesn't prove as
// much: it may come from a proxy, or answer a repeat while an earlier attempt takes effect.
func (a *Agent) barRefused(ctx context.Context, m *pb.OrderRequest, o *pb.StartTask, refusal error) *pb.OrderResult {
	ctx, cancel := context.WithTimeout(ctx, barTimeout)
	defer cancel()
	result := a.stopTasks(ctx, m.GetLifetime(), m.GetEpoch(), []*pb.StopTask{{Task: o.GetTask(), Run: o.GetRun()}})[0]
	result.Detail, result.Settled = refusal.Error(), true
	switch {
	case result.GetOutcome() == pb.Outcome_OUTCOME_ABSENT:
	case m.GetAgent() == "": // A planner of an earlier version takes a refused run as over.
		result.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	default:
		result.Outcome = pb.Outcome_OUTCOME_REFUSED
	}
	return result
}

// unhealthyRetryDelay is the delay before a call that the worker refused as unhealthy is made again; it doubles
// with each.
const unhealthyRetryDelay = 20 * time.Millisecond

// retryUnhealthy makes a call until the worker doesn't refuse it as unhealthy, or ctx ends.
func retryUnhealthy(ctx context.Context, call func() error) error {
	for delay := unhealthyRetryDelay; ; delay *= 2 {
		err := call()
		if !errors.Is(err, ErrUnhealthy) || clock.Pause(ctx, delay) != nil {
			return err
		}
	}
}

// startOnce makes one start call to the worker.
func (a *Agent) startOnce(ctx context.Context, order Start) error {
	ctx, cancel := context.WithTimeout(ctx, StartTimeout)
	defer cancel()
	return a.Worker.Start(ctx, order)
}

// mayStart returns the lease end for the starts of an order, or the reason why they must not be sent.
func (a *Agent) mayStart(m *pb.OrderRequest) (time.Duration, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	switch {
	case m.GetLifetime() != a.lifetime.String():
		return 0, "the worker is in another lifetime"
	case m.GetEpoch() < a.epoch:
		return 0, "a newer planner has taken over"
	case a.orderLapsed(m, now):
		return 0, "the order is too old"
	case a.heartbeat.Draining:
		return 0, "the worker is draining"
	case a.evacuation.evacuated && m.GetEvacuation() != nil: // Planners of earlier versions don't tell when it ends.
		evacuatedStarts.Inc()
		return 0, "the worker's zone is evacuated"
	case a.unreachable:
		return 0, "the worker doesn't answer"
	case a.lease.grantEnd.Sub(now) < minStartLease:
		return 0, "the lease is about to end"
	}
	leaseEnd := a.lease.endOnWorkerClock(now)
	if leaseEnd == 0 {
		return 0, "the worker's clock is not known yet"
	}
	return leaseEnd, ""
}

// orderLapsed reports whether the planner may have given up the starts of an order. It does so one lease
// after the newest report that it received, or when a report says that the lifetime is over. The current
// grant doesn't tell: it may be newer than an order that was held up.
func (a *Agent) orderLapsed(m *pb.OrderRequest, now clock.Instant) bool {
	if m.GetAgentLife() == "" {
		return false // Planners of earlier versions name no report.
	}
	return m.GetAgentLife() != a.Incarnation || m.GetReport() <= a.lifetimeReport ||
		now >= a.lease.endOf(m.GetReport(), m.GetGrant().AsDuration())
}

// stopTasks carries out the stops of an order, and then polls the worker for their outcomes.
func (a *Agent) stopTasks(ctx context.Context, lifetime string, epoch int64, orders []*pb.StopTask) []*pb.OrderResult {
	results := make([]*pb.OrderResult, len(orders))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i, o := range orders {
		results[i] = &pb.OrderResult{Task: o.GetTask(), Run: o.GetRun()}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, stopTimeout)
			defer cancel()
			err := retryUnhealthy(ctx, func() error {
				return a.Worker.Stop(ctx, Stop{Lifetime: lifetime, Epoch: epoch, Task: o.GetTask(), Run: int(o.GetRun())})
			})
			switch {
			case err == nil:
				results[i].Outcome = pb.Outcome_OUTCOME_STOPPING
			default:
				results[i].Detail = err.Error()
			}
			return nil
		})
	}
	_ = group.Wait() // The functions report errors in their results.

	barred := make([]bool, len(results)) // Whether the run can't start any more.
	for i, r := range results {
		barred[i] = r.GetOutcome() == pb.Outcome_OUTCOME_STOPPING || a.startsOver(taskRun{r.GetTask(), int(r.GetRun())})
	}
	if !slices.Contains(barred, true) {
		return results
	}

	acked := a.ackableEndOf(lifetime)
	var state WorkerState
	retryCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := retryUnhealthy(retryCtx, func() (err error) {
		state, err = a.poll(ctx, PollRequest{Lifetime: lifetime, Epoch: epoch, AckedEnd: acked})
		return err
	})
	if err != nil {
		for _, r := range results {
			r.Outcome, r.Detail = pb.Outcome_OUTCOME_UNKNOWN, "look after the stop: "+err.Error()
		}
		return results
	}
	for i, r := range results {
		if barred[i] && a.isAbsent(state, lifetime, taskRun{r.GetTask(), int(r.GetRun())}) {
			r.Outcome, r.EndsSeen = pb.Outcome_OUTCOME_ABSENT, true
		}
	}
	return results
}

// ackableEndOf returns the number up to which a poll of a lifetime may acknowledge run ends.
func (a *Agent) ackableEndOf(lifetime string) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lifetime != a.lifetime.String() {
		return 0
	}
	return a.ackableEnd()
}

// isAbsent reports whether a stopped run is over without an end that will be reported, given the state that the
// worker returned in a lifetime after it had accepted the stop, or could no longer get a start of the run. The next lifetime with the same id, which may have
// returned the state, knows of no stop and can still start the run. As the worker's lists of ended runs may be cut,
// and the run may have ended after the stop, that it is missing proves nothing until the ends of all runs that had
// ended when it was first missing have been seen.
func (a *Agent) isAbsent(state WorkerState, lifetime string, run taskRun) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state.Lifetime != lifetime || lifetime != a.lifetime.String() || state.contains(run) ||
		slices.ContainsFunc(a.ended, func(e Ended) bool { return e.Task == run.task && e.Run == run.run }) {
		return false
	}
	since, ok := a.gone[run]
	if !ok {
		if a.gone == nil {
			a.gone = make(map[taskRun]clock.Instant)
		}
		since = clock.Now()
		a.gone[run] = since
	}
	if allListed := len(state.Ended) == 0 && !state.MoreEnded; !allListed && a.endsSeenUntil < since {
		return false
	}
	delete(a.gone, run)
	return true
}

// contains reports whether a run is running, or is in the list of ended runs.
func (s WorkerState) contains(run taskRun) bool {
	return slices.ContainsFunc(s.Running, func(r Running) bool { return r.Task == run.task && r.Run == run.run }) ||
		slices.ContainsFunc(s.Ended, func(e Ended) bool { return e.Task == run.task && e.Run == run.run })
}
