package queue

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// jobKind describes jobs of one team and class that arrive at random.
type jobKind struct {
	team, class string
	shapes      []shop.Shape
	perHour     float64 // Mean arrivals.
	shortest    time.Duration
	longest     time.Duration
	// small and large select the kinds that arrive in bursts in scenarios with bursts
	// of small or large jobs.
	small, large bool
}

// workload is a deployment together with the jobs that arrive there.
type workload struct {
	name    string
	cfg     shop.Config
	workers shop.WorkerList
	owned   shop.OwnedList
	kinds   []jobKind
	hours   float64
	// timeStep, if set, is the step to which the events of non-urgent jobs are rounded,
	// so that one plan covers many events.
	timeStep time.Duration
	// initialTasks is the number of single-task jobs submitted at the start.
	initialTasks int
}

// scenario describes the bursts, wrong estimates, cancellations and failures of a run.
type scenario struct {
	name                 string
	smallBursts          bool
	largeBursts          bool
	estimateSpread       float64 // Standard deviation of ln(declared/actual run time).
	cancelWaves          bool
	failuresPerWorkerDay float64
	thirdDownOneHour     bool
}

var scenarios = []scenario{
	{name: "small-bursts", smallBursts: true, estimateSpread: 0.2},
	{name: "large-bursts", largeBursts: true, estimateSpread: 0.2},
	{name: "wrong-estimates", estimateSpread: 1.2},
	{name: "cancellations", largeBursts: true, estimateSpread: 0.2, cancelWaves: true},
	{name: "failing-workers", estimateSpread: 0.2, failuresPerWorkerDay: 4},
	{name: "third-away", estimateSpread: 0.2, thirdDownOneHour: true},
}

func gangShape(tasks, accelerators, cores int, a shop.Adjacency) shop.Shape {
	return shop.Shape{Tasks: tasks, Accelerators: accelerators, Cores: cores, Memory: shop.Bytes(4*max(1, accelerators)) * shop.GiB, Adjacency: a}
}

// elevenWorkers returns 11 workers with 8 accelerators each, three to a rack.
func elevenWorkers(zones, cores int, memory shop.Bytes) shop.WorkerList {
	var l shop.WorkerList
	for i := range 11 {
		rack := i / 3
		l = append(l, shop.Worker{
			Place: shop.Place{
				Region: "r",
				Zone:   fmt.Sprintf("z%d", rack%zones),
				Rack:   fmt.Sprintf("rack%d", rack),
				Worker: fmt.Sprintf("w%02d", i),
			},
			Accelerators: 8,
			Cores:        cores,
			Memory:       memory,
		})
	}
	return l
}

// kapurCeria is a workload of large preemptible jobs with 8 to 24 accelerators, among
// small jobs of minutes and urgent jobs of seconds.
func kapurCeria() workload {
	w := workload{name: "kapur-ceria", workers: elevenWorkers(3, 128, 256*shop.GiB), hours: 12}
	w.cfg = shop.Config{
		Teams: shop.TeamList{
			{Name: "mockups", Guarantees: []shop.Guarantee{{Shape: gangShape(2, 8, 16, shop.SameRack)}}},
			{Name: "orders", Guarantees: []shop.Guarantee{{Shape: gangShape(1, 8, 16, shop.SameWorker)}}},
			{Name: "quotes", Guarantees: []shop.Guarantee{{Shape: gangShape(1, 4, 8, shop.SameWorker), Count: 2}}},
			{Name: "routes", Guarantees: []shop.Guarantee{{Shape: gangShape(1, 4, 8, shop.SameWorker)}}},
		},
		Classes: shop.ClassList{
			{Name: "mockup", Idempotent: true, Preemptible: true},
			{Name: "proof", Idempotent: true, Preemptible: true},
			{Name: "quote", Idempotent: true, Urgent: true},
			{Name: "route", Idempotent: true},
		},
		Policy: shop.Policy{CompletionWeight: 2, FragmentationWeight: 1},
	}
	mockups := []shop.Shape{gangShape(1, 8, 16, shop.SameWorker), gangShape(2, 4, 8, shop.SameRack), gangShape(2, 8, 16, shop.SameRack), gangShape(6, 4, 8, shop.SameZone)}
	quotes := []shop.Shape{gangShape(1, 1, 2, shop.SameWorker), gangShape(1, 2, 4, shop.SameWorker), gangShape(1, 4, 8, shop.SameWorker)}
	w.kinds = []jobKind{
		{team: "mockups", class: "mockup", shapes: mockups, perHour: 1.3, shortest: time.Hour, longest: 3 * time.Hour, large: true},
		{team: "orders", class: "mockup", shapes: mockups[:2], perHour: 0.6, shortest: time.Hour, longest: 3 * time.Hour, large: true},
		{team: "orders", class: "proof", shapes: quotes[:2], perHour: 50, shortest: 5 * time.Minute, longest: 40 * time.Minute, small: true},
		{team: "quotes", class: "quote", shapes: quotes, perHour: 90, shortest: 10 * time.Second, longest: time.Minute},
		{team: "orders", class: "quote", shapes: quotes[:1], perHour: 20, shortest: 10 * time.Second, longest: time.Minute},
		{team: "routes", class: "route", shapes: quotes[:1], perHour: 40, shortest: 4 * time.Minute, longest: 12 * time.Minute, small: true},
	}
	return w
}

