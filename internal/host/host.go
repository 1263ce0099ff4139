package host

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/telemetry"
	"sniperill.example/sniperill/pkg/workflow"
)

const (
	// pollWait is how long a poll waits for a run to end, and so the interval at which the lease
	// is renewed.
	pollWait = time.Second
	// pollTimeoutMargin is how much longer than its wait a poll may take.
	pollTimeoutMargin = 700 * time.Millisecond
	// pollRetryDelay is the delay after a failed poll.
	pollRetryDelay = 200 * time.Millisecond
	// endsPendingDelay is the delay before the next poll while the planner has not stored all run
	// ends.
	endsPendingDelay = 40 * time.Millisecond
	// confirmRetryDelay is the time after which a worker that didn't tell whether it is in an announced
	// lifetime is asked again.
	confirmRetryDelay = 300 * time.Millisecond
	// confirmTimeout bounds the second of these calls. A worker waits a second for the acknowledgement of its
	// heartbeat.
	confirmTimeout = 600 * time.Millisecond
	// LateCallTimeout bounds how long after it was sent a worker carries out a call.
	LateCallTimeout = 5 * time.Second
	// maxEndedLifetimes bounds the list of ended lifetimes in a report; a worker seldom has two in
	// a minute.
	maxEndedLifetimes = 32
)

// leaseRemaining records at each poll how long the granted lease still lasts.
var leaseRemaining = metrics.NewHistogram("sniperill_agent_lease_left_seconds")

// Agent is the agent of one worker. Set its fields before Run.
type Agent struct {
	Name   string
	Worker Worker
	// MaxLease is the longest lease that the worker may be granted.
	MaxLease time.Duration
	// StopTimeout is the longest time that the worker takes to end its runs, also once the lease has lapsed.
	StopTimeout time.Duration
	// Incarnation distinguishes restarts of the agent.
	Incarnation string
	// WorkerChanged, if set, is called when the worker's description in its heartbeats changes.
	// It must not block.
	WorkerChanged func(workflow.Worker)
	Log           zerolog.Logger

	mu          sync.Mutex
	changed     chan struct{} // Closed and replaced with each change.
	version     uint64
	epoch       int64
	cancelPoll  context.CancelFunc // Ends Run's poll in progress, if there is one.
	heartbeat   Heartbeat
	ignored     ignoredHeartbeat
	lifetime    Lifetime
	drainUntil  clock.Instant
	coldUntil   clock.Instant // The worker is slow until then.
	evacuation  evacuation
	leaving     bool // The worker has announced that it shuts down.
	unreachable bool
	// shownSince is when the worker first showed another lifetime, with the same id, than it had announced; zero
	// if it doesn't.
	shownSince    clock.Instant
	polledAt      clock.Instant // When the poll that returned running was sent; zero before the first.
	listedAt      clock.Instant // When it was answered.
	running       []Running
	recentStarts  map[string]startedRun // Runs that may be newer than that poll, by task.
	ended         []Ended               // Run ends that the planner has not stored yet, sorted by number.
	moreEnded     bool                  // The worker may have ended runs that are not among them.
	lastStoredEnd uint64                // The planner has stored run ends up to this number.
	// endsSeenUntil is a time such that the ends of all runs that ended before have been seen.
	endsSeenUntil clock.Instant
	// gone has when the worker had first shown that a run which it had been told to stop is not running, for each
	// such run whose end may follow.
	gone           map[taskRun]clock.Instant
	endedLifetimes []endedLifetime
	// lifetimeReport is the newest report that was sent before the worker answered in the current lifetime.
	lifetimeReport uint64
	lease          lease
	deliveries     deliveries
	lines          telemetry.CallLines // About calls of the worker's address, which others may reach too.
}

// taskRun names a run.
type taskRun struct {
	task string
	run  int
}

// startedRun is a run that the worker has started by this agent's order.
type startedRun struct {
	run       int
	startedAt clock.Instant
}

// ignoredHeartbeat describes the heartbeats that were ignored as older than the newest one.
type ignoredHeartbeat struct {
	sequence int64         // Of the last of them.
	since    clock.Instant // When the first of them came; zero if none has since the newest one.
}

// Errors with which a heartbeat fails.
var (
	// ErrOtherWorker is returned for a heartbeat that the agent's worker did not send.
	ErrOtherWorker = errors.New("the heartbeat is not this worker's")
	// ErrUnconfirmed is returned for a heartbeat that announces a lifetime which the worker has neither
	// confirmed nor denied. The worker sends it again.
	ErrUnconfirmed = errors.New("the worker didn't confirm the lifetime")
)

