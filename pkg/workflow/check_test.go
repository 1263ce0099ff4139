package workflow

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/pkg/shop"
)

// soundRules returns rules without findings.
func soundRules() Rules {
	return Rules{
		Version: 3, MaxBody: 1 << 18,
		Queues: []Queue{
			{Name: "quotes", Host: "shop.example", Prefix: "/quotes/", Service: "desk", MaxAttempts: 3, Stretch: 1.5, Target: time.Second, Timeout: 3 * time.Second},
			{Name: "mockups", Host: "shop.example", Prefix: "/mockups/", Service: "desk", Priority: 1, MaxAttempts: 3, Stretch: 3, Target: time.Second, Timeout: 3 * time.Second},
		},
		Services: []Service{{Name: "desk"}},
		Teams:    []Team{{Name: "north", Keys: []string{"key-of-north"}, Guaranteed: 8}, {Name: "south", Keys: []string{"key-of-south"}}},
	}
}

func soundWorkers() []ZonedWorker {
	w := Worker{Service: "desk", Resources: Resources{MilliCores: 8000, MemoryMB: 1000, Accelerators: 8}}
	return []ZonedWorker{{w, "a"}, {w, "b"}}
}

func TestCheckFindings(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Rules)
		kind   shop.FindingKind
		field  string
	}{
		{"version of zero", func(r *Rules) { r.Version = 0 }, shop.Mistake, "version"},
		{"negative body size", func(r *Rules) { r.MaxBody = -1 }, shop.Mistake, "max-body"},
		{"queue without a name", func(r *Rules) { r.Queues[0].Name = "" }, shop.Mistake, "queues[0].name"},
		{"two queues of one name", func(r *Rules) { r.Queues[1].Name = "quotes" }, shop.Mistake, "queues.quotes.name"},
		{"prefix that ends in no slash", func(r *Rules) { r.Queues[0].Prefix = "/quotes" }, shop.Mistake, "queues.quotes.prefix"},
		{"negative priority", func(r *Rules) { r.Queues[1].Priority = -1 }, shop.Mistake, "queues.mockups.priority"},
		{"negative timeout", func(r *Rules) { r.Queues[1].Timeout = -time.Second }, shop.Mistake, "queues.mockups.timeout"},
		{"negative guarantee", func(r *Rules) { r.Teams[1].Guaranteed = -1 }, shop.Mistake, "teams.south.guaranteed"},
		{"two teams of one name", func(r *Rules) { r.Teams[1].Name = "north" }, shop.Mistake, "teams.north.name"},
		{"queue behind another one", func(r *Rules) { r.Queues[1].Prefix, r.Queues[1].Host = "/quotes/", "SHOP.example" }, shop.NeverMatches, "queues.mockups.prefix"},
		{"prefix that no path has", func(r *Rules) { r.Queues[0].Prefix = "quotes/" }, shop.NeverMatches, "queues.quotes.prefix"},
		{"no host", func(r *Rules) { r.Queues[0].Host = "" }, shop.NeverMatches, "queues.quotes.host"},
		{"host with a port", func(r *Rules) { r.Queues[0].Host = "shop.example:443" }, shop.NeverMatches, "queues.quotes.host"},
		{"queue that nobody has a key for", func(r *Rules) { r.Teams[0].Keys, r.Teams[1].Keys = nil, []string{""} }, shop.NeverMatches, "queues.quotes.public"},
		{"unknown service", func(r *Rules) { r.Queues[0].Service = "lab" }, shop.NeverMatches, "queues.quotes.service"},
		{"advised queue", func(r *Rules) { r.Queues[0].ExternallyPlaced = true }, shop.NeverMatches, "queues.quotes.advised"},
		{"service without queues", func(r *Rules) { r.Services = append(r.Services, Service{Name: "lab"}) }, shop.NeverMatches, "services[1].name"},
		{"service without workers", func(r *Rules) {
			r.Services = append(r.Services, Service{Name: "lab"})
			r.Queues = append(r.Queues, Queue{Name: "trials", Host: "lab.example", Prefix: "/", Service: "lab", Stretch: 2})
		}, shop.NeverMatches, "services[1].name"},
		{"key of two teams", func(r *Rules) { r.Teams[1].Keys = []string{"key-of-north"} }, shop.NeverMatches, "teams.south.keys[0]"},
		{"empty key", func(r *Rules) { r.Teams[1].Keys = []string{""} }, shop.NeverMatches, "teams.south.keys[0]"},
		{"guarantee without a key", func(r *Rules) { r.Teams[0].Keys = nil }, shop.Contradiction, "teams.north.guaranteed"},
		{"guarantees without urgent work", func(r *Rules) { r.Queues[0].Priority = 1 }, shop.Contradiction, "teams"},
		{"guarantees beyond the workers", func(r *Rules) { r.Teams[1].Guaranteed = 9 }, shop.Contradiction, "teams"},
		{"guarantees beyond the workers of one zone", func(r *Rules) { r.Teams[1].Guaranteed = 8 }, shop.Contradiction, "teams"},
		{"objective that is over at once", func(r *Rules) { r.Queues[0].Stretch, r.Queues[0].Target = 0, 0 }, shop.Contradiction, "queues.quotes.target"},
		{"objective that leaves no time to start", func(r *Rules) { r.Queues[0].Stretch, r.Queues[0].Target = 1, 0 }, shop.Contradiction, "queues.quotes.target"},
		{"guarantees for urgent work that is refused", func(r *Rules) { r.Queues[0].ExternallyPlaced = true }, shop.Contradiction, "teams"},
		{"stretch that no worker meets", func(r *Rules) { r.Queues[0].Stretch = 0.5 }, shop.Contradiction, "queues.quotes.stretch"},
		{"timeout shorter than storing a job", func(r *Rules) { r.Queues[0].Timeout = 20 * time.Millisecond }, shop.Contradiction, "queues.quotes.timeout"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := soundRules()
			tt.change(&r)
			found := false
			for _, f := range r.Check(soundWorkers()) {
				found = found || f.Kind == tt.kind && f.Field == tt.field && f.Message != ""
			}
			if !found {
				t.Errorf("no %s at %q among %v", tt.kind, tt.field, r.Check(soundWorkers()))
			}
		})
	}
	sound := soundRules()
	if diff := cmp.Diff(shop.FindingList(nil), sound.Check(soundWorkers())); diff != "" {
		t.Errorf("findings of sound rules (-want +got):\n%s", diff)
	}
}

