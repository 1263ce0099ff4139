package standin

import (
	"cmp"
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

// Executor stands in for one lifetime of a worker that a workflow agent calls. It runs tasks under a
// lease on its own clock, lists ended runs until they are acknowledged, and refuses old runs and old
// epochs. Set its fields before use.
type Executor struct {
	Lifetime  host.Lifetime
	Resources workflow.Resources
	// Requirements returns the resources and the run time of a task, given its name.
	Requirements func(task string) (workflow.Resources, time.Duration)
	// OwnWork, if set, returns how long a task's own work takes, which its progress tells. A gang's member runs
	// until the slowest one ends.
	OwnWork func(task string, runTime time.Duration) time.Duration
	// OnRunStarted is called for each run that starts.
	OnRunStarted func(task string, run int)
	// OnStart, if set, is called within each call that starts a run.
	OnStart func(context.Context, host.Start)
	// OnRunEnded is called for each run that ends, with the time for which it actually ran.
	OnRunEnded func(ExecutorSpan)
	// MaxLease is the longest lease that it takes; a longer one is shortened. Zero means no limit.
	MaxLease time.Duration
	// MaxEnded is the number of ended runs that it lists at a time; zero means no limit.
	MaxEnded int
	// CutsSilently makes its answers look complete also if they leave out ended runs.
	CutsSilently bool
	// Checkpoint is what each running task gives as its checkpoint.
	Checkpoint string
	// StopTime, if set, returns how long it takes to end a run that was stopped or whose lease has lapsed. The
	// run goes on until then.
	StopTime func() time.Duration
	// ColdFactor is how many times longer work takes while the executor is cold; zero means 1.
	ColdFactor float64
	// Gangs, if set, are the gangs whose members it runs. Without them, it runs each member by itself.
	Gangs *Gangs
	// ClockSlowdown is the factor by which the executor's clock is slower than real time; zero means 1.
	ClockSlowdown float64

	mu          sync.Mutex
	started     clock.Instant
	epoch       int64
	leaseEnd    time.Duration // On the executor's clock.
	coldUntil   clock.Instant
	running     map[runName]*run
	highestRun  map[string]int  // The highest run that ended or was stopped, by task.
	ended       []host.Ended    // Not acknowledged yet.
	lastEnd     uint64          // The number of the last run that ended.
	ackedEnd    uint64          // Ended runs up to this number were acknowledged.
	ackedInTime map[uint64]bool // Whether an ended run was acknowledged in time, by its number.
	lapsedEnd   uint64          // Ended runs up to this number had ended when the lease lapsed.
	down        bool
	silent      bool
	cutOff      bool
	failing     bool
}

// ExecutorSpan is a period in which an executor actually ran a task.
type ExecutorSpan struct {
	Lifetime host.Lifetime
	Task     string
	Run      int
	Number   uint64 // As in host.Ended; zero if the executor crashed or the run has not ended.
	From, To clock.Instant
	End      host.End // Zero if the run has not ended; then To is now.
}

// runName names a run. A worker that is told to may run two of one task at once.
type runName struct {
	task   string
	number int
}

// run is a running task.
type run struct {
	resources workflow.Resources
	started   clock.Instant
	work      workload
	gang      *gangMember   // Nil for a run that works by itself.
	hungSince clock.Instant // Zero if the run isn't hanging.
	stopEnd   clock.Instant // When it will have been stopped; zero if it isn't being stopped.
	stopAs    host.End      // How it ends then.
}

// worked returns how much of its work the run has done.
func (r *run) worked() time.Duration {
	switch {
	case r.hungSince != 0:
		return r.work.done(r.started, r.hungSince)
	case r.gang != nil:
		return r.gang.worked()
	}
	return r.work.done(r.started, clock.Now())
}

// finished returns how the run ends by itself, and when. A time to come may still change.
func (r *run) finished(now clock.Instant) (host.End, clock.Instant) {
	switch {
	case r.hungSince != 0:
		return host.Done, now + 1
	case r.gang != nil:
		return r.gang.finished(now)
	}
	return host.Done, r.work.end(r.started)
}

// workload is the work of a run on an executor.
type workload struct {
	warm       time.Duration // What it takes on the executor once that is warm.
	coldUntil  clock.Instant
	coldFactor float64
}

// end returns when the work that began at an instant is done.
func (w workload) end(began clock.Instant) clock.Instant {
	cold := w.coldUntil.Sub(began)
	switch {
	case cold <= 0:
		return began.Add(w.warm)
	case float64(w.warm)*w.coldFactor <= float64(cold):
		return began.Add(time.Duration(float64(w.warm) * w.coldFactor))
	}
	return began.Add(cold + w.warm - time.Duration(float64(cold)/w.coldFactor))
}

// done returns how much of the work is done at an instant, given when it began.
func (w workload) done(began, now clock.Instant) time.Duration {
	took := now.Sub(began)
	cold := min(took, max(0, w.coldUntil.Sub(began)))
	if cold <= 0 {
		return took
	}
	return took - cold + time.Duration(float64(cold)/w.coldFactor)
}

// Worker returns the calls to the executor.
func (e *Executor) Worker() host.Worker {
	return host.Worker{Poll: e.poll, Start: e.start, Stop: e.stop}
}

// Heartbeat returns a heartbeat of the executor.
func (e *Executor) Heartbeat(service, rack string, sequence int64) host.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	return host.Heartbeat{
		Lifetime: e.Lifetime, Sequence: sequence, ColdRemaining: max(0, e.coldUntil.Sub(clock.Now())),
		Worker: workflow.Worker{Service: service, Rack: rack, Labels: []string{rack}, Resources: e.Resources},
	}
}

