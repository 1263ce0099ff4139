package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/schedule"
	"sniperill.example/sniperill/pkg/workflow"
)

var testStart = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// newWorkers returns workers with 8 accelerators each, three to a rack.
func newWorkers(n int) []schedule.Worker {
	out := make([]schedule.Worker, n)
	for i := range out {
		out[i] = schedule.Worker{Schedulable: true, Worker: workflow.Worker{
			Service: "s", Rack: fmt.Sprintf("r1-%d", i/3),
			Resources: workflow.Resources{MilliCores: 128000, MemoryMB: 262144, Accelerators: 8},
		}}
	}
	return out
}

func newStep(accelerators int) *workflow.Step {
	return &workflow.Step{
		Count: 1, Estimate: 10 * time.Second,
		Resources: workflow.Resources{MilliCores: 1000, MemoryMB: 1000, Accelerators: accelerators},
	}
}

// waitingUnit returns a unit of priority 1 that was submitted at testStart.
func waitingUnit(s *workflow.Step, members int) schedule.WaitingUnit {
	return schedule.WaitingUnit{
		Team: "t", Service: "s", Priority: 1, Step: s, Members: members,
		ReadySince: testStart, Submitted: testStart, Objective: testStart.Add(time.Minute), HardDeadline: testStart.Add(3 * time.Minute),
		Estimate: s.Estimate,
	}
}

func TestMaxPerWorkerSpreadsTasks(t *testing.T) {
	s := newStep(1)
	s.MaxPerWorker = 2
	tests := []struct {
		name    string
		running map[int]int // Running tasks of the step by worker.
		units   int
		want    map[int]int // Starts by worker.
	}{
		{"within one plan", nil, 5, map[int]int{0: 2, 1: 2}},
		{"with tasks that run already", map[int]int{0: 1, 1: 2}, 5, map[int]int{0: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := &schedule.View{Now: testStart, Workers: newWorkers(2), SpreadCounts: []map[int]int{tt.running}}
			for range tt.units {
				v.Waiting = append(v.Waiting, waitingUnit(s, 1))
			}
			got := make(map[int]int)
			for _, start := range schedule.ComputePlan(v).Starts {
				for _, w := range start.Workers {
					got[w]++
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("starts by worker (-want +got):\n%s", diff)
			}
		})
	}
}

// runningUnit returns a unit with one task on each of the workers.
func runningUnit(team string, priority int, s *workflow.Step, workers ...int) schedule.RunningUnit {
	return schedule.RunningUnit{Team: team, Priority: priority, Step: s, Workers: workers, RemainingRunTime: 5 * time.Second}
}

// Urgent work beyond its team's guarantee is preempted for another team's work within a guarantee.
// It must not preempt that work in the next plan merely because it was submitted first.
func TestWorkBeyondGuaranteeDoesNotPreemptBack(t *testing.T) {
	s := newStep(8)
	beyond := waitingUnit(s, 1)
	beyond.Team, beyond.Priority = "greedy", 0
	within := waitingUnit(s, 1)
	within.Team, within.Priority = "owner", 0
	within.Submitted, within.Objective = testStart.Add(time.Second), testStart.Add(2*time.Minute)
	v := &schedule.View{
		Now: testStart.Add(time.Second), Workers: newWorkers(2), SpreadCounts: make([]map[int]int, 1),
		Running:    []schedule.RunningUnit{runningUnit("greedy", 0, s, 0)},
		Waiting:    []schedule.WaitingUnit{beyond, within},
		Guaranteed: map[string]int{"greedy": 8, "owner": 8},
	}
	want := schedule.Plan{Starts: []schedule.Start{{WaitingIndex: 1, Workers: []int{1}}}}
	if diff := cmp.Diff(want, schedule.ComputePlan(v)); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
}

// A burst of urgent work beyond all guarantees preempts batch work, which has time to spare, as
// long as the urgent work may still be on time and the preemption costs less than that is worth.
func TestUrgentWorkBeyondGuaranteePreemptsOnlyIfCheap(t *testing.T) {
	urgent := newStep(8)
	batch := newStep(8)
	tests := []struct {
		name string
		lost time.Duration // Run time that the batch work loses if it is stopped.
		left time.Duration // Time until the urgent work's objective.
		want int           // Preemptions.
	}{
		{"cheap and still on time", time.Second, 10500 * time.Millisecond, 1},
		{"cheap, and by its estimate it could still wait", time.Second, 30 * time.Second, 1},
		{"cheap, but by its estimate it is late", time.Second, 5 * time.Second, 1},
		{"cheap, but its objective has passed", time.Second, -time.Second, 0},
		{"expensive", 40 * time.Second, 10500 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := waitingUnit(urgent, 1)
			w.Priority, w.Objective = 0, testStart.Add(tt.left)
			r := runningUnit("other", 1, batch, 0)
			r.LostRunTime = tt.lost
			v := &schedule.View{
				Now: testStart, Workers: newWorkers(1), SpreadCounts: make([]map[int]int, 1),
				Running: []schedule.RunningUnit{r}, Waiting: []schedule.WaitingUnit{w},
			}
			if got := len(schedule.ComputePlan(v).Preemptions); got != tt.want {
				t.Errorf("%d preemptions, want %d", got, tt.want)
			}
		})
	}
}

