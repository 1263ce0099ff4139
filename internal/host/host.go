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
	// lookWait is how long a look waits for an end; the lease is renewed as often.
	lookWait = time.Second
	// lookSlack is how much longer than its wait a look may take.
	lookSlack = 700 * time.Millisecond
	// lookRetry is the wait after a failed look.
	lookRetry = 200 * time.Millisecond
	// storePause is the wait for the planner to store ends that a look returned.
	storePause = 40 * time.Millisecond
	// maxOver bounds the lifetimes that are reported as over; a worker seldom has two a minute.
	maxOver = 32
)

// leaseLeft is how far in the future the granted lease ends at each look.
var leaseLeft = metrics.NewHistogram("sniperill_agent_lease_left_seconds")

// Host is the agent beside one worker. Set its fields before Run.
type Host struct {
	Name   string
	Worker Worker
	// MaxLease is the longest lease that a worker may be given.
	MaxLease time.Duration
	// Life tells lives of the agent apart.
	Life string
	// Announced, if set, is called when the worker offers something else than before. It
	// must not wait.
	Announced func(workflow.Worker)
	Log       zerolog.Logger

	mu          sync.Mutex
	changed     chan struct{} // Closed and replaced with each change.
	version     uint64
	epoch       int64
	beat        Beat
	lifetime    Lifetime
	drainUntil  clock.Instant
	left        bool // The worker said that it ends.
	unreachable bool
	looked      clock.Instant // When the look whose list of running tasks is kept was sent.
	running     []Running
	started     map[string]startedRun // Runs that may be newer than that look, by task.
	ended       []Ended               // Not stored yet, by number.
	stored      uint64                // The planner has stored ends up to this number.
	over        []string
	lease       lease
}

// startedRun is a run that the worker has begun on this agent's order.
type startedRun struct {
	run int
	at  clock.Instant
}

// Beat takes in what the worker announces. A beat that was overtaken changes nothing.
func (h *Host) Beat(b Beat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := b.Lifetime == h.beat.Lifetime
	if b.Lifetime.Born < h.lifetime.Born || same && b.Sequence <= h.beat.Sequence {
		return
	}
	if !same {
		h.Log.Info().Stringer("lifetime", b.Lifetime).Str("service", b.Service).Str("rack", b.Rack).
			Int("accelerators", b.Room.Accelerators).Msg("The worker announced itself.")
		h.enter(b.Lifetime)
		h.left = false
	}
	if b.Draining && !(same && h.beat.Draining) {
		h.Log.Info().Stringer("lifetime", b.Lifetime).Dur("left", b.DrainLeft).Msg("The worker is draining.")
	}
	b.Draining = b.Draining || same && h.beat.Draining
	if h.Announced != nil && !reflect.DeepEqual(b.Worker, h.beat.Worker) {
		h.Announced(b.Worker)
	}
	notable := !same || b.Draining != h.beat.Draining
	if b.Draining {
		h.drainUntil = clock.Now().Add(b.DrainLeft)
	}
	h.beat = b
	if notable {
		h.change()
	}
}

// Leave takes in that the worker ends by itself.
func (h *Host) Leave(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id != h.lifetime.ID {
		return
	}
	h.Log.Info().Stringer("lifetime", h.lifetime).Msg("The worker leaves.")
	h.left = true
	h.beat.Draining = true
	h.change()
}

// enter notes which lifetime the worker is in. The caller holds the lock.
func (h *Host) enter(l Lifetime) {
	if l == h.lifetime {
		return
	}
	if h.lifetime.ID != "" {
		h.end(h.lifetime)
	}
	h.lifetime = l
	h.forget()
	h.unreachable = false
	h.change()
}

// forget drops what the last lifetime showed. The caller holds the lock.
func (h *Host) forget() {
	h.running, h.started, h.ended, h.stored, h.looked = nil, nil, nil, 0, 0
	h.lease.reset()
}

// end notes that a lifetime is over. The caller holds the lock.
func (h *Host) end(l Lifetime) {
	h.over = append(h.over, l.String())
	if len(h.over) > maxOver {
		h.over = h.over[1:]
	}
	h.Log.Warn().Stringer("lifetime", l).Msg("The worker's lifetime is over.")
}

// change wakes those that wait for one. The caller holds the lock.
func (h *Host) change() {
	h.version++
	if h.changed != nil {
		close(h.changed)
	}
	h.changed = make(chan struct{})
}

