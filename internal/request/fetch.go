package request

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// maxConcurrentFetches is how many agents are asked for an answer at once.
const maxConcurrentFetches = 8

// Fetch returns the answer to an earlier call of a team, whichever entry it came
// through. Agents are asked in the order in which calls of that id are routed.
//
// The error wraps shop.ErrNotFound when every known agent answered and none
// knows the call, and shop.ErrUnavailable when some did not answer, or the call
// still runs at the end of the wait.
func (r *Router) Fetch(ctx context.Context, team, id string, wait time.Duration) (*sniperillv1.Answer, error) {
	r.once.Do(r.init)
	wire := wireID(team, id)
	peers := r.snapshot.Load().ranked(wire)
	silent := false
	for start := 0; start < len(peers); start += maxConcurrentFetches {
		batch := peers[start:min(start+maxConcurrentFetches, len(peers))]
		a, unknown := r.fetchFrom(ctx, batch, wire, wait)
		if a != nil {
			a = withAttempt(a, a.GetAttempt())
			a.Id = id
			return a, OutcomeError(a)
		}
		silent = silent || unknown
	}
	if silent {
		return nil, fmt.Errorf("request.Fetch: %s: %w", id, shop.ErrUnavailable)
	}
	return nil, fmt.Errorf("request.Fetch: %s: %w", id, shop.ErrNotFound)
}

// fetchFrom asks some agents at once. An answer of a run goes before any other.
func (r *Router) fetchFrom(ctx context.Context, peers []*peer, id string, wait time.Duration) (*sniperillv1.Answer, bool) {
	answers := make([]*sniperillv1.Answer, len(peers))
	unknown := make([]bool, len(peers))
	group, ctx := errgroup.WithContext(ctx)
	for i, p := range peers {
		group.Go(func() error {
			a, running, err := r.fetch(ctx, p, id, ^uint32(0), wait)
			unknown[i] = running || err != nil
			if err == nil {
				answers[i] = a
			}
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
	var best *sniperillv1.Answer
	silent := false
	for i, a := range answers {
		silent = silent || unknown[i]
		if a.GetOutcome() == string(shop.OutcomeDone) {
			return a, false
		}
		if a != nil && a.GetOutcome() != string(shop.OutcomeNotRun) {
			best = a
		}
	}
	return best, silent
}

// Acknowledge lets an agent forget the answer to a team's call.
func (r *Router) Acknowledge(ctx context.Context, team, id, agent string) error {
	r.once.Do(r.init)
	p, ok := r.snapshot.Load().find(agent)
	if !ok {
		return nil
	}
	req := &sniperillv1.AcknowledgeRequest{Ids: []string{wireID(team, id)}}
	if _, err := r.Transport.Acknowledge(ctx, p.Address, req); err != nil {
		return fmt.Errorf("request.Acknowledge: %w", err)
	}
	return nil
}
