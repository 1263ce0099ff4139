package host

import (
	"context"
	"errors"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/pkg/workflow"
)

const (
	// pollWait is how long a look waits for an end; the lease is renewed as often.
	pollWait = time.Second
	// pollSlack is how much longer than its wait a look may take.
	pollSlack = 700 * time.Millisecond
	// pollRetry is the wait after a failed look.
	pollRetry = 200 * time.Millisecond
	// storePause is the wait for the planner to store ends that a look returned.
	storePause = 40 * time.Millisecond
	// maxEndedLifetimes bounds the lifetimes that are reported as over; a worker seldom has two a minute.
	maxEndedLifetimes = 32
)

// leaseLeft is how far in the future the granted lease ends at each look.
var leaseLeft = metrics.NewHistogram("sniperill_agent_lease_left_seconds")

// Agent is the agent beside one worker. Set its fields before Run.
type Agent struct {
	Name   string
	Worker Worker
	// MaxLease is the longest lease that a worker may be given.
	MaxLease time.Duration
	// Incarnation tells lives of the agent apart.
	Incarnation string
	// Announced, if set, is called when the worker offers something else than before. It
	// must not wait.
	WorkerChanged func(workflow.Worker)
	Log           zerolog.Logger

	mu             sync.Mutex
	changed        chan struct{} // Closed and replaced with each change.
	version        uint64
	epoch          int64
	heartbeat      Heartbeat
	lifetime       Lifetime
	drainUntil     clock.Instant
	leaving        bool // The worker said that it ends.
	unreachable    bool
	polledAt       clock.Instant // When the look whose list of running tasks is kept was sent.
	running        []Running
	recentStarts   map[string]startedRun // Runs that may be newer than that look, by task.
	ended          []Ended               // Not stored yet, by number.
	lastStoredEnd  uint64                // The planner has stored ends up to this number.
	endedLifetimes []string
	lease          lease
}

// startedRun is a run that the worker has begun on this agent's order.
type startedRun struct {
	run       int
	startedAt clock.Instant
}

// Heartbeat takes in what the worker announces. A beat that was overtaken changes nothing.
func (h *Agent) Heartbeat(b Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := b.Lifetime == h.heartbeat.Lifetime
	if b.Lifetime.StartedUnixMS < h.lifetime.StartedUnixMS || same && b.Sequence <= h.heartbeat.Sequence {
		return
	}
	if !same {
		h.Log.Info().Stringer("lifetime", b.Lifetime).Str("service", b.Service).Str("rack", b.Rack).
			Int("accelerators", b.Room.Accelerators).Msg("The worker announced itself.")
		h.setLifetime(b.Lifetime)
		h.leaving = false
	}
	if b.Draining && !(same && h.heartbeat.Draining) {
		h.Log.Info().Stringer("lifetime", b.Lifetime).Dur("left", b.DrainRemaining).Msg("The worker is draining.")
	}
	b.Draining = b.Draining || same && h.heartbeat.Draining
	if h.WorkerChanged != nil && !reflect.DeepEqual(b.Worker, h.heartbeat.Worker) {
		h.WorkerChanged(b.Worker)
	}
	notable := !same || b.Draining != h.heartbeat.Draining
	if b.Draining {
		h.drainUntil = clock.Now().Add(b.DrainRemaining)
	}
	h.heartbeat = b
	if notable {
		h.notifyChange()
	}
}

// Leave takes in that the worker ends by itself.
func (h *Agent) Leave(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.lifetime.ID {
		return
	}
	h.Log.Info().Stringer("lifetime", h.lifetime).Msg("The worker leaves.")
	h.leaving = true
	h.heartbeat.Draining = true
	h.notifyChange()
}

// setLifetime notes which lifetime the worker is in. The caller holds the lock.
func (h *Agent) setLifetime(l Lifetime) {
	if l == h.lifetime {
		return
	}
	if h.lifetime.ID != "" {
		h.endLifetime(h.lifetime)
	}
	h.lifetime = l
	h.resetState()
	h.unreachable = false
	h.notifyChange()
}

// resetState drops what the last lifetime showed. The caller holds the lock.
func (h *Agent) resetState() {
	h.running, h.recentStarts, h.ended, h.lastStoredEnd, h.polledAt = nil, nil, nil, 0, 0
	h.lease.reset()
}

// endLifetime notes that a lifetime is over. The caller holds the lock.
func (h *Agent) endLifetime(l Lifetime) {
	h.endedLifetimes = append(h.endedLifetimes, l.String())
	if len(h.endedLifetimes) > maxEndedLifetimes {
		h.endedLifetimes = h.endedLifetimes[1:]
	}
	h.Log.Warn().Stringer("lifetime", l).Msg("The worker's lifetime is over.")
}

// notifyChange wakes those that wait for one. The caller holds the lock.
func (h *Agent) notifyChange() {
	h.version++
	if h.changed != nil {
		close(h.changed)
	}
	h.changed = make(chan struct{})
}

