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

// Headers of requests to the backend server. The server echoes the id and the
// attempt. The header Idempotency-Key is never sent, because net/http may then send
// a request twice.
const (
	HeaderRequestID  = "Sniperill-Request-Id"
	HeaderAttempt    = "Sniperill-Attempt"
	HeaderTeam       = "Sniperill-Team"
	HeaderIdempotent = "Sniperill-Idempotent"
	// HeaderDeadline is the remaining time for the request, such as "1.5s".
	HeaderDeadline = "Sniperill-Deadline"
)

// Paths of a backend server.
const (
	RequestPath = "/v1/"
	HealthPath  = "/healthz"
)

// Errors of Send in addition to those in package shop.
var (
	// ErrNoSlot is returned when all slots of the server are in use; the request did not run.
	ErrNoSlot = fmt.Errorf("no free slot: %w", shop.ErrNotRun)
	// ErrNoConnection is returned when no connection could be opened; the request did not run.
	ErrNoConnection = fmt.Errorf("no connection: %w", shop.ErrNotRun)
	// ErrMismatchedAnswer is returned when the answer belongs to another request or attempt.
	ErrMismatchedAnswer = fmt.Errorf("answer to another request: %w", shop.ErrMayHaveRun)
	// ErrIncompleteAnswer is returned when the answer ended early or does not state its length.
	ErrIncompleteAnswer = fmt.Errorf("answer not whole: %w", shop.ErrMayHaveRun)
	// ErrTimeout is returned when the context of the request ends before the answer arrives.
	ErrTimeout = fmt.Errorf("no answer in time: %w", shop.ErrMayHaveRun)
	// ErrTooLarge is returned when the answer is larger than Server.MaxAnswer.
	ErrTooLarge = fmt.Errorf("answer too large: %w", shop.ErrMayHaveRun)
	// ErrUnresponsive is returned when the server answers neither the request nor a ping on a new connection.
	ErrUnresponsive = fmt.Errorf("server silent: %w", shop.ErrMayHaveRun)
)

// Request is a request to the backend server.
type Request struct {
	ID          string
	Attempt     uint32
	Team        string
	Class       string
	Idempotent  bool
	ContentType string
	Body        []byte
}

// Answer is the complete answer to a request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// httpRequest returns the request in the form that net/http sends. The deadline is
// only passed on to the server as a header; ctx may end later.
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

// readAnswer reads the answer and checks that it is complete and belongs to the
// request.
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
