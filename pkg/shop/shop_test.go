package shop

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func ExampleMask_First() {
	free := Mask(0b1011)
	fmt.Printf("%b %d\n", free.First(2), free.Len())
	// Output: 11 3
}

func ExampleBytes() {
	var b Bytes
	_ = b.UnmarshalText([]byte("16GiB"))
	fmt.Println(b, uint64(b))
	// Output: 16GiB 17179869184
}

func TestConfigValidate(t *testing.T) {
	valid := Config{
		Teams:          TeamList{{Name: "quotes", Guarantees: []Guarantee{{Shape: Shape{Tasks: 2, Accelerators: 1, Adjacency: SameRack}}}}},
		Classes:        ClassList{{Name: "quote", Urgent: true}},
		BackendServers: BackendServerList{{Name: "*", Classes: []string{"quote"}}},
	}
	tests := []struct {
		name   string
		change func(*Config)
		want   []string
	}{
		{"valid", func(*Config) {}, nil},
		{"team name", func(c *Config) { c.Teams = TeamList{{Name: "Quotes"}} }, []string{"teams.Quotes.name"}},
		{"duplicate team", func(c *Config) { c.Teams = append(c.Teams, Team{Name: "quotes"}) }, []string{"teams.quotes"}},
		{"quota below guarantee", func(c *Config) {
			c.Teams = TeamList{{Name: "a", Quota: 1, Guarantees: []Guarantee{{Shape: Shape{Accelerators: 2}}}}}
		}, []string{"teams.a.quota"}},
		{"guarantee of too many", func(c *Config) {
			c.Teams = TeamList{{Name: "a", Guarantees: []Guarantee{{Shape: Shape{Accelerators: 1}, Count: MaxGuaranteeCount + 1}}}}
		}, []string{"teams.a.guarantees[0].count"}},
		{"adjacency", func(c *Config) { c.Classes = ClassList{{Name: "quote", Shape: Shape{Adjacency: "desk"}}} }, []string{"classes.quote.shape.adjacency"}},
		{"preemptible but not idempotent", func(c *Config) { c.Classes = ClassList{{Name: "quote", Preemptible: true}} }, []string{"classes.quote.preemptible"}},
		{"unknown class", func(c *Config) { c.BackendServers = BackendServerList{{Name: "*", Classes: []string{"fit"}}} }, []string{"backend-servers.*.classes[0]"}},
		{"connections", func(c *Config) {
			c.BackendServers = BackendServerList{{Name: "*", Classes: []string{"quote"}, Slots: 9, Connections: 8}}
		}, []string{"backend-servers.*.connections"}},
		{"evacuated zones", func(c *Config) { c.EvacuatedZones = []string{"north-1", "south/a"} }, nil},
		{"evacuated zone without a name", func(c *Config) { c.EvacuatedZones = []string{""} }, []string{"evacuated-zones"}},
		{"policy", func(c *Config) { c.Policy.QuarantineShare = 2 }, []string{"policy.quarantine-share"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := valid
			tt.change(&c)
			err := c.WithDefaults().Validate().Err()
			if (err != nil) != (tt.want != nil) {
				t.Fatalf("Validate: %v", err)
			}
			var l ProblemList
			if err != nil && (!errors.As(err, &l) || !errors.Is(err, ErrInvalid)) {
				t.Fatalf("Validate: %T is not a ProblemList", err)
			}
			var got []string
			for _, p := range l {
				got = append(got, p.Field)
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestBytesText(t *testing.T) {
	tests := []struct {
		in   string
		want Bytes
		ok   bool
	}{
		{"0B", 0, true},
		{"512MiB", 512 * MiB, true},
		{"1025B", 1025, true},
		{"16", 0, false},
		{"-1GiB", 0, false},
		{"99999999999999GiB", 0, false},
	}
	for _, tt := range tests {
		var b Bytes
		err := b.UnmarshalText([]byte(tt.in))
		if (err == nil) != tt.ok || b != tt.want {
			t.Errorf("%s: %v, %v", tt.in, b, err)
		}
		if tt.ok && !strings.EqualFold(b.String(), tt.in) {
			t.Errorf("String of %s: %s", tt.in, b)
		}
	}
}
