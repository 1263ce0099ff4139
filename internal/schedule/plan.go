package schedule

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sniperill.example/sniperill/pkg/workflow"
)

const (
	// maxLargeReservations bounds the number of blocked large units that one plan keeps
	// resources for, so that a few large jobs can't leave the cluster idle.
	maxLargeReservations = 2
	// restartCost is the run time per member that a preemption costs in addition to the lost work.
	restartCost = 300 * time.Millisecond
)

// maxPreemptionCostRatio bounds the cost of preempting beyond a guarantee, as a multiple of the
// urgent unit's own work. What earlier plans have preempted for the unit counts, so that all these
// preemptions together cost no more than that multiple of the urgent work. By the users' goals, urgent
// work that is on time earns at least that much more than late work.
const maxPreemptionCostRatio = 2

// planner holds the state of one ComputePlan call.
type planner struct {
	*View
	plan Plan
	// free holds each worker's unallocated resources, releasing what stopping units still hold.
	free, releasing []workflow.Resources
	lasting         []workflow.Resources // Of each worker, what endless tasks use there for as long as their jobs go on.
	headroom        map[string]headroom  // By service.
	racks           []rack
	runningByWorker [][]int // Indices into Running.
	// runningGuaranteed and waitingGuaranteed mark the urgent units that are within their teams'
	// guarantees.
	runningGuaranteed, waitingGuaranteed []bool

	preempted         []bool // Running units that this plan preempts.
	largeReservations int
	allWorkers        []int // All indices into Workers.
	anyPaused         bool
	pausedNeeded      map[pausedKey]bool // Results of needsPaused.
	allowPaused       bool               // The unit that is being planned may use paused workers.
	// kept holds, for each worker, the resources that are kept for blocked large units, and keptFor for
	// how long these can't start yet.
	kept         []workflow.Resources
	keptFor      []time.Duration
	spreadCounts []map[int]int             // View.SpreadCounts plus the tasks that this plan places.
	classes      []int                     // Of the workers, by their paces.
	uneven       bool                      // The workers are of several classes.
	learnt       bool                      // They are by their paces alone, whether or not some are cold.
	paces        []float64                 // Of the workers, which tell how long a unit takes there.
	coldPaces    []float64                 // The same, but cold workers count as slower than all others.
	fastest      []int                     // All indices into Workers, the fastest first; nil until it is needed.
	shortest     map[sizeKey]time.Duration // Results of shortestTime.
	maxPace      float64                   // The unit that is being planned uses no slower workers; zero for no limit.
}

// rack is the workers of one service in one rack.
type rack struct {
	service, name string
	workers       []int
}

// ComputePlan decides which waiting units start and which running units are preempted.
func ComputePlan(v *View) Plan {
	p := &planner{View: v, preempted: make([]bool, len(v.Running)), pausedNeeded: make(map[pausedKey]bool), shortest: make(map[sizeKey]time.Duration)}
	for _, b := range v.SpreadCounts {
		p.spreadCounts = append(p.spreadCounts, maps.Clone(b))
	}
	p.initResources()
	p.initClasses()
	p.countHeadroom()
	p.assignGuarantees()
	for _, i := range p.order() {
		p.planUnit(i)
	}
	return p.plan
}

func (p *planner) initResources() {
	p.free = make([]workflow.Resources, len(p.Workers))
	p.releasing = make([]workflow.Resources, len(p.Workers))
	p.lasting = make([]workflow.Resources, len(p.Workers))
	p.kept = make([]workflow.Resources, len(p.Workers))
	p.keptFor = make([]time.Duration, len(p.Workers))
	p.runningByWorker = make([][]int, len(p.Workers))
	rackIndex := make(map[[2]string]int)
	for i := range p.Workers {
		w := &p.Workers[i]
		p.allWorkers = append(p.allWorkers, i)
		p.anyPaused = p.anyPaused || w.Paused
		p.free[i] = w.Resources
		key := [2]string{w.Service, w.Rack}
		r, ok := rackIndex[key]
		if !ok {
			r = len(p.racks)
			rackIndex[key] = r
			p.racks = append(p.racks, rack{service: w.Service, name: w.Rack})
		}
		p.racks[r].workers = append(p.racks[r].workers, i)
	}
	for i := range p.Running {
		r := &p.Running[i]
		demand := r.Step.Demand()
		for _, w := range r.Workers {
			p.free[w] = p.free[w].Minus(demand)
			p.runningByWorker[w] = append(p.runningByWorker[w], i)
			switch {
			case r.Stopping:
				p.releasing[w] = p.releasing[w].Plus(demand)
			case r.Step.Endless && !r.JobFinal:
				p.lasting[w] = p.lasting[w].Plus(demand)
			}
		}
	}
}

