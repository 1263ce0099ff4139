package entry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sniperill.example/sniperill/internal/estimate"
	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/internal/guarantee"
	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/internal/quarantine"
	"sniperill.example/sniperill/internal/queue"
	"sniperill.example/sniperill/internal/roster"
	"sniperill.example/sniperill/pkg/shop"
)

// Times of planning.
const (
	// planInterval is the longest time between two plans.
	planInterval = time.Second
	// minPlanDelay is the least time between two plans, so that a burst costs one.
	minPlanDelay = 20 * time.Millisecond
	// planDelayFactor is how many times as long as a plan took the next one waits, so
	// that plans stay within a part of a core however large the deployment is.
	planDelayFactor = 40
	// maxPlanDelay keeps urgent work within its bound, also on a slow machine.
	maxPlanDelay = 300 * time.Millisecond
	// rosterStableDelay is how long no new agent may appear before the inventory counts as known.
	rosterStableDelay = 5 * time.Second
	// inventoryTimeout is how long a caller waits for the inventory to be known.
	inventoryTimeout = 10 * time.Second
	// repackDelay is how long a worker is down before its guarantees move.
	repackDelay = time.Minute
	// runTimeQuantile is the quantile of run times that plans go by.
	runTimeQuantile = 0.7
)

// planner turns what the entry knows into starts and stops. Only the planner of
// the region carries its plans out; the others keep their inventory at hand.
type planner struct {
	*Entry

	runs      runs
	woken     chan struct{}
	inventory atomic.Pointer[inventory]

	// queue is used by the plan loop alone.
	queue queue.Planner

	mu            sync.Mutex
	jobs          map[string]*progress
	estimates     estimate.Estimates
	quarantine    quarantine.Quarantine
	reservations  queue.ReservationList
	packing       guarantee.Packing
	hasPacking    bool
	packedInput   packInput
	pushingOwners map[string]bool
	// firstSeen is when each agent was first seen, and grown when the newest was.
	firstSeen  map[string]time.Time
	lastJoined time.Time
	// unrecorded is what this entry started while the log was away, by job.
	unrecorded map[string]unrecordedJob
	// connectFailedAt is when no connection to an agent could be opened last.
	connectFailedAt map[string]time.Time
}

// inventory is the hardware as the newest plan saw it.
type inventory struct {
	fleet   *placement.Fleet
	packing guarantee.Packing
	teams   shop.TeamList
	stable  bool
}

// progress is what this planner remembers of one job.
type progress struct {
	// attempt is the highest that this planner has used.
	attempt int
	// endedAttempt is the highest attempt after which the job may be queued again.
	endedAttempt int
	// stoppedAttempt is the highest attempt that its agents have ended; it may have run.
	stoppedAttempt int
	// missingSince is when the highest attempt was first missed.
	missingSince time.Time
	// notBefore is when the next attempt makes sense.
	notBefore time.Time
	// starting is set while a start is in progress, or until agents show it.
	starting *queue.Running
	started  bool
	// preemptingAttempt is the attempt that was told to give way.
	preemptingAttempt int
	// countedAttempt is the last failed attempt that was counted.
	countedAttempt int
	// neverRanAttempt is the last attempt that never ran, nor any before it.
	neverRanAttempt int
	preemptions     int
	// preemptedAt is when the job was last preempted.
	preemptedAt time.Time
	checkpoint  []byte
	ending      bool
	// nextEndStep is when the next step of ending the job may begin.
	nextEndStep time.Time
	// endDelay grows with every step that failed.
	endDelay time.Duration
	// refusals in a row lengthen the wait before the next attempt.
	refusals int
}

func (p *planner) setUp(e *Entry) {
	p.Entry = e
	p.woken = make(chan struct{}, 1)
	p.queue.Policy = queue.Default
	p.jobs = make(map[string]*progress)
	p.pushingOwners = make(map[string]bool)
	p.firstSeen = make(map[string]time.Time)
	p.connectFailedAt = make(map[string]time.Time)
	p.unrecorded = make(map[string]unrecordedJob)
}

// wake makes the loop plan soon.
func (p *planner) wake() {
	select {
	case p.woken <- struct{}{}:
	default:
	}
	p.endedJobs.notify()
}

func (e *Entry) runOf(id string) (run, bool) { return e.planner.runs.find(id) }

