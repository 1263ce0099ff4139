package caller

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sniperill.example/sniperill/internal/admission"
	"sniperill.example/sniperill/pkg/shop"
)

// unknownClass stands for every class that is not configured, so that callers
// can't make up metrics.
const unknownClass = "(unknown)"

// Outcomes besides those of shop, as metrics name them.
const (
	outcomeAccepted = "accepted"
	outcomeError    = "error"
)

// countRequest counts a request of a caller by its outcome, and its time.
func (h *Handler) countRequest(name string, start time.Time, err error) {
	class := h.classLabel(name)
	countRefusal(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`sniperill_caller_requests_total{class=%q,outcome=%q}`,
		class, outcomeOf(err, string(shop.OutcomeDone)))).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`sniperill_caller_request_duration_seconds{class=%q}`, class)).UpdateDuration(start)
}

// countJob counts a submission by its outcome.
func (h *Handler) countJob(name string, err error) {
	countRefusal(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`sniperill_caller_jobs_total{class=%q,outcome=%q}`,
		h.classLabel(name), outcomeOf(err, outcomeAccepted))).Inc()
}

// classLabel returns the class under which metrics count a request.
func (h *Handler) classLabel(name string) string {
	if c := h.Entry.Config(); c != nil {
		if _, ok := c.Classes.Find(name); ok {
			return name
		}
	}
	return unknownClass
}

// countRefusal counts what admission refused by its reason.
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
