package schedule_test

import (
	"cmp"
	"slices"
	"testing"

	"sniperill.example/sniperill/internal/schedule"
	"sniperill.example/sniperill/pkg/workflow"
)

// baseline returns a scheduler without priorities, guarantees, preemption and reservations. It
// takes units in the given order and puts each on the fullest workers that it fits on. A unit that
// doesn't fit is skipped, or blocks all that follow.
func baseline(order func(a, b *schedule.WaitingUnit) int, skip bool) func(*schedule.View) schedule.Plan {
	return func(v *schedule.View) schedule.Plan {
		var plan schedule.Plan
		free := make([]workflow.Resources, len(v.Workers))
		for i, w := range v.Workers {
			free[i] = w.Resources
		}
		for _, r := range v.Running {
			for _, w := range r.Workers {
				free[w] = free[w].Minus(r.Step.Demand())
			}
		}
		waiting := make([]int, len(v.Waiting))
		for i := range waiting {
			waiting[i] = i
		}
		slices.SortStableFunc(waiting, func(a, b int) int { return order(&v.Waiting[a], &v.Waiting[b]) })
		for _, i := range waiting {
			w := &v.Waiting[i]
			placement := bestFit(free, v.Workers, w)
			if placement != nil {
				plan.Starts = append(plan.Starts, schedule.Start{WaitingIndex: i, Workers: placement})
			} else if !skip {
				break
			}
		}
		return plan
	}
}

// bestFit allocates resources for all members on the fullest workers, within one rack if the unit
// asks for it. It returns nil if not all fit.
func bestFit(free []workflow.Resources, workers []schedule.Worker, w *schedule.WaitingUnit) []int {
	if !w.Step.SameRack {
		return bestFitWhere(free, w, func(int) bool { return true })
	}
	tried := ""
	for i := range workers {
		if rack := workers[i].Rack; rack != tried {
			tried = rack
			if placement := bestFitWhere(free, w, func(k int) bool { return workers[k].Rack == rack }); placement != nil {
				return placement
			}
		}
	}
	return nil
}

func bestFitWhere(free []workflow.Resources, w *schedule.WaitingUnit, allowed func(worker int) bool) []int {
	before := slices.Clone(free)
	var placement []int
	for range w.Members {
		best := -1
		for i := range free {
			if allowed(i) && free[i].Fits(w.Step.Demand()) && (best < 0 || free[i].Accelerators < free[best].Accelerators) {
				best = i
			}
		}
		if best < 0 {
			copy(free, before)
			return nil
		}
		free[best] = free[best].Minus(w.Step.Demand())
		placement = append(placement, best)
	}
	return placement
}

// The schedule must serve each order desk better than simple baselines, with and without a power
// loss.
func TestLoadBeatsBaselines(t *testing.T) {
	byArrival := func(a, b *schedule.WaitingUnit) int { return a.Submitted.Compare(b.Submitted) }
	byEstimate := func(a, b *schedule.WaitingUnit) int { return cmp.Compare(a.Estimate, b.Estimate) }
	baselines := []struct {
		name        string
		computePlan func(*schedule.View) schedule.Plan
	}{
		{"first come, first served", baseline(byArrival, false)},
		{"best fit by arrival", baseline(byArrival, true)},
		{"best fit, shortest estimate first", baseline(byEstimate, true)},
	}
	for _, tt := range loadCases {
		t.Run(tt.name, func(t *testing.T) {
			days := 60
			if tt.workers > 11 {
				days = 4 // With 61 or 74 workers, a day takes ten times as long to simulate.
			}
			ours := tt.meanResult(days, schedule.ComputePlan)
			for _, b := range baselines {
				other := tt.meanResult(days, b.computePlan)
				t.Logf("%s: score %.3f, %.3f of urgent work late; the schedule: %.3f, %.3f", b.name, other.score(), other.urgentLateShare, ours.score(), ours.urgentLateShare)
				if ours.score() <= other.score() || ours.urgentLateShare >= other.urgentLateShare {
					t.Errorf("%s serves the desk at least as well", b.name)
				}
			}
		})
	}
}
