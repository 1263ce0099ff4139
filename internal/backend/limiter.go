package backend

import "sync/atomic"

// limiter bounds how many things are in use. The bound and the count change in
// one atomic step, so that nothing begins above a bound once it is in force.
type limiter struct {
	// state is the bound in the upper half and the count in the lower.
	state atomic.Uint64
}

const limitShift = 32

// acquire counts one more, unless that is above the bound.
func (g *limiter) acquire() bool {
	for {
		s := g.state.Load()
		if uint32(s) >= uint32(s>>limitShift) {
			return false
		}
		if g.state.CompareAndSwap(s, s+1) {
			return true
		}
	}
}

func (g *limiter) release() { g.state.Add(^uint64(0)) }

// setLimit changes the bound. What is in use above it may finish.
func (g *limiter) setLimit(limit int) {
	for {
		s := g.state.Load()
		if g.state.CompareAndSwap(s, uint64(limit)<<limitShift|uint64(uint32(s))) {
			return
		}
	}
}

func (g *limiter) limit() int { return int(g.state.Load() >> limitShift) }

func (g *limiter) used() int { return int(uint32(g.state.Load())) }
