package roster_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"sniperill.example/sniperill/internal/roster"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// versionOf is the version that an entry knows of an agent; zero when it knows
// no state of it.
func versionOf(r *roster.Roster, agent string) uint64 {
	m, ok := r.View().Agents.Find(agent)
	if !ok {
		return 0
	}
	return m.State.ConfigVersion
}

func TestVersionUpdatesWithoutStates(t *testing.T) {
	home, other, stranger := newRoster("e1", "fi", "z1"), newRoster("e2", "fi", "z2"), newRoster("e3", "fi", "z3")
	whole := fullState(1)
	if _, err := home.Heartbeat(newHeartbeatWithState(whole)); err != nil {
		t.Fatal(err)
	}
	exchange(home, other)
	for version := uint64(2); version <= 3; version++ {
		b := newHeartbeat(whole)
		b.ConfigVersion = version
		res, err := home.Heartbeat(b)
		if err != nil || res.WantState {
			t.Fatal(res, err)
		}
		news := home.UpdateRequest(nil, []string{whole.Name})
		other.HandleExchange(news)
		stranger.HandleExchange(news)
		if got := versionOf(other, whole.Name); got != version {
			t.Errorf("version %d after a note of %d", got, version)
		}
	}
	other.HandleExchange(&sniperillv1.ExchangeRequest{States: []*sniperillv1.AgentState{{
		Name: whole.Name, Incarnation: whole.Incarnation, Sequence: whole.Sequence, ConfigVersion: 1,
	}}})
	m, _ := other.View().Agents.Find(whole.Name)
	want := fullState(1)
	want.ConfigVersion = 3
	if d := cmp.Diff(want, m.State, protocmp.Transform()); d != "" {
		t.Error(d)
	}
	if _, ok := stranger.View().Agents.Find(whole.Name); ok {
		t.Error("a note alone made an agent known")
	}
}

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
