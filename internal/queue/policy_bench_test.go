package queue

import (
	"flag"
	"fmt"
	"math"
	"runtime/metrics"
	"slices"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

type namedPolicy struct {
	name string
	Policy
}

// policySeed is the seed of the arrivals in BenchmarkPolicy.
var policySeed = flag.Uint64("policy-seed", 1, "seed of the arrivals that policies are compared on")

// policyWeights overrides the weights of the policy in all workloads.
var policyWeights = flag.String("policy-weights", "", "completion weight and fragmentation weight, such as 3:1")

// overrideWeights sets the weights given by -policy-weights.
func (w *workload) overrideWeights(b *testing.B) {
	if *policyWeights == "" {
		return
	}
	p := &w.cfg.Policy
	if _, err := fmt.Sscanf(*policyWeights, "%g:%g", &p.CompletionWeight, &p.FragmentationWeight); err != nil {
		b.Fatalf("-policy-weights %s: %v", *policyWeights, err)
	}
}

// policies are compared in one run: two common ones, and the steps from there to Default.
var policies = []namedPolicy{
	{"first-come", FirstCome},
	{"best-fit", BestFit},
	{"fair-share", Policy{FairShare: true, SkipBlocked: true}},
	{"reclaim", Policy{FairShare: true, SkipBlocked: true, Reclaim: true}},
	{"reserve", Policy{FairShare: true, SkipBlocked: true, Reclaim: true, Reserve: true}},
	{"drain", Policy{FairShare: true, SkipBlocked: true, Reclaim: true, Reserve: true, Drain: true}},
	{"ours", Default},
}

// BenchmarkPolicy compares policies under the same arrivals.
func BenchmarkPolicy(b *testing.B) {
	for _, w := range []workload{kapurCeria(), kuusela(), designWorkload()} {
		w.overrideWeights(b)
		if w.owned == nil {
			w.owned = assignGuarantees(w.cfg.WithDefaults(), w.workers)
		}
		for _, conditions := range scenarios {
			for _, p := range policies {
				b.Run(fmt.Sprintf("arrivals=%s/%s/policy=%s", w.name, conditions.name, p.name), func(b *testing.B) {
					for b.Loop() {
						benchPolicy(b, w, conditions, p.Policy)
					}
				})
			}
		}
	}
}

func benchPolicy(b *testing.B, w workload, conditions scenario, p Policy) {
	sim := newSimulation(w.cfg, w.workers, w.owned, p, *policySeed)
	var s sampler
	sim.plan = s.plan
	for i := range w.initialTasks {
		runTime := time.Duration(1+sim.rng.IntN(3600)) * time.Second
		shape := gangShape(1, 0, 1+i%4, shop.Anywhere)
		sim.after(0, func() {
			sim.submit(shop.Job{ID: fmt.Sprintf("s%06d", i), Team: w.cfg.Teams[i%len(w.cfg.Teams)].Name, Class: "batch", Shape: shape, RunTime: runTime}, w.roundTime(runTime))
		})
	}
	w.scheduleArrivals(sim, conditions, *policySeed)
	end := 2 * time.Duration(w.hours*float64(time.Hour))
	for at := time.Minute; at < end/2; at += time.Minute {
		sim.after(at, func() { s.sample(sim) })
	}
	sim.run(end)
	if sim.err != nil {
		b.Fatal(sim.err)
	}
	s.report(b, sim, epoch.Add(end))
}

// sampler collects measurements during a simulation.
type sampler struct {
	planTime         time.Duration
	allocs           uint64
	plans, decisions int
	samples          int
	free             int
	unusable         int // By all waiting and guaranteed shapes.
	unusableLarge    int // By the large shapes among them.
}

func (s *sampler) plan(p *Planner, v View) Plan {
	before := heapAllocs()
	began := time.Now()
	plan := p.Next(v)
	s.planTime += time.Since(began)
	s.allocs += heapAllocs() - before
	s.plans++
	s.decisions += len(plan.Starts) + len(plan.Preempts) + len(plan.Refusals) + len(plan.Moves)
	return plan
}

func heapAllocs() uint64 {
	m := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}}
	metrics.Read(m)
	return m[0].Value.Uint64()
}

