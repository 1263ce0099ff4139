package roster_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"sniperill.example/sniperill/internal/roster"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

var errNoPingAnswer = errors.New("no answer to the ping")

func newRoster(name, region, zone string) *roster.Roster {
	return &roster.Roster{
		Self:  &sniperillv1.EntryPeer{Name: name, Region: region, Zone: zone, Incarnation: 1},
		Probe: func(context.Context, *sniperillv1.AgentState) error { return errNoPingAnswer },
	}
}

func state(name, region string, incarnation, sequence uint64) *sniperillv1.AgentState {
	return &sniperillv1.AgentState{
		Name:        name,
		Incarnation: incarnation,
		Sequence:    sequence,
		Place:       &sniperillv1.Place{Region: region, Zone: "z1", Worker: name},
	}
}

func newHeartbeatWithState(s *sniperillv1.AgentState) *sniperillv1.HeartbeatRequest {
	return &sniperillv1.HeartbeatRequest{
		Agent:       s.GetName(),
		Incarnation: s.GetIncarnation(),
		Sequence:    s.GetSequence(),
		State:       s,
		Leaving:     s.GetLeaving(),
	}
}

func newHeartbeat(s *sniperillv1.AgentState) *sniperillv1.HeartbeatRequest {
	req := newHeartbeatWithState(s)
	req.State = nil
	return req
}

// agentStatus is what a Roster knows of an agent.
type agentStatus struct {
	Incarnation, Sequence uint64
	Health                roster.Health
	Leaving               bool
}

func statusOf(r *roster.Roster, name string) agentStatus {
	m, ok := r.View().Agents.Find(name)
	if !ok {
		return agentStatus{}
	}
	return agentStatus{m.State.GetIncarnation(), m.State.GetSequence(), m.Health, m.Leaving()}
}

func TestHeartbeat(t *testing.T) {
	leaving := state("a", "fi", 5, 3)
	leaving.Leaving = true
	tests := []struct {
		name       string
		heartbeats []*sniperillv1.HeartbeatRequest
		want       agentStatus
		wantState  bool // Whether the response asks for the state.
		err        error
	}{
		{"announce", []*sniperillv1.HeartbeatRequest{newHeartbeatWithState(state("a", "fi", 5, 1))}, agentStatus{5, 1, roster.Alive, false}, false, nil},
		{"unknown", []*sniperillv1.HeartbeatRequest{newHeartbeat(state("a", "fi", 5, 1))}, agentStatus{5, 0, roster.Alive, false}, true, nil},
		{"same", []*sniperillv1.HeartbeatRequest{newHeartbeatWithState(state("a", "fi", 5, 1)), newHeartbeat(state("a", "fi", 5, 1))}, agentStatus{5, 1, roster.Alive, false}, false, nil},
		{"newer sequence", []*sniperillv1.HeartbeatRequest{newHeartbeatWithState(state("a", "fi", 5, 1)), newHeartbeat(state("a", "fi", 5, 2))}, agentStatus{5, 1, roster.Alive, false}, true, nil},
		{"older sequence", []*sniperillv1.HeartbeatRequest{newHeartbeatWithState(state("a", "fi", 5, 2)), newHeartbeatWithState(state("a", "fi", 5, 1))}, agentStatus{5, 2, roster.Alive, false}, false, nil},
		{"newer incarnation", []*sniperillv1.HeartbeatRequest{newHeartbeatWithState(state("a", "fi", 5, 9)), newHeartbeat(state("a", "fi", 6, 1))}, agentStatus{6, 0, roster.Alive, false}, true, nil},
		{"older incarnation", []*sniperillv1.HeartbeatRequest{newHeartbeatWithState(state("a", "fi", 6, 1)), newHeartbeatWithState(state("a", "fi", 5, 9))}, agentStatus{6, 1, roster.Alive, false}, false, roster.ErrOldIncarnation},
		{"leaving", []*sniperillv1.HeartbeatRequest{newHeartbeatWithState(state("a", "fi", 5, 1)), newHeartbeat(leaving)}, agentStatus{5, 1, roster.Alive, true}, true, nil},
		{"leaving is final", []*sniperillv1.HeartbeatRequest{newHeartbeatWithState(leaving), newHeartbeatWithState(state("a", "fi", 5, 4))}, agentStatus{5, 4, roster.Alive, true}, false, nil},
		{"back after leaving", []*sniperillv1.HeartbeatRequest{newHeartbeatWithState(leaving), newHeartbeatWithState(state("a", "fi", 6, 1))}, agentStatus{6, 1, roster.Alive, false}, false, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRoster("e1", "fi", "z1")
			notified := 0
			r.NotifyEntries = func() { notified++ }
			var res *sniperillv1.HeartbeatResponse
			var err error
			for _, b := range tt.heartbeats {
				res, err = r.Heartbeat(b)
			}
			if !errors.Is(err, tt.err) || res.GetWantState() != tt.wantState {
				t.Errorf("Heartbeat: %v, %v", res, err)
			}
			if d := cmp.Diff(tt.want, statusOf(r, "a")); d != "" {
				t.Error(d)
			}
			if leaving := tt.want.Leaving; leaving != (notified == 1) && tt.name != "back after leaving" {
				t.Errorf("other entries notified %d times", notified)
			}
		})
	}
}

