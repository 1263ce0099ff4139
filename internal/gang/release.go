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

// maxReleaseTries limits how often the lead asks one member to start.
const maxReleaseTries = 3

// Release starts a prepared attempt. On the lead it first confirms that every
// member is prepared, then starts them all. It is idempotent: a repeated request
// gets the same response.
func (a *Allocator) Release(ctx context.Context, req *sniperillv1.ReleaseRequest) (*sniperillv1.ReleaseResponse, error) {
	a.lockAndExpire()
	r := a.find(req.GetAttempt())
	a.mu.Unlock()
	if r == nil {
		return &sniperillv1.ReleaseResponse{Reason: reasonUnknown}, nil
	}
	if err := r.releaseLock.Acquire(ctx, 1); err != nil {
		return nil, fmt.Errorf("gang.Ledger.Release: %w", err)
	}
	defer r.releaseLock.Release(1)
	now := a.lockAndExpire()
	state, lead, confirmed := r.state, r.lead, r.confirmed
	afterPause := now.Before(a.distrustRenewalsUntil)
	a.mu.Unlock()
	switch {
	case state == Running || state == Done:
		return &sniperillv1.ReleaseResponse{Released: true}, nil
	case state != Prepared:
		return &sniperillv1.ReleaseResponse{Reason: "attempt is " + string(state)}, nil
	case lead:
		return a.releaseGang(context.WithoutCancel(ctx), r), nil
	case afterPause:
		return &sniperillv1.ReleaseResponse{Reason: reasonPause}, nil
	case !confirmed:
		return &sniperillv1.ReleaseResponse{Reason: "not confirmed by the lead"}, nil
	}
	return a.releaseSelf(context.WithoutCancel(ctx), r, req.GetLease().AsDuration()), nil
}

// releaseGang releases the gang on the lead: it confirms that all members are
// prepared, releases them and starts its own tasks.
func (a *Allocator) releaseGang(ctx context.Context, r *record) *sniperillv1.ReleaseResponse {
	a.lockAndExpire()
	sent := a.Now()
	a.mu.Unlock()
	if reason := a.confirmPrepared(ctx, r); reason != "" {
		return &sniperillv1.ReleaseResponse{Reason: reason}
	}
	if !a.markRunning(r, sent, sent.Add(a.Times.Lease)) {
		return &sniperillv1.ReleaseResponse{Reason: "prepared task expired"}
	}
	reason := a.releaseMembers(ctx, r, sent.Add(a.Times.Lease))
	if reason == "" {
		reason = a.startTasks(ctx, r)
	}
	return a.releaseResponse(ctx, r, reason)
}

// releaseResponse returns the response to a release. If the release failed for the
// given reason, it first abandons the attempt.
func (a *Allocator) releaseResponse(ctx context.Context, r *record, reason string) *sniperillv1.ReleaseResponse {
	if reason == "" {
		return &sniperillv1.ReleaseResponse{Released: true}
	}
	if err := a.abandon(ctx, r, reason); err != nil {
		a.Log.Warn().Err(err).Str("job", r.attempt.GetJob()).Msg("Tasks not stopped yet; retrying on the next tick.")
	}
	return &sniperillv1.ReleaseResponse{Reason: reason}
}

// releaseSelf starts the tasks of a member other than the lead.
func (a *Allocator) releaseSelf(ctx context.Context, r *record, lease time.Duration) *sniperillv1.ReleaseResponse {
	now := a.lockAndExpire()
	a.mu.Unlock()
	if !a.markRunning(r, now, now.Add(min(lease, a.Times.Lease))) {
		return &sniperillv1.ReleaseResponse{Reason: "prepared task expired"}
	}
	return a.releaseResponse(ctx, r, a.startTasks(ctx, r))
}

// otherMembers returns all members of the gang except this agent.
func (a *Allocator) otherMembers(r *record) []*sniperillv1.Member {
	return slices.DeleteFunc(slices.Clone(r.members), func(m *sniperillv1.Member) bool {
		return m.GetAgent() == a.Name
	})
}