// TurnCold makes the executor slow for a while, for the runs that start from now on.
func (e *Executor) TurnCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = clock.Now().Add(d)
}

// Crash ends the executor's lifetime. From then on no call reaches it.
func (e *Executor) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	for name, r := range e.running {
		e.report(name, r, 0, host.Lapsed, clock.Now())
	}
	e.down = true
	e.running = nil
}

// AckedInTime reports whether an ended run was acknowledged before the executor's lease lapsed. A
// later acknowledgement doesn't count, as the task may run elsewhere by then.
func (e *Executor) AckedInTime(number uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return number != 0 && e.ackedInTime[number]
}

// Silence makes the executor stop answering while it keeps running tasks, or answer again.
func (e *Executor) Silence(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

// CutOff makes connections to the executor fail while it keeps running tasks, or work again.
func (e *Executor) CutOff(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutOff = cut
}

// FailAll sets whether runs fail when their run time is over.
func (e *Executor) FailAll(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// Hang makes all running tasks stop making progress, or continue.
func (e *Executor) Hang(hanging bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	now := clock.Now()
	for _, r := range e.running {
		if hanging && r.hungSince == 0 {
			r.hungSince = now
		}
		if !hanging && r.hungSince != 0 {
			r.started, r.hungSince = r.started.Add(now.Sub(r.hungSince)), 0
		}
	}
}

// Running returns the names of the running tasks.
func (e *Executor) Running() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	var out []string
	for name := range e.running {
		out = append(out, name.task)
	}
	slices.Sort(out)
	return out
}

// runningSpans returns the runs that have not ended.
func (e *Executor) runningSpans() []ExecutorSpan {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	var out []ExecutorSpan
	for name, r := range e.running {
		out = append(out, ExecutorSpan{Lifetime: e.Lifetime, Task: name.task, Run: name.number, From: r.started, To: clock.Now()})
	}
	return out
}

// Clock returns the time on the executor's clock.
func (e *Executor) Clock() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock()
}

// clock returns the time on the executor's clock. The first call starts the executor. The caller
// holds the lock.
func (e *Executor) clock() time.Duration {
	if e.started == 0 {
		e.started = clock.Now().Add(-time.Second)
		e.running = make(map[runName]*run)
		e.highestRun = make(map[string]int)
	}
	d := clock.Since(e.started)
	if e.ClockSlowdown > 0 {
		d = time.Duration(float64(d) / e.ClockSlowdown)
	}
	return d
}

// advance ends the runs that have finished, have been stopped, or whose lease has lapsed, as of the time
// when that happened. The caller holds the lock.
func (e *Executor) advance() {
	e.clock() // Sets started on the first call.
	now := clock.Now()
	lapse := e.lapse()
	defer func() {
		if lapse < now {
			e.lapsedEnd = e.lastEnd
		}
	}()
	for name, r := range e.running {
		as, done := r.finished(now)
		if lapse < now && lapse < done {
			e.stopRun(r, lapse, host.Lapsed)
		}
		stopped := r.stopEnd != 0 && (r.stopEnd <= done || r.stopAs == host.Lapsed)
		switch {
		case stopped && r.stopEnd <= now:
			e.end(name, r, r.stopAs, r.stopEnd)
		case stopped || done > now:
		case e.failing && as == host.Done:
			e.end(name, r, host.Failed, done)
		default:
			e.end(name, r, as, done)
		}
	}
}

// stopRun begins to stop a run unless it is being stopped. The caller holds the lock.
func (e *Executor) stopRun(r *run, at clock.Instant, as host.End) {
	if r.stopEnd != 0 {
		return
	}
	r.stopEnd, r.stopAs = at, as
	if e.StopTime != nil {
		r.stopEnd = at.Add(e.StopTime())
	}
	r.gang.leave(r.stopEnd)
}

// end ends a run and lists it until it is acknowledged. The caller holds the lock.
func (e *Executor) end(name runName, r *run, end host.End, at clock.Instant) {
	delete(e.running, name)
	e.highestRun[name.task] = max(e.highestRun[name.task], name.number)
	e.lastEnd++
	e.ended = append(e.ended, host.Ended{Number: e.lastEnd, Task: name.task, Run: name.number, End: end})
	e.report(name, r, e.lastEnd, end, at)
}

func (e *Executor) report(name runName, r *run, number uint64, end host.End, at clock.Instant) {
	r.gang.leave(at)
	if e.OnRunEnded != nil {
		e.OnRunEnded(ExecutorSpan{e.Lifetime, name.task, name.number, number, r.started, at, end})
	}
}

