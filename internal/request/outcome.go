package request

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

type serveResult struct {
	res *sniperillv1.ServeResponse
	err error
}

// dispatch sends one frame and returns a verified answer. When the answer does
// not come, it is fetched on another connection.
func (r *Router) dispatch(ctx context.Context, p *peer, req *sniperillv1.ServeRequest) (*sniperillv1.Answer, error) {
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan serveResult, 1)
	go func() {
		res, err := r.Serve(sending, p.Address, req)
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
	return r.follow(ctx, p, req, results)
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

// noAnswerError hides the cause from errors.Is: that a ping was not delivered does
// not say that the request before it was not.
func noAnswerError(function string, cause error) error {
	return fmt.Errorf("%s: %v: %w", function, cause, errNoAnswer)
}

// follow waits for the answer on both connections.
func (r *Router) follow(ctx context.Context, p *peer, req *sniperillv1.ServeRequest, results <-chan serveResult) (*sniperillv1.Answer, error) {
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
// or when the agent does not know it.
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

// verifyStored checks an answer that an earlier attempt at the same agent left.
func verifyStored(a *sniperillv1.Answer, id string, attempt uint32) error {
	return Verify(a, id, min(a.GetAttempt(), attempt))
}

// ping checks on a fresh connection that the agent lives in the incarnation of
// the snapshot.
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

// determineOutcome finds out what became of a request that must not run twice. It seals
// the request, or waits for its answer; when the agent's memory is gone,
// nobody can know.
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

// outcomeContext gives the caller's deadline some grace: the answer is worth
// more than the time.
func (t *route) outcomeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	end := t.Now().Add(t.OutcomeGrace)
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(t.OutcomeGrace).After(end) {
		end = deadline.Add(t.OutcomeGrace)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), end)
}

// seal asks once. Nil without an error means that the request still runs.
func (t *route) seal(ctx context.Context, p *peer, attempt uint32) (*sniperillv1.Answer, error) {
	asking, cancel := context.WithTimeout(ctx, t.PingTimeout)
	defer cancel()
	res, err := t.Seal(asking, p.Address, &sniperillv1.SealRequest{Id: t.id})
	if err != nil {
		// Word from a newer incarnation ends the asking.
		return nil, t.ping(ctx, p)
	}
	// Sealing counts only in the incarnation that the ticket names. Incarnations
	// grow, so a ping after the sealing proves which one sealed.
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

// replaced says whether the agent is known to be dead or to have restarted.
func (t *route) replaced(p *peer) bool {
	now, ok := t.snapshot.Load().find(p.Name)
	return !ok || now.Incarnation != p.Incarnation
}
