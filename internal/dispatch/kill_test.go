package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/standin"
)

// Guards against a task that ran elsewhere while its worker was still ending it, as its lease had lapsed.
func TestRunsAreOverOnlyOnceTheWorkerHasEndedThem(t *testing.T) {
	for cutAt := time.Second; cutAt < 2*time.Second; cutAt += 100 * time.Millisecond {
		t.Run(fmt.Sprint("cut off after ", cutAt), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newClusterWith(t, 2, 2, func(*standin.Store) {}, func(e *standin.Executor) {
					e.ClockSlowdown = 1.02
					e.StopTime = func() time.Duration { return 200 * time.Millisecond }
				})
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				c.submit("long", "red", "batch", task(40, 7))
				time.Sleep(cutAt)
				c.agents[0].machine.Executor().CutOff(true)
				time.Sleep(25 * time.Second)
				c.reportViolations(checker)
			})
		})
	}
}