// Heartbeat handles a heartbeat of the worker. A heartbeat that is older than the newest one is
// ignored. One that announces another lifetime than the current one counts only once the worker has
// confirmed it, as another writer may have sent it, and the planner takes the runs of a lifetime that was
// replaced as ended. It fails with ErrOtherWorker if the worker denies it, and with ErrUnconfirmed if the
// worker doesn't tell. One of a lifetime whose lease has lapsed is ignored until the worker answers: its
// runs are over then, but the worker may go on.
func (a *Agent) Heartbeat(ctx context.Context, hb Heartbeat) error {
	for {
		current, check, err := a.confirmLifetime(ctx, hb.Lifetime)
		switch {
		case errors.Is(err, ErrUnconfirmed) && a.lapsed(hb.Lifetime):
			return nil
		case err != nil:
			return err
		case a.applyHeartbeat(hb, current, check):
			return nil
		}
	}
}

// applyHeartbeat applies a heartbeat that was checked while the worker was in the lifetime current. It
// returns false if the worker is in another one by now: then the check says nothing.
func (a *Agent) applyHeartbeat(hb Heartbeat, current Lifetime, check string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lifetime != current {
		return false
	}
	same := hb.Lifetime == a.heartbeat.Lifetime
	if same && hb.Sequence <= a.heartbeat.Sequence && a.ignoreAsOlder(hb) {
		return true
	}
	a.ignored = ignoredHeartbeat{}
	if !same {
		a.Log.Info().Stringer("lifetime", hb.Lifetime).Str("service", hb.Service).Str("rack", hb.Rack).
			Int("accelerators", hb.Resources.Accelerators).Stringer("before", a.lifetime).Str("check", check).
			Msg("The worker has announced a new lifetime.")
		a.setLifetime(hb.Lifetime)
		a.leaving = false
	} else if a.lifetime.ID == "" {
		a.Log.Info().Stringer("lifetime", hb.Lifetime).Msg("The worker goes on in a lifetime whose lease had lapsed.")
		a.setLifetime(hb.Lifetime)
	}
	if hb.Draining && !(same && a.heartbeat.Draining) {
		a.Log.Info().Stringer("lifetime", hb.Lifetime).Dur("left", hb.DrainRemaining).Msg("The worker is draining.")
	}
	if hb.Draining {
		a.drainUntil = clock.Now().Add(hb.DrainRemaining)
	}
	a.coldUntil = clock.Now().Add(hb.ColdRemaining)
	hb.Draining = hb.Draining || same && a.heartbeat.Draining
	if a.WorkerChanged != nil && !reflect.DeepEqual(hb.Worker, a.heartbeat.Worker) {
		a.WorkerChanged(hb.Worker)
	}
	notable := !same || hb.Draining != a.heartbeat.Draining
	a.heartbeat = hb
	if notable {
		a.notifyChange()
	}
	return true
}

// callLog returns the logger for a line about a call of the worker's address.
func (a *Agent) callLog() *zerolog.Logger { return a.lines.Logger(&a.Log, "") }

// ignoreAsOlder reports whether to ignore a heartbeat that has a lower number than the newest of its lifetime. If such
// heartbeats come for longer than calls are late, and go on rising, the newest was another writer's. The caller holds
// the lock.
func (a *Agent) ignoreAsOlder(hb Heartbeat) bool {
	before := a.ignored
	a.ignored.sequence = hb.Sequence
	if before.since == 0 {
		a.ignored.since = clock.Now()
		return true
	}
	if hb.Sequence <= before.sequence || clock.Since(before.since) <= LateCallTimeout {
		return true
	}
	a.callLog().Warn().Stringer("lifetime", hb.Lifetime).Int64("sequence", hb.Sequence).Int64("newest", a.heartbeat.Sequence).
		Msg("The newest heartbeat's number was another writer's.")
	return false
}