func TestUnchangedHeartbeatKeepsView(t *testing.T) {
	r := newRoster("e1", "fi", "z1")
	for i := range 100 {
		if _, err := r.Heartbeat(newHeartbeatWithState(state(fmt.Sprint("a", i), "fi", 1, 1))); err != nil {
			t.Fatal(err)
		}
	}
	before := r.View()
	for range 10 {
		if _, err := r.Heartbeat(newHeartbeat(state("a7", "fi", 1, 1))); err != nil {
			t.Fatal(err)
		}
	}
	if r.View() != before {
		t.Error("a heartbeat without changes replaced the view")
	}
}

func TestExchangeWithoutNewsKeepsView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newRoster("e1", "fi", "z1"), newRoster("e2", "fi", "z2")
		exchange(a, b)
		exchange(b, a)
		before := a.View()
		for range 10 {
			time.Sleep(roster.DefaultSuspectAfter)
			exchange(b, a)
			a.Tick(t.Context())
			b.Tick(t.Context())
		}
		if a.View() != before {
			t.Error("an exchange without changes replaced the view")
		}
		if n := len(a.View().Entries.Live()); n != 2 {
			t.Errorf("%d entries are live", n)
		}
	})
}

// sendHeartbeats sends a heartbeat of each of the named agents and calls Tick, every
// second for the given duration.
func sendHeartbeats(t *testing.T, r *roster.Roster, d time.Duration, names ...string) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		for _, name := range names {
			if _, err := r.Heartbeat(newHeartbeat(state(name, "fi", 1, 1))); err != nil {
				t.Fatal(err)
			}
		}
		r.Tick(t.Context())
	}
}

