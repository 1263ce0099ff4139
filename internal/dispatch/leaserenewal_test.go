package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"sniperill.example/sniperill/internal/standin"
	"sniperill.example/sniperill/pkg/shop"
)

// The store is away for nearly as long as leases last, which are renewed only by a planner that reads it. Once it is
// back, they are renewed in the time that is left, and nothing that runs is lost.
func TestLeasesAreRenewedAfterLongOutage(t *testing.T) {
	for outage := options.Lease - 2600*time.Millisecond; outage < options.Lease-600*time.Millisecond; outage += 200 * time.Millisecond {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			withVirtualTime(t, func(t *testing.T) {
				c := newCluster(t, 3, 6)
				time.Sleep(3 * time.Second)
				var jobs, tasks []string
				for i := range 6 {
					id := fmt.Sprint("job", i)
					c.submit(id, "red", "batch", task(20, 8))
					jobs, tasks = append(jobs, id), append(tasks, id+".0.0.0")
					time.Sleep(170 * time.Millisecond)
				}
				c.store.SetFault(standin.StoreBusy)
				time.Sleep(outage)
				c.store.SetFault(standin.StoreHealthy)
				c.await(60*time.Second, shop.Done, jobs...)
				c.checkStartedOnce(tasks...)
			})
		})
	}
}
