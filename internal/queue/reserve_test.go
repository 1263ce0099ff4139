package queue

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/placement"
	"sniperill.example/sniperill/pkg/shop"
)

// twoWorkers is a shop of workers w0 and w1 with 4 accelerators each.
func twoWorkers() *simulation {
	cfg, workers, _, _ := smallCluster()
	w := newSimulation(cfg, workers[:2], nil, Default, 1)
	w.cfg.Teams = shop.TeamList{{Name: "c", Weight: 1}}
	return w
}

// runOn runs a job of one task on a worker's accelerators.
func (w *simulation) runOn(id, class, worker string, mask shop.Mask, d time.Duration) {
	w.submitSingleTask(id, class, mask.Len(), d)
	parts := placement.PartList{{Worker: worker, Tasks: 1, Accelerators: mask}}
	w.start(Start{Attempt: shop.Attempt{Job: id, Number: 1}, Parts: parts})
}

// submitSingleTask submits a job of one task.
func (w *simulation) submitSingleTask(id, class string, accelerators int, d time.Duration) {
	shape := shop.Shape{Tasks: 1, Accelerators: accelerators, Cores: 1}
	w.submit(shop.Job{ID: id, Team: "c", Class: class, Shape: shape, RunTime: d}, d)
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
			w := twoWorkers()
			w.runOn("r0", "firm", "w0", 0b111, time.Hour)
			w.runOn("r1", "firm", "w1", 0b1111, 3*time.Hour)
			w.submitSingleTask("l", "firm", 4, time.Hour)
			w.step()
			if r := w.reservations; len(r) != 1 || r[0].Job != "l" || r[0].Parts[0].Worker != "w0" {
				t.Fatalf("reservations: %v", r)
			}
			w.submitSingleTask("s", tt.class, 1, tt.runTime)
			w.step()
			if got := w.jobs["s"].running; got != tt.want {
				t.Errorf("runs: %v", got)
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
			w := twoWorkers()
			w.cfg.Policy.CompletionWeight = tt.completion
			w.cfg.Policy.FragmentationWeight = tt.fragmentation
			w.runOn("r0", tt.class, "w0", 0b1, time.Hour)
			w.runOn("r1", "firm", "w1", 0b11, 3*time.Hour)
			w.submitSingleTask("l", "firm", 4, time.Hour)
			w.step()
			if moved := w.jobs["r0"].parts[0].Worker == "w1"; moved != tt.want {
				t.Errorf("moved: %v", moved)
			}
			w.step()
			if got := w.jobs["l"].running; got != tt.want {
				t.Errorf("large job runs: %v", got)
			}
		})
	}
}
