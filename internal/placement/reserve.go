package placement

import (
	"cmp"
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Reserve reserves room for a gang from a time on. Room that drains takes nobody
// else's work.
func (f *Fleet) Reserve(q Request, parts PartList, from time.Time, drain bool) {
	f.changeReserved(q, parts, func(h *reservedRoom, r room) {
		if h.from.IsZero() || from.Before(h.from) {
			h.from = from
		}
		h.all.add(r, 1)
		if drain {
			h.drained.add(r, 1)
		}
	})
}

// Release undoes Hold.
func (f *Fleet) Release(q Request, parts PartList, drain bool) {
	f.changeReserved(q, parts, func(h *reservedRoom, r room) {
		h.all.add(r, -1)
		if drain {
			h.drained.add(r, -1)
		}
	})
}

func (f *Fleet) changeReserved(q Request, parts PartList, change func(*reservedRoom, room)) {
	for _, p := range parts {
		i, ok := f.workerIndex[p.Worker]
		if !ok {
			continue
		}
		r := room{
			other:  p.Accelerators,
			cores:  p.Tasks * q.Shape.Cores,
			memory: int64(p.Tasks) * int64(q.Shape.Memory),
		}
		if !q.Preemptible {
			d := f.reservedUsage(&f.nodes[i], q, p)
			r.unownedCores, r.unownedMemory = d.unownedCores, d.unownedMemory
		}
		change(&f.reserved[i], r)
	}
}

// reservedUsage returns what held tasks will draw from unowned room.
func (f *Fleet) reservedUsage(n *node, q Request, p Part) usage {
	own := f.ownMask(n, q.Team) & p.Accelerators
	left := own.Len()
	var sum usage
	for range p.Tasks {
		on := min(left, q.Shape.Accelerators)
		left -= on
		cores, memory := f.allowance(q.Team, q.Shape, on)
		sum.unownedCores += q.Shape.Cores - cores
		sum.unownedMemory += int64(q.Shape.Memory) - memory
	}
	return sum
}

// add adds a room sign times over. Accelerators of two holds never overlap.
func (r *room) add(o room, sign int) {
	if sign > 0 {
		r.other |= o.other
	} else {
		r.other &^= o.other
	}
	r.cores += sign * o.cores
	r.memory += int64(sign) * o.memory
	r.unownedCores += sign * o.unownedCores
	r.unownedMemory += int64(sign) * o.unownedMemory
}

// taskStart is when one task of a gang could start on a worker.
type taskStart struct {
	worker int
	start  time.Time
}

// EarliestFit finds the place where a gang that doesn't fit now is expected to fit
// first, from the expected ends of what runs there. What the request may evict
// counts as ended. Reserved room of others is left alone, and so is what other
// teams own, as long as there is enough besides: owners come back at any time.
func (f *Fleet) EarliestFit(q Request, now time.Time) (PartList, time.Time, bool) {
	if q.Preemptible {
		plain := q
		plain.Preemptible = false
		if parts, start, ok := f.earliestFit(plain, now); ok {
			return parts, start, true
		}
	}
	return f.earliestFit(q, now)
}

func (f *Fleet) earliestFit(q Request, now time.Time) (PartList, time.Time, bool) {
	spans := f.spans(q.Shape.Adjacency)
	if q.Shape.Tasks == 1 || q.Shape.Adjacency == shop.SameWorker {
		spans = nil
	}
	var best []taskStart
	var start time.Time
	consider := func(times []taskStart) {
		if len(times) < q.Shape.Tasks {
			return
		}
		slices.SortFunc(times, func(a, b taskStart) int {
			return cmp.Or(a.start.Compare(b.start), cmp.Compare(a.worker, b.worker))
		})
		times = times[:q.Shape.Tasks]
		last := times[len(times)-1].start
		if best == nil || last.Before(start) {
			best, start = append(best[:0], times...), last
		}
	}
	for _, s := range spans {
		times := f.scratch.starts[:0]
		for i := s.first; i < s.end; i++ {
			times = f.taskStarts(i, &q, now, times)
		}
		f.scratch.starts = times
		consider(times)
	}
	for i := 0; spans == nil && i < len(f.nodes); i++ {
		f.scratch.starts = f.taskStarts(i, &q, now, f.scratch.starts[:0])
		consider(f.scratch.starts)
	}
	if best == nil {
		return nil, time.Time{}, false
	}
	return f.partsAt(best, &q, now, start), start, true
}

// occupantEnd is when an occupant is expected to leave.
type occupantEnd struct {
	occupant int32
	nanos    int64 // Since 1970: cheap to compare.
}

// occupantsByEnd lists the occupants of a worker, the first to end first.
func (f *Fleet) occupantsByEnd(n *node, q *Request, now time.Time, own shop.Mask) []occupantEnd {
	l := f.scratch.ends[:0]
	for k := n.occupantFirst; k < n.occupantEnd; k++ {
		if !f.jobs[f.occupants[k].Job].evicted {
			l = append(l, occupantEnd{int32(k), f.expectedEnd(int32(k), q, now, own).UnixNano()})
		}
	}
	slices.SortFunc(l, func(a, b occupantEnd) int {
		return cmp.Or(cmp.Compare(a.nanos, b.nanos), cmp.Compare(a.occupant, b.occupant))
	})
	f.scratch.ends = l
	return l
}

func (f *Fleet) expectedEnd(k int32, q *Request, now time.Time, own shop.Mask) time.Time {
	o := &f.occupants[k]
	switch {
	case f.evictable(o, q, own):
		return now
	case o.End.Before(now):
		// What overran so far is the best guess of what is left.
		return now.Add(now.Sub(o.End))
	default:
		return o.End
	}
}

// taskStarts appends when each task could start on a worker.
func (f *Fleet) taskStarts(i int, q *Request, now time.Time, times []taskStart) []taskStart {
	n := &f.nodes[i]
	if !n.accepts(q) || f.capacity(i, q.Shape, q.Region) == 0 {
		return times
	}
	plain := *q
	plain.Evict = EvictNone
	r := f.room(i, &plain)
	own := f.ownMask(n, q.Team)
	found := f.countTasks(r, &plain, q.Shape.Tasks)
	for range found {
		times = append(times, taskStart{i, now})
	}
	if found == q.Shape.Tasks {
		return times
	}
	for _, e := range f.occupantsByEnd(n, q, now, own) {
		f.addEnded(&r, n, q, e.occupant, own, f.reserved[i].all.other)
		fits := f.countTasks(r, &plain, q.Shape.Tasks)
		for ; found < fits; found++ {
			times = append(times, taskStart{i, time.Unix(0, e.nanos).In(now.Location())})
		}
	}
	return times
}

// addEnded adds what an occupant leaves behind.
func (f *Fleet) addEnded(r *room, n *node, q *Request, k int32, own, heldMask shop.Mask) {
	o := &f.occupants[k]
	r.cores += o.Cores
	r.memory += o.Memory
	r.unownedCores += o.usage.unownedCores
	r.unownedMemory += o.usage.unownedMemory
	if o.Team == q.Team {
		r.ownCores += o.usage.ownCores
		r.ownMemory += o.usage.ownMemory
	}
	mask := o.Mask
	if q.ReservationUse != IgnoreReservations {
		mask &^= heldMask
	}
	r.free |= mask
	r.own |= mask & own
	other := mask &^ own
	if !q.Preemptible {
		other &= n.unowned
	}
	r.other |= other
}

// partsAt picks the accelerators that will be free at a time.
func (f *Fleet) partsAt(times []taskStart, q *Request, now, at time.Time) PartList {
	slices.SortFunc(times, func(a, b taskStart) int { return cmp.Compare(a.worker, b.worker) })
	var l PartList
	for first := 0; first < len(times); {
		end := first
		for end < len(times) && times[end].worker == times[first].worker {
			end++
		}
		l = append(l, f.partAt(times[first].worker, end-first, q, now, at))
		first = end
	}
	return l
}

func (f *Fleet) partAt(i, tasks int, q *Request, now, at time.Time) Part {
	n := &f.nodes[i]
	own := f.ownMask(n, q.Team)
	plain := *q
	plain.Evict = EvictNone
	r := f.room(i, &plain)
	want := tasks * q.Shape.Accelerators
	mask := (r.own | r.other).First(want)
	for _, e := range f.occupantsByEnd(n, q, now, own) {
		if mask.Len() == want || e.nanos > at.UnixNano() {
			break
		}
		f.addEnded(&r, n, q, e.occupant, own, f.reserved[i].all.other)
		mask |= ((r.own | r.other) &^ mask).First(want - mask.Len())
	}
	return Part{Worker: n.Place.Worker, Tasks: tasks, Accelerators: mask}
}
