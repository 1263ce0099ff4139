package placement

import (
	"slices"

	"sniperill.example/sniperill/pkg/shop"
)

// allowance returns the cores and memory that a task of a team may draw from
// what the team owns, when the task stands on own accelerators of that team.
// Owned cores and memory back the owned accelerators, so work without
// accelerators can't use them up.
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

// usage is what one task takes: from its team's own room and from unowned room.
type usage struct {
	ownCores, unownedCores   int
	ownMemory, unownedMemory int64
}

func (f *Fleet) usageOf(c *ownership, team int, s shop.Shape, own int) usage {
	d := usage{unownedCores: s.Cores, unownedMemory: int64(s.Memory)}
	if c == nil {
		return d
	}
	cores, memory := f.allowance(team, s, own)
	d.ownCores = max(0, min(cores, c.cores-c.usedCores))
	d.ownMemory = max(0, min(memory, c.memory-c.usedMemory))
	d.unownedCores -= d.ownCores
	d.unownedMemory -= d.ownMemory
	return d
}

// plus adds up what two tasks take.
func (d usage) plus(e usage) usage {
	return usage{
		ownCores:      d.ownCores + e.ownCores,
		unownedCores:  d.unownedCores + e.unownedCores,
		ownMemory:     d.ownMemory + e.ownMemory,
		unownedMemory: d.unownedMemory + e.unownedMemory,
	}
}

// recordUsage enters tasks that run on a worker into the ledger of owned and unowned
// room. It returns what they draw, and whether any stands on more than its team owns.
func (f *Fleet) recordUsage(n *node, team int, s shop.Shape, tasks int, mask shop.Mask, preemptible bool) (usage, bool) {
	var c *ownership
	if team >= 0 {
		c = f.ownershipOf(n, team)
	}
	var own shop.Mask
	if c != nil {
		own = c.mask & mask
	}
	var sum usage
	left := own.Len()
	for range tasks {
		on := min(left, s.Accelerators)
		left -= on
		d := f.usageOf(c, team, s, on)
		if c != nil {
			c.usedCores += d.ownCores
			c.usedMemory += d.ownMemory
		}
		sum = sum.plus(d)
	}
	borrower := mask&^own != 0 || sum.unownedCores > 0 || sum.unownedMemory > 0
	if preemptible {
		sum.unownedCores, sum.unownedMemory = 0, 0
	}
	n.unownedCores -= sum.unownedCores
	n.unownedMemory -= sum.unownedMemory
	return sum, borrower
}

// RunningPart is a running part as the fleet has to know it.
type RunningPart struct {
	Occupant
	Shape shop.Shape
}

// AddRunning enters running parts: what they take of owned and unowned room, and
// which of them can be evicted. The free room of the workers already lacks them.
// Parts of one job stand next to each other, and jobs are numbered below jobs.
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

// partitionOccupants makes room for the occupants of each worker.
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

// Evict frees the room of a running job.
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
		if c := f.ownershipOf(n, o.Team); c != nil {
			c.usedCores -= o.usage.ownCores
			c.usedMemory -= o.usage.ownMemory
		}
	}
}

// Evicted says whether a running job was evicted in this plan.
func (f *Fleet) Evicted(job int) bool { return f.jobs[job].evicted }

// Allocate enters a new gang at the place that Fit found, evictions done.
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
