package agent

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// reporter assembles the state that the agent reports to entries and numbers its
// changes.
type reporter struct {
	mu             sync.Mutex
	allocatorState *sniperillv1.AgentState
	backends       []*sniperillv1.BackendSlots
	configVersion  uint64
	leaving        bool
	sequence       uint64
	// changed holds a token if the state has changed since the last report.
	changed chan struct{}
	// left is closed when the agent begins to leave.
	left chan struct{}
}

// setAllocatorState sets the current state of the allocator.
func (r *reporter) setAllocatorState(s *sniperillv1.AgentState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.allocatorState == s {
		return
	}
	r.allocatorState = s
	r.markChanged()
}

// setConfig sets the version of the current configuration and the backend slots under
// it. A new version alone does not change the state, because every heartbeat has the
// version anyway.
func (r *reporter) setConfig(version uint64, backends []*sniperillv1.BackendSlots) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configVersion = version
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

// leftUnsent returns a channel that is closed when the agent begins to leave. If it is
// already leaving, leftUnsent returns nil, because the next heartbeat reports that.
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

// summary returns the fields that every heartbeat includes.
func (r *reporter) summary() (sequence, config uint64, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence, r.configVersion, r.leaving
}

// state returns the complete state to report.
func (r *reporter) state(place *sniperillv1.Place) *sniperillv1.AgentState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := proto.CloneOf(r.allocatorState)
	s.Sequence = r.sequence
	s.Place = place
	s.Backends = r.backends
	s.Leaving = r.leaving
	s.ConfigVersion = r.configVersion
	return s
}
