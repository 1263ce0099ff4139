package schedule_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/schedule"
)

// Guards against work that waits for a rack for ever, or for as long as its estimate says, while sound workers are idle:
// endless tasks had filled a part of each rack that it would fit on.
func TestWorkDoesNotWaitForRackInVain(t *testing.T) {
	endless := newStep(8)
	endless.Endless = true
	finite := newStep(8)
	const racks, perRack = 4, 3
	// fill returns a unit on each of the first n workers of each rack.
	fill := func(step func(rack int) schedule.RunningUnit, n int) (out []schedule.RunningUnit) {
		for r := range racks {
			for i := range n {
				u := step(r)
				u.Workers = []int{r*perRack + i}
				out = append(out, u)
			}
		}
		return out
	}
	lasting := func(int) schedule.RunningUnit { return runningUnit("other", 1, endless) }
	ending := func(int) schedule.RunningUnit { return runningUnit("other", 1, finite) }
	cancelled := func(int) schedule.RunningUnit {
		u := runningUnit("other", 1, endless)
		u.JobFinal = true
		return u
	}
	oneEnding := func(rack int) schedule.RunningUnit {
		if rack == 0 {
			return runningUnit("other", 1, finite)
		}
		return runningUnit("other", 1, endless)
	}
	tests := []struct {
		name     string
		running  []schedule.RunningUnit
		members  int
		priority int
		endless  bool
		dataRack string
		estimate time.Duration
		waits    time.Duration // From when on it starts; negative if it never does.
	}{
		{"a gang beside endless tasks", fill(lasting, 1), 3, 1, false, "", 2 * time.Second, 0},
		{"an urgent gang beside endless tasks", fill(lasting, 1), 3, 0, false, "", 2 * time.Second, 0},
		{"a gang with a long estimate", fill(lasting, 1), 3, 1, false, "", time.Minute, 0},
		{"a gang without an estimate", fill(lasting, 1), 3, 1, false, "", 0, 0},
		{"an endless gang", fill(ending, 1), 3, 1, true, "", 0, 0},
		{"a gang where one rack will be free", fill(oneEnding, 1), 3, 1, false, "", 2 * time.Second, 4 * time.Second},
		{"a gang where racks will be free", fill(ending, 1), 3, 1, false, "", 2 * time.Second, 4 * time.Second},
		{"the same with a long estimate", fill(ending, 1), 3, 1, false, "", time.Minute, 10 * time.Second},
		{"a gang where cancelled jobs still run", fill(cancelled, 1), 3, 1, false, "", 2 * time.Second, 4 * time.Second},
		{"a gang for which less than twice the room is idle", fill(lasting, 1), 5, 1, false, "", 2 * time.Second, 0},
		{"a gang in a loaded cluster", fill(ending, 2), 3, 1, false, "", 2 * time.Second, -1},
		{"a task whose data's rack has endless tasks", fill(lasting, 3)[:3], 1, 1, false, "r1-0", time.Minute, 0},
		{"a task whose data's rack will be free", fill(ending, 3)[:3], 1, 1, false, "r1-0", time.Minute, 10 * time.Second},
		{"an endless task whose data's rack is full", fill(ending, 3)[:3], 1, 1, true, "r1-0", time.Minute, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			step := newStep(8)
			step.Gang, step.SameRack, step.DataRack = tt.members > 1, tt.members > 1, tt.dataRack
			step.Count, step.Estimate, step.Endless = tt.members, tt.estimate, tt.endless
			starts := func(waited time.Duration) bool {
				w := waitingUnit(step, tt.members)
				w.Priority = tt.priority
				w.Submitted = testStart.Add(-time.Minute) // It isn't deferred.
				w.ReadySince = testStart.Add(-waited)
				v := &schedule.View{Now: testStart, Workers: newWorkers(racks * perRack), Running: tt.running, RemoteFactor: 3, Waiting: []schedule.WaitingUnit{w}}
				return len(schedule.ComputePlan(v).Starts) == 1
			}
			const slack = 100 * time.Millisecond
			switch {
			case tt.waits < 0:
				if starts(time.Minute) {
					t.Error("it starts in several racks after a minute")
				}
			case !starts(tt.waits + slack):
				t.Errorf("it doesn't start after %v", tt.waits+slack)
			case tt.waits > 0 && starts(tt.waits-slack):
				t.Errorf("it starts after %v, want not before %v", tt.waits-slack, tt.waits)
			}
		})
	}
}

// A gang that may run in several racks starts in one if that is free.
func TestGangStartsInOneRackIfItCan(t *testing.T) {
	endless := newStep(8)
	endless.Endless = true
	step := newStep(8)
	step.Gang, step.SameRack, step.Count = true, true, 2
	w := waitingUnit(step, 2)
	w.ReadySince = testStart.Add(-time.Minute)
	v := &schedule.View{
		Now: testStart, Workers: newWorkers(9), RemoteFactor: 3, Waiting: []schedule.WaitingUnit{w},
		Running: []schedule.RunningUnit{runningUnit("other", 1, endless, 0), runningUnit("other", 1, endless, 1), runningUnit("other", 1, endless, 3)},
	}
	starts := schedule.ComputePlan(v).Starts
	if len(starts) != 1 || v.Workers[starts[0].Workers[0]].Rack != v.Workers[starts[0].Workers[1]].Rack {
		t.Errorf("starts %v, want one in a single rack", starts)
	}
}
