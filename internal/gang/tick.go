package gang

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// TickInterval is how often an agent calls Tick. It has to be well below
// Times.Margin, or each call looks like the end of a pause.
const TickInterval = 250 * time.Millisecond

// Tick does what is due: it ends what has expired, renews the gangs this agent
// leads, renews its tasks at the worker, collects the ended ones and repeats the
// stops that the worker has not confirmed. It returns when the calls have ended.
func (l *Allocator) Tick(ctx context.Context) {
	now := l.lockAndExpire()
	if !l.recovered {
		l.mu.Unlock()
		l.stopOrphanedTasks(ctx)
		return
	}
	l.historiesFull(now)
	var all sync.WaitGroup
	for _, r := range l.active {
		l.tickRecord(ctx, &all, r, now)
	}
	begun := l.startedRecords()
	l.mu.Unlock()
	all.Go(func() { l.sendNotices(ctx) })
	if len(begun) > 0 {
		all.Go(func() { l.collectReports(ctx, begun) })
	}
	all.Wait()
	l.sendNotices(ctx)
}

// tickRecord begins the calls that one record needs.
func (l *Allocator) tickRecord(ctx context.Context, all *sync.WaitGroup, r *record, now time.Time) {
	if r.stopping {
		all.Go(func() {
			if err := l.stop(ctx, r); err != nil {
				l.Log.Warn().Err(err).Str("job", r.attempt.GetJob()).Msg("Stop failed.")
			}
		})
		return
	}
	if r.state != Running {
		return
	}
	if r.lead && !r.renewing && now.Sub(r.lastRenewal) >= l.Times.RenewInterval {
		r.renewing = true
		r.lastRenewal = now
		all.Go(func() { l.renewGang(ctx, r) })
	}
	if r.tasksStarted && !r.tasksDone && r.deadline.After(r.workerDeadline) {
		r.workerDeadline = r.deadline
		all.Go(func() { l.renewTasks(ctx, r) })
	}
}

// renewTasks extends the lease of the tasks at the worker.
func (l *Allocator) renewTasks(ctx context.Context, r *record) {
	ctx, cancel := context.WithTimeout(ctx, l.Times.CallTimeout)
	defer cancel()
	if r.workerLock.Acquire(ctx, 1) != nil {
		return
	}
	defer r.workerLock.Release(1)
	for i := range r.tasks {
		left := l.leaseForWorker(r)
		if left <= 0 {
			return
		}
		err := l.RenewTask(ctx, &sniperillv1.RenewTaskRequest{Task: r.taskName(i), Lease: durationpb.New(left)})
		if err != nil {
			l.Log.Warn().Err(err).Str("task", r.taskName(i)).Msg("Renewal at the worker failed.")
			l.lockAndExpire()
			r.workerDeadline = time.Time{}
			l.mu.Unlock()
			return
		}
	}
}

// startedRecords returns the running records whose tasks the worker has accepted.
func (l *Allocator) startedRecords() []*record {
	var out []*record
	for _, r := range l.active {
		if r.state == Running && r.tasksStarted && !r.tasksDone {
			out = append(out, r)
		}
	}
	return out
}

// collectReports asks the worker for its tasks and takes in the ends.
func (l *Allocator) collectReports(ctx context.Context, begun []*record) {
	ctx, cancel := context.WithTimeout(ctx, l.Times.CallTimeout)
	defer cancel()
	resp, err := l.ListTasks(ctx, &sniperillv1.ListTasksRequest{})
	if err != nil {
		l.Log.Warn().Err(err).Msg("Worker gives no reports.")
		return
	}
	reports := map[string]*sniperillv1.TaskReport{}
	for _, t := range resp.GetTasks() {
		reports[t.GetTask()] = t
	}
	for _, r := range begun {
		l.applyReports(ctx, r, reports)
	}
}

