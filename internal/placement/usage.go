package placement

import (
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// allowance returns how many of its team's cores and how much of its memory a task
// may use if own of its accelerators are owned by the team. Cores and memory of a
// guarantee with accelerators belong to those, so tasks without accelerators can't
// use them up.
func (f *Fleet) allowance(team int, s shop.Shape, own int) (cores int, memory int64) {
	if team < 0 || (own == 0 && s.Accelerators > 0) {
		return 0, 0
	}
	for _, g := range f.teams[team].Guarantees {
		switch {
		case s.Accelerators == 0 && g.Shape.Accelerators == 0:
			cores = max(cores, g.Shape.Cores)
			memory = max(memory, int64(g.Shape.Memory))
		case own > 0 && g.Shape.Accelerators > 0:
			a := g.Shape.Accelerators
			cores = max(cores, (g.Shape.Cores*own+a-1)/a)
			memory = max(memory, (int64(g.Shape.Memory)*int64(own)+int64(a)-1)/int64(a))
		}
	}
	return min(cores, s.Cores), min(memory, int64(s.Memory))
}

// usage is the cores and memory that tasks use: what their team owns and what is
// unowned.
type usage struct {
	ownCores, unownedCores   int
	ownMemory, unownedMemory int64
}

// usageOf returns the usage of one task that runs on own accelerators of its team.
func (f *Fleet) usageOf(o *ownership, team int, s shop.Shape, own int) usage {
	u := usage{unownedCores: s.Cores, unownedMemory: int64(s.Memory)}
	if o == nil {
		return u
	}
	cores, memory := f.allowance(team, s, own)
	u.ownCores = max(0, min(cores, o.cores-o.usedCores))
	u.ownMemory = max(0, min(memory, o.memory-o.usedMemory))
	u.unownedCores -= u.ownCores
	u.unownedMemory -= u.ownMemory
	return u
}

// plus returns the sum of two usages.
func (u usage) plus(v usage) usage {
	return usage{
		ownCores:      u.ownCores + v.ownCores,
		unownedCores:  u.unownedCores + v.unownedCores,
		ownMemory:     u.ownMemory + v.ownMemory,
		unownedMemory: u.unownedMemory + v.unownedMemory,
	}
}

// recordUsage records what tasks on a worker use of owned and unowned resources. It
// returns their usage and whether any of them uses more than its team owns.
// Preemptible tasks do not count against unowned resources.
func (f *Fleet) recordUsage(n *node, team int, s shop.Shape, tasks int, mask shop.Mask, preemptible bool) (usage, bool) {
	var o *ownership
	if team >= 0 {
		o = f.ownershipOf(n, team)
	}
	var own shop.Mask
	if o != nil {
		own = o.mask & mask
	}
	var sum usage
	left := own.Len()
	for range tasks {
		ownOfTask := min(left, s.Accelerators)
		left -= ownOfTask
		u := f.usageOf(o, team, s, ownOfTask)
		if o != nil {
			o.usedCores += u.ownCores
			o.usedMemory += u.ownMemory
		}
		sum = sum.plus(u)
	}
	borrower := mask&^own != 0 || sum.unownedCores > 0 || sum.unownedMemory > 0
	if preemptible {
		sum.unownedCores, sum.unownedMemory = 0, 0
	}
	n.unownedCores -= sum.unownedCores
	n.unownedMemory -= sum.unownedMemory
	return sum, borrower
}

// RunningPart is a running part of a job, to be added to a fleet.
type RunningPart struct {
	Occupant
	Shape shop.Shape
}

// AddRunning records what running parts use of owned and unowned resources, and
// which of them can be evicted. The free resources of the workers must already
// exclude them. Parts of one job must be consecutive, with job numbers below jobs.
func (f *Fleet) AddRunning(parts []RunningPart, jobs int) {
	f.partitionOccupants(parts)
	f.jobs = append(f.jobs[:0], make([]jobParts, jobs)...)
	f.byJob = slices.Grow(f.byJob[:0], len(parts))
	for i := range parts {
		p := &parts[i]
		n := &f.nodes[p.Worker]
		p.usage, p.Borrower = f.recordUsage(n, p.Team, p.Shape, p.Tasks, p.Mask, p.Preemptible)
		if p.Preemptible {
			n.preemptible |= p.Mask
		}
		f.occupants[n.occupantEnd] = p.Occupant
		j := &f.jobs[p.Job]
		if j.end == 0 {
			j.first = int32(i)
		}
		j.end = int32(i) + 1
		f.byJob = append(f.byJob, int32(n.occupantEnd))
		n.occupantEnd++
	}
}

// partitionOccupants assigns each worker an empty range of occupants, large enough
// for its parts.
func (f *Fleet) partitionOccupants(parts []RunningPart) {
	for i := range f.nodes {
		f.nodes[i].occupantEnd = 0
	}
	for i := range parts {
		f.nodes[parts[i].Worker].occupantEnd++
	}
	next := 0
	for i := range f.nodes {
		n := &f.nodes[i]
		n.occupantFirst = next
		next += n.occupantEnd
		n.occupantEnd = n.occupantFirst
	}
	f.occupants = slices.Grow(f.occupants[:0], next)[:next]
}

// Evict frees the resources of a running job.
func (f *Fleet) Evict(job int) {
	j := &f.jobs[job]
	if j.evicted {
		return
	}
	j.evicted = true
	for _, k := range f.byJob[j.first:j.end] {
		o := &f.occupants[k]
		n := &f.nodes[o.Worker]
		f.byFree.remove(f.nodes, o.Worker)
		n.Free |= o.Mask
		n.FreeCores += o.Cores
		n.FreeMemory += shop.Bytes(o.Memory)
		f.byFree.insert(f.nodes, o.Worker)
		n.unownedCores += o.usage.unownedCores
		n.unownedMemory += o.usage.unownedMemory
		if owned := f.ownershipOf(n, o.Team); owned != nil {
			owned.usedCores -= o.usage.ownCores
			owned.usedMemory -= o.usage.ownMemory
		}
	}
}

// Evicted reports whether a running job was evicted in this plan.
func (f *Fleet) Evicted(job int) bool { return f.jobs[job].evicted }

// Allocate takes the parts that Fit found for a gang. The evictions must be done.
func (f *Fleet) Allocate(q Request, parts PartList) {
	for _, p := range parts {
		i := f.workerIndex[p.Worker]
		n := &f.nodes[i]
		f.byFree.remove(f.nodes, i)
		n.Free &^= p.Accelerators
		n.FreeCores -= p.Tasks * q.Shape.Cores
		n.FreeMemory -= shop.Bytes(p.Tasks) * q.Shape.Memory
		f.byFree.insert(f.nodes, i)
		f.recordUsage(n, q.Team, q.Shape, p.Tasks, p.Accelerators, q.Preemptible)
		n.Flags &^= Probe
	}
}
