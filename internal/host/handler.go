package host

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/clock"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

// maxWatchWait bounds how long a watch call may wait for a change.
const maxWatchWait = 2 * time.Second

// errOlderEpoch is returned to a planner if a newer one has called before.
var errOlderEpoch = errors.New("a newer planner has taken over")

// errOtherAgent is returned to a planner for a call that is meant for another agent, which may have had this
// one's address before.
var errOtherAgent = errors.New("the call is meant for another agent")

// checkCall refuses a call that is meant for another agent, unless its planner is of a version that names none.
// It also refuses a call of an older planner, and records the epoch of a newer one, or a higher one of the same, with
// which the worker is polled at once: from then on it refuses calls that were sent before.
func (a *Agent) checkCall(agent string, epoch int64) error {
	if agent != "" && agent != a.Name {
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("%w: %q, this is %q", errOtherAgent, agent, a.Name))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch < a.epoch {
		return connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("%w: epoch %d, this call has %d", errOlderEpoch, a.epoch, epoch))
	}
	if epoch > a.epoch {
		a.Log.Info().Int64("epoch", epoch).Int64("before", a.epoch).Msg("The epoch is higher.")
		a.epoch = epoch
		if a.cancelPoll != nil {
			a.cancelPoll()
		}
		a.notifyChange()
	}
	return nil
}

// Watch applies the planner's lease grant, waits for a change, and returns a report.
func (a *Agent) Watch(ctx context.Context, req *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	m := req.Msg
	if err := a.checkCall(m.GetAgent(), m.GetEpoch()); err != nil {
		return nil, err
	}
	a.applyGrant(m)
	a.waitForVersion(ctx, m.GetSeenVersion(), min(m.GetWait().AsDuration(), maxWatchWait))
	return connect.NewResponse(a.report()), nil
}

// applyGrant applies the lease grant of a watch call and what it tells of the worker's zone, and drops run ends that
// the planner has stored.
func (a *Agent) applyGrant(m *pb.WatchRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.GetAgentLife() == a.Incarnation {
		a.lease.grant(m.GetReport(), m.GetGrant().AsDuration())
	}
	a.applyStoredEnd(m.GetLifetime(), m.GetStoredEnd())
	a.applyEvacuation(m.GetEvacuation())
}

// applyStoredEnd drops the run ends of a lifetime that the planner has stored. The caller holds the lock.
func (a *Agent) applyStoredEnd(lifetime string, number uint64) {
	if lifetime != a.lifetime.String() || number <= a.lastStoredEnd {
		return
	}
	a.lastStoredEnd = number
	for _, e := range a.ended {
		if e.Number <= number { // Until the next poll, running may list it.
			a.running = slices.DeleteFunc(a.running, func(r Running) bool { return r.Task == e.Task && r.Run == e.Run })
		}
	}
	a.ended = slices.DeleteFunc(a.ended, func(e Ended) bool { return e.Number <= a.lastStoredEnd })
	a.notifyChange()
}

