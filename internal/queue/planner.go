package queue

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// Planner makes plans and keeps its memory from one to the next; nothing it
// keeps changes what it decides. It is not safe for concurrent use.
type Planner struct {
	Policy Policy

	view           *View
	plan           *Plan
	fleet          placement.Fleet
	savedFleet     placement.Fleet // The fleet before a trial.
	runningParts   []placement.RunningPart
	usage          []usage
	capacity       usage
	owned          []int // Accelerators that each team owns on workers that run work.
	candidates     []candidate
	byTeam         [][]int32
	failedRequests map[requestKey]time.Time
	feasible       map[shapeKey]bool
	reservations   []activeReservation
}

// usage is what a team uses at once.
type usage struct {
	accelerators, cores int
}

// candidate is a waiting job with what ranking derives for it.
type candidate struct {
	*Job
	class   shop.Class
	team    int
	sortKey float64 // Of its rank within the team, the least first.
	started bool
}

// isLarge says whether room is reserved for the job when it is blocked.
func isLarge(s shop.Shape) bool { return s.TotalAccelerators() >= largeAccelerators }

// largeGangSize returns the accelerators of a large job, so that only one at least
// twice as large evicts it; small jobs count as none.
func largeGangSize(s shop.Shape) int {
	if !isLarge(s) {
		return 0
	}
	return s.TotalAccelerators()
}

// shapeKey is what decides whether a job can ever fit.
type shapeKey struct {
	shape  shop.Shape
	region string
}

// requestKey is a request that didn't fit, so that equal ones need not be tried.
type requestKey struct {
	shapeKey
	team        int
	preemptible bool
	own         bool
	probe       bool
	evict       placement.Eviction
	holds       placement.ReservationUse
}

var plannerPool = sync.Pool{New: func() any { return &Planner{Policy: Default} }}

// Next plans by the default policy.
func Next(v View) Plan {
	p := plannerPool.Get().(*Planner)
	defer plannerPool.Put(p)
	return p.Next(v)
}

// Next plans what to start, stop, refuse and reserve.
func (p *Planner) Next(v View) Plan {
	var plan Plan
	p.view, p.plan = &v, &plan
	p.reset()
	p.addRunning()
	p.admit()
	if p.Policy.FairShare {
		p.rank()
		p.restoreReservations()
		p.reclaim()
		p.startUrgent()
		p.startOverdue()
		p.startByFairShare()
	} else {
		p.startByArrival()
	}
	p.moveSmallJobs()
	p.reportReservations()
	p.view, p.plan = nil, nil
	return plan
}

func (p *Planner) reset() {
	teams := len(p.view.Config.Teams)
	p.fleet.CopyFrom(p.view.Fleet)
	p.runningParts = p.runningParts[:0]
	p.usage = append(p.usage[:0], make([]usage, teams)...)
	p.owned = append(p.owned[:0], make([]int, teams)...)
	p.fleet.AddOwnedAccelerators(p.owned)
	p.candidates = p.candidates[:0]
	p.reservations = p.reservations[:0]
	for len(p.byTeam) < teams {
		p.byTeam = append(p.byTeam, nil)
	}
	for i := range p.byTeam {
		p.byTeam[i] = p.byTeam[i][:0]
	}
	if p.failedRequests == nil {
		p.failedRequests = make(map[requestKey]time.Time)
		p.feasible = make(map[shapeKey]bool)
	}
	clear(p.failedRequests)
	clear(p.feasible)
	p.capacity.accelerators, p.capacity.cores, _ = p.fleet.Capacity()
}

// addRunning enters what runs.
func (p *Planner) addRunning() {
	for i := range p.view.Running {
		p.addRunningJob(i, &p.view.Running[i])
	}
	p.fleet.AddRunning(p.runningParts, len(p.view.Running))
}

func (p *Planner) addRunningJob(number int, r *Running) {
	class, _ := p.view.Config.Classes.Find(r.Class)
	team := p.fleet.TeamIndex(r.Team)
	if team >= 0 {
		p.addUsage(team, r.Shape, 1)
	}
	loss := p.loss(r)
	for _, part := range r.Parts {
		w, ok := p.fleet.WorkerIndex(part.Worker)
		if !ok {
			continue
		}
		p.runningParts = append(p.runningParts, placement.RunningPart{
			Shape: r.Shape,
			Occupant: placement.Occupant{
				Job:              number,
				Worker:           w,
				Team:             team,
				Tasks:            part.Tasks,
				Mask:             part.Accelerators,
				Cores:            part.Tasks * r.Shape.Cores,
				Memory:           int64(part.Tasks) * int64(r.Shape.Memory),
				End:              r.ExpectedEnd,
				Preemptible:      class.Preemptible && !r.Stopping,
				Urgent:           class.Urgent,
				GangAccelerators: largeGangSize(r.Shape),
				Started:          r.Started,
				Submitted:        r.Submitted,
				Loss:             loss,
			},
		})
	}
}

// loss returns what evicting a job throws away, in time of one accelerator.
func (p *Planner) loss(r *Running) time.Duration {
	return (r.lostRunTime(p.view.Now) + restartCost) * time.Duration(max(1, r.Shape.TotalAccelerators()))
}

