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
	tests := []struct {
		answer error
		// refuses is for how long the worker refuses all stops, too.
		refuses time.Duration
	}{
		{answer: host.ErrUnhealthy},
		{answer: host.ErrRefused},
		{answer: host.ErrOtherLifetime},
		{host.ErrUnhealthy, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%v, stops refused for %v", tt.answer, tt.refuses), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 3)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				a := c.agents[0]
				answerStart := func(err error) error {
					if err != nil {
						return err
					}
					return tt.answer
				}
				began := time.Now()
				refuseStop := func() error {
					if time.Since(began) < tt.refuses {
						return host.ErrUnhealthy
					}
					return nil
				}
				a.answerStart.Store(&answerStart)
				a.refuseStop.Store(&refuseStop)
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