// confirmPrepared checks that every other member is prepared and extends by a lease
// the time that it waits for its release. No task runs yet. It returns the reason
// for a failure, or an empty string.
func (a *Allocator) confirmPrepared(ctx context.Context, r *record) string {
	req := &sniperillv1.RenewRequest{Attempt: r.attempt, Lease: durationpb.New(a.Times.Lease)}
	return a.forEachOther(ctx, r, func(ctx context.Context, m *sniperillv1.Member) string {
		resp, err := a.renewMember(ctx, m, req)
		if err != nil {
			return err.Error()
		}
		if !resp.GetRenewed() || resp.GetState() != string(Prepared) {
			return "not prepared: " + resp.GetReason()
		}
		return ""
	})
}

// releaseMembers asks every other member to start, within the gang lease. It
// returns the reason for a failure, or an empty string.
func (a *Allocator) releaseMembers(ctx context.Context, r *record, end time.Time) string {
	return a.forEachOther(ctx, r, func(ctx context.Context, m *sniperillv1.Member) string {
		reason := ""
		for range maxReleaseTries {
			left := end.Sub(a.Now())
			if left <= 0 {
				return reasonLeaseEnded
			}
			req := &sniperillv1.ReleaseRequest{Attempt: r.attempt, Lease: durationpb.New(left)}
			resp, err := a.releaseMember(ctx, m, req)
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

func (a *Allocator) releaseMember(ctx context.Context, m *sniperillv1.Member, req *sniperillv1.ReleaseRequest) (*sniperillv1.ReleaseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Times.CallTimeout)
	defer cancel()
	return a.ReleaseMember(ctx, m, req)
}

// forEachOther calls f concurrently for all other members. It returns the first
// reason that is not empty, in the order of members, prefixed with the member's name.
func (a *Allocator) forEachOther(ctx context.Context, r *record, f func(context.Context, *sniperillv1.Member) string) string {
	others := a.otherMembers(r)
	reasons := make([]string, len(others))
	var wg sync.WaitGroup
	for i, m := range others {
		wg.Go(func() {
			reasons[i] = f(ctx, m)
		})
	}
	wg.Wait()
	for i, reason := range reasons {
		if reason != "" {
			return others[i].GetAgent() + ": " + reason
		}
	}
	return ""
}

// markRunning moves a prepared record to Running under a lease, and reports whether
// it did: not if the record has expired or the deadline has passed. preparedAt is
// when all members were last known to be prepared; it counts as their first renewal.
func (a *Allocator) markRunning(r *record, preparedAt, deadline time.Time) bool {
	now := a.lockAndExpire()
	defer a.mu.Unlock()
	if r.state != Prepared || !now.Before(deadline) {
		return false
	}
	r.state = Running
	r.started = now
	r.deadline = deadline
	r.lastRenewal = now
	r.renewals = map[string]renewal{}
	for _, m := range a.otherMembers(r) {
		r.renewals[m.GetAgent()] = renewal{sent: preparedAt}
	}
	h := a.history(r.attempt.GetJob(), now)
	h.highestRan = max(h.highestRan, r.attempt.GetNumber())
	a.markChanged()
	return true
}

// startTasks has the worker start the tasks, each under the remaining time of the
// gang lease. It returns the reason for a failure, or an empty string.
func (a *Allocator) startTasks(ctx context.Context, r *record) string {
	if err := r.workerLock.Acquire(ctx, 1); err != nil {
		return err.Error()
	}
	defer r.workerLock.Release(1)
	for i := range r.tasks {
		left := a.leaseForWorker(r)
		if left <= 0 {
			return reasonLeaseEnded
		}
		err := a.startTask(ctx, &sniperillv1.StartTaskRequest{
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
	a.lockAndExpire()
	defer a.mu.Unlock()
	r.tasksStarted = true
	return ""
}

func (a *Allocator) startTask(ctx context.Context, req *sniperillv1.StartTaskRequest) error {
	ctx, cancel := context.WithTimeout(ctx, a.Times.CallTimeout)
	defer cancel()
	return a.StartTask(ctx, req)
}

// leaseForWorker returns the remaining time of the gang lease, to be granted to the
// worker, and sets workerLeaseEnd to match. It must be called right before each call
// that starts or renews a task. It returns zero if the record is not running; the
// caller must not call the worker then.
func (a *Allocator) leaseForWorker(r *record) time.Duration {
	now := a.lockAndExpire()
	defer a.mu.Unlock()
	if r.state != Running {
		return 0
	}
	left := r.deadline.Sub(now)
	r.startSent = true
	r.workerLeaseEnd = now.Add(left + a.Times.Margin)
	return left
}
