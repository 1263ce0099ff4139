package main

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

func TestEvacuationRows(t *testing.T) {
	worker := func(region, zone string, tasks ...*sniperillv1.AgentTask) *sniperillv1.WorkerStatus {
		return &sniperillv1.WorkerStatus{State: &sniperillv1.AgentState{
			Place: &sniperillv1.Place{Region: region, Zone: zone}, Tasks: tasks,
		}}
	}
	running := func(accelerators uint64) *sniperillv1.AgentTask {
		return &sniperillv1.AgentTask{State: "running", Accelerators: accelerators}
	}
	workers := []*sniperillv1.WorkerStatus{
		worker("north", "a", running(0b11), running(0b1100)),
		worker("north", "a"),
		worker("south", "a", running(0b1)),
		worker("north", "b", running(0b1)),
	}
	tests := []struct {
		name string
		want evacuationRow
	}{
		{"a zone of two regions", evacuationRow{Zone: "a", Workers: 3, Used: 5, Tasks: 3}},
		{"a zone of one region", evacuationRow{Zone: "north/a", Workers: 2, Used: 4, Tasks: 2}},
		{"no worker", evacuationRow{Zone: "c"}},
		{"no worker in the region", evacuationRow{Zone: "south/b"}},
		{"a region", evacuationRow{Zone: "north"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, newEvacuationRow(tt.want.Zone, workers)); diff != "" {
				t.Errorf("row (-want +got):\n%s", diff)
			}
		})
	}
}