// checkCall checks a call's lifetime and epoch, and takes over a higher epoch. The caller holds the
// lock.
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

// ErrOldRun is returned for a start if the same run of the task or a later one has ended on the executor.
var ErrOldRun = errors.New("old run")

// errUnreachable is returned for calls after a crash.
var errUnreachable = fmt.Errorf("standin.Executor: connection refused: %w", host.ErrNotListening)

// checkReachable returns an error if the executor has crashed. If it is silenced, it blocks until
// ctx is done.
func (e *Executor) checkReachable(ctx context.Context) error {
	e.mu.Lock()
	down, silent := e.down || e.cutOff, e.silent
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

func (e *Executor) poll(ctx context.Context, request host.PollRequest) (host.WorkerState, error) {
	deadline := time.NewTimer(request.Wait)
	defer deadline.Stop()
	const pollInterval = 10 * time.Millisecond // The maximum delay until an ended run is reported.
	for {
		if err := e.checkReachable(ctx); err != nil {
			return host.WorkerState{}, err
		}
		if state, answered, err := e.workerState(request); answered {
			return state, err
		}
		select {
		case <-deadline.C:
			request.Wait = 0
		case <-ctx.Done():
			return host.WorkerState{}, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// extendLease extends the lease, at most by the longest one. The caller holds the lock.
func (e *Executor) extendLease(end time.Duration) {
	if e.MaxLease > 0 {
		end = min(end, e.clock()+e.MaxLease)
	}
	e.leaseEnd = max(e.leaseEnd, end)
	for _, r := range e.running {
		r.gang.extendLease(e.lapse())
	}
}

// lapse returns when the lease ends. The caller holds the lock.
func (e *Executor) lapse() clock.Instant {
	return e.started.Add(time.Duration(float64(e.leaseEnd) * max(1, e.ClockSlowdown)))
}

// acknowledge records that ended runs up to a number have been acknowledged. The caller holds the
// lock.
func (e *Executor) acknowledge(number uint64) {
	if e.ackedInTime == nil {
		e.ackedInTime = make(map[uint64]bool)
	}
	for n := e.ackedEnd + 1; n <= number; n++ {
		e.ackedInTime[n] = n > e.lapsedEnd
	}
	e.ackedEnd = max(e.ackedEnd, number)
}

// workerState handles a poll and returns the current state, unless the poll waits and no run has ended.
func (e *Executor) workerState(request host.PollRequest) (state host.WorkerState, answered bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkCall(request.Lifetime, request.Epoch); err != nil {
		return host.WorkerState{}, true, err
	}
	e.acknowledge(request.AckedEnd)
	e.extendLease(request.LeaseEnd)
	e.ended = slices.DeleteFunc(e.ended, func(o host.Ended) bool { return o.Number <= request.AckedEnd })
	if len(e.ended) == 0 && request.Wait > 0 {
		return host.WorkerState{}, false, nil
	}
	state = host.WorkerState{Lifetime: e.Lifetime.String(), Clock: e.clock(), Ended: slices.Clone(e.ended)}
	if e.MaxEnded > 0 && len(state.Ended) >= e.MaxEnded {
		state.Ended, state.MoreEnded = state.Ended[:e.MaxEnded], !e.CutsSilently
	}
	for name, r := range e.running {
		work := r.work.warm
		if e.OwnWork != nil {
			work = e.OwnWork(name.task, work)
		}
		percent := int(min(100, 100*r.worked()/max(1, work)))
		state.Running = append(state.Running, host.Running{Task: name.task, Run: name.number, Checkpoint: e.Checkpoint, Percent: percent})
	}
	slices.SortFunc(state.Running, func(a, b host.Running) int { return cmp.Or(strings.Compare(a.Task, b.Task), a.Run-b.Run) })
	return state, true, nil
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
	resources, duration := e.Requirements(s.Task)
	name := runName{s.Task, s.Run}
	if _, ok := e.running[name]; ok {
		return nil
	}
	used := workflow.Resources{}
	for _, r := range e.running {
		used = used.Plus(r.resources)
	}
	switch {
	case s.Run <= e.highestRun[s.Task]:
		return fmt.Errorf("standin.Executor: %w: run %d of %s", ErrOldRun, s.Run, s.Task)
	case s.LeaseEnd < e.clock():
		return fmt.Errorf("standin.Executor: %w: too late", host.ErrRefused)
	case !e.Resources.Minus(used).Fits(resources):
		return fmt.Errorf("standin.Executor: %w: no room", host.ErrRefused)
	}
	e.extendLease(s.LeaseEnd)
	r := &run{resources: resources, started: clock.Now(), work: workload{duration, e.coldUntil, max(1, e.ColdFactor)}}
	r.gang = e.Gangs.join(name, r, e.lapse())
	e.running[name] = r
	if e.OnStart != nil {
		e.OnStart(ctx, s)
	}
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
	for name, r := range e.running {
		if name.task == s.Task && name.number <= s.Run {
			e.stopRun(r, clock.Now(), host.Stopped)
		}
	}
	e.advance() // Ends those that stop at once.
	return nil
}
