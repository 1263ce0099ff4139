package inspection

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/pkg/shop"
)

func seconds(n float64) shop.Duration { return shop.Duration(n * float64(time.Second)) }

func onWorker(tasks, accelerators int) shop.Shape {
	return shop.Shape{Tasks: tasks, Accelerators: accelerators, Adjacency: shop.SameWorker}
}

// soundConfig returns a configuration without findings.
func soundConfig() shop.Config {
	return shop.Config{
		Teams: shop.TeamList{
			{Name: "quotes", Quota: 16, Guarantees: []shop.Guarantee{{Shape: onWorker(1, 4), Count: 2}}},
			{Name: "vans", Quota: 8},
		},
		Classes: shop.ClassList{
			{Name: "mockup", Idempotent: true, Preemptible: true, Shape: onWorker(1, 8)},
			{Name: "price", Urgent: true, Deadline: seconds(5)},
		},
		BackendServers: shop.BackendServerList{{Name: "*", Classes: []string{"price"}}, {Name: "worker-a1", Classes: []string{"price"}}},
	}
}

// soundWorkers returns two workers of 8 accelerators in each of two zones.
func soundWorkers() shop.WorkerList {
	var l shop.WorkerList
	for _, zone := range []string{"a", "b"} {
		for i := range 2 {
			place := shop.Place{Region: "south", Zone: zone, Rack: zone, Worker: fmt.Sprintf("worker-%s%d", zone, i+1)}
			l = append(l, shop.Worker{Place: place, Accelerators: 8, Cores: 32, Memory: 64 * shop.GiB})
		}
	}
	return l
}

func TestConfig(t *testing.T) {
	tests := []struct {
		name   string
		change func(*shop.Config)
		kind   shop.FindingKind
		field  string
	}{
		{"no team", func(c *shop.Config) { c.Teams = nil }, shop.NeverMatches, "classes"},
		{"no class", func(c *shop.Config) { c.Classes, c.BackendServers = nil, nil }, shop.NeverMatches, "teams"},
		{"guarantee of nothing", func(c *shop.Config) { c.Teams[1].Guarantees = []shop.Guarantee{{}} }, shop.NeverMatches, "teams.vans.guarantees[0]"},
		{"guarantee beyond any worker", func(c *shop.Config) {
			c.Teams[1].Quota, c.Teams[1].Guarantees = 0, []shop.Guarantee{{Shape: onWorker(2, 33)}}
		}, shop.NeverMatches, "teams.vans.guarantees[0]"},
		{"grace as long as urgent work may wait", func(c *shop.Config) { c.Classes[0].Grace = seconds(1.9) }, shop.Contradiction, "classes.mockup.grace"},
		{"requests that end before they must start", func(c *shop.Config) { c.Classes[1].Deadline = seconds(1) }, shop.Contradiction, "classes.price.deadline"},
		{"burst beyond the queue", func(c *shop.Config) { c.Classes[1].Burst, c.Classes[1].MaxQueued = 50, 20 }, shop.Contradiction, "classes.price.burst"},
		{"shape beyond any worker", func(c *shop.Config) { c.Classes[0].Shape = onWorker(2, 33) }, shop.NeverMatches, "classes.mockup.shape"},
		{"shape beyond all quotas", func(c *shop.Config) { c.Classes[0].Shape = shop.Shape{Tasks: 3, Accelerators: 8} }, shop.Contradiction, "classes.mockup.shape"},
		{"shape beyond the workers", func(c *shop.Config) { c.Classes[0].Shape = onWorker(1, 16) }, shop.NeverMatches, "classes.mockup.shape"},
		{"class twice", func(c *shop.Config) { c.BackendServers[0].Classes = []string{"price", "price"} }, shop.NeverMatches, "backend-servers.*.classes[1]"},
		{"backend server of an unknown worker", func(c *shop.Config) { c.BackendServers[1].Name = "worker-c1" }, shop.NeverMatches, "backend-servers.worker-c1.name"},
		{"backend server behind others", func(c *shop.Config) {
			for _, w := range soundWorkers()[1:] {
				c.BackendServers = append(c.BackendServers, shop.BackendServer{Name: w.Place.Worker, Classes: []string{"price"}})
			}
		}, shop.NeverMatches, "backend-servers.*.name"},
		{"evacuated zone without workers", func(c *shop.Config) { c.EvacuatedZones = []string{"a", "south/b", "c"} }, shop.NeverMatches, "evacuated-zones[1]"},
		{"guarantees beyond the workers", func(c *shop.Config) { c.Teams[0].Quota, c.Teams[0].Guarantees[0].Count = 0, 9 }, shop.Contradiction, "teams.quotes.guarantees[0]"},
		{"guarantees beyond the workers of one zone", func(c *shop.Config) { c.Teams[0].Quota, c.Teams[0].Guarantees[0].Count = 0, 5 }, shop.Contradiction, "teams.quotes.guarantees[0]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := soundConfig()
			tt.change(&c)
			c = c.WithDefaults()
			if err := c.Validate().Err(); err != nil {
				t.Fatalf("not valid: %v", err)
			}
			found := false
			findings := Config(c, soundWorkers())
			for _, f := range findings {
				found = found || f.Kind == tt.kind && f.Field == tt.field && f.Message != ""
			}
			if !found {
				t.Errorf("no %s at %q among:\n%v", tt.kind, tt.field, findings)
			}
		})
	}
	if diff := cmp.Diff(shop.FindingList(nil), Config(soundConfig().WithDefaults(), soundWorkers())); diff != "" {
		t.Errorf("findings of a sound configuration (-want +got):\n%s", diff)
	}
	beyond := soundConfig()
	beyond.Teams[0].Quota, beyond.Teams[0].Guarantees[0].Count = 0, 99
	if diff := cmp.Diff(shop.FindingList(nil), Config(beyond.WithDefaults(), nil)); diff != "" {
		t.Errorf("findings where the workers are not known (-want +got):\n%s", diff)
	}
}

func TestChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(*shop.Config)
		want   []Change
	}{
		{"nothing", func(*shop.Config) {}, []Change{}},
		{"a team goes", func(c *shop.Config) { c.Teams = c.Teams[:1] }, []Change{
			{shop.Change{Field: "teams.vans.name", Before: `"vans"`}, "its new work is refused; its waiting jobs end as not run"},
			{shop.Change{Field: "teams.vans.quota", Before: "8"}, ""},
			{shop.Change{Field: "teams.vans.weight", Before: "1"}, ""},
		}},
		{"a lower quota", func(c *shop.Config) { c.Teams[1].Quota = 4 }, []Change{
			{shop.Change{Field: "teams.vans.quota", Before: "8", After: "4"}, "also for jobs that wait: those above it end as not run"},
		}},
		{"a default shape", func(c *shop.Config) { c.Classes[0].Shape = onWorker(1, 4) }, []Change{
			{shop.Change{Field: "classes.mockup.shape.accelerators", Before: "8", After: "4"}, "for new jobs that declare none"},
		}},
		{"a backend server with less room", func(c *shop.Config) { c.BackendServers[0].Slots = 2 }, []Change{
			{shop.Change{Field: "backend-servers.*.slots", Before: "8", After: "2"}, "requests in progress go on, and count"},
		}},
		{"a weight of the policy", func(c *shop.Config) { c.Policy.LargeWait = seconds(60) }, []Change{
			{shop.Change{Field: "policy.large-wait", Before: `"30m0s"`, After: `"1m0s"`}, ""},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := soundConfig()
			tt.change(&c)
			if diff := cmp.Diff(tt.want, Changes(soundConfig().WithDefaults(), c.WithDefaults())); diff != "" {
				t.Errorf("changes (-want +got):\n%s", diff)
			}
		})
	}
}
