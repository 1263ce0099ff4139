package dispatch

import (
	"context"
	"slices"
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
	// watchWait is how long an agent waits for a change before it reports without one.
	watchWait = time.Second
	// watchTimeoutMargin is how much longer than its wait a watch call may take.
	watchTimeoutMargin = 800 * time.Millisecond
	// watchRetryDelay is the delay after a failed watch call.
	watchRetryDelay = 150 * time.Millisecond
	// orderTimeout bounds an order call; the agent's bounds on the calls to its worker are lower.
	orderTimeout = 2500 * time.Millisecond
	// stopRetryInterval is the time after which a stop that was not answered, or whose run has not
	// ended, is sent again.
	stopRetryInterval = 300 * time.Millisecond
	// maxOrders bounds the starts and stops of one order call.
	maxOrders = 64
	// maxReportAge is the age of its newest report at which a worker stops getting new tasks.
	maxReportAge = 2500 * time.Millisecond
	// startWindow bounds how long after it was sent an agent carries out an order for starts.
	startWindow = orderTimeout
	// leaseSlack is added to a lease's end, for the runs under it to stop.
	leaseSlack = 300 * time.Millisecond
	// ackTimeout is the time, as far as an agent reports, within which it has passed on to its worker up to
	// which number run ends are stored. Its polls take up to 1.7 s.
	ackTimeout = 4 * time.Second
	// followingEnds is the time after the agent was told which run ends are stored within which those that its
	// worker had left out of its list are reported.
	followingEnds = 250 * time.Millisecond
	// minTellInterval is the least time between two order calls that only tell an agent which run ends are stored.
	minTellInterval = 100 * time.Millisecond
	// minCutList is the least number of ended runs in a list that agents of earlier versions take as complete
	// although it isn't.
	minCutList = 500
)

// endPosition is the number up to which the run ends of a lifetime are applied or stored.
type endPosition struct {
	lifetime string
	number   uint64
}

// worker is a worker as its agent reports it to the planner.
type worker struct {
	name             string
	epoch            int64 // In calls to its agent: that of the planner, or a later one since the worker began a lifetime.
	epochDue         bool  // The worker has begun a lifetime, and must get a higher epoch before anything starts there.
	toldEpoch        int64 // The highest that its agent has been told, if that call wasn't lost.
	hadLifetime      bool  // Its agent has reported a lifetime.
	address          string
	cancelCalls      context.CancelFunc // Cancels the calls to the current address.
	orderWakeup      chan struct{}
	members          map[string]*member // Members that may still be running here, by task.
	agentIncarnation string
	// otherLeaseEnd is when a lease has ended that other incarnations of the agent may have renewed.
	otherLeaseEnd    clock.Instant
	reportNumber     uint64
	reportVersion    uint64
	receivedAt       clock.Instant // When the newest report arrived; zero before the first.
	contactAt        clock.Instant // When the newest report arrived that the lease was granted on.
	lifetime         string
	lifetimeSince    clock.Instant // When this incarnation of the agent first reported it.
	answered         bool          // The worker has answered its agent in it.
	askedAt          clock.Instant // When the newest report was asked for.
	hardware         workflow.Worker
	zone             string
	toldEvacuated    bool          // The agent was told that its zone is evacuated, if that call wasn't lost.
	machine          string        // Identifies the machine across lifetimes.
	coldUntil        clock.Instant // The worker is slow until then.
	draining         bool
	drainUntil       clock.Instant // A draining worker stays at least until then.
	unreachable      bool          // The worker doesn't answer its agent.
	endedLifetimes   []string
	goneLifetimes    []string    // Those of them that are over even if another process has renewed the lease.
	appliedEnds      endPosition // Run ends that this planner has applied.
	storedEnds       endPosition // Run ends that are in the journal.
	toldEnd          uint64      // Of them, those that the agent has been told of, if that call wasn't lost.
	toldAt           clock.Instant
	moreEnds         bool // The worker may have left run ends out of its list, which follow once those before are stored.
	health           health
	ackingEnd        uint64         // Being passed on to the worker as stored.
	ackingFor        time.Duration  // For how long it has been, counting only the time for which the agent has reported.
	ackedEnd         uint64         // The worker knows that run ends up to this number are stored.
	unprovenAbsences []absence      // Reported by an agent of an earlier version.
	unclaimedRuns    []*pb.StopTask // Runs to be stopped, as they are not claimed.
	pausedUntil      clock.Instant  // Gets no new tasks before.
}

