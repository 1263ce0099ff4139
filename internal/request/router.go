package request

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Defaults of a Router.
const (
	DefaultRouterPingAfter   = 2 * time.Second
	DefaultRouterPingTimeout = 500 * time.Millisecond
	DefaultOutcomeGrace      = time.Second
	DefaultMaxAttempts       = 4
	retryInterval            = 5 * time.Millisecond
	maxRetryInterval         = 200 * time.Millisecond
	retryJitter              = 0.5
)

var (
	// ErrNotDelivered is returned when a message was never sent to its peer.
	ErrNotDelivered = fmt.Errorf("not delivered: %w", shop.ErrNotRun)
	errNoAnswer     = errors.New("no word from the agent")
	errRestarted    = errors.New("agent restarted")
)

var (
	routerRetries           = metrics.NewCounter(`sniperill_router_retries_total`)
	routerRetriesRefused    = metrics.NewCounter(`sniperill_router_retries_refused_total`)
	routerSilentConnections = metrics.NewCounter(`sniperill_router_silent_connections_total`)
	routerMayHaveRun        = metrics.NewCounter(`sniperill_router_may_have_run_total`)
	routerNotRun            = metrics.NewCounter(`sniperill_router_not_run_total`)
)

// Call is a caller's request to a backend server.
type Call struct {
	ID          string
	Team        string
	Class       string
	ContentType string
	Body        []byte
	Idempotent  bool
	// Claim, when set, stores the ticket of a request that must not run twice
	// before the request is sent. When it fails, the request is not sent.
	Claim func(context.Context, *sniperillv1.Ticket) error
}

// wireID is the request id that entries and agents use. It begins with the team,
// so that no team can fetch or seal another team's request.
func wireID(team, id string) string { return team + "/" + id }

// Transport sends messages to the agent at an address. An error that wraps
// ErrNotDelivered means that the agent never got the message. All functions but
// Serve use a connection other than the one that Serve uses.
type Transport struct {
	Serve       func(ctx context.Context, address string, req *sniperillv1.ServeRequest) (*sniperillv1.ServeResponse, error)
	Seal        func(ctx context.Context, address string, req *sniperillv1.SealRequest) (*sniperillv1.SealResponse, error)
	FetchAnswer func(ctx context.Context, address string, req *sniperillv1.FetchAnswerRequest) (*sniperillv1.FetchAnswerResponse, error)
	Acknowledge func(ctx context.Context, address string, req *sniperillv1.AcknowledgeRequest) (*sniperillv1.AcknowledgeResponse, error)
	Ping        func(ctx context.Context, address string, req *sniperillv1.PingRequest) (*sniperillv1.PingResponse, error)
}

// Router sends requests to agents. Set the exported fields before the first call
// of a method.
type Router struct {
	Transport
	// Zone is the availability zone of this entry.
	Zone string
	Now  func() time.Time
	// PingAfter is how long a request may stay unanswered before the agent is
	// asked about it on another connection.
	PingAfter   time.Duration
	PingTimeout time.Duration
	// OutcomeGrace is the time past the deadline that is spent on finding out
	// what became of a request that must not run twice.
	OutcomeGrace time.Duration
	MaxAttempts  int

	once        sync.Once
	snapshot    atomic.Pointer[snapshot]
	inFlight    sync.Map // Agent's name to *atomic.Int64.
	retryBudget *retryBudget
}

func (r *Router) init() {
	if r.Now == nil {
		r.Now = time.Now
	}
	if r.PingAfter == 0 {
		r.PingAfter = DefaultRouterPingAfter
	}
	if r.PingTimeout == 0 {
		r.PingTimeout = DefaultRouterPingTimeout
	}
	if r.OutcomeGrace == 0 {
		r.OutcomeGrace = DefaultOutcomeGrace
	}
	if r.MaxAttempts == 0 {
		r.MaxAttempts = DefaultMaxAttempts
	}
	r.retryBudget = newRetryBudget(r.Now)
	if r.snapshot.Load() == nil {
		r.snapshot.Store(newSnapshot(nil, r.Zone, r.inFlightCounter))
	}
}

func (r *Router) inFlightCounter(name string) *atomic.Int64 {
	n, _ := r.inFlight.LoadOrStore(name, new(atomic.Int64))
	return n.(*atomic.Int64)
}

// Update replaces the agents. Attempts in progress keep the agent that they chose.
func (r *Router) Update(agents AgentList) {
	r.once.Do(r.init)
	r.snapshot.Store(newSnapshot(agents, r.Zone, r.inFlightCounter))
	r.inFlight.Range(func(name, n any) bool {
		_, known := r.snapshot.Load().find(name.(string))
		if !known && n.(*atomic.Int64).Load() == 0 {
			r.inFlight.Delete(name)
		}
		return true
	})
}

