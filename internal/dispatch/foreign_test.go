package dispatch_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/host"
	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
	"sniperill.example/sniperill/pkg/workflow"
)

// An agent restarts, and the first heartbeat that reaches it is of another writer, or a delayed one of an
// earlier lifetime whose time of day was ahead. That ends no runs.
func TestFirstHeartbeatAfterRestartOfOtherLifetimeEndsNoRuns(t *testing.T) {
	tests := []struct {
		name     string
		lifetime host.Lifetime
		// silent makes the worker give no answer for a while.
		silent bool
	}{
		{"another id", host.Lifetime{ID: "other", StartedUnixMS: 5}, false},
		{"another start", host.Lifetime{ID: "worker-0", StartedUnixMS: 5}, false},
		{"another id while the worker doesn't answer", host.Lifetime{ID: "other", StartedUnixMS: 5}, true},
		{"another start while the worker doesn't answer", host.Lifetime{ID: "worker-0", StartedUnixMS: 5}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				checker := c.watchRuns()
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "batch", task(20, 8))
				time.Sleep(time.Second)
				a := c.agents[0]
				a.machine.Executor().Silence(tt.silent)
				c.restartAgent(a)
				stray := standin.Executor{Lifetime: tt.lifetime, Resources: workflow.Resources{MilliCores: 1000, MemoryMB: 1000}}
				if err := a.process.Heartbeat(c.ctx, stray.Heartbeat("s", "r1-0", 7)); err != nil {
					t.Error(err)
				}
				time.Sleep(2 * time.Second)
				a.mute.Store(false)
				time.Sleep(2 * time.Second)
				a.machine.Executor().Silence(false)
				c.await(60*time.Second, shop.Done, "a")
				c.checkStartedOnce("a.0.0.0")
				c.reportViolations(checker)
			})
		})
	}
}
