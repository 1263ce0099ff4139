package request

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/types/known/durationpb"

	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Errors of answers that are dropped instead of being passed to the caller.
var (
	// ErrMismatchedAnswer is returned for an answer to another request or attempt.
	ErrMismatchedAnswer = errors.New("answer to another request")
	// ErrCorruptAnswer is returned for an answer whose body does not match its
	// length or digest, or whose outcome is unknown.
	ErrCorruptAnswer = errors.New("answer not whole")
)

var (
	answersMismatched = metrics.NewCounter(`sniperill_request_answers_dropped_total{reason="crossed"}`)
	answersCorrupt    = metrics.NewCounter(`sniperill_request_answers_dropped_total{reason="corrupt"}`)
)

// NewAnswer returns the answer to a request that ran, with the length and digest of the body.
func NewAnswer(id string, attempt uint32, status int, contentType string, body []byte) *sniperillv1.Answer {
	return &sniperillv1.Answer{
		Id:          id,
		Attempt:     attempt,
		Outcome:     string(shop.OutcomeDone),
		Status:      uint32(status),
		ContentType: contentType,
		Body:        body,
		Length:      uint64(len(body)),
		Digest:      xxhash.Sum64(body),
	}
}

// NewNotRun returns the answer to a request that did not run and never will
// under the same ticket.
func NewNotRun(id string, attempt uint32, reason string, retryAfter time.Duration) *sniperillv1.Answer {
	a := NewAnswer(id, attempt, 0, "", nil)
	a.Outcome = string(shop.OutcomeNotRun)
	a.Reason = reason
	if retryAfter > 0 {
		a.RetryAfter = durationpb.New(retryAfter)
	}
	return a
}

// NewMayHaveRun returns the answer to a request for which it cannot be determined
// whether it ran.
func NewMayHaveRun(id string, attempt uint32, reason string) *sniperillv1.Answer {
	a := NewAnswer(id, attempt, 0, "", nil)
	a.Outcome = string(shop.OutcomeMayHaveRun)
	a.Reason = reason
	return a
}

// Verify checks that an answer is intact and belongs to the request and attempt.
// An answer that fails is counted in a metric; the caller must drop it.
func Verify(a *sniperillv1.Answer, id string, attempt uint32) error {
	if a.GetId() != id || a.GetAttempt() != attempt {
		answersMismatched.Inc()
		return fmt.Errorf("request.Verify: want %s attempt %d, got %s attempt %d: %w",
			id, attempt, a.GetId(), a.GetAttempt(), ErrMismatchedAnswer)
	}
	if a.GetLength() != uint64(len(a.GetBody())) || a.GetDigest() != xxhash.Sum64(a.GetBody()) {
		answersCorrupt.Inc()
		return fmt.Errorf("request.Verify: %s attempt %d: %w", id, attempt, ErrCorruptAnswer)
	}
	switch shop.Outcome(a.GetOutcome()) {
	case shop.OutcomeDone, shop.OutcomeNotRun, shop.OutcomeMayHaveRun:
		return nil
	default:
		answersCorrupt.Inc()
		return fmt.Errorf("request.Verify: %s outcome %q: %w", id, a.GetOutcome(), ErrCorruptAnswer)
	}
}

// OutcomeError returns an answer's outcome as an error: nil when the request
// ran, otherwise an error that wraps shop.ErrNotRun or shop.ErrMayHaveRun.
func OutcomeError(a *sniperillv1.Answer) error {
	switch shop.Outcome(a.GetOutcome()) {
	case shop.OutcomeDone:
		return nil
	case shop.OutcomeNotRun:
		return fmt.Errorf("request %s: %s: %w", a.GetId(), a.GetReason(), shop.ErrNotRun)
	default:
		return fmt.Errorf("request %s: %s: %w", a.GetId(), a.GetReason(), shop.ErrMayHaveRun)
	}
}

// withAttempt returns a copy of the answer with another attempt number. The copy
// shares the body.
func withAttempt(a *sniperillv1.Answer, attempt uint32) *sniperillv1.Answer {
	return &sniperillv1.Answer{
		Id:          a.GetId(),
		Attempt:     attempt,
		Outcome:     a.GetOutcome(),
		Status:      a.GetStatus(),
		ContentType: a.GetContentType(),
		Body:        a.GetBody(),
		Length:      a.GetLength(),
		Digest:      a.GetDigest(),
		Reason:      a.GetReason(),
		RetryAfter:  a.GetRetryAfter(),
		Agent:       a.GetAgent(),
	}
}