// kuusela is a workload of large jobs with 8 to 16 accelerators, among many small jobs
// of a few minutes and urgent jobs of seconds.
func kuusela() workload {
	w := workload{name: "kuusela", workers: elevenWorkers(4, 32, 128*shop.GiB), hours: 12}
	w.cfg = shop.Config{
		Teams: shop.TeamList{
			{Name: "cutting", Guarantees: []shop.Guarantee{{Shape: gangShape(4, 4, 8, shop.SameRack)}}},
			{Name: "fittings", Guarantees: []shop.Guarantee{{Shape: gangShape(1, 4, 8, shop.SameWorker)}}},
			{Name: "renders", Guarantees: []shop.Guarantee{{Shape: gangShape(2, 8, 16, shop.SameRack)}}},
			{Name: "repairs", Guarantees: []shop.Guarantee{{Shape: gangShape(1, 2, 4, shop.SameWorker), Count: 2}}},
		},
		Classes: shop.ClassList{
			{Name: "cutting-plan", Idempotent: true},
			{Name: "fitting", Idempotent: true, Preemptible: true},
			{Name: "render", Idempotent: true, Preemptible: true},
			{Name: "repair", Idempotent: true, Urgent: true},
		},
		Policy: shop.Policy{CompletionWeight: 1, FragmentationWeight: 2},
	}
	renders := []shop.Shape{gangShape(1, 8, 16, shop.SameWorker), gangShape(2, 8, 16, shop.SameRack), gangShape(3, 4, 8, shop.SameRack)}
	plans := []shop.Shape{gangShape(4, 2, 4, shop.SameRack), gangShape(4, 4, 8, shop.SameZone)}
	fittings := []shop.Shape{gangShape(1, 1, 2, shop.SameWorker), gangShape(1, 2, 4, shop.SameWorker)}
	w.kinds = []jobKind{
		{team: "renders", class: "render", shapes: renders, perHour: 1.6, shortest: time.Hour, longest: 3 * time.Hour, large: true},
		{team: "cutting", class: "cutting-plan", shapes: plans, perHour: 1.0, shortest: time.Hour, longest: 2 * time.Hour, large: true},
		{team: "fittings", class: "fitting", shapes: fittings, perHour: 240, shortest: time.Minute, longest: 5 * time.Minute, small: true},
		{team: "repairs", class: "fitting", shapes: fittings, perHour: 30, shortest: 5 * time.Minute, longest: 30 * time.Minute, small: true},
		{team: "repairs", class: "repair", shapes: fittings, perHour: 60, shortest: 10 * time.Second, longest: time.Minute},
		{team: "renders", class: "repair", shapes: fittings[:1], perHour: 10, shortest: 10 * time.Second, longest: time.Minute},
	}
	return w
}

// designHours limits the length of the runs of designWorkload, which take longest.
var designHours = flag.Float64("design-hours", 1, "hours of arrivals in the workload of the design size")

