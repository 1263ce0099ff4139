package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/workflow"
)

// eligible reports whether the unit's tasks may run on the worker at all, whatever is free there.
func (p *planner) eligible(w *WaitingUnit, worker int) bool {
	o := &p.Workers[worker]
	return o.Schedulable && (!o.Paused || p.allowPaused) && o.Takes(w.Service, w.Step) && (!slices.Contains(w.AvoidWorkers, worker) || !p.Now.Before(w.AvoidUntil))
}

// fastEnough reports whether the worker is no slower than the limit of the unit that is being planned.
func (p *planner) fastEnough(worker int) bool {
	return p.maxPace == 0 || p.coldPaces[worker] <= p.maxPace
}

// maxPauseWait is how long a unit waits for another worker than the paused ones if there is none that could
// take it. Users expect a task that can run to start within 3 s.
const maxPauseWait = 2 * time.Second

// pausedKey tells apart the units for which needsPaused may have different results.
type pausedKey struct {
	step                 *workflow.Step
	members, spreadGroup int
	avoided              string
}

// needsPaused reports whether only paused workers, or these together with others, could take a unit that
// has waited for a while.
func (p *planner) needsPaused(w *WaitingUnit) bool {
	if !p.anyPaused || p.Now.Sub(w.ReadySince) < maxPauseWait {
		return false
	}
	key := pausedKey{step: w.Step, members: w.Members, spreadGroup: w.SpreadGroup}
	if p.Now.Before(w.AvoidUntil) {
		key.avoided = fmt.Sprint(w.AvoidWorkers)
	}
	needed, known := p.pausedNeeded[key]
	if !known {
		p.allowPaused = false
		needed = !p.fitsWhenEmpty(w, p.allWorkers)
		p.pausedNeeded[key] = needed
	}
	return needed
}

// spreadAllowance returns how many more of the unit's tasks may run on the worker under the step's
// limit per worker.
func (p *planner) spreadAllowance(w *WaitingUnit, worker int) int {
	if w.Step.MaxPerWorker == 0 {
		return w.Members
	}
	return max(0, w.Step.MaxPerWorker-p.spreadCounts[w.SpreadGroup][worker])
}

// findPlacement returns a worker with free resources for each member, or nil if not all fit. Of several racks of
// which one must hold all members, it takes the one whose workers suit the unit best.
func (p *planner) findPlacement(w *WaitingUnit) []int {
	var best []int
	near, apart := p.workerGroups(w)
	for _, group := range near {
		placement := p.bestFit(w, group)
		switch {
		case placement == nil:
		case !p.uneven || w.Step.Endless || w.Step.DataRack != "":
			return placement
		case best == nil || p.comparePlacements(w, placement, best) < 0:
			best = placement
		}
	}
	if best == nil && apart != nil {
		return p.bestFit(w, apart)
	}
	return best
}

// workerGroups returns the groups of workers to try for a unit, the best first, and the workers for a gang that none of
// them can hold; nil if it waits for one that can. A group is a rack that must hold all members, or all workers of the
// service.
func (p *planner) workerGroups(w *WaitingUnit) (near [][]int, apart []int) {
	var dataRack, racks [][]int
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
			dataRack = append(dataRack, r.workers)
		} else if w.Members > 1 && w.Step.SameRack {
			racks = append(racks, r.workers)
		}
	}
	slices.SortStableFunc(racks, func(a, b []int) int { return p.freeAccelerators(a) - p.freeAccelerators(b) })
	switch {
	case len(dataRack) > 0 && p.fitsWhenEmpty(w, dataRack[0]) && p.Now.Sub(w.ReadySince) <= w.Estimate && !p.rackWaitExpired(w):
		return dataRack, nil
	case len(dataRack) > 0:
		return append(append(dataRack, racks...), all), nil
	case len(racks) == 0:
		return [][]int{all}, nil
	}
	near = slices.DeleteFunc(racks, func(r []int) bool { return !p.fitsWhenEmpty(w, r) })
	if len(near) > 0 && !p.rackWaitExpired(w) {
		return near, nil
	}
	return near, all
}

// maxRackWait is how long a unit waits for a rack at most while most accelerators are idle. Users check for jobs that
// wait despite free resources 14 s after the last submission (finish_s).
const maxRackWait = 10 * time.Second

// rackWaitExpired reports whether a unit has waited for a rack for longer than it is worth: than running elsewhere would
// cost, if most accelerators are idle. Otherwise, a run that takes longer would take room from other work. What is endless
// takes no longer elsewhere.
func (p *planner) rackWaitExpired(w *WaitingUnit) bool {
	if w.Step.Endless {
		return true
	}
	cost := time.Duration(max(0, p.RemoteFactor-1) * float64(w.Estimate))
	if p.Now.Sub(w.ReadySince) <= min(cost, maxRackWait) {
		return false
	}
	h := p.headroom[w.Service]
	return 2*h.idle >= h.total && h.idle >= 2*w.accelerators()
}

func (p *planner) freeAccelerators(workers []int) int {
	n := 0
	for _, i := range workers {
		if p.Workers[i].open() {
			n += p.free[i].Accelerators
		}
	}
	return n
}

// fitsWhenEmpty reports whether all members would fit on the workers if these were empty but for what is endless.
func (p *planner) fitsWhenEmpty(w *WaitingUnit, workers []int) bool {
	n := 0
	for _, i := range workers {
		if p.eligible(w, i) {
			n += min(p.spreadAllowance(w, i), p.Workers[i].Resources.Minus(p.lasting[i]).FitCount(w.Step.Demand(), w.Members))
		}
	}
	return n >= w.Members
}

// bestFit returns a worker with free resources for each member, or nil if not all fit. It fills
// the fullest worker first, so that whole workers stay free for large tasks, and those on which the unit
// has failed last.
func (p *planner) bestFit(w *WaitingUnit, workers []int) []int {
	demand := w.Step.Demand()
	candidates := make([]int, 0, len(workers))
	total := 0
	for _, i := range workers {
		if !p.eligible(w, i) || !p.fastEnough(i) {
			continue
		}
		if n := min(p.spreadAllowance(w, i), p.free[i].FitCount(demand, w.Members)); n > 0 {
			candidates = append(candidates, i)
			total += n
		}
	}
	if total < w.Members {
		return nil
	}
	candidates = p.ofOneClass(w, candidates)
	fast := p.prefersFast(w, candidates)
	slices.SortStableFunc(candidates, func(a, b int) int {
		if avoidA, avoidB := slices.Contains(w.AvoidWorkers, a), slices.Contains(w.AvoidWorkers, b); avoidA != avoidB {
			if avoidA {
				return 1
			}
			return -1
		}
		return cmp.Or(p.compareClasses(w, fast, a, b), compareFree(p.free[a], p.free[b]))
	})
	placement := make([]int, 0, w.Members)
	for _, i := range candidates {
		n := min(p.spreadAllowance(w, i), p.free[i].FitCount(demand, w.Members), w.Members-len(placement))
		for range n {
			placement = append(placement, i)
		}
	}
	return placement
}

// compareFree orders free resources by accelerators, then memory, then cores.
func compareFree(a, b workflow.Resources) int {
	if a.Accelerators != b.Accelerators {
		return a.Accelerators - b.Accelerators
	}
	if a.MemoryMB != b.MemoryMB {
		return a.MemoryMB - b.MemoryMB
	}
	return a.MilliCores - b.MilliCores
}