// confirmLifetime asks the worker whether it is in an announced lifetime, if that isn't the current one. It
// returns the current one, and what the check showed, for the log. Silence confirms nothing. Before a
// planner has called, a worker may refuse the question, and the first announced lifetime is taken as it is:
// until the worker has answered a poll in it, it proves nothing to the planner.
func (a *Agent) confirmLifetime(ctx context.Context, announced Lifetime) (current Lifetime, check string, err error) {
	for _, timeout := range []time.Duration{confirmRetryDelay, confirmTimeout} {
		a.mu.Lock()
		var epoch int64
		current, epoch = a.lifetime, a.epoch
		a.mu.Unlock()
		if announced == current || current.ID == "" && epoch == 0 {
			return current, "not needed", nil
		}
		var state WorkerState
		state, err = a.probe(ctx, timeout, PollRequest{Lifetime: announced.String(), Epoch: epoch, Probe: true})
		switch {
		case err == nil && state.Lifetime == announced.String():
			return current, "confirmed", nil
		case err == nil || errors.Is(err, ErrOtherLifetime):
			a.callLog().Warn().Err(err).Str("shown", state.Lifetime).Stringer("announced", announced).Stringer("lifetime", current).
				Msg("Ignored a heartbeat for a lifetime that the worker is not in.")
			return current, "", fmt.Errorf("host.Heartbeat: lifetime %v: %w", announced, ErrOtherWorker)
		}
	}
	a.callLog().Warn().Err(err).Stringer("announced", announced).Msg("Put off a heartbeat for a lifetime that the worker doesn't confirm.")
	return current, "", fmt.Errorf("host.Heartbeat: lifetime %v: %w: %w", announced, ErrUnconfirmed, err)
}

// probe makes one call to check an announced lifetime. If the worker neither confirms nor denies it, the
// call takes all of its time.
func (a *Agent) probe(ctx context.Context, timeout time.Duration, req PollRequest) (WorkerState, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	state, err := a.Worker.Poll(ctx, req)
	if err != nil && !errors.Is(err, ErrOtherLifetime) {
		<-ctx.Done()
	}
	return state, err
}

// lapsed reports whether a lifetime is the last one that was announced, and was taken as over since.
func (a *Agent) lapsed(l Lifetime) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lifetime.ID == "" && l == a.heartbeat.Lifetime
}

// Leave handles the worker's announcement that it shuts down. As that names the worker's id only, it counts
// if the current lifetime drains, as workers do first: otherwise it may be a delayed one of an earlier
// lifetime with the same id, and a refused connection would end the runs of a worker that stays.
func (a *Agent) Leave(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id != a.lifetime.ID {
		return
	}
	if !a.heartbeat.Draining {
		a.callLog().Warn().Stringer("lifetime", a.lifetime).Msg("Ignored that the worker shuts down, as it has not drained.")
		return
	}
	a.callLog().Info().Stringer("lifetime", a.lifetime).Msg("The worker shuts down.")
	a.leaving = true
	a.notifyChange()
}

// setLifetime sets the worker's current lifetime, and ends the one before. A lifetime that was reported
// as over, as its lease had lapsed, no longer is: what starts in it from now on is not over. The caller
// holds the lock.
func (a *Agent) setLifetime(l Lifetime) {
	if l == a.lifetime {
		return
	}
	if a.lifetime.ID != "" {
		a.endLifetime(a.lifetime, true, "the worker is in another one")
	}
	a.endedLifetimes = slices.DeleteFunc(a.endedLifetimes, func(o endedLifetime) bool { return o.lifetime == l.String() })
	a.lifetime = l
	a.lifetimeReport = a.lease.lastReport
	a.resetState()
	a.unreachable = false
	a.notifyChange()
}

// resetState drops what the worker reported in its last lifetime. The caller holds the lock.
func (a *Agent) resetState() {
	a.running, a.recentStarts, a.ended, a.moreEnded, a.lastStoredEnd, a.polledAt, a.listedAt = nil, nil, nil, false, 0, 0, 0
	a.gone, a.endsSeenUntil, a.shownSince = nil, 0, 0
	a.lease.reset()
}

// endedLifetime is a lifetime that is over, or at least all that ran in it.
type endedLifetime struct {
	lifetime string
	gone     bool // It is over also if another process of the agent has renewed the lease.
}

// endLifetime records that a lifetime is over. The caller holds the lock.
func (a *Agent) endLifetime(l Lifetime, gone bool, why string) {
	a.endedLifetimes = append(a.endedLifetimes, endedLifetime{l.String(), gone})
	if len(a.endedLifetimes) > maxEndedLifetimes {
		a.endedLifetimes = a.endedLifetimes[1:]
	}
	a.Log.Warn().Stringer("lifetime", l).Str("why", why).Msg("The worker's lifetime is over.")
}