func TestSilence(t *testing.T) {
	tests := []struct {
		name   string
		agents int
		alive  int    // How many of them keep sending heartbeats.
		answer bool   // Whether agents answer probes.
		region string // Region of another entry that finds the rest silent too; empty for none.
		want   roster.Health
	}{
		{"one silent", 5, 4, false, "", roster.Dead},
		{"one answers a probe", 5, 4, true, "", roster.Alive},
		{"many silent", 5, 1, false, "", roster.Suspect},
		{"many silent, confirmed", 5, 1, false, "fi", roster.Dead},
		{"many silent, confirmed from another region", 5, 1, false, "my", roster.Suspect},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRoster("e1", "fi", "z1")
				if tt.answer {
					r.Probe = func(context.Context, *sniperillv1.AgentState) error { return nil }
				}
				var names []string
				for i := range tt.agents {
					name := fmt.Sprint("a", i)
					names = append(names, name)
					if _, err := r.Heartbeat(newHeartbeatWithState(state(name, "fi", 1, 1))); err != nil {
						t.Fatal(err)
					}
				}
				sendHeartbeats(t, r, roster.DefaultSuspectAfter+2*time.Second, names[:tt.alive]...)
				first := roster.Suspect
				if tt.answer {
					first = roster.Alive
				}
				if d := cmp.Diff(first, statusOf(r, names[tt.alive]).Health); d != "" {
					t.Error(d)
				}
				sendHeartbeats(t, r, roster.DefaultDeadAfter, names[:tt.alive]...)
				if tt.region != "" {
					for _, name := range names[tt.alive:] {
						r.MergeDigests(tt.region, []*sniperillv1.AgentDigest{{
							Name: name, Incarnation: 1, Sequence: 1, Age: protoDuration(time.Hour),
						}})
					}
				}
				r.Tick(t.Context())
				if d := cmp.Diff(tt.want, statusOf(r, names[tt.alive]).Health); d != "" {
					t.Error(d)
				}
				// After the silence the agents are alive again in the same incarnation.
				sendHeartbeats(t, r, 2*time.Second, names...)
				if d := cmp.Diff(roster.Alive, statusOf(r, names[tt.alive]).Health); d != "" {
					t.Error(d)
				}
				if d := cmp.Diff(roster.Alive, statusOf(r, names[0]).Health); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// exchange runs a complete exchange and returns the size of its messages in bytes.
func exchange(from, to *roster.Roster) int {
	n := 0
	req := from.StartExchange()
	for round := 0; req != nil && round < 2; round++ {
		res := to.HandleExchange(req)
		n += protoSize(req) + protoSize(res)
		req = from.HandleExchangeResponse(res)
	}
	return n
}

// TestPartitionedRegions checks that each region works on its own while the regions
// are partitioned, and that both have the same view after the partition heals.
func TestPartitionedRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var all []*roster.Roster
		for _, region := range []string{"fi", "my"} {
			for i := range 2 {
				all = append(all, newRoster(fmt.Sprint(region, i), region, fmt.Sprint("z", i)))
			}
		}
		sequence := uint64(1)
		round := func(partitioned bool) {
			for i := range 16 {
				region := []string{"fi", "my"}[i%2]
				primary := all[2*(i%2)+(i/2)%2]
				if _, err := primary.Heartbeat(newHeartbeatWithState(state(fmt.Sprint("a", i), region, 1, sequence))); err != nil {
					t.Fatal(err)
				}
			}
			for _, a := range all {
				for _, b := range all {
					if a != b && !(partitioned && a.Self.GetRegion() != b.Self.GetRegion()) {
						exchange(a, b)
					}
				}
				a.Tick(t.Context())
			}
			time.Sleep(all[0].Interval())
		}
		check := func(when string, r *roster.Roster, region string, want agentStatus) {
			for i := range 16 {
				if []string{"fi", "my"}[i%2] == region {
					if d := cmp.Diff(want, statusOf(r, fmt.Sprint("a", i))); d != "" {
						t.Errorf("%s, %s at %s: %s", when, region, r.Self.GetName(), d)
					}
				}
			}
		}
		for range 10 {
			round(false)
		}
		for _, r := range all {
			check("before the partition", r, "fi", agentStatus{1, 1, roster.Alive, false})
			check("before the partition", r, "my", agentStatus{1, 1, roster.Alive, false})
			if d := cmp.Diff(all[0].View().Planner("fi"), r.View().Planner("fi"), protocmp.Transform()); d != "" {
				t.Error(d)
			}
		}
		sequence = 2
		for range 60 {
			round(true)
		}
		check("partitioned", all[0], "fi", agentStatus{1, 2, roster.Alive, false})
		check("partitioned", all[0], "my", agentStatus{1, 1, roster.Suspect, false})
		if all[0].View().Planner("my") != nil {
			t.Error("an unreachable region has a planner")
		}
		for range 10 {
			round(false)
		}
		for _, r := range all {
			check("after the partition", r, "fi", agentStatus{1, 2, roster.Alive, false})
			check("after the partition", r, "my", agentStatus{1, 2, roster.Alive, false})
		}
	})
}

// TestMergedStateDoesNotCountAsHeard checks that a state from another entry makes an
// agent alive again only when a digest says that the entry heard from it recently.
func TestMergedStateDoesNotCountAsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster("e1", "fi", "z1")
		if _, err := r.Heartbeat(newHeartbeatWithState(state("a", "fi", 1, 1))); err != nil {
			t.Fatal(err)
		}
		time.Sleep(roster.DefaultSuspectAfter + time.Second)
		r.MergeStates([]*sniperillv1.AgentState{state("a", "fi", 1, 2)}, nil)
		r.Tick(t.Context())
		if d := cmp.Diff(agentStatus{1, 2, roster.Suspect, false}, statusOf(r, "a")); d != "" {
			t.Error(d)
		}
		r.MergeStates([]*sniperillv1.AgentState{state("a", "fi", 1, 3)},
			[]*sniperillv1.AgentDigest{{Name: "a", Incarnation: 1, Sequence: 3, Age: protoDuration(time.Second)}})
		r.Tick(t.Context())
		if d := cmp.Diff(agentStatus{1, 3, roster.Alive, false}, statusOf(r, "a")); d != "" {
			t.Error(d)
		}
	})
}

func TestLeavingReachesOtherEntries(t *testing.T) {
	a, b := newRoster("e1", "fi", "z1"), newRoster("e2", "fi", "z2")
	a.NotifyEntries = func() { exchange(a, b) }
	s := state("a", "fi", 1, 1)
	for _, r := range []*roster.Roster{a, b} {
		if _, err := r.Heartbeat(newHeartbeatWithState(s)); err != nil {
			t.Fatal(err)
		}
	}
	leaving := newHeartbeat(s)
	leaving.Leaving = true
	if _, err := a.Heartbeat(leaving); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(agentStatus{1, 1, roster.Alive, true}, statusOf(b, "a")); d != "" {
		t.Error(d)
	}
	a.Leave()
	exchange(a, b)
	if d := cmp.Diff("e2", b.View().Planner("fi").GetName()); d != "" {
		t.Error(d)
	}
}

