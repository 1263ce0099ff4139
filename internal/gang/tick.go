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

// TickInterval is how often an agent calls Tick. It must be well below
// Times.Margin, or else each call is taken for the end of a pause.
const TickInterval = 250 * time.Millisecond

// Tick does the periodic work: it ends expired records, renews the gangs that this
// agent leads, renews its tasks at the worker, collects the reports of its tasks
// and repeats the stops that the worker has not confirmed. It returns when all
// calls have returned.
func (a *Allocator) Tick(ctx context.Context) {
	now := a.lockAndExpire()
	if !a.recovered {
		a.mu.Unlock()
		a.stopOrphanedTasks(ctx)
		return
	}
	a.historiesFull(now)
	var wg sync.WaitGroup
	for _, r := range a.active {
		a.tickRecord(ctx, &wg, r, now)
	}
	started := a.startedRecords()
	a.mu.Unlock()
	wg.Go(func() { a.sendNotices(ctx) })
	if len(started) > 0 {
		wg.Go(func() { a.collectReports(ctx, started) })
	}
	wg.Wait()
	a.sendNotices(ctx)
}

// tickRecord starts the calls that are due for one record.
func (a *Allocator) tickRecord(ctx context.Context, wg *sync.WaitGroup, r *record, now time.Time) {
	if r.stopping {
		wg.Go(func() {
			if err := a.stop(ctx, r); err != nil {
				a.Log.Warn().Err(err).Str("job", r.attempt.GetJob()).Msg("Stopping the tasks of an attempt failed; retrying on the next tick.")
			}
		})
		return
	}
	if r.state != Running {
		return
	}
	if r.lead && !r.renewing && now.Sub(r.lastRenewal) >= a.Times.RenewInterval {
		r.renewing = true
		r.lastRenewal = now
		wg.Go(func() { a.renewGang(ctx, r) })
	}
	if r.tasksStarted && !r.tasksDone && r.deadline.After(r.workerDeadline) {
		r.workerDeadline = r.deadline
		wg.Go(func() { a.renewTasks(ctx, r) })
	}
}

// renewTasks extends the lease of the tasks at the worker.
func (a *Allocator) renewTasks(ctx context.Context, r *record) {
	ctx, cancel := context.WithTimeout(ctx, a.Times.CallTimeout)
	defer cancel()
	if r.workerLock.Acquire(ctx, 1) != nil {
		return
	}
	defer r.workerLock.Release(1)
	for i := range r.tasks {
		left := a.leaseForWorker(r)
		if left <= 0 {
			return
		}
		err := a.RenewTask(ctx, &sniperillv1.RenewTaskRequest{Task: r.taskName(i), Lease: durationpb.New(left)})
		if err != nil {
			a.Log.Warn().Err(err).Str("task", r.taskName(i)).Msg("Renewing a task's lease at the worker failed.")
			a.lockAndExpire()
			r.workerDeadline = time.Time{}
			a.mu.Unlock()
			return
		}
	}
}

// startedRecords returns the running records whose tasks the worker has accepted.
func (a *Allocator) startedRecords() []*record {
	var out []*record
	for _, r := range a.active {
		if r.state == Running && r.tasksStarted && !r.tasksDone {
			out = append(out, r)
		}
	}
	return out
}

// collectReports asks the worker for the state of its tasks and applies the reports
// to the records.
func (a *Allocator) collectReports(ctx context.Context, started []*record) {
	ctx, cancel := context.WithTimeout(ctx, a.Times.CallTimeout)
	defer cancel()
	resp, err := a.ListTasks(ctx, &sniperillv1.ListTasksRequest{})
	if err != nil {
		a.Log.Warn().Err(err).Msg("Listing the worker's tasks failed.")
		return
	}
	reports := map[string]*sniperillv1.TaskReport{}
	for _, t := range resp.GetTasks() {
		reports[t.GetTask()] = t
	}
	for _, r := range started {
		a.applyReports(ctx, r, reports)
	}
}