// order returns the indices of the waiting units, the most important first. Urgent work within its
// team's guarantee precedes urgent work beyond one, which would only be preempted again.
func (p *planner) order() []int {
	out := make([]int, len(p.Waiting))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return p.compare(&p.Waiting[a], &p.Waiting[b]) })
	var guaranteed, rest []int
	for _, i := range out {
		if p.waitingGuaranteed[i] {
			guaranteed = append(guaranteed, i)
			continue
		}
		rest = append(rest, i)
	}
	return append(guaranteed, rest...)
}

// compare orders units by priority, then by deadline rank, objective and time of submission.
func (p *planner) compare(a, b *WaitingUnit) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(p.deadlineRank(a), p.deadlineRank(b)),
		a.Objective.Compare(b.Objective),
		a.Submitted.Compare(b.Submitted),
	)
}

// deadlineRank returns 0 if the unit can still meet its objective, 1 if it can still end by its
// hard deadline and so earn the part for late work, and 2 otherwise.
func (p *planner) deadlineRank(w *WaitingUnit) int {
	end := p.Now.Add(p.shortestTime(w))
	switch {
	case !end.After(w.Objective):
		return 0
	case !end.After(w.HardDeadline):
		return 1
	default:
		return 2
	}
}

// mayPreemptBeyondGuarantee reports whether a unit may preempt others beyond its team's guarantee:
// urgent work may until its objective has passed. Estimates are off by up to 90 %, so it doesn't
// pay to wait until the estimate says that the unit must start.
func (p *planner) mayPreemptBeyondGuarantee(w *WaitingUnit) bool {
	return w.Priority == 0 && p.Now.Before(w.Objective)
}

// planUnit starts or defers one waiting unit, preempts others for it, or, if it is large, keeps
// later units off the resources that it will need. The last holds for this plan only.
func (p *planner) planUnit(i int) {
	w := &p.Waiting[i]
	p.allowPaused = p.needsPaused(w)
	if free, required, ok := p.shouldDefer(w); ok {
		p.plan.Deferrals = append(p.plan.Deferrals, Deferral{WaitingIndex: i, Free: free, RequiredFree: required})
		return
	}
	placement := p.findPlacement(w)
	if placement == nil {
		placement = p.backfill(w)
	}
	faster, free := p.preferFaster(i, placement)
	switch {
	case free:
		placement = faster
	case faster != nil:
		p.plan.Reservations = append(p.plan.Reservations, Reservation{WaitingIndex: i, Workers: faster})
		p.allocate(w, faster)
		return
	}
	if placement != nil {
		p.allocate(w, placement)
		p.plan.Starts = append(p.plan.Starts, Start{WaitingIndex: i, Workers: placement})
		return
	}
	if placement := p.preemptFor(i); placement != nil {
		p.plan.Reservations = append(p.plan.Reservations, Reservation{WaitingIndex: i, Workers: placement})
		p.allocate(w, placement)
		return
	}
	if p.largeReservations < maxLargeReservations && w.Members*w.Step.Resources.Accelerators >= minLargeAccelerators {
		if placement, startsIn := p.earliestPlacement(w); placement != nil {
			p.largeReservations++
			p.keep(w, placement, startsIn)
		}
	}
}

const (
	// backfillFactor is how many times its estimate a unit must have until the blocked unit can start in
	// whose resources it runs. Estimates are off by up to 90 %.
	backfillFactor = 2
	// maxBackfillWait is how long a blocked unit may have waited so that others still run in its resources.
	maxBackfillWait = time.Minute
)

// keep keeps the resources of a blocked unit off later units that would not end before it can start.
func (p *planner) keep(w *WaitingUnit, placement []int, startsIn time.Duration) {
	if p.Now.Sub(w.ReadySince) < maxBackfillWait {
		for _, worker := range placement {
			if p.kept[worker] == (workflow.Resources{}) || startsIn < p.keptFor[worker] {
				p.keptFor[worker] = startsIn
			}
			p.kept[worker] = p.kept[worker].Plus(w.Step.Demand())
		}
	}
	p.allocate(w, placement)
}