// absence is a run that an agent of an earlier version didn't find on its worker.
type absence struct {
	member *member
	since  clock.Instant
}

// addWorker adds the worker of an agent, if it is new, and calls the agent at its address from
// now on.
func (ap *activePlanner) addWorker(a clusterstate.Address) *worker {
	w, ok := ap.workers[a.Name]
	if !ok {
		w = &worker{name: a.Name, zone: a.Zone, epoch: ap.epoch, orderWakeup: make(chan struct{}, 1), members: make(map[string]*member)}
		ap.workers[a.Name] = w
	}
	if a.Zone != "" {
		w.zone = a.Zone
	}
	if a.Address == "" || a.Address == w.address {
		return w
	}
	if w.cancelCalls != nil {
		w.cancelCalls()
	}
	w.address = a.Address
	ctx, cancel := context.WithCancel(ap.ctx)
	w.cancelCalls = cancel
	client := ap.Dial(a.Address)
	ap.group.Go(func() error {
		ap.watch(ctx, w, a.Address, client.Watch)
		return nil
	})
	ap.group.Go(func() error {
		ap.sendOrders(ctx, w, client.Order)
		return nil
	})
	return w
}

// markStored records up to which number run ends are in the journal.
func (w *worker) markStored(end endPosition) {
	if end.lifetime == w.lifetime {
		w.storedEnds = end
	}
}

// noteTold records that a call to the agent tells it which run ends are stored.
func (w *worker) noteTold(now clock.Instant) {
	if w.storedEnds.number > w.toldEnd {
		w.toldEnd, w.toldAt = w.storedEnds.number, now
	}
}

// mustTell reports whether to tell the agent at once which run ends are stored. Otherwise it learns that with the
// next call, of which there is at least one a second.
func (w *worker) mustTell(now clock.Instant) bool {
	return w.moreEnds && w.storedEnds.number > w.toldEnd && now.Sub(w.toldAt) >= minTellInterval
}

// raiseEpoch gives a worker that has begun a lifetime a higher epoch, so that it refuses the calls that were sent in an
// earlier lifetime with the same id: they may arrive seconds later, also after their run has ended. It does nothing
// until the journal has moved on. As no later planner has been seen before the offset up to which the journal was
// applied, that offset is less than the epochs of all later planners.
func (ap *activePlanner) raiseEpoch(w *worker) {
	applied := ap.Follower.AppliedTo()
	if !w.epochDue || applied <= w.epoch || ap.replaced.Load() {
		return
	}
	ap.Log.Info().Str("node", w.name).Str("lifetime", w.lifetime).Int64("before", w.epoch).Int64("epoch", applied).
		Msg("Calls of a worker's earlier lifetimes are barred.")
	w.epoch, w.epochDue = applied, false
	raisedEpochs.Inc()
	w.wakeOrders()
}

// wakeOrders triggers sendOrders.
func (w *worker) wakeOrders() {
	select {
	case w.orderWakeup <- struct{}{}:
	default:
	}
}