// applyReports applies the reports of one record's tasks. A task without a report
// counts as failed.
func (a *Allocator) applyReports(ctx context.Context, r *record, reports map[string]*sniperillv1.TaskReport) {
	now := a.lockAndExpire()
	defer a.mu.Unlock()
	for i := range r.tasks {
		task := r.taskName(i)
		report := reports[task]
		if r.state != Running || r.doneTasks[task] == Done {
			continue
		}
		switch TaskState(report.GetState()) {
		case Running:
			a.enforceLimits(ctx, r, i, report)
		case Done:
			r.doneTasks[task] = Done
			if i == 0 {
				r.answer = report.GetAnswer()
			}
		case Failed:
			a.end(r, Failed, report.GetFailure(), now)
		default:
			a.end(r, Failed, "worker lost the task", now)
		}
	}
	if r.state != Running || len(r.doneTasks) < r.tasks {
		return
	}
	r.tasksDone = true
	if !r.lead || r.othersDone() {
		a.end(r, Done, "", now)
	}
}

// enforceLimits throttles a task that uses more cores than declared. A task that
// uses more memory than declared fails, because throttling does not help there.
func (a *Allocator) enforceLimits(ctx context.Context, r *record, i int, report *sniperillv1.TaskReport) {
	task := r.taskName(i)
	declared := r.job.GetShape()
	if m := declared.GetMemoryBytes(); m > 0 && report.GetUsedMemoryBytes() > m {
		a.end(r, Failed, "task uses "+shop.Bytes(report.GetUsedMemoryBytes()).String()+", more memory than declared", a.Now())
		return
	}
	used := report.GetUsedCores()
	if used == 0 || used <= declared.GetCores() || r.throttled[task] {
		return
	}
	r.throttled[task] = true
	req := &sniperillv1.ThrottleTaskRequest{Task: task, Percent: max(1, 100*declared.GetCores()/used)}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Times.CallTimeout)
		defer cancel()
		if err := a.ThrottleTask(ctx, req); err != nil {
			a.Log.Warn().Err(err).Str("task", task).Msg("Throttling a task failed.")
		}
	}()
}

// workerStateKnown reports whether the agent knows what its worker runs. That is so
// once the tasks of earlier incarnations are stopped and no call of those can still
// arrive, or once the leases of those tasks have expired.
func (a *Allocator) workerStateKnown(now time.Time) bool {
	age := now.Sub(a.startedAt)
	return a.recovered && age >= a.Times.Margin || age >= a.Times.ExpireAfter()
}

// stopOrphanedTasks stops the tasks that earlier incarnations left on the worker.
// Their gangs can't continue, because they have lost a member. It is repeated for
// Times.Margin, as calls of an earlier incarnation may still arrive.
func (a *Allocator) stopOrphanedTasks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.Times.CallTimeout)
	defer cancel()
	resp, err := a.ListTasks(ctx, &sniperillv1.ListTasksRequest{})
	if err != nil {
		a.Log.Warn().Err(err).Msg("Listing the worker's tasks after a restart failed.")
		return
	}
	for _, t := range resp.GetTasks() {
		if TaskState(t.GetState()) != Running {
			continue
		}
		if err := a.StopTask(ctx, &sniperillv1.StopTaskRequest{Task: t.GetTask()}); err != nil {
			a.Log.Warn().Err(err).Str("task", t.GetTask()).Msg("Stopping a task of an earlier incarnation failed.")
			return
		}
	}
	now := a.lockAndExpire()
	defer a.mu.Unlock()
	a.recovered = now.Sub(a.startedAt) >= a.Times.Margin
	a.markChanged()
}

// Acknowledge removes the records of ended attempts of the named jobs. The histories
// keep the attempt numbers.
func (a *Allocator) Acknowledge(_ context.Context, req *sniperillv1.AcknowledgeRequest) (*sniperillv1.AcknowledgeResponse, error) {
	now := a.lockAndExpire()
	defer a.mu.Unlock()
	for _, job := range req.GetIds() {
		r := a.records[job]
		if r == nil || r.occupiesResources() {
			continue
		}
		a.history(job, now)
		delete(a.records, job)
		a.markChanged()
	}
	return &sniperillv1.AcknowledgeResponse{}, nil
}

// Answer returns the stored answer of a finished job that this agent led, or nil.
func (a *Allocator) Answer(job string) *sniperillv1.Answer {
	a.lockAndExpire()
	defer a.mu.Unlock()
	r := a.records[job]
	if r == nil || r.state != Done || !r.lead {
		return nil
	}
	return &sniperillv1.Answer{
		Id:      job,
		Attempt: r.attempt.GetNumber(),
		Outcome: string(shop.OutcomeDone),
		Body:    slices.Clone(r.answer),
		Length:  uint64(len(r.answer)),
		Agent:   strings.Clone(a.Name),
	}
}
