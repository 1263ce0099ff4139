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

// Times and other constants of planning.
const (
	// planInterval is the time between two plans while nothing calls for a plan earlier.
	planInterval = time.Second
	// minPlanDelay is the minimum time between two plans, so that a burst of changes
	// causes a single plan.
	minPlanDelay = 20 * time.Millisecond
	// planDelayFactor is the ratio of the wait after a plan to the duration of the plan. It
	// limits planning to a small share of a core however large the deployment is.
	planDelayFactor = 40
	// maxPlanDelay limits that wait, so that urgent work starts in time on a slow machine, too.
	maxPlanDelay = 300 * time.Millisecond
	// rosterStableDelay is how long no new agent must have appeared for the inventory to
	// count as complete.
	rosterStableDelay = 5 * time.Second
	// inventoryTimeout is how long a call waits for the inventory to be complete.
	inventoryTimeout = 10 * time.Second
	// repackDelay is how long a worker must have been down before its guarantees move to
	// other workers.
	repackDelay = time.Minute
	// runTimeQuantile is the quantile of estimated run times that plans are based on.
	runTimeQuantile = 0.7
)

// planner decides which attempts to start and stop. Only the region's planner makes and
// executes plans; the other entries keep their inventory up to date to be able to take over.
type planner struct {
	*Entry

	runs      runs
	wakeup    chan struct{}
	inventory atomic.Pointer[inventory]

	// queue is used by the plan loop only.
	queue queue.Planner

	mu           sync.Mutex
	jobs         map[string]*progress
	estimates    estimate.Estimates
	quarantine   quarantine.Quarantine
	reservations queue.ReservationList
	packing      guarantee.Packing
	hasPacking   bool
	// packedInput is the input of packing, or empty if guarantees have to be packed again.
	packedInput   packInput
	pushingOwners map[string]bool
	// firstSeen is when each agent was first seen, and lastJoined when the newest was.
	firstSeen  map[string]time.Time
	lastJoined time.Time
	// unrecorded holds the jobs, by ID, that this entry started while the log was unavailable.
	unrecorded map[string]unrecordedJob
	// connectFailedAt is when opening a connection to an agent last failed.
	connectFailedAt map[string]time.Time
}

// inventory is the hardware as of the latest plan.
type inventory struct {
	fleet   *placement.Fleet
	packing guarantee.Packing
	teams   shop.TeamList
	// stable is set if no agent has joined for rosterStableDelay.
	stable bool
}

// progress is the state that this planner keeps of one job.
type progress struct {
	// attempt is the highest attempt that this planner has started.
	attempt int
	// recordedAttempt is the highest attempt in the log that the fields here account for.
	recordedAttempt int
	// endedAttempt is the highest attempt that is over, so that the job may be queued again.
	endedAttempt int
	// stoppedAttempt is the highest attempt that was ended at its agents. It may have run.
	stoppedAttempt int
	// missingSince is when the highest attempt was first found missing in agents' reports.
	missingSince time.Time
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
	// starting is set from the beginning of a start until it fails or agents report it.
	starting *queue.Running
	// started is set if that start has succeeded.
	started bool
	// preemptingAttempt is the attempt whose preemption was requested.
	preemptingAttempt int
	// countedAttempt is the last attempt whose failure or preemption was counted.
	countedAttempt int
	// neverRanAttempt is the highest attempt such that neither it nor any earlier one ran.
	neverRanAttempt int
	preemptions     int
	// preemptedAt is when the job was last preempted.
	preemptedAt time.Time
	checkpoint  []byte
	// stepRunning is set while a step of ending or recording the job runs.
	stepRunning bool
	// nextStep is the earliest time of the next such step.
	nextStep time.Time
	// stepDelay is the delay before the next such step. It grows with every failed step.
	stepDelay time.Duration
	// refusals counts refused starts in a row, which lengthen the delay before the next.
	refusals int
}

func (p *planner) setUp(e *Entry) {
	p.Entry = e
	p.wakeup = make(chan struct{}, 1)
	p.queue.Policy = queue.Default
	p.jobs = make(map[string]*progress)
	p.pushingOwners = make(map[string]bool)
	p.firstSeen = make(map[string]time.Time)
	p.connectFailedAt = make(map[string]time.Time)
	p.unrecorded = make(map[string]unrecordedJob)
}