// waitChange returns a channel that is closed with the next change. The caller holds the lock.
func (h *Host) waitChange() <-chan struct{} {
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Run looks at the worker and renews its lease until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		hold, ready := h.nextHold()
		if !ready {
			h.await(ctx, lookWait)
			continue
		}
		_, err := h.look(ctx, hold)
		switch {
		case ctx.Err() != nil:
			return ctx.Err() // The look was broken off here.
		case err != nil:
			h.noteUnreachable(err)
			h.await(ctx, lookRetry)
		case h.storing():
			h.await(ctx, storePause)
		}
	}
	return ctx.Err()
}

// await waits for a change, at most d.
func (h *Host) await(ctx context.Context, d time.Duration) {
	h.mu.Lock()
	changed := h.waitChange()
	h.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// storing says whether ends wait to be stored; a look would return them at once.
func (h *Host) storing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ended) > 0 && h.ended[0].Number > h.stored
}

func (h *Host) nextHold() (Hold, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lifetime.ID == "" || h.epoch == 0 {
		return Hold{}, false
	}
	hold := Hold{Lifetime: h.lifetime.String(), Epoch: h.epoch}
	if h.unreachable {
		// A call without an answer may still extend the lease, so a worker that doesn't answer
		// gets no more. Nor is an end acknowledged: what answers next may be another life
		// under the same id, in which the number stands for an end to come.
		return hold, true
	}
	hold.Seen = h.stored
	hold.Until = h.lease.end(clock.Now())
	if h.lease.shown != 0 { // Before, the worker's clock is asked for, to renew the lease at once.
		hold.Wait = lookWait
	}
	return hold, true
}

// look calls the worker and takes in what it shows.
func (h *Host) look(ctx context.Context, hold Hold) (Look, error) {
	ctx, cancel := context.WithTimeout(ctx, hold.Wait+lookSlack)
	defer cancel()
	sent := clock.Now()
	look, err := h.Worker.Hold(ctx, hold)
	if err != nil {
		return look, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if look.Lifetime != h.lifetime.String() {
		return look, h.meet(look)
	}
	h.lease.show(look.Clock, clock.Now(), h.MaxLease)
	leaseLeft.Update(max(0, h.lease.until.Sub(h.lease.shown)).Seconds())
	notable := h.unreachable
	if h.unreachable {
		h.unreachable = false
		h.Log.Info().Stringer("lifetime", h.lifetime).Msg("The worker answers again.")
	}
	if sent >= h.looked {
		h.looked = sent
		notable = notable || differ(h.running, look.Running)
		h.running = look.Running
		// A look that was sent later than a start shows the run, or it has ended.
		maps.DeleteFunc(h.started, func(_ string, s startedRun) bool { return s.at < sent })
	}
	if h.merge(look.Ended) || notable {
		h.change()
	}
	return look, nil
}

// meet takes in that the worker shows another lifetime than it announced. The caller holds
// the lock.
func (h *Host) meet(look Look) error {
	h.Log.Warn().Str("shown", look.Lifetime).Stringer("announced", h.lifetime).
		Msg("The worker shows another lifetime.")
	if !h.unreachable {
		h.unreachable = true // The life that was announced doesn't answer any more.
		h.change()
	}
	return ErrOtherLifetime
}

// noteStarted takes in that the worker has begun a run. The newest look doesn't show it.
func (h *Host) noteStarted(task string, run int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.started == nil {
		h.started = make(map[string]startedRun)
	}
	h.started[task] = startedRun{run, clock.Now()}
}

// runs returns what runs by the newest look and the starts since. The caller holds the lock.
func (h *Host) runs() []Running {
	out := slices.Clone(h.running)
	for task, s := range h.started {
		same := func(r Running) bool { return r.Task == task && r.Run == s.run }
		gone := func(e Ended) bool { return e.Task == task && e.Run == s.run }
		if !slices.ContainsFunc(out, same) && !slices.ContainsFunc(h.ended, gone) {
			out = append(out, Running{Task: task, Run: s.run})
		}
	}
	return out
}

// merge adds ends that are new. The caller holds the lock.
func (h *Host) merge(ended []Ended) bool {
	last := h.stored
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

// differ says whether two looks show other runs. Percent and checkpoints change all
// the time and are reported when something else does.
func differ(a, b []Running) bool {
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

func (h *Host) noteUnreachable(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	if !h.unreachable {
		h.unreachable = true
		h.Log.Warn().Err(err).Stringer("lifetime", h.lifetime).Msg("The worker doesn't answer.")
		h.change()
	}
	refused := errors.Is(err, ErrUnhealthy)
	if !refused && (h.left || h.lease.lapsed(now)) && h.lifetime.ID != "" {
		h.end(h.lifetime)
		h.lifetime = Lifetime{}
		h.forget()
		h.change()
	}
}
