package queue

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// Planner computes plans. It reuses its buffers from one plan to the next, but no
// state that affects decisions. It is not safe for concurrent use.
type Planner struct {
	Policy Policy

	view           *View
	plan           *Plan
	fleet          placement.Fleet
	savedFleet     placement.Fleet // Copy of fleet, restored when a trial move fails.
	runningParts   []placement.RunningPart
	usage          []usage
	capacity       usage
	owned          []int // Accelerators that each team owns on workers that accept work.
	candidates     []candidate
	byTeam         [][]int32                // Indexes of the candidates of each team, in order.
	failedRequests map[requestKey]time.Time // The expected end with which each failed last.
	feasible       map[shapeKey]bool        // Cache of Fleet.FitsWhenEmpty.
	reservations   []activeReservation
}

// usage counts the accelerators and cores in use by a team.
type usage struct {
	accelerators, cores int
}

// candidate is a waiting job that the plan considers.
type candidate struct {
	*Job
	class   shop.Class
	team    int
	sortKey float64 // Order within the team, lowest first.
	started bool
}

// isLarge reports whether a shape makes a job large. A large job gets a reservation
// as soon as it is blocked, a small one only when it is overdue.
func isLarge(s shop.Shape) bool { return s.TotalAccelerators() >= largeAccelerators }

// largeGangSize returns the number of accelerators of a large job, and zero for a
// small one. A blocked large job evicts another large job only if it is at least
// twice that size.
func largeGangSize(s shop.Shape) int {
	if !isLarge(s) {
		return 0
	}
	return s.TotalAccelerators()
}

// shapeKey holds what decides whether a job fits on the empty fleet.
type shapeKey struct {
	shape  shop.Shape
	region string
}

// requestKey identifies requests that are not tried again after one of them didn't
// fit, unless they end earlier.
type requestKey struct {
	shapeKey
	team           int
	preemptible    bool
	own            bool
	probe          bool
	evict          placement.Eviction
	reservationUse placement.ReservationUse
}

var plannerPool = sync.Pool{New: func() any { return &Planner{Policy: Default} }}

// Next computes a plan by the default policy.
func Next(v View) Plan {
	p := plannerPool.Get().(*Planner)
	defer plannerPool.Put(p)
	return p.Next(v)
}

// Next computes which jobs to start, preempt, refuse and move, and which room to
// reserve.
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

// addRunning adds the running jobs to the fleet and to the usage of their teams.
func (p *Planner) addRunning() {
	for i := range p.view.Running {
		p.addRunningJob(i, &p.view.Running[i])
	}
	p.fleet.AddRunning(p.runningParts, len(p.view.Running))
}