// nextChange returns a channel that is closed with the next change. The caller holds the lock.
func (h *Agent) nextChange() <-chan struct{} {
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Run looks at the worker and renews its lease until ctx ends.
func (h *Agent) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		hold, ready := h.nextPoll()
		if !ready {
			h.waitForChange(ctx, pollWait)
			continue
		}
		_, err := h.poll(ctx, hold)
		switch {
		case ctx.Err() != nil:
			return ctx.Err() // The look was broken off here.
		case err != nil:
			h.handlePollError(err)
			h.waitForChange(ctx, pollRetry)
		case h.endsPending():
			h.waitForChange(ctx, storePause)
		}
	}
	return ctx.Err()
}

// waitForChange waits for a change, at most d.
func (h *Agent) waitForChange(ctx context.Context, d time.Duration) {
	h.mu.Lock()
	changed := h.nextChange()
	h.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// endsPending says whether ends wait to be stored; a look would return them at once.
func (h *Agent) endsPending() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ended) > 0 && h.ended[0].Number > h.lastStoredEnd
}

func (h *Agent) nextPoll() (PollRequest, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lifetime.ID == "" || h.epoch == 0 {
		return PollRequest{}, false
	}
	hold := PollRequest{Lifetime: h.lifetime.String(), Epoch: h.epoch}
	if h.unreachable {
		// A call without an answer may still extend the lease, so a worker that doesn't answer
		// gets no more. Nor is an end acknowledged: what answers next may be another life
		// under the same id, in which the number stands for an end to come.
		return hold, true
	}
	hold.AckedEnd = h.lastStoredEnd
	hold.LeaseEnd = h.lease.endOnWorkerClock(clock.Now())
	if h.lease.clockReadAt != 0 { // Before, the worker's clock is asked for, to renew the lease at once.
		hold.Wait = pollWait
	}
	return hold, true
}

// poll calls the worker and takes in what it shows.
func (h *Agent) poll(ctx context.Context, hold PollRequest) (WorkerState, error) {
	ctx, cancel := context.WithTimeout(ctx, hold.Wait+pollSlack)
	defer cancel()
	sent := clock.Now()
	look, err := h.Worker.Poll(ctx, hold)
	if err != nil {
		return look, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if look.Lifetime != h.lifetime.String() {
		return look, h.lifetimeMismatch(look)
	}
	h.lease.updateClock(look.Clock, clock.Now(), h.MaxLease)
	leaseLeft.Update(max(0, h.lease.grantEnd.Sub(h.lease.clockReadAt)).Seconds())
	notable := h.unreachable
	if h.unreachable {
		h.unreachable = false
		h.Log.Info().Stringer("lifetime", h.lifetime).Msg("The worker answers again.")
	}
	if sent >= h.polledAt {
		h.polledAt = sent
		notable = notable || runsDiffer(h.running, look.Running)
		h.running = look.Running
		// A look that was sent later than a start shows the run, or it has ended.
		maps.DeleteFunc(h.recentStarts, func(_ string, s startedRun) bool { return s.startedAt < sent })
	}
	if h.addEnds(look.Ended) || notable {
		h.notifyChange()
	}
	return look, nil
}

// lifetimeMismatch takes in that the worker shows another lifetime than it announced. The caller holds
// the lock.
func (h *Agent) lifetimeMismatch(look WorkerState) error {
	h.Log.Warn().Str("shown", look.Lifetime).Stringer("announced", h.lifetime).
		Msg("The worker shows another lifetime.")
	if !h.unreachable {
		h.unreachable = true // The life that was announced doesn't answer any more.
		h.notifyChange()
	}
	return ErrOtherLifetime
}

// recordStart takes in that the worker has begun a run. The newest look doesn't show it.
func (h *Agent) recordStart(task string, run int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recentStarts == nil {
		h.recentStarts = make(map[string]startedRun)
	}
	h.recentStarts[task] = startedRun{run, clock.Now()}
}

// currentRuns returns what runs by the newest look and the starts since. The caller holds the lock.
func (h *Agent) currentRuns() []Running {
	out := slices.Clone(h.running)
	for task, s := range h.recentStarts {
		same := func(r Running) bool { return r.Task == task && r.Run == s.run }
		gone := func(e Ended) bool { return e.Task == task && e.Run == s.run }
		if !slices.ContainsFunc(out, same) && !slices.ContainsFunc(h.ended, gone) {
			out = append(out, Running{Task: task, Run: s.run})
		}
	}
	return out
}

// addEnds adds ends that are new. The caller holds the lock.
func (h *Agent) addEnds(ended []Ended) bool {
	last := h.lastStoredEnd
	if n := len(h.ended); n > 0 {
		last = max(last, h.ended[n-1].Number)
	}
	added := false
	for _, e := range ended {
		if e.Number > last {
			last = e.Number
			h.ended = append(h.ended, e)
			added = true
		}
	}
	return added
}

// runsDiffer says whether two looks show other runs. Percent and checkpoints change all
// the time and are reported when something else does.
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

func (h *Agent) handlePollError(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	if !h.unreachable {
		h.unreachable = true
		h.Log.Warn().Err(err).Stringer("lifetime", h.lifetime).Msg("The worker doesn't answer.")
		h.notifyChange()
	}
	refused := errors.Is(err, ErrUnhealthy)
	if !refused && (h.leaving || h.lease.lapsed(now)) && h.lifetime.ID != "" {
		h.endLifetime(h.lifetime)
		h.lifetime = Lifetime{}
		h.resetState()
		h.notifyChange()
	}
}
