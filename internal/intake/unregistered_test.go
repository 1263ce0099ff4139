package intake

import (
	"fmt"
	"strings"
	"testing"

	"sniperill.example/sniperill/internal/clusterstate"
)

// Load pattern: a caller of the port for other entries makes up names.
func TestUnregisteredEntriesAreBounded(t *testing.T) {
	s := &Service{ClusterState: &clusterstate.State{}}
	for i := range maxUnregistered {
		if err := s.checkEntry(fmt.Sprint("entry-", i), "1"); err != nil {
			t.Fatal(err)
		}
	}
	registered := clusterstate.Address{Name: "registered", Address: "10.0.0.1:7000"}
	if err := s.ClusterState.Apply(clusterstate.EntryRecord(registered)); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, entry, incarnation string
		refused                  bool
	}{
		{"one more", "another", "1", true},
		{"one that has called before", "entry-7", "2", false},
		{"one that has registered", "registered", "1", false},
		{"one of an earlier version, without a name", "", "", false},
		{"a long incarnation", "registered", strings.Repeat("x", maxPeerName+1), true},
	}
	for _, tt := range tests {
		if err := s.checkEntry(tt.entry, tt.incarnation); (err != nil) != tt.refused {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}
