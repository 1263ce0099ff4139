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
	// EvictNonUrgent evicts preemptible work that isn't urgent, for urgent work.
	EvictNonUrgent
	// EvictBorrowers evicts what others run on the own accelerators of the team.
	EvictBorrowers
)

// ReservationUse says what room reserved for others a request may use.
type ReservationUse uint8

// Uses of reserved room.
const (
	// RespectReservations uses none.
	RespectReservations ReservationUse = iota
	// Backfill uses room that doesn't drain, when the work ends before the
	// reservation or can be preempted.
	Backfill
	// UseUndrained uses room that doesn't drain.
	UseUndrained
	// IgnoreReservations uses any.
	IgnoreReservations
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
	// OwnedOnly keeps the gang on accelerators that its team owns.
	OwnedOnly bool
	Evict     Eviction
	Submitted time.Time
	// EvictStartedSince keeps EvictBackfill from what started before.
	EvictStartedSince time.Time
	ReservationUse    ReservationUse
	// End is when the work is expected to end.
	End time.Time
	// Probe work may run on a quarantined worker that is due for a probe.
	Probe bool
	// withinGuarantee keeps an Own request to the cores and memory behind its accelerators. Only such
	// a request evicts from accelerators that aren't its team's: one that asks for more borrows
	// itself, and two owners of one worker would evict each other in turn.
	withinGuarantee bool
}

// room is what a request finds on one worker.
type room struct {
	own, other shop.Mask
	// free is what needs no eviction of these.
	free                     shop.Mask
	cores                    int
	memory                   int64
	ownCores, unownedCores   int
	ownMemory, unownedMemory int64
}

// mayFit says whether a worker takes the request at all.
func (n *node) mayFit(q *Request) bool {
	return n.Accelerators >= q.Shape.Accelerators && !n.lacksRoom(q) && n.accepts(q)
}

// accepts says whether a worker takes such requests, full or not.
func (n *node) accepts(q *Request) bool {
	if q.Region != "" && n.Place.Region != q.Region {
		return false
	}
	if n.Flags == 0 {
		return true
	}
	return q.Probe && n.Flags == Quarantined|Probe && q.Shape.Tasks == 1
}

// lacksRoom says whether not even one task fits in what is free or may come free.
func (n *node) lacksRoom(q *Request) bool {
	if q.Evict != EvictNone {
		return (n.Free | n.preemptible).Len() < q.Shape.Accelerators
	}
	return n.FreeCores < q.Shape.Cores || n.Free.Len() < q.Shape.Accelerators
}

