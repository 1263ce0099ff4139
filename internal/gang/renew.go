package gang

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Renew extends the gang lease of a member. A prepared member thereby learns that
// the lead has confirmed it, and waits longer for its release. With a lease of zero,
// Renew only returns the state.
func (a *Allocator) Renew(_ context.Context, req *sniperillv1.RenewRequest) (*sniperillv1.RenewResponse, error) {
	now := a.lockAndExpire()
	defer a.mu.Unlock()
	r := a.find(req.GetAttempt())
	if r == nil {
		return &sniperillv1.RenewResponse{Reason: reasonUnknown}, nil
	}
	resp := &sniperillv1.RenewResponse{State: string(r.state), Reason: r.reason}
	lease := min(req.GetLease().AsDuration(), a.Times.Lease)
	if lease <= 0 || r.lead {
		return resp, nil
	}
	resp.Renewed = r.state == Prepared || r.state == Running || r.state == Done
	if now.Before(a.distrustRenewalsUntil) && r.state != Done {
		resp.Renewed, resp.Reason = false, reasonPause
	}
	if !resp.GetRenewed() {
		return resp, nil
	}
	r.confirmed = true
	if end := now.Add(lease); end.After(r.deadline) {
		r.deadline = end
	}
	return resp, nil
}

func (a *Allocator) renewMember(ctx context.Context, m *sniperillv1.Member, req *sniperillv1.RenewRequest) (*sniperillv1.RenewResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Times.CallTimeout)
	defer cancel()
	return a.RenewMember(ctx, m, req)
}

// lastAllRunning returns when all members whose tasks are not done were last known
// to run.
func (r *record) lastAllRunning(now time.Time) time.Time {
	earliest := now
	for _, m := range r.renewals {
		if !m.done && m.sent.Before(earliest) {
			earliest = m.sent
		}
	}
	return earliest
}

// othersDone reports whether the tasks of every other member are done.
func (r *record) othersDone() bool {
	for _, m := range r.renewals {
		if !m.done {
			return false
		}
	}
	return true
}

// renewGang runs one renewal round on the lead. Every member gets the remaining time
// of a lease that began when all members were last known to run. If one member does
// not answer, the lease of all members therefore ends at the same time.
func (a *Allocator) renewGang(ctx context.Context, r *record) {
	sent := a.lockAndExpire()
	left := r.lastAllRunning(sent).Add(a.Times.Lease).Sub(sent)
	running := r.state == Running
	a.mu.Unlock()
	if !running || left <= 0 {
		return
	}
	req := &sniperillv1.RenewRequest{Attempt: r.attempt, Lease: durationpb.New(left)}
	a.forEachOther(ctx, r, func(ctx context.Context, m *sniperillv1.Member) string {
		resp, err := a.renewMember(ctx, m, req)
		if err != nil {
			return err.Error()
		}
		a.applyRenewal(r, m, resp, sent)
		return ""
	})
	now := a.lockAndExpire()
	defer a.mu.Unlock()
	r.renewing = false
	if r.state != Running {
		return
	}
	r.deadline = r.lastAllRunning(now).Add(a.Times.Lease)
	if r.tasksDone && r.othersDone() {
		a.end(r, Done, "", now)
	}
}

// applyRenewal records a member's response to a renewal that was sent at the given
// time, and ends the attempt if the member no longer runs it.
func (a *Allocator) applyRenewal(r *record, m *sniperillv1.Member, resp *sniperillv1.RenewResponse, sent time.Time) {
	now := a.lockAndExpire()
	defer a.mu.Unlock()
	if r.state != Running {
		return
	}
	state := TaskState(resp.GetState())
	switch {
	case resp.GetRenewed() && state == Running:
		r.renewals[m.GetAgent()] = renewal{sent: sent}
	case resp.GetRenewed() && state == Done:
		r.renewals[m.GetAgent()] = renewal{sent: sent, done: true}
	case state.Final():
		a.end(r, state, m.GetAgent()+": "+resp.GetReason(), now)
	case state != Running:
		a.end(r, Failed, m.GetAgent()+" lost the attempt", now)
	}
}
