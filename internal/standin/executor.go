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
	Lifetime  host.Lifetime
	Resources workflow.Resources
	// Requirements returns the room and the run time of a task, by its name.
	Requirements func(task string) (workflow.Resources, time.Duration)
	// OnRunStarted is called with each run that begins to work.
	OnRunStarted func(task string, run int)
	// OnRunEnded is called with each run that is over, for as long as it truly ran.
	OnRunEnded func(ExecutorSpan)
	// ClockSlowdown is how many times slower than true its clock is; 1 when zero.
	ClockSlowdown float64

	mu          sync.Mutex
	started     clock.Instant
	epoch       int64
	leaseEnd    time.Duration // The lease's end on the executor's clock.
	running     map[string]*run
	highestRun  map[string]int // The highest run that ended or was stopped, by task.
	ended       []host.Ended
	lastEnd     uint64
	ackedEnd    uint64
	ackedInTime map[uint64]bool // Ends that were acknowledged in time.
	lapsedEnd   uint64          // Ends up to this number were listed before the lease lapsed.
	down        bool
	silent      bool
	failing     bool
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
	number    int
	resources workflow.Resources
	started   clock.Instant
	duration  time.Duration
	hungSince clock.Instant // Since when it stands still, zero when it doesn't.
}

// worked returns how long the run has worked.
func (t *run) worked() time.Duration {
	if t.hungSince != 0 {
		return t.hungSince.Sub(t.started)
	}
	return clock.Since(t.started)
}

// Worker returns the executor's calls.
func (e *Executor) Worker() host.Worker {
	return host.Worker{Poll: e.poll, Start: e.start, Stop: e.stop}
}

// Heartbeat returns what the executor announces.
func (e *Executor) Heartbeat(service, rack string, sequence int64) host.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	return host.Heartbeat{
		Lifetime: e.Lifetime, Sequence: sequence,
		Worker: workflow.Worker{Service: service, Rack: rack, Labels: []string{rack}, Resources: e.Resources},
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

// AckedInTime says whether an end was acknowledged before the executor's lease lapsed: what is
// acknowledged later counts as not known, as the task may run elsewhere by then.
func (e *Executor) AckedInTime(number uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return number != 0 && e.ackedInTime[number]
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
		if hanging && t.hungSince == 0 {
			t.hungSince = now
		}
		if !hanging && t.hungSince != 0 {
			t.started, t.hungSince = t.started.Add(now.Sub(t.hungSince)), 0
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
	if e.started == 0 {
		e.started = clock.Now().Add(-time.Second)
		e.running = make(map[string]*run)
		e.highestRun = make(map[string]int)
	}
	d := clock.Since(e.started)
	if e.ClockSlowdown > 0 {
		d = time.Duration(float64(d) / e.ClockSlowdown)
	}
	return d
}

// advance ends what has finished or lost its lease, as of when it did. The caller holds the lock.
func (e *Executor) advance() {
	e.clock() // It sets the executor's birth.
	now := clock.Now()
	lapse := e.started.Add(time.Duration(float64(e.leaseEnd) * max(1, e.ClockSlowdown)))
	defer func() {
		if lapse < now {
			e.lapsedEnd = e.lastEnd
		}
	}()
	for name, t := range e.running {
		done := t.started.Add(t.duration)
		if t.hungSince != 0 {
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
	e.highestRun[name] = max(e.highestRun[name], t.number)
	e.lastEnd++
	e.ended = append(e.ended, host.Ended{Number: e.lastEnd, Task: name, Run: t.number, End: how})
	e.report(name, t, e.lastEnd, how, at)
}

func (e *Executor) report(name string, t *run, number uint64, how host.End, at clock.Instant) {
	if e.OnRunEnded != nil {
		e.OnRunEnded(ExecutorSpan{e.Lifetime, name, t.number, number, t.started, at, how})
	}
}

// checkCall checks a call. The caller holds the lock.
func (e *Executor) checkCall(lifetime string, epoch int64) error {
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

// errUnreachable says that the executor is not there.
var errUnreachable = fmt.Errorf("standin.Executor: connection refused")

// checkReachable returns an error when calls don't reach the executor or aren't answered.
func (e *Executor) checkReachable(ctx context.Context) error {
	e.mu.Lock()
	down, silent := e.down, e.silent
	e.mu.Unlock()
	if down {
		return errUnreachable
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (e *Executor) poll(ctx context.Context, h host.PollRequest) (host.WorkerState, error) {
	deadline := time.NewTimer(h.Wait)
	defer deadline.Stop()
	const poll = 10 * time.Millisecond // Ends are noticed as late as this.
	for {
		if err := e.checkReachable(ctx); err != nil {
			return host.WorkerState{}, err
		}
		look, err := e.workerState(h)
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
	if e.ackedInTime == nil {
		e.ackedInTime = make(map[uint64]bool)
	}
	for n := e.ackedEnd + 1; n <= seen; n++ {
		e.ackedInTime[n] = n > e.lapsedEnd
	}
	e.ackedEnd = max(e.ackedEnd, seen)
}

func (e *Executor) workerState(h host.PollRequest) (host.WorkerState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkCall(h.Lifetime, h.Epoch); err != nil {
		return host.WorkerState{}, err
	}
	e.acknowledge(h.AckedEnd)
	e.leaseEnd = max(e.leaseEnd, h.LeaseEnd)
	e.ended = slices.DeleteFunc(e.ended, func(o host.Ended) bool { return o.Number <= h.AckedEnd })
	look := host.WorkerState{Lifetime: e.Lifetime.String(), Clock: e.clock(), Ended: slices.Clone(e.ended)}
	for name, t := range e.running {
		percent := int(100 * t.worked() / max(1, t.duration))
		look.Running = append(look.Running, host.Running{Task: name, Run: t.number, Percent: percent})
	}
	slices.SortFunc(look.Running, func(a, b host.Running) int { return strings.Compare(a.Task, b.Task) })
	return look, nil
}

func (e *Executor) start(ctx context.Context, s host.Start) error {
	if err := e.checkReachable(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkCall(s.Lifetime, s.Epoch); err != nil {
		return err
	}
	room, needs := e.Requirements(s.Task)
	if t, ok := e.running[s.Task]; ok && t.number == s.Run {
		return nil
	}
	used := workflow.Resources{}
	for _, t := range e.running {
		used = used.Plus(t.resources)
	}
	switch {
	case s.Run <= e.highestRun[s.Task]:
		return fmt.Errorf("standin.Executor: %w: run %d of %s", ErrOldRun, s.Run, s.Task)
	case s.LeaseEnd < e.clock():
		return fmt.Errorf("standin.Executor: %w: too late", host.ErrRefused)
	case !e.Resources.Minus(used).Fits(room):
		return fmt.Errorf("standin.Executor: %w: no room", host.ErrRefused)
	}
	e.leaseEnd = max(e.leaseEnd, s.LeaseEnd)
	e.running[s.Task] = &run{number: s.Run, resources: room, started: clock.Now(), duration: needs}
	if e.OnRunStarted != nil {
		e.OnRunStarted(s.Task, s.Run)
	}
	return nil
}

func (e *Executor) stop(ctx context.Context, s host.Stop) error {
	if err := e.checkReachable(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkCall(s.Lifetime, s.Epoch); err != nil {
		return err
	}
	e.highestRun[s.Task] = max(e.highestRun[s.Task], s.Run)
	if t, ok := e.running[s.Task]; ok && t.number <= s.Run {
		e.end(s.Task, t, host.Stopped, clock.Now())
	}
	return nil
}
