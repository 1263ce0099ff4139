package request

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Retries are limited to a share of the requests plus a small constant rate, so
// that retries to an overloaded service don't overload it further.
const (
	tokensPerRetry   = 1000
	tokensPerRequest = 100 // One retry for every ten requests.
	maxTokens        = 100 * tokensPerRetry
	steadyRetryRate  = rate.Limit(10)
	steadyBurst      = 10
)

// retryBudget is a token bucket that limits retries.
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

// addRequest adds the tokens that one request earns.
func (b *retryBudget) addRequest() {
	if b.tokens.Load() < maxTokens {
		b.tokens.Add(tokensPerRequest)
	}
}

// allowRetry takes the tokens for one retry. It reports whether there were enough
// or the constant rate allows the retry.
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