// room returns what the request may use on a worker.
func (f *Fleet) room(i int, q *Request) room {
	n := &f.nodes[i]
	free := n.Free
	r := room{
		cores:         n.FreeCores,
		memory:        int64(n.FreeMemory),
		unownedCores:  n.unownedCores,
		unownedMemory: n.unownedMemory,
	}
	c := f.ownershipOf(n, q.Team)
	var own shop.Mask
	if c != nil {
		own = c.mask
		r.ownCores = c.cores - c.usedCores
		r.ownMemory = c.memory - c.usedMemory
	}
	if q.Evict != EvictNone && (own != 0 || q.Evict != EvictBorrowers) {
		free |= f.addEvictable(n, q, own, &r)
	}
	free &^= f.subtractReserved(i, q, &r)
	r.free = free & n.Free
	r.own = free & own
	if q.OwnedOnly {
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
	for k := n.occupantFirst; k < n.occupantEnd; k++ {
		o := &f.occupants[k]
		if !f.evictable(o, q, own) {
			continue
		}
		mask |= o.Mask
		r.cores += o.Cores
		r.memory += o.Memory
		if o.Team == q.Team {
			r.ownCores += o.usage.ownCores
			r.ownMemory += o.usage.ownMemory
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
		return !o.Urgent && o.Borrower && o.GangAccelerators == 0
	case EvictBackfill:
		return !o.Urgent && o.Borrower && !o.Started.Before(q.EvictStartedSince) && o.givesWay(q)
	case EvictNonUrgent:
		return !o.Urgent && (o.Borrower || o.Team == q.Team)
	case EvictBorrowers:
		if o.Mask&own != 0 {
			return o.Borrower && o.Team != q.Team
		}
		return q.withinGuarantee && o.Borrower
	default:
		return false
	}
}

// givesWay says whether an occupant gives way to a large job: a large one when it
// has at most half the size, a small one when it came later.
func (o *Occupant) givesWay(q *Request) bool {
	if o.GangAccelerators > 0 {
		return 2*o.GangAccelerators <= q.Shape.TotalAccelerators()
	}
	return o.Submitted.After(q.Submitted)
}

// subtractReserved takes away what is reserved for others and returns its accelerators.
func (f *Fleet) subtractReserved(i int, q *Request, r *room) shop.Mask {
	h := &f.reserved[i]
	if q.ReservationUse == IgnoreReservations || h.from.IsZero() {
		return 0
	}
	away := &h.all
	if q.ReservationUse == UseUndrained || q.ReservationUse == Backfill && (q.Preemptible || !q.End.After(h.from)) {
		away = &h.drained
	}
	r.cores -= away.cores
	r.memory -= away.memory
	r.unownedCores -= away.unownedCores
	r.unownedMemory -= away.unownedMemory
	return away.other
}

// acceleratorCounts is how many of a room are left, by what taking them costs.
type acceleratorCounts struct{ ownFree, otherFree, ownInUse, otherInUse int }

func (r *room) acceleratorCounts() acceleratorCounts {
	own, other := (r.own & r.free).Len(), (r.other & r.free).Len()
	return acceleratorCounts{own, other, r.own.Len() - own, r.other.Len() - other}
}

// take removes n in the order in which they are assigned, and returns how many of them the
// team owns; false when there are fewer.
func (a *acceleratorCounts) take(n int) (own int, ok bool) {
	for _, kind := range [...]struct {
		left *int
		own  bool
	}{{&a.ownFree, true}, {&a.otherFree, false}, {&a.ownInUse, true}, {&a.otherInUse, false}} {
		m := min(n, *kind.left)
		*kind.left -= m
		n -= m
		if kind.own {
			own += m
		}
	}
	return own, n == 0
}

// countTasks returns how many tasks of the request fit in a room, at most limit.
func (f *Fleet) countTasks(r room, q *Request, limit int) int {
	left := r.acceleratorCounts()
	memory := int64(q.Shape.Memory)
	n := 0
	for n < limit {
		own, ok := left.take(q.Shape.Accelerators)
		if !ok || lacks(r.cores, q.Shape.Cores) || lacks(r.memory, memory) {
			break
		}
		r.cores -= q.Shape.Cores
		r.memory -= memory
		if (q.withinGuarantee || !q.Preemptible) && !f.takeTask(&r, q, own) {
			break
		}
		n++
	}
	return n
}

// takeTask takes one task from what its team owns, and the rest, which a request within its
// guarantee must not need, from unowned room unless the task can be preempted.
func (f *Fleet) takeTask(r *room, q *Request, own int) bool {
	cores, memory := 0, int64(0)
	if r.ownCores > 0 || r.ownMemory > 0 {
		cores, memory = f.allowance(q.Team, q.Shape, own)
		cores = max(0, min(cores, r.ownCores))
		memory = max(0, min(memory, r.ownMemory))
	}
	r.ownCores -= cores
	r.ownMemory -= memory
	restCores, restMemory := q.Shape.Cores-cores, int64(q.Shape.Memory)-memory
	if q.withinGuarantee && (restCores > 0 || restMemory > 0) {
		return false
	}
	if q.Preemptible {
		return true
	}
	r.unownedCores -= restCores
	r.unownedMemory -= restMemory
	return (q.Shape.Cores == 0 || r.unownedCores >= 0) && (q.Shape.Memory == 0 || r.unownedMemory >= 0)
}

// lacks says whether a room has too little for a need. A room has less than nothing when
// more is reserved than is free; what needs nothing of it fits all the same.
func lacks[T int | int64](room, need T) bool { return need > 0 && room < need }