// applyReports takes in the reports of one record's tasks.
func (l *Allocator) applyReports(ctx context.Context, r *record, reports map[string]*sniperillv1.TaskReport) {
	now := l.lockAndExpire()
	defer l.mu.Unlock()
	for i := range r.tasks {
		task := r.taskName(i)
		report := reports[task]
		if r.state != Running || r.finalStates[task] == Done {
			continue
		}
		switch TaskState(report.GetState()) {
		case Running:
			l.enforceLimits(ctx, r, i, report)
		case Done:
			r.finalStates[task] = Done
			if i == 0 {
				r.answer = report.GetAnswer()
			}
		case Failed:
			l.end(r, Failed, report.GetFailure(), now)
		default:
			l.end(r, Failed, "worker lost the task", now)
		}
	}
	if r.state != Running || len(r.finalStates) < r.tasks {
		return
	}
	r.tasksDone = true
	if !r.lead || r.othersDone() {
		l.end(r, Done, "", now)
	}
}

// enforceLimits throttles a task that takes more cores than declared, and fails one
// that takes more memory, which can't be slowed down.
func (l *Allocator) enforceLimits(ctx context.Context, r *record, i int, report *sniperillv1.TaskReport) {
	task := r.taskName(i)
	declared := r.job.GetShape()
	if m := declared.GetMemoryBytes(); m > 0 && report.GetUsedMemoryBytes() > m {
		l.end(r, Failed, "task uses "+shop.Bytes(report.GetUsedMemoryBytes()).String()+", more memory than declared", l.Now())
		return
	}
	used := report.GetUsedCores()
	if used == 0 || used <= declared.GetCores() || r.throttled[task] {
		return
	}
	r.throttled[task] = true
	req := &sniperillv1.ThrottleTaskRequest{Task: task, Percent: max(1, 100*declared.GetCores()/used)}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.Times.CallTimeout)
		defer cancel()
		if err := l.ThrottleTask(ctx, req); err != nil {
			l.Log.Warn().Err(err).Str("task", task).Msg("Throttle failed.")
		}
	}()
}

// workerStateKnown says whether the agent knows what its worker runs: once the tasks
// of an earlier incarnation are stopped and none of its calls can still arrive,
// or once their leases are over.
func (l *Allocator) workerStateKnown(now time.Time) bool {
	age := now.Sub(l.startedAt)
	return l.recovered && age >= l.Times.Margin || age >= l.Times.ExpireAfter()
}

// stopOrphanedTasks stops the tasks that an earlier incarnation left on the worker: their
// gangs have lost a member.
func (l *Allocator) stopOrphanedTasks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.Times.CallTimeout)
	defer cancel()
	resp, err := l.ListTasks(ctx, &sniperillv1.ListTasksRequest{})
	if err != nil {
		l.Log.Warn().Err(err).Msg("Worker gives no reports.")
		return
	}
	for _, t := range resp.GetTasks() {
		if TaskState(t.GetState()) != Running {
			continue
		}
		if err := l.StopTask(ctx, &sniperillv1.StopTaskRequest{Task: t.GetTask()}); err != nil {
			l.Log.Warn().Err(err).Str("task", t.GetTask()).Msg("Stop failed.")
			return
		}
	}
	now := l.lockAndExpire()
	defer l.mu.Unlock()
	l.recovered = now.Sub(l.startedAt) >= l.Times.Margin
	l.markChanged()
}

// Acknowledge forgets ended attempts of the named jobs. Their numbers stay known.
func (l *Allocator) Acknowledge(_ context.Context, req *sniperillv1.AcknowledgeRequest) (*sniperillv1.AcknowledgeResponse, error) {
	now := l.lockAndExpire()
	defer l.mu.Unlock()
	for _, job := range req.GetIds() {
		r := l.records[job]
		if r == nil || r.occupiesResources() {
			continue
		}
		l.history(job, now)
		delete(l.records, job)
		l.markChanged()
	}
	return &sniperillv1.AcknowledgeResponse{}, nil
}

// Answer returns the kept answer of a job that this agent led, or nil.
func (l *Allocator) Answer(job string) *sniperillv1.Answer {
	l.lockAndExpire()
	defer l.mu.Unlock()
	r := l.records[job]
	if r == nil || r.state != Done || !r.lead {
		return nil
	}
	return &sniperillv1.Answer{
		Id:      job,
		Attempt: r.attempt.GetNumber(),
		Outcome: string(shop.OutcomeDone),
		Body:    slices.Clone(r.answer),
		Length:  uint64(len(r.answer)),
		Agent:   strings.Clone(l.Name),
	}
}
