package request

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// serveResult is the result of one Serve call.
type serveResult struct {
	res *sniperillv1.ServeResponse
	err error
}

// dispatch sends one attempt and returns a verified answer. When the answer does
// not come within PingAfter, it is fetched on another connection.
func (r *Router) dispatch(ctx context.Context, p *peer, req *sniperillv1.ServeRequest) (*sniperillv1.Answer, error) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan serveResult, 1)
	go func() {
		res, err := r.Serve(sendCtx, p.Address, req)
		results <- serveResult{res, err}
	}()
	timer := time.NewTimer(r.PingAfter)
	defer timer.Stop()
	select {
	case got := <-results:
		return got.verify(req)
	case <-ctx.Done():
		return nil, fmt.Errorf("request.Route: %w: %w", ctx.Err(), errNoAnswer)
	case <-timer.C:
	}
	if err := r.ping(ctx, p); err != nil {
		routerSilentConnections.Inc()
		return nil, err
	}
	return r.awaitAnswer(ctx, p, req, results)
}

func (s serveResult) verify(req *sniperillv1.ServeRequest) (*sniperillv1.Answer, error) {
	if s.err != nil {
		return nil, s.err
	}
	a := s.res.GetAnswer()
	if err := Verify(a, req.GetId(), req.GetAttempt()); err != nil {
		return nil, err
	}
	return a, nil
}

// noAnswerError formats the cause but hides it from errors.Is: that a ping was
// not delivered does not mean that the request before it was not.
func noAnswerError(function string, cause error) error {
	return fmt.Errorf("%s: %v: %w", function, cause, errNoAnswer)
}

// awaitAnswer waits for the answer on the connection of the request, and meanwhile asks
// the agent for it on another connection.
func (r *Router) awaitAnswer(ctx context.Context, p *peer, req *sniperillv1.ServeRequest, results <-chan serveResult) (*sniperillv1.Answer, error) {
	for {
		a, running, err := r.fetch(ctx, p, req.GetId(), req.GetAttempt(), r.PingAfter)
		select {
		case got := <-results:
			return got.verify(req)
		default:
		}
		if err != nil || a != nil {
			return a, err
		}
		if !running {
			return nil, errNoAnswer
		}
	}
}

// fetch asks an agent for an answer. The answer is nil while the request runs,
// which the bool reports, or when the agent does not know the request.
func (r *Router) fetch(ctx context.Context, p *peer, id string, attempt uint32, wait time.Duration) (*sniperillv1.Answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+r.PingTimeout)
	defer cancel()
	res, err := r.FetchAnswer(ctx, p.Address, &sniperillv1.FetchAnswerRequest{Id: id, Wait: durationpb.New(wait)})
	if err != nil {
		return nil, false, noAnswerError("request.Fetch", err)
	}
	a := res.GetAnswer()
	if a == nil {
		return nil, res.GetRunning(), nil
	}
	return a, false, verifyStored(a, id, attempt)
}

// verifyStored checks a stored answer, which may be that of an earlier attempt on
// the same agent.
func verifyStored(a *sniperillv1.Answer, id string, attempt uint32) error {
	return Verify(a, id, min(a.GetAttempt(), attempt))
}

// ping checks on another connection that the agent runs in the incarnation that
// the snapshot names.
func (r *Router) ping(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, r.PingTimeout)
	defer cancel()
	res, err := r.Ping(ctx, p.Address, &sniperillv1.PingRequest{})
	if err != nil {
		return noAnswerError("request.Ping", err)
	}
	if res.GetName() != p.Name || res.GetIncarnation() != p.Incarnation {
		return errRestarted
	}
	return nil
}

// determineOutcome finds out what became of a request that must not run twice. It
// seals the request or waits for its answer. When the agent has restarted, its
// records are lost and the outcome is that the request may have run.
func (t *route) determineOutcome(ctx context.Context, p *peer, attempt uint32) *sniperillv1.Answer {
	ctx, cancel := t.outcomeContext(ctx)
	defer cancel()
	for {
		a, err := t.seal(ctx, p, attempt)
		if a != nil {
			return a
		}
		if errors.Is(err, errRestarted) || t.replaced(p) {
			return NewMayHaveRun(t.id, attempt, "agent "+p.Name+" is gone with its memory")
		}
		if !sleep(ctx, t.backoff.NextBackOff()) {
			return NewMayHaveRun(t.id, attempt, "agent "+p.Name+" can't be asked")
		}
	}
}

// outcomeContext extends the caller's deadline by OutcomeGrace, because a late
// answer is worth more to the caller than an unknown outcome in time.
func (t *route) outcomeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	end := t.Now().Add(t.OutcomeGrace)
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(t.OutcomeGrace).After(end) {
		end = deadline.Add(t.OutcomeGrace)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), end)
}

// seal asks the agent once to seal the request. A nil answer without an error
// means that the outcome is not known yet.
func (t *route) seal(ctx context.Context, p *peer, attempt uint32) (*sniperillv1.Answer, error) {
	sealCtx, cancel := context.WithTimeout(ctx, t.PingTimeout)
	defer cancel()
	res, err := t.Seal(sealCtx, p.Address, &sniperillv1.SealRequest{Id: t.id})
	if err != nil {
		// A ping answered by a newer incarnation ends the retries.
		return nil, t.ping(ctx, p)
	}
	// The seal is valid only in the incarnation that the ticket names. As
	// incarnations only grow, a ping after the seal proves which one sealed.
	if err := t.ping(ctx, p); err != nil {
		return nil, err
	}
	if res.GetSealed() {
		return NewNotRun(t.id, attempt, "sealed", 0), nil
	}
	if a := res.GetAnswer(); a != nil {
		if err := verifyStored(a, t.id, attempt); err != nil {
			return nil, err
		}
		return a, nil
	}
	a, _, err := t.fetch(ctx, p, t.id, attempt, t.PingAfter)
	if err != nil {
		return nil, err
	}
	return a, nil
}

// replaced reports whether the agent is known to be dead or to have restarted.
func (t *route) replaced(p *peer) bool {
	current, ok := t.snapshot.Load().find(p.Name)
	return !ok || current.Incarnation != p.Incarnation
}
