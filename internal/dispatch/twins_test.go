package dispatch_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/shop"
)

// twinSeeds is the number of seeds that TestTwoProcessesOfOneAgent runs.
var twinSeeds = flag.Int("twins.seeds", 30, "seeds of calls that reach either of an agent's two processes to run")

// twin is one of the processes of an agent.
type twin struct {
	process *host.Agent
	mu      sync.Mutex
	until   time.Time // The worker gives it no answer before.
}

// silence keeps the worker from answering the process for d.
func (w *twin) silence(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.until = time.Now().Add(d)
}

// silent blocks until ctx ends if the worker doesn't answer the process.
func (w *twin) silent(ctx context.Context) error {
	w.mu.Lock()
	silent := time.Now().Before(w.until)
	w.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// startTwin starts a process for an agent, beside any others that it has.
func (c *cluster) startTwin(a *agent, incarnation string) *twin {
	w := &twin{}
	own := &agent{name: a.name, network: a.network}
	own.machine.SetExecutor(a.machine.Executor())
	calls := own.worker(c.ctx)
	worker := host.Worker{
		Poll: func(ctx context.Context, r host.PollRequest) (host.WorkerState, error) {
			if err := w.silent(ctx); err != nil {
				return host.WorkerState{}, err
			}
			return calls.Poll(ctx, r)
		},
		Start: func(ctx context.Context, s host.Start) error {
			if err := w.silent(ctx); err != nil {
				return err
			}
			return calls.Start(ctx, s)
		},
		Stop: func(ctx context.Context, s host.Stop) error {
			if err := w.silent(ctx); err != nil {
				return err
			}
			return calls.Stop(ctx, s)
		},
	}
	w.process = &host.Agent{
		Name: a.name, Worker: worker, MaxLease: maxLease, Incarnation: incarnation,
		Log: c.log.With().Str("at", a.name+"/"+incarnation).Logger(),
	}
	go w.process.Run(c.ctx)
	go func() {
		for number := int64(1); ; number++ {
			_ = w.process.Heartbeat(c.ctx, a.machine.Executor().Heartbeat("s", "r1-0", number))
			if clock.Pause(c.ctx, 1500*time.Millisecond) != nil {
				return
			}
		}
	}()
	return w
}

// Two processes of an agent are up, and the planner's calls reach either of them. Each at times gets no answer
// from the worker for longer than a lease. No task runs twice at once or after its end was acknowledged.
func TestTwoProcessesOfOneAgent(t *testing.T) {
	testTwoProcesses(t, func(*cluster, *rand.Rand) {})
}

// As TestTwoProcessesOfOneAgent, and planners are killed, whose successors don't know which process had renewed the
// lease.
func TestTwoProcessesOfOneAgentWhilePlannersChange(t *testing.T) {
	testTwoProcesses(t, func(c *cluster, random *rand.Rand) {
		if random.IntN(3) == 0 {
			c.restartEntry(c.awaitPlanner())
		}
	})
}

func testTwoProcesses(t *testing.T, disrupt func(*cluster, *rand.Rand)) {
	for seed := range uint64(*twinSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				c := newCluster(t, 3, 2)
				checker := c.watchRuns()
				a := c.agents[0]
				a.kill()
				twins := []*twin{c.startTwin(a, "old"), c.startTwin(a, "new")}
				var mu sync.Mutex
				calls := rand.New(rand.NewPCG(seed, 1))
				alone := -1 // The one that gets all calls; negative if either gets them.
				choose := func() *host.Agent {
					mu.Lock()
					defer mu.Unlock()
					if alone >= 0 {
						return twins[alone].process
					}
					return twins[calls.IntN(len(twins))].process
				}
				setAlone := func(i int) {
					mu.Lock()
					defer mu.Unlock()
					alone = i
				}
				chooseProcess := func() {
					for _, e := range c.entries {
						e.agents.choose(agentAddress(a.name), choose)
					}
				}
				chooseProcess()
				time.Sleep(3 * time.Second)
				var jobs []string
				for i := range 10 {
					id := fmt.Sprint("job", i)
					jobs = append(jobs, id)
					c.submit(id, "red", "batch", many(task(1+20*random.Float64(), 1), 1+random.IntN(4)))
					time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
					disrupt(c, random)
					chooseProcess()
					setAlone(random.IntN(3) - 1)
					if random.IntN(2) == 0 {
						twins[random.IntN(2)].silence(time.Duration(random.IntN(15000)) * time.Millisecond)
					}
				}
				setAlone(1)
				c.await(120*time.Second, shop.Done, jobs...)
				c.reportViolations(checker)
			})
		})
	}
}
