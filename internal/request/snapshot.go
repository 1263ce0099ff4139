package request

import (
	"cmp"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// ClassSlots is the number of requests of a class that an agent can run at the
// same time.
type ClassSlots struct {
	Class string
	Slots int
	// Used is the number of slots in use in the last report of the agent.
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

// AgentList lists the agents that an entry knows.
type AgentList []Agent

// peer is an agent in a snapshot, with the number of requests in progress that
// this entry sent to it.
type peer struct {
	Agent
	hash     uint64
	inFlight *atomic.Int64
}

// score is the weight of the peer for a request id in rendezvous hashing. All
// entries compute the same ranking, so another entry knows where to look for an
// answer first.
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

// load is the fraction of the slots in use, as far as this entry knows.
func (c candidate) load() float64 {
	return float64(max(int(c.inFlight.Load()), c.used)) / float64(max(c.slots, 1))
}

func (c candidate) full() bool { return int(c.inFlight.Load()) >= c.slots }

// classCandidates lists the peers that serve a class, in the router's own zone
// and in others.
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

func (s *snapshot) add(c ClassSlots, p *peer, sameZone bool) {
	candidates := s.classes[c.Class]
	if candidates == nil {
		candidates = &classCandidates{}
		s.classes[c.Class] = candidates
	}
	added := candidate{peer: p, slots: c.Slots, used: c.Used}
	if sameZone {
		candidates.sameZone = append(candidates.sameZone, added)
	} else {
		candidates.otherZones = append(candidates.otherZones, added)
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

// NewAgent returns the part of an agent's state that a router needs.
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

// choose returns the less loaded of the two highest-ranked peers that can take
// the request, in the router's own zone if it has any. After a failed attempt the
// other zones come first. Only suspect agents are considered when suspect is set,
// and only the others when it is not.
func (s *snapshot) choose(class, id string, tried []string, suspect bool) *peer {
	candidates := s.classes[class]
	if candidates == nil {
		return nil
	}
	hash := xxhash.Sum64String(id)
	first, second := candidates.sameZone, candidates.otherZones
	if len(tried) > 0 {
		first, second = second, first
	}
	if p := chooseCandidate(first, hash, tried, suspect); p != nil {
		return p
	}
	return chooseCandidate(second, hash, tried, suspect)
}

func chooseCandidate(candidates []candidate, id uint64, tried []string, suspect bool) *peer {
	var best, next *candidate
	var bestScore, nextScore uint64
	for i := range candidates {
		p := &candidates[i]
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

// ranked returns all peers in the order in which to ask them for an answer.
func (s *snapshot) ranked(id string) []*peer {
	hash := xxhash.Sum64String(id)
	out := slices.Clone(s.peers)
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(b.score(hash), a.score(hash)) })
	return out
}
