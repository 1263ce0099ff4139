package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// Workers restart under their id, with a start that may be earlier than the one before, and agents restart, while
// messages are delayed and lost. No task runs twice at once or after its end was acknowledged, and every job is
// done.
func TestRunsEndOnceWhenWorkersRestart(t *testing.T) {
	for seed := range uint64(*networkSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				c := newCluster(t, 3, 3)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				c.network.setRandom(rand.New(rand.NewPCG(seed, 1)))
				var jobs []string
				for i := range int64(12) {
					id := fmt.Sprint("job", i)
					jobs = append(jobs, id)
					step := many(task(0.3+2*random.Float64(), 1), 1+random.IntN(12))
					if random.IntN(3) == 0 {
						step = gang(task(1+random.Float64(), 2), 2+random.IntN(4))
					}
					for c.submitAt(c.entries[random.IntN(len(c.entries))], id, "red", "batch", step) != nil {
						time.Sleep(300 * time.Millisecond)
					}
					time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
					a := c.agents[random.IntN(len(c.agents))]
					switch random.IntN(4) {
					case 0:
						c.restartWorker(a, 1000+i, checker)
					case 1:
						c.restartWorker(a, -i, checker)
					case 2:
						a.kill()
						c.startAgentProcess(a, "r1-0")
					}
				}
				c.network.setRandom(nil)
				time.Sleep(2 * maxDelay)
				c.await(120*time.Second, shop.Done, jobs...)
				c.reportViolations(checker)
			})
		})
	}
}
