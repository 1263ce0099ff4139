package backend

import "sync/atomic"

// limiter is a counting semaphore whose limit can change. Limit and count share one
// atomic word, so that acquire never succeeds above the limit once that is set.
type limiter struct {
	// state has the limit in the upper half and the count in the lower half.
	state atomic.Uint64
}

const limitShift = 32

// acquire increments the count and returns true, or returns false if the count has
// reached the limit.
func (l *limiter) acquire() bool {
	for {
		s := l.state.Load()
		if uint32(s) >= uint32(s>>limitShift) {
			return false
		}
		if l.state.CompareAndSwap(s, s+1) {
			return true
		}
	}
}

func (l *limiter) release() { l.state.Add(^uint64(0)) }

// setLimit changes the limit. It does not affect what is in use, even above the new
// limit.
func (l *limiter) setLimit(limit int) {
	for {
		s := l.state.Load()
		if l.state.CompareAndSwap(s, uint64(limit)<<limitShift|uint64(uint32(s))) {
			return
		}
	}
}

func (l *limiter) limit() int { return int(l.state.Load() >> limitShift) }

func (l *limiter) used() int { return int(uint32(l.state.Load())) }