// sample adds up the free accelerators, and those that no waiting or guaranteed shape
// can use.
func (s *sampler) sample(sim *simulation) {
	s.samples++
	shapes := make(map[shop.Shape]bool)
	for _, job := range sim.queued {
		shapes[job.Shape] = true
	}
	for _, t := range sim.cfg.Teams {
		for _, g := range t.Guarantees {
			shapes[g.Shape] = true
		}
	}
	usable := make([]int, len(sim.workers))
	usableLarge := make([]int, len(sim.workers))
	for shape := range shapes {
		markUsable(sim.workers, shape, usable)
		if isLarge(shape) {
			markUsable(sim.workers, shape, usableLarge)
		}
	}
	for i, worker := range sim.workers {
		if worker.Flags == 0 {
			s.free += worker.Free.Len()
			s.unusable += worker.Free.Len() - usable[i]
			s.unusableLarge += worker.Free.Len() - usableLarge[i]
		}
	}
}

// markUsable raises each element of usable to the number of free accelerators that the
// shape can use on that worker.
func markUsable(workers placement.WorkerList, s shop.Shape, usable []int) {
	if s.Accelerators == 0 {
		return
	}
	near := s.Adjacency
	if s.Tasks == 1 {
		near = shop.SameWorker
	}
	for first := 0; first < len(workers); {
		end, sum := first, 0
		for end < len(workers) && workers[first].Place.Near(workers[end].Place, near) {
			sum += fittingTasks(workers[end], s)
			end++
		}
		for i := first; sum >= s.Tasks && i < end; i++ {
			usable[i] = max(usable[i], fittingTasks(workers[i], s)*s.Accelerators)
		}
		first = end
	}
}

func fittingTasks(worker placement.Worker, s shop.Shape) int {
	n := worker.Free.Len() / s.Accelerators
	if s.Cores > 0 {
		n = min(n, worker.FreeCores/s.Cores)
	}
	if s.Memory > 0 {
		n = min(n, int(worker.FreeMemory/s.Memory))
	}
	if worker.Flags != 0 {
		return 0
	}
	return n
}

// report reports the metrics of a run. Jobs that haven't ended, or never started, count
// with the time until the end of the run.
func (s *sampler) report(b *testing.B, sim *simulation, end time.Time) {
	times := map[string][]time.Duration{}
	var longest, reclaim, lost time.Duration
	unfinished, preempted, late := 0, 0, 0
	for _, job := range sim.jobs {
		if job.cancelled {
			continue
		}
		class, _ := sim.cfg.Classes.Find(job.Class)
		completion, waited := job.ended.Sub(job.Submitted), job.waited
		if !job.done {
			unfinished++
			completion = end.Sub(job.Submitted)
		}
		if !job.everStarted {
			waited = end.Sub(job.Submitted)
		}
		size := "small"
		switch {
		case class.Urgent:
			size = "urgent"
			if waited > time.Duration(sim.cfg.Policy.UrgentStart) {
				late++
			}
		case isLarge(job.Shape):
			size = "large"
			longest = max(longest, waited)
		}
		reclaim = max(reclaim, job.reclaimWait)
		times[size] = append(times[size], completion)
		lost += job.lost
		preempted += job.Preemptions
	}
	for _, size := range []string{"urgent", "small", "large"} {
		b.ReportMetric(quantile(times[size], 0.5).Seconds(), size+"-p50-s")
		b.ReportMetric(quantile(times[size], 0.99).Seconds(), size+"-p99-s")
	}
	b.ReportMetric(longest.Minutes(), "longest-large-wait-min")
	b.ReportMetric(float64(s.unusable)/float64(max(1, s.free)), "fragmentation")
	b.ReportMetric(float64(s.unusableLarge)/float64(max(1, s.free)), "large-fragmentation")
	b.ReportMetric(float64(s.free)/float64(max(1, s.samples)), "free-accelerators")
	b.ReportMetric(reclaim.Seconds(), "reclaim-max-s")
	b.ReportMetric(lost.Hours(), "lost-accelerator-hours")
	b.ReportMetric(float64(preempted), "preempted")
	b.ReportMetric(float64(sim.moved), "moved")
	b.ReportMetric(float64(late), "urgent-late")
	b.ReportMetric(float64(unfinished), "unfinished")
	b.ReportMetric(end.Sub(epoch).Hours(), "cut-after-h")
	b.ReportMetric(float64(s.planTime.Microseconds())/float64(s.plans), "us/plan")
	b.ReportMetric(float64(s.allocs)/float64(max(1, s.decisions)), "allocs/decision")
}

func quantile(l []time.Duration, q float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[int(math.Ceil(q*float64(len(l))))-1]
}
