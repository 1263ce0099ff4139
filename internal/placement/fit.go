package placement

import (
	"cmp"
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Placement is where a gang fits, and which running jobs have to be evicted first.
type Placement struct {
	Parts PartList
	// Evict holds the numbers of running jobs.
	Evict []int
}

// scratch is memory that is used again from one fit to the next.
type scratch struct {
	counts []workerTasks
	best   []workerTasks
	ends   []occupantEnd
	starts []taskStart
	evict  []int
}

// workerTasks is how many tasks fit on a worker.
type workerTasks struct{ worker, tasks int }

// Fit finds room for a gang: each task whole on one worker, all tasks as near
// as the shape asks. It evicts only when nothing free will do.
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

// chooseLeastDisruptive picks the workers of a gang: room that isn't borrowed first,
// borrowed room next, and last room that has to be made.
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

// choose picks the workers of a gang.
func (f *Fleet) choose(q *Request) ([]workerTasks, bool) {
	if q.Shape.Tasks == 1 || q.Shape.Adjacency == shop.SameWorker {
		return f.chooseWorker(q)
	}
	return f.chooseGroup(q)
}

// chooseWorker picks the one worker that the whole gang breaks up least.
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

// fits says whether the whole gang fits on one worker.
func (f *Fleet) fits(i int, q *Request) bool {
	if !f.nodes[i].mayFit(q) {
		return false
	}
	return f.countTasks(f.room(i, q), q, q.Shape.Tasks) == q.Shape.Tasks
}

// cheapest picks the worker of the least cost among those that fit.
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

// cost orders workers that all fit; the least is chosen.
type cost struct {
	loss  time.Duration // Of what has to be evicted.
	left  int           // Accelerators that stay free on the worker.
	cores int           // Cores that stay free on the worker.
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

// spans returns the groups of workers that an adjacency allows.
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

// chooseGroup picks the group of workers that the gang fills best, and the
// fewest workers within it.
func (f *Fleet) chooseGroup(q *Request) ([]workerTasks, bool) {
	bestRoom := -1
	best := f.scratch.best[:0]
	for _, s := range f.spans(q.Shape.Adjacency) {
		counts, sum := f.countSpan(s, q)
		if sum < q.Shape.Tasks || bestRoom >= 0 && sum >= bestRoom {
			continue
		}
		bestRoom = sum
		best = append(best[:0], counts...)
	}
	f.scratch.best = best
	if bestRoom < 0 {
		return nil, false
	}
	return fewestWorkers(best, q.Shape.Tasks), true
}

// countSpan counts the tasks that fit on each worker of a group.
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

// fewestWorkers keeps the workers that hold the tasks with the fewest workers, the
// last of them the one that is filled best.
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

// assign picks accelerators on a worker and the occupants that give way.
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

// evictForAccelerators evicts occupants until enough accelerators are found, own ones first.
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

// evictForCoresAndMemory evicts occupants until there are cores and memory enough.
func (f *Fleet) evictForCoresAndMemory(i int, q *Request, tasks int, evict *[]int) {
	n := &f.nodes[i]
	plain := *q
	plain.Evict = EvictNone
	r := f.room(i, &plain)
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

// leastLoss picks the occupant to evict that throws away the least work. One
// whose job is evicted already costs nothing more.
func (f *Fleet) leastLoss(n *node, q *Request, evict *[]int, helps func(*Occupant) bool) *Occupant {
	var own shop.Mask
	if c := f.ownershipOf(n, q.Team); c != nil {
		own = c.mask
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

// FitsWhenEmpty says whether the shape fits on the whole inventory, down workers
// included, with nothing running.
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

// capacity counts the tasks that fit on an empty worker.
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
