package roster

import (
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// digestRounds is the number of exchanges in which the digest of every agent is
// sent at least once. Those of leaving agents, and of agents that reportsAlive
// selects, are sent in every exchange.
const digestRounds = 8

// Digest returns digests of what this entry knows of agents: of one part of them
// in each round, and of those that every exchange must contain.
func (r *Roster) Digest() []*sniperillv1.AgentDigest {
	view, now := r.View(), r.now()
	round := int(r.round.Add(1) % digestRounds)
	var out []*sniperillv1.AgentDigest
	for i, m := range view.Agents {
		if m.Leaving() || i%digestRounds == round || r.reportsAlive(m, view, now) {
			out = append(out, digest(m, now))
		}
	}
	return out
}

// reportsAlive reports whether this entry should tell the others in every exchange
// that the agent is alive: it had a heartbeat recently, and it is the agent's
// primary or no other entry has reported hearing from it recently.
func (r *Roster) reportsAlive(m *Member, v *View, now time.Time) bool {
	suspectAfter := r.suspectAfter(v)
	if now.Sub(time.Unix(0, m.lastHeartbeat.Load())) > suspectAfter {
		return false
	}
	return now.Sub(time.Unix(0, m.reportedHeard.Load())) > suspectAfter || r.isPrimary(m, v)
}

func digest(m *Member, now time.Time) *sniperillv1.AgentDigest {
	return &sniperillv1.AgentDigest{
		Name:        m.Name(),
		Incarnation: m.State.GetIncarnation(),
		Sequence:    m.State.GetSequence(),
		Age:         durationpb.New(m.age(now).Truncate(time.Millisecond)),
		Leaving:     m.Leaving(),
	}
}

// MergeDigests records when another entry heard from the agents in its digests. It
// returns the names of the agents of which the other entry has a newer state.
func (r *Roster) MergeDigests(region string, digests []*sniperillv1.AgentDigest) []string {
	view, now := r.View(), r.now()
	var want []string
	for _, d := range digests {
		m, ok := view.Agents.Find(d.GetName())
		if !ok || m.older(d.GetIncarnation(), d.GetSequence()) {
			want = append(want, d.GetName())
			continue
		}
		if m.State.GetIncarnation() == d.GetIncarnation() {
			r.mergeDigest(m, region, d, now)
		}
	}
	return want
}

// mergeDigest applies a digest of an incarnation that is known here.
func (r *Roster) mergeDigest(m *Member, region string, d *sniperillv1.AgentDigest, now time.Time) {
	age := max(0, d.GetAge().AsDuration())
	heard := now.Add(-age).UnixNano()
	storeMax(&m.lastHeard, heard)
	if heard > m.lastHeartbeat.Load() {
		storeMax(&m.reportedHeard, now.UnixNano())
	}
	if age > r.suspectAfter(r.View()) && region == m.State.GetPlace().GetRegion() {
		storeMax(&m.reportedSilent, now.UnixNano())
	}
	if d.GetLeaving() && !m.Leaving() {
		r.markLeaving(d.GetName(), d.GetIncarnation())
	}
}

// markLeaving records that an incarnation of an agent takes no new work.
func (r *Roster) markLeaving(name string, incarnation uint64) {
	changed := false
	r.update(func(v *View) {
		m, ok := v.Agents.Find(name)
		if ok && m.State.GetIncarnation() == incarnation && !m.Leaving() {
			changed = true
			v.Agents = v.Agents.with(m.with(withLeaving(m.State, true), m.Health))
		}
	})
	if changed {
		r.notifyEntries()
	}
}

// MergeStates takes states from another entry. Newer ones replace those that are
// known. The digest of an agent tells how long ago the other entry heard from it.
func (r *Roster) MergeStates(states []*sniperillv1.AgentState, digests []*sniperillv1.AgentDigest) {
	agents := r.View().Agents
	states = slices.DeleteFunc(slices.Clone(states), func(s *sniperillv1.AgentState) bool {
		_, changed := agents.withVersionUpdate(s)
		return isVersionUpdate(s) && !changed
	})
	if len(states) == 0 {
		return
	}
	suspectAfter := r.suspectAfter(r.View())
	now := r.now()
	digestByName := make(map[string]*sniperillv1.AgentDigest, len(digests))
	for _, d := range digests {
		digestByName[d.GetName()] = d
	}
	startedLeaving := false
	r.update(func(v *View) {
		for _, s := range states {
			// Without a digest the age is not known. The agent is taken to have been
			// silent long enough for a probe.
			heard := now.Add(-suspectAfter - time.Millisecond)
			d, ageKnown := digestByName[s.GetName()]
			ageKnown = ageKnown && d.GetIncarnation() == s.GetIncarnation()
			if ageKnown {
				heard = now.Add(-max(0, d.GetAge().AsDuration()))
			}
			startedLeaving = mergeState(v, s, heard, ageKnown) || startedLeaving
		}
	})
	if startedLeaving {
		r.notifyEntries()
	}
}

// mergeState applies one state. It reports whether the agent started to leave.
func mergeState(v *View, s *sniperillv1.AgentState, heard time.Time, ageKnown bool) bool {
	if isVersionUpdate(s) {
		if m, changed := v.Agents.withVersionUpdate(s); changed {
			v.Agents = v.Agents.with(m)
		}
		return false
	}
	old, known := v.Agents.Find(s.GetName())
	if known && !old.older(s.GetIncarnation(), s.GetSequence()) {
		return false
	}
	m := updatedMember(old, s, false, heard)
	if known && old.liveness == m.liveness {
		// A state alone does not show that the agent is alive.
		m = m.with(m.State, old.Health)
		if ageKnown {
			storeMax(&m.lastHeard, heard.UnixNano())
		}
	}
	v.Agents = v.Agents.with(m)
	return m.Leaving() && !(known && old.liveness == m.liveness && old.Leaving())
}

// States returns the full states of the named agents that are known.
func (r *Roster) States(names []string) []*sniperillv1.AgentState {
	view := r.View()
	var out []*sniperillv1.AgentState
	for _, name := range names {
		if m, ok := view.Agents.Find(name); ok {
			out = append(out, m.State)
		}
	}
	return out
}

// digestsOf returns the digests of the agents of some states, whatever the round.
func (r *Roster) digestsOf(states []*sniperillv1.AgentState) []*sniperillv1.AgentDigest {
	view, now := r.View(), r.now()
	var out []*sniperillv1.AgentDigest
	for _, s := range states {
		if m, ok := view.Agents.Find(s.GetName()); ok {
			out = append(out, digest(m, now))
		}
	}
	return out
}

// StartExchange returns the first request of an exchange with another entry.
func (r *Roster) StartExchange() *sniperillv1.ExchangeRequest {
	return &sniperillv1.ExchangeRequest{
		From:    r.self(),
		Entries: r.View().Entries.Live(),
		Digests: r.Digest(),
		States:  r.roundVersionUpdates(),
	}
}

func (r *Roster) self() *sniperillv1.EntryPeer {
	e, _ := r.View().Entries.Find(r.Self.GetName())
	return e.Peer
}

// HandleExchange merges a request of another entry and returns the states that it
// wants. This entry's own digests are sent in the exchanges that it starts itself.
func (r *Roster) HandleExchange(req *sniperillv1.ExchangeRequest) *sniperillv1.ExchangeResponse {
	r.recordExchange(req.GetFrom(), req.GetEntries())
	r.MergeStates(req.GetStates(), req.GetDigests())
	want := r.MergeDigests(req.GetFrom().GetRegion(), req.GetDigests())
	states := r.States(req.GetWant())
	return &sniperillv1.ExchangeResponse{
		From:    r.self(),
		Entries: r.View().Entries.Live(),
		States:  states,
		Want:    want,
		Digests: r.digestsOf(states),
	}
}

// HandleExchangeResponse merges the response to a request of an exchange. The
// request that it returns, when not nil, contains the states that the other entry
// wants and asks for those that this entry lacks; pass its response to
// HandleExchangeResponse too. Two rounds are enough: what is still missing then
// comes with a later exchange.
func (r *Roster) HandleExchangeResponse(res *sniperillv1.ExchangeResponse) *sniperillv1.ExchangeRequest {
	r.recordExchange(res.GetFrom(), res.GetEntries())
	r.MergeStates(res.GetStates(), res.GetDigests())
	want := r.MergeDigests(res.GetFrom().GetRegion(), res.GetDigests())
	states := r.States(res.GetWant())
	if len(want) == 0 && len(states) == 0 {
		return nil
	}
	return &sniperillv1.ExchangeRequest{
		From:    r.self(),
		States:  states,
		Want:    want,
		Digests: r.digestsOf(states),
	}
}

// recordExchange records an exchange with an entry and adds the entries that it
// knows. An exchange that brings nothing new only sets an atomic.
func (r *Roster) recordExchange(from *sniperillv1.EntryPeer, entries []*sniperillv1.EntryPeer) {
	now := r.now().UnixNano()
	if l := r.View().Entries; l.unchanged(from, entries) {
		old, _ := l.Find(from.GetName())
		storeMax(old.lastHeard, now)
		return
	}
	r.update(func(v *View) {
		before := v.Entries.Live()
		for _, p := range entries {
			if _, known := v.Entries.Find(p.GetName()); !known {
				v.Entries = v.Entries.with(newEntry(p, now))
			}
		}
		v.Entries = v.Entries.withExchange(from, r.Self.GetName(), now)
		if !slices.Equal(before, v.Entries.Live()) {
			v.EntriesVersion++
		}
	})
}

// withExchange returns the list after an exchange with an entry. Once an
// incarnation is leaving it stays so, and an older incarnation changes nothing.
func (l EntryList) withExchange(from *sniperillv1.EntryPeer, self string, now int64) EntryList {
	if from.GetName() == "" || from.GetName() == self {
		return l
	}
	old, known := l.Find(from.GetName())
	if known && old.Peer.GetIncarnation() > from.GetIncarnation() {
		return l
	}
	if known && old.Peer.GetIncarnation() == from.GetIncarnation() && old.Peer.GetLeaving() {
		from = old.Peer
	}
	if known && samePeer(old.Peer, from) {
		from = old.Peer
	}
	if !known {
		old = newEntry(from, now)
	}
	old.Peer, old.Live = from, true
	storeMax(old.lastHeard, now)
	return l.with(old)
}

func samePeer(a, b *sniperillv1.EntryPeer) bool {
	return a.GetIncarnation() == b.GetIncarnation() &&
		a.GetLeaving() == b.GetLeaving() &&
		a.GetAddress() == b.GetAddress()
}

// Leave marks this entry as leaving and notifies the other entries, so that it gets
// no new work.
func (r *Roster) Leave() {
	r.update(func(v *View) {
		e, _ := v.Entries.Find(r.Self.GetName())
		e.Peer = &sniperillv1.EntryPeer{
			Name:        r.Self.GetName(),
			Address:     r.Self.GetAddress(),
			Region:      r.Self.GetRegion(),
			Zone:        r.Self.GetZone(),
			Incarnation: r.Self.GetIncarnation(),
			Leaving:     true,
		}
		v.Entries = v.Entries.with(e)
		v.EntriesVersion++
	})
	r.notifyEntries()
}