// lifetimeEnded reports whether a lifetime of the worker is known to be over. An agent may take one as over as
// the lease has lapsed, which it can't tell if another process of the agent has renewed the lease; it can if the
// worker has left, or answers in another lifetime. A restarted agent may take up a lifetime that another writer
// announced, so only one in which the worker answers replaces others.
func (w *worker) lifetimeEnded(lifetime string) bool {
	if slices.Contains(w.goneLifetimes, lifetime) {
		return true
	}
	replaced := w.answered && w.lifetime != "" && w.lifetime != lifetime
	if (replaced || clock.Now() > w.otherLeaseEnd) && slices.Contains(w.endedLifetimes, lifetime) {
		return true
	}
	if !replaced {
		return false
	}
	now, err1 := host.ParseLifetime(w.lifetime)
	then, err2 := host.ParseLifetime(lifetime)
	return err1 == nil && err2 == nil && now.StartedUnixMS > then.StartedUnixMS
}

// inContact reports whether the worker has answered its agent in its lifetime. Before, an agent gets no grant, so
// that it can't have renewed a lease after a report of that.
func (w *worker) inContact() bool { return w.answered && w.lifetime != "" }

// notRenewed reports whether the lease of a member's lifetime has not been renewed for longer than it lasts. An
// agent in contact with another lifetime may have been in contact with the member's since its newest report, so
// that report counts, not the time. A member that may be running in a later lifetime is left to its stop there.
func (ap *activePlanner) notRenewed(m *member) bool {
	w := m.worker
	switch {
	case w.receivedAt == 0, w.lifetime == m.lifetime && w.answered:
		return false
	case !w.inContact():
		return clock.Now() > ap.leaseEnd(w.contactAt)
	case m.laterLifetime != "" && m.laterLifetime == w.lifetime:
		return false
	}
	return w.askedAt > ap.leaseEnd(w.lifetimeSince)
}

// leaseEnd returns when a lease has ended for certain that was last granted on a report which arrived at a time.
// An older planner may have granted a full lease at any time before this one stepped up.
func (ap *activePlanner) leaseEnd(reported clock.Instant) clock.Instant {
	return max(reported, ap.startedAt).Add(ap.Lease + ap.StopTimeout + leaseSlack)
}

// grant returns how long the lease of a worker may last from when the newest report was sent. The lease ends at
// most one full lease after the newest read that reached the journal's end was sent: a read of a part of the
// records need not show that another planner has stepped up.
func (ap *activePlanner) grant(w *worker) time.Duration {
	caughtUp := ap.Follower.CaughtUpAt()
	if ap.replaced.Load() || !w.inContact() { // replaced is set before the read that showed it counts.
		return 0
	}
	return min(ap.Lease, caughtUp.Add(ap.Lease).Sub(w.receivedAt))
}

// watchFunc is the Watch call of an agent.
type watchFunc func(context.Context, *connect.Request[pb.WatchRequest]) (*connect.Response[pb.WatchResponse], error)

// watch renews the lease of a worker and applies the reports of its agent at an address until ctx ends.
func (ap *activePlanner) watch(ctx context.Context, w *worker, address string, call watchFunc) {
	lost := false
	for ctx.Err() == nil {
		sent := clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchTimeoutMargin)
		resp, err := call(callCtx, connect.NewRequest(ap.watchRequest(w)))
		cancel()
		if err != nil {
			if ctx.Err() == nil && !lost {
				lost = true
				ap.Log.Warn().Err(err).Str("node", w.name).Str("address", address).Msg("Lost an agent.")
			}
			if clock.Pause(ctx, watchRetryDelay) != nil {
				return
			}
			continue
		}
		if lost {
			lost = false
			ap.Log.Info().Str("node", w.name).Msg("An agent is back.")
		}
		ap.mu.Lock()
		if ctx.Err() == nil { // Otherwise reports from the agent's next address may have been applied.
			ap.applyReport(w, resp.Msg, sent)
		}
		ap.mu.Unlock()
		ap.wake()
	}
}