// waitForVersion waits until the version differs from the one that the planner has seen, at
// most for the given time.
func (a *Agent) waitForVersion(ctx context.Context, seen uint64, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		a.mu.Lock()
		changed := a.nextChange()
		version := a.version
		a.mu.Unlock()
		if version != seen {
			return
		}
		select {
		case <-changed:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// report returns a numbered report on the worker.
func (a *Agent) report() *pb.WatchResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := clock.Now()
	out := &pb.WatchResponse{
		Report: a.lease.nextReport(now), AgentLife: a.Incarnation, Version: a.version,
		Unreachable: a.unreachable, Looked: a.polledAt != 0, MoreEnded: a.moreEnded,
		Worker: &pb.HostedWorker{
			Lifetime: a.lifetime.String(), Service: a.heartbeat.Service, Rack: a.heartbeat.Rack, Zone: a.heartbeat.Zone,
			Labels: a.heartbeat.Labels, MilliCores: int64(a.heartbeat.Resources.MilliCores),
			MemoryMb: int64(a.heartbeat.Resources.MemoryMB), Accelerators: int64(a.heartbeat.Resources.Accelerators),
			Draining: a.heartbeat.Draining, Machine: a.heartbeat.Machine,
		},
	}
	if a.listedAt != 0 {
		out.LookedAgo = durationpb.New(now.Sub(a.listedAt))
	}
	for _, l := range a.endedLifetimes {
		out.Over = append(out.Over, l.lifetime)
		if l.gone {
			out.Gone = append(out.Gone, l.lifetime)
		}
	}
	if a.heartbeat.Draining {
		out.Worker.DrainLeft = durationpb.New(max(0, a.drainUntil.Sub(now)))
	}
	if left := a.coldUntil.Sub(now); left > 0 {
		out.Worker.ColdLeft = durationpb.New(left)
	}
	for _, r := range a.running {
		out.Running = append(out.Running, &pb.RunningTask{
			Task: r.Task, Run: int64(r.Run), Checkpoint: r.Checkpoint, Percent: int64(r.Percent), Listed: true,
		})
	}
	for _, r := range a.unlistedRuns() {
		out.Running = append(out.Running, &pb.RunningTask{Task: r.task, Run: int64(r.run)})
	}
	for _, e := range a.ended {
		out.Ended = append(out.Ended, &pb.EndedTask{
			Number: e.Number, Task: e.Task, Run: int64(e.Run), End: pb.End(e.End), Checkpoint: e.Checkpoint,
		})
	}
	return out
}

// outcomeLabel returns the metric label of an outcome.
func outcomeLabel(o pb.Outcome) string {
	return strings.ToLower(strings.TrimPrefix(o.String(), "OUTCOME_"))
}

// deliveries has the newest starts and stops that were delivered to the agent. An order that is delivered later is
// refused as too old, see orderLapsed.
type deliveries struct {
	starts map[delivery]*deliveredStart
	stops  map[string]deliveredStop // By task.
}

// delivery names a start of a planner, which sends it only once.
type delivery struct {
	lifetime string
	epoch    int64
	run      taskRun
}

// deliveredStart is a start that was delivered.
type deliveredStart struct {
	at     clock.Instant
	cancel context.CancelFunc
	done   chan struct{} // Closed when result is set.
	result *pb.OrderResult
}

// deliveredStop is the highest run of a task of which a stop was delivered.
type deliveredStop struct {
	run       int
	first, at clock.Instant // When its first and its newest stop were delivered.
}

// startFirst carries out a start the first time that it is delivered. Should it be delivered again, it returns
// the same result: the planner may get either answer, and takes a refused run as over.
func (a *Agent) startFirst(ctx context.Context, m *pb.OrderRequest, o *pb.StartTask) *pb.OrderResult {
	d := delivery{m.GetLifetime(), m.GetEpoch(), taskRun{o.GetTask(), int(o.GetRun())}}
	startCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, first, stopped := a.addStart(d, cancel)
	switch {
	case first && stopped:
		s.result = a.refuseUnsent(m, o, "a stop of the run came first")
		close(s.done)
	case first:
		s.result = a.startTask(startCtx, m, o)
		close(s.done)
	}
	select {
	case <-s.done:
		return proto.Clone(s.result).(*pb.OrderResult)
	case <-ctx.Done():
		return &pb.OrderResult{Task: o.GetTask(), Run: o.GetRun(), Detail: "delivered again before it was answered"}
	}
}

// refuseUnsent returns the result of a start that this process doesn't send. For an order that an earlier process got,
// that one may have sent it.
func (a *Agent) refuseUnsent(m *pb.OrderRequest, o *pb.StartTask, reason string) *pb.OrderResult {
	unsent := m.GetAgentLife() == a.Incarnation
	return &pb.OrderResult{
		Task: o.GetTask(), Run: o.GetRun(), Outcome: pb.Outcome_OUTCOME_REFUSED, Detail: reason,
		Unsent: unsent, Settled: unsent,
	}
}

// addStart records that a start was delivered. It returns the first delivery of it, whether this is the first,
// and whether a stop of the run was delivered before.
func (a *Agent) addStart(d delivery, cancel context.CancelFunc) (s *deliveredStart, first, stopped bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetDeliveries()
	stopped = d.run.run <= a.deliveries.stops[d.run.task].run
	if s, ok := a.deliveries.starts[d]; ok {
		return s, false, stopped
	}
	if a.deliveries.starts == nil {
		a.deliveries.starts = make(map[delivery]*deliveredStart)
	}
	s = &deliveredStart{at: clock.Now(), cancel: cancel, done: make(chan struct{})}
	a.deliveries.starts[d] = s
	return s, true, stopped
}

// addStops records that stops were delivered, and ends the starts of their runs that are in progress. A worker
// that has restarted no longer knows of a stop, and would start the run if its start reached it then.
func (a *Agent) addStops(stops []*pb.StopTask) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetDeliveries()
	if a.deliveries.stops == nil {
		a.deliveries.stops = make(map[string]deliveredStop)
	}
	for _, o := range stops {
		run, first := int(o.GetRun()), clock.Now()
		if before, ok := a.deliveries.stops[o.GetTask()]; ok && before.run >= run {
			run, first = before.run, before.first
		}
		a.deliveries.stops[o.GetTask()] = deliveredStop{run, first, clock.Now()}
		for d, s := range a.deliveries.starts {
			if d.run.task == o.GetTask() && d.run.run <= run {
				s.cancel()
			}
		}
	}
}

