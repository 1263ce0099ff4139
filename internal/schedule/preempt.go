package schedule

import (
	"cmp"
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/workflow"
)

// urgentCostFactor is what evicting urgent work costs, in times its own run time: it would
// miss its objective, which is worth four times its work to the users.
const urgentCostFactor = 4

// simulation is a set of running units whose room is taken for free.
type simulation struct {
	*planner
	free      []workflow.Room
	released  []bool
	victims   []int
	totalCost time.Duration
	// releaseCost returns what taking a unit's room costs; false when it may not be taken.
	releaseCost func(running int) (time.Duration, bool)
}

func (p *planner) newSimulation(price func(int) (time.Duration, bool)) *simulation {
	t := &simulation{planner: p, free: make([]workflow.Room, len(p.free)), released: make([]bool, len(p.Running)), releaseCost: price}
	for i := range p.free {
		t.free[i] = p.free[i].Plus(p.releasing[i])
	}
	return t
}

func (t *simulation) clone() *simulation {
	c := *t
	c.free = slices.Clone(t.free)
	c.released = slices.Clone(t.released)
	c.victims = slices.Clone(t.victims)
	return &c
}

// cheapestPreemption finds the cheapest room that units which must give way can make.
func (p *planner) cheapestPreemption(w *WaitingUnit, guaranteed bool) (places, victims []int, cost time.Duration) {
	return p.cheapestPlacement(w, func(running int) (time.Duration, bool) {
		r := &p.Running[running]
		if r.Stopping || p.preempted[running] || !p.preemptible(running, w, guaranteed) {
			return 0, false
		}
		price := r.LostRunTime + restartCost
		if r.Priority == 0 {
			price += urgentCostFactor * r.Step.Estimate
		}
		cores := time.Duration(len(r.Workers)*r.Step.Cores()) / 1000
		return price * max(1, cores), true
	})
}

// preemptible says whether a running unit gives way to an urgent one. Work of lower priority
// does. Urgent work of another team does when it is beyond that team's guarantee and the
// waiting unit is within its own. Endless work serves users and stays.
func (p *planner) preemptible(running int, w *WaitingUnit, guaranteed bool) bool {
	r := &p.Running[running]
	switch {
	case r.Step.Endless:
		return false
	case r.Priority > 0:
		return true
	default:
		return guaranteed && r.Team != w.Team && !p.runningGuaranteed[running]
	}
}

// earliestPlacement finds the room that is free soonest, going by what is known of run times.
func (p *planner) earliestPlacement(w *WaitingUnit) []int {
	places, _, _ := p.cheapestPlacement(w, func(running int) (time.Duration, bool) {
		r := &p.Running[running]
		if r.Stopping || p.preempted[running] || r.Step.Endless {
			return 0, false
		}
		return max(0, r.RemainingRunTime), true
	})
	return places
}

// cheapestPlacement tries each group of workers and returns the one whose room costs least.
func (p *planner) cheapestPlacement(w *WaitingUnit, price func(int) (time.Duration, bool)) (places, victims []int, cost time.Duration) {
	base := p.newSimulation(price)
	var best *simulation
	for _, group := range p.workerGroups(w) {
		t := base.clone()
		got := t.placeMembers(w, group)
		if got != nil && (best == nil || t.totalCost < best.totalCost) {
			best, places = t, got
		}
	}
	if best == nil {
		return nil, nil, 0
	}
	return places, best.victims, best.totalCost
}

// placeMembers places the members one by one where room costs least.
func (t *simulation) placeMembers(w *WaitingUnit, workers []int) []int {
	claimed := w.Step.Claimed()
	used := make(map[int]int)
	places := make([]int, 0, w.Members)
	for range w.Members {
		best, bestCost := -1, time.Duration(0)
		var bestVictims []int
		for _, i := range workers {
			if !t.eligible(w, i) || used[i] >= t.spreadAllowance(w, i) {
				continue
			}
			victims, cost, ok := t.selectVictims(i, claimed)
			if ok && (best < 0 || cost < bestCost ||
				cost == bestCost && compareFree(t.free[i], t.free[best]) < 0) {
				best, bestCost, bestVictims = i, cost, victims
			}
		}
		if best < 0 {
			return nil
		}
		for _, v := range bestVictims {
			t.release(v)
		}
		t.totalCost += bestCost
		t.free[best] = t.free[best].Minus(claimed)
		used[best]++
		places = append(places, best)
	}
	return places
}

// selectVictims returns the cheapest units to take room from for one more task on a worker.
func (t *simulation) selectVictims(worker int, claimed workflow.Room) (victims []int, cost time.Duration, ok bool) {
	free := t.free[worker]
	if free.Fits(claimed) {
		return nil, 0, true
	}
	type offer struct {
		running int
		price   time.Duration
		room    workflow.Room
	}
	var offers []offer
	for _, i := range t.runningByWorker[worker] {
		if t.released[i] {
			continue
		}
		if price, ok := t.releaseCost(i); ok {
			r := &t.Running[i]
			n := 0
			for _, w := range r.Workers {
				if w == worker {
					n++
				}
			}
			room := r.Step.Claimed()
			offers = append(offers, offer{i, price, workflow.Room{
				MilliCores: n * room.MilliCores, MemoryMB: n * room.MemoryMB, Accelerators: n * room.Accelerators,
			}})
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(a.price, b.price) })
	taken := 0
	for ; taken < len(offers) && !free.Fits(claimed); taken++ {
		free = free.Plus(offers[taken].room)
	}
	if !free.Fits(claimed) {
		return nil, 0, false
	}
	// Leave out those that turn out not to be needed, the dearest first.
	for i := taken - 1; i >= 0; i-- {
		if without := free.Minus(offers[i].room); without.Fits(claimed) {
			free = without
			continue
		}
		victims = append(victims, offers[i].running)
		cost += offers[i].price
	}
	return victims, cost, true
}

// release takes a unit's room on all its workers.
func (t *simulation) release(running int) {
	if t.released[running] {
		return
	}
	t.released[running] = true
	t.victims = append(t.victims, running)
	claimed := t.Running[running].Step.Claimed()
	for _, w := range t.Running[running].Workers {
		t.free[w] = t.free[w].Plus(claimed)
	}
}
