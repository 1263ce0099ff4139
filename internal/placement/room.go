package placement

import (
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Eviction is what a request may evict.
type Eviction uint8

// Values of Eviction.
const (
	// EvictNone evicts nothing.
	EvictNone Eviction = iota
	// EvictMovable evicts small preemptible borrowers, to run them elsewhere.
	EvictMovable
	// EvictBackfill evicts preemptible borrowers for a large job that is overdue, or for
	// any job whose reservation has reached its expected start.
	EvictBackfill
	// EvictNonUrgent evicts non-urgent preemptible work of borrowers and of the same
	// team, for urgent work.
	EvictNonUrgent
	// EvictBorrowers evicts borrowers of other teams from accelerators that the team owns.
	EvictBorrowers
)

// ReservationUse is which room reserved for others a request may use.
type ReservationUse uint8

// Values of ReservationUse.
const (
	// RespectReservations uses no reserved room.
	RespectReservations ReservationUse = iota
	// Backfill uses room of reservations that don't drain, if the work can be
	// preempted or ends before the earliest reservation starts.
	Backfill
	// UseUndrained uses room of reservations that don't drain.
	UseUndrained
	// IgnoreReservations uses any reserved room.
	IgnoreReservations
)

// Request asks for room for one gang.
type Request struct {
	Shape shop.Shape
	// Team is the index of the team in the fleet.
	Team int
	// Region is the only region that the gang may run in, if set.
	Region string
	// Preemptible work may borrow resources that other teams own.
	Preemptible bool
	// OwnedOnly restricts the gang to accelerators that its team owns.
	OwnedOnly bool
	Evict     Eviction
	// Submitted is the time after which small jobs must have been submitted for
	// EvictBackfill to evict them.
	Submitted time.Time
	// EvictStartedSince restricts EvictBackfill to work that started since then.
	EvictStartedSince time.Time
	ReservationUse    ReservationUse
	// End is when the work is expected to end.
	End time.Time
	// Probe work may run on a quarantined worker that is due for a probe.
	Probe bool
	// withinGuarantee restricts an OwnedOnly request to the cores and memory that
	// belong to its accelerators. Only such a request may evict from accelerators that
	// its team doesn't own: a request for more is itself a borrower, and two owners on
	// one worker would evict each other in turn.
	withinGuarantee bool
}

// room is the resources of one worker that a request may use.
type room struct {
	// own and other are the accelerators that the team owns and those it doesn't.
	own, other shop.Mask
	// free is those of them that need no eviction.
	free                     shop.Mask
	cores                    int
	memory                   int64
	ownCores, unownedCores   int
	ownMemory, unownedMemory int64
}

// mayFit reports whether any task of the request may fit on a worker. It rules out
// workers cheaply, before room is computed.
func (n *node) mayFit(q *Request) bool {
	return n.Accelerators >= q.Shape.Accelerators && !n.lacksRoom(q) && n.accepts(q)
}

// accepts reports whether a worker takes such requests, regardless of its free
// resources.
func (n *node) accepts(q *Request) bool {
	if q.Region != "" && n.Place.Region != q.Region {
		return false
	}
	if n.Flags == 0 {
		return true
	}
	return q.Probe && n.Flags == Quarantined|Probe && q.Shape.Tasks == 1
}

// lacksRoom reports whether not even one task fits in the free resources or those
// that an eviction may free.
func (n *node) lacksRoom(q *Request) bool {
	if q.Evict != EvictNone {
		return (n.Free | n.preemptible).Len() < q.Shape.Accelerators
	}
	return n.FreeCores < q.Shape.Cores || n.Free.Len() < q.Shape.Accelerators
}

// room returns the resources that a request may use on a worker.
func (f *Fleet) room(i int, q *Request) room {
	n := &f.nodes[i]
	free := n.Free
	r := room{
		cores:         n.FreeCores,
		memory:        int64(n.FreeMemory),
		unownedCores:  n.unownedCores,
		unownedMemory: n.unownedMemory,
	}
	owned := f.ownershipOf(n, q.Team)
	var own shop.Mask
	if owned != nil {
		own = owned.mask
		r.ownCores = owned.cores - owned.usedCores
		r.ownMemory = owned.memory - owned.usedMemory
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

// addEvictable adds the resources that evictions would free to r and returns the
// accelerators among them.
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

// evictable reports whether a request may evict an occupant. own is the
// accelerators that its team owns on the worker.
func (f *Fleet) evictable(o *Occupant, q *Request, own shop.Mask) bool {
	if !o.Preemptible || f.jobs[o.Job].evicted {
		return false
	}
	switch q.Evict {
	case EvictMovable:
		return !o.Urgent && o.Borrower && o.GangAccelerators == 0
	case EvictBackfill:
		return !o.Urgent && o.Borrower && !o.Started.Before(q.EvictStartedSince) && o.hasLowerPriorityThan(q)
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

// hasLowerPriorityThan reports whether EvictBackfill may evict an occupant for a
// request: a large occupant if it has at most half the accelerators, a small one if it
// was submitted later.
func (o *Occupant) hasLowerPriorityThan(q *Request) bool {
	if o.GangAccelerators > 0 {
		return 2*o.GangAccelerators <= q.Shape.TotalAccelerators()
	}
	return o.Submitted.After(q.Submitted)
}

// subtractReserved removes the resources reserved for others from r and returns the
// accelerators among them.
func (f *Fleet) subtractReserved(i int, q *Request, r *room) shop.Mask {
	res := &f.reserved[i]
	if q.ReservationUse == IgnoreReservations || res.from.IsZero() {
		return 0
	}
	reserved := &res.all
	if q.ReservationUse == UseUndrained || q.ReservationUse == Backfill && (q.Preemptible || !q.End.After(res.from)) {
		reserved = &res.drained
	}
	r.cores -= reserved.cores
	r.memory -= reserved.memory
	r.unownedCores -= reserved.unownedCores
	r.unownedMemory -= reserved.unownedMemory
	return reserved.other
}

// acceleratorCounts counts the accelerators of a room, by owner and by whether they
// need an eviction.
type acceleratorCounts struct{ ownFree, otherFree, ownInUse, otherInUse int }

func (r *room) acceleratorCounts() acceleratorCounts {
	own, other := (r.own & r.free).Len(), (r.other & r.free).Len()
	return acceleratorCounts{own, other, r.own.Len() - own, r.other.Len() - other}
}

// take removes n accelerators in the order in which they are assigned. It returns
// how many of them the team owns, and false if there are fewer than n.
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

// countTasks counts the tasks of the request that fit in a room, up to limit.
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

// takeTask takes the cores and memory of one task from what its team owns, and the
// rest from unowned resources unless the task can be preempted. It returns false if
// they don't suffice, or if a request within its guarantee needs any rest.
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

// lacks reports whether a room has too little of a resource. The amount is negative
// if more is reserved than is free; a task that needs none of it still fits.
func lacks[T int | int64](room, need T) bool { return need > 0 && room < need }
