package queue

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// event is a scheduled event of a simulation.
type event struct {
	at    time.Time
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].order, h[j].order)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulatedJob is a job with its actual run time, which the planner doesn't know, and
// its history.
type simulatedJob struct {
	Job
	remaining   time.Duration // Actual run time that is left.
	parts       placement.PartList
	started     time.Time
	waited      time.Duration // Until the first start.
	lost        time.Duration
	everStarted bool
	running     bool
	done        bool
	ended       time.Time
	// entitledSince is the time from which the waiting job was entitled to an unused
	// guarantee of its team, or zero.
	entitledSince time.Time
	reclaimWait   time.Duration
	cancelled     bool
}

// simulation is a simulated fleet on a virtual clock that carries out the plans.
type simulation struct {
	now          time.Time
	cfg          shop.Config
	workers      placement.WorkerList
	owned        shop.OwnedList
	planner      *Planner
	plan         func(*Planner, View) Plan
	rng          *rand.Rand
	events       eventHeap
	lastOrder    int
	jobs         map[string]*simulatedJob
	queued       []*simulatedJob
	running      []*simulatedJob
	reservations ReservationList
	finished     []*simulatedJob
	refused      []Refusal
	moved        int
	// afterPlan is called after each plan has been carried out.
	afterPlan func(View, Plan)
	err       error
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(cfg shop.Config, workers shop.WorkerList, owned shop.OwnedList, policy Policy, seed uint64) *simulation {
	sim := &simulation{
		now:       epoch,
		cfg:       cfg.WithDefaults(),
		owned:     owned,
		planner:   &Planner{Policy: policy},
		plan:      (*Planner).Next,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		jobs:      make(map[string]*simulatedJob),
		afterPlan: func(View, Plan) {},
	}
	for _, worker := range workers {
		sim.workers = append(sim.workers, placement.IdleWorker(worker))
	}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.lastOrder++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.lastOrder, do})
}

// submit queues a job whose actual run time may differ from the declared one.
func (sim *simulation) submit(j shop.Job, runTime time.Duration) {
	j.Submitted = sim.now
	job := &simulatedJob{Job: Job{Job: j, Estimate: j.RunTime, Attempt: 1}, remaining: runTime}
	sim.jobs[j.ID] = job
	sim.queued = append(sim.queued, job)
}

// markEntitled updates entitledSince of the waiting jobs.
func (sim *simulation) markEntitled() {
	for _, job := range sim.queued {
		switch {
		case !sim.guaranteeUnused(job.Job.Job):
			job.entitledSince = time.Time{}
		case job.entitledSince.IsZero():
			job.entitledSince = sim.now
		}
	}
}

// guaranteeUnused reports whether the team of a job has a guarantee of the job's shape
// and owns enough accelerators for it that no job of its own uses.
func (sim *simulation) guaranteeUnused(j shop.Job) bool {
	team, _ := sim.cfg.Teams.Find(j.Team)
	same := func(g shop.Guarantee) bool { return g.Shape == j.Shape }
	if !slices.ContainsFunc(team.Guarantees, same) {
		return false
	}
	tasks := 0
	for _, o := range sim.owned {
		if o.Team != j.Team || sim.workers[sim.workerIndex(o.Worker)].Flags != 0 {
			continue
		}
		left := o.Accelerators
		for _, job := range sim.running {
			if job.Team != j.Team {
				continue
			}
			for _, p := range job.parts {
				if p.Worker == o.Worker {
					left &^= p.Accelerators
				}
			}
		}
		tasks += left.Len() / j.Shape.Accelerators
	}
	return tasks >= j.Shape.Tasks
}

func (sim *simulation) workerIndex(name string) int {
	return slices.IndexFunc(sim.workers, func(worker placement.Worker) bool { return worker.Place.Worker == name })
}

func (sim *simulation) dequeue(id string) {
	sim.queued = slices.DeleteFunc(sim.queued, func(job *simulatedJob) bool { return job.ID == id })
}

// maxPlans limits the plans of a run, to detect jobs that are started and evicted in an
// endless loop.
const maxPlans = 200_000

// run processes the events until the end, with one plan for all events of the same time.
func (sim *simulation) run(end time.Duration) {
	limit := epoch.Add(end)
	for plans := 0; len(sim.events) > 0 && sim.err == nil && !sim.events[0].at.After(limit); plans++ {
		if plans == maxPlans {
			sim.err = fmt.Errorf("%s: still not finished after %d plans", sim.now, plans)
			return
		}
		sim.now = sim.events[0].at
		for len(sim.events) > 0 && sim.events[0].at.Equal(sim.now) {
			heap.Pop(&sim.events).(event).do()
		}
		sim.step()
	}
}

func (sim *simulation) view() View {
	v := View{
		Now:          sim.now,
		Config:       &sim.cfg,
		Fleet:        placement.NewFleet(sim.workers, sim.owned, sim.cfg.Teams),
		Reservations: sim.reservations,
	}
	for _, job := range sim.queued {
		v.Queued = append(v.Queued, job.Job)
	}
	for _, job := range sim.running {
		v.Running = append(v.Running, Running{
			Job:         job.Job.Job,
			Attempt:     job.Attempt,
			Parts:       job.parts,
			Started:     job.started,
			ExpectedEnd: job.started.Add(job.Estimate),
			Preemptions: job.Preemptions,
		})
	}
	return v
}