// Urgent work that has just started has lost little, yet it must be the last to be preempted: it
// would be late, while batch work has time to spare.
func TestBatchWorkIsPreemptedBeforeUrgentWork(t *testing.T) {
	s := newStep(8)
	batch, urgent := runningUnit("other", 1, s, 0), runningUnit("greedy", 0, s, 1)
	batch.LostRunTime, urgent.LostRunTime = 5*time.Second, 0
	w := waitingUnit(s, 1)
	w.Team, w.Priority = "owner", 0
	v := &schedule.View{
		Now: testStart, Workers: newWorkers(2), SpreadCounts: make([]map[int]int, 1),
		Running: []schedule.RunningUnit{batch, urgent}, Waiting: []schedule.WaitingUnit{w},
		Guaranteed: map[string]int{"owner": 8},
	}
	if diff := cmp.Diff([]schedule.Preemption{{VictimIndex: 0, PreemptorIndex: 0}}, schedule.ComputePlan(v).Preemptions); diff != "" {
		t.Errorf("preemptions (-want +got):\n%s", diff)
	}
}

// Several tasks are preempted for one, and the first to end waits again while the others are still
// stopping. The resources stay reserved: that task must not start there again, and no other work
// may be preempted instead because it has lost less by now.
func TestReservationHoldsWhileVictimsStop(t *testing.T) {
	half, whole := newStep(4), newStep(8)
	stopping, fresh := runningUnit("greedy", 0, half, 0), runningUnit("greedy", 0, whole, 1)
	stopping.Stopping, fresh.LostRunTime = true, 0
	requeued := waitingUnit(half, 1)
	requeued.Team, requeued.Priority = "greedy", 0
	w := waitingUnit(whole, 1)
	w.Team, w.Priority = "owner", 0
	w.Submitted, w.Objective = testStart.Add(time.Second), testStart.Add(2*time.Minute)
	tests := []struct {
		name     string
		reserved []int
		want     schedule.Plan
	}{
		{"reserved worker will have room", []int{0}, schedule.Plan{Reservations: []schedule.Reservation{{WaitingIndex: 1, Workers: []int{0}}}}},
		{"reserved worker is full again", []int{1}, schedule.Plan{
			Reservations: []schedule.Reservation{{WaitingIndex: 1, Workers: []int{0}}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := w
			w.ReservedWorkers = tt.reserved
			v := &schedule.View{
				Now: testStart.Add(time.Second), Workers: newWorkers(2), SpreadCounts: make([]map[int]int, 1),
				Running: []schedule.RunningUnit{stopping, fresh}, Waiting: []schedule.WaitingUnit{requeued, w},
				Guaranteed: map[string]int{"owner": 8},
			}
			if diff := cmp.Diff(tt.want, schedule.ComputePlan(v)); diff != "" {
				t.Errorf("plan (-want +got):\n%s", diff)
			}
		})
	}
}

// A burst of urgent work beyond its team's guarantee meets urgent work within one. Days with this
// pattern had tasks that were started and preempted fifty times.
func TestPreemptionDoesNotThrash(t *testing.T) {
	r := newReplay(3)
	for i := range 6 {
		r.submit("greedy", 4, 4*time.Second, time.Duration(i)*10*time.Millisecond)
	}
	for i := range 4 {
		r.submit("owner", 5, 3*time.Second, time.Second+time.Duration(i)*5*time.Millisecond)
	}
	r.guaranteed = map[string]int{"greedy": 4, "owner": 24}
	r.run(t, 30*time.Second)
	if limit := 6; r.preemptions > limit {
		t.Errorf("%d preemptions, want at most one for each of %d preemptible tasks", r.preemptions, limit)
	}
}

// A backlog of batch work with time to spare must not take the accelerators on which urgent work
// could start at once.
func TestDeferrableWorkLeavesHeadroom(t *testing.T) {
	s, endless, plain := newStep(8), newStep(8), newStep(0)
	endless.Endless = true
	tests := []struct {
		name          string
		workers, busy int
		step          *workflow.Step
		priority      int
		waited        time.Duration
		left          time.Duration // Time until the objective; the estimate is 10 s.
		want          int           // Starts.
	}{
		{"enough stays free", 8, 5, s, 1, 0, time.Minute, 1},
		{"too little would stay free", 8, 6, s, 1, 0, time.Minute, 0},
		{"too little would stay free, but little time is left", 8, 6, s, 1, 0, 20 * time.Second, 1},
		{"it has been deferred for too long", 8, 6, s, 1, 11 * time.Second, time.Minute, 1},
		{"urgent work", 8, 6, s, 0, 0, time.Minute, 1},
		{"endless work", 8, 6, endless, 1, 0, time.Minute, 1},
		{"work without accelerators", 8, 8, plain, 1, 0, time.Minute, 1},
		{"too few workers to keep one free", 3, 2, s, 1, 0, time.Minute, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := waitingUnit(tt.step, 1)
			now := testStart.Add(tt.waited)
			w.Priority, w.Objective = tt.priority, now.Add(tt.left)
			v := &schedule.View{Now: now, Workers: newWorkers(tt.workers), Waiting: []schedule.WaitingUnit{w}, SpreadCounts: make([]map[int]int, 1)}
			for i := range tt.busy {
				v.Running = append(v.Running, runningUnit("t", 1, s, i))
			}
			plan := schedule.ComputePlan(v)
			if diff := cmp.Diff(tt.want, len(plan.Starts)); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1-tt.want, len(plan.Deferrals)); diff != "" {
				t.Errorf("deferrals (-want +got):\n%s", diff)
			}
		})
	}
}

