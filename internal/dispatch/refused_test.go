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

// A start gets no answer, and the worker refuses all stops, while it answers otherwise. The task must neither wait for
// good nor run twice at once, should the start be carried out seconds later.
func TestTaskOfWorkerThatRefusesAllStopsRunsElsewhere(t *testing.T) {
	for _, arrives := range []time.Duration{0, 2 * time.Second, 4500 * time.Millisecond} {
		t.Run(fmt.Sprint("the start arrives after ", arrives), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				a := c.agents[0]
				sent := make(chan host.Start, 100)
				a.beforeStart = func(s host.Start) { sent <- s }
				a.loseStarts.Store(true)
				refuseStop := func() error { return host.ErrUnhealthy }
				a.refuseStop.Store(&refuseStop)
				c.submit("a", "red", "batch", task(12, 8))
				time.Sleep(time.Second)
				late := <-sent
				a.loseStarts.Store(false)
				if arrives > 0 {
					time.Sleep(arrives - time.Second)
					if err := a.machine.Worker().Start(c.ctx, late); err != nil {
						t.Fatal(err)
					}
				}
				c.await(40*time.Second, shop.Done, "a")
				time.Sleep(10 * time.Second)
				c.reportViolations(checker)
			})
		})
	}
}

// A worker refuses a start and for a second its stop, too. No attempt of the start is on its way, so the task waits for
// the stop alone.
func TestTaskOfRefusedStartWaitsForItsStopOnly(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		checker := c.watchRuns()
		time.Sleep(3300 * time.Millisecond)
		a := c.agents[0]
		began := time.Now()
		refuse := func() error {
			if time.Since(began) < time.Second {
				return host.ErrUnhealthy
			}
			return nil
		}
		a.refuseStart.Store(&refuse)
		a.refuseStop.Store(&refuse)
		c.submit("a", "red", "batch", task(60, 8))
		time.Sleep(3 * time.Second)
		if n := c.runs.count("a.0.0.0"); n != 1 {
			t.Errorf("%d starts within 3 s, want 1", n)
		}
		c.reportViolations(checker)
	})
}
