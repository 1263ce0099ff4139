package placement

import (
	"cmp"
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Placement is the parts of a gang and the running jobs to evict first.
type Placement struct {
	Parts PartList
	// Evict is the numbers of the running jobs to evict.
	Evict []int
}

// scratch is memory that is reused between fits.
type scratch struct {
	counts []workerTasks
	best   []workerTasks
	ends   []occupantEnd
	starts []taskStart
	evict  []int
}

// workerTasks is a number of tasks on a worker.
type workerTasks struct{ worker, tasks int }

// Fit finds room for a gang: each task on one worker, all tasks as close together as
// the shape requires. It evicts only if the free resources don't suffice.
func (f *Fleet) Fit(q Request) (Placement, bool) {
	chosen, ok := f.chooseLeastDisruptive(&q)
	if !ok {
		return Placement{}, false
	}
	var p Placement
	for _, c := range chosen {
		p.Parts = append(p.Parts, f.assign(c, &q, &p.Evict))
	}
	slices.SortFunc(p.Parts, func(a, b Part) int { return f.workerIndex[a.Worker] - f.workerIndex[b.Worker] })
	slices.Sort(p.Evict)
	return p, true
}

// chooseLeastDisruptive chooses the workers of a gang. It tries to use no borrowed
// resources, then to borrow free ones, and last to evict. On success, q.Evict and
// q.withinGuarantee are those of the attempt that fitted, as assign needs them.
func (f *Fleet) chooseLeastDisruptive(q *Request) ([]workerTasks, bool) {
	evict, preemptible := q.Evict, q.Preemptible
	q.Evict = EvictNone
	if preemptible && !q.OwnedOnly && len(f.ownerships) > 0 {
		q.Preemptible = false
		chosen, ok := f.choose(q)
		q.Preemptible = preemptible
		if ok {
			return chosen, true
		}
	}
	if chosen, ok := f.choose(q); ok || evict == EvictNone {
		return chosen, ok
	}
	q.Evict = evict
	if q.OwnedOnly && evict == EvictBorrowers {
		q.withinGuarantee = true
		if chosen, ok := f.choose(q); ok {
			return chosen, true
		}
		q.withinGuarantee = false
	}
	return f.choose(q)
}

// choose chooses the workers of a gang by the request as it is.
func (f *Fleet) choose(q *Request) ([]workerTasks, bool) {
	if q.Shape.Tasks == 1 || q.Shape.Adjacency == shop.SameWorker {
		return f.chooseWorker(q)
	}
	return f.chooseGroup(q)
}

// chooseWorker chooses the worker of the lowest cost that fits the whole gang.
func (f *Fleet) chooseWorker(q *Request) ([]workerTasks, bool) {
	best := -1
	switch {
	case q.OwnedOnly:
		best = f.cheapest(q, f.ownedWorkers[q.Team])
	case q.Evict == EvictNone:
		tasks := q.Shape.Tasks
		best = f.byFree.first(f.nodes, tasks*q.Shape.Accelerators, tasks*q.Shape.Cores, func(i int) bool {
			return f.fits(i, q)
		})
	case q.Evict == EvictBorrowers:
		best = f.cheapest(q, f.ownedWorkers[q.Team])
	default:
		best = f.cheapest(q, f.all)
	}
	if best < 0 {
		return nil, false
	}
	f.scratch.best = append(f.scratch.best[:0], workerTasks{best, q.Shape.Tasks})
	return f.scratch.best, true
}

// fits reports whether the whole gang fits on worker i.
func (f *Fleet) fits(i int, q *Request) bool {
	if !f.nodes[i].mayFit(q) {
		return false
	}
	return f.countTasks(f.room(i, q), q, q.Shape.Tasks) == q.Shape.Tasks
}

// cheapest returns the worker of the lowest cost among those that fit, or -1.
func (f *Fleet) cheapest(q *Request, workers []int32) int {
	best, bestCost := -1, cost{}
	for _, i := range workers {
		if !f.fits(int(i), q) {
			continue
		}
		c := f.costOf(int(i), q)
		if best < 0 || c.compare(bestCost) < 0 {
			best, bestCost = int(i), c
		}
	}
	return best
}

// cost is the sort key of workers that fit; the lowest is chosen.
type cost struct {
	loss  time.Duration // Of the evictions.
	left  int           // Accelerators that stay free on the worker.
	cores int           // Cores that are free on the worker now.
}

func (c cost) compare(d cost) int {
	return cmp.Or(cmp.Compare(c.loss, d.loss), cmp.Compare(c.left, d.left), cmp.Compare(c.cores, d.cores))
}

func (f *Fleet) costOf(i int, q *Request) cost {
	n := &f.nodes[i]
	c := cost{
		left:  max(0, n.Free.Len()-q.Shape.TotalAccelerators()),
		cores: n.FreeCores,
	}
	if q.Evict == EvictNone {
		return c
	}
	evict := f.scratch.evict[:0]
	f.assign(workerTasks{i, q.Shape.Tasks}, q, &evict)
	for _, job := range evict {
		c.loss += f.occupants[f.byJob[f.jobs[job].first]].Loss
	}
	f.scratch.evict = evict
	return c
}

// spans returns the groups of workers that tasks of an adjacency must stay within.
func (f *Fleet) spans(a shop.Adjacency) []span {
	switch a {
	case shop.SameRack:
		return f.racks
	case shop.SameZone:
		return f.zones
	case shop.SameRegion:
		return f.regions
	default:
		if len(f.regions) == 0 {
			return nil
		}
		return []span{{0, len(f.nodes)}}
	}
}

// chooseGroup chooses the group of workers with the least room that fits the gang,
// and as few workers as possible within it.
func (f *Fleet) chooseGroup(q *Request) ([]workerTasks, bool) {
	bestSum := -1
	best := f.scratch.best[:0]
	for _, s := range f.spans(q.Shape.Adjacency) {
		counts, sum := f.countSpan(s, q)
		if sum < q.Shape.Tasks || bestSum >= 0 && sum >= bestSum {
			continue
		}
		bestSum = sum
		best = append(best[:0], counts...)
	}
	f.scratch.best = best
	if bestSum < 0 {
		return nil, false
	}
	return fewestWorkers(best, q.Shape.Tasks), true
}

// countSpan counts the tasks that fit on each worker of a group, and their sum.
func (f *Fleet) countSpan(s span, q *Request) ([]workerTasks, int) {
	counts := f.scratch.counts[:0]
	sum := 0
	for i := s.first; i < s.end; i++ {
		if !f.nodes[i].mayFit(q) {
			continue
		}
		tasks := f.countTasks(f.room(i, q), q, q.Shape.Tasks)
		if tasks == 0 {
			continue
		}
		counts = append(counts, workerTasks{i, tasks})
		sum += tasks
	}
	f.scratch.counts = counts
	return counts, sum
}

// fewestWorkers keeps the fewest workers that fit all tasks. The last of them is the
// one with the least room that fits the remaining tasks.
func fewestWorkers(counts []workerTasks, tasks int) []workerTasks {
	slices.SortFunc(counts, func(a, b workerTasks) int {
		return cmp.Or(cmp.Compare(b.tasks, a.tasks), cmp.Compare(a.worker, b.worker))
	})
	kept := 0
	for tasks > counts[kept].tasks {
		tasks -= counts[kept].tasks
		kept++
	}
	last := kept
	for last+1 < len(counts) && counts[last+1].tasks >= tasks {
		last++
	}
	counts[kept] = workerTasks{counts[last].worker, tasks}
	return counts[:kept+1]
}

// assign chooses accelerators on a worker and adds the jobs to evict to evict.
func (f *Fleet) assign(c workerTasks, q *Request, evict *[]int) Part {
	n := &f.nodes[c.worker]
	r := f.room(c.worker, q)
	want := c.tasks * q.Shape.Accelerators
	mask := (r.own & n.Free).First(want)
	mask |= (r.other & n.Free & n.unowned).First(want - mask.Len())
	mask |= (r.other & n.Free &^ n.unowned).First(want - mask.Len())
	if q.Evict != EvictNone {
		mask = f.evictForAccelerators(n, q, r, mask, want, evict)
		f.evictForCoresAndMemory(c.worker, q, c.tasks, evict)
	}
	return Part{Worker: n.Place.Worker, Tasks: c.tasks, Accelerators: mask}
}

// evictForAccelerators adds jobs to evict until mask has the wanted accelerators, the
// team's own first.
func (f *Fleet) evictForAccelerators(n *node, q *Request, r room, mask shop.Mask, want int, evict *[]int) shop.Mask {
	for _, allowed := range [...]shop.Mask{r.own, r.other} {
		for mask.Len() < want {
			o := f.leastLoss(n, q, evict, func(o *Occupant) bool { return o.Mask&allowed&^mask != 0 })
			if o == nil {
				break
			}
			mask |= (o.Mask & allowed &^ mask).First(want - mask.Len())
			addJob(evict, o.Job)
		}
	}
	return mask
}

// evictForCoresAndMemory adds jobs to evict until cores and memory suffice.
func (f *Fleet) evictForCoresAndMemory(i int, q *Request, tasks int, evict *[]int) {
	n := &f.nodes[i]
	noEvict := *q
	noEvict.Evict = EvictNone
	r := f.room(i, &noEvict)
	cores := tasks*q.Shape.Cores - r.cores
	memory := int64(tasks)*int64(q.Shape.Memory) - r.memory
	for k := n.occupantFirst; k < n.occupantEnd; k++ {
		o := &f.occupants[k]
		if slices.Contains(*evict, o.Job) {
			cores -= o.Cores
			memory -= o.Memory
		}
	}
	for cores > 0 || memory > 0 {
		o := f.leastLoss(n, q, evict, func(o *Occupant) bool {
			useful := cores > 0 && o.Cores > 0 || memory > 0 && o.Memory > 0
			return useful && !slices.Contains(*evict, o.Job)
		})
		if o == nil {
			return
		}
		addJob(evict, o.Job)
		cores -= o.Cores
		memory -= o.Memory
	}
}

// leastLoss returns the occupant that helps and loses the least work when evicted, or
// nil. An occupant whose job is already in evict costs nothing more.
func (f *Fleet) leastLoss(n *node, q *Request, evict *[]int, helps func(*Occupant) bool) *Occupant {
	var own shop.Mask
	if owned := f.ownershipOf(n, q.Team); owned != nil {
		own = owned.mask
	}
	var best *Occupant
	for k := n.occupantFirst; k < n.occupantEnd; k++ {
		o := &f.occupants[k]
		if !f.evictable(o, q, own) || !helps(o) {
			continue
		}
		if slices.Contains(*evict, o.Job) {
			return o
		}
		if best == nil || o.Loss < best.Loss || o.Loss == best.Loss && o.Job < best.Job {
			best = o
		}
	}
	return best
}

func addJob(l *[]int, job int) {
	if !slices.Contains(*l, job) {
		*l = append(*l, job)
	}
}

// FitsWhenEmpty reports whether the shape would fit if nothing ran on any
// worker and no worker had flags, such as Down.
func (f *Fleet) FitsWhenEmpty(s shop.Shape, region string) bool {
	spans := f.spans(s.Adjacency)
	if s.Tasks == 1 || s.Adjacency == shop.SameWorker {
		spans = nil
		for i := range f.nodes {
			if f.capacity(i, s, region) >= s.Tasks {
				return true
			}
		}
	}
	for _, sp := range spans {
		sum := 0
		for i := sp.first; i < sp.end && sum < s.Tasks; i++ {
			sum += f.capacity(i, s, region)
		}
		if sum >= s.Tasks {
			return true
		}
	}
	return false
}

// capacity counts the tasks that fit on a worker with nothing running.
func (f *Fleet) capacity(i int, s shop.Shape, region string) int {
	n := &f.nodes[i]
	if region != "" && n.Place.Region != region {
		return 0
	}
	tasks := s.Tasks
	if s.Accelerators > 0 {
		tasks = min(tasks, n.Accelerators/s.Accelerators)
	}
	if s.Cores > 0 {
		tasks = min(tasks, n.Cores/s.Cores)
	}
	if s.Memory > 0 {
		tasks = min(tasks, int(n.Memory/s.Memory))
	}
	return tasks
}