func (ap *activePlanner) watchRequest(w *worker) *pb.WatchRequest {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	w.noteTold(clock.Now())
	evacuations, _ := ap.evacuations()
	grant := ap.grant(w)
	w.toldEpoch = w.epoch
	return &pb.WatchRequest{
		Evacuation: ap.tellEvacuation(w, evacuations),
		Epoch:      w.epoch, AgentLife: w.agentIncarnation, Report: w.reportNumber,
		Grant:    durationpb.New(grant),
		Lifetime: w.storedEnds.lifetime, StoredEnd: w.storedEnds.number,
		SeenVersion: w.reportVersion, Wait: durationpb.New(host.RenewalWait(w.receivedAt.Add(grant), watchWait)), Agent: w.name,
	}
}

// orderFunc is the Order call of an agent.
type orderFunc func(context.Context, *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error)

// sendOrders sends the starts and stops for a worker until ctx ends. A watch call that is waiting can't tell the
// agent which run ends are stored, so an order call does while more of them may follow.
func (ap *activePlanner) sendOrders(ctx context.Context, w *worker, call orderFunc) {
	t := time.NewTicker(stopRetryInterval)
	defer t.Stop()
	for {
		select {
		case <-w.orderWakeup:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		req, members := ap.nextOrders(w)
		if req == nil {
			continue
		}
		ap.group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			resp, err := call(callCtx, connect.NewRequest(req))
			ap.mu.Lock()
			if err != nil {
				ap.handleOrderError(members, err)
			} else {
				ap.applyResults(members, req.GetLifetime(), resp.Msg.GetResults())
			}
			ap.mu.Unlock()
			ap.wake()
			return nil
		})
	}
}

// nextOrders returns the starts and stops that are due for a worker, and their members in the
// order of the results. It returns nil if there is nothing to tell the agent.
func (ap *activePlanner) nextOrders(w *worker) (*pb.OrderRequest, []*member) {
	ap.mu.Lock()
	defer ap.mu.Unlock()
	req := &pb.OrderRequest{
		Epoch: w.epoch, Lifetime: w.lifetime,
		AgentLife: w.agentIncarnation, Report: w.reportNumber, Grant: durationpb.New(ap.grant(w)),
		Agent: w.name,
	}
	if w.storedEnds.lifetime == w.lifetime {
		req.StoredEnd = w.storedEnds.number
	}
	var starts, stops []*member
	now := clock.Now()
	evacuations, asOf := ap.evacuations()
	mustTell := w.mustTell(now) || w.epoch > w.toldEpoch || evacuations.Evacuated(w.zone) != w.toldEvacuated
	req.Evacuation = ap.tellEvacuation(w, evacuations)
	window := ap.startWindow(now, asOf)
	for _, m := range sortedMembers(w.members) {
		if ap.members[m.task] != m {
			continue // It was withdrawn with another member of its gang.
		}
		if w.epochDue || !m.mayRunIn(w.lifetime) || m.orderInFlight || len(starts)+len(stops) >= maxOrders {
			continue
		}
		switch m.status {
		case starting:
			if ap.unitEvacuated(m, evacuations) {
				ap.withdrawUnit(m, evacuations)
				continue
			}
			if window < minStartWindow {
				ap.withhold(m, now.Sub(asOf))
				continue
			}
			m.orderInFlight = true
			starts = append(starts, m)
			req.Starts = append(req.Starts, &pb.StartTask{
				Task: m.task, Run: int64(m.run), Payload: m.job.spec.Payload,
				Checkpoint: m.job.progress.Units[m.key].Checkpoint,
			})
		case stopping:
			if now.Sub(m.lastStopAt) < stopRetryInterval {
				continue
			}
			m.orderInFlight, m.lastStopAt, m.ackedEndAtStop = true, now, w.ackedEnd
			stops = append(stops, m)
			req.Stops = append(req.Stops, &pb.StopTask{Task: m.task, Run: int64(m.run)})
		}
	}
	if len(starts) > 0 {
		received := w.receivedAt
		req.Grant = durationpb.New(min(req.GetGrant().AsDuration(), now.Add(window).Sub(received)))
		for _, m := range starts {
			m.lateUntil = received.Add(req.GetGrant().AsDuration() + host.LateStartTimeout)
		}
	}
	req.Stops = append(req.Stops, w.unclaimedRuns...) // Their results come last and are ignored.
	w.unclaimedRuns = nil
	if len(req.GetStarts())+len(req.GetStops()) == 0 && !mustTell {
		return nil, nil
	}
	w.toldEpoch = w.epoch
	w.noteTold(now)
	return req, append(starts, stops...)
}

