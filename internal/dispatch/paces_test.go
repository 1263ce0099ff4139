package dispatch

import (
	"fmt"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/pace"
)

// newLearningPlanner returns a planner that has learned the paces of machines from one job, as of a minute after the
// clock's start.
func newLearningPlanner(paces ...float64) (*activePlanner, clock.Instant) {
	now := clock.Instant(0).Add(time.Minute)
	ap := (&Planner{}).newActivePlanner(1)
	var readings []pace.Reading
	for i, p := range paces {
		readings = append(readings, pace.Reading{
			Group: "a", Run: fmt.Sprint(i), Machine: fmt.Sprint("m-", i), RunTime: time.Duration(p * float64(10*time.Second)), At: now,
		})
	}
	ap.learner.paces, ap.learner.fittedAt = ap.learner.paces.With(now, readings...), now
	return ap, now
}

// Passes that follow an estimate compare it with what is stored once only, also if nothing is worth storing.
func TestPacesAreComparedOncePerEstimate(t *testing.T) {
	ap, now := newLearningPlanner(1, 1, 1, 1, 1, 1)
	if records := ap.paceRecords(now); len(records) > 0 {
		t.Fatalf("%d records of workers that are alike", len(records))
	}
	if n := testing.AllocsPerRun(100, func() { ap.paceRecords(now) }); n > 0 {
		t.Errorf("a pass without a new estimate made %v allocations, want none", n)
	}
}
