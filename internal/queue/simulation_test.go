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

// event is something that happens to a world.
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

// simulatedJob is one job with what only the world knows: how long it really runs.
type simulatedJob struct {
	Job
	remaining   time.Duration // Left to run.
	parts       placement.PartList
	started     time.Time
	waited      time.Duration // Until the first start.
	lost        time.Duration
	everStarted bool
	running     bool
	done        bool
	ended       time.Time
	// entitledSince is since when the job could have had an unused guarantee.
	entitledSince time.Time
	reclaimWait   time.Duration
	cancelled     bool
}

// simulation is a fake fleet on a virtual clock that does what the plans say.
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
	// afterPlan is called after each plan is done.
	afterPlan func(View, Plan)
	err       error
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSimulation(cfg shop.Config, workers shop.WorkerList, owned shop.OwnedList, policy Policy, seed uint64) *simulation {
	w := &simulation{
		now:       epoch,
		cfg:       cfg.WithDefaults(),
		owned:     owned,
		planner:   &Planner{Policy: policy},
		plan:      (*Planner).Next,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		jobs:      make(map[string]*simulatedJob),
		afterPlan: func(View, Plan) {},
	}
	for _, x := range workers {
		w.workers = append(w.workers, placement.IdleWorker(x))
	}
	return w
}

func (w *simulation) after(d time.Duration, do func()) {
	w.lastOrder++
	heap.Push(&w.events, event{w.now.Add(d), w.lastOrder, do})
}

// submit queues a job that declares a run time and really takes another.
func (w *simulation) submit(j shop.Job, took time.Duration) {
	j.Submitted = w.now
	k := &simulatedJob{Job: Job{Job: j, Estimate: j.RunTime, Attempt: 1}, remaining: took}
	w.jobs[j.ID] = k
	w.queued = append(w.queued, k)
}

// markEntitled notes since when a waiting job could have had a guaranteed shape that
// its own team doesn't use.
func (w *simulation) markEntitled() {
	for _, k := range w.queued {
		switch {
		case !w.guaranteeUnused(k.Job.Job):
			k.entitledSince = time.Time{}
		case k.entitledSince.IsZero():
			k.entitledSince = w.now
		}
	}
}

// guaranteeUnused says whether the team of a job has the guaranteed shape of the job
// left on accelerators that it owns and that no work of its own stands on.
func (w *simulation) guaranteeUnused(j shop.Job) bool {
	team, _ := w.cfg.Teams.Find(j.Team)
	same := func(g shop.Guarantee) bool { return g.Shape == j.Shape }
	if !slices.ContainsFunc(team.Guarantees, same) {
		return false
	}
	tasks := 0
	for _, o := range w.owned {
		if o.Team != j.Team || w.workers[w.workerIndex(o.Worker)].Flags != 0 {
			continue
		}
		left := o.Accelerators
		for _, k := range w.running {
			if k.Team != j.Team {
				continue
			}
			for _, p := range k.parts {
				if p.Worker == o.Worker {
					left &^= p.Accelerators
				}
			}
		}
		tasks += left.Len() / j.Shape.Accelerators
	}
	return tasks >= j.Shape.Tasks
}

func (w *simulation) workerIndex(name string) int {
	return slices.IndexFunc(w.workers, func(x placement.Worker) bool { return x.Place.Worker == name })
}

func (w *simulation) dequeue(id string) {
	w.queued = slices.DeleteFunc(w.queued, func(k *simulatedJob) bool { return k.ID == id })
}

// maxPlans bounds the plans of a day: work that is started and evicted without end reaches it.
const maxPlans = 200_000

// run lets everything happen, one plan for all events of one moment.
func (w *simulation) run(end time.Duration) {
	limit := epoch.Add(end)
	for plans := 0; len(w.events) > 0 && w.err == nil && !w.events[0].at.After(limit); plans++ {
		if plans == maxPlans {
			w.err = fmt.Errorf("%s: %d plans and no end", w.now, plans)
			return
		}
		w.now = w.events[0].at
		for len(w.events) > 0 && w.events[0].at.Equal(w.now) {
			heap.Pop(&w.events).(event).do()
		}
		w.step()
	}
}

func (w *simulation) view() View {
	v := View{
		Now:          w.now,
		Config:       &w.cfg,
		Fleet:        placement.NewFleet(w.workers, w.owned, w.cfg.Teams),
		Reservations: w.reservations,
	}
	for _, k := range w.queued {
		v.Queued = append(v.Queued, k.Job)
	}
	for _, k := range w.running {
		v.Running = append(v.Running, Running{
			Job:         k.Job.Job,
			Attempt:     k.Attempt,
			Parts:       k.parts,
			Started:     k.started,
			ExpectedEnd: k.started.Add(k.Estimate),
			Preemptions: k.Preemptions,
		})
	}
	return v
}