// backfill returns a worker for each member of a unit that ends, by its estimate, before the large units
// start for which resources are kept there. It returns nil if not all fit.
func (p *planner) backfill(w *WaitingUnit) []int {
	if w.Step.Endless {
		return nil
	}
	var lent []int
	fits := false
	for i, kept := range p.kept {
		if kept != (workflow.Resources{}) && backfillFactor*p.runTime(w, i) <= p.keptFor[i] {
			lent = append(lent, i)
			p.free[i] = p.free[i].Plus(kept)
			fits = fits || p.free[i].Fits(w.Step.Demand())
		}
	}
	var placement []int
	if fits {
		placement = p.findPlacement(w)
	}
	for _, i := range lent {
		p.free[i] = p.free[i].Minus(p.kept[i])
	}
	if took := p.gangTime(w, placement); slices.ContainsFunc(placement, func(i int) bool {
		return slices.Contains(lent, i) && backfillFactor*took > p.keptFor[i]
	}) {
		return nil
	}
	return placement
}

// preemptFor preempts others for an urgent unit and returns the workers on which it will start, or
// nil if nothing may be preempted. It keeps to the workers that the previous plan reserved. If
// they were chosen anew, the units that were preempted there would start again, only to be
// preempted again.
func (p *planner) preemptFor(i int) []int {
	w := &p.Waiting[i]
	guaranteed := p.waitingGuaranteed[i]
	if !guaranteed && !p.mayPreemptBeyondGuarantee(w) {
		return nil
	}
	if p.reservationFits(w) {
		return w.ReservedWorkers
	}
	maxCost := w.maxPreemptionCost()
	if p.maxPace = p.maxPaceInTime(w, maxFastWait); p.maxPace != 0 {
		placement := p.preemptWithin(i, maxCost)
		p.maxPace = 0
		if placement != nil {
			return placement
		}
	}
	if guaranteed {
		maxCost = math.Inf(1)
	}
	return p.preemptWithin(i, maxCost)
}

// preemptWithin preempts others for an urgent unit if that costs at most so many core seconds, and returns the workers
// on which it will start.
func (p *planner) preemptWithin(i int, maxCost float64) []int {
	w := &p.Waiting[i]
	placement, victims, cost := p.cheapestPreemption(w, p.waitingGuaranteed[i])
	if placement == nil || cost > maxCost {
		return nil
	}
	for _, v := range victims {
		p.preempt(v, i)
	}
	return placement
}

// reservationFits reports whether the unit fits on its reserved workers once all units that were
// told to stop there have ended.
func (p *planner) reservationFits(w *WaitingUnit) bool {
	if len(w.ReservedWorkers) != w.Members {
		return false
	}
	demand := w.Step.Demand()
	taken := make(map[int]workflow.Resources)
	tasks := make(map[int]int)
	for _, worker := range w.ReservedWorkers {
		if !p.eligible(w, worker) || !p.fastEnough(worker) || tasks[worker] >= p.spreadAllowance(w, worker) {
			return false
		}
		left := p.free[worker].Plus(p.releasing[worker]).Minus(taken[worker])
		if !left.Fits(demand) {
			return false
		}
		taken[worker] = taken[worker].Plus(demand)
		tasks[worker]++
	}
	return true
}

// minLargeAccelerators is the number of accelerators from which a unit counts as large, so that
// resources are kept for it while it is blocked. A worker has 8.
const minLargeAccelerators = 8

// allocate takes the unit's resources on the workers. Resources that are yet to be released count
// as well, so the free amount may become negative.
func (p *planner) allocate(w *WaitingUnit, placement []int) {
	demand := w.Step.Demand()
	for _, worker := range placement {
		before := p.free[worker].Accelerators
		p.free[worker] = p.free[worker].Minus(demand)
		p.addFree(worker, max(0, p.free[worker].Accelerators)-max(0, before))
	}
	p.countSpread(w, placement)
}

// countSpread counts the placed tasks by worker if the step limits their number per worker.
func (p *planner) countSpread(w *WaitingUnit, placement []int) {
	if w.Step.MaxPerWorker == 0 {
		return
	}
	if p.spreadCounts[w.SpreadGroup] == nil {
		p.spreadCounts[w.SpreadGroup] = make(map[int]int)
	}
	for _, worker := range placement {
		p.spreadCounts[w.SpreadGroup][worker]++
	}
}

// preempt plans to stop a running unit and counts its resources as about to be released.
func (p *planner) preempt(running, waiting int) {
	r := &p.Running[running]
	p.preempted[running] = true
	p.plan.Preemptions = append(p.plan.Preemptions, Preemption{VictimIndex: running, PreemptorIndex: waiting})
	demand := r.Step.Demand()
	for _, w := range r.Workers {
		p.releasing[w] = p.releasing[w].Plus(demand)
	}
}