// A unit that has failed on a worker prefers all others, but is not kept from the only one that has room.
func TestWorkerOfFailedUnitIsLastResort(t *testing.T) {
	full := newStep(8)
	tests := []struct {
		name    string
		running []int         // Workers that are full.
		since   time.Duration // Time since the failure on the first worker.
		want    []int         // The workers of the unit, none if it waits.
	}{
		{"another worker has room", nil, time.Second, []int{1}},
		{"another worker has room, later", nil, time.Minute, []int{1}},
		{"no other has room", []int{1, 2}, time.Second, nil},
		{"no other has had room for a while", []int{1, 2}, 2 * time.Second, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := waitingUnit(full, 1)
			w.AvoidWorkers, w.AvoidUntil = []int{0}, testStart.Add(2*time.Second)
			v := &schedule.View{
				Now: testStart.Add(tt.since), Workers: newWorkers(3), SpreadCounts: make([]map[int]int, 1),
				Waiting: []schedule.WaitingUnit{w},
			}
			for _, i := range tt.running {
				v.Running = append(v.Running, runningUnit("t", 1, full, i))
			}
			var got []int
			for _, s := range schedule.ComputePlan(v).Starts {
				got = append(got, s.Workers...)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("workers (-want +got):\n%s", diff)
			}
		})
	}
}

