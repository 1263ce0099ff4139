package dispatch_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sniperill.example/sniperill/pkg/shop"
)

// pauseSeeds is the number of seeds that TestRunsEndOnceWhenProcessesPause runs.
var pauseSeeds = flag.Int("pauses.seeds", 30, "seeds of random pauses to run")

// maxPause is the longest pause.
const maxPause = 12 * time.Second

// Planners and agents are paused for 0.1 to 12 s at any moment, also while they are replaced. No task runs twice
// at once or after its end was acknowledged, and every job is done. With odd seeds, calls are delayed and lost as
// well.
func TestRunsEndOnceWhenProcessesPause(t *testing.T) {
	for seed := range uint64(*pauseSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				c := newCluster(t, 3, 3)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				if seed%2 == 1 {
					c.network.setRandom(rand.New(rand.NewPCG(seed, 1)))
				}
				length := func() time.Duration {
					if random.IntN(2) == 0 {
						return 100*time.Millisecond + time.Duration(random.IntN(1000))*time.Millisecond
					}
					return time.Duration(random.Int64N(int64(maxPause)))
				}
				var jobs []string
				for i := range 10 {
					id := fmt.Sprint("job", i)
					jobs = append(jobs, id)
					step := many(task(0.5+8*random.Float64(), 1), 1+random.IntN(8))
					if random.IntN(4) == 0 {
						step = gang(task(1+random.Float64(), 2), 2+random.IntN(4))
					}
					for c.submitAt(c.entries[random.IntN(len(c.entries))], id, "red", "batch", step) != nil {
						time.Sleep(300 * time.Millisecond)
					}
					// Claims, orders and their answers take a few milliseconds.
					time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
					for range 1 + random.IntN(2) {
						switch random.IntN(6) {
						case 0, 1:
							c.pauseOf(c.awaitPlanner().name).begin(length())
						case 2:
							c.pauseOf(c.entries[random.IntN(len(c.entries))].name).begin(length())
						case 3, 4:
							c.pauseOf(c.agents[random.IntN(len(c.agents))].name).begin(length())
						case 5: // It is told to stop, and resigns.
							e := c.awaitPlanner()
							e.stop()
							time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
							c.restartEntry(e)
						}
						time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
					}
				}
				c.network.setRandom(nil)
				time.Sleep(2*maxDelay + maxPause) // Until no call is on its way.
				c.await(120*time.Second, shop.Done, jobs...)
				c.reportViolations(checker)
			})
		})
	}
}
