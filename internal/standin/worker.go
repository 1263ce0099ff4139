package standin

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// States of a task as a worker reports them.
const (
	TaskRunning = "running"
	TaskDone    = "done"
	TaskFailed  = "failed"
	TaskStopped = "stopped"
)

// Errors of the worker stand-in.
var (
	errTaskKnown   = errors.New("task was started before")
	errTaskUnknown = errors.New("no such task")
	errTaskEnded   = errors.New("task has ended")
	errBroken      = errors.New("worker fails everything")
	errBusy        = errors.New("accelerator is in use")
)

// noSpan marks a task that never ran.
const noSpan = -1

// Span is a period in which a task actually ran.
type Span struct {
	Job          string
	Attempt      uint32
	Task         string
	Accelerators uint64
	From, To     time.Time
	// End is the task's final state; empty while it runs.
	End string
}

// SpanList lists what a worker actually ran.
type SpanList []Span

// ForJob returns the spans of a job.
func (l SpanList) ForJob(job string) SpanList {
	var out SpanList
	for _, s := range l {
		if s.Job == job {
			out = append(out, s)
		}
	}
	return out
}

// Worker stands in for a worker of the platform. It runs tasks under leases and records what it
// actually ran. A task runs for its job's declared run time, or the one that RunTime returns, minus
// the work in its checkpoint.
type Worker struct {
	Name string
	// RunTime returns the run time of a job; if nil, it is the declared one.
	RunTime func(*sniperillv1.Job) time.Duration
	// TimeScale divides the declared run time; zero means 1.
	TimeScale float64
	// UsageLag is the age of the usage in a report.
	UsageLag time.Duration

	mu     sync.Mutex
	tasks  map[string]*task
	spans  SpanList
	broken bool
	down   bool
}

type task struct {
	request *sniperillv1.StartTaskRequest
	state   string
	failure string
	answer  []byte
	started time.Time
	// priorWork is the work done in earlier attempts.
	priorWork  time.Duration
	spanIndex  int
	endTimer   *time.Timer
	leaseTimer *time.Timer
}

// Handler serves WorkerService.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(sniperillv1connect.NewWorkerServiceHandler(w))
	return mux
}

// SetBroken makes every task fail as soon as it starts.
func (w *Worker) SetBroken(broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = broken
}

// Crash stops and forgets all tasks. The worker refuses calls until Restart.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.finish(t, TaskStopped, "worker crashed")
	}
	w.tasks = nil
	w.down = true
}

// Restart makes a crashed worker accept calls again.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = false
}

// Spans returns what actually ran so far.
func (w *Worker) Spans() SpanList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.spans)
}