// designWorkload is a workload on designCluster.
func designWorkload() workload {
	w := workload{name: "design", hours: *designHours, timeStep: 20 * time.Second, initialTasks: 10000}
	w.cfg, w.workers, w.owned = designCluster(1)
	task := []shop.Shape{gangShape(1, 0, 1, shop.Anywhere), gangShape(1, 0, 4, shop.Anywhere)}
	ones := []shop.Shape{gangShape(1, 1, 2, shop.Anywhere), gangShape(1, 2, 4, shop.Anywhere)}
	gangs := []shop.Shape{gangShape(1, 8, 8, shop.SameWorker), gangShape(16, 1, 2, shop.SameZone), gangShape(64, 1, 2, shop.SameZone), gangShape(8, 4, 4, shop.SameZone)}
	for i, t := range w.cfg.Teams {
		class := []string{"batch", "firm"}[i%2]
		w.kinds = append(w.kinds,
			jobKind{team: t.Name, class: class, shapes: task, perHour: 75, shortest: 20 * time.Minute, longest: 100 * time.Minute},
			jobKind{team: t.Name, class: "batch", shapes: ones, perHour: 6, shortest: 5 * time.Minute, longest: 40 * time.Minute, small: true},
			jobKind{team: t.Name, class: "quote", shapes: ones[:1], perHour: 2, shortest: 10 * time.Second, longest: time.Minute},
		)
		if i%4 == 0 {
			w.kinds = append(w.kinds, jobKind{team: t.Name, class: class, shapes: gangs, perHour: 1.5, shortest: 20 * time.Minute, longest: time.Hour, large: true})
		}
	}
	return w
}

// scheduleArrivals schedules the arrivals and disturbances of a run. They depend on
// the seed only, so they are the same for every policy.
func (w workload) scheduleArrivals(sim *simulation, conditions scenario, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	number := 0
	for _, kind := range w.kinds {
		burst := 1
		switch {
		case conditions.smallBursts && kind.small:
			burst = max(2, int(kind.perHour/2))
		case conditions.largeBursts && kind.large:
			burst = 6
		}
		at := time.Duration(0)
		for {
			at += time.Duration(rng.ExpFloat64() * float64(burst) / kind.perHour * float64(time.Hour))
			if at > time.Duration(w.hours*float64(time.Hour)) {
				break
			}
			for range burst {
				number++
				w.scheduleArrival(sim, kind, at, conditions.estimateSpread, fmt.Sprintf("j%06d", number), rng)
			}
		}
	}
	w.scheduleDisturbances(sim, conditions, rng)
}

func (w workload) scheduleArrival(sim *simulation, kind jobKind, at time.Duration, spread float64, id string, rng *rand.Rand) {
	runTime := kind.shortest + time.Duration(rng.Float64()*float64(kind.longest-kind.shortest))
	declared := time.Duration(float64(runTime) * math.Exp(spread*rng.NormFloat64()))
	j := shop.Job{ID: id, Team: kind.team, Class: kind.class, Shape: kind.shapes[rng.IntN(len(kind.shapes))], RunTime: declared}
	if class, _ := w.cfg.Classes.Find(kind.class); !class.Urgent {
		at = w.roundTime(at)
		runTime = max(w.timeStep, w.roundTime(runTime))
	}
	sim.after(at, func() { sim.submit(j, runTime) })
}

func (w workload) roundTime(t time.Duration) time.Duration {
	if w.timeStep == 0 {
		return t
	}
	return t.Round(w.timeStep)
}

func (w workload) scheduleDisturbances(sim *simulation, conditions scenario, rng *rand.Rand) {
	hours := time.Duration(w.hours * float64(time.Hour))
	for at := hours / 6; conditions.cancelWaves && at < hours; at += hours / 6 {
		share := rng.Float64()
		sim.after(at, func() { sim.cancelShare(share) })
	}
	mean := float64(24*time.Hour) / conditions.failuresPerWorkerDay / float64(len(w.workers))
	for at := time.Duration(0); conditions.failuresPerWorkerDay > 0 && at < hours; at += time.Duration(rng.ExpFloat64() * mean) {
		i := rng.IntN(len(w.workers))
		sim.after(w.roundTime(at), func() { sim.failWorker(i, 20*time.Minute) })
	}
	for i := 0; conditions.thirdDownOneHour && i < len(w.workers); i += 3 {
		sim.after(hours/3, func() { sim.failWorker(i, min(time.Hour, hours/3)) })
	}
}

// cancelShare cancels a share of the waiting jobs, those queued last first.
func (sim *simulation) cancelShare(share float64) {
	keep := int(float64(len(sim.queued)) * (1 - share))
	for _, job := range sim.queued[keep:] {
		job.cancelled = true
	}
	sim.queued = sim.queued[:keep]
}