func (w *simulation) step() {
	w.markEntitled()
	v := w.view()
	plan := w.plan(w.planner, v)
	for _, r := range plan.Refusals {
		w.refused = append(w.refused, r)
		w.dequeue(r.Job)
	}
	for _, p := range plan.Preempts {
		w.requeue(w.jobs[p.Job], w.rng.IntN(4) > 0)
	}
	for _, s := range plan.Starts {
		w.start(s)
	}
	for _, m := range plan.Moves {
		w.requeue(w.jobs[m.Job], true)
		w.jobs[m.Job].Preemptions--
	}
	for _, m := range plan.Moves {
		w.start(Start{Attempt: shop.Attempt{Job: m.Job, Number: w.jobs[m.Job].Attempt}, Parts: m.To})
	}
	if len(plan.Preempts)+len(plan.Moves) > 0 {
		w.after(time.Second, func() {})
	}
	w.moved += len(plan.Moves)
	w.reservations = plan.Reservations
	w.markEntitled()
	w.afterPlan(v, plan)
}

func (w *simulation) start(s Start) {
	k := w.jobs[s.Job]
	w.dequeue(s.Job)
	k.parts = s.Parts
	k.started = w.now
	if len(s.Evict) > 0 {
		k.started = w.now.Add(time.Second)
	}
	if !k.everStarted {
		k.waited = k.started.Sub(k.Submitted)
	}
	if !k.entitledSince.IsZero() {
		k.reclaimWait = max(k.reclaimWait, k.started.Sub(k.entitledSince))
		k.entitledSince = time.Time{}
	}
	k.everStarted = true
	k.running = true
	w.allocate(k, 1)
	i, _ := slices.BinarySearchFunc(w.running, k, func(a, b *simulatedJob) int { return cmp.Compare(a.ID, b.ID) })
	w.running = slices.Insert(w.running, i, k)
	attempt := k.Attempt
	w.after(k.started.Sub(w.now)+k.remaining, func() {
		if k.running && k.Attempt == attempt {
			w.release(k)
			k.done = true
			k.ended = w.now
			w.finished = append(w.finished, k)
		}
	})
}

// release frees what a job runs on.
func (w *simulation) release(k *simulatedJob) {
	w.allocate(k, -1)
	k.running = false
	w.running = slices.DeleteFunc(w.running, func(r *simulatedJob) bool { return r == k })
}

// requeue queues a running job again, with its progress when it could checkpoint.
func (w *simulation) requeue(k *simulatedJob, checkpoint bool) {
	w.release(k)
	done := max(0, w.now.Sub(k.started))
	if checkpoint {
		k.remaining = max(time.Second, k.remaining-done)
		k.Estimate = max(time.Second, k.Estimate-done)
	} else {
		k.lost += done * time.Duration(max(1, k.Shape.TotalAccelerators()))
	}
	k.Attempt++
	k.Preemptions++
	k.QueuedSince = w.now
	w.queued = append(w.queued, k)
}

func (w *simulation) allocate(k *simulatedJob, sign int) {
	tasks := 0
	for _, p := range k.parts {
		x := &w.workers[w.workerIndex(p.Worker)]
		tasks += p.Tasks
		if sign > 0 && (x.Free&p.Accelerators != p.Accelerators || p.Accelerators.Len() != p.Tasks*k.Shape.Accelerators) {
			w.err = fmt.Errorf("%s: %s: accelerators %b of free %b for %d tasks", k.ID, p.Worker, p.Accelerators, x.Free, p.Tasks)
		}
		x.Free ^= p.Accelerators
		x.FreeCores -= sign * p.Tasks * k.Shape.Cores
		x.FreeMemory -= shop.Bytes(int64(sign) * int64(p.Tasks) * int64(k.Shape.Memory))
		if x.FreeCores < 0 || int64(x.FreeMemory) < 0 {
			w.err = fmt.Errorf("%s: %s: %d cores, %d bytes free", k.ID, p.Worker, x.FreeCores, int64(x.FreeMemory))
		}
	}
	if tasks != k.Shape.Tasks {
		w.err = fmt.Errorf("%s: %d tasks of %d", k.ID, tasks, k.Shape.Tasks)
	}
}

// failWorker takes a worker down for a while; all that ran there is queued again.
func (w *simulation) failWorker(i int, d time.Duration) {
	w.workers[i].Flags |= placement.Down
	name := w.workers[i].Place.Worker
	for _, k := range slices.Clone(w.running) {
		if slices.ContainsFunc(k.parts, func(p placement.Part) bool { return p.Worker == name }) {
			w.requeue(k, false)
		}
	}
	w.after(d, func() { w.workers[i].Flags &^= placement.Down })
}