var planDuration = metrics.NewHistogram("sniperill_plan_duration_seconds")

func (e *Entry) planLoop(ctx context.Context) error {
	p := &e.planner
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		began := time.Now()
		p.plan(ctx)
		gap := time.NewTimer(planDelay(time.Since(began)))
		select {
		case <-ctx.Done():
			gap.Stop()
			return nil
		case <-gap.C:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.woken:
		case <-ticker.C:
		}
	}
}

// planDelay is how long to wait after a plan that took so long.
func planDelay(took time.Duration) time.Duration {
	return min(maxPlanDelay, max(minPlanDelay, planDelayFactor*took))
}

// plan brings the inventory up to date and, on the region's planner, decides
// what starts and what stops.
func (p *planner) plan(ctx context.Context) {
	now, config := p.Now(), p.Config()
	members := p.roster.View().Agents
	inv := p.updateInventory(members, config, now)
	p.tickets.sweep(p.isQueued)
	p.endedJobs.notify()
	p.recordUnrecordedJobs(ctx)
	if inv == nil || !p.isRegionPlanner() {
		return
	}
	p.pushOwners(ctx, members, inv)
	view := p.buildView(ctx, config, inv, now)
	start := time.Now()
	plan := p.queue.Next(view)
	planDuration.UpdateDuration(start)
	p.execute(ctx, view, plan, inv)
}

// updateInventory takes what the agents report, and the inventory under the configuration.
func (p *planner) updateInventory(members roster.MemberList, config *shop.Config, now time.Time) *inventory {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateAgents(members, now)
	if config == nil {
		return nil
	}
	inv := p.buildInventory(config, members, now)
	p.inventory.Store(inv)
	return inv
}

// isRegionPlanner says whether this entry plans for its region.
func (p *planner) isRegionPlanner() bool {
	chosen := p.roster.View().Planner(p.Place.Region)
	return !p.leaving.Load() && chosen.GetName() == p.Name
}

// updateAgents takes what the agents report.
func (p *planner) updateAgents(members roster.MemberList, now time.Time) {
	for _, m := range members {
		if m.Health == roster.Dead {
			p.runs.remove(m.State.Name)
			continue
		}
		p.runs.update(m.State)
		if _, ok := p.firstSeen[m.State.Name]; !ok {
			p.firstSeen[m.State.Name] = now
			p.lastJoined = now
		}
	}
}

// buildInventory builds the fleet of the region and the packing of guarantees.
func (p *planner) buildInventory(config *shop.Config, members roster.MemberList, now time.Time) *inventory {
	var workers shop.WorkerList
	var own placement.WorkerList
	gone := make(map[string]bool)
	starting := p.startingJobs()
	for _, m := range members {
		w := workerOf(m)
		workers = append(workers, w)
		if m.Health == roster.Dead && now.Sub(m.LastHeard()) > repackDelay {
			gone[w.Place.Worker] = true
		}
		if w.Place.Region == p.Place.Region {
			own = append(own, p.placementWorker(m, w, starting, now))
		}
	}
	settled := len(members) > 0 && now.Sub(p.lastJoined) > rosterStableDelay
	p.quarantine = p.quarantine.WithWorkers(len(own), config.Policy.QuarantineShare)
	packing := p.pack(packInput{config, workers, gone}, members, settled)
	return &inventory{
		fleet:   placement.NewFleet(own, packing.Owned(), config.Teams),
		packing: packing,
		teams:   config.Teams,
		stable:  settled,
	}
}

// packInput is what a packing depends on, apart from the one before.
type packInput struct {
	config  *shop.Config
	workers shop.WorkerList
	down    map[string]bool
}

func (i packInput) equal(o packInput) bool {
	return i.config == o.config && slices.Equal(i.workers, o.workers) && maps.Equal(i.down, o.down)
}

// pack packs the guarantees, unless that was done for the same input and moved
// nothing.
func (p *planner) pack(in packInput, members roster.MemberList, settled bool) guarantee.Packing {
	if p.hasPacking && in.equal(p.packedInput) {
		return p.packing
	}
	previous := p.packing
	if !p.hasPacking {
		previous = guarantee.Recover(in.config.Teams, in.workers, reportedOwned(members))
	}
	packing := guarantee.Pack(in.config.Teams, in.workers, func(w string) bool { return in.down[w] }, previous)
	if !settled {
		return packing
	}
	p.packedInput = packInput{}
	if packing.Moved(previous) == 0 && previous.Moved(packing) == 0 {
		p.packedInput = in
	}
	p.packing, p.hasPacking = packing, true
	return packing
}

