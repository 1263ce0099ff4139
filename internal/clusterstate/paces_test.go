package clusterstate_test

import (
	"flag"
	"math"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sniperill.example/sniperill/internal/clusterstate"
	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/pace"
)

func TestPacesRoundTrip(t *testing.T) {
	known := map[string]pace.Known{"m-1": {LogPace: 0.88, Readings: 3}, "m-2": {LogPace: -0.05, Readings: 25}}
	s := apply(t, clusterstate.PaceRecord(3, known), clusterstate.PaceRecord(5, map[string]pace.Known{"m-3": {LogPace: 1, Readings: 1}}))
	want := map[string]pace.Known{"m-1": known["m-1"], "m-2": known["m-2"], "m-3": {LogPace: 1, Readings: 1}}
	if diff := cmp.Diff(want, s.Paces()); diff != "" {
		t.Errorf("paces (-want +got):\n%s", diff)
	}
	if err := s.Apply(journal.Record{Key: "pace/5", Offset: 9}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(known, s.Paces()); diff != "" {
		t.Errorf("paces after a deletion (-want +got):\n%s", diff)
	}
}

func TestOddPacesChangeNothing(t *testing.T) {
	tests := []struct{ name, key, value string }{
		{"malformed", "pace/3", "{"},
		{"no block", "pace/", `{}`},
		{"a block that doesn't exist", "pace/16", `{}`},
		{"another form of a block's number", "pace/03", `{}`},
		{"no machine", "pace/3", `{"":[0,1]}`},
		{"no readings", "pace/3", `{"m":[0,0]}`},
		{"a pace that overflows", "pace/3", `{"m":[900,1]}`},
		{"a number of 30 digits", "pace/3", `{"m":[999999999999999999999999999999,1]}`},
		{"a fraction", "pace/3", `{"m":[0.5,1]}`},
		{"null", "pace/3", `null`},
		{"a list", "pace/3", `[1]`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			known := map[string]pace.Known{"m-1": {LogPace: 0.5, Readings: 2}}
			s := apply(t, clusterstate.PaceRecord(3, known))
			if err := s.Apply(journal.Record{Key: tt.key, Value: []byte(tt.value), Offset: 9}); err == nil {
				t.Error("the record was accepted")
			}
			if diff := cmp.Diff(known, s.Paces()); diff != "" {
				t.Errorf("paces (-want +got):\n%s", diff)
			}
		})
	}
}

// Whatever a planner has learned, its records are accepted by others.
func TestPaceRecordsAreAccepted(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.MapOf(rapid.OneOf(rapid.String(), rapid.StringN(200, 300, -1), rapid.Just("m\xff")), rapid.Custom(func(t *rapid.T) pace.Known {
			return pace.Known{LogPace: rapid.Float64().Draw(t, "logarithm"), Readings: rapid.IntRange(-1, math.MaxInt).Draw(t, "readings")}
		})).Draw(t, "paces")
		known["m-odd"] = pace.Known{LogPace: 13.88, Readings: 9}
		known["m-none"] = pace.Known{LogPace: math.NaN(), Readings: 1}
		known["m-some"] = pace.Known{LogPace: -0.25, Readings: 4}
		s := &clusterstate.State{}
		if err := s.Apply(clusterstate.PaceRecord(3, known)); err != nil {
			t.Fatal(err)
		}
		got := s.Paces()
		if got["m-odd"].LogPace != pace.MaxLogPace || got["m-some"] != known["m-some"] {
			t.Errorf("read %v and %v, want the largest pace and %v", got["m-odd"], got["m-some"], known["m-some"])
		}
	})
	many := make(map[string]pace.Known)
	for i := range clusterstate.MaxPaces + 1 {
		many[strconv.Itoa(i)] = pace.Known{Readings: 1}
	}
	if s := apply(t, clusterstate.PaceRecord(3, many)); len(s.Paces()) != clusterstate.MaxPaces {
		t.Errorf("read %d paces, want %d", len(s.Paces()), clusterstate.MaxPaces)
	}
}