func TestRulesChanges(t *testing.T) {
	inForce := soundRules()
	tests := []struct {
		name   string
		change func(*Rules)
		want   []string // Fields.
	}{
		{"nothing but the version", func(*Rules) {}, nil},
		{"an old version", func(r *Rules) { r.Version = 3 }, []string{"version"}},
		{"a queue that closes", func(r *Rules) { r.Queues = r.Queues[:1] }, []string{"queues.mockups"}},
		{"a queue that opens", func(r *Rules) {
			r.Queues = append(r.Queues, Queue{Name: "routes", Host: "h", Prefix: "/r/", Service: "desk"})
		}, []string{"queues.routes"}},
		{"a queue that moves", func(r *Rules) { r.Queues[0].Prefix = "/prices/" }, []string{"queues.quotes.address"}},
		{"another service", func(r *Rules) { r.Queues[0].Service = "lab" }, []string{"queues.quotes.service"}},
		{"a key that ends", func(r *Rules) { r.Teams[0].Keys = nil }, []string{"teams.north.keys"}},
		{"a team that goes", func(r *Rules) { r.Teams = r.Teams[:1] }, []string{"teams.south", "teams.south.keys"}},
		{"a guarantee", func(r *Rules) { r.Teams[1].Guaranteed = 4 }, []string{"teams.south.guaranteed"}},
		{"a service that ends", func(r *Rules) { r.Services = nil }, []string{"services.desk"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := soundRules()
			r.Version++
			tt.change(&r)
			var got []string
			for _, c := range r.Changes(&inForce) {
				got = append(got, c.Field)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("changed fields (-want +got):\n%s", diff)
			}
		})
	}
}

func TestEffectsOfChanges(t *testing.T) {
	inForce := soundRules()
	inForce.Queues = append(inForce.Queues, Queue{Name: "all", Host: "shop.example", Prefix: "/", Service: "desk", Stretch: 2})
	tests := []struct {
		name   string
		change func(*Rules)
		field  string
		want   string // Part of the effect.
	}{
		{"a key that ends", func(r *Rules) { r.Teams[0].Keys = nil }, "teams.north.keys", "get 401"},
		{"a key that another team gets", func(r *Rules) { r.Teams[0].Keys, r.Teams[1].Keys = nil, []string{"key-of-south", "key-of-north"} }, "teams.north.keys", `are those of team "south"`},
		{"a key that another team keeps", func(r *Rules) { r.Teams[1].Keys = []string{"key-of-south", "key-of-north"} }, "teams.south.keys", `are those of team "north"`},
		{"a queue that closes", func(r *Rules) { r.Queues = r.Queues[1:] }, "queues.quotes", "get 404"},
		{"a queue that moves", func(r *Rules) { r.Queues[0].Prefix = "/prices/" }, "queues.quotes.address", "get 404"},
		{"two queues that swap places", func(r *Rules) { r.Queues[0].Prefix, r.Queues[1].Prefix = "/mockups/", "/quotes/" }, "queues.quotes.address", `calls at the address before go to queue "mockups"`},
		{"another spelling of the host", func(r *Rules) { r.Queues[0].Host = "Shop.example" }, "queues.quotes.address", `calls at the address before go to queue "quotes"`},
		{"a queue that opens behind another", func(r *Rules) {
			r.Queues = append(r.Queues, Queue{Name: "late", Host: "shop.example", Prefix: "/quotes/", Service: "desk", Stretch: 2})
		}, "queues.late", `go to queue "quotes"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := soundRules()
			r.Queues = append(r.Queues, inForce.Queues[2])
			r.Version++
			tt.change(&r)
			changes := r.Changes(&inForce)
			if !slices.ContainsFunc(changes, func(c Change) bool { return c.Field == tt.field && strings.Contains(c.Effect, tt.want) }) {
				t.Errorf("no change of %q with the effect %q among %v", tt.field, tt.want, changes)
			}
		})
	}
}
