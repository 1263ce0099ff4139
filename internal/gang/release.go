package gang

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// maxReleaseTries bounds how often the lead asks one member to start.
const maxReleaseTries = 3

// Release starts a prepared attempt. On the lead it first makes sure that every
// member is prepared, then starts them all. A repeat gets the same answer.
func (l *Allocator) Release(ctx context.Context, req *sniperillv1.ReleaseRequest) (*sniperillv1.ReleaseResponse, error) {
	l.lockAndExpire()
	r := l.find(req.GetAttempt())
	l.mu.Unlock()
	if r == nil {
		return &sniperillv1.ReleaseResponse{Reason: reasonUnknown}, nil
	}
	if err := r.releaseLock.Acquire(ctx, 1); err != nil {
		return nil, fmt.Errorf("gang.Ledger.Release: %w", err)
	}
	defer r.releaseLock.Release(1)
	now := l.lockAndExpire()
	state, lead, confirmed := r.state, r.lead, r.confirmed
	doubtful := now.Before(l.distrustRenewalsUntil)
	l.mu.Unlock()
	switch {
	case state == Running || state == Done:
		return &sniperillv1.ReleaseResponse{Released: true}, nil
	case state != Prepared:
		return &sniperillv1.ReleaseResponse{Reason: "attempt is " + string(state)}, nil
	case lead:
		return l.releaseGang(context.WithoutCancel(ctx), r), nil
	case doubtful:
		return &sniperillv1.ReleaseResponse{Reason: reasonPause}, nil
	case !confirmed:
		return &sniperillv1.ReleaseResponse{Reason: "not confirmed by the lead"}, nil
	}
	return l.releaseSelf(context.WithoutCancel(ctx), r, req.GetLease().AsDuration()), nil
}

// releaseGang is the lead's part: confirm all, release all, start its own.
func (l *Allocator) releaseGang(ctx context.Context, r *record) *sniperillv1.ReleaseResponse {
	l.lockAndExpire()
	sent := l.Now()
	l.mu.Unlock()
	if reason := l.confirmPrepared(ctx, r); reason != "" {
		return &sniperillv1.ReleaseResponse{Reason: reason}
	}
	if !l.markRunning(r, sent, sent.Add(l.Times.Lease)) {
		return &sniperillv1.ReleaseResponse{Reason: "prepared task expired"}
	}
	reason := l.releaseMembers(ctx, r, sent.Add(l.Times.Lease))
	if reason == "" {
		reason = l.startTasks(ctx, r)
	}
	return l.releaseResponse(ctx, r, reason)
}

// releaseResponse answers a release, after ending the attempt if it failed.
func (l *Allocator) releaseResponse(ctx context.Context, r *record, reason string) *sniperillv1.ReleaseResponse {
	if reason == "" {
		return &sniperillv1.ReleaseResponse{Released: true}
	}
	if err := l.abandon(ctx, r, reason); err != nil {
		l.Log.Warn().Err(err).Str("job", r.attempt.GetJob()).Msg("Stop goes on.")
	}
	return &sniperillv1.ReleaseResponse{Reason: reason}
}

// releaseSelf is a member's part.
func (l *Allocator) releaseSelf(ctx context.Context, r *record, lease time.Duration) *sniperillv1.ReleaseResponse {
	now := l.lockAndExpire()
	l.mu.Unlock()
	if !l.markRunning(r, now, now.Add(min(lease, l.Times.Lease))) {
		return &sniperillv1.ReleaseResponse{Reason: "prepared task expired"}
	}
	return l.releaseResponse(ctx, r, l.startTasks(ctx, r))
}

// otherMembers returns the members without this agent.
func (l *Allocator) otherMembers(r *record) []*sniperillv1.Member {
	return slices.DeleteFunc(slices.Clone(r.members), func(m *sniperillv1.Member) bool {
		return m.GetAgent() == l.Name
	})
}

// confirmPrepared asks every other member whether it is prepared, and has it wait for
// its release a lease longer. Nothing runs yet.
func (l *Allocator) confirmPrepared(ctx context.Context, r *record) string {
	req := &sniperillv1.RenewRequest{Attempt: r.attempt, Lease: durationpb.New(l.Times.Lease)}
	return l.forEachOther(ctx, r, func(ctx context.Context, m *sniperillv1.Member) string {
		resp, err := l.renewMember(ctx, m, req)
		if err != nil {
			return err.Error()
		}
		if !resp.GetRenewed() || resp.GetState() != string(Prepared) {
			return "not prepared: " + resp.GetReason()
		}
		return ""
	})
}

