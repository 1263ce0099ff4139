package schedule

import (
	"cmp"
	"slices"
	"time"

	"sniperill.example/sniperill/internal/pace"
	"sniperill.example/sniperill/pkg/workflow"
)

// initClasses divides the workers into classes by their paces; cold ones count as slower. A worker that isn't known is
// taken to be as fast as the known ones are on average, so that it comes after the fast ones for a gang, which ends with
// its slowest member.
func (p *planner) initClasses() {
	sum, known := 0.0, 0
	for i := range p.Workers {
		if at := p.Workers[i].Pace; at > 0 {
			sum += at
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / float64(known)
	}
	p.paces = make([]float64, len(p.Workers))
	p.coldPaces = make([]float64, len(p.Workers))
	p.classes = make([]int, len(p.Workers))
	for i := range p.Workers {
		p.paces[i] = cmp.Or(p.Workers[i].Pace, mean)
		p.coldPaces[i] = p.paces[i] * p.Workers[i].coldness()
		p.classes[i] = pace.Class(p.coldPaces[i])
		p.uneven = p.uneven || p.classes[i] != p.classes[0]
		p.learnt = p.learnt || pace.Class(p.paces[i]) != pace.Class(p.paces[0])
	}
}

// runTime returns how long a unit takes on a worker.
func (p *planner) runTime(w *WaitingUnit, worker int) time.Duration {
	if !p.learnt {
		return w.Estimate
	}
	return time.Duration(p.paces[worker] * float64(w.Estimate))
}

// gangTime returns how long a unit takes on the workers of its members, which end with the slowest.
func (p *planner) gangTime(w *WaitingUnit, placement []int) time.Duration {
	longest := time.Duration(0)
	for _, i := range placement {
		longest = max(longest, p.runTime(w, i))
	}
	return longest
}

// sizeKey tells apart the units for which shortestTime may have different results.
type sizeKey struct {
	step     *workflow.Step
	members  int
	estimate time.Duration
}

// shortestTime returns how long a unit takes on the fastest workers that have room for all its members once they are
// empty.
func (p *planner) shortestTime(w *WaitingUnit) time.Duration {
	if !p.learnt || w.Step.Endless {
		return w.Estimate
	}
	key := sizeKey{w.Step, w.Members, w.Estimate}
	if t, known := p.shortest[key]; known {
		return t
	}
	if p.fastest == nil {
		p.fastest = slices.Clone(p.allWorkers)
		slices.SortStableFunc(p.fastest, func(a, b int) int { return cmp.Compare(p.paces[a], p.paces[b]) })
	}
	t, n := w.Estimate, 0
	for _, i := range p.fastest {
		if o := &p.Workers[i]; o.open() && o.Takes(w.Service, w.Step) {
			n += min(cmp.Or(w.Step.MaxPerWorker, w.Members), o.Resources.FitCount(w.Step.Demand(), w.Members))
		}
		if n >= w.Members {
			t = p.runTime(w, i)
			break
		}
	}
	p.shortest[key] = t
	return t
}

// prefersFast reports whether a unit should run on the fast ones of the workers. Other work leaves these to urgent
// work as long as slower workers end it in time.
func (p *planner) prefersFast(w *WaitingUnit, workers []int) bool {
	if w.Priority == 0 {
		return true
	}
	slowest := 0.0
	for _, i := range workers {
		slowest = max(slowest, p.paces[i])
	}
	return p.meets(w, 1) && !p.meets(w, slowest)
}

// meets reports whether a unit that starts now ends by its objective, at a pace.
func (p *planner) meets(w *WaitingUnit, at float64) bool {
	return !p.Now.Add(time.Duration(at * float64(w.Estimate))).After(w.Objective)
}

// compareClasses orders workers by how well their classes suit a unit: urgent work takes the fastest, other work
// leaves these free.
func (p *planner) compareClasses(w *WaitingUnit, fast bool, a, b int) int {
	switch {
	case w.Step.Endless:
		return 0
	case fast:
		return p.classes[a] - p.classes[b]
	default:
		return p.classes[b] - p.classes[a]
	}
}

// ofOneClass returns those of the candidates on which a gang with time to spare wastes no fast workers: its members
// end together, at the pace of the slowest. It returns all of them if no class has room for all members.
func (p *planner) ofOneClass(w *WaitingUnit, candidates []int) []int {
	if !p.uneven || w.Members == 1 || w.Step.Endless || w.Priority == 0 {
		return candidates
	}
	room := make(map[int]int)
	for _, i := range candidates {
		room[p.classes[i]] += min(p.spreadAllowance(w, i), p.free[i].FitCount(w.Step.Demand(), w.Members))
	}
	slowest, found := 0, false
	for class, n := range room {
		if n >= w.Members && (!found || class > slowest) {
			slowest, found = class, true
		}
	}
	if !found {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(i int) bool { return p.classes[i] != slowest })
}

// comparePlacements orders placements of a unit by how well the classes of their workers suit it.
func (p *planner) comparePlacements(w *WaitingUnit, a, b []int) int {
	slowA, wasteA := p.slowest(a)
	slowB, wasteB := p.slowest(b)
	if w.Priority == 0 {
		return slowA - slowB
	}
	if wasteA != wasteB {
		return wasteA - wasteB
	}
	return slowB - slowA
}

// slowest returns the slowest class of a placement, and by how many classes all other members together wait for it.
func (p *planner) slowest(placement []int) (class, waste int) {
	class = p.classes[placement[0]]
	for _, i := range placement {
		class = max(class, p.classes[i])
	}
	for _, i := range placement {
		waste += class - p.classes[i]
	}
	return class, waste
}

// maxFastWait is how long urgent work that could start waits for faster workers to be freed. Users expect guaranteed
// work to start within 2.7 s.
const maxFastWait = time.Second

// maxGivenWait is the same once others were stopped for it, whose run time would be lost for nothing.
const maxGivenWait = 1500 * time.Millisecond

// maxPaceInTime returns the slowest pace at which an urgent unit that starts now ends by its objective. It returns 0
// if that excludes no worker, or all of them, or if the unit has waited for longer than maxWait.
func (p *planner) maxPaceInTime(w *WaitingUnit, maxWait time.Duration) float64 {
	if !p.uneven || w.Priority != 0 || w.Step.Endless || w.Estimate <= 0 || p.Now.Sub(w.ReadySince) > maxWait {
		return 0
	}
	limit := w.Objective.Sub(p.Now).Seconds() / w.Estimate.Seconds()
	slow, fast := false, false
	for i := range p.Workers {
		if p.Workers[i].open() && p.Workers[i].Service == w.Service {
			slow = slow || p.coldPaces[i] > limit
			fast = fast || p.coldPaces[i] <= limit
		}
	}
	if !slow || !fast {
		return 0
	}
	return limit
}

// preferFaster returns the workers on which an urgent unit ends in time if it doesn't on those of the placement that is
// free for it, and whether these are free, too. If not, it starts there once others have given way. The cost is bounded
// even within a guarantee, as the unit could start without any.
func (p *planner) preferFaster(i int, placement []int) (workers []int, free bool) {
	w := &p.Waiting[i]
	limit := p.maxPaceInTime(w, maxGivenWait)
	if limit == 0 || !slices.ContainsFunc(placement, func(at int) bool { return p.coldPaces[at] > limit }) {
		return nil, false
	}
	p.maxPace = limit
	defer func() { p.maxPace = 0 }()
	if workers = p.findPlacement(w); workers != nil {
		return workers, true
	}
	if p.reservationFits(w) {
		return w.ReservedWorkers, false
	}
	if p.Now.Sub(w.ReadySince) > maxFastWait {
		return nil, false
	}
	return p.preemptWithin(i, w.maxPreemptionCost()), false
}
