package placement

import (
	"cmp"
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Reserve reserves room for a gang from the given time on. Room that drains takes
// no work of other jobs.
func (f *Fleet) Reserve(q Request, parts PartList, from time.Time, drain bool) {
	f.changeReserved(q, parts, func(res *reservedRoom, r room) {
		if res.from.IsZero() || from.Before(res.from) {
			res.from = from
		}
		res.all.add(r, 1)
		if drain {
			res.drained.add(r, 1)
		}
	})
}

// Release undoes Reserve, except that the earliest start of the reservations of a
// worker stays.
func (f *Fleet) Release(q Request, parts PartList, drain bool) {
	f.changeReserved(q, parts, func(res *reservedRoom, r room) {
		res.all.add(r, -1)
		if drain {
			res.drained.add(r, -1)
		}
	})
}

// changeReserved calls change with the reserved room of each worker and the room that
// the parts need there.
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
			u := f.reservedUsage(&f.nodes[i], q, p)
			r.unownedCores, r.unownedMemory = u.unownedCores, u.unownedMemory
		}
		change(&f.reserved[i], r)
	}
}

// reservedUsage returns the unowned cores and memory that a reserved part will use.
func (f *Fleet) reservedUsage(n *node, q Request, p Part) usage {
	own := f.ownMask(n, q.Team) & p.Accelerators
	left := own.Len()
	var sum usage
	for range p.Tasks {
		ownOfTask := min(left, q.Shape.Accelerators)
		left -= ownOfTask
		cores, memory := f.allowance(q.Team, q.Shape, ownOfTask)
		sum.unownedCores += q.Shape.Cores - cores
		sum.unownedMemory += int64(q.Shape.Memory) - memory
	}
	return sum
}

// add adds another room if sign is 1, and subtracts it if sign is -1. The
// accelerators of two reservations never overlap.
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

// taskStart is the time at which one task of a gang could start on a worker.
type taskStart struct {
	worker int
	start  time.Time
}

// EarliestFit finds the place where a gang that doesn't fit now is expected to fit
// first, by the expected ends of running work. Work that the request may evict
// counts as ended. Room that is reserved for others is not used. Resources that
// other teams own are used only if the rest never suffices, as owners may reclaim
// them at any time.
func (f *Fleet) EarliestFit(q Request, now time.Time) (PartList, time.Time, bool) {
	if q.Preemptible {
		nonBorrowing := q
		nonBorrowing.Preemptible = false
		if parts, start, ok := f.earliestFit(nonBorrowing, now); ok {
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
	consider := func(starts []taskStart) {
		if len(starts) < q.Shape.Tasks {
			return
		}
		slices.SortFunc(starts, func(a, b taskStart) int {
			return cmp.Or(a.start.Compare(b.start), cmp.Compare(a.worker, b.worker))
		})
		starts = starts[:q.Shape.Tasks]
		last := starts[len(starts)-1].start
		if best == nil || last.Before(start) {
			best, start = append(best[:0], starts...), last
		}
	}
	for _, s := range spans {
		starts := f.scratch.starts[:0]
		for i := s.first; i < s.end; i++ {
			starts = f.taskStarts(i, &q, now, starts)
		}
		f.scratch.starts = starts
		consider(starts)
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

// occupantEnd is the expected end of an occupant.
type occupantEnd struct {
	occupant int32
	nanos    int64 // Unix time, as integers are cheap to compare.
}

// occupantsByEnd returns the occupants of a worker by expected end, earliest first.
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

// expectedEnd returns the expected end of an occupant, which is now if the request
// may evict it.
func (f *Fleet) expectedEnd(k int32, q *Request, now time.Time, own shop.Mask) time.Time {
	o := &f.occupants[k]
	switch {
	case f.evictable(o, q, own):
		return now
	case o.End.Before(now):
		// The best estimate of the remaining time is the overrun so far.
		return now.Add(now.Sub(o.End))
	default:
		return o.End
	}
}

// taskStarts appends the times at which tasks could start on a worker.
func (f *Fleet) taskStarts(i int, q *Request, now time.Time, starts []taskStart) []taskStart {
	n := &f.nodes[i]
	if !n.accepts(q) || f.capacity(i, q.Shape, q.Region) == 0 {
		return starts
	}
	noEvict := *q
	noEvict.Evict = EvictNone
	r := f.room(i, &noEvict)
	own := f.ownMask(n, q.Team)
	count := f.countTasks(r, &noEvict, q.Shape.Tasks)
	for range count {
		starts = append(starts, taskStart{i, now})
	}
	if count == q.Shape.Tasks {
		return starts
	}
	for _, e := range f.occupantsByEnd(n, q, now, own) {
		f.addEnded(&r, n, q, e.occupant, own, f.reserved[i].all.other)
		fits := f.countTasks(r, &noEvict, q.Shape.Tasks)
		for ; count < fits; count++ {
			starts = append(starts, taskStart{i, time.Unix(0, e.nanos).In(now.Location())})
		}
	}
	return starts
}

// addEnded adds the resources that an occupant frees when it ends.
func (f *Fleet) addEnded(r *room, n *node, q *Request, k int32, own, reservedMask shop.Mask) {
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
		mask &^= reservedMask
	}
	r.free |= mask
	r.own |= mask & own
	other := mask &^ own
	if !q.Preemptible {
		other &= n.unowned
	}
	r.other |= other
}

// partsAt chooses accelerators that are expected to be free at the given time.
func (f *Fleet) partsAt(starts []taskStart, q *Request, now, at time.Time) PartList {
	slices.SortFunc(starts, func(a, b taskStart) int { return cmp.Compare(a.worker, b.worker) })
	var l PartList
	for first := 0; first < len(starts); {
		end := first
		for end < len(starts) && starts[end].worker == starts[first].worker {
			end++
		}
		l = append(l, f.partAt(starts[first].worker, end-first, q, now, at))
		first = end
	}
	return l
}

func (f *Fleet) partAt(i, tasks int, q *Request, now, at time.Time) Part {
	n := &f.nodes[i]
	own := f.ownMask(n, q.Team)
	noEvict := *q
	noEvict.Evict = EvictNone
	r := f.room(i, &noEvict)
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
