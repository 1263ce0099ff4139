package agent

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// reporter numbers the states that the agent reports to entries.
type reporter struct {
	mu             sync.Mutex
	allocatorState *sniperillv1.AgentState
	backends       []*sniperillv1.BackendSlots
	config         uint64
	leaving        bool
	sequence       uint64
	// changed holds a token when a state has not been sent.
	changed chan struct{}
	// left is closed once the agent leaves.
	left chan struct{}
}

// setAllocatorState takes the newest state of the ledger.
func (r *reporter) setAllocatorState(s *sniperillv1.AgentState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.allocatorState == s {
		return
	}
	r.allocatorState = s
	r.markChanged()
}

// setConfig notes the configuration in force and the classes served under it.
// A version that changes neither is told by every heartbeat and is no new state.
func (r *reporter) setConfig(version uint64, backends []*sniperillv1.BackendSlots) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = version
	if slices.EqualFunc(r.backends, backends, func(a, b *sniperillv1.BackendSlots) bool { return proto.Equal(a, b) }) {
		return
	}
	r.backends = backends
	r.markChanged()
}

func (r *reporter) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return
	}
	r.leaving = true
	close(r.left)
	r.markChanged()
}

// leftUnsent is closed once the agent leaves, and blocks for ever afterwards:
// the heartbeat that follows carries the news.
func (r *reporter) leftUnsent() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return nil
	}
	return r.left
}

func (r *reporter) markChanged() {
	r.sequence++
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// summary is what every heartbeat says.
func (r *reporter) summary() (sequence, config uint64, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence, r.config, r.leaving
}

// state returns the whole state to report.
func (r *reporter) state(place *sniperillv1.Place) *sniperillv1.AgentState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := proto.CloneOf(r.allocatorState)
	s.Sequence = r.sequence
	s.Place = place
	s.Backends = r.backends
	s.Leaving = r.leaving
	s.ConfigVersion = r.config
	return s
}
