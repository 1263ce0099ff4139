package entry

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sniperill.example/sniperill/internal/platform"
	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Limits of a request under an idempotency key.
const (
	releaseTimeout = 3 * time.Second
	// maxClaimAttempts bounds the attempts to claim a key whose holders turn out never to
	// have run.
	maxClaimAttempts = 3
)

// keyedCall runs one request under the caller's idempotency key. Before the request is
// sent, its claim on the key is appended to the log. The claim names the one agent that
// may run the request.
type keyedCall struct {
	*Entry

	call  Call
	class shop.Class
	// won is this request's own claim if it succeeded, lostTo the claim that holds the key
	// otherwise.
	won    *platform.ClaimResult
	lostTo *platform.ClaimResult
}

// callWithKey runs the request under its idempotency key, or returns the answer of the
// request that already holds the key.
func (e *Entry) callWithKey(ctx context.Context, c Call, class shop.Class) (*sniperillv1.Answer, error) {
	if e.streams.unavailable() {
		err := fmt.Errorf("entry.Call: the platform's log is away: %w: %w", shop.ErrUnavailable, shop.ErrNotRun)
		return refusal(c.ID, err), err
	}
	var answer *sniperillv1.Answer
	var err error
	for range maxClaimAttempts {
		k := &keyedCall{Entry: e, call: c, class: class}
		answer, err = k.route(ctx)
		if k.lostTo == nil {
			return answer, err
		}
		answer, err = k.answerOfHolder(ctx)
		if shop.Outcome(answer.Outcome) != shop.OutcomeNotRun {
			return answer, err
		}
		e.releaseKey(ctx, *k.lostTo)
	}
	return answer, err
}

// route claims the key and sends the request. It releases the key if the request did not
// run.
func (k *keyedCall) route(ctx context.Context) (*sniperillv1.Answer, error) {
	r := newCall(k.call, k.class)
	r.Idempotent = false
	r.Claim = k.claim
	answer, err := k.router.Route(ctx, r)
	if k.won != nil && shop.Outcome(answer.Outcome) == shop.OutcomeNotRun {
		k.releaseKey(ctx, *k.won)
	}
	return answer, err
}

// claim claims the key for the agent of a ticket. If the agent of an earlier ticket has
// refused the request, the claim for that agent is released first.
func (k *keyedCall) claim(ctx context.Context, t *sniperillv1.Ticket) error {
	if k.won != nil {
		k.releaseKey(ctx, *k.won)
		k.won = nil
	}
	claimed, err := k.streams.claims.Claim(ctx, platform.Claim{
		Team: k.call.Team, Key: k.call.IdempotencyKey, Digest: digest(k.call.Body),
		Request: k.call.ID, Agent: t.Agent, Incarnation: t.Incarnation,
	})
	switch {
	case err != nil:
		return err
	case claimed.Won:
		k.won = &claimed
		return nil
	default:
		k.lostTo = &claimed
		return fmt.Errorf("entry.claim: idempotency key is held by request %s: %w", claimed.Holder.Request, shop.ErrNotRun)
	}
}

// answerOfHolder returns the answer of the request that holds the key, or its outcome if
// there is no answer to fetch.
func (k *keyedCall) answerOfHolder(ctx context.Context) (*sniperillv1.Answer, error) {
	h := k.lostTo.Holder
	answer, err := k.router.Fetch(ctx, k.call.Team, h.Request, 0)
	if err == nil {
		return answer, nil
	}
	answer, err = k.router.ResolveOutcome(ctx, k.call.Team, h.Request, h.Agent, h.Incarnation)
	if shop.Outcome(answer.Outcome) != shop.OutcomeMayHaveRun {
		return answer, err
	}
	answer = request.NewMayHaveRun(k.call.ID, 0, "request "+h.Request+" holds the idempotency key: "+answer.Reason)
	return answer, request.OutcomeError(answer)
}

// releaseKey releases a claim on a key. If that fails, the key stays claimed by a request
// that never runs; the next request under the key finds that out and releases it.
func (e *Entry) releaseKey(ctx context.Context, c platform.ClaimResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := e.streams.claims.Release(ctx, c); err != nil {
		e.Logger.Warn().Err(err).Str("request", c.Holder.Request).Msg("Releasing an idempotency key failed.")
	}
}

const hexBase = 16

func digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), hexBase) }
