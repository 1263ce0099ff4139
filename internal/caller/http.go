package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"sniperill.example/sniperill/internal/entry"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Headers of requests and answers.
const (
	HeaderRequestID      = "Sniperill-Request-Id"
	HeaderOutcome        = "Sniperill-Outcome"
	HeaderAgent          = "Sniperill-Agent"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout carries the time for which the caller waits, such as "1.5s".
	HeaderTimeout = "Sniperill-Timeout"
)

// maxBody is the maximum size of a request's body in bytes.
const maxBody = 16 << 20

// errorBody is the JSON body of an answer that is not from a backend server.
type errorBody struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// callHTTP serves POST /v1/call/{class}.
func (h *Handler) callHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel, err := withTimeout(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	start := time.Now()
	answer, err := h.Entry.Call(ctx, entry.Call{
		ID:             r.Header.Get(HeaderRequestID),
		Team:           PrincipalOf(r.Context()).Team,
		Class:          r.PathValue("class"),
		ContentType:    r.Header.Get("Content-Type"),
		Body:           body,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	})
	h.countRequest(r.PathValue("class"), start, err)
	writeAnswer(w, answer, err)
}

// answerHTTP serves GET /v1/answers/{id}.
func (h *Handler) answerHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel, err := withTimeout(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	var wait time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	answer, err := h.Entry.FetchAnswer(ctx, PrincipalOf(r.Context()).Team, r.PathValue("id"), wait)
	if answer == nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	writeAnswer(w, answer, err)
}

// acknowledgeHTTP serves DELETE /v1/answers/{id}, by which the caller confirms that it has
// the answer.
func (h *Handler) acknowledgeHTTP(w http.ResponseWriter, r *http.Request) {
	team, id := PrincipalOf(r.Context()).Team, r.PathValue("id")
	agent := r.Header.Get(HeaderAgent)
	if agent == "" {
		answer, err := h.Entry.FetchAnswer(r.Context(), team, id, 0)
		if answer == nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		agent = answer.Agent
	}
	if err := h.Entry.Acknowledge(r.Context(), team, id, agent); err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// withTimeout returns the request's context with the timeout that its caller set, if any.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return r.Context(), func() {}, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return nil, nil, fmt.Errorf("header %s = %s: must be a duration such as 1.5s: %w", HeaderTimeout, text, shop.ErrInvalid)
	}
	ctx, cancel := context.WithTimeout(r.Context(), d)
	return ctx, cancel, nil
}

func writeAnswer(w http.ResponseWriter, a *sniperillv1.Answer, err error) {
	header := w.Header()
	header.Set(HeaderRequestID, a.Id)
	header.Set(HeaderOutcome, a.Outcome)
	if a.Agent != "" {
		header.Set(HeaderAgent, a.Agent)
	}
	if err == nil {
		header.Set("Content-Type", a.ContentType)
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(int(a.Status))
		_, _ = w.Write(a.Body)
		return
	}
	if d := a.RetryAfter.AsDuration(); d > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
	header.Set("Content-Type", "application/json")
	w.WriteHeader(statusOf(err))
	_ = json.NewEncoder(w).Encode(errorBody{ID: a.Id, Outcome: a.Outcome, Reason: a.Reason})
}

// statusOf returns the HTTP status for an error. If the error wraps several of the listed
// ones, the first, most specific one counts.
func statusOf(err error) int {
	statuses := []struct {
		err    error
		status int
	}{
		{shop.ErrMayHaveRun, http.StatusGatewayTimeout},
		{shop.ErrForbidden, http.StatusForbidden},
		{shop.ErrNotFound, http.StatusNotFound},
		{shop.ErrInvalid, http.StatusBadRequest},
		{shop.ErrOverloaded, http.StatusTooManyRequests},
		{shop.ErrUnavailable, http.StatusServiceUnavailable},
		{shop.ErrNotRun, http.StatusServiceUnavailable},
	}
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return http.StatusInternalServerError
}
