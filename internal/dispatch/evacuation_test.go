package dispatch_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/dispatch"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// evacuationBound is the time from the acknowledgement of an evacuation from which nothing may start in the zone.
const evacuationBound = 5 * time.Second

// zonePrefix precedes the zone in the keys of the operators' records.
const zonePrefix = "zone/"

// zoneOf returns the zone of the worker with a number.
func zoneOf(number int) string { return fmt.Sprint("zone-", number%2) }

// followOperators makes a planner know the evacuations, and returns the follower of the operators' records; nil if the
// cluster has none.
func (c *cluster) followOperators(e *entry, p *dispatch.Planner) *journal.Follower {
	if c.operators == nil {
		return nil
	}
	e.operatorsLink.pause = e.agents.pause
	zones := &clusterstate.Evacuations{Prefix: zonePrefix, Log: p.Log}
	f := &journal.Follower{
		Store: e.operatorsLink.wrap(c.operators.Journal()), Log: p.Log, PageApplied: zones.PageApplied,
		Apply: func(r journal.Record) { zones.Apply(r) },
	}
	p.EvacuationBound = evacuationBound
	p.Evacuations = func() (workflow.Evacuations, clock.Instant) {
		asOf := f.CaughtUpAt()
		return zones.Current(), asOf
	}
	return f
}

// evacuationCluster is a cluster whose operators evacuate zones.
type evacuationCluster struct {
	*cluster
	writer    *journal.Writer
	mu        sync.Mutex
	evacuated map[string]time.Time // When each evacuation was acknowledged, by zone.
	starts    map[string]int       // By zone.
	started   time.Time            // When the first task was started.
}

func newEvacuationCluster(t *testing.T, entries, workers int) *evacuationCluster {
	return newEvacuationClusterWith(t, entries, workers, storeDelay)
}

// newEvacuationClusterWith returns a cluster with the given delay of calls to the journal's store.
func newEvacuationClusterWith(t *testing.T, entries, workers int, delay time.Duration) *evacuationCluster {
	c := &evacuationCluster{
		cluster: newCluster(t, 0, 0), evacuated: make(map[string]time.Time), starts: make(map[string]int),
	}
	c.store.Delay = delay
	c.operators = &standin.Store{Delay: storeDelay}
	c.writer = &journal.Writer{Store: c.operators.Journal(), Producer: journal.Producer{Name: "operator", Epoch: 1}}
	go c.writer.Run(c.ctx)
	c.setUpExecutor = func(e *standin.Executor) {
		record := e.OnRunStarted
		e.OnRunStarted = func(task string, run int) {
			record(task, run)
			c.checkStart(e.Lifetime.ID, task)
		}
	}
	for i := range entries {
		e := c.startEntry(fmt.Sprintf("entry-%d", i))
		c.cluster.mu.Lock()
		c.entries = append(c.entries, e)
		c.cluster.mu.Unlock()
	}
	for i := range workers {
		c.agents = append(c.agents, c.startAgent(fmt.Sprintf("worker-%d", i), i))
	}
	return c
}

// checkStart fails the test if a start on a worker is in a zone that was evacuated too long ago.
func (c *evacuationCluster) checkStart(worker, task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var number int
	if _, err := fmt.Sscanf(worker, "worker-%d", &number); err != nil {
		c.t.Error(err)
	}
	zone := zoneOf(number)
	c.starts[zone]++
	if c.started.IsZero() {
		c.started = time.Now()
	}
	if acked, ok := c.evacuated[zone]; ok && time.Since(acked) > evacuationBound {
		c.t.Errorf("task %s was started on %s in %s %v after the evacuation was acknowledged", task, worker, zone, time.Since(acked))
	}
}

// startsIn returns how many starts there were in a zone.
func (c *evacuationCluster) startsIn(zone string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[zone]
}

