package gang

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Abandon ends an attempt on this agent and refuses it from then on. It returns
// without an error only once no task of the attempt runs on the worker. The lead
// also notifies the other members, which then stop.
func (a *Allocator) Abandon(ctx context.Context, req *sniperillv1.AbandonRequest) (*sniperillv1.AbandonResponse, error) {
	now := a.lockAndExpire()
	if !a.workerStateKnown(now) {
		a.mu.Unlock()
		return nil, fmt.Errorf("gang.Ledger.Abandon: %w", ErrRecovering)
	}
	r := a.find(req.GetAttempt())
	never := a.neverRan(req.GetAttempt())
	h := a.history(req.GetAttempt().GetJob(), now)
	h.highestClosed = max(h.highestClosed, req.GetAttempt().GetNumber())
	if r == nil {
		older := a.olderUnreleased(req.GetAttempt())
		if older != nil {
			a.drop(older, "a newer attempt was abandoned", now)
		}
		a.mu.Unlock()
		return &sniperillv1.AbandonResponse{NeverRan: never}, nil
	}
	if r.state == Held || r.state == Prepared {
		// In the same critical section as neverRan, so that no release comes between.
		a.drop(r, req.GetReason(), now)
	}
	if !r.lead {
		r.membersNotified = true // Whoever abandons a single member notifies the others.
	}
	a.mu.Unlock()
	if err := a.abandon(ctx, r, req.GetReason()); err != nil {
		return nil, fmt.Errorf("gang.Ledger.Abandon: %w", err)
	}
	return &sniperillv1.AbandonResponse{NeverRan: never}, nil
}

// olderUnreleased returns the record of an earlier attempt of the same job if it is
// held or prepared, otherwise nil.
func (a *Allocator) olderUnreleased(attempt *sniperillv1.Attempt) *record {
	r := a.records[attempt.GetJob()]
	if r == nil || r.attempt.GetNumber() > attempt.GetNumber() {
		return nil
	}
	if r.state != Held && r.state != Prepared {
		return nil
	}
	return r
}

// abandon ends a record of this agent and stops its tasks.
func (a *Allocator) abandon(ctx context.Context, r *record, reason string) error {
	if reason == ReasonPreempted {
		return a.preempt(ctx, r, a.Times.MaxGrace)
	}
	now := a.lockAndExpire()
	if r.state == Held || r.state == Prepared {
		a.drop(r, reason, now)
	}
	a.end(r, Stopped, reason, now)
	a.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { a.sendNotices(ctx) })
	defer wg.Wait()
	return a.stop(ctx, r)
}

// Preempt checkpoints the tasks of an attempt within a grace time, then stops them,
// and has the other members of the gang do the same.
func (a *Allocator) Preempt(ctx context.Context, req *sniperillv1.PreemptRequest) (*sniperillv1.PreemptResponse, error) {
	now := a.lockAndExpire()
	stateKnown := a.workerStateKnown(now)
	r := a.find(req.GetAttempt())
	a.mu.Unlock()
	if !stateKnown {
		return nil, fmt.Errorf("gang.Ledger.Preempt: %w", ErrRecovering)
	}
	if r == nil {
		return &sniperillv1.PreemptResponse{Stopped: true}, nil
	}
	grace := min(req.GetGrace().AsDuration(), a.Times.Lease)
	if err := a.preempt(ctx, r, grace); err != nil {
		return nil, fmt.Errorf("gang.Ledger.Preempt: %w", err)
	}
	a.lockAndExpire()
	defer a.mu.Unlock()
	return &sniperillv1.PreemptResponse{Stopped: true, Checkpoint: r.checkpoint}, nil
}

var preempted = metrics.NewCounter("sniperill_gang_preempted_total")

// preempt checkpoints and stops the tasks of one record.
func (a *Allocator) preempt(ctx context.Context, r *record, grace time.Duration) error {
	now := a.lockAndExpire()
	if r.state == Held || r.state == Prepared {
		a.drop(r, ReasonPreempted, now)
	}
	running := r.state == Running
	if running {
		a.queueNotices(r, ReasonPreempted)
	}
	a.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { a.sendNotices(ctx) })
	defer wg.Wait()
	if running {
		preempted.Inc()
		a.checkpoint(ctx, r, grace)
	}
	now = a.lockAndExpire()
	a.end(r, Preempted, ReasonPreempted, now)
	a.mu.Unlock()
	return a.stop(ctx, r)
}

// checkpoint has the worker checkpoint each task and keeps the checkpoint of the
// first one.
func (a *Allocator) checkpoint(ctx context.Context, r *record, grace time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	if r.workerLock.Acquire(ctx, 1) != nil {
		return
	}
	defer r.workerLock.Release(1)
	for i := range r.tasks {
		resp, err := a.CheckpointTask(ctx, &sniperillv1.CheckpointTaskRequest{Task: r.taskName(i)})
		if err != nil {
			a.Log.Warn().Err(err).Str("task", r.taskName(i)).Msg("Checkpointing a task failed.")
			return
		}
		if i > 0 {
			continue
		}
		a.lockAndExpire()
		r.checkpoint = resp.GetCheckpoint()
		a.mu.Unlock()
	}
}

// stop has the worker stop the tasks of an ended record. It returns ErrStopping if
// the worker does not confirm that and the worker's lease has not expired.
func (a *Allocator) stop(ctx context.Context, r *record) error {
	ctx = context.WithoutCancel(ctx)
	if err := r.workerLock.Acquire(ctx, 1); err != nil {
		return fmt.Errorf("%w: %w", ErrStopping, err)
	}
	defer r.workerLock.Release(1)
	now := a.lockAndExpire()
	stopping := r.stopping
	if stopping && !now.Before(r.workerLeaseEnd) {
		a.free(r)
		stopping = false
	}
	a.mu.Unlock()
	if !stopping {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, a.Times.CallTimeout)
	defer cancel()
	for i := range r.tasks {
		err := a.StopTask(ctx, &sniperillv1.StopTaskRequest{Task: r.taskName(i)})
		if err != nil {
			return fmt.Errorf("%w: %w", ErrStopping, err)
		}
	}
	a.lockAndExpire()
	defer a.mu.Unlock()
	a.free(r)
	return nil
}

// sendNotices sends the queued notices once. A member that does not get its notice
// stops when its lease expires; a lead learns of the end from its next renewal.
func (a *Allocator) sendNotices(ctx context.Context) {
	a.lockAndExpire()
	notices := a.notices
	a.notices = nil
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.Times.CallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, n := range notices {
		wg.Go(func() {
			_, err := a.AbandonMember(ctx, n.member, n.AbandonRequest)
			if err != nil {
				a.Log.Debug().Err(err).Str("member", n.member.GetAgent()).Msg("Notifying a member of an ended attempt failed.")
			}
		})
	}
	wg.Wait()
}
