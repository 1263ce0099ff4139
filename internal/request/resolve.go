package request

import (
	"context"
	"math"

	"github.com/cenkalti/backoff/v5"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// ResolveOutcome finds out what became of an earlier call that was bound to one
// incarnation of an agent. The result is the call's answer, "not run" when the
// call has not run and now never will, or "may have run" when that cannot be
// determined.
func (r *Router) ResolveOutcome(ctx context.Context, team, id, agent string, incarnation uint64) (*sniperillv1.Answer, error) {
	r.once.Do(r.init)
	t := r.newRoute(Call{ID: id, Team: team})
	a := t.resolveOutcome(ctx, agent, incarnation)
	a = withAttempt(a, 0)
	a.Id = id
	return a, OutcomeError(a)
}

func (t *route) resolveOutcome(ctx context.Context, agent string, incarnation uint64) *sniperillv1.Answer {
	p, ok := t.snapshot.Load().find(agent)
	if !ok || p.Incarnation != incarnation {
		return NewMayHaveRun(t.id, 0, "agent "+agent+" is gone with its memory")
	}
	return t.determineOutcome(ctx, p, math.MaxUint32)
}

func (r *Router) newRoute(c Call) *route {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryInterval
	b.MaxInterval = maxRetryInterval
	b.RandomizationFactor = retryJitter
	return &route{Router: r, call: c, id: wireID(c.Team, c.ID), backoff: b}
}
