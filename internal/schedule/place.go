package schedule

import (
	"slices"

	"sniperill.example/sniperill/pkg/workflow"
)

// eligible says whether the unit's tasks may run on the worker at all.
func (p *planner) eligible(w *WaitingUnit, worker int) bool {
	o := &p.Workers[worker]
	return o.Schedulable && worker != w.AvoidWorker && o.Takes(w.Service, w.Step)
}

// spreadAllowance returns how many more of the unit's tasks the spreading rule allows there.
func (p *planner) spreadAllowance(w *WaitingUnit, worker int) int {
	if w.Step.MaxPerWorker == 0 {
		return w.Members
	}
	return max(0, w.Step.MaxPerWorker-p.spreadCounts[w.SpreadGroup][worker])
}

// findPlacement finds room that is free now, or returns nil.
func (p *planner) findPlacement(w *WaitingUnit) []int {
	for _, group := range p.workerGroups(w) {
		if places := p.bestFit(w, group); places != nil {
			return places
		}
	}
	return nil
}

// workerGroups returns the sets of workers to try for a unit, the best first: racks of which
// one must hold all members, or all workers.
func (p *planner) workerGroups(w *WaitingUnit) [][]int {
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
	slices.SortStableFunc(racks, func(a, b []int) int { return p.freeAccelerators(a) - p.freeAccelerators(b) })
	switch {
	case len(near) > 0 && p.fitsWhenEmpty(w, near[0]) && !p.dataRackWaitExpired(w):
		return near
	case len(near) > 0:
		return append(append(near, racks...), all)
	case len(racks) > 0 && slices.ContainsFunc(racks, func(r []int) bool { return p.fitsWhenEmpty(w, r) }):
		return racks
	default:
		return [][]int{all}
	}
}

// dataRackWaitExpired says whether a unit has waited for its data's rack longer than running
// elsewhere would cost.
func (p *planner) dataRackWaitExpired(w *WaitingUnit) bool {
	return p.Now.Sub(w.ReadySince) > w.Estimate
}

func (p *planner) freeAccelerators(workers []int) int {
	n := 0
	for _, i := range workers {
		if p.Workers[i].Schedulable {
			n += p.free[i].Accelerators
		}
	}
	return n
}

// fitsWhenEmpty says whether the workers could hold all members if they were empty.
func (p *planner) fitsWhenEmpty(w *WaitingUnit, workers []int) bool {
	n := 0
	for _, i := range workers {
		if p.eligible(w, i) {
			n += min(p.spreadAllowance(w, i), p.Workers[i].Room.Times(w.Step.Claimed(), w.Members))
		}
	}
	return n >= w.Members
}

// bestFit places all members on the workers' free room, or returns nil. It fills the
// fullest worker first, so that whole workers stay free for large tasks.
func (p *planner) bestFit(w *WaitingUnit, workers []int) []int {
	claimed := w.Step.Claimed()
	candidates := make([]int, 0, len(workers))
	total := 0
	for _, i := range workers {
		if !p.eligible(w, i) {
			continue
		}
		if n := min(p.spreadAllowance(w, i), p.free[i].Times(claimed, w.Members)); n > 0 {
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
		n := min(p.spreadAllowance(w, i), p.free[i].Times(claimed, w.Members), w.Members-len(places))
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
