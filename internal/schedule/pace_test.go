package schedule_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/schedule"
)

// told returns a view whose workers have the paces, in turn, relative to the first one.
func told(v *schedule.View, paces []float64) *schedule.View {
	out := *v
	out.Workers = slices.Clone(v.Workers)
	for i := range out.Workers {
		out.Workers[i].Pace = paces[i%len(paces)] / paces[0]
	}
	return &out
}

// lateShare simulates days on workers with the paces, in turn, and returns how much of the urgent work was late.
func (c loadCase) lateShare(days int, paces []float64, known bool) float64 {
	sum := 0.0
	for seed := range uint64(days) {
		l := newLoadSimulation(c, seed)
		l.paces = paces
		if known {
			l.computePlan = func(v *schedule.View) schedule.Plan { return schedule.ComputePlan(told(v, paces)) }
		}
		sum += l.run().urgentLateShare
	}
	return sum / float64(days)
}

// Two thirds of the workers are fast. Gangs end with their slowest members, so a plan that knows no paces makes most
// of the urgent ones late.
func TestKnownPacesServeUrgentWork(t *testing.T) {
	for _, tt := range loadCases {
		if tt.powerLossAt > 0 {
			continue
		}
		t.Run(tt.name, func(t *testing.T) {
			days := 20
			if tt.workers > 11 {
				days = 2
			}
			paces := []float64{0.7, 0.7, 1.7}
			before, now := tt.lateShare(days, paces, false), tt.lateShare(days, paces, true)
			t.Logf("%.3f of urgent work late, %.3f with known paces", before, now)
			if now > 0.75*before {
				t.Errorf("%.3f of urgent work late with known paces, want at most three quarters of %.3f", now, before)
			}
		})
	}
}

// Workers that differ by less than siblings do are planned for as if they were alike.
func TestLikePacesChangeNothing(t *testing.T) {
	for seed := range uint64(5) {
		l := newLoadSimulation(loadCases[0], seed)
		l.computePlan = func(v *schedule.View) schedule.Plan {
			plan := schedule.ComputePlan(v)
			if diff := cmp.Diff(plan, schedule.ComputePlan(told(v, []float64{1, 1.05, 0.94, 1.08}))); diff != "" {
				t.Errorf("seed %d, after %v: the plan without (-) and with paces (+):\n%s", seed, v.Now.Sub(testStart), diff)
			}
			return plan
		}
		l.run()
	}
}

func TestPlacementByPace(t *testing.T) {
	paces := []float64{1, 1, 2.4} // Three workers to a rack, the last of which is slow.
	tests := []struct {
		name     string
		priority int
		members  int
		running  []int // Workers that are full.
		sameRack bool
		want     []int
	}{
		{"urgent work takes fast workers", 0, 4, nil, false, []int{0, 1, 3, 4}},
		{"and slow ones if need be", 0, 5, nil, false, []int{0, 1, 2, 3, 4}},
		{"other work takes slow ones", 1, 1, nil, false, []int{2}},
		{"a gang with time to spare keeps to one pace", 1, 3, nil, false, []int{0, 1, 3}},
		{"an urgent gang takes the rack with fast workers", 0, 2, []int{0}, true, []int{3, 4}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			step := *newStep(8)
			step.Gang, step.SameRack = tt.members > 1, tt.sameRack
			w := waitingUnit(&step, tt.members)
			w.Priority = tt.priority
			v := told(&schedule.View{Now: testStart.Add(11e9), Workers: newWorkers(6), SpreadCounts: make([]map[int]int, 1), Waiting: []schedule.WaitingUnit{w}}, paces)
			for _, i := range tt.running {
				v.Running = append(v.Running, schedule.RunningUnit{Team: "t", Step: newStep(8), Workers: []int{i}})
			}
			plan := schedule.ComputePlan(v)
			if len(plan.Starts) != 1 {
				t.Fatalf("%d starts, want 1", len(plan.Starts))
			}
			if diff := cmp.Diff(tt.want, slices.Sorted(slices.Values(plan.Starts[0].Workers))); diff != "" {
				t.Errorf("started on (-want +got):\n%s", diff)
			}
		})
	}
}

// A zone comes back with cold workers. Urgent work goes there last, patient work first.
func TestColdWorkersGetPatientWork(t *testing.T) {
	tests := []struct {
		name     string
		priority int
		members  int
		first    int // Of three of the six workers, which are cold.
		cold     time.Duration
		want     []int
	}{
		{"urgent work", 0, 3, 0, 4 * time.Second, []int{3, 4, 5}},
		{"urgent work beyond the warm ones", 0, 4, 0, 4 * time.Second, []int{0, 3, 4, 5}},
		{"urgent work, almost warm", 0, 3, 0, 100 * time.Millisecond, []int{0, 1, 2}},
		{"patient work", 1, 1, 3, 4 * time.Second, []int{3}},
		{"a patient gang", 1, 3, 3, 4 * time.Second, []int{3, 4, 5}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			step := *newStep(8)
			step.Gang = tt.members > 1
			w := waitingUnit(&step, tt.members)
			w.Priority = tt.priority
			v := &schedule.View{Now: testStart.Add(11e9), Workers: newWorkers(6), SpreadCounts: make([]map[int]int, 1), Waiting: []schedule.WaitingUnit{w}}
			for i := range 3 {
				v.Workers[tt.first+i].Cold = tt.cold
			}
			plan := schedule.ComputePlan(v)
			if len(plan.Starts) != 1 {
				t.Fatalf("%d starts, want 1", len(plan.Starts))
			}
			if diff := cmp.Diff(tt.want, slices.Sorted(slices.Values(plan.Starts[0].Workers))); diff != "" {
				t.Errorf("started on (-want +got):\n%s", diff)
			}
		})
	}
}

// A worker whose pace isn't known counts as the mean of the known ones wherever a plan asks for its pace.
func TestUnknownWorkersCountAsTheMean(t *testing.T) {
	tests := []struct {
		name  string
		paces []float64 // The last worker is full.
		slack float64   // Time to the objective, as a multiple of the estimate.
		want  int
	}{
		{"the unknown one would take too long", []float64{1, 0, 3}, 1.5, 0},
		{"the unknown one ends it in time", []float64{1, 0, 3}, 2.5, 1},
		{"none ends it in time", []float64{1, 0, 3}, 0.5, 1},
		{"no pace is known", []float64{0, 0, 0}, 1.5, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := waitingUnit(newStep(8), 1)
			w.Objective = testStart.Add(time.Duration(tt.slack * float64(w.Estimate)))
			v := &schedule.View{Now: testStart, Workers: newWorkers(3), SpreadCounts: make([]map[int]int, 1), Waiting: []schedule.WaitingUnit{w}}
			for i, p := range tt.paces {
				v.Workers[i].Pace = p
			}
			v.Running = []schedule.RunningUnit{{Team: "t", Step: newStep(8), Workers: []int{2}}}
			if diff := cmp.Diff([]schedule.Start{{Workers: []int{tt.want}}}, schedule.ComputePlan(v).Starts); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}
