package clusterstate_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

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
