package schedule_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/schedule"
)

// The room that is kept free for urgent work follows how much of it came at a time.
func TestHeadroomFollowsUrgentWork(t *testing.T) {
	arrival := func(after time.Duration, accelerators int) schedule.UrgentArrival {
		return schedule.UrgentArrival{Service: "s", Submitted: testStart.Add(after), Accelerators: accelerators, Estimate: 2 * time.Second}
	}
	tests := []struct {
		name     string
		workers  int
		arrivals []schedule.UrgentArrival
		running  int // Whole workers.
		deferred bool
	}{
		{"nothing is known: a quarter", 16, nil, 11, false},
		{"nothing is known: a quarter", 16, nil, 12, true},
		{"little urgent work: a quarter still", 16, []schedule.UrgentArrival{arrival(0, 4)}, 11, false},
		{"a burst larger than a quarter", 16, []schedule.UrgentArrival{arrival(0, 16), arrival(time.Second, 16)}, 9, false},
		{"a burst larger than a quarter", 16, []schedule.UrgentArrival{arrival(0, 16), arrival(time.Second, 16)}, 10, true},
		{"the first has ended when the second comes", 16, []schedule.UrgentArrival{arrival(0, 16), arrival(3*time.Second, 16)}, 11, false},
		{"not that half of all is idle", 16, []schedule.UrgentArrival{arrival(0, 300)}, 8, false},
		{"at most", 16, []schedule.UrgentArrival{arrival(0, 300)}, 9, true},
		{"another service's", 16, []schedule.UrgentArrival{{Service: "t", Submitted: testStart, Accelerators: 64, Estimate: time.Second}}, 11, false},
		{"a small cluster keeps none", 3, []schedule.UrgentArrival{arrival(0, 16)}, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := waitingUnit(newStep(8), 1)
			w.Priority, w.Submitted, w.Estimate, w.Objective = 1, testStart, time.Second, testStart.Add(time.Minute)
			v := &schedule.View{
				Now: testStart.Add(4 * time.Second), Workers: newWorkers(tt.workers), SpreadCounts: make([]map[int]int, 1),
				Waiting: []schedule.WaitingUnit{w}, UrgentArrivals: tt.arrivals,
			}
			for i := range tt.running {
				v.Running = append(v.Running, runningUnit("b", 1, newStep(8), i))
			}
			if got := len(schedule.ComputePlan(v).Deferrals) > 0; got != tt.deferred {
				t.Errorf("deferred is %v, want %v", got, tt.deferred)
			}
		})
	}
}

// What was preempted for a unit by earlier plans counts when it is to preempt more beyond its guarantee. Within the
// guarantee it may always preempt.
func TestPreemptionsOfAUnitAreBounded(t *testing.T) {
	tests := []struct {
		name       string
		before     float64 // Core seconds.
		guaranteed int
		want       int
	}{
		{"the first preemption", 0, 0, 1},
		{"less than twice its own work so far", 100, 0, 1},
		{"twice its own work", 129, 0, 0},
		{"twice its own work, within the guarantee", 129, 8, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newStep(8) // 65 cores for a second.
			s.Estimate = time.Second
			batch := runningUnit("b", 1, s, 0)
			batch.LostRunTime = 100 * time.Millisecond
			w := waitingUnit(s, 1)
			w.Team, w.Priority, w.Objective, w.PreemptionCost = "a", 0, testStart.Add(time.Minute), tt.before
			v := &schedule.View{
				Now: testStart, Workers: newWorkers(1), SpreadCounts: make([]map[int]int, 1),
				Running: []schedule.RunningUnit{batch}, Waiting: []schedule.WaitingUnit{w},
				Guaranteed: map[string]int{"a": tt.guaranteed},
			}
			if got := len(schedule.ComputePlan(v).Preemptions); got != tt.want {
				t.Errorf("%d preemptions, want %d", got, tt.want)
			}
		})
	}
}

// A unit that has given way twice runs on beside urgent work beyond guarantees; within one, that still preempts it.
func TestUnitGivesWayOnlySoOften(t *testing.T) {
	tests := []struct{ gaveWay, guaranteed, want int }{{0, 0, 1}, {1, 0, 1}, {2, 0, 0}, {2, 8, 1}, {9, 8, 1}}
	for _, tt := range tests {
		batch := runningUnit("b", 1, newStep(8), 0)
		batch.GaveWay = tt.gaveWay
		w := waitingUnit(newStep(8), 1)
		w.Team, w.Priority = "a", 0
		v := &schedule.View{
			Now: testStart, Workers: newWorkers(1), SpreadCounts: make([]map[int]int, 1),
			Running: []schedule.RunningUnit{batch}, Waiting: []schedule.WaitingUnit{w},
			Guaranteed: map[string]int{"a": tt.guaranteed},
		}
		if got := len(schedule.ComputePlan(v).Preemptions); got != tt.want {
			t.Errorf("it gave way %d times, %d accelerators are guaranteed: %d preemptions, want %d", tt.gaveWay, tt.guaranteed, got, tt.want)
		}
	}
}
