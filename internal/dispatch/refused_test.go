package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/shop"
)

// A worker answers that it refuses a start, but the run is there. The task must not run twice at once.
func TestRefusedStartThatTookEffectRunsOnce(t *testing.T) {
	for _, answer := range []error{host.ErrUnhealthy, host.ErrRefused, host.ErrOtherLifetime} {
		t.Run(fmt.Sprint(answer), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 3)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				a := c.agents[0]
				a.answerStart = func(err error) error {
					if err != nil {
						return err
					}
					return answer
				}
				var jobs []string
				for i := range 6 {
					jobs = append(jobs, fmt.Sprint("job", i))
					c.submit(jobs[i], "red", "urgent", task(2, 4))
					time.Sleep(400 * time.Millisecond)
				}
				c.await(30*time.Second, shop.Done, jobs...)
				c.reportViolations(checker)
			})
		})
	}
}
