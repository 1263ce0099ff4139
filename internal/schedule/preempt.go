package schedule

import (
	"cmp"
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/workflow"
)

// urgentCostFactor is the cost of preempting urgent work as a multiple of its run time: it would
// miss its objective, which is worth four times its work to the users.
const urgentCostFactor = 4

// simulation is a planner's state on the assumption that some running units have released their
// resources.
type simulation struct {
	*planner
	free      []workflow.Resources
	released  []bool
	victims   []int
	totalCost float64
	// releaseCost returns the cost of releasing a unit's resources, or false if they may not be
	// released.
	releaseCost func(running int) (float64, bool)
	// memberCost returns the cost of placing a member on a worker; nil if there is none.
	memberCost func(worker int) float64
}

func (p *planner) newSimulation(releaseCost func(int) (float64, bool), memberCost func(int) float64) *simulation {
	s := &simulation{planner: p, free: make([]workflow.Resources, len(p.free)), released: make([]bool, len(p.Running)), releaseCost: releaseCost, memberCost: memberCost}
	for i := range p.free {
		s.free[i] = p.free[i].Plus(p.releasing[i])
	}
	return s
}

func (s *simulation) clone() *simulation {
	c := *s
	c.free = slices.Clone(s.free)
	c.released = slices.Clone(s.released)
	c.victims = slices.Clone(s.victims)
	return &c
}

// cheapestPreemption returns the placement of a unit for which preempting others costs least, the
// units to preempt and the cost in core seconds.
func (p *planner) cheapestPreemption(w *WaitingUnit, guaranteed bool) (placement, victims []int, cost float64) {
	return p.cheapestPlacement(w, func(running int) (float64, bool) {
		r := &p.Running[running]
		if r.Stopping || p.preempted[running] || !p.preemptible(running, w, guaranteed) {
			return 0, false
		}
		return r.PreemptionCost(), true
	}, nil)
}

// PreemptionCost returns what stopping the unit in favour of another costs, in core seconds.
func (r *RunningUnit) PreemptionCost() float64 {
	cost := r.LostRunTime + restartCost
	if r.Priority == 0 {
		cost += urgentCostFactor * r.Step.Estimate
	}
	return cost.Seconds() * max(1, r.cores())
}

// maxPreemptionCost returns what preempting others for the unit beyond a guarantee may still cost, in core seconds.
func (w *WaitingUnit) maxPreemptionCost() float64 {
	return maxPreemptionCostRatio*w.coreSeconds() - w.PreemptionCost
}

// maxGaveWay is how often a unit gives way to urgent work beyond guarantees. What gave way more often would mostly
// be stopped again before it is done, and end late.
const maxGaveWay = 2

// preemptible reports whether a running unit may be preempted by an urgent one. Work of lower
// priority may be, but only so often by work beyond a guarantee. Urgent work may be if it belongs to another team and is beyond that team's
// guarantee while the waiting unit is within its own. Endless work serves users and is never
// preempted.
func (p *planner) preemptible(running int, w *WaitingUnit, guaranteed bool) bool {
	r := &p.Running[running]
	switch {
	case r.Step.Endless:
		return false
	case r.Priority > 0:
		return guaranteed || r.GaveWay < maxGaveWay
	default:
		return guaranteed && r.Team != w.Team && !p.runningGuaranteed[running]
	}
}

// earliestPlacement returns the placement whose resources are free soonest, going by the estimated
// run times, and the time until they are. On workers of different paces, what counts is when the unit ends.
func (p *planner) earliestPlacement(w *WaitingUnit) (placement []int, startsIn time.Duration) {
	var memberCost func(int) float64
	if p.learnt && !w.Step.Endless {
		memberCost = func(worker int) float64 { return p.runTime(w, worker).Seconds() }
	}
	placement, victims, _ := p.cheapestPlacement(w, func(running int) (float64, bool) {
		r := &p.Running[running]
		if r.Stopping || p.preempted[running] || r.Step.Endless {
			return 0, false
		}
		return max(0, r.RemainingRunTime.Seconds()), true
	}, memberCost)
	for _, v := range victims {
		startsIn = max(startsIn, p.Running[v].RemainingRunTime)
	}
	return placement, startsIn
}