// releaseMembers has every other member start, within the lease that all share.
func (l *Allocator) releaseMembers(ctx context.Context, r *record, end time.Time) string {
	return l.forEachOther(ctx, r, func(ctx context.Context, m *sniperillv1.Member) string {
		reason := ""
		for range maxReleaseTries {
			left := end.Sub(l.Now())
			if left <= 0 {
				return reasonLapsed
			}
			req := &sniperillv1.ReleaseRequest{Attempt: r.attempt, Lease: durationpb.New(left)}
			resp, err := l.releaseMember(ctx, m, req)
			if err == nil && resp.GetReleased() {
				return ""
			}
			if err == nil {
				return "not released: " + resp.GetReason()
			}
			reason = err.Error()
		}
		return reason
	})
}

func (l *Allocator) releaseMember(ctx context.Context, m *sniperillv1.Member, req *sniperillv1.ReleaseRequest) (*sniperillv1.ReleaseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, l.Times.CallTimeout)
	defer cancel()
	return l.ReleaseMember(ctx, m, req)
}

// forEachOther calls f for all other members at the same time and returns the first
// reason that is not empty, with the member's name.
func (l *Allocator) forEachOther(ctx context.Context, r *record, f func(context.Context, *sniperillv1.Member) string) string {
	others := l.otherMembers(r)
	reasons := make([]string, len(others))
	var all sync.WaitGroup
	for i, m := range others {
		all.Go(func() {
			reasons[i] = f(ctx, m)
		})
	}
	all.Wait()
	for i, reason := range reasons {
		if reason != "" {
			return others[i].GetAgent() + ": " + reason
		}
	}
	return ""
}

// markRunning moves a prepared record to running under a lease, if its time is not over.
// The members were all seen at full.
func (l *Allocator) markRunning(r *record, full, deadline time.Time) bool {
	now := l.lockAndExpire()
	defer l.mu.Unlock()
	if r.state != Prepared || !now.Before(deadline) {
		return false
	}
	r.state = Running
	r.started = now
	r.deadline = deadline
	r.lastRenewal = now
	r.renewals = map[string]renewal{}
	for _, m := range l.otherMembers(r) {
		r.renewals[m.GetAgent()] = renewal{sent: full}
	}
	h := l.history(r.attempt.GetJob(), now)
	h.highestRan = max(h.highestRan, r.attempt.GetNumber())
	l.markChanged()
	return true
}

// startTasks has the worker start the tasks, each under what is left of the lease.
func (l *Allocator) startTasks(ctx context.Context, r *record) string {
	if err := r.workerLock.Acquire(ctx, 1); err != nil {
		return err.Error()
	}
	defer r.workerLock.Release(1)
	for i := range r.tasks {
		left := l.leaseForWorker(r)
		if left <= 0 {
			return reasonLapsed
		}
		err := l.startTask(ctx, &sniperillv1.StartTaskRequest{
			Task:         r.taskName(i),
			Job:          r.job,
			Attempt:      r.attempt.GetNumber(),
			Accelerators: uint64(r.taskMask(i)),
			Lease:        durationpb.New(left),
			Checkpoint:   r.checkpoint,
		})
		if err != nil {
			return "start failed: " + err.Error()
		}
	}
	l.lockAndExpire()
	defer l.mu.Unlock()
	r.tasksStarted = true
	return ""
}

func (l *Allocator) startTask(ctx context.Context, req *sniperillv1.StartTaskRequest) error {
	ctx, cancel := context.WithTimeout(ctx, l.Times.CallTimeout)
	defer cancel()
	return l.StartTask(ctx, req)
}

// leaseForWorker checks the lease right before an effect on the worker and notes how
// long that effect may last. It returns what is left, zero when it is over.
func (l *Allocator) leaseForWorker(r *record) time.Duration {
	now := l.lockAndExpire()
	defer l.mu.Unlock()
	if r.state != Running {
		return 0
	}
	left := r.deadline.Sub(now)
	r.startSent = true
	r.workerLeaseEnd = now.Add(left + l.Times.Margin)
	return left
}
