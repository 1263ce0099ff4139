package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/shop"
)

// Starts are lost and arrive up to 4.5 s later, their worker restarts under its id and is silent, and its agent is cut
// off. No task runs twice at once or after its end was acknowledged, and every job is done.
func TestLateStartsInSilentNextLifetimesRunOnce(t *testing.T) {
	for seed := range uint64(*networkSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 7))
				upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
				c := newCluster(t, 2, 3)
				checker := c.watchRuns()
				a := c.agents[0]
				var atNextStart atomic.Pointer[func(host.Start)]
				a.beforeStart = func(s host.Start) {
					if f := atNextStart.Swap(nil); f != nil {
						(*f)(s)
					}
				}
				time.Sleep(3*time.Second + upTo(2*time.Second))
				var jobs []string
				for i := range 6 {
					late, restart, silent := upTo(4500*time.Millisecond), upTo(4*time.Second), upTo(14*time.Second)
					cutOff := random.IntN(2) == 0
					a.mute.Store(random.IntN(2) == 0)
					disrupt := func(s host.Start) {
						a.loseStarts.Store(true)
						time.AfterFunc(2*time.Second, func() { a.loseStarts.Store(false) })
						time.AfterFunc(late, func() { _ = a.machine.Worker().Start(c.ctx, s) }) // A worker may refuse it.
						time.AfterFunc(restart, func() {
							next := c.restartWorker(a, time.Now().UnixMilli(), checker)
							next.Silence(true)
							c.connect(a, !cutOff)
							time.Sleep(silent)
							next.Silence(false)
							c.connect(a, true)
							a.mute.Store(false)
						})
					}
					atNextStart.Store(&disrupt)
					id := fmt.Sprint("job", i)
					jobs = append(jobs, id)
					c.submit(id, "red", "batch", task(5+10*random.Float64(), 4+random.IntN(5)))
					time.Sleep(5*time.Second + upTo(15*time.Second))
				}
				time.Sleep(18 * time.Second) // All faults have ended by then.
				c.await(120*time.Second, shop.Done, jobs...)
				c.reportViolations(checker)
			})
		})
	}
}
