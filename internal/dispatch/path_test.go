package dispatch_test

import (
	"testing"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

func TestJobsRunWhole(t *testing.T) {
	virtually(t, func(t *testing.T) {
		c := newCluster(t, 3, 6)
		time.Sleep(3 * time.Second)
		c.submit("steps", "red", "batch", many(task(1, 1), 3), after(task(2, 2), 0))
		c.submit("gang", "red", "batch", gang(task(2, 8), 3))
		c.await(10*time.Second, shop.Done, "steps", "gang")
		c.once("steps.0.0.0", "steps.0.0.1", "steps.0.0.2", "steps.0.1.0", "gang.0.0.0", "gang.0.0.1", "gang.0.0.2")
	})
}

// A busy planner appends progress all the time; the others must see that it is alive.
func TestABusyPlannerIsNotReplaced(t *testing.T) {
	virtually(t, func(t *testing.T) {
		c := newCluster(t, 3, 6)
		time.Sleep(3 * time.Second)
		before := c.planners()
		for i := range 40 {
			c.submit(string(rune('a'+i%26))+string(rune('a'+i/26)), "red", "batch", many(task(0.3, 1), 4))
			time.Sleep(200 * time.Millisecond)
		}
		if n := c.planners() - before; n != 0 {
			t.Errorf("another planner stepped up %d times in a calm time, want 0", n)
		}
	})
}

// The agent goes on trying to renew the lease of a worker that crashed. The lease must
// be known to have lapsed all the same, so that its tasks run elsewhere.
func TestTasksOfACrashedWorkerRunElsewhere(t *testing.T) {
	virtually(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", many(task(5, 8), 2))
		time.Sleep(time.Second)
		c.agents[0].executor.Crash()
		c.await(25*time.Second, shop.Done, "a")
	})
}

func TestAnAbsentStoreStopsOnlyWhatIsNew(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.StoreFault
	}{
		{"busy", standin.StoreBusy},
		{"silent", standin.StoreSilent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			virtually(t, func(t *testing.T) {
				c := newCluster(t, 2, 2)
				time.Sleep(3 * time.Second)
				c.submit("a", "red", "batch", task(4, 8))
				time.Sleep(500 * time.Millisecond)
				c.store.Break(tt.fault)
				time.Sleep(4 * time.Second)
				c.store.Break(standin.StoreSound)
				c.await(5*time.Second, shop.Done, "a")
				c.once("a.0.0.0")
			})
		})
	}
}

func TestATaskThatStandsStillRunsElsewhere(t *testing.T) {
	virtually(t, func(t *testing.T) {
		c := newCluster(t, 2, 2)
		time.Sleep(3 * time.Second)
		c.submit("a", "red", "batch", task(6, 8))
		time.Sleep(time.Second)
		for _, a := range c.agents {
			a.executor.Hang(true) // Only what runs now.
		}
		c.await(14*time.Second, shop.Done, "a")
	})
}
