package workflow_test

import (
	"errors"
	"testing"

	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

func TestCanRun(t *testing.T) {
	worker := workflow.Worker{
		Service: "s", Labels: []string{"a"},
		Resources: workflow.Resources{MilliCores: 32000, MemoryMB: 64000, Accelerators: 8},
	}
	workers := workflow.WorkerList{worker, worker, {Service: "other", Resources: workflow.Resources{Accelerators: 16}}}
	tests := []struct {
		name string
		step workflow.Step
		want error
	}{
		{"one task", workflow.Step{Count: 1, Resources: workflow.Resources{Accelerators: 8}}, nil},
		{"more tasks than fit at once", workflow.Step{Count: 9, Resources: workflow.Resources{Accelerators: 8}}, nil},
		{"larger than any worker of the service", workflow.Step{Count: 1, Resources: workflow.Resources{Accelerators: 9}}, shop.ErrNeverFits},
		{"more memory than any worker has", workflow.Step{Count: 1, Resources: workflow.Resources{MemoryMB: 64001}}, shop.ErrNeverFits},
		{"a label that a worker has", workflow.Step{Count: 1, Label: "a"}, nil},
		{"a label that no worker has", workflow.Step{Count: 1, Label: "b"}, shop.ErrNeverFits},
		{"a gang that fits", workflow.Step{Count: 4, Gang: true, Resources: workflow.Resources{Accelerators: 4}}, nil},
		{"a gang that doesn't fit", workflow.Step{Count: 5, Gang: true, Resources: workflow.Resources{Accelerators: 4}}, shop.ErrNeverFits},
		{"a gang that must be spread", workflow.Step{Count: 3, Gang: true, MaxPerWorker: 1}, shop.ErrNeverFits},
		{"more cores than a worker has, but only spare ones", workflow.Step{Count: 1, UsesSpareCores: true, Resources: workflow.Resources{MilliCores: 64000}}, nil},
	}
	externallyPlaced := &workflow.Job{Queue: workflow.Queue{Service: "s", ExternallyPlaced: true}, Steps: []workflow.Step{{Count: 1}}}
	if err := workers.CanRun(externallyPlaced); !errors.Is(err, shop.ErrNeverFits) {
		t.Errorf("externally placed queue: got %v, want %v", err, shop.ErrNeverFits)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			j := &workflow.Job{Queue: workflow.Queue{Service: "s"}, Steps: []workflow.Step{tt.step}}
			if err := workers.CanRun(j); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}
