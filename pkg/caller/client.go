// Package caller is the Go client of order desks: it sends requests to backend
// servers and submits jobs.
//
// Each outcome is told apart by errors.Is: shop.ErrNotRun says that the work did
// not run and never will, shop.ErrMayHaveRun that nobody can know, and nil that
// the answer is the backend server's own.
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

// Client talks to the entries of one deployment. Its exported fields are set
// before Open.
type Client struct {
	// URL of the balancer, or of an entry, such as https://127.0.0.1:7443.
	URL string
	// Token that binds the caller to its team.
	Token string
	// TLS settings; nil takes the system's authorities.
	TLS *tls.Config
	// HTTP replaces the client's own connections, for tests.
	HTTP *http.Client

	service sniperillv1connect.CallerServiceClient
}

// Open prepares the client.
func (c *Client) Open() {
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS, ForceAttemptHTTP2: true}}
	}
	c.service = sniperillv1connect.NewCallerServiceClient(c.HTTP, c.URL, peer.ClientOptions(c.Token)...)
}

// Request is one request to a backend server.
type Request struct {
	// ID names the request, so that its answer can be fetched later; empty lets
	// the entry choose.
	ID             string
	Class          string
	ContentType    string
	Body           []byte
	IdempotencyKey string
}

// Answer is the whole answer to one request.
type Answer struct {
	ID          string
	Outcome     shop.Outcome
	Status      int
	ContentType string
	Body        []byte
	// Reason says why there is no answer of a backend server.
	Reason string
	// RetryAfter is when trying again makes sense.
	RetryAfter time.Duration
	// Agent that keeps the answer.
	Agent string
}

// Call sends a request and returns its answer. The context's deadline travels
// with it.
func (c *Client) Call(ctx context.Context, r Request) (Answer, error) {
	res, err := peer.Call(ctx, c.service.Call, &sniperillv1.CallRequest{
		Id: r.ID, Class: r.Class, Body: r.Body, ContentType: r.ContentType, IdempotencyKey: r.IdempotencyKey,
	})
	if err != nil {
		return Answer{ID: r.ID}, fmt.Errorf("caller.Call: %w", classifyError(err))
	}
	return answerOf(res)
}

// FetchAnswer returns the answer to an earlier request, waiting for one that
// still runs.
func (c *Client) FetchAnswer(ctx context.Context, id string, wait time.Duration) (Answer, error) {
	res, err := peer.Call(ctx, c.service.FetchAnswer, &sniperillv1.CallerFetchRequest{Id: id, Wait: durationpb.New(wait)})
	if err != nil {
		return Answer{ID: id}, fmt.Errorf("caller.FetchAnswer: %w", err)
	}
	return answerOf(res)
}

// Acknowledge says that the answer has arrived, so that it need not be kept.
func (c *Client) Acknowledge(ctx context.Context, id string) error {
	_, err := peer.Call(ctx, c.service.FetchAnswer, &sniperillv1.CallerFetchRequest{Id: id, Acknowledge: true})
	if err != nil {
		return fmt.Errorf("caller.Acknowledge: %w", err)
	}
	return nil
}

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
