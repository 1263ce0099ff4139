package host

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/clock"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

// maxWatchWait bounds how long a watch may wait.
const maxWatchWait = 2 * time.Second

// errOlderEpoch says that a newer planner has called.
var errOlderEpoch = errors.New("a newer planner has taken over")

// checkEpoch checks and notes the epoch of a call.
func (h *Agent) checkEpoch(epoch int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch < h.epoch {
		return connect.NewError(connect.CodeFailedPrecondition,
			fmt.Errorf("%w: epoch %d, this call has %d", errOlderEpoch, h.epoch, epoch))
	}
	if epoch > h.epoch {
		h.Log.Info().Int64("epoch", epoch).Int64("before", h.epoch).Msg("A planner has taken over.")
		h.epoch = epoch
		h.notifyChange()
	}
	return nil
}

// Watch renews the lease and reports.
func (h *Agent) Watch(ctx context.Context, req *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error) {
	m := req.Msg
	if err := h.checkEpoch(m.GetEpoch()); err != nil {
		return nil, err
	}
	h.applyGrant(m)
	h.waitForVersion(ctx, m.GetSeenVersion(), min(m.GetWait().AsDuration(), maxWatchWait))
	return connect.NewResponse(h.report()), nil
}

func (h *Agent) applyGrant(m *pb.WatchRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.GetAgentLife() == h.Incarnation {
		h.lease.grant(m.GetReport(), m.GetGrant().AsDuration())
	}
	if m.GetLifetime() != h.lifetime.String() || m.GetStoredEnd() <= h.lastStoredEnd {
		return
	}
	h.lastStoredEnd = m.GetStoredEnd()
	h.ended = slices.DeleteFunc(h.ended, func(e Ended) bool { return e.Number <= h.lastStoredEnd })
	h.notifyChange()
}

func (h *Agent) waitForVersion(ctx context.Context, seen uint64, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		h.mu.Lock()
		changed := h.nextChange()
		version := h.version
		h.mu.Unlock()
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

func (h *Agent) report() *pb.WatchResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	out := &pb.WatchResponse{
		Report: h.lease.nextReport(now), AgentLife: h.Incarnation, Version: h.version,
		Over: slices.Clone(h.endedLifetimes), Unreachable: h.unreachable, Looked: h.polledAt != 0,
		Worker: &pb.HostedWorker{
			Lifetime: h.lifetime.String(), Service: h.heartbeat.Service, Rack: h.heartbeat.Rack, Zone: h.heartbeat.Zone,
			Labels: h.heartbeat.Labels, MilliCores: int64(h.heartbeat.Room.MilliCores),
			MemoryMb: int64(h.heartbeat.Room.MemoryMB), Accelerators: int64(h.heartbeat.Room.Accelerators),
			Draining: h.heartbeat.Draining,
		},
	}
	if h.heartbeat.Draining {
		out.Worker.DrainLeft = durationpb.New(max(0, h.drainUntil.Sub(now)))
	}
	for _, r := range h.currentRuns() {
		out.Running = append(out.Running, &pb.RunningTask{
			Task: r.Task, Run: int64(r.Run), Checkpoint: r.Checkpoint, Percent: int64(r.Percent),
		})
	}
	for _, e := range h.ended {
		out.Ended = append(out.Ended, &pb.EndedTask{
			Number: e.Number, Task: e.Task, Run: int64(e.Run), End: pb.End(e.End), Checkpoint: e.Checkpoint,
		})
	}
	return out
}

// outcomeLabel returns an outcome as a label of a metric.
func outcomeLabel(o pb.Outcome) string {
	return strings.ToLower(strings.TrimPrefix(o.String(), "OUTCOME_"))
}

// Order starts and stops tasks.
func (h *Agent) Order(ctx context.Context, req *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error) {
	m := req.Msg
	if err := h.checkEpoch(m.GetEpoch()); err != nil {
		return nil, err
	}
	results := make([]*pb.OrderResult, len(m.GetStarts()))
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for i, o := range m.GetStarts() {
		group.Go(func() error {
			results[i] = h.startTask(ctx, m.GetLifetime(), m.GetEpoch(), o)
			return nil
		})
	}
	var stopped []*pb.OrderResult
	if len(m.GetStops()) > 0 {
		stopped = h.stopTasks(ctx, m.GetLifetime(), m.GetEpoch(), m.GetStops())
	}
	_ = group.Wait() // The functions report by result and return no error.
	results = append(results, stopped...)
	for _, r := range results {
		metrics.GetOrCreateCounter(`sniperill_agent_orders_total{outcome="` + outcomeLabel(r.GetOutcome()) + `"}`).Inc()
		h.Log.Info().Str("task", r.GetTask()).Int64("run", r.GetRun()).Int64("epoch", m.GetEpoch()).
			Str("lifetime", m.GetLifetime()).Stringer("outcome", r.GetOutcome()).Str("detail", r.GetDetail()).
			Msg("Ran an order.")
	}
	return connect.NewResponse(&pb.OrderResponse{Results: results}), nil
}