func TestInterval(t *testing.T) {
	tests := []struct {
		agents, entries int
		want            time.Duration
	}{
		{11, 3, roster.MinInterval},
		{320, 4, 6442 * time.Millisecond},
		{640, 4, 12419 * time.Millisecond},
		{640, 7, 9271 * time.Millisecond},
		{640, 1, roster.MaxInterval},
	}
	for _, tt := range tests {
		r := newRoster("e0", "fi", "z0")
		for i := 1; i < tt.entries; i++ {
			exchange(newRoster(fmt.Sprint("e", i), "fi", "z0"), r)
		}
		for i := range tt.agents {
			if _, err := r.Heartbeat(newHeartbeatWithState(state(fmt.Sprint("a", i), "fi", 1, 1))); err != nil {
				t.Fatal(err)
			}
		}
		if d := cmp.Diff(tt.want, r.Interval().Truncate(time.Millisecond)); d != "" {
			t.Errorf("%d agents, %d entries: %s", tt.agents, tt.entries, d)
		}
	}
}

func TestHoldTimeNotLongerThanAnnounced(t *testing.T) {
	r := newRoster("e1", "fi", "z1")
	if _, err := r.Heartbeat(newHeartbeatWithState(state("a0", "fi", 1, 1))); err != nil {
		t.Fatal(err)
	}
	announced := r.NextHoldTime("a0")
	for i := range 640 {
		if _, err := r.Heartbeat(newHeartbeatWithState(state(fmt.Sprint("a", i), "fi", 1, 1))); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.HoldTime("a0"); got != announced {
		t.Errorf("held for %v, but %v was announced", got, announced)
	}
	if got := r.HoldTime("a1"); got != roster.InitialHoldTime {
		t.Errorf("held for %v before a hold time was announced", got)
	}
	if got := r.NextHoldTime("a0"); got != roster.MaxInterval {
		t.Errorf("announced %v", got)
	}
	if got := r.HoldTime("a0"); got != roster.MaxInterval {
		t.Errorf("held for %v after the longer hold time was announced", got)
	}
}

func TestAssignEntries(t *testing.T) {
	var entries []*sniperillv1.EntryPeer
	for i := range 4 {
		entries = append(entries, &sniperillv1.EntryPeer{Name: fmt.Sprint("e", i), Region: "fi", Zone: fmt.Sprint("z", i%2)})
	}
	entries = append(entries, &sniperillv1.EntryPeer{Name: "far", Region: "my", Zone: "m1"})
	const agents = 640
	primaries := make(map[string]int)
	for i := range agents {
		assigned := roster.AssignEntries(fmt.Sprint("a", i), "fi", entries)
		if assigned.Primary.GetRegion() != "fi" || assigned.Standby.GetRegion() != "fi" || assigned.Primary.GetZone() == assigned.Standby.GetZone() {
			t.Fatalf("assigned entries: %v", assigned)
		}
		primaries[assigned.Primary.GetName()]++
	}
	for name, n := range primaries {
		if n < agents/8 || n > agents/2 {
			t.Errorf("%s is primary of %d agents", name, n)
		}
	}
	if d := cmp.Diff(roster.AssignedEntries{}, roster.AssignEntries("a", "fi", nil)); d != "" {
		t.Error(d)
	}
	if assigned := roster.AssignEntries("a", "fi", entries[:1]); assigned.Primary == nil || assigned.Standby != nil {
		t.Errorf("assigned with one entry: %v", assigned)
	}
}

// TestMergeOrder checks that the result of merging states depends neither on their
// order nor on how often each arrives.
func TestMergeOrder(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		agentState := rapid.Custom(func(rt *rapid.T) *sniperillv1.AgentState {
			s := state(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "name"), "fi",
				rapid.Uint64Range(1, 3).Draw(rt, "incarnation"), rapid.Uint64Range(1, 4).Draw(rt, "sequence"))
			// Once a state is leaving, the later ones of the incarnation are too.
			s.Leaving = s.GetSequence() > 2
			return s
		})
		states := rapid.SliceOfN(agentState, 1, 12).Draw(rt, "states")
		shuffled := rapid.Permutation(append(states, states...)).Draw(rt, "shuffled")
		x, y := newRoster("e1", "fi", "z1"), newRoster("e2", "fi", "z1")
		x.MergeStates(states, nil)
		for _, s := range shuffled {
			y.MergeStates([]*sniperillv1.AgentState{s}, nil)
		}
		for _, name := range []string{"a", "b"} {
			if d := cmp.Diff(statusOf(x, name), statusOf(y, name)); d != "" {
				rt.Error(d)
			}
		}
	})
}
