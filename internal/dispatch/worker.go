package dispatch

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/workflow"
	pb "sniperill.example/sniperill/proto/sniperill/v1"
)

const (
	// watchWait is how long an agent waits for a change before it reports all the same.
	watchWait = time.Second
	// watchSlack is how much longer than its wait a watch may take.
	watchSlack = 800 * time.Millisecond
	// watchRetry is the wait after a failed watch.
	watchRetry = 150 * time.Millisecond
	// orderTimeout bounds an order; the agent bounds each call to its worker below it.
	orderTimeout = 2500 * time.Millisecond
	// stopRetry is the wait before a stop that had no answer, or no end, is sent again.
	stopRetry = 300 * time.Millisecond
	// maxOrders bounds the starts and stops of one order.
	maxOrders = 64
	// maxReportAge is the age of the newest report from which on a worker gets no new tasks.
	maxReportAge = 2500 * time.Millisecond
	// leaseSlack is added to a lease's end for the stop of what ran under it.
	leaseSlack = 300 * time.Millisecond
)

// endPosition is up to which number a lifetime's ends are in the journal.
type endPosition struct {
	lifetime string
	number   uint64
}

// worker is a worker behind its agent, as the planner sees it.
type worker struct {
	name             string
	address          string
	cancelCalls      context.CancelFunc // Ends the calls to the address so far.
	orderWakeup      chan struct{}
	members          map[string]*member // That may still run here, by task.
	agentIncarnation string             // Of the agent.
	reportNumber     uint64
	reportVersion    uint64
	receivedAt       clock.Instant // When the newest report came, zero before the first.
	lifetime         string
	hardware         workflow.Worker
	zone             string
	draining         bool
	unreachable      bool // The worker doesn't answer its agent.
	endedLifetimes   []string
	appliedEnds      endPosition // Ends that this planner has taken in.
	storedEnds       endPosition // Ends that are in the journal.
	health           health
	unclaimedRuns    []*pb.StopTask // Runs that nobody claims, to be stopped.
	pausedUntil      clock.Instant  // Takes no new tasks before.
}

// addWorker starts to watch an agent, or to watch it at another address.
func (r *activePlanner) addWorker(a clusterstate.Address) *worker {
	w, ok := r.workers[a.Name]
	if !ok {
		w = &worker{name: a.Name, zone: a.Zone, orderWakeup: make(chan struct{}, 1), members: make(map[string]*member)}
		r.workers[a.Name] = w
	}
	if a.Address == "" || a.Address == w.address {
		return w
	}
	if w.cancelCalls != nil {
		w.cancelCalls()
	}
	w.address = a.Address
	ctx, cancel := context.WithCancel(r.ctx)
	w.cancelCalls = cancel
	client := r.Dial(a.Address)
	r.group.Go(func() error {
		r.watch(ctx, w, client.Watch)
		return nil
	})
	r.group.Go(func() error {
		r.sendOrders(ctx, w, client.Order)
		return nil
	})
	return w
}

// markStored takes in up to which number ends are in the journal.
func (w *worker) markStored(end endPosition) {
	if end.lifetime == w.lifetime {
		w.storedEnds = end
	}
}

func (w *worker) wakeOrders() {
	select {
	case w.orderWakeup <- struct{}{}:
	default:
	}
}

// lifetimeEnded says whether a lifetime of the worker is known to be over.
func (w *worker) lifetimeEnded(lifetime string) bool {
	for _, o := range w.endedLifetimes {
		if o == lifetime {
			return true
		}
	}
	if w.lifetime == "" || w.lifetime == lifetime {
		return false
	}
	now, err1 := host.ParseLifetime(w.lifetime)
	then, err2 := host.ParseLifetime(lifetime)
	return err1 == nil && err2 == nil && now.StartedUnixMS > then.StartedUnixMS
}

// leaseEnd returns when the worker's lease has ended for certain. An older planner may
// have granted a full lease until this one stepped up.
func (r *activePlanner) leaseEnd(w *worker) clock.Instant {
	return max(w.receivedAt, r.startedAt).Add(r.Lease + r.StopTimeout + leaseSlack)
}

// grant returns how long a lease may last from when the report was sent. It reaches no
// further than a full lease from when the store was read last.
func (r *activePlanner) grant(received clock.Instant) time.Duration {
	return min(r.Lease, r.Follower.LastContact().Add(r.Lease).Sub(received))
}

// watchFunc is the agent's call of the same name.
type watchFunc func(context.Context, *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error)

