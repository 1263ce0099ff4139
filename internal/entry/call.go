package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"sniperill.example/sniperill/internal/admission"
	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/internal/request"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Call is a caller's request to a backend server.
type Call struct {
	ID             string
	Team           string
	Class          string
	ContentType    string
	Body           []byte
	IdempotencyKey string
}

// Call runs a request and returns its answer. The error is nil only if the backend
// server answered. Otherwise it wraps shop.ErrNotRun or shop.ErrMayHaveRun, and the
// answer gives the reason.
func (e *Entry) Call(ctx context.Context, c Call) (*sniperillv1.Answer, error) {
	e.init()
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	defer e.inFlight.begin("call " + c.Team + "/" + c.ID)()
	class, ticket, err := e.admit(c.Team, c.Class)
	if err != nil {
		return refusal(c.ID, err), err
	}
	defer ticket.Release()
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(class.Deadline))
		defer cancel()
	}
	if c.IdempotencyKey != "" {
		return e.callWithKey(ctx, c, class)
	}
	return e.router.Route(ctx, newCall(c, class))
}

func newCall(c Call, class shop.Class) request.Call {
	return request.Call{
		ID: c.ID, Team: c.Team, Class: c.Class, ContentType: c.ContentType, Body: c.Body,
		Idempotent: class.Idempotent,
	}
}

// admit checks the class and the team's limits. The caller releases the ticket once
// the work no longer waits.
func (e *Entry) admit(team, name string) (shop.Class, *admission.Ticket, error) {
	config := e.Config()
	if config == nil {
		return shop.Class{}, nil, fmt.Errorf("entry.admit: no configuration yet: %w: %w", shop.ErrUnavailable, shop.ErrNotRun)
	}
	if e.leaving.Load() {
		return shop.Class{}, nil, fmt.Errorf("entry.admit: this entry is leaving: %w: %w", shop.ErrUnavailable, shop.ErrNotRun)
	}
	class, _ := config.Classes.Find(name)
	ticket, err := e.admission.Admit(team, name)
	if err != nil {
		return class, nil, fmt.Errorf("entry.admit: %w", err)
	}
	return class, ticket, nil
}

// refusal returns the answer to a request that was refused before it was sent.
func refusal(id string, err error) *sniperillv1.Answer {
	var refused *admission.Refusal
	retryAfter := time.Duration(0)
	if errors.As(err, &refused) {
		retryAfter = refused.RetryAfter
	}
	return request.NewNotRun(id, 0, err.Error(), retryAfter)
}

// FetchAnswer returns the answer to an earlier request of the team.
func (e *Entry) FetchAnswer(ctx context.Context, team, id string, wait time.Duration) (*sniperillv1.Answer, error) {
	e.init()
	defer e.inFlight.begin("fetch " + team + "/" + id)()
	return e.router.Fetch(ctx, team, id, wait)
}

// Acknowledge tells the agent that the caller has the answer, so that it can drop it.
func (e *Entry) Acknowledge(ctx context.Context, team, id, agent string) error {
	e.init()
	return e.router.Acknowledge(ctx, team, id, agent)
}

// newRouter returns a router that reaches the agents over this entry's connections.
func (e *Entry) newRouter() *request.Router {
	return &request.Router{
		Zone: e.Place.Zone,
		Now:  e.Now,
		Transport: request.Transport{
			Serve: func(ctx context.Context, address string, r *sniperillv1.ServeRequest) (*sniperillv1.ServeResponse, error) {
				return markNotDelivered(peer.Call(ctx, e.Peers.Agent(address).Serve, r))
			},
			Seal: func(ctx context.Context, address string, r *sniperillv1.SealRequest) (*sniperillv1.SealResponse, error) {
				return markNotDelivered(peer.Call(ctx, e.ControlPeers.Agent(address).Seal, r))
			},
			FetchAnswer: func(ctx context.Context, address string, r *sniperillv1.FetchAnswerRequest) (*sniperillv1.FetchAnswerResponse, error) {
				return markNotDelivered(peer.Call(ctx, e.ControlPeers.Agent(address).FetchAnswer, r))
			},
			Acknowledge: func(ctx context.Context, address string, r *sniperillv1.AcknowledgeRequest) (*sniperillv1.AcknowledgeResponse, error) {
				return markNotDelivered(peer.Call(ctx, e.ControlPeers.Agent(address).Acknowledge, r))
			},
			Ping: func(ctx context.Context, address string, r *sniperillv1.PingRequest) (*sniperillv1.PingResponse, error) {
				return markNotDelivered(peer.Call(ctx, e.ControlPeers.Agent(address).Ping, r))
			},
		},
	}
}

// markNotDelivered wraps request.ErrNotDelivered into the error of a message that never
// left this process.
func markNotDelivered[Res any](res *Res, err error) (*Res, error) {
	if errors.Is(err, peer.ErrNotConnected) {
		return nil, fmt.Errorf("%w: %w", request.ErrNotDelivered, err)
	}
	return res, err
}
