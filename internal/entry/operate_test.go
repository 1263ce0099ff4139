package entry

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sniperill.example/sniperill/pkg/shop"
)

// TestEvacuationChanges checks which zones are evacuated after a change.
func TestEvacuationChanges(t *testing.T) {
	tests := []struct {
		name   string
		before []string
		zone   string
		object string
		want   []string
		err    error
	}{
		{"begin", nil, "a", "{}", []string{"a"}, nil},
		{"of a second zone", []string{"b"}, "a", "{}", []string{"a", "b"}, nil},
		{"begin twice", []string{"a"}, "a", "{}", []string{"a"}, nil},
		{"end", []string{"a", "b"}, "a", "", []string{"b"}, nil},
		{"end twice", []string{"b"}, "a", "", nil, shop.ErrNotFound},
		{"odd object", nil, "a", `{"x":1}`, nil, shop.ErrInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := shop.Config{Version: 3, EvacuatedZones: tt.before}
			c, err := Change{Kind: "evacuation", Name: tt.zone, Object: []byte(tt.object)}.apply(before)
			if !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if err != nil {
				return
			}
			if diff := cmp.Diff(tt.want, c.WithDefaults().EvacuatedZones, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("evacuated (-want +got):\n%s", diff)
			}
		})
	}
}