func (sim *simulation) step() {
	sim.markEntitled()
	v := sim.view()
	plan := sim.plan(sim.planner, v)
	for _, r := range plan.Refusals {
		sim.refused = append(sim.refused, r)
		sim.dequeue(r.Job)
	}
	for _, p := range plan.Preempts {
		sim.requeue(sim.jobs[p.Job], sim.rng.IntN(4) > 0)
	}
	for _, s := range plan.Starts {
		sim.start(s)
	}
	for _, m := range plan.Moves {
		sim.requeue(sim.jobs[m.Job], true)
		sim.jobs[m.Job].Preemptions--
	}
	for _, m := range plan.Moves {
		sim.start(Start{Attempt: shop.Attempt{Job: m.Job, Number: sim.jobs[m.Job].Attempt}, Parts: m.To})
	}
	if len(plan.Preempts)+len(plan.Moves) > 0 {
		sim.after(time.Second, func() {})
	}
	sim.moved += len(plan.Moves)
	sim.reservations = plan.Reservations
	sim.markEntitled()
	sim.afterPlan(v, plan)
}

func (sim *simulation) start(s Start) {
	job := sim.jobs[s.Job]
	sim.dequeue(s.Job)
	job.parts = s.Parts
	job.started = sim.now
	if len(s.Evict) > 0 {
		job.started = sim.now.Add(time.Second)
	}
	if !job.everStarted {
		job.waited = job.started.Sub(job.Submitted)
	}
	if !job.entitledSince.IsZero() {
		job.reclaimWait = max(job.reclaimWait, job.started.Sub(job.entitledSince))
		job.entitledSince = time.Time{}
	}
	job.everStarted = true
	job.running = true
	sim.allocate(job, 1)
	i, _ := slices.BinarySearchFunc(sim.running, job, func(a, b *simulatedJob) int { return cmp.Compare(a.ID, b.ID) })
	sim.running = slices.Insert(sim.running, i, job)
	attempt := job.Attempt
	sim.after(job.started.Sub(sim.now)+job.remaining, func() {
		if job.running && job.Attempt == attempt {
			sim.release(job)
			job.done = true
			job.ended = sim.now
			sim.finished = append(sim.finished, job)
		}
	})
}

// release frees the resources of a running job.
func (sim *simulation) release(job *simulatedJob) {
	sim.allocate(job, -1)
	job.running = false
	sim.running = slices.DeleteFunc(sim.running, func(r *simulatedJob) bool { return r == job })
}

// requeue stops a running job and queues it again, with its progress if it took a
// checkpoint.
func (sim *simulation) requeue(job *simulatedJob, checkpoint bool) {
	sim.release(job)
	done := max(0, sim.now.Sub(job.started))
	if checkpoint {
		job.remaining = max(time.Second, job.remaining-done)
		job.Estimate = max(time.Second, job.Estimate-done)
	} else {
		job.lost += done * time.Duration(max(1, job.Shape.TotalAccelerators()))
	}
	job.Attempt++
	job.Preemptions++
	job.QueuedSince = sim.now
	sim.queued = append(sim.queued, job)
}

// allocate takes the resources of a job if sign is 1 and frees them if it is -1. It sets
// sim.err if they don't match the shape or are not free.
func (sim *simulation) allocate(job *simulatedJob, sign int) {
	tasks := 0
	for _, p := range job.parts {
		worker := &sim.workers[sim.workerIndex(p.Worker)]
		tasks += p.Tasks
		if sign > 0 && (worker.Free&p.Accelerators != p.Accelerators || p.Accelerators.Len() != p.Tasks*job.Shape.Accelerators) {
			sim.err = fmt.Errorf("%s on %s: accelerators %b with %b free on the worker, for %d tasks", job.ID, p.Worker, p.Accelerators, worker.Free, p.Tasks)
		}
		worker.Free ^= p.Accelerators
		worker.FreeCores -= sign * p.Tasks * job.Shape.Cores
		worker.FreeMemory -= shop.Bytes(int64(sign) * int64(p.Tasks) * int64(job.Shape.Memory))
		if worker.FreeCores < 0 || int64(worker.FreeMemory) < 0 {
			sim.err = fmt.Errorf("%s on %s: %d cores and %d bytes left free", job.ID, p.Worker, worker.FreeCores, int64(worker.FreeMemory))
		}
	}
	if tasks != job.Shape.Tasks {
		sim.err = fmt.Errorf("%s: %d tasks placed, want %d", job.ID, tasks, job.Shape.Tasks)
	}
}

// failWorker takes a worker down for a while and queues the jobs on it again.
func (sim *simulation) failWorker(i int, d time.Duration) {
	sim.workers[i].Flags |= placement.Down
	name := sim.workers[i].Place.Worker
	for _, job := range slices.Clone(sim.running) {
		if slices.ContainsFunc(job.parts, func(p placement.Part) bool { return p.Worker == name }) {
			sim.requeue(job, false)
		}
	}
	sim.after(d, func() { sim.workers[i].Flags &^= placement.Down })
}