// write writes a record of the operators.
func (c *evacuationCluster) write(key, value string) {
	c.t.Helper()
	r := journal.Record{Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	ctx, cancel := context.WithTimeout(c.ctx, 10*time.Second)
	defer cancel()
	if _, err := c.writer.Add(ctx, r); err != nil {
		c.t.Fatal(err)
	}
}

func (c *evacuationCluster) evacuate(zone string) {
	c.t.Helper()
	c.write(zonePrefix+zone, "{}")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated[zone] = time.Now()
}

func (c *evacuationCluster) takeBack(zone string) {
	c.t.Helper()
	c.mu.Lock()
	delete(c.evacuated, zone)
	c.mu.Unlock()
	c.write(zonePrefix+zone, "")
}

// submitFor submits jobs for a time, among them gangs that need both zones, and returns their ids.
func (c *evacuationCluster) submitFor(d time.Duration) []string {
	var ids []string
	for i := 0; d > 0; i++ {
		id := fmt.Sprint("job", time.Now().UnixNano())
		step := task(0.7, 4)
		queue := "urgent"
		if i%7 == 0 {
			step, queue = gang(task(1, 3), 4), "batch"
		}
		c.cluster.mu.Lock()
		at := c.entries[len(c.entries)-1]
		c.cluster.mu.Unlock()
		if c.submitAt(at, id, "red", queue, step) == nil {
			ids = append(ids, id)
		}
		time.Sleep(170 * time.Millisecond)
		d -= 170 * time.Millisecond
	}
	return ids
}

// Tasks come all the while, and operators evacuate a zone and take it back, while something fails.
func TestNoTaskStartsInEvacuatedZone(t *testing.T) {
	const zone = "zone-0"
	tests := []struct {
		name string
		// before and after happen 60 ms before and right after the evacuation is acknowledged, long in the middle of it.
		before, after, long func(c *evacuationCluster)
	}{
		{name: "calm"},
		{name: "planner killed before", before: func(c *evacuationCluster) { c.killPlanner() }},
		{name: "planner killed after", after: func(c *evacuationCluster) { c.killPlanner() }},
		{name: "planner killed in the middle", long: func(c *evacuationCluster) { c.killPlanner() }},
		{name: "planner that can't read the operators' records", before: func(c *evacuationCluster) {
			c.planner().operatorsLink.loseAnswers()
		}},
		{name: "planner that can't read them for 8 s", before: func(c *evacuationCluster) {
			link := &c.planner().operatorsLink
			link.loseAnswers()
			time.AfterFunc(8*time.Second, link.restore)
		}},
		{name: "no entry can read them for 9 s", before: func(c *evacuationCluster) {
			for _, e := range c.entries {
				e.operatorsLink.loseAnswers()
				time.AfterFunc(9*time.Second, e.operatorsLink.restore)
			}
		}},
		{name: "store silent for 7 s", before: func(c *evacuationCluster) {
			for _, e := range c.entries {
				for _, link := range []*storeLink{&e.storeLink, &e.operatorsLink} {
					link.loseAnswers()
					time.AfterFunc(7*time.Second, link.restore)
				}
			}
		}},
		{name: "history dropped", after: func(c *evacuationCluster) { c.operators.DropHistory(); c.store.DropHistory() }},
		{name: "planner killed, history dropped", long: func(c *evacuationCluster) {
			c.operators.DropHistory()
			c.killPlanner()
		}},
		{name: "power lost by all entries", after: func(c *evacuationCluster) {
			for _, e := range c.entries {
				c.restartEntry(e)
			}
		}},
		{name: "power lost by all in the middle", long: func(c *evacuationCluster) {
			for _, e := range c.entries {
				c.restartEntry(e)
			}
			for _, a := range c.agents {
				a.kill()
				c.startAgentProcess(a, "r1-0")
			}
		}},
		{name: "planner frozen with claims in hand", before: func(c *evacuationCluster) {
			c.pauseOf(c.planner().name).begin(7 * time.Second)
		}},
		{name: "planner frozen with claims in hand, for a shorter time", before: func(c *evacuationCluster) {
			c.pauseOf(c.planner().name).begin(5300 * time.Millisecond)
		}},
		{name: "orders late", before: func(c *evacuationCluster) { c.planner().agents.delayOrders(1200 * time.Millisecond) }},
		{name: "agents of the zone restarted", long: func(c *evacuationCluster) {
			for _, a := range c.agents {
				a.kill()
				c.startAgentProcess(a, "r1-0")
			}
		}},
		{name: "odd records", after: func(c *evacuationCluster) {
			c.write(zonePrefix, "{}")
			c.write(zonePrefix+"nowhere", strings.Repeat("[", 1000))
			c.write(zonePrefix+"zone-0/", "")
			c.write("zone", "")
			c.write("", "x")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newEvacuationCluster(t, 3, 6)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				jobs := make(chan []string)
				go func() { jobs <- c.submitFor(20 * time.Second) }()
				during := func(f func(*evacuationCluster)) {
					if f != nil {
						f(c)
					}
				}
				time.Sleep(2 * time.Second)
				if c.startsIn(zone) == 0 {
					t.Error("no starts in the zone before")
				}
				during(tt.before)
				time.Sleep(60 * time.Millisecond)
				c.evacuate(zone)
				during(tt.after)
				time.Sleep(6 * time.Second)
				during(tt.long)
				time.Sleep(6 * time.Second)
				c.takeBack(zone)
				c.await(60*time.Second, shop.Done, <-jobs...)
				before := c.startsIn(zone)
				c.submit("all", "red", "batch", gang(task(1, 8), len(c.agents)))
				c.await(20*time.Second, shop.Done, "all")
				if c.startsIn(zone) == before {
					t.Error("no starts in the zone after it was taken back")
				}
				c.reportViolations(checker)
			})
		})
	}
}