// handleOrderError handles an order call whose outcome is unknown.
func (ap *activePlanner) handleOrderError(members []*member, err error) {
	for _, m := range members {
		m.orderInFlight = false
		if ap.members[m.task] != m {
			continue // The run was known to have ended before; the unit may run again.
		}
		if m.status == starting {
			ap.Log.Warn().Err(err).Str("task", m.task).Int("run", m.run).Str("node", m.worker.name).
				Msg("A start was not answered; stopping the run.")
			ap.requestUnitStop(m.job, m.key)
		}
	}
}

// applyResults applies the results of the starts and stops of an order call for a lifetime.
func (ap *activePlanner) applyResults(members []*member, lifetime string, results []*pb.OrderResult) {
	for i, m := range members {
		m.orderInFlight = false
		if i >= len(results) || ap.members[m.task] != m {
			continue // The run was known to have ended before the answer arrived.
		}
		result := results[i]
		if result.GetSettled() || m.status == starting && result.GetOutcome() == pb.Outcome_OUTCOME_UNKNOWN {
			// The agent sends no further attempt. The answer doesn't tell from which lifetime it came, and a renewal
			// that is still on its way there would extend the lease.
			m.settled = result.GetSettled()
			m.lateUntil = min(m.lateUntil, clock.Now().Add(host.LateCallTimeout))
		}
		switch result.GetOutcome() {
		case pb.Outcome_OUTCOME_STARTED:
			if m.status == starting {
				m.status = running
				m.begin(clock.Now(), m.job.progress.Units[m.key].Checkpoint != "", m.worker.coldUntil)
			}
		case pb.Outcome_OUTCOME_REFUSED:
			m.worker.pausedUntil = clock.Now().Add(refusedPause)
			if result.GetUnsent() {
				ap.runEnded(m, 0, "", "refused: "+result.GetDetail())
				continue
			}
			// The refusal alone doesn't prove that the worker doesn't run it.
			ap.Log.Info().Str("task", m.task).Int("run", m.run).Str("node", m.worker.name).Str("detail", result.GetDetail()).
				Msg("A start was refused; stopping the run before the next one.")
			ap.requestUnitStop(m.job, m.key)
		case pb.Outcome_OUTCOME_ABSENT:
			if m.laterLifetime != "" && m.laterLifetime != lifetime {
				continue // A start can still take effect in the later one.
			}
			if !m.settled && m.lateUntil > 0 && m.lastStopAt <= m.lateUntil {
				// The worker may restart, and then no longer knows of the stop.
				ap.requestUnitStop(m.job, m.key)
				continue
			}
			if !result.GetEndsSeen() {
				m.worker.unprovenAbsences = append(m.worker.unprovenAbsences, absence{m, clock.Now()})
				continue
			}
			why := "it never ran"
			if m.status == starting { // Refused by the worker, and the agent has stopped the run.
				m.worker.pausedUntil = clock.Now().Add(refusedPause)
				why = "refused: " + result.GetDetail()
			}
			ap.runEnded(m, 0, "", why)
		case pb.Outcome_OUTCOME_UNKNOWN:
			if m.status == starting {
				m.worker.pausedUntil = max(m.worker.pausedUntil, clock.Now().Add(unansweredPause))
				ap.requestUnitStop(m.job, m.key)
			}
		}
	}
}

const (
	// refusedPause is how long a worker that refused a start gets no new tasks.
	refusedPause = 300 * time.Millisecond
	// unansweredPause is how long one that didn't answer a start gets none.
	unansweredPause = 2 * time.Second
)
