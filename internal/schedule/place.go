package schedule

import (
	"slices"

	"sniperill.example/sniperill/pkg/workflow"
)

// may says whether the unit's tasks may run on the worker at all.
func (p *planner) may(w *Waiting, worker int) bool {
	o := &p.Workers[worker]
	return o.Open && worker != w.Avoid && o.Takes(w.Service, w.Step)
}

// perWorker returns how many more of the unit's tasks the spreading rule allows there.
func (p *planner) perWorker(w *Waiting, worker int) int {
	if w.Step.MaxPerWorker == 0 {
		return w.Members
	}
	return max(0, w.Step.MaxPerWorker-p.beside[w.Group][worker])
}

// place finds room that is free now, or returns nil.
func (p *planner) place(w *Waiting) []int {
	for _, group := range p.groups(w) {
		if places := p.fit(w, group); places != nil {
			return places
		}
	}
	return nil
}

// groups returns the sets of workers to try for a unit, the best first: racks of which
// one must hold all members, or all workers.
func (p *planner) groups(w *Waiting) [][]int {
	var near, racks [][]int
	var all []int
	for i := range p.racks {
		r := &p.racks[i]
		if r.service != w.Service {
			continue
		}
		all = append(all, r.workers...)
		if w.Step.DataRack != "" && r.name != w.Step.DataRack {
			if w.Members > 1 && w.Step.SameRack {
				racks = append(racks, r.workers)
			}
			continue
		}
		if w.Step.DataRack != "" {
			near = append(near, r.workers)
		} else if w.Members > 1 && w.Step.SameRack {
			racks = append(racks, r.workers)
		}
	}
	slices.SortStableFunc(racks, func(a, b []int) int { return p.openAccelerators(a) - p.openAccelerators(b) })
	switch {
	case len(near) > 0 && p.couldHold(w, near[0]) && !p.patienceOver(w):
		return near
	case len(near) > 0:
		return append(append(near, racks...), all)
	case len(racks) > 0 && slices.ContainsFunc(racks, func(r []int) bool { return p.couldHold(w, r) }):
		return racks
	default:
		return [][]int{all}
	}
}

// patienceOver says whether a unit has waited for its data's rack longer than running
// elsewhere would cost.
func (p *planner) patienceOver(w *Waiting) bool {
	return p.Now.Sub(w.Ready) > w.Estimate
}

func (p *planner) openAccelerators(workers []int) int {
	n := 0
	for _, i := range workers {
		if p.Workers[i].Open {
			n += p.free[i].Accelerators
		}
	}
	return n
}

// couldHold says whether the workers could hold all members if they were empty.
func (p *planner) couldHold(w *Waiting, workers []int) bool {
	n := 0
	for _, i := range workers {
		if p.may(w, i) {
			n += min(p.perWorker(w, i), p.Workers[i].Room.Times(w.Step.Claimed(), w.Members))
		}
	}
	return n >= w.Members
}

// fit places all members on the workers' free room, or returns nil. It fills the
// fullest worker first, so that whole workers stay free for large tasks.
func (p *planner) fit(w *Waiting, workers []int) []int {
	claimed := w.Step.Claimed()
	candidates := make([]int, 0, len(workers))
	total := 0
	for _, i := range workers {
		if !p.may(w, i) {
			continue
		}
		if n := min(p.perWorker(w, i), p.free[i].Times(claimed, w.Members)); n > 0 {
			candidates = append(candidates, i)
			total += n
		}
	}
	if total < w.Members {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return compareFree(p.free[a], p.free[b]) })
	places := make([]int, 0, w.Members)
	for _, i := range candidates {
		n := min(p.perWorker(w, i), p.free[i].Times(claimed, w.Members), w.Members-len(places))
		for range n {
			places = append(places, i)
		}
	}
	return places
}

// compareFree orders by what is left, accelerators before memory before cores.
func compareFree(a, b workflow.Room) int {
	if a.Accelerators != b.Accelerators {
		return a.Accelerators - b.Accelerators
	}
	if a.MemoryMB != b.MemoryMB {
		return a.MemoryMB - b.MemoryMB
	}
	return a.MilliCores - b.MilliCores
}
