package standin

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/workflow"
)

func TestRunGoesOnWhileItIsBeingStopped(t *testing.T) {
	const task = "0000000000000001.0.0.0"
	for _, tt := range []struct {
		name     string
		duration time.Duration
		lease    time.Duration // From now.
		stop     bool          // It is stopped after a second.
		end      host.End
		took     time.Duration
	}{
		{"stopped", time.Minute, time.Hour, true, host.Stopped, 1200 * time.Millisecond},
		{"done before it has been stopped", 1100 * time.Millisecond, time.Hour, true, host.Done, 1100 * time.Millisecond},
		{"lease lapsed", 2100 * time.Millisecond, 2 * time.Second, false, host.Lapsed, 2200 * time.Millisecond},
		{"lease lapsed while it was being stopped", time.Minute, 1100 * time.Millisecond, true, host.Stopped, 1200 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock.OverrideNow(clock.VirtualNow)
				var checker RunChecker
				executor := func(id string) *Executor {
					e := &Executor{
						Lifetime: host.Lifetime{ID: id}, Resources: workflow.Resources{MilliCores: 1},
						Requirements: func(string) (workflow.Resources, time.Duration) {
							return workflow.Resources{MilliCores: 1}, tt.duration
						},
						StopTime: func() time.Duration { return 200 * time.Millisecond },
					}
					checker.Watch(e)
					return e
				}
				first, second := executor("first"), executor("second")
				lifetime, began := first.Lifetime.String(), clock.Now()
				leaseEnd := first.Clock() + tt.lease
				if err := first.start(t.Context(), host.Start{Lifetime: lifetime, Task: task, Run: 1, LeaseEnd: leaseEnd}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if tt.stop {
					if err := first.stop(t.Context(), host.Stop{Lifetime: lifetime, Task: task, Run: 1}); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(tt.took - time.Second - time.Millisecond)
				state, err := first.poll(t.Context(), host.PollRequest{Lifetime: lifetime})
				if err != nil || len(state.Running) != 1 || len(state.Ended) != 0 {
					t.Errorf("just before its end: state %+v, error %v; want the run running", state, err)
				}
				if err := first.start(t.Context(), host.Start{Lifetime: lifetime, Task: "0000000000000002.0.0.0", Run: 1, LeaseEnd: time.Hour}); err == nil {
					t.Error("another task was started in the room of one that still runs")
				}
				if err := second.start(t.Context(), host.Start{Lifetime: second.Lifetime.String(), Task: task, Run: 2, LeaseEnd: time.Hour}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Microsecond)
				if got := len(checker.Violations()); got != 1 {
					t.Errorf("%d violations while run 1 is still running and run 2 has begun, want 1", got)
				}
				time.Sleep(time.Second)
				want := []ExecutorSpan{{Lifetime: first.Lifetime, Task: task, Run: 1, Number: 1, From: began, To: began.Add(tt.took), End: tt.end}}
				if diff := cmp.Diff(want, checker.allSpans()[task][:1]); diff != "" {
					t.Errorf("spans (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against a silent or crashed worker that still told callers of another lifetime that it is not theirs.
func TestUnreachableMachineDoesNotAnswer(t *testing.T) {
	for _, tt := range []struct {
		name string
		fail func(*Executor)
	}{
		{"silent", func(e *Executor) { e.Silence(true) }},
		{"crashed", (*Executor).Crash},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock.OverrideNow(clock.VirtualNow)
				var m Machine
				m.SetExecutor(&Executor{Lifetime: host.Lifetime{ID: "w"}})
				tt.fail(m.Executor())
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := m.Worker().Poll(ctx, host.PollRequest{Lifetime: host.Lifetime{ID: "other"}.String()})
				if err == nil || errors.Is(err, host.ErrOtherLifetime) {
					t.Errorf("poll: %v, want no answer", err)
				}
			})
		})
	}
}
