package gang

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Abandon ends an attempt here and refuses it from now on. It returns without an
// error only once no task of the attempt runs on the worker. On the lead it
// stops the other members, too.
func (l *Allocator) Abandon(ctx context.Context, req *sniperillv1.AbandonRequest) (*sniperillv1.AbandonResponse, error) {
	now := l.lockAndExpire()
	if !l.workerStateKnown(now) {
		l.mu.Unlock()
		return nil, fmt.Errorf("gang.Ledger.Abandon: %w", ErrRecovering)
	}
	r := l.find(req.GetAttempt())
	never := l.neverRan(req.GetAttempt())
	h := l.history(req.GetAttempt().GetJob(), now)
	h.highestClosed = max(h.highestClosed, req.GetAttempt().GetNumber())
	if r == nil {
		older := l.olderUnreleased(req.GetAttempt())
		if older != nil {
			l.drop(older, "a newer attempt was abandoned", now)
		}
		l.mu.Unlock()
		return &sniperillv1.AbandonResponse{NeverRan: never}, nil
	}
	if r.state == Held || r.state == Prepared {
		// In the same critical section as the answer, so that no release gets between.
		l.drop(r, req.GetReason(), now)
	}
	if !r.lead {
		r.membersNotified = true // Whoever abandons a member sees to the others.
	}
	l.mu.Unlock()
	if err := l.abandon(ctx, r, req.GetReason()); err != nil {
		return nil, fmt.Errorf("gang.Ledger.Abandon: %w", err)
	}
	return &sniperillv1.AbandonResponse{NeverRan: never}, nil
}

// olderUnreleased returns a record of an earlier attempt that has not been released.
func (l *Allocator) olderUnreleased(a *sniperillv1.Attempt) *record {
	r := l.records[a.GetJob()]
	if r == nil || r.attempt.GetNumber() > a.GetNumber() {
		return nil
	}
	if r.state != Held && r.state != Prepared {
		return nil
	}
	return r
}

// abandon ends a record of this agent and stops its tasks.
func (l *Allocator) abandon(ctx context.Context, r *record, reason string) error {
	if reason == ReasonPreempted {
		return l.preempt(ctx, r, l.Times.MaxGrace)
	}
	now := l.lockAndExpire()
	if r.state == Held || r.state == Prepared {
		l.drop(r, reason, now)
	}
	l.end(r, Stopped, reason, now)
	l.mu.Unlock()
	var all sync.WaitGroup
	all.Go(func() { l.sendNotices(ctx) })
	defer all.Wait()
	return l.stop(ctx, r)
}

// Preempt checkpoints a task within a grace time, then stops it, and has the
// rest of its gang do the same.
func (l *Allocator) Preempt(ctx context.Context, req *sniperillv1.PreemptRequest) (*sniperillv1.PreemptResponse, error) {
	now := l.lockAndExpire()
	known := l.workerStateKnown(now)
	r := l.find(req.GetAttempt())
	l.mu.Unlock()
	if !known {
		return nil, fmt.Errorf("gang.Ledger.Preempt: %w", ErrRecovering)
	}
	if r == nil {
		return &sniperillv1.PreemptResponse{Stopped: true}, nil
	}
	grace := min(req.GetGrace().AsDuration(), l.Times.Lease)
	if err := l.preempt(ctx, r, grace); err != nil {
		return nil, fmt.Errorf("gang.Ledger.Preempt: %w", err)
	}
	l.lockAndExpire()
	defer l.mu.Unlock()
	return &sniperillv1.PreemptResponse{Stopped: true, Checkpoint: r.checkpoint}, nil
}

var preempted = metrics.NewCounter("sniperill_gang_preempted_total")

// preempt checkpoints and stops one record.
func (l *Allocator) preempt(ctx context.Context, r *record, grace time.Duration) error {
	now := l.lockAndExpire()
	if r.state == Held || r.state == Prepared {
		l.drop(r, ReasonPreempted, now)
	}
	running := r.state == Running
	if running {
		l.queueNotices(r, ReasonPreempted)
	}
	l.mu.Unlock()
	var all sync.WaitGroup
	all.Go(func() { l.sendNotices(ctx) })
	defer all.Wait()
	if running {
		preempted.Inc()
		l.checkpoint(ctx, r, grace)
	}
	now = l.lockAndExpire()
	l.end(r, Preempted, ReasonPreempted, now)
	l.mu.Unlock()
	return l.stop(ctx, r)
}

// checkpoint asks the worker for the state of each task and keeps the first.
func (l *Allocator) checkpoint(ctx context.Context, r *record, grace time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	if r.workerLock.Acquire(ctx, 1) != nil {
		return
	}
	defer r.workerLock.Release(1)
	for i := range r.tasks {
		resp, err := l.CheckpointTask(ctx, &sniperillv1.CheckpointTaskRequest{Task: r.taskName(i)})
		if err != nil {
			l.Log.Warn().Err(err).Str("task", r.taskName(i)).Msg("Checkpoint failed.")
			return
		}
		if i > 0 {
			continue
		}
		l.lockAndExpire()
		r.checkpoint = resp.GetCheckpoint()
		l.mu.Unlock()
	}
}

// stop has the worker stop the tasks of an ended record. It returns ErrStopping
// while the worker has not confirmed it and its own lease has not run out.
func (l *Allocator) stop(ctx context.Context, r *record) error {
	ctx = context.WithoutCancel(ctx)
	if err := r.workerLock.Acquire(ctx, 1); err != nil {
		return fmt.Errorf("%w: %w", ErrStopping, err)
	}
	defer r.workerLock.Release(1)
	now := l.lockAndExpire()
	stopping := r.stopping
	if stopping && !now.Before(r.workerLeaseEnd) {
		l.free(r)
		stopping = false
	}
	l.mu.Unlock()
	if !stopping {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.Times.CallTimeout)
	defer cancel()
	for i := range r.tasks {
		err := l.StopTask(ctx, &sniperillv1.StopTaskRequest{Task: r.taskName(i)})
		if err != nil {
			return fmt.Errorf("%w: %w", ErrStopping, err)
		}
	}
	l.lockAndExpire()
	defer l.mu.Unlock()
	l.free(r)
	return nil
}

// sendNotices tells other members what ended here, once: a member that is not
// reached stops by its lease, and a lead learns it from the next renewal.
func (l *Allocator) sendNotices(ctx context.Context) {
	l.lockAndExpire()
	notices := l.notices
	l.notices = nil
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.Times.CallTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, n := range notices {
		all.Go(func() {
			_, err := l.AbandonMember(ctx, n.member, n.AbandonRequest)
			if err != nil {
				l.Log.Debug().Err(err).Str("member", n.member.GetAgent()).Msg("Notice failed.")
			}
		})
	}
	all.Wait()
}
