package placement

import (
	"cmp"
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Hold reserves room for a gang from a time on. Room that drains takes nobody
// else's work.
func (f *Fleet) Hold(q Request, parts PartList, from time.Time, drain bool) {
	f.hold(q, parts, func(h *held, r room) {
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
	f.hold(q, parts, func(h *held, r room) {
		h.all.add(r, -1)
		if drain {
			h.drained.add(r, -1)
		}
	})
}

func (f *Fleet) hold(q Request, parts PartList, change func(*held, room)) {
	for _, p := range parts {
		i, ok := f.index[p.Worker]
		if !ok {
			continue
		}
		r := room{
			other:  p.Accelerators,
			cores:  p.Tasks * q.Shape.Cores,
			memory: int64(p.Tasks) * int64(q.Shape.Memory),
		}
		if !q.Preemptible {
			d := f.drawHeld(&f.nodes[i], q, p)
			r.poolCores, r.poolMemory = d.poolCores, d.poolMemory
		}
		change(&f.held[i], r)
	}
}

// drawHeld returns what held tasks will draw from unowned room.
func (f *Fleet) drawHeld(n *node, q Request, p Part) draw {
	own := f.ownMask(n, q.Team) & p.Accelerators
	left := own.Len()
	var sum draw
	for range p.Tasks {
		on := min(left, q.Shape.Accelerators)
		left -= on
		cores, memory := f.allowance(q.Team, q.Shape, on)
		sum.poolCores += q.Shape.Cores - cores
		sum.poolMemory += int64(q.Shape.Memory) - memory
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
	r.poolCores += sign * o.poolCores
	r.poolMemory += int64(sign) * o.poolMemory
}

// taskTime is when one task of a gang could start on a worker.
type taskTime struct {
	worker int
	start  time.Time
}

// Soonest finds the place where a gang that doesn't fit now is expected to fit
// first, from the expected ends of what runs there. What the request may evict
// counts as ended. Reserved room of others is left alone, and so is what other
// teams own, as long as there is enough besides: owners come back at any time.
func (f *Fleet) Soonest(q Request, now time.Time) (PartList, time.Time, bool) {
	if q.Preemptible {
		plain := q
		plain.Preemptible = false
		if parts, start, ok := f.soonest(plain, now); ok {
			return parts, start, true
		}
	}
	return f.soonest(q, now)
}

func (f *Fleet) soonest(q Request, now time.Time) (PartList, time.Time, bool) {
	spans := f.spans(q.Shape.Adjacency)
	if q.Shape.Tasks == 1 || q.Shape.Adjacency == shop.SameWorker {
		spans = nil
	}
	var best []taskTime
	var start time.Time
	consider := func(times []taskTime) {
		if len(times) < q.Shape.Tasks {
			return
		}
		slices.SortFunc(times, func(a, b taskTime) int {
			return cmp.Or(a.start.Compare(b.start), cmp.Compare(a.worker, b.worker))
		})
		times = times[:q.Shape.Tasks]
		last := times[len(times)-1].start
		if best == nil || last.Before(start) {
			best, start = append(best[:0], times...), last
		}
	}
	for _, s := range spans {
		times := f.scratch.times[:0]
		for i := s.first; i < s.end; i++ {
			times = f.taskTimes(i, &q, now, times)
		}
		f.scratch.times = times
		consider(times)
	}
	for i := 0; spans == nil && i < len(f.nodes); i++ {
		f.scratch.times = f.taskTimes(i, &q, now, f.scratch.times[:0])
		consider(f.scratch.times)
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

// byEnd lists the occupants of a worker, the first to end first.
func (f *Fleet) byEnd(n *node, q *Request, now time.Time, own shop.Mask) []occupantEnd {
	l := f.scratch.ends[:0]
	for k := n.occFirst; k < n.occEnd; k++ {
		if !f.jobs[f.occupants[k].Job].evicted {
			l = append(l, occupantEnd{int32(k), f.endOf(int32(k), q, now, own).UnixNano()})
		}
	}
	slices.SortFunc(l, func(a, b occupantEnd) int {
		return cmp.Or(cmp.Compare(a.nanos, b.nanos), cmp.Compare(a.occupant, b.occupant))
	})
	f.scratch.ends = l
	return l
}

func (f *Fleet) endOf(k int32, q *Request, now time.Time, own shop.Mask) time.Time {
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

// taskTimes appends when each task could start on a worker.
func (f *Fleet) taskTimes(i int, q *Request, now time.Time, times []taskTime) []taskTime {
	n := &f.nodes[i]
	if !n.serves(q) || f.capacity(i, q.Shape, q.Region) == 0 {
		return times
	}
	plain := *q
	plain.Evict = EvictNone
	r := f.room(i, &plain)
	own := f.ownMask(n, q.Team)
	found := f.count(r, &plain, q.Shape.Tasks)
	for range found {
		times = append(times, taskTime{i, now})
	}
	if found == q.Shape.Tasks {
		return times
	}
	for _, e := range f.byEnd(n, q, now, own) {
		f.endOne(&r, n, q, e.occupant, own, f.held[i].all.other)
		fits := f.count(r, &plain, q.Shape.Tasks)
		for ; found < fits; found++ {
			times = append(times, taskTime{i, time.Unix(0, e.nanos).In(now.Location())})
		}
	}
	return times
}

// endOne adds what an occupant leaves behind.
func (f *Fleet) endOne(r *room, n *node, q *Request, k int32, own, heldMask shop.Mask) {
	o := &f.occupants[k]
	r.cores += o.Cores
	r.memory += o.Memory
	r.poolCores += o.drawn.poolCores
	r.poolMemory += o.drawn.poolMemory
	if o.Team == q.Team {
		r.ownCores += o.drawn.ownCores
		r.ownMemory += o.drawn.ownMemory
	}
	mask := o.Mask
	if q.Holds != IgnoreHolds {
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
func (f *Fleet) partsAt(times []taskTime, q *Request, now, at time.Time) PartList {
	slices.SortFunc(times, func(a, b taskTime) int { return cmp.Compare(a.worker, b.worker) })
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
	for _, e := range f.byEnd(n, q, now, own) {
		if mask.Len() == want || e.nanos > at.UnixNano() {
			break
		}
		f.endOne(&r, n, q, e.occupant, own, f.held[i].all.other)
		mask |= ((r.own | r.other) &^ mask).First(want - mask.Len())
	}
	return Part{Worker: n.Place.Worker, Tasks: tasks, Accelerators: mask}
}
