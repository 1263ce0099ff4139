package dispatch_test

import (
	"context"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/pkg/shop"
)

// Guards against tasks that ran elsewhere while their worker went on, as an agent that could not ask the worker
// took the heartbeat of another writer for that of its next lifetime.
func TestHeartbeatOfAnotherWriterMovesNoTask(t *testing.T) {
	for _, tt := range []struct {
		name string
		// hear makes the agent hear the heartbeat, and returns once it may hear the worker's again.
		hear func(c *cluster, a *agent, odd host.Heartbeat)
	}{
		{"while the worker can't be reached", func(c *cluster, a *agent, odd host.Heartbeat) {
			a.machine.Executor().CutOff(true)
			_ = a.process.Heartbeat(c.ctx, odd) // It may be refused.
			time.Sleep(200 * time.Millisecond)
			a.machine.Executor().CutOff(false)
		}},
		{"as the first one after the agent has restarted", func(c *cluster, a *agent, odd host.Heartbeat) {
			a.kill()
			running, kill := context.WithCancel(c.ctx)
			a.process, a.kill = &host.Agent{Name: a.name, Worker: a.worker(running), MaxLease: maxLease, Incarnation: "restarted", Log: c.log}, kill
			for _, e := range c.entries {
				e.agents.set(agentAddress(a.name), a.process)
			}
			process := a.process
			go process.Run(running)
			_ = process.Heartbeat(running, odd) // It may be refused.
			time.Sleep(500 * time.Millisecond)
			if err := process.Heartbeat(running, a.machine.Executor().Heartbeat("s", "r1-0", a.heartbeats.Add(1))); err != nil {
				c.t.Log(err) // The next one may be accepted.
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				c.submit("long", "red", "batch", task(6, 7))
				time.Sleep(time.Second)
				odd := c.agents[0].machine.Executor().Heartbeat("s", "r1-0", 1)
				odd.Lifetime = host.Lifetime{ID: "writer", StartedUnixMS: odd.Lifetime.StartedUnixMS + 1000}
				tt.hear(c, c.agents[0], odd)
				c.await(20*time.Second, shop.Done, "long")
				time.Sleep(10 * time.Second)
				c.reportViolations(checker)
			})
		})
	}
}