// StartTask starts a task, which runs until its work is done, it is stopped or its lease ends.
func (w *Worker) StartTask(_ context.Context, r *connect.Request[sniperillv1.StartTaskRequest]) (*connect.Response[sniperillv1.StartTaskResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.admit(r.Msg); err != nil {
		return nil, err
	}
	t := &task{request: r.Msg, state: TaskRunning, started: time.Now(), priorWork: parseCheckpoint(r.Msg.Checkpoint)}
	w.remember(r.Msg.Task, t)
	t.spanIndex = len(w.spans)
	w.spans = append(w.spans, Span{
		Job: r.Msg.Job.GetId(), Attempt: r.Msg.Attempt, Task: r.Msg.Task,
		Accelerators: r.Msg.Accelerators, From: t.started,
	})
	if w.broken {
		w.finish(t, TaskFailed, errBroken.Error())
		return connect.NewResponse(&sniperillv1.StartTaskResponse{}), nil
	}
	t.endTimer = time.AfterFunc(max(0, w.runTime(r.Msg.Job)-t.priorWork), func() { w.expire(t, TaskDone, "") })
	t.leaseTimer = time.AfterFunc(r.Msg.Lease.AsDuration(), func() { w.expire(t, TaskStopped, "lease ended") })
	return connect.NewResponse(&sniperillv1.StartTaskResponse{}), nil
}

func (w *Worker) remember(name string, t *task) {
	if w.tasks == nil {
		w.tasks = make(map[string]*task)
	}
	w.tasks[name] = t
}

func (w *Worker) admit(r *sniperillv1.StartTaskRequest) error {
	if w.down {
		return connect.NewError(connect.CodeUnavailable, errTaskUnknown)
	}
	if _, ok := w.tasks[r.Task]; ok {
		return connect.NewError(connect.CodeAlreadyExists, errTaskKnown)
	}
	for _, t := range w.tasks {
		if t.state == TaskRunning && t.request.Accelerators&r.Accelerators != 0 {
			return connect.NewError(connect.CodeFailedPrecondition, errBusy)
		}
	}
	return nil
}

// StopTask stops a task. A task that has ended keeps its state. A task that was never started is
// recorded as stopped, so that a late start is refused.
func (w *Worker) StopTask(_ context.Context, r *connect.Request[sniperillv1.StopTaskRequest]) (*connect.Response[sniperillv1.StopTaskResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, connect.NewError(connect.CodeUnavailable, errTaskUnknown)
	}
	t, ok := w.tasks[r.Msg.Task]
	if !ok {
		w.remember(r.Msg.Task, &task{state: TaskStopped, spanIndex: noSpan})
		return connect.NewResponse(&sniperillv1.StopTaskResponse{}), nil
	}
	w.finish(t, TaskStopped, "stopped")
	return connect.NewResponse(&sniperillv1.StopTaskResponse{}), nil
}

// CheckpointTask returns the work done so far, from which a later attempt can continue.
func (w *Worker) CheckpointTask(_ context.Context, r *connect.Request[sniperillv1.CheckpointTaskRequest]) (*connect.Response[sniperillv1.CheckpointTaskResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := w.find(r.Msg.Task)
	if err != nil {
		return nil, err
	}
	done := t.priorWork
	if t.state == TaskRunning {
		done += time.Since(t.started)
	}
	return connect.NewResponse(&sniperillv1.CheckpointTaskResponse{Checkpoint: []byte(done.String())}), nil
}

// ThrottleTask accepts the request but has no effect on the task.
func (w *Worker) ThrottleTask(_ context.Context, r *connect.Request[sniperillv1.ThrottleTaskRequest]) (*connect.Response[sniperillv1.ThrottleTaskResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.find(r.Msg.Task); err != nil {
		return nil, err
	}
	return connect.NewResponse(&sniperillv1.ThrottleTaskResponse{}), nil
}

// RenewTask extends the lease of a running task.
func (w *Worker) RenewTask(_ context.Context, r *connect.Request[sniperillv1.RenewTaskRequest]) (*connect.Response[sniperillv1.RenewTaskResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, err := w.find(r.Msg.Task)
	if err != nil {
		return nil, err
	}
	if t.state != TaskRunning {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errTaskEnded)
	}
	t.leaseTimer.Reset(r.Msg.Lease.AsDuration())
	return connect.NewResponse(&sniperillv1.RenewTaskResponse{}), nil
}

// ListTasks reports all known tasks, with their usage as of UsageLag ago.
func (w *Worker) ListTasks(context.Context, *connect.Request[sniperillv1.ListTasksRequest]) (*connect.Response[sniperillv1.ListTasksResponse], error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, connect.NewError(connect.CodeUnavailable, errTaskUnknown)
	}
	out := &sniperillv1.ListTasksResponse{}
	for name, t := range w.tasks {
		out.Tasks = append(out.Tasks, w.report(name, t))
	}
	slices.SortFunc(out.Tasks, func(a, b *sniperillv1.TaskReport) int { return cmp.Compare(a.Task, b.Task) })
	return connect.NewResponse(out), nil
}

func (w *Worker) report(name string, t *task) *sniperillv1.TaskReport {
	r := &sniperillv1.TaskReport{Task: name, State: t.state, Answer: t.answer, Failure: t.failure}
	if t.state == TaskRunning && time.Since(t.started) >= w.UsageLag {
		r.UsedCores = t.request.Job.GetShape().GetCores()
		r.UsedMemoryBytes = t.request.Job.GetShape().GetMemoryBytes()
	}
	return r
}

func (w *Worker) find(name string) (*task, error) {
	if w.down {
		return nil, connect.NewError(connect.CodeUnavailable, errTaskUnknown)
	}
	t, ok := w.tasks[name]
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errTaskUnknown)
	}
	return t, nil
}

func (w *Worker) expire(t *task, state, failure string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(t, state, failure)
}

func (w *Worker) finish(t *task, state, failure string) {
	if t.state != TaskRunning {
		return
	}
	t.state = state
	t.failure = failure
	if state == TaskDone {
		t.answer = []byte("done " + t.request.Task)
	}
	if t.endTimer != nil {
		t.endTimer.Stop()
		t.leaseTimer.Stop()
	}
	w.spans[t.spanIndex].To = time.Now()
	w.spans[t.spanIndex].End = state
}

func (w *Worker) runTime(j *sniperillv1.Job) time.Duration {
	if w.RunTime != nil {
		return w.RunTime(j)
	}
	d := j.GetRunTime().AsDuration()
	if w.TimeScale > 0 {
		d = time.Duration(float64(d) / w.TimeScale)
	}
	return d
}

func parseCheckpoint(data []byte) time.Duration {
	d, err := time.ParseDuration(string(data))
	if err != nil {
		return 0
	}
	return d
}
