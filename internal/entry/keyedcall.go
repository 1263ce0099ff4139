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

// Bounds of a request under an idempotency key.
const (
	releaseTimeout = 3 * time.Second
	// maxClaimAttempts is how often a key is claimed when its holders never ran.
	maxClaimAttempts = 3
)

// keyedCall runs one request under its caller's own idempotency key. Its claim is in
// the log before the request is sent, and names the one agent that may run it.
type keyedCall struct {
	*Entry

	call  Call
	class shop.Class
	// won is the claim that this request won, and other the one that it lost to.
	won    *platform.ClaimResult
	lostTo *platform.ClaimResult
}

// callWithKey returns the answer of the one request that runs under the key.
func (e *Entry) callWithKey(ctx context.Context, c Call, class shop.Class) (*sniperillv1.Answer, error) {
	if e.streams.unavailable() {
		err := fmt.Errorf("entry.Call: the platform's log is away: %w: %w", shop.ErrUnavailable, shop.ErrNotRun)
		return refusal(c.ID, err), err
	}
	var answer *sniperillv1.Answer
	var err error
	for range maxClaimAttempts {
		o := &keyedCall{Entry: e, call: c, class: class}
		answer, err = o.route(ctx)
		if o.lostTo == nil {
			return answer, err
		}
		answer, err = o.answerOfHolder(ctx)
		if shop.Outcome(answer.Outcome) != shop.OutcomeNotRun {
			return answer, err
		}
		e.releaseKey(ctx, *o.lostTo)
	}
	return answer, err
}

// route claims the key and sends the request. A request that did not run gives
// the key back.
func (o *keyedCall) route(ctx context.Context) (*sniperillv1.Answer, error) {
	r := newCall(o.call, o.class)
	r.Idempotent = false
	r.Claim = o.claim
	answer, err := o.router.Route(ctx, r)
	if o.won != nil && shop.Outcome(answer.Outcome) == shop.OutcomeNotRun {
		o.releaseKey(ctx, *o.won)
	}
	return answer, err
}

// claim binds the key to the agent of a ticket. When the agent of an earlier
// ticket has refused the request, that claim is given back first.
func (o *keyedCall) claim(ctx context.Context, t *sniperillv1.Ticket) error {
	if o.won != nil {
		o.releaseKey(ctx, *o.won)
		o.won = nil
	}
	claimed, err := o.streams.claims.Claim(ctx, platform.Claim{
		Team: o.call.Team, Key: o.call.IdempotencyKey, Digest: digest(o.call.Body),
		Request: o.call.ID, Agent: t.Agent, Incarnation: t.Incarnation,
	})
	switch {
	case err != nil:
		return err
	case claimed.Won:
		o.won = &claimed
		return nil
	default:
		o.lostTo = &claimed
		return fmt.Errorf("entry.claim: idempotency key is held by request %s: %w", claimed.Holder.Request, shop.ErrNotRun)
	}
}

// answerOfHolder returns what became of the request that holds the key.
func (o *keyedCall) answerOfHolder(ctx context.Context) (*sniperillv1.Answer, error) {
	h := o.lostTo.Holder
	answer, err := o.router.Fetch(ctx, o.call.Team, h.Request, 0)
	if err == nil {
		return answer, nil
	}
	answer, err = o.router.ResolveOutcome(ctx, o.call.Team, h.Request, h.Agent, h.Incarnation)
	if shop.Outcome(answer.Outcome) != shop.OutcomeMayHaveRun {
		return answer, err
	}
	answer = request.NewMayHaveRun(o.call.ID, 0, "request "+h.Request+" holds the idempotency key: "+answer.Reason)
	return answer, request.OutcomeError(answer)
}

// releaseKey gives a key back. When that fails, the key stays held by a request
// that never runs, and the next one that asks for it gives it back.
func (e *Entry) releaseKey(ctx context.Context, c platform.ClaimResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := e.streams.claims.Release(ctx, c); err != nil {
		e.Logger.Warn().Err(err).Str("request", c.Holder.Request).Msg("Giving an idempotency key back failed.")
	}
}

const hexBase = 16

func digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), hexBase) }
