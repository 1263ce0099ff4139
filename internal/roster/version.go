package roster

import (
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// The version of the configuration in force at an agent changes far more often
// than its state, and everywhere at once. So it travels in heartbeats, and
// between entries in states without a place that carry nothing else: notes.

// withVersion returns the member with a newer version of the configuration that
// was told of the same state.
func (m *Member) withVersion(sequence, version uint64) *Member {
	if m.State.GetSequence() != sequence || m.State.GetConfigVersion() >= version {
		return m
	}
	s := copyState(m.State)
	s.ConfigVersion = version
	return m.with(s, m.Health)
}

// versionUpdate returns what tells another entry of the agent's version.
func (m *Member) versionUpdate() *sniperillv1.AgentState {
	return &sniperillv1.AgentState{
		Name:          m.Name(),
		Incarnation:   m.State.GetIncarnation(),
		Sequence:      m.State.GetSequence(),
		ConfigVersion: m.State.GetConfigVersion(),
	}
}

// isVersionUpdate says whether a state of another entry tells only a version.
func isVersionUpdate(s *sniperillv1.AgentState) bool { return s.GetPlace() == nil }

// withVersionUpdate returns the member after a note, and whether it has told anything.
func (l MemberList) withVersionUpdate(s *sniperillv1.AgentState) (*Member, bool) {
	m, known := l.Find(s.GetName())
	if !known || m.State.GetPlace() == nil || m.State.GetIncarnation() != s.GetIncarnation() {
		return nil, false
	}
	next := m.withVersion(s.GetSequence(), s.GetConfigVersion())
	return next, next != m
}

// versionUpdates returns the versions of some agents.
func (r *Roster) versionUpdates(names []string) []*sniperillv1.AgentState {
	view := r.View()
	var out []*sniperillv1.AgentState
	for _, name := range names {
		if m, ok := view.Agents.Find(name); ok {
			out = append(out, m.versionUpdate())
		}
	}
	return out
}

// roundVersionUpdates repeats the versions of some agents whose primary this entry is, in
// case that an entry has missed them.
func (r *Roster) roundVersionUpdates() []*sniperillv1.AgentState {
	view := r.View()
	turn := int(r.round.Load() % digestRounds)
	var out []*sniperillv1.AgentState
	for i, m := range view.Agents {
		if i%digestRounds == turn && r.isPrimary(m, view) {
			out = append(out, m.versionUpdate())
		}
	}
	return out
}

// UpdateRequest is what tells another entry of the states of some agents and of the
// versions of others, without an exchange of digests.
func (r *Roster) UpdateRequest(agents, versions []string) *sniperillv1.ExchangeRequest {
	states := r.States(agents)
	return &sniperillv1.ExchangeRequest{
		From: r.self(), Digests: r.digestsOf(states), States: append(states, r.versionUpdates(versions)...),
	}
}

func copyState(s *sniperillv1.AgentState) *sniperillv1.AgentState {
	return &sniperillv1.AgentState{
		Name:          s.GetName(),
		Address:       s.GetAddress(),
		Incarnation:   s.GetIncarnation(),
		Sequence:      s.GetSequence(),
		Place:         s.GetPlace(),
		Accelerators:  s.GetAccelerators(),
		Cores:         s.GetCores(),
		MemoryBytes:   s.GetMemoryBytes(),
		Owners:        s.GetOwners(),
		Tasks:         s.GetTasks(),
		Backends:      s.GetBackends(),
		Leaving:       s.GetLeaving(),
		ConfigVersion: s.GetConfigVersion(),
		OwnerVersion:  s.GetOwnerVersion(),
	}
}