// What is kept for a blocked gang lets through what ends before the gang can start, by its estimate, but
// nothing that would delay it.
func TestReservationOfBlockedGangIsBackfilled(t *testing.T) {
	large := newStep(8)
	tests := []struct {
		name      string
		estimate  time.Duration
		remaining time.Duration // Of the unit that blocks the gang.
		waited    time.Duration // By the gang.
		want      int           // Starts.
	}{
		{"ends long before", 4 * time.Second, 40 * time.Second, time.Second, 2},
		{"ends just before", 4 * time.Second, 8 * time.Second, time.Second, 2},
		{"may end after", 4 * time.Second, 7 * time.Second, time.Second, 0},
		{"the gang has waited long", 4 * time.Second, 40 * time.Second, time.Minute, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			gang := waitingUnit(large, 3)
			gang.Priority = 0
			gang.Objective = testStart // It may no longer preempt.
			short := waitingUnit(newStep(8), 1)
			short.Estimate, short.Submitted = tt.estimate, testStart.Add(-time.Minute)
			blocking := runningUnit("t", 1, large, 2)
			blocking.RemainingRunTime = tt.remaining
			v := &schedule.View{
				Now: testStart.Add(tt.waited), Workers: newWorkers(3), SpreadCounts: make([]map[int]int, 1),
				Running: []schedule.RunningUnit{blocking}, Waiting: []schedule.WaitingUnit{gang, short, short, short},
			}
			if got := len(schedule.ComputePlan(v).Starts); got != tt.want {
				t.Errorf("%d units start, want %d", got, tt.want)
			}
		})
	}
}

// A paused worker is the last resort for what no other worker could take.
func TestPausedWorkerIsLastResort(t *testing.T) {
	labelled := newStep(1)
	labelled.Label = "b"
	tests := []struct {
		name   string
		step   *workflow.Step
		waited time.Duration
		full   bool // The other worker is full.
		want   []int
	}{
		{"another worker has room", newStep(1), 10 * time.Second, false, []int{1}},
		{"another worker could take it", newStep(1), 10 * time.Second, true, nil},
		{"no other could, for a moment", labelled, time.Second, false, nil},
		{"no other could, for a while", labelled, 2 * time.Second, false, []int{0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := &schedule.View{
				Now: testStart.Add(tt.waited), Workers: newWorkers(2), SpreadCounts: make([]map[int]int, 1),
				Waiting: []schedule.WaitingUnit{waitingUnit(tt.step, 1)},
			}
			v.Workers[0].Paused = true
			v.Workers[0].Labels = []string{"b"}
			if tt.full {
				v.Running = append(v.Running, runningUnit("t", 1, newStep(8), 1))
			}
			var got []int
			for _, s := range schedule.ComputePlan(v).Starts {
				got = append(got, s.Workers...)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("workers (-want +got):\n%s", diff)
			}
		})
	}
}

// Too few workers are left for all guarantees. Urgent work that runs within its team's guarantee is not stopped
// for another team's: one of them must wait, and stopping would throw work away as well. What waits goes first as
// soon as there is room, before urgent work beyond a guarantee that was submitted earlier.
func TestGuaranteesBeyondWorkersThatAreLeft(t *testing.T) {
	gang := newStep(4)
	gang.Gang, gang.Count = true, 3
	running := runningUnit("first", 0, gang, 0, 0, 1)
	running.Submitted = testStart
	within := waitingUnit(newStep(8), 1)
	within.Team, within.Priority, within.Submitted = "second", 0, testStart.Add(3*time.Second)
	beyond := waitingUnit(newStep(4), 4)
	beyond.Team, beyond.Priority, beyond.Submitted = "third", 0, testStart.Add(time.Second)
	v := &schedule.View{
		Now: testStart.Add(6 * time.Second), Workers: newWorkers(2), Running: []schedule.RunningUnit{running},
		Waiting: []schedule.WaitingUnit{beyond, within}, SpreadCounts: []map[int]int{nil},
		Guaranteed: map[string]int{"first": 16, "second": 8, "third": 8},
	}
	if plan := schedule.ComputePlan(v); len(plan.Starts)+len(plan.Preemptions) != 0 {
		t.Errorf("with 16 accelerators for guarantees of 32: %+v, want no starts and no preemptions", plan)
	}
	v.Running = nil
	want := []schedule.Start{{WaitingIndex: 1, Workers: []int{0}}}
	if diff := cmp.Diff(want, schedule.ComputePlan(v).Starts); diff != "" {
		t.Errorf("starts after the first team's work (-want +got):\n%s", diff)
	}
}