// cheapestPlacement tries each group of workers and returns the placement with the lowest cost. A gang is placed apart
// only if no group can hold it.
func (p *planner) cheapestPlacement(w *WaitingUnit, releaseCost func(int) (float64, bool), memberCost func(int) float64) (placement, victims []int, cost float64) {
	base := p.newSimulation(releaseCost, memberCost)
	var best *simulation
	try := func(group []int) {
		s := base.clone()
		found := s.placeMembers(w, group)
		if found != nil && (best == nil || s.totalCost < best.totalCost) {
			best, placement = s, found
		}
	}
	near, apart := p.workerGroups(w)
	for _, group := range near {
		try(group)
	}
	if best == nil && apart != nil {
		try(apart)
	}
	if best == nil {
		return nil, nil, 0
	}
	return placement, best.victims, best.totalCost
}

// placeMembers places the members one by one, each where it costs least. It returns nil if not all
// fit.
func (s *simulation) placeMembers(w *WaitingUnit, workers []int) []int {
	demand := w.Step.Demand()
	used := make(map[int]int)
	placement := make([]int, 0, w.Members)
	for range w.Members {
		best, bestCost := -1, 0.0
		var bestVictims []int
		for _, i := range workers {
			if !s.eligible(w, i) || !s.fastEnough(i) || used[i] >= s.spreadAllowance(w, i) {
				continue
			}
			victims, cost, ok := s.selectVictims(i, demand)
			if s.memberCost != nil {
				cost += s.memberCost(i)
			}
			if ok && (best < 0 || cost < bestCost ||
				cost == bestCost && compareFree(s.free[i], s.free[best]) < 0) {
				best, bestCost, bestVictims = i, cost, victims
			}
		}
		if best < 0 {
			return nil
		}
		for _, v := range bestVictims {
			s.release(v)
		}
		s.totalCost += bestCost
		s.free[best] = s.free[best].Minus(demand)
		used[best]++
		placement = append(placement, best)
	}
	return placement
}

// selectVictims returns the cheapest units to release so that one more task fits on the worker.
func (s *simulation) selectVictims(worker int, demand workflow.Resources) (victims []int, cost float64, ok bool) {
	free := s.free[worker]
	if free.Fits(demand) {
		return nil, 0, true
	}
	type candidate struct {
		running int
		cost    float64
		freed   workflow.Resources // On this worker.
	}
	var candidates []candidate
	for _, i := range s.runningByWorker[worker] {
		if s.released[i] {
			continue
		}
		if cost, ok := s.releaseCost(i); ok {
			r := &s.Running[i]
			n := 0
			for _, w := range r.Workers {
				if w == worker {
					n++
				}
			}
			perTask := r.Step.Demand()
			candidates = append(candidates, candidate{i, cost, workflow.Resources{
				MilliCores: n * perTask.MilliCores, MemoryMB: n * perTask.MemoryMB, Accelerators: n * perTask.Accelerators,
			}})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	taken := 0
	for ; taken < len(candidates) && !free.Fits(demand); taken++ {
		free = free.Plus(candidates[taken].freed)
	}
	if !free.Fits(demand) {
		return nil, 0, false
	}
	// Skip units that turn out not to be needed, the most expensive first.
	for i := taken - 1; i >= 0; i-- {
		if without := free.Minus(candidates[i].freed); without.Fits(demand) {
			free = without
			continue
		}
		victims = append(victims, candidates[i].running)
		cost += candidates[i].cost
	}
	return victims, cost, true
}

// release frees a unit's resources on all its workers.
func (s *simulation) release(running int) {
	if s.released[running] {
		return
	}
	s.released[running] = true
	s.victims = append(s.victims, running)
	demand := s.Running[running].Step.Demand()
	for _, w := range s.Running[running].Workers {
		s.free[w] = s.free[w].Plus(demand)
	}
}
