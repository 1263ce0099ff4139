package roster

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// Entry is an entry in a View.
type Entry struct {
	Peer *sniperillv1.EntryPeer
	// Live entries exchanged with this one lately.
	Live bool
	// lastHeard is when this entry last exchanged with it, in Unix nanoseconds. It
	// changes without a new view.
	lastHeard *atomic.Int64
	// firstHeard is when this entry first heard of it.
	firstHeard int64
}

func newEntry(p *sniperillv1.EntryPeer, known int64) Entry {
	return Entry{Peer: p, lastHeard: new(atomic.Int64), firstHeard: known}
}

// EntryList is entries sorted by name.
type EntryList []Entry

func (l EntryList) search(name string) (int, bool) {
	return slices.BinarySearchFunc(l, name, func(e Entry, name string) int {
		return cmp.Compare(e.Peer.GetName(), name)
	})
}

// Find returns the entry of that name.
func (l EntryList) Find(name string) (Entry, bool) {
	i, ok := l.search(name)
	if !ok {
		return Entry{}, false
	}
	return l[i], true
}

func (l EntryList) with(e Entry) EntryList {
	i, ok := l.search(e.Peer.GetName())
	l = slices.Clone(l)
	if ok {
		l[i] = e
		return l
	}
	return slices.Insert(l, i, e)
}

// unchanged says whether an exchange tells nothing new: its sender is live and
// the same as before, and all the entries that it names are known.
func (l EntryList) unchanged(from *sniperillv1.EntryPeer, named []*sniperillv1.EntryPeer) bool {
	old, known := l.Find(from.GetName())
	if !known || !old.Live || !samePeer(old.Peer, from) {
		return false
	}
	return !slices.ContainsFunc(named, func(p *sniperillv1.EntryPeer) bool {
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
	// A Digest never returns an error.
	_, _ = d.WriteString(entry)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// bestPeer returns the peer with the highest score for a key among those that pass.
func bestPeer(peers []*sniperillv1.EntryPeer, key string, pass func(*sniperillv1.EntryPeer) bool) *sniperillv1.EntryPeer {
	var out *sniperillv1.EntryPeer
	var highest uint64
	for _, p := range peers {
		if p.GetLeaving() || !pass(p) {
			continue
		}
		s := score(p.GetName(), key)
		if out == nil || s > highest {
			out, highest = p, s
		}
	}
	return out
}

// Planner returns the entry that plans for a region, chosen alike by all
// entries that know the same live ones. It is nil when the region has none.
func (v *View) Planner(region string) *sniperillv1.EntryPeer {
	return bestPeer(v.Entries.Live(), "planner "+region, func(p *sniperillv1.EntryPeer) bool {
		return p.GetRegion() == region
	})
}

// AssignedEntries are the entries that an agent sends heartbeats to.
type AssignedEntries struct {
	Primary *sniperillv1.EntryPeer
	Standby *sniperillv1.EntryPeer
}

// AssignEntries chooses for an agent among the entries that it was told of: those of
// its region when there are any, and a standby in another zone than the primary
// when there is one.
func AssignEntries(agent, region string, entries []*sniperillv1.EntryPeer) AssignedEntries {
	home := func(p *sniperillv1.EntryPeer) bool { return p.GetRegion() == region }
	primary := bestPeer(entries, agent, home)
	if primary == nil {
		primary = bestPeer(entries, agent, func(*sniperillv1.EntryPeer) bool { return true })
	}
	if primary == nil {
		return AssignedEntries{}
	}
	other := func(p *sniperillv1.EntryPeer) bool { return p.GetName() != primary.GetName() }
	apart := func(p *sniperillv1.EntryPeer) bool { return other(p) && p.GetZone() != primary.GetZone() }
	standby := bestPeer(entries, agent, func(p *sniperillv1.EntryPeer) bool { return home(p) && apart(p) })
	if standby == nil {
		standby = bestPeer(entries, agent, apart)
	}
	if standby == nil {
		standby = bestPeer(entries, agent, other)
	}
	return AssignedEntries{Primary: primary, Standby: standby}
}
