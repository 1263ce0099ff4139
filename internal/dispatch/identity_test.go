package dispatch_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// An agent's address serves the agent of another worker, which started later. That worker's reports end no runs
// of the first one, which goes on.
func TestReportOfAnotherAgentEndsNoRuns(t *testing.T) {
	tests := []struct {
		name string
		held time.Duration
	}{
		{"for less than a lease", 3 * time.Second},
		{"for longer than a lease", 15 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newClusterWith(t, 2, 2, func(*standin.Store) {}, func(e *standin.Executor) {
					if e.Lifetime.ID == "worker-1" {
						e.Lifetime.StartedUnixMS = 2
					}
				})
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "batch", task(20, 8))
				time.Sleep(time.Second)
				address := agentAddress(c.agents[0].name)
				for _, e := range c.entries {
					e.agents.set(address, c.agents[1].process)
				}
				time.Sleep(tt.held)
				for _, e := range c.entries {
					e.agents.set(address, c.agents[0].process)
				}
				c.await(60*time.Second, shop.Done, "a")
				c.reportViolations(checker)
				if tt.held < options.Lease {
					c.checkStartedOnce("a.0.0.0")
				}
			})
		})
	}
}

// A report that says that a lifetime is over is handled only when the agent has another address, where it has
// reported that the worker goes on. It ends no run that has started since.
func TestReportFromEarlierAddressEndsNoRuns(t *testing.T) {
	withVirtualTime(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		checker := c.watchRuns()
		time.Sleep(3 * time.Second)
		a, planner := c.agents[0], c.planner()
		a.machine.Executor().Silence(true)
		time.Sleep(11 * time.Second)
		handled := make(chan struct{})
		planner.agents.delayReports(agentAddress(a.name), handled)
		time.Sleep(5 * time.Second)
		a.machine.Executor().Silence(false)
		writer := &journal.Writer{Store: c.store.Journal(), Producer: journal.Producer{Name: "moved", Epoch: 1}, Log: c.log}
		go writer.Run(c.ctx)
		register(c.ctx, writer, clusterstate.AgentRecord(clusterstate.Address{Name: a.name, Address: otherAddress(a.name)}))
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(5, 8))
		time.Sleep(2 * time.Second)
		close(handled)
		c.await(20*time.Second, shop.Done, "a")
		c.checkStartedOnce("a.0.0.0")
		c.reportViolations(checker)
	})
}