func (p *Planner) addRunningJob(index int, r *Running) {
	class, _ := p.view.Config.Classes.Find(r.Class)
	team := p.fleet.TeamIndex(r.Team)
	if team >= 0 {
		p.addUsage(team, r.Shape, 1)
	}
	loss := p.loss(r)
	for _, part := range r.Parts {
		worker, ok := p.fleet.WorkerIndex(part.Worker)
		if !ok {
			continue
		}
		p.runningParts = append(p.runningParts, placement.RunningPart{
			Shape: r.Shape,
			Occupant: placement.Occupant{
				Job:              index,
				Worker:           worker,
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

// loss returns the work lost when a job is evicted, in accelerator-time.
func (p *Planner) loss(r *Running) time.Duration {
	return (r.lostRunTime(p.view.Now) + restartCost) * time.Duration(max(1, r.Shape.TotalAccelerators()))
}

func (p *Planner) addUsage(team int, s shop.Shape, sign int) {
	p.usage[team].accelerators += sign * s.TotalAccelerators()
	p.usage[team].cores += sign * s.Tasks * s.Cores
}

// admit refuses jobs that can never run and adds all others to the candidates.
func (p *Planner) admit() {
	for i := range p.view.Queued {
		j := &p.view.Queued[i]
		c, err := p.admitJob(j)
		if err != nil {
			p.plan.Refusals = append(p.plan.Refusals, Refusal{
				Job: j.ID,
				Err: fmt.Errorf("queue.Next: %w: %w", shop.ErrNotRun, err),
			})
			continue
		}
		p.candidates = append(p.candidates, c)
	}
}

func (p *Planner) admitJob(j *Job) (candidate, error) {
	c := candidate{Job: j, team: p.fleet.TeamIndex(j.Team)}
	if c.team < 0 {
		return c, fmt.Errorf("team %s: %w", j.Team, shop.ErrNotFound)
	}
	class, ok := p.view.Config.Classes.Find(j.Class)
	if !ok {
		return c, fmt.Errorf("class %s: %w", j.Class, shop.ErrNotFound)
	}
	c.class = class
	quota := p.view.Config.Teams[c.team].Quota
	if quota > 0 && j.Shape.TotalAccelerators() > quota {
		return c, fmt.Errorf("%s, quota %d: %w", j.Shape, quota, ErrOverQuota)
	}
	key := shapeKey{j.Shape, j.Region}
	fits, known := p.feasible[key]
	if !known {
		fits = p.fleet.FitsWhenEmpty(j.Shape, j.Region)
		p.feasible[key] = fits
	}
	if !fits {
		return c, fmt.Errorf("%s: %w", j.Shape, shop.ErrNeverFits)
	}
	return c, nil
}

// request returns the basic request for a job: free room only, without evictions
// and without room reserved for other jobs.
func (p *Planner) request(c *candidate) placement.Request {
	return placement.Request{
		Shape:       c.Shape,
		Team:        c.team,
		Region:      c.Region,
		Preemptible: c.class.Preemptible,
		Probe:       c.class.Idempotent && !c.class.Urgent,
		End:         p.view.Now.Add(c.Estimate),
		Submitted:   c.Submitted,
	}
}

// overQuota reports whether starting the job now would exceed the quota of its team.
func (p *Planner) overQuota(c *candidate) bool {
	quota := p.view.Config.Teams[c.team].Quota
	return quota > 0 && p.usage[c.team].accelerators+c.Shape.TotalAccelerators() > quota
}

// tryStart starts the job if the request fits, and reports whether it did.
func (p *Planner) tryStart(c *candidate, q placement.Request) bool {
	if p.overQuota(c) || p.alreadyFailed(q) {
		return false
	}
	found, ok := p.fleet.Fit(q)
	if !ok {
		p.recordFailure(q)
		return false
	}
	p.start(c, q, found)
	return true
}

// alreadyFailed reports whether a request of the same key, with the same or an earlier
// expected end, has failed in this plan. A later end never makes a request fit.
func (p *Planner) alreadyFailed(q placement.Request) bool {
	end, known := p.failedRequests[requestKeyOf(q)]
	return known && !q.End.Before(end)
}

func (p *Planner) recordFailure(q placement.Request) { p.failedRequests[requestKeyOf(q)] = q.End }

func requestKeyOf(q placement.Request) requestKey {
	return requestKey{
		shapeKey:       shapeKey{q.Shape, q.Region},
		team:           q.Team,
		preemptible:    q.Preemptible,
		own:            q.OwnedOnly,
		probe:          q.Probe,
		evict:          q.Evict,
		reservationUse: q.ReservationUse,
	}
}

func (p *Planner) start(c *candidate, q placement.Request, found placement.Placement) {
	start := Start{
		Attempt: shop.Attempt{Job: c.ID, Number: c.Attempt},
		Parts:   found.Parts,
	}
	for _, index := range found.Evict {
		start.Evict = append(start.Evict, p.preempt(index, c.ID))
	}
	p.fleet.Allocate(q, found.Parts)
	p.addUsage(c.team, c.Shape, 1)
	c.started = true
	p.plan.Starts = append(p.plan.Starts, start)
}

// preempt evicts the running job at the given index of View.Running in favour of
// another job.
func (p *Planner) preempt(index int, forJob string) shop.Attempt {
	r := &p.view.Running[index]
	a := shop.Attempt{Job: r.ID, Number: r.Attempt}
	p.fleet.Evict(index)
	if team := p.fleet.TeamIndex(r.Team); team >= 0 {
		p.addUsage(team, r.Shape, -1)
	}
	clear(p.failedRequests)
	p.plan.Preempts = append(p.plan.Preempts, Preempt{Attempt: a, For: forJob})
	return a
}

// startByArrival starts jobs in the order of submission.
func (p *Planner) startByArrival() {
	slices.SortFunc(p.candidates, byAge)
	for i := range p.candidates {
		c := &p.candidates[i]
		if !p.tryStart(c, p.request(c)) && !p.Policy.SkipBlocked {
			return
		}
	}
}
