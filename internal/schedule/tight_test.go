package schedule_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/schedule"
)

// Loads of two order desks whose urgent work comes in bursts. The first one has too little room: a burst needs
// nearly half of it.
var (
	rosterClasses = []jobClass{
		{1, 3, 0.9, 0.6, 2.3, 8500 * time.Millisecond, 0.3, 11 * time.Second, 5.6, 34, []int{1, 2, 4, 8, 8}, 26000, 68000, 3, time.Second, 1, 0.6, 0.45, 0.5},
		{0, 4, 0.8, 1.38, 2.2, 2500 * time.Millisecond, 0.5, 8 * time.Second, 5.4, 32, []int{1, 2, 4, 8, 8}, 7500, 20000, 1.5, 250 * time.Millisecond, 1, 0.8, 0, 0.9},
		{2, 1, 0.3, 0.32, 2.6, 7000 * time.Millisecond, 0.3, 11 * time.Second, 45, 230, []int{1}, 5600, 8200, 3, 3 * time.Second, 0, 0, 0.45, 0.2},
	}
	ledgerClasses = []jobClass{
		{1, 3, 1.5, 0.43, 2.2, 9400 * time.Millisecond, 0.3, 99 * time.Second, 7, 42, []int{1, 2, 4, 8, 8}, 13000, 34000, 3, time.Second, 1, 0.6, 0.45, 0.5},
		{0, 4, 0.8, 1.23, 2.2, 2100 * time.Millisecond, 0.5, 22 * time.Second, 5.4, 32, []int{1, 2, 4, 8, 8}, 3700, 9800, 1.5, 250 * time.Millisecond, 1, 0.8, 0, 0.5},
		{2, 1, 0.5, 0.23, 2.6, 8100 * time.Millisecond, 0.3, 86 * time.Second, 50, 230, []int{1}, 2800, 5700, 3, 3 * time.Second, 0, 0, 0.45, 0.9},
	}
)

var tightCases = []loadCase{
	{"roster", rosterClasses, 54, 10, 9, 64000, 131072, 700 * time.Millisecond, 0},
	{"ledger", ledgerClasses, 68, 10, 8, 32000, 65536, 400 * time.Millisecond, 0},
}

// With too little room, knowing what urgent work comes makes less of it late, and bounding what is preempted for a
// unit, and how often one gives way, throws less work away.
func TestTooLittleRoom(t *testing.T) {
	const days = 12
	got := tightCases[0].meanResult(days, schedule.ComputePlan)
	unknown := tightCases[0].meanResult(days, func(v *schedule.View) schedule.Plan {
		v.UrgentArrivals = nil
		return schedule.ComputePlan(v)
	})
	unbounded := tightCases[0].meanResult(days, func(v *schedule.View) schedule.Plan {
		for i := range v.Waiting {
			v.Waiting[i].PreemptionCost = 0
		}
		for i := range v.Running {
			v.Running[i].GaveWay = 0
		}
		return schedule.ComputePlan(v)
	})
	t.Logf("worth, late, thrown away: %.4f, %.4f, %.4f; nothing known of urgent work %.4f, %.4f, %.4f; without the bounds %.4f, %.4f, %.4f",
		got.score(), got.urgentLateShare, got.wastedShare, unknown.score(), unknown.urgentLateShare, unknown.wastedShare,
		unbounded.score(), unbounded.urgentLateShare, unbounded.wastedShare)
	if got.score() < unknown.score()+0.01 || got.urgentLateShare > 0.9*unknown.urgentLateShare {
		t.Error("the room that is kept free doesn't follow the urgent work")
	}
	if got.wastedShare > 0.95*unbounded.wastedShare {
		t.Error("the bounds save no work")
	}
}