// wake makes the plan loop plan soon, and wakes the goroutines that wait for a job.
func (p *planner) wake() {
	select {
	case p.wakeup <- struct{}{}:
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
		start := time.Now()
		p.plan(ctx)
		delay := time.NewTimer(planDelay(time.Since(start)))
		select {
		case <-ctx.Done():
			delay.Stop()
			return nil
		case <-delay.C:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-p.wakeup:
		case <-ticker.C:
		}
	}
}

// planDelay returns how long to wait after a plan with the given duration.
func planDelay(took time.Duration) time.Duration {
	return min(maxPlanDelay, max(minPlanDelay, planDelayFactor*took))
}

// plan updates the inventory and, on the region's planner, decides what to start and stop.
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

// updateInventory applies the agents' reports, and returns the inventory, or nil if there is
// no configuration yet.
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

// isRegionPlanner reports whether this entry plans for its region.
func (p *planner) isRegionPlanner() bool {
	chosen := p.roster.View().Planner(p.Place.Region)
	return !p.leaving.Load() && chosen.GetName() == p.Name
}

// updateAgents applies the agents' reports.
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
	var regionWorkers placement.WorkerList
	down := make(map[string]bool)
	starting := p.startingJobs()
	for _, m := range members {
		w := workerOf(m)
		workers = append(workers, w)
		evacuated := config.Evacuates(w.Place)
		if m.Health == roster.Dead && now.Sub(m.LastHeard()) > repackDelay || evacuated {
			down[w.Place.Worker] = true
		}
		if w.Place.Region == p.Place.Region {
			regionWorkers = append(regionWorkers, p.placementWorker(m, w, evacuated, starting, now))
		}
	}
	stable := len(members) > 0 && now.Sub(p.lastJoined) > rosterStableDelay
	p.quarantine = p.quarantine.WithWorkers(len(regionWorkers), config.Policy.QuarantineShare)
	packing := p.pack(packInput{config, workers, down}, members, stable)
	return &inventory{
		fleet:   placement.NewFleet(regionWorkers, packing.Owned(), config.Teams),
		packing: packing,
		teams:   config.Teams,
		stable:  stable,
	}
}

// packInput is the input of a packing, besides the previous packing.
type packInput struct {
	config  *shop.Config
	workers shop.WorkerList
	down    map[string]bool
}

func (i packInput) equal(o packInput) bool {
	return i.config == o.config && slices.Equal(i.workers, o.workers) && maps.Equal(i.down, o.down)
}

// pack assigns the guarantees to workers. It returns the current packing if the input is
// the same and the last packing moved nothing.
func (p *planner) pack(in packInput, members roster.MemberList, stable bool) guarantee.Packing {
	if p.hasPacking && in.equal(p.packedInput) {
		return p.packing
	}
	previous := p.packing
	if !p.hasPacking {
		previous = guarantee.Recover(in.config.Teams, in.workers, reportedOwned(members))
	}
	packing := guarantee.Pack(in.config.Teams, in.workers, func(w string) bool { return in.down[w] }, previous)
	if !stable {
		return packing
	}
	p.packedInput = packInput{}
	if packing.Moved(previous) == 0 && previous.Moved(packing) == 0 {
		p.packedInput = in
	}
	p.packing, p.hasPacking = packing, true
	return packing
}

// startingJobs returns the progress of jobs with a start in progress or not yet reported.
func (p *planner) startingJobs() []*progress {
	var out []*progress
	for _, j := range p.jobs {
		if j.starting != nil {
			out = append(out, j)
		}
	}
	return out
}

// placementWorker returns a worker with its free resources and its flags for placement.
func (p *planner) placementWorker(m *roster.Member, w shop.Worker, evacuated bool, starting []*progress, now time.Time) placement.Worker {
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
	case m.State.Leaving, evacuated:
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

// subtractStarting subtracts the resources of a start that the agent has not reported yet.
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

// checkFeasible returns an error if a job can never run. Before it concludes this for lack
// of workers, it waits for the inventory to be complete, at most inventoryTimeout.
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

// occupies reports whether a task uses accelerators, cores and memory.
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

// isQueued reports whether a job waits for its start.
func (p *planner) isQueued(job string) bool {
	status, err := p.status(job)
	return err == nil && status.State == shop.Queued
}

// isQuarantined reports whether this planner places no work on a worker because tasks
// fail there.
func (p *planner) isQuarantined(worker string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.State(p.Now(), worker) == quarantine.Quarantined
}
