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

// policySeed decides what arrives in BenchmarkPolicy, and when.
var policySeed = flag.Uint64("policy-seed", 1, "seed of the arrivals that policies are compared on")

// policyWeights overrides the weights of both desks.
var policyWeights = flag.String("policy-weights", "", "completion weight and fragmentation weight, such as 3:1")

// overrideWeights sets the weights of a desk that -policy-weights gives.
func (d *workload) overrideWeights(b *testing.B) {
	if *policyWeights == "" {
		return
	}
	p := &d.cfg.Policy
	if _, err := fmt.Sscanf(*policyWeights, "%g:%g", &p.CompletionWeight, &p.FragmentationWeight); err != nil {
		b.Fatalf("-policy-weights %s: %v", *policyWeights, err)
	}
}

// policies are compared in one run: two that others use, and the steps to ours.
var policies = []namedPolicy{
	{"first-come", FirstCome},
	{"best-fit", BestFit},
	{"fair-share", Policy{FairShare: true, SkipBlocked: true}},
	{"reclaim", Policy{FairShare: true, SkipBlocked: true, Reclaim: true}},
	{"reserve", Policy{FairShare: true, SkipBlocked: true, Reclaim: true, Reserve: true}},
	{"drain", Policy{FairShare: true, SkipBlocked: true, Reclaim: true, Reserve: true, Drain: true}},
	{"ours", Default},
}

// BenchmarkPolicy lets the same work arrive under each policy.
func BenchmarkPolicy(b *testing.B) {
	for _, d := range []workload{kapurCeria(), kuusela(), designWorkload()} {
		d.overrideWeights(b)
		if d.owned == nil {
			d.owned = assignGuarantees(d.cfg.WithDefaults(), d.workers)
		}
		for _, day := range scenarios {
			for _, p := range policies {
				b.Run(fmt.Sprintf("arrivals=%s/%s/policy=%s", d.name, day.name, p.name), func(b *testing.B) {
					for b.Loop() {
						benchPolicy(b, d, day, p.Policy)
					}
				})
			}
		}
	}
}

func benchPolicy(b *testing.B, d workload, day scenario, p Policy) {
	w := newSimulation(d.cfg, d.workers, d.owned, p, *policySeed)
	var s sampler
	w.plan = s.plan
	for i := range d.initialTasks {
		took := time.Duration(1+w.rng.IntN(3600)) * time.Second
		shape := gangShape(1, 0, 1+i%4, shop.Anywhere)
		w.after(0, func() {
			w.submit(shop.Job{ID: fmt.Sprintf("s%06d", i), Team: d.cfg.Teams[i%len(d.cfg.Teams)].Name, Class: "batch", Shape: shape, RunTime: took}, d.roundTime(took))
		})
	}
	d.scheduleArrivals(w, day, *policySeed)
	end := 2 * time.Duration(d.hours*float64(time.Hour))
	for at := time.Minute; at < end/2; at += time.Minute {
		w.after(at, func() { s.sample(w) })
	}
	w.run(end)
	if w.err != nil {
		b.Fatal(w.err)
	}
	s.report(b, w, epoch.Add(end))
}

// sampler measures a world while it runs.
type sampler struct {
	planTime         time.Duration
	allocs           uint64
	plans, decisions int
	samples          int
	free             int
	unusable         int // For waiting and guaranteed shapes.
	unusableLarge    int // For the large ones among them.
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

// sample counts the free accelerators that no waiting or guaranteed shape can use.
func (s *sampler) sample(w *simulation) {
	s.samples++
	shapes := make(map[shop.Shape]bool)
	for _, k := range w.queued {
		shapes[k.Shape] = true
	}
	for _, t := range w.cfg.Teams {
		for _, g := range t.Guarantees {
			shapes[g.Shape] = true
		}
	}
	usable := make([]int, len(w.workers))
	usableLarge := make([]int, len(w.workers))
	for shape := range shapes {
		markUsable(w.workers, shape, usable)
		if isLarge(shape) {
			markUsable(w.workers, shape, usableLarge)
		}
	}
	for i, x := range w.workers {
		if x.Flags == 0 {
			s.free += x.Free.Len()
			s.unusable += x.Free.Len() - usable[i]
			s.unusableLarge += x.Free.Len() - usableLarge[i]
		}
	}
}

// markUsable raises the accelerators of each worker that a shape could use now.
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

func fittingTasks(w placement.Worker, s shop.Shape) int {
	n := w.Free.Len() / s.Accelerators
	if s.Cores > 0 {
		n = min(n, w.FreeCores/s.Cores)
	}
	if s.Memory > 0 {
		n = min(n, int(w.FreeMemory/s.Memory))
	}
	if w.Flags != 0 {
		return 0
	}
	return n
}

// report gives the figures of a run. What never ended counts until the end.
func (s *sampler) report(b *testing.B, w *simulation, end time.Time) {
	times := map[string][]time.Duration{}
	var longest, reclaim, lost time.Duration
	unfinished, preempted, late := 0, 0, 0
	for _, k := range w.jobs {
		if k.cancelled {
			continue
		}
		class, _ := w.cfg.Classes.Find(k.Class)
		completion, waited := k.ended.Sub(k.Submitted), k.waited
		if !k.done {
			unfinished++
			completion = end.Sub(k.Submitted)
		}
		if !k.everStarted {
			waited = end.Sub(k.Submitted)
		}
		kind := "small"
		switch {
		case class.Urgent:
			kind = "urgent"
			if waited > time.Duration(w.cfg.Policy.UrgentStart) {
				late++
			}
		case isLarge(k.Shape):
			kind = "large"
			longest = max(longest, waited)
		}
		reclaim = max(reclaim, k.reclaimWait)
		times[kind] = append(times[kind], completion)
		lost += k.lost
		preempted += k.Preemptions
	}
	for _, kind := range []string{"urgent", "small", "large"} {
		b.ReportMetric(quantile(times[kind], 0.5).Seconds(), kind+"-p50-s")
		b.ReportMetric(quantile(times[kind], 0.99).Seconds(), kind+"-p99-s")
	}
	b.ReportMetric(longest.Minutes(), "longest-large-wait-min")
	b.ReportMetric(float64(s.unusable)/float64(max(1, s.free)), "fragmentation")
	b.ReportMetric(float64(s.unusableLarge)/float64(max(1, s.free)), "large-fragmentation")
	b.ReportMetric(float64(s.free)/float64(max(1, s.samples)), "free-accelerators")
	b.ReportMetric(reclaim.Seconds(), "reclaim-max-s")
	b.ReportMetric(lost.Hours(), "lost-accelerator-hours")
	b.ReportMetric(float64(preempted), "preempted")
	b.ReportMetric(float64(w.moved), "moved")
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
