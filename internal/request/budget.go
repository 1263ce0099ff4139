package request

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Retries are limited to a share of the requests plus a small steady rate, so
// that retries of an overloaded service don't overload it further.
const (
	tokensPerRetry   = 1000
	tokensPerRequest = 100 // A tenth of a retry.
	maxTokens        = 100 * tokensPerRetry
	steadyRetryRate  = rate.Limit(10)
	steadyBurst      = 10
)

// retryBudget says whether a request may be retried.
type retryBudget struct {
	tokens atomic.Int64
	steady *rate.Limiter
	now    func() time.Time
}

func newRetryBudget(now func() time.Time) *retryBudget {
	return &retryBudget{
		steady: rate.NewLimiter(steadyRetryRate, steadyBurst),
		now:    now,
	}
}

// addRequest adds what one request earns.
func (b *retryBudget) addRequest() {
	if b.tokens.Load() < maxTokens {
		b.tokens.Add(tokensPerRequest)
	}
}

// allowRetry takes what one retry costs, or says no.
func (b *retryBudget) allowRetry() bool {
	for {
		n := b.tokens.Load()
		if n < tokensPerRetry {
			return b.steady.AllowN(b.now(), 1)
		}
		if b.tokens.CompareAndSwap(n, n-tokensPerRetry) {
			return true
		}
	}
}
