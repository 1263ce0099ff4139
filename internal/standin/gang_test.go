package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/workflow"
)

// The members of a gang work from the moment when all are there, and end together.
func TestGangMembersEndTogether(t *testing.T) {
	type ended struct {
		End   host.End
		After time.Duration
	}
	const hour = time.Hour
	for _, tt := range []struct {
		name    string
		work    [2]time.Duration
		cold    time.Duration // Of the first executor, which takes twice as long meanwhile.
		lease   time.Duration // Of the first member.
		second  time.Duration // When the second member starts; negative for never.
		stopped time.Duration // When the first one is stopped; zero for never.
		crashed time.Duration // When its executor crashes; zero for never.
		want    [2]ended
		whole   bool
	}{
		{"with the slowest", [2]time.Duration{2 * time.Second, 5 * time.Second}, 0, hour, time.Second, 0, 0, [2]ended{{host.Done, 6 * time.Second}, {host.Done, 6 * time.Second}}, true},
		{"cold for a while", [2]time.Duration{6 * time.Second, 5 * time.Second}, 3 * time.Second, hour, time.Second, 0, 0, [2]ended{{host.Done, 8 * time.Second}, {host.Done, 8 * time.Second}}, true},
		{"cold to the end", [2]time.Duration{6 * time.Second, 5 * time.Second}, time.Minute, hour, time.Second, 0, 0, [2]ended{{host.Done, 13 * time.Second}, {host.Done, 13 * time.Second}}, true},
		{"alone", [2]time.Duration{2 * time.Second, 5 * time.Second}, 0, hour, -1, 0, 0, [2]ended{{host.Alone, 4 * time.Second}, {}}, false},
		{"the second too late", [2]time.Duration{2 * time.Second, 5 * time.Second}, 0, hour, 5 * time.Second, 0, 0, [2]ended{{host.Alone, 4 * time.Second}, {host.Broken, 5 * time.Second}}, false},
		{"stopped", [2]time.Duration{2 * time.Second, 5 * time.Second}, 0, hour, time.Second, 3 * time.Second, 0, [2]ended{{host.Stopped, 3 * time.Second}, {host.Broken, 3 * time.Second}}, false},
		{"crashed", [2]time.Duration{2 * time.Second, 5 * time.Second}, 0, hour, time.Second, 0, 3 * time.Second, [2]ended{{host.Lapsed, 3 * time.Second}, {host.Broken, 3 * time.Second}}, false},
		{"lease lapsed", [2]time.Duration{2 * time.Second, 5 * time.Second}, 0, 3 * time.Second, time.Second, 0, 0, [2]ended{{host.Lapsed, 3 * time.Second}, {host.Broken, 3 * time.Second}}, false},
		{"lease lapsed before the second came", [2]time.Duration{2 * time.Second, 5 * time.Second}, 0, 2 * time.Second, 3 * time.Second, 0, 0, [2]ended{{host.Lapsed, 2 * time.Second}, {host.Broken, 3 * time.Second}}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock.OverrideNow(clock.VirtualNow)
				var checker RunChecker
				gangs := &Gangs{Timeout: 4 * time.Second, Size: func(clusterstate.TaskID) int { return 2 }}
				tasks := []string{"0000000000000001.0.0.0", "0000000000000001.0.0.1"}
				var executors [2]*Executor
				for i := range executors {
					executors[i] = &Executor{
						Lifetime: host.Lifetime{ID: tasks[i]}, Resources: workflow.Resources{MilliCores: 1}, Gangs: gangs, ColdFactor: 2,
						Requirements: func(string) (workflow.Resources, time.Duration) {
							return workflow.Resources{MilliCores: 1}, tt.work[i]
						},
					}
					checker.Watch(executors[i])
				}
				executors[0].TurnCold(tt.cold)
				began := clock.Now()
				start := func(i int, lease time.Duration) {
					e := executors[i]
					s := host.Start{Lifetime: e.Lifetime.String(), Task: tasks[i], Run: 1, LeaseEnd: e.Clock() + lease}
					if err := e.start(t.Context(), s); err != nil {
						t.Fatal(err)
					}
				}
				start(0, tt.lease)
				for now := time.Duration(0); now < 15*time.Second; now += time.Second {
					switch now {
					case tt.second:
						start(1, hour)
					case tt.stopped:
						if now > 0 {
							if err := executors[0].stop(t.Context(), host.Stop{Lifetime: executors[0].Lifetime.String(), Task: tasks[0], Run: 1}); err != nil {
								t.Fatal(err)
							}
						}
					case tt.crashed:
						if now > 0 {
							executors[0].Crash()
						}
					}
					time.Sleep(time.Second)
				}
				var got [2]ended
				for i, task := range tasks {
					for _, s := range checker.allSpans()[task] {
						got[i] = ended{s.End, s.To.Sub(began)}
					}
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("ends (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.whole, checker.RanTogether(tasks)); diff != "" {
					t.Errorf("ran together (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestWorkOnColdExecutor(t *testing.T) {
	const began = clock.Instant(time.Hour)
	w := workload{warm: 10 * time.Second, coldUntil: began.Add(4 * time.Second), coldFactor: 2}
	if diff := cmp.Diff(began.Add(12*time.Second), w.end(began)); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
	for _, tt := range []struct{ after, want time.Duration }{
		{0, 0},
		{time.Second, 500 * time.Millisecond},
		{4 * time.Second, 2 * time.Second},
		{5 * time.Second, 3 * time.Second},
		{12 * time.Second, 10 * time.Second},
	} {
		if diff := cmp.Diff(tt.want, w.done(began, began.Add(tt.after))); diff != "" {
			t.Errorf("done after %v (-want +got):\n%s", tt.after, diff)
		}
	}
}
