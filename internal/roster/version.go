package roster

import (
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// The version of the configuration in force at an agent changes far more often
// than its state, and for all agents at the same time. So agents send it in
// heartbeats, and entries send it to each other in version updates: states without
// a place that contain nothing else.

// withVersion returns the member with a newer version of the configuration, which
// was reported with a state of that sequence. It returns the member itself when
// the state is another one or the version is not newer.
func (m *Member) withVersion(sequence, version uint64) *Member {
	if m.State.GetSequence() != sequence || m.State.GetConfigVersion() >= version {
		return m
	}
	s := copyState(m.State)
	s.ConfigVersion = version
	return m.with(s, m.Health)
}

// versionUpdate returns the state that tells another entry the agent's version.
func (m *Member) versionUpdate() *sniperillv1.AgentState {
	return &sniperillv1.AgentState{
		Name:          m.Name(),
		Incarnation:   m.State.GetIncarnation(),
		Sequence:      m.State.GetSequence(),
		ConfigVersion: m.State.GetConfigVersion(),
	}
}

// isVersionUpdate reports whether a state from another entry contains only a version.
func isVersionUpdate(s *sniperillv1.AgentState) bool { return s.GetPlace() == nil }

// withVersionUpdate returns the member after a version update, and whether the
// update changed anything.
func (l MemberList) withVersionUpdate(s *sniperillv1.AgentState) (*Member, bool) {
	m, known := l.Find(s.GetName())
	if !known || m.State.GetPlace() == nil || m.State.GetIncarnation() != s.GetIncarnation() {
		return nil, false
	}
	next := m.withVersion(s.GetSequence(), s.GetConfigVersion())
	return next, next != m
}

// versionUpdates returns the version updates of the named agents that are known.
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

// roundVersionUpdates returns the version updates of one part of the agents whose
// primary this entry is. They are repeated in case an entry has missed them.
func (r *Roster) roundVersionUpdates() []*sniperillv1.AgentState {
	view := r.View()
	round := int(r.round.Load() % digestRounds)
	var out []*sniperillv1.AgentState
	for i, m := range view.Agents {
		if i%digestRounds == round && r.isPrimary(m, view) {
			out = append(out, m.versionUpdate())
		}
	}
	return out
}

// UpdateRequest returns a request that sends the states of some agents and the
// versions of others to another entry, without an exchange of all digests.
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