// notifyChange wakes the goroutines that wait for a change. The caller holds the lock.
func (a *Agent) notifyChange() {
	a.version++
	if a.changed != nil {
		close(a.changed)
	}
	a.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change. The caller holds the lock.
func (a *Agent) nextChange() <-chan struct{} {
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

// Run polls the worker and renews its lease until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pollCtx, cancel := context.WithCancel(ctx)
		req, ready, changed := a.nextPoll(cancel)
		if !ready {
			cancel()
			waitFor(ctx, changed, pollWait)
			continue
		}
		_, err := a.poll(pollCtx, req)
		isCancelled := pollCtx.Err() != nil
		cancel()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil && isCancelled: // The error says nothing about the worker.
		case err != nil:
			a.handlePollError(req.Lifetime, err)
			a.waitForChange(ctx, pollRetryDelay)
		case a.endsPending():
			a.waitForChange(ctx, endsPendingDelay)
		}
	}
	return ctx.Err()
}

// waitForChange waits for a change, at most d.
func (a *Agent) waitForChange(ctx context.Context, d time.Duration) {
	a.mu.Lock()
	changed := a.nextChange()
	a.mu.Unlock()
	waitFor(ctx, changed, d)
}

// waitFor waits until changed is closed, at most d.
func waitFor(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// endsPending reports whether the planner has yet to store run ends. A poll would return at
// once with them.
func (a *Agent) endsPending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.ended) > 0 && a.ended[0].Number > a.lastStoredEnd
}

// nextPoll returns the next poll, which cancel ends, or false and a channel that is closed at the next change if there
// is no lifetime or planner yet.
func (a *Agent) nextPoll(cancel context.CancelFunc) (req PollRequest, ready bool, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lifetime.ID == "" || a.epoch == 0 {
		return req, false, a.nextChange()
	}
	a.cancelPoll = cancel
	req = PollRequest{Lifetime: a.lifetime.String(), Epoch: a.epoch}
	if a.unreachable {
		// A call that is not answered may still extend the lease, so a worker that doesn't answer
		// gets no extension.
		return req, true, nil
	}
	req.AckedEnd = a.ackableEnd()
	req.LeaseEnd = a.lease.endOnWorkerClock(clock.Now())
	if a.lease.clockReadAt != 0 { // Before, the poll must return the worker's clock at once.
		req.Wait = RenewalWait(a.lease.grantEnd, pollWait)
	}
	return req, true, nil
}

// ackableEnd returns the number up to which a poll may acknowledge run ends. It is zero while the worker doesn't
// answer: the next answer may come from another lifetime with the same id, in which the number stands for a later
// run end. The caller holds the lock.
func (a *Agent) ackableEnd() uint64 {
	if a.unreachable {
		return 0
	}
	return a.lastStoredEnd
}

