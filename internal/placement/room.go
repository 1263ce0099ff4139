package placement

import (
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Eviction says what a request may evict.
type Eviction uint8

// Evictions, from none up.
const (
	// EvictNone takes only what is free.
	EvictNone Eviction = iota
	// EvictMovable evicts small preemptible work, to run it elsewhere.
	EvictMovable
	// EvictBackfill evicts preemptible work, for a large job whose time has come.
	EvictBackfill
	// EvictLower evicts preemptible work that isn't urgent, for urgent work.
	EvictLower
	// EvictBorrowers evicts what others run on the own accelerators of the team.
	EvictBorrowers
)

// Holds says what room reserved for others a request may use.
type Holds uint8

// Uses of reserved room.
const (
	// RespectHolds uses none.
	RespectHolds Holds = iota
	// Backfill uses room that doesn't drain, when the work ends before the
	// reservation or can be preempted.
	Backfill
	// PassHolds uses room that doesn't drain.
	PassHolds
	// IgnoreHolds uses any.
	IgnoreHolds
)

// Request asks for room for one gang.
type Request struct {
	Shape shop.Shape
	// Team is the index of the team in the fleet.
	Team int
	// Region keeps the gang in one region when set.
	Region string
	// Preemptible work may borrow what other teams own.
	Preemptible bool
	// Own keeps the gang on accelerators that its team owns.
	Own       bool
	Evict     Eviction
	Submitted time.Time
	// Since keeps EvictBackfill from what started before.
	Since time.Time
	Holds Holds
	// End is when the work is expected to end.
	End time.Time
	// Probe work may run on a quarantined worker that is due for a probe.
	Probe bool
	// within keeps an Own request to the cores and memory behind its accelerators. Only such
	// a request evicts from accelerators that aren't its team's: one that asks for more borrows
	// itself, and two owners of one worker would evict each other in turn.
	within bool
}

// room is what a request finds on one worker.
type room struct {
	own, other shop.Mask
	// free is what needs no eviction of these.
	free                  shop.Mask
	cores                 int
	memory                int64
	ownCores, poolCores   int
	ownMemory, poolMemory int64
}

// open says whether a worker takes the request at all.
func (n *node) open(q *Request) bool {
	return n.Accelerators >= q.Shape.Accelerators && !n.short(q) && n.serves(q)
}

// serves says whether a worker takes such requests, full or not.
func (n *node) serves(q *Request) bool {
	if q.Region != "" && n.Place.Region != q.Region {
		return false
	}
	if n.Flags == 0 {
		return true
	}
	return q.Probe && n.Flags == Quarantined|Probe && q.Shape.Tasks == 1
}

// short says whether not even one task fits in what is free or may come free.
func (n *node) short(q *Request) bool {
	if q.Evict != EvictNone {
		return (n.Free | n.yield).Len() < q.Shape.Accelerators
	}
	return n.FreeCores < q.Shape.Cores || n.Free.Len() < q.Shape.Accelerators
}

// room returns what the request may use on a worker.
func (f *Fleet) room(i int, q *Request) room {
	n := &f.nodes[i]
	free := n.Free
	r := room{
		cores:      n.FreeCores,
		memory:     int64(n.FreeMemory),
		poolCores:  n.poolCores,
		poolMemory: n.poolMemory,
	}
	c := f.claimOf(n, q.Team)
	var own shop.Mask
	if c != nil {
		own = c.mask
		r.ownCores = c.cores - c.usedCores
		r.ownMemory = c.memory - c.usedMemory
	}
	if q.Evict != EvictNone && (own != 0 || q.Evict != EvictBorrowers) {
		free |= f.addEvictable(n, q, own, &r)
	}
	free &^= f.subtractHeld(i, q, &r)
	r.free = free & n.Free
	r.own = free & own
	if q.Own {
		return r
	}
	r.other = free &^ own
	if !q.Preemptible {
		r.other &= n.unowned
	}
	return r
}

// addEvictable adds what evictions would free and returns their accelerators.
func (f *Fleet) addEvictable(n *node, q *Request, own shop.Mask, r *room) shop.Mask {
	var mask shop.Mask
	for k := n.occFirst; k < n.occEnd; k++ {
		o := &f.occupants[k]
		if !f.evictable(o, q, own) {
			continue
		}
		mask |= o.Mask
		r.cores += o.Cores
		r.memory += o.Memory
		if o.Team == q.Team {
			r.ownCores += o.drawn.ownCores
			r.ownMemory += o.drawn.ownMemory
		}
	}
	return mask
}

// evictable says whether a request may evict an occupant.
func (f *Fleet) evictable(o *Occupant, q *Request, own shop.Mask) bool {
	if !o.Preemptible || f.jobs[o.Job].evicted {
		return false
	}
	switch q.Evict {
	case EvictMovable:
		return !o.Urgent && o.Borrower && o.Gang == 0
	case EvictBackfill:
		return !o.Urgent && o.Borrower && !o.Started.Before(q.Since) && o.yields(q)
	case EvictLower:
		return !o.Urgent && (o.Borrower || o.Team == q.Team)
	case EvictBorrowers:
		if o.Mask&own != 0 {
			return o.Borrower && o.Team != q.Team
		}
		return q.within && o.Borrower
	default:
		return false
	}
}

// yields says whether an occupant gives way to a large job: a large one when it
// has at most half the size, a small one when it came later.
func (o *Occupant) yields(q *Request) bool {
	if o.Gang > 0 {
		return 2*o.Gang <= q.Shape.TotalAccelerators()
	}
	return o.Submitted.After(q.Submitted)
}

// subtractHeld takes away what is reserved for others and returns its accelerators.
func (f *Fleet) subtractHeld(i int, q *Request, r *room) shop.Mask {
	h := &f.held[i]
	if q.Holds == IgnoreHolds || h.from.IsZero() {
		return 0
	}
	away := &h.all
	if q.Holds == PassHolds || q.Holds == Backfill && (q.Preemptible || !q.End.After(h.from)) {
		away = &h.drained
	}
	r.cores -= away.cores
	r.memory -= away.memory
	r.poolCores -= away.poolCores
	r.poolMemory -= away.poolMemory
	return away.other
}

// accelerators is how many of a room are left, by what taking them costs.
type accelerators struct{ ownFree, otherFree, ownTaken, otherTaken int }

func (r *room) accelerators() accelerators {
	own, other := (r.own & r.free).Len(), (r.other & r.free).Len()
	return accelerators{own, other, r.own.Len() - own, r.other.Len() - other}
}

// take removes n in the order in which they are assigned, and returns how many of them the
// team owns; false when there are fewer.
func (a *accelerators) take(n int) (own int, ok bool) {
	for _, kind := range [...]struct {
		left *int
		own  bool
	}{{&a.ownFree, true}, {&a.otherFree, false}, {&a.ownTaken, true}, {&a.otherTaken, false}} {
		m := min(n, *kind.left)
		*kind.left -= m
		n -= m
		if kind.own {
			own += m
		}
	}
	return own, n == 0
}

// count returns how many tasks of the request fit in a room, at most limit.
func (f *Fleet) count(r room, q *Request, limit int) int {
	left := r.accelerators()
	memory := int64(q.Shape.Memory)
	n := 0
	for n < limit {
		own, ok := left.take(q.Shape.Accelerators)
		if !ok || lacks(r.cores, q.Shape.Cores) || lacks(r.memory, memory) {
			break
		}
		r.cores -= q.Shape.Cores
		r.memory -= memory
		if (q.within || !q.Preemptible) && !f.countOwned(&r, q, own) {
			break
		}
		n++
	}
	return n
}

// countOwned takes one task from what its team owns, and the rest, which a request within its
// guarantee must not need, from unowned room unless the task can be preempted.
func (f *Fleet) countOwned(r *room, q *Request, own int) bool {
	cores, memory := 0, int64(0)
	if r.ownCores > 0 || r.ownMemory > 0 {
		cores, memory = f.allowance(q.Team, q.Shape, own)
		cores = max(0, min(cores, r.ownCores))
		memory = max(0, min(memory, r.ownMemory))
	}
	r.ownCores -= cores
	r.ownMemory -= memory
	restCores, restMemory := q.Shape.Cores-cores, int64(q.Shape.Memory)-memory
	if q.within && (restCores > 0 || restMemory > 0) {
		return false
	}
	if q.Preemptible {
		return true
	}
	r.poolCores -= restCores
	r.poolMemory -= restMemory
	return (q.Shape.Cores == 0 || r.poolCores >= 0) && (q.Shape.Memory == 0 || r.poolMemory >= 0)
}

// lacks says whether a room has too little for a need. A room has less than nothing when
// more is reserved than is free; what needs nothing of it fits all the same.
func lacks[T int | int64](room, need T) bool { return need > 0 && room < need }
