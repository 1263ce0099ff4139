package request

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// ClassSlots is how many requests of a class an agent runs at once.
type ClassSlots struct {
	Class string
	Slots int
	// Used is what the agent last reported.
	Used int
}

// Agent is an agent as the router sees it.
type Agent struct {
	Name        string
	Address     string
	Zone        string
	Incarnation uint64
	Classes     []ClassSlots
	Leaving     bool
	Suspect     bool
}

// AgentList is the agents that an entry knows of.
type AgentList []Agent

// peer is an agent in a snapshot, with the requests that this entry has there.
type peer struct {
	Agent
	hash     uint64
	inFlight *atomic.Int64
}

// score ranks the peer for a request id by rendezvous hashing: every entry
// ranks alike, so another entry knows where to look for an answer first.
func (p *peer) score(id uint64) uint64 {
	x := p.hash ^ id
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// candidate is a peer that serves a class.
type candidate struct {
	*peer
	slots int
	used  int
}

// load is the part of the slots in use, as far as this entry knows.
func (p candidate) load() float64 {
	return float64(max(int(p.inFlight.Load()), p.used)) / float64(max(p.slots, 1))
}

func (p candidate) full() bool { return int(p.inFlight.Load()) >= p.slots }

// classCandidates is where a class is served: in the router's own zone and in others.
type classCandidates struct {
	sameZone   []candidate
	otherZones []candidate
}

// snapshot is an immutable view of the agents.
type snapshot struct {
	peers   []*peer // Sorted by name.
	classes map[string]*classCandidates
}

func newSnapshot(agents AgentList, zone string, counter func(name string) *atomic.Int64) *snapshot {
	s := &snapshot{classes: make(map[string]*classCandidates)}
	for _, a := range agents {
		p := &peer{Agent: a, hash: xxhash.Sum64String(a.Name), inFlight: counter(a.Name)}
		s.peers = append(s.peers, p)
		for _, c := range a.Classes {
			s.add(c, p, a.Zone == zone)
		}
	}
	slices.SortFunc(s.peers, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func (s *snapshot) add(c ClassSlots, p *peer, near bool) {
	places := s.classes[c.Class]
	if places == nil {
		places = &classCandidates{}
		s.classes[c.Class] = places
	}
	at := candidate{peer: p, slots: c.Slots, used: c.Used}
	if near {
		places.sameZone = append(places.sameZone, at)
	} else {
		places.otherZones = append(places.otherZones, at)
	}
}

func (s *snapshot) find(name string) (*peer, bool) {
	i, ok := slices.BinarySearchFunc(s.peers, name, func(p *peer, name string) int {
		return cmp.Compare(p.Name, name)
	})
	if !ok {
		return nil, false
	}
	return s.peers[i], true
}

// NewAgent returns what a router needs of an agent's state.
func NewAgent(s *sniperillv1.AgentState, suspect bool) Agent {
	a := Agent{
		Name:        s.GetName(),
		Address:     s.GetAddress(),
		Zone:        s.GetPlace().GetZone(),
		Incarnation: s.GetIncarnation(),
		Leaving:     s.GetLeaving(),
		Suspect:     suspect,
	}
	for _, b := range s.GetBackends() {
		a.Classes = append(a.Classes, ClassSlots{
			Class: b.GetClass(),
			Slots: int(b.GetSlots()),
			Used:  int(b.GetUsed()),
		})
	}
	return a
}

// choose returns the less loaded of the two best ranked peers that can take the
// request, in the router's own zone when that has any. After a failure the
// other zones come first. It looks either at suspects or at all others.
func (s *snapshot) choose(class, id string, tried []string, suspect bool) *peer {
	places := s.classes[class]
	if places == nil {
		return nil
	}
	hash := xxhash.Sum64String(id)
	first, second := places.sameZone, places.otherZones
	if len(tried) > 0 {
		first, second = second, first
	}
	if p := chooseCandidate(first, hash, tried, suspect); p != nil {
		return p
	}
	return chooseCandidate(second, hash, tried, suspect)
}

func chooseCandidate(places []candidate, id uint64, tried []string, suspect bool) *peer {
	var best, next *candidate
	var bestScore, nextScore uint64
	for i := range places {
		p := &places[i]
		if p.Leaving || p.Suspect != suspect || p.full() || slices.Contains(tried, p.Name) {
			continue
		}
		score := p.score(id)
		switch {
		case best == nil || score > bestScore:
			next, nextScore = best, bestScore
			best, bestScore = p, score
		case next == nil || score > nextScore:
			next, nextScore = p, score
		}
	}
	if best == nil {
		return nil
	}
	if next != nil && next.load() < best.load() {
		return next.peer
	}
	return best.peer
}

// ranked returns all peers in the order in which to look for an answer.
func (s *snapshot) ranked(id string) []*peer {
	hash := xxhash.Sum64String(id)
	out := slices.Clone(s.peers)
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(b.score(hash), a.score(hash)) })
	return out
}
