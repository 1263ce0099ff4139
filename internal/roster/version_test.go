package roster_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"sniperill.example/sniperill/internal/roster"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// versionOf returns the version of an agent's configuration that an entry knows;
// zero when it does not know the agent.
func versionOf(r *roster.Roster, agent string) uint64 {
	m, ok := r.View().Agents.Find(agent)
	if !ok {
		return 0
	}
	return m.State.ConfigVersion
}

// TestVersionUpdatesWithoutStates checks that version updates change the versions of
// known agents, but not their other state, and add no agents.
func TestVersionUpdatesWithoutStates(t *testing.T) {
	primary, other, unaware := newRoster("e1", "fi", "z1"), newRoster("e2", "fi", "z2"), newRoster("e3", "fi", "z3")
	full := fullState(1)
	if _, err := primary.Heartbeat(newHeartbeatWithState(full)); err != nil {
		t.Fatal(err)
	}
	exchange(primary, other)
	for version := uint64(2); version <= 3; version++ {
		b := newHeartbeat(full)
		b.ConfigVersion = version
		res, err := primary.Heartbeat(b)
		if err != nil || res.WantState {
			t.Fatal(res, err)
		}
		update := primary.UpdateRequest(nil, []string{full.Name})
		other.HandleExchange(update)
		unaware.HandleExchange(update)
		if got := versionOf(other, full.Name); got != version {
			t.Errorf("version %d after an update to %d", got, version)
		}
	}
	other.HandleExchange(&sniperillv1.ExchangeRequest{States: []*sniperillv1.AgentState{{
		Name: full.Name, Incarnation: full.Incarnation, Sequence: full.Sequence, ConfigVersion: 1,
	}}})
	m, _ := other.View().Agents.Find(full.Name)
	want := fullState(1)
	want.ConfigVersion = 3
	if d := cmp.Diff(want, m.State, protocmp.Transform()); d != "" {
		t.Error(d)
	}
	if _, ok := unaware.View().Agents.Find(full.Name); ok {
		t.Error("a version update alone added an agent")
	}
}

// TestLostVersionsAreRepeated checks that versions reach an entry that has missed the
// version updates, as they are repeated in exchanges.
func TestLostVersionsAreRepeated(t *testing.T) {
	a, b := newRoster("e1", "fi", "z1"), newRoster("e2", "fi", "z2")
	exchange(a, b)
	exchange(b, a)
	var names []string
	for i := range 20 {
		s := fullState(i)
		names = append(names, s.Name)
		for _, r := range []*roster.Roster{a, b} {
			if _, err := r.Heartbeat(newHeartbeatWithState(s)); err != nil {
				t.Fatal(err)
			}
		}
		hb := newHeartbeat(s)
		hb.ConfigVersion = 7
		if _, err := a.Heartbeat(hb); err != nil {
			t.Fatal(err)
		}
	}
	for range 8 {
		exchange(a, b)
	}
	for _, name := range names {
		m, _ := b.View().Agents.Find(name)
		primary := roster.AssignEntries(name, "fi", a.View().Entries.Live()).Primary.GetName()
		if primary == "e1" && m.State.ConfigVersion != 7 {
			t.Errorf("%s: version %d", name, m.State.ConfigVersion)
		}
	}
}