// startingJobs returns the jobs of which a start is in progress or not yet reported.
func (p *planner) startingJobs() []*progress {
	var out []*progress
	for _, j := range p.jobs {
		if j.starting != nil {
			out = append(out, j)
		}
	}
	return out
}

// placementWorker returns a worker with what is free on it.
func (p *planner) placementWorker(m *roster.Member, w shop.Worker, starting []*progress, now time.Time) placement.Worker {
	out := placement.IdleWorker(w)
	for _, t := range m.State.Tasks {
		if !occupies(t) {
			continue
		}
		out.Free &^= shop.Mask(t.Accelerators)
		out.FreeCores -= int(t.Tasks * t.Job.GetShape().GetCores())
		out.FreeMemory -= shop.Bytes(uint64(t.Tasks) * t.Job.GetShape().GetMemoryBytes())
	}
	for _, j := range starting {
		p.subtractStarting(j, m, &out)
	}
	switch {
	case m.Health != roster.Alive, p.connectFailedAt[m.State.Name].After(m.LastHeard()):
		out.Flags |= placement.Down
	case m.State.Leaving:
		out.Flags |= placement.Leaving
	}
	if p.quarantine.State(now, w.Place.Worker) != quarantine.Healthy {
		out.Flags |= placement.Quarantined
		if p.quarantine.MayProbe(now, w.Place.Worker) {
			out.Flags |= placement.Probe
		}
	}
	return out
}

// subtractStarting takes the room of a start that the agent has not reported yet.
func (p *planner) subtractStarting(j *progress, m *roster.Member, w *placement.Worker) {
	for _, t := range m.State.Tasks {
		if t.Attempt.GetJob() == j.starting.ID && occupies(t) {
			return
		}
	}
	for _, part := range j.starting.Parts {
		if part.Worker != m.State.Name {
			continue
		}
		w.Free &^= part.Accelerators
		w.FreeCores -= part.Tasks * j.starting.Shape.Cores
		w.FreeMemory -= shop.Bytes(part.Tasks) * j.starting.Shape.Memory
	}
}

// checkFeasible says whether a job could ever run, waiting until the inventory is
// known if it looks as if not.
func (p *planner) checkFeasible(ctx context.Context, j shop.Job) error {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	var err error
	p.endedJobs.wait(ctx, func() bool {
		inv := p.inventory.Load()
		if inv == nil {
			err = fmt.Errorf("planner.mayEver: workers are not known yet: %w", shop.ErrUnavailable)
			return false
		}
		if team, ok := inv.teams.Find(j.Team); ok && team.Quota > 0 && j.Shape.TotalAccelerators() > team.Quota {
			err = fmt.Errorf("planner.mayEver: %s is above the quota of %d accelerators: %w", j.Shape, team.Quota, queue.ErrOverQuota)
			return true
		}
		if inv.fleet.FitsWhenEmpty(j.Shape, j.Region) {
			err = nil
			return true
		}
		err = fmt.Errorf("planner.mayEver: %s fits no worker or group of workers: %w", j.Shape, shop.ErrNeverFits)
		return inv.stable
	})
	return err
}

// occupies says whether a task holds accelerators, cores and memory.
func occupies(t interface{ GetState() string }) bool {
	return !gang.TaskState(t.GetState()).Final()
}

func workerOf(m *roster.Member) shop.Worker {
	s := m.State
	return shop.Worker{
		Place: shop.Place{
			Region: s.Place.GetRegion(), Zone: s.Place.GetZone(), Rack: s.Place.GetRack(), Worker: s.Place.GetWorker(),
		},
		Accelerators: int(s.Accelerators),
		Cores:        int(s.Cores),
		Memory:       shop.Bytes(s.MemoryBytes),
	}
}

// isQueued says whether a job waits for its start.
func (p *planner) isQueued(job string) bool {
	status, err := p.status(job)
	return err == nil && status.State == shop.Queued
}

// isQuarantined says whether this planner keeps work away from a worker that fails
// what it starts.
func (p *planner) isQuarantined(worker string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.State(p.Now(), worker) == quarantine.Quarantined
}