// watch renews the lease of a worker and takes in its reports until ctx ends.
func (r *activePlanner) watch(ctx context.Context, w *worker, call watchFunc) {
	lost := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		resp, err := call(callCtx, connect.NewRequest(r.watchRequest(w)))
		cancel()
		if err != nil {
			if ctx.Err() == nil && !lost {
				lost = true
				r.Log.Warn().Err(err).Str("node", w.name).Str("address", w.address).Msg("Lost an agent.")
			}
			if clock.Pause(ctx, watchRetry) != nil {
				return
			}
			continue
		}
		if lost {
			lost = false
			r.Log.Info().Str("node", w.name).Msg("An agent is back.")
		}
		r.mu.Lock()
		r.applyReport(w, resp.Msg)
		r.mu.Unlock()
		r.wake()
	}
}

func (r *activePlanner) watchRequest(w *worker) *pb.WatchRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &pb.WatchRequest{
		Epoch: r.epoch, AgentLife: w.agentIncarnation, Report: w.reportNumber,
		Grant:    durationpb.New(r.grant(w.receivedAt)),
		Lifetime: w.storedEnds.lifetime, StoredEnd: w.storedEnds.number,
		SeenVersion: w.reportVersion, Wait: durationpb.New(watchWait),
	}
}

// orderFunc is the agent's call of the same name.
type orderFunc func(context.Context, *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error)

// sendOrders sends what is to be started and stopped until ctx ends.
func (r *activePlanner) sendOrders(ctx context.Context, w *worker, call orderFunc) {
	t := time.NewTicker(stopRetry)
	defer t.Stop()
	for {
		select {
		case <-w.orderWakeup:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		req, members := r.nextOrders(w)
		if len(req.GetStarts())+len(req.GetStops()) == 0 {
			continue
		}
		r.group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			resp, err := call(callCtx, connect.NewRequest(req))
			r.mu.Lock()
			if err != nil {
				r.handleOrderError(members, err)
			} else {
				r.applyResults(members, resp.Msg.GetResults())
			}
			r.mu.Unlock()
			r.wake()
			return nil
		})
	}
}

// nextOrders returns what is to be sent to a worker now, and for which members.
func (r *activePlanner) nextOrders(w *worker) (*pb.OrderRequest, []*member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := &pb.OrderRequest{Epoch: r.epoch, Lifetime: w.lifetime}
	var starts, stops []*member
	now := clock.Now()
	for _, m := range sortedMembers(w.members) {
		if !m.mayRunIn(w.lifetime) || m.orderInFlight || len(starts)+len(stops) >= maxOrders {
			continue
		}
		switch m.status {
		case starting:
			m.orderInFlight = true
			starts = append(starts, m)
			req.Starts = append(req.Starts, &pb.StartTask{
				Task: m.task, Run: int64(m.run), Payload: m.job.spec.Payload,
				Checkpoint: m.job.progress.Units[m.key].Checkpoint,
			})
		case stopping:
			if now.Sub(m.lastStopAt) < stopRetry {
				continue
			}
			m.orderInFlight, m.lastStopAt = true, now
			stops = append(stops, m)
			req.Stops = append(req.Stops, &pb.StopTask{Task: m.task, Run: int64(m.run)})
		}
	}
	req.Stops = append(req.Stops, w.unclaimedRuns...) // Their results are of no interest.
	w.unclaimedRuns = nil
	return req, append(starts, stops...)
}

// handleOrderError takes in that nobody knows what became of an order.
func (r *activePlanner) handleOrderError(members []*member, err error) {
	for _, m := range members {
		m.orderInFlight = false
		if m.status == starting {
			r.Log.Warn().Err(err).Str("task", m.task).Int("run", m.run).Str("node", m.worker.name).
				Msg("A start had no answer; stopping the run.")
			r.requestUnitStop(m.job, m.key)
		}
	}
}

// applyResults takes in what the worker said to each order.
func (r *activePlanner) applyResults(members []*member, results []*pb.OrderResult) {
	for i, m := range members {
		m.orderInFlight = false
		if i >= len(results) || r.members[m.task] != m {
			continue // It was over before the answer came.
		}
		result := results[i]
		switch result.GetOutcome() {
		case pb.Outcome_OUTCOME_STARTED:
			if m.status == starting {
				m.status = running
				m.progressedAt = clock.Now()
			}
		case pb.Outcome_OUTCOME_REFUSED:
			m.worker.pausedUntil = clock.Now().Add(refusedPause)
			r.runEnded(m, 0, "", "refused: "+result.GetDetail())
		case pb.Outcome_OUTCOME_ABSENT:
			r.runEnded(m, 0, "", "it never ran")
		case pb.Outcome_OUTCOME_UNKNOWN:
			if m.status == starting {
				r.requestUnitStop(m.job, m.key)
			}
		}
	}
}

// refusedPause is how long a worker that refused a start gets none.
const refusedPause = 300 * time.Millisecond