func (p *Planner) addUsage(team int, s shop.Shape, sign int) {
	p.usage[team].accelerators += sign * s.TotalAccelerators()
	p.usage[team].cores += sign * s.Tasks * s.Cores
}

// admit refuses what can never run and lists the rest.
func (p *Planner) admit() {
	for i := range p.view.Queued {
		j := &p.view.Queued[i]
		it, err := p.admitJob(j)
		if err != nil {
			p.plan.Refusals = append(p.plan.Refusals, Refusal{
				Job: j.ID,
				Err: fmt.Errorf("queue.Next: %w: %w", shop.ErrNotRun, err),
			})
			continue
		}
		p.candidates = append(p.candidates, it)
	}
}

func (p *Planner) admitJob(j *Job) (candidate, error) {
	it := candidate{Job: j, team: p.fleet.TeamIndex(j.Team)}
	if it.team < 0 {
		return it, fmt.Errorf("team %s: %w", j.Team, shop.ErrNotFound)
	}
	class, ok := p.view.Config.Classes.Find(j.Class)
	if !ok {
		return it, fmt.Errorf("class %s: %w", j.Class, shop.ErrNotFound)
	}
	it.class = class
	quota := p.view.Config.Teams[it.team].Quota
	if quota > 0 && j.Shape.TotalAccelerators() > quota {
		return it, fmt.Errorf("%s, quota %d: %w", j.Shape, quota, ErrOverQuota)
	}
	key := shapeKey{j.Shape, j.Region}
	fits, known := p.feasible[key]
	if !known {
		fits = p.fleet.FitsWhenEmpty(j.Shape, j.Region)
		p.feasible[key] = fits
	}
	if !fits {
		return it, fmt.Errorf("%s: %w", j.Shape, shop.ErrNeverFits)
	}
	return it, nil
}

// request asks for room for a job the plain way: free room, nothing reserved.
func (p *Planner) request(it *candidate) placement.Request {
	return placement.Request{
		Shape:       it.Shape,
		Team:        it.team,
		Region:      it.Region,
		Preemptible: it.class.Preemptible,
		Probe:       it.class.Idempotent && !it.class.Urgent,
		End:         p.view.Now.Add(it.Estimate),
		Submitted:   it.Submitted,
	}
}

// overQuota says whether the job has to wait for other work of its team.
func (p *Planner) overQuota(it *candidate) bool {
	quota := p.view.Config.Teams[it.team].Quota
	return quota > 0 && p.usage[it.team].accelerators+it.Shape.TotalAccelerators() > quota
}

// tryStart starts the job if the request fits.
func (p *Planner) tryStart(it *candidate, q placement.Request) bool {
	if p.overQuota(it) || p.alreadyFailed(q) {
		return false
	}
	found, ok := p.fleet.Fit(q)
	if !ok {
		p.recordFailure(q)
		return false
	}
	p.start(it, q, found)
	return true
}

// alreadyFailed says whether an equal request has failed in this plan. What ends later
// fits no better.
func (p *Planner) alreadyFailed(q placement.Request) bool {
	end, known := p.failedRequests[requestKeyOf(q)]
	return known && !q.End.Before(end)
}

func (p *Planner) recordFailure(q placement.Request) { p.failedRequests[requestKeyOf(q)] = q.End }

func requestKeyOf(q placement.Request) requestKey {
	return requestKey{
		shapeKey:    shapeKey{q.Shape, q.Region},
		team:        q.Team,
		preemptible: q.Preemptible,
		own:         q.OwnedOnly,
		probe:       q.Probe,
		evict:       q.Evict,
		holds:       q.ReservationUse,
	}
}

func (p *Planner) start(it *candidate, q placement.Request, found placement.Placement) {
	start := Start{
		Attempt: shop.Attempt{Job: it.ID, Number: it.Attempt},
		Parts:   found.Parts,
	}
	for _, number := range found.Evict {
		start.Evict = append(start.Evict, p.preempt(number, it.ID))
	}
	p.fleet.Allocate(q, found.Parts)
	p.addUsage(it.team, it.Shape, 1)
	it.started = true
	p.plan.Starts = append(p.plan.Starts, start)
}

// preempt makes a running job give way.
func (p *Planner) preempt(number int, to string) shop.Attempt {
	r := &p.view.Running[number]
	a := shop.Attempt{Job: r.ID, Number: r.Attempt}
	p.fleet.Evict(number)
	if team := p.fleet.TeamIndex(r.Team); team >= 0 {
		p.addUsage(team, r.Shape, -1)
	}
	clear(p.failedRequests)
	p.plan.Preempts = append(p.plan.Preempts, Preempt{Attempt: a, For: to})
	return a
}

// startByArrival starts jobs in the order of their arrival.
func (p *Planner) startByArrival() {
	slices.SortFunc(p.candidates, byAge)
	for i := range p.candidates {
		it := &p.candidates[i]
		if !p.tryStart(it, p.request(it)) && !p.Policy.SkipBlocked {
			return
		}
	}
}
