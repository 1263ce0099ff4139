package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Headers between the agent and the backend server. The server echoes the id
// and the attempt. The header Idempotency-Key is never sent, because net/http
// takes it as leave to send a request twice.
const (
	HeaderRequestID  = "Sniperill-Request-Id"
	HeaderAttempt    = "Sniperill-Attempt"
	HeaderTeam       = "Sniperill-Team"
	HeaderIdempotent = "Sniperill-Idempotent"
	// HeaderDeadline is the time left for the request, such as "1.5s".
	HeaderDeadline = "Sniperill-Deadline"
)

// Paths of a backend server.
const (
	RequestPath = "/v1/"
	HealthPath  = "/healthz"
)

// Errors of a backend server besides those in package shop.
var (
	// ErrNoSlot says that all slots of the server are in use; the request did not run.
	ErrNoSlot = fmt.Errorf("no free slot: %w", shop.ErrNotRun)
	// ErrNoConnection says that a connection could not be opened; the request did not run.
	ErrNoConnection = fmt.Errorf("no connection: %w", shop.ErrNotRun)
	// ErrMismatchedAnswer says that the answer belongs to another request or attempt.
	ErrMismatchedAnswer = fmt.Errorf("answer to another request: %w", shop.ErrMayHaveRun)
	// ErrIncompleteAnswer says that the answer ended early or does not tell its length.
	ErrIncompleteAnswer = fmt.Errorf("answer not whole: %w", shop.ErrMayHaveRun)
	// ErrTimeout says that no answer came in time.
	ErrTimeout = fmt.Errorf("no answer in time: %w", shop.ErrMayHaveRun)
	// ErrTooLarge says that the answer is above the limit.
	ErrTooLarge = fmt.Errorf("answer too large: %w", shop.ErrMayHaveRun)
	// ErrUnresponsive says that the server answers neither the request nor a ping on a fresh connection.
	ErrUnresponsive = fmt.Errorf("server silent: %w", shop.ErrMayHaveRun)
)

// Request is one request to the backend server.
type Request struct {
	ID          string
	Attempt     uint32
	Team        string
	Class       string
	Idempotent  bool
	ContentType string
	Body        []byte
}

// Answer is the whole answer to one request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// httpRequest returns the request as net/http sends it. Its deadline only tells the
// server; ctx may outlive it.
func (r Request) httpRequest(ctx context.Context, base string, deadline time.Time) (*http.Request, error) {
	target := base + RequestPath + url.PathEscape(r.Class)
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("backend.Request: %w: %w", err, shop.ErrNotRun)
	}
	out.Header.Set(HeaderRequestID, r.ID)
	out.Header.Set(HeaderAttempt, strconv.FormatUint(uint64(r.Attempt), 10))
	out.Header.Set(HeaderTeam, r.Team)
	out.Header.Set(HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	if !deadline.IsZero() {
		out.Header.Set(HeaderDeadline, time.Until(deadline).String())
	}
	if r.ContentType != "" {
		out.Header.Set("Content-Type", r.ContentType)
	}
	return out, nil
}

// readAnswer checks that the answer is whole and belongs to the request.
func (r Request) readAnswer(res *http.Response, limit shop.Bytes) (Answer, error) {
	attempt := strconv.FormatUint(uint64(r.Attempt), 10)
	if res.Header.Get(HeaderRequestID) != r.ID || res.Header.Get(HeaderAttempt) != attempt {
		return Answer{}, ErrMismatchedAnswer
	}
	chunked := len(res.TransferEncoding) > 0
	if res.ContentLength < 0 && !chunked {
		return Answer{}, ErrIncompleteAnswer
	}
	if res.ContentLength > int64(limit) {
		return Answer{}, ErrTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, int64(limit)+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return Answer{}, ErrIncompleteAnswer
	}
	if err != nil {
		return Answer{}, err
	}
	if len(body) > int(limit) {
		return Answer{}, ErrTooLarge
	}
	return Answer{
		Status:      res.StatusCode,
		ContentType: res.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
