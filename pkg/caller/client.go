// Package caller is the Go client for order desks. It sends requests to backend
// servers and submits jobs.
//
// Errors tell the outcome through errors.Is. With shop.ErrNotRun the work did not run
// and never will. With shop.ErrMayHaveRun it can't be known whether the work ran. With
// a nil error the answer comes from the backend server.
package caller

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/internal/peer"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
	"sniperill.example/sniperill/proto/sniperill/v1/sniperillv1connect"
)

// Client is a client of the entries of one deployment. Its exported fields must be set
// before Open, and Open must be called before any other method.
type Client struct {
	// URL is the URL of the load balancer or of an entry, such as https://127.0.0.1:7443.
	URL string
	// Token is the token that authenticates the caller as a member of its team.
	Token string
	// TLS is the TLS configuration; nil trusts the system's certificate authorities.
	TLS *tls.Config
	// HTTP is the HTTP client to use; nil creates one. Tests set it.
	HTTP *http.Client

	service sniperillv1connect.CallerServiceClient
}

// Open prepares the client for use. It opens no connection yet.
func (c *Client) Open() {
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS, ForceAttemptHTTP2: true}}
	}
	c.service = sniperillv1connect.NewCallerServiceClient(c.HTTP, c.URL, peer.ClientOptions(c.Token)...)
}

// Request is one request to a backend server.
type Request struct {
	// ID is the id of the request, with which its answer can be fetched later; when
	// empty, the entry chooses one.
	ID             string
	Class          string
	ContentType    string
	Body           []byte
	IdempotencyKey string
}

// Answer is the complete answer to one request.
type Answer struct {
	ID          string
	Outcome     shop.Outcome
	Status      int
	ContentType string
	Body        []byte
	// Reason explains why there is no answer from a backend server.
	Reason string
	// RetryAfter is how long to wait before a retry.
	RetryAfter time.Duration
	// Agent is the agent that stores the answer.
	Agent string
}

// Call sends a request and returns its answer. The context's deadline is sent with the
// request. Errors wrap shop.ErrNotRun or shop.ErrMayHaveRun.
func (c *Client) Call(ctx context.Context, r Request) (Answer, error) {
	res, err := peer.Call(ctx, c.service.Call, &sniperillv1.CallRequest{
		Id: r.ID, Class: r.Class, Body: r.Body, ContentType: r.ContentType, IdempotencyKey: r.IdempotencyKey,
	})
	if err != nil {
		return Answer{ID: r.ID}, fmt.Errorf("caller.Call: %w", classifyError(err))
	}
	return answerOf(res)
}

// FetchAnswer returns the answer to an earlier request. If the request still runs, it
// waits for the answer, at most for the given time.
func (c *Client) FetchAnswer(ctx context.Context, id string, wait time.Duration) (Answer, error) {
	res, err := peer.Call(ctx, c.service.FetchAnswer, &sniperillv1.CallerFetchRequest{Id: id, Wait: durationpb.New(wait)})
	if err != nil {
		return Answer{ID: id}, fmt.Errorf("caller.FetchAnswer: %w", err)
	}
	return answerOf(res)
}

// Acknowledge confirms that the answer was received, so that it need not be stored any
// longer.
func (c *Client) Acknowledge(ctx context.Context, id string) error {
	_, err := peer.Call(ctx, c.service.FetchAnswer, &sniperillv1.CallerFetchRequest{Id: id, Acknowledge: true})
	if err != nil {
		return fmt.Errorf("caller.Acknowledge: %w", err)
	}
	return nil
}

// answerOf converts a response, and returns the error of its outcome with it.
func answerOf(r *sniperillv1.CallResponse) (Answer, error) {
	a := Answer{
		ID: r.Id, Outcome: shop.Outcome(r.Outcome), Status: int(r.Status), ContentType: r.ContentType,
		Body: r.Body, Reason: r.Reason, RetryAfter: r.RetryAfter.AsDuration(), Agent: r.Agent,
	}
	switch a.Outcome {
	case shop.OutcomeDone:
		return a, nil
	case shop.OutcomeNotRun:
		return a, fmt.Errorf("caller: request %s: %s: %w", a.ID, a.Reason, shop.ErrNotRun)
	default:
		return a, fmt.Errorf("caller: request %s: %s: %w", a.ID, a.Reason, shop.ErrMayHaveRun)
	}
}
