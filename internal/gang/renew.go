package gang

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Renew extends the gang lease of a member. Asked of a prepared member it
// confirms that it waits for its release. A lease of zero only asks for the state.
func (l *Allocator) Renew(_ context.Context, req *sniperillv1.RenewRequest) (*sniperillv1.RenewResponse, error) {
	now := l.lockAndExpire()
	defer l.mu.Unlock()
	r := l.find(req.GetAttempt())
	if r == nil {
		return &sniperillv1.RenewResponse{Reason: reasonUnknown}, nil
	}
	resp := &sniperillv1.RenewResponse{State: string(r.state), Reason: r.reason}
	lease := min(req.GetLease().AsDuration(), l.Times.Lease)
	if lease <= 0 || r.lead {
		return resp, nil
	}
	resp.Renewed = r.state == Prepared || r.state == Running || r.state == Done
	if now.Before(l.distrustRenewalsUntil) && r.state != Done {
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

func (l *Allocator) renewMember(ctx context.Context, m *sniperillv1.Member, req *sniperillv1.RenewRequest) (*sniperillv1.RenewResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, l.Times.CallTimeout)
	defer cancel()
	return l.RenewMember(ctx, m, req)
}

// lastAllRunning returns when all members that have not finished were last known to run.
func (r *record) lastAllRunning(now time.Time) time.Time {
	full := now
	for _, m := range r.renewals {
		if !m.done && m.sent.Before(full) {
			full = m.sent
		}
	}
	return full
}

// othersDone says whether every other member has finished.
func (r *record) othersDone() bool {
	for _, m := range r.renewals {
		if !m.done {
			return false
		}
	}
	return true
}

// renewGang is one round of the lead. Every member gets what is left of a lease
// that began when the whole gang was last known to run, so that one silent
// member ends the lease of all at the same time.
func (l *Allocator) renewGang(ctx context.Context, r *record) {
	sent := l.lockAndExpire()
	left := r.lastAllRunning(sent).Add(l.Times.Lease).Sub(sent)
	running := r.state == Running
	l.mu.Unlock()
	if !running || left <= 0 {
		return
	}
	req := &sniperillv1.RenewRequest{Attempt: r.attempt, Lease: durationpb.New(left)}
	l.forEachOther(ctx, r, func(ctx context.Context, m *sniperillv1.Member) string {
		resp, err := l.renewMember(ctx, m, req)
		if err != nil {
			return err.Error()
		}
		l.applyRenewal(r, m, resp, sent)
		return ""
	})
	now := l.lockAndExpire()
	defer l.mu.Unlock()
	r.renewing = false
	if r.state != Running {
		return
	}
	r.deadline = r.lastAllRunning(now).Add(l.Times.Lease)
	if r.tasksDone && r.othersDone() {
		l.end(r, Done, "", now)
	}
}

// applyRenewal takes in a member's answer to a renewal.
func (l *Allocator) applyRenewal(r *record, m *sniperillv1.Member, resp *sniperillv1.RenewResponse, sent time.Time) {
	now := l.lockAndExpire()
	defer l.mu.Unlock()
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
		l.end(r, state, m.GetAgent()+": "+resp.GetReason(), now)
	case state != Running:
		l.end(r, Failed, m.GetAgent()+" lost the attempt", now)
	}
}
