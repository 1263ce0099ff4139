package admission

import (
	"fmt"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Reason is why work was refused.
type Reason string

// Reasons of a refusal.
const (
	// RateBound means that the team exceeds the rate of the class.
	RateBound Reason = "rate"
	// QueueBound means that too much work of the team waits in the class.
	QueueBound Reason = "queue"
	// TotalBound means that too much work of all teams waits at the entry.
	TotalBound Reason = "total"
	// UnknownName means that the team or class is not configured.
	UnknownName Reason = "unknown"
)

// Refusal is the error for work that was refused before any of it ran.
type Refusal struct {
	Team   string
	Class  string
	Reason Reason
	// RetryAfter is the time after which a retry may succeed; zero if none can.
	RetryAfter time.Duration
}

// Error tells what was refused, by which bound, and when to retry.
func (r *Refusal) Error() string {
	var why string
	switch r.Reason {
	case RateBound:
		why = "arrivals are above the rate of the class"
	case QueueBound:
		why = "too much of the class is waiting for the team"
	case TotalBound:
		why = "too much work is waiting in all"
	default:
		return fmt.Sprintf("not run: team %s or class %s is not configured", r.Team, r.Class)
	}
	return fmt.Sprintf("not run: %s/%s: %s; retry after %v", r.Team, r.Class, why, r.RetryAfter)
}

// Is reports whether target is shop.ErrNotRun, or shop.ErrNotFound or
// shop.ErrOverloaded depending on the reason.
func (r *Refusal) Is(target error) bool {
	if r.Reason == UnknownName {
		return target == shop.ErrNotRun || target == shop.ErrNotFound
	}
	return target == shop.ErrNotRun || target == shop.ErrOverloaded
}
