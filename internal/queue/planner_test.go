package queue

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

func TestNextRefuses(t *testing.T) {
	cfg, workers, owned, _ := smallCluster()
	one := shop.Shape{Tasks: 1, Accelerators: 1}
	tests := []struct {
		name string
		job  shop.Job
		want error
	}{
		{"fits", shop.Job{Team: "c", Class: "firm", Shape: one}, nil},
		{"too many on a worker", shop.Job{Team: "c", Class: "firm", Shape: shop.Shape{Tasks: 1, Accelerators: 5}}, shop.ErrNeverFits},
		{"too many in a rack", shop.Job{Team: "a", Class: "firm", Shape: shop.Shape{Tasks: 4, Accelerators: 4, Adjacency: shop.SameRack}}, shop.ErrNeverFits},
		{"above quota", shop.Job{Team: "c", Class: "firm", Shape: shop.Shape{Tasks: 21, Accelerators: 1}}, ErrOverQuota},
		{"unknown team", shop.Job{Team: "d", Class: "firm", Shape: one}, shop.ErrNotFound},
		{"unknown class", shop.Job{Team: "c", Class: "other", Shape: one}, shop.ErrNotFound},
		{"unknown region", shop.Job{Team: "c", Class: "firm", Shape: one, Region: "s"}, shop.ErrNeverFits},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(cfg, workers, owned, Default, 1)
			for i := range sim.workers {
				sim.workers[i].Flags = placement.Down
			}
			tt.job.ID = "j"
			sim.submit(tt.job, time.Minute)
			plan := Next(sim.view())
			if (tt.want == nil) != (len(plan.Refusals) == 0) {
				t.Fatalf("unexpected refusals: %v", plan.Refusals)
			}
			if tt.want == nil {
				return
			}
			if err := plan.Refusals[0].Err; !errors.Is(err, tt.want) || !errors.Is(err, shop.ErrNotRun) {
				t.Errorf("refused with %v, want %v", err, tt.want)
			}
		})
	}
}

func TestNextReclaims(t *testing.T) {
	cfg, workers, owned, instances := smallCluster()
	fill := shop.Shape{Tasks: 1, Accelerators: 4, Cores: 16}
	tests := []struct {
		name    string
		fillers int
		class   string
		shape   shop.Shape
		team    string
		evicted int
	}{
		{"owner evicts one borrower", 9, "firm", instances[0].shape, "a", 1},
		{"owner evicts for each task of a gang", 9, "firm", instances[2].shape, "b", 3},
		{"owner runs elsewhere when it can", 7, "firm", instances[2].shape, "b", 0},
		{"urgent work evicts", 9, "quote", shop.Shape{Tasks: 1, Accelerators: 1}, "c", 1},
		{"other work waits", 9, "firm", shop.Shape{Tasks: 1, Accelerators: 1}, "c", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(cfg, workers, owned, Default, 1)
			sim.cfg.Teams[2].Quota = 0
			for i := range tt.fillers {
				sim.submit(shop.Job{ID: string(rune('0' + i)), Team: "c", Class: "batch", Shape: fill}, time.Hour)
			}
			sim.step()
			sim.submit(shop.Job{ID: "j", Team: tt.team, Class: tt.class, Shape: tt.shape}, time.Hour)
			v := sim.view()
			plan := Next(v)
			if len(plan.Preempts) != tt.evicted {
				t.Errorf("preempted %v, want %d", plan.Preempts, tt.evicted)
			}
			if started := len(plan.Starts) > 0; started != (tt.name != "other work waits") {
				t.Errorf("unexpected starts: %v", plan.Starts)
			}
			if d := cmp.Diff(plan, Next(v)); d != "" {
				t.Errorf("second plan for the same view differs (-first +second):\n%s", d)
			}
		})
	}
}

// A job must get the free accelerators that its team owns before another team, whose
// own accelerators are in use, borrows them.
func TestNextOwnersBeforeBorrowers(t *testing.T) {
	cfg, workers, owned, instances := smallCluster()
	sim := newSimulation(cfg, workers, owned, Default, 1)
	sim.cfg.Teams[2].Quota = 0
	for i, worker := range sim.workers {
		if worker.Place.Worker != "w3" {
			sim.workers[i].Flags = placement.Down
		}
	}
	pair := instances[0].shape
	sim.submit(shop.Job{ID: "a1", Team: "a", Class: "batch", Shape: pair}, time.Hour)
	sim.step()
	sim.submit(shop.Job{ID: "a2", Team: "a", Class: "batch", Shape: pair}, time.Hour)
	sim.submit(shop.Job{ID: "b1", Team: "b", Class: "firm", Shape: instances[2].shape.WithTasks(1)}, time.Hour)
	sim.step()
	if job := sim.jobs["b1"]; !job.running || job.parts[0].Accelerators != 0b11 {
		t.Errorf("b1 running: %v, on %v; want it on the accelerators that its team owns", job.running, job.parts)
	}
}
