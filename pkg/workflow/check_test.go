package workflow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
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
		kind   FindingKind
		field  string
	}{
		{"version of zero", func(r *Rules) { r.Version = 0 }, Mistake, "version"},
		{"negative body size", func(r *Rules) { r.MaxBody = -1 }, Mistake, "max-body"},
		{"queue without a name", func(r *Rules) { r.Queues[0].Name = "" }, Mistake, "queues[0].name"},
		{"two queues of one name", func(r *Rules) { r.Queues[1].Name = "quotes" }, Mistake, "queues.quotes.name"},
		{"prefix that ends in no slash", func(r *Rules) { r.Queues[0].Prefix = "/quotes" }, Mistake, "queues.quotes.prefix"},
		{"negative priority", func(r *Rules) { r.Queues[1].Priority = -1 }, Mistake, "queues.mockups.priority"},
		{"negative timeout", func(r *Rules) { r.Queues[1].Timeout = -time.Second }, Mistake, "queues.mockups.timeout"},
		{"negative guarantee", func(r *Rules) { r.Teams[1].Guaranteed = -1 }, Mistake, "teams.south.guaranteed"},
		{"two teams of one name", func(r *Rules) { r.Teams[1].Name = "north" }, Mistake, "teams.north.name"},
		{"queue behind another one", func(r *Rules) { r.Queues[1].Prefix, r.Queues[1].Host = "/quotes/", "SHOP.example" }, NeverMatches, "queues.mockups.prefix"},
		{"prefix that no path has", func(r *Rules) { r.Queues[0].Prefix = "quotes/" }, NeverMatches, "queues.quotes.prefix"},
		{"no host", func(r *Rules) { r.Queues[0].Host = "" }, NeverMatches, "queues.quotes.host"},
		{"unknown service", func(r *Rules) { r.Queues[0].Service = "lab" }, NeverMatches, "queues.quotes.service"},
		{"advised queue", func(r *Rules) { r.Queues[0].ExternallyPlaced = true }, NeverMatches, "queues.quotes.advised"},
		{"service without queues", func(r *Rules) { r.Services = append(r.Services, Service{Name: "lab"}) }, NeverMatches, "services[1].name"},
		{"service without workers", func(r *Rules) {
			r.Services = append(r.Services, Service{Name: "lab"})
			r.Queues = append(r.Queues, Queue{Name: "trials", Host: "lab.example", Prefix: "/", Service: "lab", Stretch: 2})
		}, NeverMatches, "services[1].name"},
		{"key of two teams", func(r *Rules) { r.Teams[1].Keys = []string{"key-of-north"} }, NeverMatches, "teams.south.keys[0]"},
		{"empty key", func(r *Rules) { r.Teams[1].Keys = []string{""} }, NeverMatches, "teams.south.keys[0]"},
		{"guarantee without a key", func(r *Rules) { r.Teams[0].Keys = nil }, Contradiction, "teams.north.guaranteed"},
		{"guarantees without urgent work", func(r *Rules) { r.Queues[0].Priority = 1 }, Contradiction, "teams"},
		{"guarantees beyond the workers", func(r *Rules) { r.Teams[1].Guaranteed = 9 }, Contradiction, "teams"},
		{"guarantees beyond the workers of one zone", func(r *Rules) { r.Teams[1].Guaranteed = 8 }, Contradiction, "teams"},
		{"objective that is over at once", func(r *Rules) { r.Queues[0].Stretch, r.Queues[0].Target = 0, 0 }, Contradiction, "queues.quotes.target"},
		{"stretch that no worker meets", func(r *Rules) { r.Queues[0].Stretch = 0.5 }, Contradiction, "queues.quotes.stretch"},
		{"timeout shorter than storing a job", func(r *Rules) { r.Queues[0].Timeout = 20 * time.Millisecond }, Contradiction, "queues.quotes.timeout"},
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
	if diff := cmp.Diff(FindingList(nil), sound.Check(soundWorkers())); diff != "" {
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
