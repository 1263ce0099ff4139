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
	// planEvery is the longest time between two plans.
	planEvery = time.Second
	// planGap is the least time between two plans, so that a burst costs one.
	planGap = 20 * time.Millisecond
	// planRest is how many times as long as a plan took the next one waits, so
	// that plans stay within a part of a core however large the deployment is.
	planRest = 40
	// maxPlanGap keeps urgent work within its bound, also on a slow machine.
	maxPlanGap = 300 * time.Millisecond
	// settleFor is how long no new agent may appear before the inventory counts as known.
	settleFor = 5 * time.Second
	// inventoryTimeout is how long a caller waits for the inventory to be known.
	inventoryTimeout = 10 * time.Second
	// repackAfter is how long a worker is down before its guarantees move.
	repackAfter = time.Minute
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

	mu           sync.Mutex
	jobs         map[string]*progress
	estimates    estimate.Estimates
	quarantine   quarantine.Quarantine
	reservations queue.ReservationList
	packing      guarantee.Packing
	packed       bool
	packedFor    packInput
	owning       map[string]bool
	// known is when each agent was first seen, and grown when the newest was.
	known map[string]time.Time
	grown time.Time
	// attached is what this entry started while the log was away, by job.
	attached map[string]attachedJob
	// unreached is when no connection to an agent could be opened last.
	unreached map[string]time.Time
}

// inventory is the hardware as the newest plan saw it.
type inventory struct {
	fleet   *placement.Fleet
	packing guarantee.Packing
	teams   shop.TeamList
	settled bool
}

// progress is what this planner remembers of one job.
type progress struct {
	// attempt is the highest that this planner has used.
	attempt int
	// over is the highest attempt after which the job may be queued again.
	over int
	// settled is the highest attempt that its agents have ended; it may have run.
	settled int
	// lost is when the highest attempt was first missed.
	lost time.Time
	// notBefore is when the next attempt makes sense.
	notBefore time.Time
	// starting is set while a start is in progress, or until agents show it.
	starting *queue.Running
	begun    bool
	// stopping is the attempt that was told to give way.
	stopping int
	// counted is the last failed attempt that was counted.
	counted int
	// neverRan is the last attempt that never ran, nor any before it.
	neverRan    int
	preemptions int
	// gaveWay is when the job was last preempted.
	gaveWay    time.Time
	checkpoint []byte
	ending     bool
	// endAfter is when the next step of ending the job may begin.
	endAfter time.Time
	// endPause grows with every step that failed.
	endPause time.Duration
	// refusals in a row lengthen the wait before the next attempt.
	refusals int
}

func (p *planner) setUp(e *Entry) {
	p.Entry = e
	p.woken = make(chan struct{}, 1)
	p.queue.Policy = queue.Default
	p.jobs = make(map[string]*progress)
	p.owning = make(map[string]bool)
	p.known = make(map[string]time.Time)
	p.unreached = make(map[string]time.Time)
	p.attached = make(map[string]attachedJob)
}

// wake makes the loop plan soon.
func (p *planner) wake() {
	select {
	case p.woken <- struct{}{}:
	default:
	}
	p.book.wake()
}

func (e *Entry) runOf(id string) (run, bool) { return e.planner.runs.find(id) }

var planTime = metrics.NewHistogram("sniperill_plan_duration_seconds")

