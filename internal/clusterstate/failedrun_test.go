package clusterstate_test

import (
	"encoding/json"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/clusterstate"
)

// members returns the members of a gang with the given indices.
func members(indices ...int) (out []clusterstate.Member) {
	for _, i := range indices {
		out = append(out, clusterstate.Member{Index: i, AgentName: "w", Lifetime: "l"})
	}
	return out
}

// Guards against a failed run of a gang that counts twice, or never, after an earlier version stored its progress.
func TestFailedRunOfEarlierVersion(t *testing.T) {
	const size = 3
	tests := []struct {
		name string
		unit clusterstate.UnitProgress
		want int
	}{
		{"no failure", clusterstate.UnitProgress{Run: 1, Members: members(0, 1, 2)}, 0},
		{"no failure, some members ended", clusterstate.UnitProgress{Run: 1, Members: members(2)}, 0},
		{"no member ended", clusterstate.UnitProgress{Run: 2, Failures: 1, Members: members(0, 1, 2)}, 1},
		{"some members ended", clusterstate.UnitProgress{Run: 2, Failures: 1, Members: members(1, 2)}, 2},
		{"all members ended", clusterstate.UnitProgress{Run: 2, Failures: 1}, 2},
		{"stored by this version", clusterstate.UnitProgress{Run: 3, Failures: 1, FailedRun: 1, Members: members(1)}, 1},
		{"a run that can't be", clusterstate.UnitProgress{Failures: 1, Members: members(0, 1, 2)}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.unit.WithFailedRun(size).FailedRun; got != tt.want {
				t.Errorf("failed run %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a record that the version before can't read, or reads otherwise than this one.
func TestFailedRunIsIgnoredByEarlierVersion(t *testing.T) {
	key := clusterstate.GangKey(0, 0)
	p := clusterstate.Progress{Units: units{key: {Run: 2, Failures: 1, FailedRun: 2, Members: members(1, 2), FailedMembers: members(0)}}}
	data, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	// The form of the version before.
	type unit struct {
		Key      [3]int   `json:"k"`
		Run      int      `json:"r"`
		Failures int      `json:"f,omitempty"`
		Members  [][2]int `json:"m,omitempty"`
	}
	var got struct {
		Places [][2]string `json:"places"`
		Units  []unit      `json:"units"`
	}
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	want := []unit{{[3]int{0, 0, -1}, 2, 1, [][2]int{{1, 0}, {2, 0}}}}
	if diff := gocmp.Diff(want, got.Units); diff != "" {
		t.Errorf("units (-want +got):\n%s", diff)
	}
}
