package schedule_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/schedule"
)

// An urgent job comes while patient work fills the fast workers, and the slow ones can't end it in time.
func TestUrgentWorkMakesRoomOnFastWorkers(t *testing.T) {
	tests := []struct {
		name        string
		paces       []float64
		busy        []int // Workers that patient work fills, which has lost no run time yet.
		lost        time.Duration
		waited      time.Duration
		stopping    bool // The work on worker 0 has been told to stop for it.
		guaranteed  int
		starts      []int
		preemptions int
		reserved    []int
	}{
		{name: "the slow worker is free", paces: []float64{1, 2}, busy: []int{0}, preemptions: 1, reserved: []int{0}},
		{name: "the slow worker is free, within a guarantee", paces: []float64{1, 2}, busy: []int{0}, guaranteed: 8, preemptions: 1, reserved: []int{0}},
		{name: "both are busy", paces: []float64{2, 1}, busy: []int{0, 1}, preemptions: 1, reserved: []int{1}},
		{name: "workers are alike", paces: []float64{1, 1}, busy: []int{0}, starts: []int{1}},
		{name: "no pace is known", paces: []float64{0, 0}, busy: []int{0}, starts: []int{1}},
		{name: "the other worker is fast enough", paces: []float64{1, 1.3}, busy: []int{0}, starts: []int{1}},
		{name: "none is fast enough", paces: []float64{2, 4}, busy: []int{0}, starts: []int{1}},
		{name: "too much would be thrown away", paces: []float64{1, 2}, busy: []int{0}, lost: time.Hour, starts: []int{1}},
		{name: "it has waited for long", paces: []float64{1, 2}, busy: []int{0}, waited: 2 * time.Second, starts: []int{1}},
		{name: "others take long to give way", paces: []float64{1, 2}, busy: []int{0}, waited: 1400 * time.Millisecond, stopping: true, reserved: []int{0}},
		{name: "others take too long to give way", paces: []float64{1, 2}, busy: []int{0}, waited: 1600 * time.Millisecond, stopping: true, starts: []int{1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := &schedule.View{Now: testStart.Add(tt.waited), Workers: newWorkers(2), Guaranteed: map[string]int{"t": tt.guaranteed}}
			for i, p := range tt.paces {
				v.Workers[i].Pace = p
			}
			for _, i := range tt.busy {
				v.Running = append(v.Running, schedule.RunningUnit{Team: "u", Priority: 1, Step: newStep(8), Workers: []int{i}, LostRunTime: tt.lost, Stopping: tt.stopping})
			}
			w := waitingUnit(newStep(8), 1)
			if tt.stopping {
				w.ReservedWorkers = []int{0}
			}
			w.Priority, w.Objective = 0, testStart.Add(15*time.Second+tt.waited)
			v.Waiting = append(v.Waiting, w)
			plan := schedule.ComputePlan(v)
			var starts, reserved []int
			for _, s := range plan.Starts {
				starts = append(starts, s.Workers...)
			}
			for _, r := range plan.Reservations {
				reserved = append(reserved, r.Workers...)
			}
			if diff := cmp.Diff([]any{tt.starts, tt.preemptions, tt.reserved}, []any{starts, len(plan.Preemptions), reserved}); diff != "" {
				t.Errorf("starts, preemptions, reserved workers (-want +got):\n%s", diff)
			}
		})
	}
}

// What makes an urgent unit end in time is used at once if it is free, and never by running apart from its rack or data,
// which would take longer than a slow worker.
func TestFasterWorkersStaySuitable(t *testing.T) {
	tests := []struct {
		name     string
		paces    []float64 // Three workers to a rack.
		busy     []int     // Workers that patient work fills.
		members  int
		sameRack bool
		dataRack string
		starts   []int
	}{
		{"a fast enough one of the same class is free", []float64{1.09, 1, 2, 2, 2, 2}, []int{2, 3, 4, 5}, 1, false, "", []int{1}},
		{"no rack has enough fast workers", []float64{1, 2, 2, 1, 2, 2}, []int{0, 3}, 2, true, "", []int{1, 2}},
		{"the data's rack is slow", []float64{2, 2, 2, 1, 1, 1}, []int{3, 4}, 1, false, "r1-0", []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			step := newStep(8)
			step.Gang, step.SameRack, step.DataRack = tt.members > 1, tt.sameRack, tt.dataRack
			w := waitingUnit(step, tt.members)
			w.Priority, w.Objective = 0, testStart.Add(10500*time.Millisecond)
			v := &schedule.View{Now: testStart, Workers: newWorkers(6), SpreadCounts: make([]map[int]int, 1), Waiting: []schedule.WaitingUnit{w}}
			for i, p := range tt.paces {
				v.Workers[i].Pace = p
			}
			for _, i := range tt.busy {
				v.Running = append(v.Running, schedule.RunningUnit{Team: "u", Priority: 1, Step: newStep(8), Workers: []int{i}})
			}
			plan := schedule.ComputePlan(v)
			want := schedule.Plan{Starts: []schedule.Start{{Workers: tt.starts}}}
			if diff := cmp.Diff(want, plan); diff != "" {
				t.Errorf("plan (-want +got):\n%s", diff)
			}
		})
	}
}