// startsOver reports whether no start of a run can reach the worker any more, as its first stop was delivered long
// ago: since then this process sends none, an earlier one sent none for longer than a lease, and a call takes effect
// within LateCallTimeout.
func (a *Agent) startsOver(run taskRun) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.deliveries.stops[run.task]
	return ok && s.run == run.run && clock.Since(s.first) > LongestLease(a.MaxLease)+LateCallTimeout
}

// forgetDeliveries removes the deliveries of orders that are refused as too old by now. The caller holds the lock.
func (a *Agent) forgetDeliveries() {
	old := clock.Now().Add(-a.MaxLease)
	maps.DeleteFunc(a.deliveries.starts, func(_ delivery, s *deliveredStart) bool { return s.at < old })
	maps.DeleteFunc(a.deliveries.stops, func(_ string, s deliveredStop) bool { return s.at < old })
}

// Order starts and stops tasks.
func (a *Agent) Order(ctx context.Context, req *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error) {
	m := req.Msg
	if err := a.checkCall(m.GetAgent(), m.GetEpoch()); err != nil {
		return nil, err
	}
	a.mu.Lock()
	a.applyStoredEnd(m.GetLifetime(), m.GetStoredEnd())
	a.applyEvacuation(m.GetEvacuation())
	a.mu.Unlock()
	a.addStops(m.GetStops())
	results := make([]*pb.OrderResult, len(m.GetStarts()))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i, o := range m.GetStarts() {
		group.Go(func() error {
			results[i] = a.startFirst(ctx, m, o)
			return nil
		})
	}
	var stopped []*pb.OrderResult
	if len(m.GetStops()) > 0 {
		stopped = a.stopTasks(ctx, m.GetLifetime(), m.GetEpoch(), m.GetStops())
	}
	_ = group.Wait() // The functions report errors in their results.
	results = append(results, stopped...)
	for _, r := range results {
		metrics.GetOrCreateCounter(`sniperill_agent_orders_total{outcome="` + outcomeLabel(r.GetOutcome()) + `"}`).Inc()
		a.Log.Info().Str("task", r.GetTask()).Int64("run", r.GetRun()).Int64("epoch", m.GetEpoch()).Uint64("report", m.GetReport()).
			Str("lifetime", m.GetLifetime()).Str("life", a.Incarnation).Stringer("outcome", r.GetOutcome()).Str("detail", r.GetDetail()).
			Bool("unsent", r.GetUnsent()).
			Msg("Ran an order.")
	}
	return connect.NewResponse(&pb.OrderResponse{Results: results}), nil
}
