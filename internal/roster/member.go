package roster

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Health is what silence says of an agent.
type Health string

// Healths of an agent. Only alive ones get new work.
const (
	Alive   Health = "alive"
	Suspect Health = "suspect"
	Dead    Health = "dead"
)

// liveness are the times of signs of life, in Unix nanoseconds. They change
// without a new view.
type liveness struct {
	// lastHeard is the newest sign that any entry had.
	lastHeard atomic.Int64
	// lastHeartbeat is the last heartbeat to this entry.
	lastHeartbeat atomic.Int64
	// reportedHeard is when another entry last had a newer sign than this one's own.
	reportedHeard atomic.Int64
	// reportedSilent is when another entry of the agent's region last said that it is silent.
	reportedSilent atomic.Int64
	// announcedHoldTime is how long the agent was told that its heartbeat may be held.
	announcedHoldTime atomic.Int64
	// sentEntriesVersion is the version of the list of entries that the agent was sent.
	sentEntriesVersion atomic.Uint64
}

// Member is an agent in a View. It is never changed.
type Member struct {
	State  *sniperillv1.AgentState
	Health Health
	*liveness
}

// Name is the agent's name.
func (m *Member) Name() string { return m.State.GetName() }

// Leaving says whether the agent takes no new work in this incarnation.
func (m *Member) Leaving() bool { return m.State.GetLeaving() }

// LastHeard is when any entry last had a sign of life.
func (m *Member) LastHeard() time.Time { return time.Unix(0, m.lastHeard.Load()) }

// Usable says whether new work may go to the agent.
func (m *Member) Usable() bool { return m.Health == Alive && !m.Leaving() }

func (m *Member) with(state *sniperillv1.AgentState, h Health) *Member {
	return &Member{State: state, Health: h, liveness: m.liveness}
}

func (m *Member) age(now time.Time) time.Duration {
	return max(0, now.Sub(m.LastHeard()))
}

// older says whether the member's state is older than an incarnation and sequence.
func (m *Member) older(incarnation, sequence uint64) bool {
	return cmp.Or(
		cmp.Compare(m.State.GetIncarnation(), incarnation),
		cmp.Compare(m.State.GetSequence(), sequence),
	) < 0
}

// storeMax sets an atomic time that only grows.
func storeMax(t *atomic.Int64, now int64) {
	for {
		old := t.Load()
		if now <= old || t.CompareAndSwap(old, now) {
			return
		}
	}
}

// MemberList is agents sorted by name.
type MemberList []*Member

// Find returns the agent of that name.
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

// with returns a list in which m replaces the agent of its name.
func (l MemberList) with(m *Member) MemberList {
	i, ok := l.search(m.Name())
	if ok {
		l = slices.Clone(l)
		l[i] = m
		return l
	}
	return slices.Insert(slices.Clone(l), i, m)
}

// View is what the roster knows at one moment. It is never changed.
type View struct {
	Agents  MemberList
	Entries EntryList
	// EntriesVersion grows with every change of the list of live entries.
	EntriesVersion uint64
}
