package caller

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sniperill.example/sniperill/internal/admission"
	"sniperill.example/sniperill/pkg/shop"
)

// unknownClass is the label of every class that is not configured, so that callers
// can't create metrics at will.
const unknownClass = "(unknown)"

// Metric labels of outcomes besides those of package shop.
const (
	outcomeAccepted = "accepted"
	outcomeError    = "error"
)

// countRequest counts a caller's request by outcome and records its duration.
func (h *Handler) countRequest(name string, start time.Time, err error) {
	class := h.classLabel(name)
	countRefusal(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`sniperill_caller_requests_total{class=%q,outcome=%q}`,
		class, outcomeOf(err, string(shop.OutcomeDone)))).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`sniperill_caller_request_duration_seconds{class=%q}`, class)).UpdateDuration(start)
}

// countJob counts a submission by outcome.
func (h *Handler) countJob(name string, err error) {
	countRefusal(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`sniperill_caller_jobs_total{class=%q,outcome=%q}`,
		h.classLabel(name), outcomeOf(err, outcomeAccepted))).Inc()
}

// classLabel returns the metric label for a class.
func (h *Handler) classLabel(name string) string {
	if c := h.Entry.Config(); c != nil {
		if _, ok := c.Classes.Find(name); ok {
			return name
		}
	}
	return unknownClass
}

// countRefusal counts a refusal by the admission controller by its reason.
func countRefusal(err error) {
	var refused *admission.Refusal
	if errors.As(err, &refused) {
		metrics.GetOrCreateCounter(fmt.Sprintf(`sniperill_caller_refusals_total{reason=%q}`, refused.Reason)).Inc()
	}
}

func outcomeOf(err error, success string) string {
	switch {
	case err == nil:
		return success
	case errors.Is(err, shop.ErrMayHaveRun):
		return string(shop.OutcomeMayHaveRun)
	case errors.Is(err, shop.ErrNotRun):
		return string(shop.OutcomeNotRun)
	default:
		return outcomeError
	}
}
