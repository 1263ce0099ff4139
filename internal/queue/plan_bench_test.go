package queue

import (
	"fmt"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// designCluster returns a configuration, workers and ownership. Scale 1 is the size that
// the planner is designed for: 640 workers with 980 accelerators, and 130 teams, every
// second of which has a guarantee.
func designCluster(scale float64) (shop.Config, shop.WorkerList, shop.OwnedList) {
	var workers shop.WorkerList
	for i := range int(640 * scale) {
		accelerators := 0
		switch {
		case i%6 == 0:
			accelerators = 8
		case i%6 == 3:
			accelerators = 1 + i/6%2
		}
		zone := i * 4 / int(640*scale)
		workers = append(workers, shop.Worker{
			Place: shop.Place{
				Region: "r",
				Zone:   fmt.Sprintf("z%d", zone),
				Rack:   fmt.Sprintf("rack%02d", i/16),
				Worker: fmt.Sprintf("w%03d", i),
			},
			Accelerators: accelerators,
			Cores:        64,
			Memory:       256 * shop.GiB,
		})
	}
	cfg := shop.Config{Classes: benchClasses()}
	for i := range int(130 * scale) {
		team := shop.Team{Name: fmt.Sprintf("team%03d", i), Weight: float64(1 + i%3)}
		if i%2 == 0 {
			shape := shop.Shape{Tasks: 1, Accelerators: 1 << (i / 2 % 3), Cores: 2 << (i / 2 % 3), Memory: 8 * shop.GiB}
			team.Guarantees = []shop.Guarantee{{Shape: shape}}
		}
		cfg.Teams = append(cfg.Teams, team)
	}
	return cfg, workers, assignGuarantees(cfg.WithDefaults(), workers)
}

func benchClasses() shop.ClassList {
	return shop.ClassList{
		{Name: "batch", Idempotent: true, Preemptible: true},
		{Name: "firm", Idempotent: true},
		{Name: "quote", Idempotent: true, Urgent: true},
	}
}

// assignGuarantees places the guarantees one after another on the empty workers, and
// returns what each team then owns.
func assignGuarantees(cfg shop.Config, workers shop.WorkerList) shop.OwnedList {
	var all placement.WorkerList
	for _, worker := range workers {
		all = append(all, placement.IdleWorker(worker))
	}
	f := placement.NewFleet(all, nil, cfg.Teams)
	var owned shop.OwnedList
	for i, t := range cfg.Teams {
		for _, g := range t.Guarantees {
			for range g.Count {
				q := placement.Request{Shape: g.Shape, Team: i}
				found, ok := f.Fit(q)
				if !ok {
					panic("guarantee of " + t.Name + " doesn't fit")
				}
				f.Allocate(q, found.Parts)
				for _, p := range found.Parts {
					owned = append(owned, shop.Owned{
						Worker:       p.Worker,
						Team:         t.Name,
						Accelerators: p.Accelerators,
						Cores:        p.Tasks * g.Shape.Cores,
						Memory:       shop.Bytes(p.Tasks) * g.Shape.Memory,
					})
				}
			}
		}
	}
	return mergeOwned(owned)
}

// mergeOwned merges the entries of the same worker and team.
func mergeOwned(owned shop.OwnedList) shop.OwnedList {
	var merged shop.OwnedList
	at := make(map[[2]string]int)
	for _, o := range owned {
		key := [2]string{o.Worker, o.Team}
		i, ok := at[key]
		if !ok {
			at[key] = len(merged)
			merged = append(merged, o)
			continue
		}
		merged[i].Accelerators |= o.Accelerators
		merged[i].Cores += o.Cores
		merged[i].Memory += o.Memory
	}
	return merged
}

// randomJob returns a job of the mix that the planner is designed for, mostly single
// tasks without accelerators.
func (sim *simulation) randomJob(id string) shop.Job {
	j := shop.Job{
		ID:      id,
		Team:    sim.cfg.Teams[sim.rng.IntN(len(sim.cfg.Teams))].Name,
		Class:   []string{"batch", "batch", "firm"}[sim.rng.IntN(3)],
		Shape:   shop.Shape{Tasks: 1, Cores: 1 + sim.rng.IntN(4), Memory: 4 * shop.GiB, Adjacency: shop.Anywhere},
		RunTime: time.Duration(1+sim.rng.IntN(120)) * time.Minute,
	}
	switch sim.rng.IntN(40) {
	case 0, 1, 2:
		j.Shape.Accelerators = 1 + sim.rng.IntN(2)
	case 3:
		j.Shape = shop.Shape{Tasks: 1 << (1 + sim.rng.IntN(6)), Accelerators: 1, Cores: 2, Memory: 8 * shop.GiB, Adjacency: shop.SameZone}
	case 4:
		j.Class = "quote"
		j.Shape.Accelerators = 1
	}
	return j
}

// busySimulation returns a simulation in which about the given number of tasks run,
// as far as they fit, and the given number of jobs wait.
func busySimulation(scale float64, tasks, queued int) *simulation {
	cfg, workers, owned := designCluster(scale)
	sim := newSimulation(cfg, workers, owned, Default, 1)
	running := 0
	for next := 0; running < tasks && next < 4*tasks; {
		for range tasks / 4 {
			next++
			sim.submit(sim.randomJob(fmt.Sprintf("r%05d", next)), time.Hour)
		}
		sim.step()
		running = 0
		for _, job := range sim.running {
			running += job.Shape.Tasks
		}
		sim.now = sim.now.Add(10 * time.Second)
	}
	sim.queued = nil
	sim.reservations = nil
	for i := range queued {
		sim.submit(sim.randomJob(fmt.Sprintf("q%05d", i)), time.Hour)
		sim.queued[i].Submitted = sim.now.Add(-time.Duration(sim.rng.IntN(3600)) * time.Second)
	}
	sim.now = sim.now.Add(time.Minute)
	return sim
}

func benchPlan(b *testing.B, sim *simulation) {
	v := sim.view()
	planner := &Planner{Policy: Default}
	tasks := 0
	for _, r := range v.Running {
		tasks += r.Shape.Tasks
	}
	var plan Plan
	b.ReportAllocs()
	for b.Loop() {
		plan = planner.Next(v)
	}
	b.ReportMetric(float64(tasks), "running-tasks")
	b.ReportMetric(float64(len(v.Queued)), "queued")
	b.ReportMetric(float64(len(plan.Starts)), "starts")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/1000, "ms/plan")
}

func BenchmarkPlan(b *testing.B) {
	for _, scale := range []float64{0.125, 0.25, 0.5, 1, 2} {
		b.Run(fmt.Sprintf("workers=%d", int(640*scale)), func(b *testing.B) {
			benchPlan(b, busySimulation(scale, int(11000*scale), int(1000*scale)))
		})
	}
	for _, queued := range []int{250, 500, 2000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			benchPlan(b, busySimulation(1, 11000, queued))
		})
	}
	b.Run("bad-day", func(b *testing.B) {
		sim := busySimulation(1, 11000, 1000)
		for i := 0; i < 1000; i += 10 {
			sim.dequeue(fmt.Sprintf("q%05d", i))
		}
		for i := range 100 {
			sim.submit(sim.randomJob(fmt.Sprintf("n%05d", i)), time.Hour)
		}
		for i := range 32 {
			sim.failWorker(i*20, time.Hour)
		}
		benchPlan(b, sim)
	})
	b.Run("idle-fleet", func(b *testing.B) { benchPlan(b, busySimulation(1, 0, 1000)) })
}