// Two zones are evacuated one after the other, so that nothing may start for a while. What waits starts once one of
// them is taken back.
func TestTasksWaitWhileAllZonesAreEvacuated(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newEvacuationCluster(t, 2, 4)
		time.Sleep(3 * time.Second)
		c.evacuate("zone-0")
		time.Sleep(time.Second)
		c.evacuate("zone-1")
		time.Sleep(time.Second)
		c.submit("a", "red", "urgent", many(task(1, 4), 6))
		c.submit("gang", "red", "batch", gang(task(1, 8), 2))
		time.Sleep(8 * time.Second)
		if n := c.startsIn("zone-0") + c.startsIn("zone-1"); n != 0 {
			t.Errorf("%d starts while all zones were evacuated", n)
		}
		c.takeBack("zone-1")
		c.await(10*time.Second, shop.Done, "a", "gang")
		if n := c.startsIn("zone-0"); n != 0 {
			t.Errorf("%d starts in the zone that is still evacuated", n)
		}
	})
}

// A zone is evacuated while a gang is about to be claimed, is being claimed, or has started. If it has not started, it
// starts elsewhere whole, and no member does before.
func TestClaimedStartsAreWithdrawn(t *testing.T) {
	for after := time.Duration(0); after < 500*time.Millisecond; after += 50 * time.Millisecond {
		t.Run(fmt.Sprint("after ", after), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newEvacuationClusterWith(t, 2, 8, 150*time.Millisecond)
				checker := c.watchRuns()
				time.Sleep(4 * time.Second)
				c.submit("gang", "red", "urgent", gang(task(2, 8), 3))
				time.Sleep(after)
				c.evacuate("zone-0")
				knownAt := time.Now().Add(2 * storeDelay)
				c.await(20*time.Second, shop.Done, "gang")
				c.mu.Lock()
				late := c.started.After(knownAt)
				c.mu.Unlock()
				if late {
					c.checkStartedOnce("gang.0.0.0", "gang.0.0.1", "gang.0.0.2")
					if n := c.startsIn("zone-0"); n != 0 {
						t.Errorf("%d starts in the evacuated zone", n)
					}
				}
				c.reportViolations(checker)
			})
		})
	}
}

// A planner is replaced, and its order is held up until the zone of the worker is evacuated.
func TestHeldUpOrderStartsNothingInEvacuatedZone(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newEvacuationCluster(t, 2, 4)
		checker := c.watchRuns()
		time.Sleep(3 * time.Second)
		var orders []*heldOrder
		var ends []func()
		for _, a := range c.agents {
			order, end := c.planner().agents.hold(agentAddress(a.name))
			orders, ends = append(orders, order), append(ends, end)
		}
		c.submit("a", "red", "batch", many(task(2, 8), 4))
		time.Sleep(300 * time.Millisecond)
		c.evacuate("zone-0")
		time.Sleep(evacuationBound + time.Millisecond)
		for i, a := range c.agents {
			ends[i]()
			if err := orders[i].deliver(c.ctx, a.process); err != nil {
				t.Fatal(err)
			}
		}
		if n := c.startsIn("zone-0"); n != 0 {
			t.Errorf("%d starts in the evacuated zone", n)
		}
		c.await(40*time.Second, shop.Done, "a")
		c.reportViolations(checker)
	})
}

// The operators' records can't be read any more, and a zone is evacuated. For a while the planner still sends starts,
// on what it has read before. An order that is held up until the bound is over starts nothing.
func TestOrderOnOldRecordsIsGoodForLess(t *testing.T) {
	const accelerators = 8 // Of a worker.
	for after := 2500 * time.Millisecond; after <= 3200*time.Millisecond; after += 100 * time.Millisecond {
		t.Run(fmt.Sprint("submitted after ", after), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newEvacuationCluster(t, 1, 4) // No other planner takes over and tells the agents.
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				e := c.planner()
				e.operatorsLink.loseAnswers()
				c.evacuate("zone-0")
				evacuated := time.Now()
				var orders []*heldOrder
				var ends []func()
				for _, a := range c.agents {
					order, end := e.agents.hold(agentAddress(a.name))
					orders, ends = append(orders, order), append(ends, end)
				}
				time.Sleep(after)
				c.submit("a", "red", "urgent", many(task(2, accelerators), len(c.agents)))
				time.Sleep(time.Until(evacuated.Add(evacuationBound + time.Millisecond)))
				for i, a := range c.agents {
					if len(orders[i].starts()) == 0 {
						t.Errorf("no start was sent to %s", a.name)
						continue
					}
					if err := orders[i].deliver(c.ctx, a.process); err != nil {
						t.Error(err)
					}
				}
				for _, end := range ends {
					end()
				}
				if n := c.startsIn("zone-0"); n != 0 {
					t.Errorf("%d starts in the evacuated zone", n)
				}
				e.operatorsLink.restore()
				c.await(60*time.Second, shop.Done, "a")
				c.reportViolations(checker)
			})
		})
	}
}
