package roster

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Health is the state of an agent as judged by how long it has been silent.
type Health string

// States of health. Only alive agents get new work.
const (
	Alive   Health = "alive"
	Suspect Health = "suspect"
	Dead    Health = "dead"
)

// liveness holds what changes with heartbeats and exchanges without a new view.
// Times are Unix nanoseconds.
type liveness struct {
	// lastHeard is when any entry last heard from the agent.
	lastHeard atomic.Int64
	// lastHeartbeat is when this entry last had a heartbeat of the agent.
	lastHeartbeat atomic.Int64
	// reportedHeard is when another entry last reported that it had heard from the
	// agent after the last heartbeat to this entry.
	reportedHeard atomic.Int64
	// reportedSilent is when another entry of the agent's region last reported that
	// the agent is silent.
	reportedSilent atomic.Int64
	// announcedHoldTime is how long the next heartbeat may be held, as announced to
	// the agent, in nanoseconds.
	announcedHoldTime atomic.Int64
	// sentEntriesVersion is the version of the list of entries last sent to the
	// agent.
	sentEntriesVersion atomic.Uint64
}

// Member is an agent in a View. Its state and health are immutable.
type Member struct {
	State  *sniperillv1.AgentState
	Health Health
	*liveness
}

// Name returns the agent's name.
func (m *Member) Name() string { return m.State.GetName() }

// Leaving reports whether the agent is leaving: it takes no new work in this
// incarnation.
func (m *Member) Leaving() bool { return m.State.GetLeaving() }

// LastHeard returns when any entry last heard from the agent.
func (m *Member) LastHeard() time.Time { return time.Unix(0, m.lastHeard.Load()) }

// Usable reports whether new work may go to the agent.
func (m *Member) Usable() bool { return m.Health == Alive && !m.Leaving() }

func (m *Member) with(state *sniperillv1.AgentState, h Health) *Member {
	return &Member{State: state, Health: h, liveness: m.liveness}
}

// age returns how long ago any entry last heard from the agent.
func (m *Member) age(now time.Time) time.Duration {
	return max(0, now.Sub(m.LastHeard()))
}

// older reports whether the member's state is older than an incarnation and sequence.
func (m *Member) older(incarnation, sequence uint64) bool {
	return cmp.Or(
		cmp.Compare(m.State.GetIncarnation(), incarnation),
		cmp.Compare(m.State.GetSequence(), sequence),
	) < 0
}

// storeMax stores value in t if it is greater than the one in t.
func storeMax(t *atomic.Int64, value int64) {
	for {
		old := t.Load()
		if value <= old || t.CompareAndSwap(old, value) {
			return
		}
	}
}

// MemberList is a list of agents sorted by name.
type MemberList []*Member

// Find returns the agent with that name.
func (l MemberList) Find(name string) (*Member, bool) {
	i, ok := l.search(name)
	if !ok {
		return nil, false
	}
	return l[i], true
}

func (l MemberList) search(name string) (int, bool) {
	return slices.BinarySearchFunc(l, name, func(m *Member, name string) int {
		return cmp.Compare(m.Name(), name)
	})
}

// with returns a list in which m replaces the agent with its name.
func (l MemberList) with(m *Member) MemberList {
	i, ok := l.search(m.Name())
	if ok {
		l = slices.Clone(l)
		l[i] = m
		return l
	}
	return slices.Insert(slices.Clone(l), i, m)
}

// View is an immutable snapshot of a Roster.
type View struct {
	Agents  MemberList
	Entries EntryList
	// EntriesVersion grows with every change of the list of live entries.
	EntriesVersion uint64
}
