package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/schedule"
	"sniperill.example/sniperill/pkg/workflow"
)

var epoch = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// fleet returns workers of 8 accelerators, three to a rack.
func fleet(n int) []schedule.Worker {
	out := make([]schedule.Worker, n)
	for i := range out {
		out[i] = schedule.Worker{Open: true, Worker: workflow.Worker{
			Service: "s", Rack: fmt.Sprintf("r1-%d", i/3),
			Room: workflow.Room{MilliCores: 128000, MemoryMB: 262144, Accelerators: 8},
		}}
	}
	return out
}

func step(accelerators int) *workflow.Step {
	return &workflow.Step{
		Count: 1, Estimate: 10 * time.Second,
		Room: workflow.Room{MilliCores: 1000, MemoryMB: 1000, Accelerators: accelerators},
	}
}

// waits returns a unit of priority 1 that was submitted at the epoch.
func waits(s *workflow.Step, members int) schedule.Waiting {
	return schedule.Waiting{
		Team: "t", Service: "s", Priority: 1, Step: s, Members: members, Avoid: -1,
		Ready: epoch, Submitted: epoch, Objective: epoch.Add(time.Minute), Late: epoch.Add(3 * time.Minute),
		Estimate: s.Estimate,
	}
}

func TestTasksOfAStepAreSpread(t *testing.T) {
	s := step(1)
	s.MaxPerWorker = 2
	tests := []struct {
		name   string
		beside map[int]int // Of the step's tasks that run already.
		units  int
		want   map[int]int // Starts by worker.
	}{
		{"within one plan", nil, 5, map[int]int{0: 2, 1: 2}},
		{"beside those that run", map[int]int{0: 1, 1: 2}, 5, map[int]int{0: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := &schedule.View{Now: epoch, Workers: fleet(2), Beside: []map[int]int{tt.beside}}
			for range tt.units {
				v.Waiting = append(v.Waiting, waits(s, 1))
			}
			got := make(map[int]int)
			for _, start := range schedule.Next(v).Starts {
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

// running returns a unit of one task per worker.
func running(team string, priority int, s *workflow.Step, workers ...int) schedule.Running {
	return schedule.Running{Team: team, Priority: priority, Step: s, Workers: workers, Left: 5 * time.Second}
}

// Urgent work beyond a team's guarantee gives way to another team's guarantee, once:
// it must not take the room back in the next plan because it was submitted first.
func TestWorkBeyondAGuaranteeDoesNotTakeRoomBack(t *testing.T) {
	s := step(8)
	beyond := waits(s, 1)
	beyond.Team, beyond.Priority = "greedy", 0
	within := waits(s, 1)
	within.Team, within.Priority = "owner", 0
	within.Submitted, within.Objective = epoch.Add(time.Second), epoch.Add(2*time.Minute)
	v := &schedule.View{
		Now: epoch.Add(time.Second), Workers: fleet(2), Beside: make([]map[int]int, 1),
		Running:    []schedule.Running{running("greedy", 0, s, 0)},
		Waiting:    []schedule.Waiting{beyond, within},
		Guaranteed: map[string]int{"greedy": 8, "owner": 8},
	}
	want := schedule.Plan{Starts: []schedule.Start{{Waiting: 1, Workers: []int{1}}}}
	if diff := cmp.Diff(want, schedule.Next(v)); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
}

// A burst of urgent work beyond all guarantees: batch work that has slack gives way
// as long as the urgent work may still be on time, and when it costs less than that is worth.
func TestUrgentWorkBeyondAGuaranteeMayEvictCheaply(t *testing.T) {
	urgent := step(8)
	batch := step(8)
	tests := []struct {
		name string
		lost time.Duration // By the batch work, if it is stopped.
		left time.Duration // Until the urgent work's objective.
		want int           // Stops.
	}{
		{"cheap and still on time", time.Second, 10500 * time.Millisecond, 1},
		{"cheap, and it could wait by its estimate", time.Second, 30 * time.Second, 1},
		{"cheap, and it is late by its estimate", time.Second, 5 * time.Second, 1},
		{"cheap, but its objective has passed", time.Second, -time.Second, 0},
		{"dear", 40 * time.Second, 10500 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := waits(urgent, 1)
			w.Priority, w.Objective = 0, epoch.Add(tt.left)
			r := running("other", 1, batch, 0)
			r.Lost = tt.lost
			v := &schedule.View{
				Now: epoch, Workers: fleet(1), Beside: make([]map[int]int, 1),
				Running: []schedule.Running{r}, Waiting: []schedule.Waiting{w},
			}
			if got := len(schedule.Next(v).Stops); got != tt.want {
				t.Errorf("%d units give way, want %d", got, tt.want)
			}
		})
	}
}

// Urgent work that has only just started has lost little, and yet it is the last that
// should give way: it would be late, while batch work has slack.
func TestBatchWorkGivesWayBeforeUrgentWork(t *testing.T) {
	s := step(8)
	batch, urgent := running("other", 1, s, 0), running("greedy", 0, s, 1)
	batch.Lost, urgent.Lost = 5*time.Second, 0
	w := waits(s, 1)
	w.Team, w.Priority = "owner", 0
	v := &schedule.View{
		Now: epoch, Workers: fleet(2), Beside: make([]map[int]int, 1),
		Running: []schedule.Running{batch, urgent}, Waiting: []schedule.Waiting{w},
		Guaranteed: map[string]int{"owner": 8},
	}
	if diff := cmp.Diff([]schedule.Stop{{Running: 0, For: 0}}, schedule.Next(v).Stops); diff != "" {
		t.Errorf("stops (-want +got):\n%s", diff)
	}
}

// Several tasks give way to one, and the first to end waits again while the others still
// stop. The room is kept: it neither starts there again nor is other work chosen to give
// way in its place because that has lost less by now.
func TestRoomBeingMadeIsKept(t *testing.T) {
	half, whole := step(4), step(8)
	stopping, fresh := running("greedy", 0, half, 0), running("greedy", 0, whole, 1)
	stopping.Stopping, fresh.Lost = true, 0
	back := waits(half, 1)
	back.Team, back.Priority = "greedy", 0
	w := waits(whole, 1)
	w.Team, w.Priority = "owner", 0
	w.Submitted, w.Objective = epoch.Add(time.Second), epoch.Add(2*time.Minute)
	tests := []struct {
		name string
		kept []int
		want schedule.Plan
	}{
		{"kept", []int{0}, schedule.Plan{Keeps: []schedule.Keep{{Waiting: 1, Workers: []int{0}}}}},
		{"kept on a worker that is full again", []int{1}, schedule.Plan{
			Keeps: []schedule.Keep{{Waiting: 1, Workers: []int{0}}},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := w
			w.Kept = tt.kept
			v := &schedule.View{
				Now: epoch.Add(time.Second), Workers: fleet(2), Beside: make([]map[int]int, 1),
				Running: []schedule.Running{stopping, fresh}, Waiting: []schedule.Waiting{back, w},
				Guaranteed: map[string]int{"owner": 8},
			}
			if diff := cmp.Diff(tt.want, schedule.Next(v)); diff != "" {
				t.Errorf("plan (-want +got):\n%s", diff)
			}
		})
	}
}

// A burst of urgent work of a team beyond its guarantee meets urgent work within one. The
// days of this pattern had tasks that were started and evicted fifty times.
func TestEvictedWorkDoesNotThrash(t *testing.T) {
	r := newReplay(3)
	for i := range 6 {
		r.submit("greedy", 4, 4*time.Second, time.Duration(i)*10*time.Millisecond)
	}
	for i := range 4 {
		r.submit("owner", 5, 3*time.Second, time.Second+time.Duration(i)*5*time.Millisecond)
	}
	r.guaranteed = map[string]int{"greedy": 4, "owner": 24}
	r.run(t, 30*time.Second)
	if most := 6; r.stops > most {
		t.Errorf("%d stops, at most one for each of %d tasks that may give way", r.stops, most)
	}
}

// A backlog of batch work that has time left: it doesn't take the room in which urgent work could
// start at once.
func TestWorkWithTimeLeftLeavesRoomForUrgentWork(t *testing.T) {
	s, endless, plain := step(8), step(8), step(0)
	endless.Endless = true
	tests := []struct {
		name          string
		workers, busy int
		step          *workflow.Step
		priority      int
		waited        time.Duration
		left          time.Duration // Until the objective; the estimate is 10 s.
		want          int           // Starts.
	}{
		{"room stays", 8, 5, s, 1, 0, time.Minute, 1},
		{"it would take the room", 8, 6, s, 1, 0, time.Minute, 0},
		{"it would take the room, and its time is short", 8, 6, s, 1, 0, 20 * time.Second, 1},
		{"it has waited long", 8, 6, s, 1, 11 * time.Second, time.Minute, 1},
		{"urgent work", 8, 6, s, 0, 0, time.Minute, 1},
		{"endless work", 8, 6, endless, 1, 0, time.Minute, 1},
		{"work without accelerators", 8, 8, plain, 1, 0, time.Minute, 1},
		{"a fleet too small to keep a worker", 3, 2, s, 1, 0, time.Minute, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := waits(tt.step, 1)
			now := epoch.Add(tt.waited)
			w.Priority, w.Objective = tt.priority, now.Add(tt.left)
			v := &schedule.View{Now: now, Workers: fleet(tt.workers), Waiting: []schedule.Waiting{w}, Beside: make([]map[int]int, 1)}
			for i := range tt.busy {
				v.Running = append(v.Running, running("t", 1, s, i))
			}
			plan := schedule.Next(v)
			if diff := cmp.Diff(tt.want, len(plan.Starts)); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1-tt.want, len(plan.Defers)); diff != "" {
				t.Errorf("waits for kept room (-want +got):\n%s", diff)
			}
		})
	}
}