// poll polls the worker and applies the state that it returns.
func (a *Agent) poll(ctx context.Context, req PollRequest) (WorkerState, error) {
	timeout := pollTimeoutMargin
	if req.Wait > 0 {
		timeout += pollWait // Also for a shorter wait: a worker that doesn't answer in time gets no extension.
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := clock.Now()
	state, err := a.Worker.Poll(ctx, req)
	if err != nil {
		return state, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch current := a.lifetime.String(); {
	case state.Lifetime == current:
	case req.Lifetime == current:
		return state, a.lifetimeMismatch(state)
	default:
		return state, ErrOtherLifetime // It says nothing about the current lifetime.
	}
	a.shownSince = 0
	a.lease.updateClock(state.Clock, clock.Now(), a.MaxLease)
	leaseRemaining.Update(max(0, a.lease.grantEnd.Sub(a.lease.clockReadAt)).Seconds())
	notable := a.unreachable
	if a.unreachable {
		a.unreachable = false
		a.Log.Info().Stringer("lifetime", a.lifetime).Msg("The worker answers again.")
	}
	added := a.addEnds(state.Ended)
	if len(state.Ended) == 0 && !state.MoreEnded {
		a.endsSeenUntil = max(a.endsSeenUntil, sent)
	}
	if a.polledAt == 0 {
		// The planner may have given up what it ordered before the worker had answered in its lifetime.
		a.lifetimeReport = a.lease.lastReport
		notable = true
	}
	if sent >= a.polledAt {
		a.polledAt, a.listedAt = sent, clock.Now()
		notable = notable || runsDiffer(a.running, state.Running)
		a.running, a.moreEnded = state.Running, state.MoreEnded
		// A poll that was sent after a start lists the run, or the run has ended.
		maps.DeleteFunc(a.recentStarts, func(_ string, s startedRun) bool { return s.startedAt < sent })
	}
	if added || notable {
		a.notifyChange()
	}
	return state, nil
}

// lifetimeMismatch handles a poll that returned another lifetime than the worker announced. The
// caller holds the lock.
func (a *Agent) lifetimeMismatch(state WorkerState) error {
	a.Log.Warn().Str("shown", state.Lifetime).Stringer("announced", a.lifetime).
		Msg("The worker has another lifetime than it announced.")
	if a.shownSince == 0 {
		a.shownSince = clock.Now()
	}
	if !a.unreachable {
		a.unreachable = true // The announced lifetime no longer answers.
		a.notifyChange()
	}
	return ErrOtherLifetime
}

// recordStart records that the worker has started a run, which the newest poll may not list.
func (a *Agent) recordStart(task string, run int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.recentStarts == nil {
		a.recentStarts = make(map[string]startedRun)
	}
	a.recentStarts[task] = startedRun{run, clock.Now()}
}

// unlistedRuns returns the runs that were started since the newest poll. The caller holds the lock.
func (a *Agent) unlistedRuns() []taskRun {
	var out []taskRun
	for task, s := range a.recentStarts {
		same := func(r Running) bool { return r.Task == task && r.Run == s.run }
		gone := func(e Ended) bool { return e.Task == task && e.Run == s.run }
		if !slices.ContainsFunc(a.running, same) && !slices.ContainsFunc(a.ended, gone) {
			out = append(out, taskRun{task, s.run})
		}
	}
	return out
}

// addEnds adds the run ends that are new, and reports whether there were any. A worker numbers them in their
// order and lists the oldest, so when one is new, those before it have been seen. The caller holds the lock.
func (a *Agent) addEnds(ended []Ended) bool {
	last := a.lastStoredEnd
	if n := len(a.ended); n > 0 {
		last = max(last, a.ended[n-1].Number)
	}
	added := false
	for _, e := range ended {
		if e.Number > last {
			last = e.Number
			a.ended = append(a.ended, e)
			added = true
			delete(a.gone, taskRun{e.Task, e.Run})
			if slices.ContainsFunc(a.running, func(r Running) bool { return r.Task == e.Task && r.Run == e.Run }) {
				a.endsSeenUntil = max(a.endsSeenUntil, a.polledAt) // It was running then.
			}
		}
	}
	return added
}

// runsDiffer reports whether two polls list different runs. Percent and checkpoints are not
// compared: they change continuously, and are reported when something else changes.
func runsDiffer(a, b []Running) bool {
	if len(a) != len(b) {
		return true
	}
	for i := range a {
		if a[i].Task != b[i].Task || a[i].Run != b[i].Run {
			return true
		}
	}
	return false
}

// lapsedForCertain reports whether the lease of the current lifetime has lapsed, and that of the next one with
// the same id for what was started in it on orders for the current one: there a lease end on the clock of the
// current one allows for the longest lease. The caller holds the lock.
func (a *Agent) lapsedForCertain(now clock.Instant) bool {
	if !a.lease.lapsed(now, a.StopTimeout) {
		return false
	}
	return a.shownSince == 0 || now > a.shownSince.Add(LateCallTimeout+LongestLease(a.MaxLease)+a.StopTimeout+leaseSlack)
}

// handlePollError handles a poll of a lifetime that failed, and marks the worker as unreachable. The lifetime
// is taken as over if its lease has lapsed, unless the worker answered that it is unhealthy, or if the worker
// has announced that it shuts down and nothing listens at its address any more. Another failure, such as
// silence, doesn't tell whether it has ended yet.
func (a *Agent) handlePollError(lifetime string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lifetime != a.lifetime.String() {
		return // It says nothing about the current lifetime.
	}
	if !a.unreachable {
		a.unreachable = true
		a.Log.Warn().Err(err).Stringer("lifetime", a.lifetime).Msg("The worker doesn't answer.")
		a.notifyChange()
	}
	why, gone := "", false
	switch {
	case a.leaving && errors.Is(err, ErrNotListening):
		why, gone = "it has left", true
	case !errors.Is(err, ErrUnhealthy) && a.lapsedForCertain(clock.Now()):
		why = "its lease has lapsed"
	default:
		return
	}
	a.endLifetime(a.lifetime, gone, why)
	a.lifetime = Lifetime{}
	a.resetState()
	a.notifyChange()
}
