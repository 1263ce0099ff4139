package queue

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// twoWorkers returns a simulation of the workers w0 and w1 with 4 accelerators each.
func twoWorkers() *simulation {
	cfg, workers, _, _ := smallCluster()
	sim := newSimulation(cfg, workers[:2], nil, Default, 1)
	sim.cfg.Teams = shop.TeamList{{Name: "c", Weight: 1}}
	return sim
}

// runOn starts a job of one task on the given accelerators of a worker.
func (sim *simulation) runOn(id, class, worker string, mask shop.Mask, runTime time.Duration) {
	sim.submitSingleTask(id, class, mask.Len(), runTime)
	parts := placement.PartList{{Worker: worker, Tasks: 1, Accelerators: mask}}
	sim.start(Start{Attempt: shop.Attempt{Job: id, Number: 1}, Parts: parts})
}

// submitSingleTask submits a job of one task.
func (sim *simulation) submitSingleTask(id, class string, accelerators int, runTime time.Duration) {
	shape := shop.Shape{Tasks: 1, Accelerators: accelerators, Cores: 1}
	sim.submit(shop.Job{ID: id, Team: "c", Class: class, Shape: shape, RunTime: runTime}, runTime)
}

func TestNextBackfills(t *testing.T) {
	tests := []struct {
		name, class string
		runTime     time.Duration
		want        bool
	}{
		{"ends before the reservation", "firm", 30 * time.Minute, true},
		{"ends after it", "firm", 2 * time.Hour, false},
		{"ends after it but can be preempted", "batch", 2 * time.Hour, true},
		{"urgent", "quote", 2 * time.Hour, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := twoWorkers()
			sim.runOn("r0", "firm", "w0", 0b111, time.Hour)
			sim.runOn("r1", "firm", "w1", 0b1111, 3*time.Hour)
			sim.submitSingleTask("l", "firm", 4, time.Hour)
			sim.step()
			if r := sim.reservations; len(r) != 1 || r[0].Job != "l" || r[0].Parts[0].Worker != "w0" {
				t.Fatalf("reservations %v, want one for l on w0", r)
			}
			sim.submitSingleTask("s", tt.class, 1, tt.runTime)
			sim.step()
			if got := sim.jobs["s"].running; got != tt.want {
				t.Errorf("unexpected result: s running is %v", got)
			}
		})
	}
}

func TestNextMoves(t *testing.T) {
	tests := []struct {
		name, class               string
		completion, fragmentation float64
		want                      bool
	}{
		{"small preemptible job", "batch", 1, 1, true},
		{"a restart costs more than the wait", "batch", 1000, 1, false},
		{"firm job", "firm", 1, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := twoWorkers()
			sim.cfg.Policy.CompletionWeight = tt.completion
			sim.cfg.Policy.FragmentationWeight = tt.fragmentation
			sim.runOn("r0", tt.class, "w0", 0b1, time.Hour)
			sim.runOn("r1", "firm", "w1", 0b11, 3*time.Hour)
			sim.submitSingleTask("l", "firm", 4, time.Hour)
			sim.step()
			if moved := sim.jobs["r0"].parts[0].Worker == "w1"; moved != tt.want {
				t.Errorf("unexpected result: moved is %v", moved)
			}
			sim.step()
			if got := sim.jobs["l"].running; got != tt.want {
				t.Errorf("unexpected result: large job running is %v", got)
			}
		})
	}
}
