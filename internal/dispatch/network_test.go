package dispatch_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// networkSeeds is the number of seeds that TestRunsEndOnceOnUnreliableNetwork runs.
var networkSeeds = flag.Int("network.seeds", 30, "seeds of random delays and losses to run")

// network delays and loses calls and their answers at random. The zero value does neither.
type network struct {
	mu      sync.Mutex
	random  *rand.Rand // Nil while calls are neither delayed nor lost.
	repeats bool       // Some calls arrive twice.
}

// setRandom sets the source of delays and losses; nil ends them.
func (n *network) setRandom(r *rand.Rand) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.random = r
}

func (n *network) unreliable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random != nil
}

// drawRepeat returns whether a call arrives twice.
func (n *network) drawRepeat() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.repeats && n.random != nil && n.random.IntN(10) == 0
}

// errLost is returned for a call whose answer is lost.
var errLost = errors.New("no answer")

// maxDelay is the longest delay of a message.
const maxDelay = 4 * time.Second

// draw returns how long a message takes, and whether it arrives at all.
func (n *network) draw() (delay time.Duration, arrives bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.random == nil {
		return 0, true
	}
	switch n.random.IntN(40) {
	case 0:
		return 0, false
	case 1:
		return time.Duration(n.random.Int64N(int64(maxDelay))), true
	case 2, 3, 4:
		return time.Duration(n.random.IntN(400)) * time.Millisecond, true
	default:
		return time.Duration(n.random.IntN(20)) * time.Millisecond, true
	}
}

// carry makes a call over the network. A call may arrive after its caller has given up.
func carry[T any](ctx context.Context, n *network, call func(context.Context) (T, error)) (T, error) {
	var none T
	if !n.unreliable() {
		return call(ctx)
	}
	there, arrives := n.draw()
	back, answered := n.draw()
	if !arrives {
		<-ctx.Done()
		return none, ctx.Err()
	}
	type outcome struct {
		value T
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		time.Sleep(there)
		// The receiver notices that the caller has given up only while it waits for something.
		value, err := call(ctx)
		time.Sleep(back)
		done <- outcome{value, err}
	}()
	select {
	case o := <-done:
		if !answered {
			return none, errLost
		}
		return o.value, o.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// carryRepeated makes a call over the network, at times twice. The caller gets the answer that comes first.
func carryRepeated[T any](ctx context.Context, n *network, call func(context.Context) (T, error)) (T, error) {
	if !n.drawRepeat() {
		return carry(ctx, n, call)
	}
	type outcome struct {
		value T
		err   error
	}
	done := make(chan outcome, 2)
	for range 2 {
		go func() {
			value, err := carry(ctx, n, call)
			done <- outcome{value, err}
		}()
	}
	o := <-done
	if o.err != nil {
		o = <-done
	}
	return o.value, o.err
}

// Messages between planners, agents and workers are delayed, lost and overtake each other, workers list their
// ended runs a few at a time without saying so, some agents are of an earlier version, and planners are killed
// as runs end. No task runs twice at once or after its end was acknowledged, and every job is done.
func TestRunsEndOnceOnUnreliableNetwork(t *testing.T) {
	testUnreliableNetwork(t, func(*cluster, *rand.Rand) {})
}

// In addition, calls to agents arrive twice, and agents' addresses change while calls are on their way.
func TestRunsEndOnceWhenCallsAreRepeated(t *testing.T) {
	testUnreliableNetwork(t, func(c *cluster, random *rand.Rand) {
		c.network.repeats = true
		for _, a := range c.agents {
			writer := &journal.Writer{Store: c.store.Journal(), Producer: journal.Producer{Name: a.name + "/moves", Epoch: 1}, Log: c.log}
			go writer.Run(c.ctx)
			moves := rand.New(rand.NewPCG(random.Uint64(), 2))
			go func() {
				for i := 0; clock.Pause(c.ctx, time.Duration(moves.IntN(6000))*time.Millisecond) == nil; i++ {
					address := []string{agentAddress(a.name), otherAddress(a.name)}[i%2]
					register(c.ctx, writer, clusterstate.AgentRecord(clusterstate.Address{Name: a.name, Address: address}))
				}
			}()
		}
	})
}

// testUnreliableNetwork runs jobs on an unreliable network, on which disrupt adds to what goes wrong.
func testUnreliableNetwork(t *testing.T, disrupt func(*cluster, *rand.Rand)) {
	for seed := range uint64(*networkSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				const earlier = "worker-0" // Its agent takes lists of fewer than 500 ended runs as complete.
				c := newClusterWith(t, 3, 3, func(*standin.Store) {}, func(e *standin.Executor) {
					if e.Lifetime.ID != earlier {
						e.MaxEnded, e.CutsSilently = 1+random.IntN(6), random.IntN(2) == 0
					}
				})
				checker := c.watchRuns()
				c.earlierAgents.Store(agentAddress(earlier), true)
				time.Sleep(3 * time.Second)
				c.network.setRandom(rand.New(rand.NewPCG(seed, 1)))
				disrupt(c, rand.New(rand.NewPCG(seed, 2)))
				var jobs []string
				for i := range 8 {
					id := fmt.Sprint("job", i)
					jobs = append(jobs, id)
					step := small(0.3+2*random.Float64(), 1+random.IntN(12))
					if random.IntN(3) == 0 {
						step = gang(task(1+random.Float64(), 2), 2+random.IntN(4))
					}
					for c.submitAt(c.entries[random.IntN(len(c.entries))], id, "red", "batch", step) != nil {
						time.Sleep(300 * time.Millisecond)
					}
					time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
					switch random.IntN(4) {
					case 0:
						c.restartEntry(c.planner())
					case 1: // It plans on without knowing that it was replaced.
						link := &c.planner().storeLink
						link.setDisconnected(true)
						time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, func() { link.setDisconnected(false) })
					case 2:
						c.store.Reject("p/" + id)
						time.AfterFunc(time.Duration(random.IntN(2500))*time.Millisecond, func() { c.store.Reject("") })
					}
				}
				c.network.setRandom(nil)
				time.Sleep(2 * maxDelay)
				c.await(60*time.Second, shop.Done, jobs...)
				c.reportViolations(checker)
			})
		})
	}
}

// Guards the check above: it must see calls that are lost, and calls that arrive after their caller gave up.
func TestNetworkLosesAndDelays(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		var n network
		n.setRandom(rand.New(rand.NewPCG(1, 1)))
		var mu sync.Mutex
		arrived, failed := 0, 0
		for range 400 {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			_, err := carry(ctx, &n, func(context.Context) (struct{}, error) {
				mu.Lock()
				defer mu.Unlock()
				arrived++
				return struct{}{}, nil
			})
			if err != nil {
				failed++
			}
			cancel()
		}
		_ = clock.Pause(t.Context(), 10*time.Second)
		mu.Lock()
		defer mu.Unlock()
		if arrived == 400 || failed == 0 || arrived+failed <= 400 {
			t.Errorf("%d of 400 calls arrived and %d failed, want fewer than 400, some, and some of both", arrived, failed)
		}
	})
}