func (e *Entry) planLoop(ctx context.Context) error {
	p := &e.planner
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		began := time.Now()
		p.plan(ctx)
		gap := time.NewTimer(gapAfter(time.Since(began)))
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

// gapAfter is how long to wait after a plan that took so long.
func gapAfter(took time.Duration) time.Duration {
	return min(maxPlanGap, max(planGap, planRest*took))
}

// plan brings the inventory up to date and, on the region's planner, decides
// what starts and what stops.
func (p *planner) plan(ctx context.Context) {
	now, config := p.Now(), p.Config()
	members := p.roster.View().Agents
	inv := p.look(members, config, now)
	p.tickets.sweep(p.queued)
	p.book.wake()
	p.enterAttached(ctx)
	if inv == nil || !p.leads() {
		return
	}
	p.pushOwners(ctx, members, inv)
	view := p.view(ctx, config, inv, now)
	start := time.Now()
	plan := p.queue.Next(view)
	planTime.UpdateDuration(start)
	p.carryOut(ctx, view, plan, inv)
}

// look takes what the agents report, and the inventory under the configuration.
func (p *planner) look(members roster.MemberList, config *shop.Config, now time.Time) *inventory {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow(members, now)
	if config == nil {
		return nil
	}
	inv := p.takeInventory(config, members, now)
	p.inventory.Store(inv)
	return inv
}

// leads says whether this entry plans for its region.
func (p *planner) leads() bool {
	chosen := p.roster.View().Planner(p.Place.Region)
	return !p.leaving.Load() && chosen.GetName() == p.Name
}

// follow takes what the agents report.
func (p *planner) follow(members roster.MemberList, now time.Time) {
	for _, m := range members {
		if m.Health == roster.Dead {
			p.runs.remove(m.State.Name)
			continue
		}
		p.runs.update(m.State)
		if _, ok := p.known[m.State.Name]; !ok {
			p.known[m.State.Name] = now
			p.grown = now
		}
	}
}

// takeInventory builds the fleet of the region and the packing of guarantees.
func (p *planner) takeInventory(config *shop.Config, members roster.MemberList, now time.Time) *inventory {
	var workers shop.WorkerList
	var own placement.WorkerList
	gone := make(map[string]bool)
	starting := p.starting()
	for _, m := range members {
		w := workerOf(m)
		workers = append(workers, w)
		if m.Health == roster.Dead && now.Sub(m.Heard()) > repackAfter {
			gone[w.Place.Worker] = true
		}
		if w.Place.Region == p.Place.Region {
			own = append(own, p.placed(m, w, starting, now))
		}
	}
	settled := len(members) > 0 && now.Sub(p.grown) > settleFor
	p.quarantine = p.quarantine.WithWorkers(len(own), config.Policy.QuarantineShare)
	packing := p.pack(packInput{config, workers, gone}, members, settled)
	return &inventory{
		fleet:   placement.NewFleet(own, packing.Owned(), config.Teams),
		packing: packing,
		teams:   config.Teams,
		settled: settled,
	}
}

// packInput is what a packing depends on, apart from the one before.
type packInput struct {
	config  *shop.Config
	workers shop.WorkerList
	gone    map[string]bool
}

func (i packInput) equal(o packInput) bool {
	return i.config == o.config && slices.Equal(i.workers, o.workers) && maps.Equal(i.gone, o.gone)
}

// pack packs the guarantees, unless that was done for the same input and moved
// nothing.
func (p *planner) pack(in packInput, members roster.MemberList, settled bool) guarantee.Packing {
	if p.packed && in.equal(p.packedFor) {
		return p.packing
	}
	previous := p.packing
	if !p.packed {
		previous = guarantee.Recover(in.config.Teams, in.workers, ownedBy(members))
	}
	packing := guarantee.Pack(in.config.Teams, in.workers, func(w string) bool { return in.gone[w] }, previous)
	if !settled {
		return packing
	}
	p.packedFor = packInput{}
	if packing.Moved(previous) == 0 && previous.Moved(packing) == 0 {
		p.packedFor = in
	}
	p.packing, p.packed = packing, true
	return packing
}

// starting returns the jobs of which a start is in progress or not yet reported.
func (p *planner) starting() []*progress {
	var out []*progress
	for _, j := range p.jobs {
		if j.starting != nil {
			out = append(out, j)
		}
	}
	return out
}

// placed returns a worker with what is free on it.
func (p *planner) placed(m *roster.Member, w shop.Worker, starting []*progress, now time.Time) placement.Worker {
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
		p.takeStarting(j, m, &out)
	}
	switch {
	case m.Health != roster.Alive, p.unreached[m.State.Name].After(m.Heard()):
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

// takeStarting takes the room of a start that the agent has not reported yet.
func (p *planner) takeStarting(j *progress, m *roster.Member, w *placement.Worker) {
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

// mayEver says whether a job could ever run, waiting until the inventory is
// known if it looks as if not.
func (p *planner) mayEver(ctx context.Context, j shop.Job) error {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	var err error
	p.book.wait(ctx, func() bool {
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
		return inv.settled
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

// queued says whether a job waits for its start.
func (p *planner) queued(job string) bool {
	status, err := p.status(job)
	return err == nil && status.State == shop.Queued
}

// distrusts says whether this planner keeps work away from a worker that fails
// what it starts.
func (p *planner) distrusts(worker string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quarantine.State(p.Now(), worker) == quarantine.Quarantined
}