// route is the state of one call that is being routed.
type route struct {
	*Router
	call    Call
	id      string
	tried   []string
	backoff *backoff.ExponentialBackOff
	// mayHaveRun is set when an earlier attempt may have run.
	mayHaveRun bool
	retryAfter time.Duration
	reason     string
}

// Route runs a call and returns the answer. The error is nil only when the
// answer is the backend server's; otherwise it wraps shop.ErrNotRun or
// shop.ErrMayHaveRun, and the answer holds the reason.
func (r *Router) Route(ctx context.Context, c Call) (*sniperillv1.Answer, error) {
	r.once.Do(r.init)
	r.retryBudget.addRequest()
	t := r.newRoute(c)
	a := withAttempt(t.run(ctx), 0)
	a.Id = c.ID
	switch shop.Outcome(a.GetOutcome()) {
	case shop.OutcomeNotRun:
		routerNotRun.Inc()
	case shop.OutcomeMayHaveRun:
		routerMayHaveRun.Inc()
	}
	return a, OutcomeError(a)
}

func (t *route) run(ctx context.Context) *sniperillv1.Answer {
	for attempt := uint32(1); ; attempt++ {
		if ctx.Err() != nil {
			return t.giveUp(attempt, "deadline has passed")
		}
		p := t.choose()
		if p == nil {
			return t.giveUp(attempt, "no agent can take the request now")
		}
		a := t.try(ctx, p, attempt)
		if a != nil {
			return a
		}
		t.tried = append(t.tried, p.Name)
		if int(attempt) >= t.MaxAttempts {
			return t.giveUp(attempt, t.reason)
		}
		if !t.retryBudget.allowRetry() {
			routerRetriesRefused.Inc()
			return t.giveUp(attempt, t.reason)
		}
		routerRetries.Inc()
		if !sleep(ctx, t.backoff.NextBackOff()) {
			return t.giveUp(attempt, "deadline has passed")
		}
	}
}

// choose returns an agent that was not tried yet. An idempotent request may also
// go to one that was, and to a suspect agent when there is no other.
func (t *route) choose() *peer {
	s := t.snapshot.Load()
	p := s.choose(t.call.Class, t.id, t.tried, false)
	if p != nil || !t.call.Idempotent {
		return p
	}
	if len(t.tried) > 0 {
		t.tried = t.tried[:0]
		p = s.choose(t.call.Class, t.id, nil, false)
	}
	if p == nil {
		p = s.choose(t.call.Class, t.id, nil, true)
	}
	return p
}

// giveUp returns the answer to a call that ends without an answer of the backend
// server.
func (t *route) giveUp(attempt uint32, reason string) *sniperillv1.Answer {
	if t.mayHaveRun {
		return NewMayHaveRun(t.id, attempt, reason)
	}
	retryAfter := t.retryAfter
	if retryAfter == 0 {
		retryAfter = DefaultRetryAfter
	}
	return NewNotRun(t.id, attempt, reason, retryAfter)
}

// try sends the call to one agent. It returns nil when the call may safely be
// tried on another agent.
func (t *route) try(ctx context.Context, p *peer, attempt uint32) *sniperillv1.Answer {
	ticket := NewTicket(t.id, p.Name, p.Incarnation, t.Now())
	if !t.call.Idempotent && t.call.Claim != nil {
		if err := t.call.Claim(ctx, ticket); err != nil {
			return t.giveUp(attempt, err.Error())
		}
	}
	a, err := t.dispatch(ctx, p, t.serveRequest(ctx, ticket, attempt))
	if errors.Is(err, ErrNotDelivered) {
		t.reason = err.Error()
		return nil
	}
	if err != nil && !t.call.Idempotent {
		a = t.determineOutcome(ctx, p, attempt)
		err = nil
	}
	if err != nil {
		t.mayHaveRun, t.reason = true, err.Error()
		return nil
	}
	switch shop.Outcome(a.GetOutcome()) {
	case shop.OutcomeDone:
		return a
	case shop.OutcomeNotRun:
		t.reason, t.retryAfter = a.GetReason(), a.GetRetryAfter().AsDuration()
		return nil
	}
	if t.call.Idempotent {
		t.mayHaveRun, t.reason = true, a.GetReason()
		return nil
	}
	return a
}

func (t *route) serveRequest(ctx context.Context, ticket *sniperillv1.Ticket, attempt uint32) *sniperillv1.ServeRequest {
	req := &sniperillv1.ServeRequest{
		Id:          t.id,
		Attempt:     attempt,
		Team:        t.call.Team,
		Class:       t.call.Class,
		Body:        t.call.Body,
		Idempotent:  t.call.Idempotent,
		Ticket:      ticket,
		ContentType: t.call.ContentType,
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Deadline = durationpb.New(deadline.Sub(t.Now()))
	}
	return req
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
