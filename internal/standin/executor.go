package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/workflow"
)

// Executor is a worker as an agent of workflows sees it: it runs tasks under a lease on
// its own clock, keeps ends until they are acknowledged, and refuses old runs and old
// epochs. Set its fields before use.
type Executor struct {
	Lifetime host.Lifetime
	Room     workflow.Resources
	// Need returns the room and the run time of a task, by its name.
	Need func(task string) (workflow.Resources, time.Duration)
	// Began is called with each run that begins to work.
	Began func(task string, run int)
	// Over is called with each run that is over, for as long as it truly ran.
	Over func(ExecutorSpan)
	// Slowness is how many times slower than true its clock is; 1 when zero.
	Slowness float64

	mu      sync.Mutex
	born    clock.Instant
	epoch   int64
	until   time.Duration // The lease's end on the executor's clock.
	running map[string]*run
	highest map[string]int // The highest run that ended or was stopped, by task.
	ended   []host.Ended
	number  uint64
	seen    uint64
	noted   map[uint64]bool // Ends that were acknowledged in time.
	forgot  uint64          // Ends up to this number were listed before the lease lapsed.
	down    bool
	silent  bool
	failing bool
}

// ExecutorSpan is one stretch of time in which an executor truly ran a task.
type ExecutorSpan struct {
	Lifetime host.Lifetime
	Task     string
	Run      int
	Number   uint64 // Of its end; zero when the executor crashed.
	From, To clock.Instant
	End      host.End
}

// run is a task that runs on an executor.
type run struct {
	number int
	room   workflow.Resources
	begun  clock.Instant
	needs  time.Duration
	hung   clock.Instant // Since when it stands still, zero when it doesn't.
}

// worked returns how long the run has worked.
func (t *run) worked() time.Duration {
	if t.hung != 0 {
		return t.hung.Sub(t.begun)
	}
	return clock.Since(t.begun)
}

// Worker returns the executor's calls.
func (e *Executor) Worker() host.Worker {
	return host.Worker{Poll: e.hold, Start: e.start, Stop: e.stop}
}

// Beat returns what the executor announces.
func (e *Executor) Beat(service, rack string, sequence int64) host.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	return host.Heartbeat{
		Lifetime: e.Lifetime, Sequence: sequence,
		Worker: workflow.Worker{Service: service, Rack: rack, Labels: []string{rack}, Resources: e.Room},
	}
}

// Crash ends the executor's life; no call reaches it from then on.
func (e *Executor) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	for name, t := range e.running {
		e.report(name, t, 0, host.Lapsed, clock.Now())
	}
	e.down = true
	e.running = nil
}

// Noted says whether an end was acknowledged before the executor's lease lapsed: what is
// acknowledged later counts as not known, as the task may run elsewhere by then.
func (e *Executor) Noted(number uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return number != 0 && e.noted[number]
}

