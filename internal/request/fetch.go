package request

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// maxConcurrentFetches is the number of agents asked for an answer at the same time.
const maxConcurrentFetches = 8

// Fetch returns the answer to an earlier call of a team, whichever entry routed
// it. Agents are asked in the order in which calls with that id are routed.
//
// The error wraps shop.ErrNotFound when every known agent replied and none
// knows the call, and shop.ErrUnavailable when some did not reply or the call
// was still running at the end of the wait.
func (r *Router) Fetch(ctx context.Context, team, id string, wait time.Duration) (*sniperillv1.Answer, error) {
	r.once.Do(r.init)
	wire := wireID(team, id)
	peers := r.snapshot.Load().ranked(wire)
	incomplete := false
	for start := 0; start < len(peers); start += maxConcurrentFetches {
		batch := peers[start:min(start+maxConcurrentFetches, len(peers))]
		a, batchIncomplete := r.fetchFrom(ctx, batch, wire, wait)
		if a != nil {
			a = withAttempt(a, a.GetAttempt())
			a.Id = id
			return a, OutcomeError(a)
		}
		incomplete = incomplete || batchIncomplete
	}
	if incomplete {
		return nil, fmt.Errorf("request.Fetch: %s: %w", id, shop.ErrUnavailable)
	}
	return nil, fmt.Errorf("request.Fetch: %s: %w", id, shop.ErrNotFound)
}

// fetchFrom asks some agents concurrently. An answer of a request that ran takes
// precedence over any other. Without one, the bool reports whether some agent did
// not reply or still runs the request.
func (r *Router) fetchFrom(ctx context.Context, peers []*peer, id string, wait time.Duration) (*sniperillv1.Answer, bool) {
	answers := make([]*sniperillv1.Answer, len(peers))
	undecided := make([]bool, len(peers))
	group, ctx := errgroup.WithContext(ctx)
	for i, p := range peers {
		group.Go(func() error {
			a, running, err := r.fetch(ctx, p, id, ^uint32(0), wait)
			undecided[i] = running || err != nil
			if err == nil {
				answers[i] = a
			}
			return nil
		})
	}
	// The functions of the group never return an error.
	_ = group.Wait()
	var best *sniperillv1.Answer
	incomplete := false
	for i, a := range answers {
		incomplete = incomplete || undecided[i]
		if a.GetOutcome() == string(shop.OutcomeDone) {
			return a, false
		}
		if a != nil && a.GetOutcome() != string(shop.OutcomeNotRun) {
			best = a
		}
	}
	return best, incomplete
}

// Acknowledge tells an agent that it may drop the answer to a team's call.
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
