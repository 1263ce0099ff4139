package roster

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Entry is another entry, or this one, in a View.
type Entry struct {
	Peer *sniperillv1.EntryPeer
	// Live is set for this entry and for those that exchanged with it recently.
	Live bool
	// lastHeard is when this entry last exchanged with it, in Unix nanoseconds; 0
	// for never. It changes without a new view.
	lastHeard *atomic.Int64
	// firstHeard is when this entry first heard of it, in Unix nanoseconds.
	firstHeard int64
}

func newEntry(p *sniperillv1.EntryPeer, firstHeard int64) Entry {
	return Entry{Peer: p, lastHeard: new(atomic.Int64), firstHeard: firstHeard}
}

// EntryList is a list of entries sorted by name.
type EntryList []Entry

func (l EntryList) search(name string) (int, bool) {
	return slices.BinarySearchFunc(l, name, func(e Entry, name string) int {
		return cmp.Compare(e.Peer.GetName(), name)
	})
}

// Find returns the entry with that name.
func (l EntryList) Find(name string) (Entry, bool) {
	i, ok := l.search(name)
	if !ok {
		return Entry{}, false
	}
	return l[i], true
}

// with returns a list in which e replaces the entry with its name.
func (l EntryList) with(e Entry) EntryList {
	i, ok := l.search(e.Peer.GetName())
	l = slices.Clone(l)
	if ok {
		l[i] = e
		return l
	}
	return slices.Insert(l, i, e)
}

// unchanged reports whether an exchange brings nothing new: its sender is live and
// the same as before, and all the entries that it lists are known.
func (l EntryList) unchanged(from *sniperillv1.EntryPeer, listed []*sniperillv1.EntryPeer) bool {
	old, known := l.Find(from.GetName())
	if !known || !old.Live || !samePeer(old.Peer, from) {
		return false
	}
	return !slices.ContainsFunc(listed, func(p *sniperillv1.EntryPeer) bool {
		_, known := l.search(p.GetName())
		return !known
	})
}

// Live returns the entries that are live and not leaving.
func (l EntryList) Live() []*sniperillv1.EntryPeer {
	var out []*sniperillv1.EntryPeer
	for _, e := range l {
		if e.Live && !e.Peer.GetLeaving() {
			out = append(out, e.Peer)
		}
	}
	return out
}

// score is the weight of an entry for a key in rendezvous hashing.
func score(entry, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest never fail.
	_, _ = d.WriteString(entry)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// bestPeer returns the peer with the highest score for a key among those that match
// and are not leaving.
func bestPeer(peers []*sniperillv1.EntryPeer, key string, match func(*sniperillv1.EntryPeer) bool) *sniperillv1.EntryPeer {
	var out *sniperillv1.EntryPeer
	var highest uint64
	for _, p := range peers {
		if p.GetLeaving() || !match(p) {
			continue
		}
		s := score(p.GetName(), key)
		if out == nil || s > highest {
			out, highest = p, s
		}
	}
	return out
}

// Planner returns the entry that plans for a region. All entries that know the
// same live entries choose the same one. It is nil when the region has no live
// entry.
func (v *View) Planner(region string) *sniperillv1.EntryPeer {
	return bestPeer(v.Entries.Live(), "planner "+region, func(p *sniperillv1.EntryPeer) bool {
		return p.GetRegion() == region
	})
}

// AssignedEntries holds the entries that an agent sends heartbeats to.
type AssignedEntries struct {
	Primary *sniperillv1.EntryPeer
	Standby *sniperillv1.EntryPeer
}

// AssignEntries chooses the entries of an agent among those that it knows. The
// primary is in the agent's region if that has any entry. The standby is preferably
// in another zone than the primary and in the agent's region, else in another zone
// of any region.
func AssignEntries(agent, region string, entries []*sniperillv1.EntryPeer) AssignedEntries {
	sameRegion := func(p *sniperillv1.EntryPeer) bool { return p.GetRegion() == region }
	primary := bestPeer(entries, agent, sameRegion)
	if primary == nil {
		primary = bestPeer(entries, agent, func(*sniperillv1.EntryPeer) bool { return true })
	}
	if primary == nil {
		return AssignedEntries{}
	}
	otherEntry := func(p *sniperillv1.EntryPeer) bool { return p.GetName() != primary.GetName() }
	otherZone := func(p *sniperillv1.EntryPeer) bool { return otherEntry(p) && p.GetZone() != primary.GetZone() }
	standby := bestPeer(entries, agent, func(p *sniperillv1.EntryPeer) bool { return sameRegion(p) && otherZone(p) })
	if standby == nil {
		standby = bestPeer(entries, agent, otherZone)
	}
	if standby == nil {
		standby = bestPeer(entries, agent, otherEntry)
	}
	return AssignedEntries{Primary: primary, Standby: standby}
}