// Silence lets the executor work on without answering, or answer again.
func (e *Executor) Silence(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

// FailAll lets every run fail at its end from now on.
func (e *Executor) FailAll(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// Hang lets every task that runs stand still from now on, or go on.
func (e *Executor) Hang(hanging bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	now := clock.Now()
	for _, t := range e.running {
		if hanging && t.hung == 0 {
			t.hung = now
		}
		if !hanging && t.hung != 0 {
			t.begun, t.hung = t.begun.Add(now.Sub(t.hung)), 0
		}
	}
}

// Running returns the names of the tasks that run.
func (e *Executor) Running() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	var out []string
	for name := range e.running {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Clock returns the executor's own time.
func (e *Executor) Clock() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock()
}

// clock returns the executor's own time. The caller holds the lock.
func (e *Executor) clock() time.Duration {
	if e.born == 0 {
		e.born = clock.Now().Add(-time.Second)
		e.running = make(map[string]*run)
		e.highest = make(map[string]int)
	}
	d := clock.Since(e.born)
	if e.Slowness > 0 {
		d = time.Duration(float64(d) / e.Slowness)
	}
	return d
}

// advance ends what has finished or lost its lease, as of when it did. The caller holds the lock.
func (e *Executor) advance() {
	e.clock() // It sets the executor's birth.
	now := clock.Now()
	lapse := e.born.Add(time.Duration(float64(e.until) * max(1, e.Slowness)))
	defer func() {
		if lapse < now {
			e.forgot = e.number
		}
	}()
	for name, t := range e.running {
		done := t.begun.Add(t.needs)
		if t.hung != 0 {
			done = now + 1
		}
		switch {
		case done <= now && done <= lapse && e.failing:
			e.end(name, t, host.Failed, done)
		case done <= now && done <= lapse:
			e.end(name, t, host.Done, done)
		case lapse < now:
			e.end(name, t, host.Lapsed, lapse)
		}
	}
}

func (e *Executor) end(name string, t *run, how host.End, at clock.Instant) {
	delete(e.running, name)
	e.highest[name] = max(e.highest[name], t.number)
	e.number++
	e.ended = append(e.ended, host.Ended{Number: e.number, Task: name, Run: t.number, End: how})
	e.report(name, t, e.number, how, at)
}

func (e *Executor) report(name string, t *run, number uint64, how host.End, at clock.Instant) {
	if e.Over != nil {
		e.Over(ExecutorSpan{e.Lifetime, name, t.number, number, t.begun, at, how})
	}
}

// enter checks a call. The caller holds the lock.
func (e *Executor) enter(lifetime string, epoch int64) error {
	switch {
	case lifetime != e.Lifetime.String():
		return fmt.Errorf("standin.Executor: %w", host.ErrOtherLifetime)
	case epoch < e.epoch:
		return fmt.Errorf("standin.Executor: %w", host.ErrFenced)
	}
	e.epoch = epoch
	e.advance()
	return nil
}

// ErrOldRun says that a start came after the same or a higher run had ended there.
var ErrOldRun = errors.New("old run")

// errNoAnswer says that the executor is not there.
var errNoAnswer = fmt.Errorf("standin.Executor: connection refused")

// reach returns an error when calls don't reach the executor or aren't answered.
func (e *Executor) reach(ctx context.Context) error {
	e.mu.Lock()
	down, silent := e.down, e.silent
	e.mu.Unlock()
	if down {
		return errNoAnswer
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (e *Executor) hold(ctx context.Context, h host.PollRequest) (host.WorkerState, error) {
	deadline := time.NewTimer(h.Wait)
	defer deadline.Stop()
	const poll = 10 * time.Millisecond // Ends are noticed as late as this.
	for {
		if err := e.reach(ctx); err != nil {
			return host.WorkerState{}, err
		}
		look, err := e.look(h)
		if err != nil || len(look.Ended) > 0 || h.Wait == 0 {
			return look, err
		}
		select {
		case <-deadline.C:
			return look, nil
		case <-ctx.Done():
			return look, ctx.Err()
		case <-time.After(poll):
		}
	}
}

// acknowledge takes in up to which number ends are known. The caller holds the lock.
func (e *Executor) acknowledge(seen uint64) {
	if e.noted == nil {
		e.noted = make(map[uint64]bool)
	}
	for n := e.seen + 1; n <= seen; n++ {
		e.noted[n] = n > e.forgot
	}
	e.seen = max(e.seen, seen)
}

func (e *Executor) look(h host.PollRequest) (host.WorkerState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.enter(h.Lifetime, h.Epoch); err != nil {
		return host.WorkerState{}, err
	}
	e.acknowledge(h.AckedEnd)
	e.until = max(e.until, h.LeaseEnd)
	e.ended = slices.DeleteFunc(e.ended, func(o host.Ended) bool { return o.Number <= h.AckedEnd })
	look := host.WorkerState{Lifetime: e.Lifetime.String(), Clock: e.clock(), Ended: slices.Clone(e.ended)}
	for name, t := range e.running {
		percent := int(100 * t.worked() / max(1, t.needs))
		look.Running = append(look.Running, host.Running{Task: name, Run: t.number, Percent: percent})
	}
	slices.SortFunc(look.Running, func(a, b host.Running) int { return strings.Compare(a.Task, b.Task) })
	return look, nil
}

func (e *Executor) start(ctx context.Context, s host.Start) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.enter(s.Lifetime, s.Epoch); err != nil {
		return err
	}
	room, needs := e.Need(s.Task)
	if t, ok := e.running[s.Task]; ok && t.number == s.Run {
		return nil
	}
	used := workflow.Resources{}
	for _, t := range e.running {
		used = used.Plus(t.room)
	}
	switch {
	case s.Run <= e.highest[s.Task]:
		return fmt.Errorf("standin.Executor: %w: run %d of %s", ErrOldRun, s.Run, s.Task)
	case s.LeaseEnd < e.clock():
		return fmt.Errorf("standin.Executor: %w: too late", host.ErrRefused)
	case !e.Room.Minus(used).Fits(room):
		return fmt.Errorf("standin.Executor: %w: no room", host.ErrRefused)
	}
	e.until = max(e.until, s.LeaseEnd)
	e.running[s.Task] = &run{number: s.Run, room: room, begun: clock.Now(), needs: needs}
	if e.Began != nil {
		e.Began(s.Task, s.Run)
	}
	return nil
}

func (e *Executor) stop(ctx context.Context, s host.Stop) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.enter(s.Lifetime, s.Epoch); err != nil {
		return err
	}
	e.highest[s.Task] = max(e.highest[s.Task], s.Run)
	if t, ok := e.running[s.Task]; ok && t.number <= s.Run {
		e.end(s.Task, t, host.Stopped, clock.Now())
	}
	return nil
}
