package entry

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sniperill.example/sniperill/internal/gang"
	"sniperill.example/sniperill/pkg/shop"
	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

// TestResubmitWithoutLog checks that a repeated submission counts as accepted while the log is
// unavailable only if the job is known to be. A refused start leaves tasks on agents, although the
// job is never recorded in the log.
func TestResubmitWithoutLog(t *testing.T) {
	const a, b = "worker-1", "worker-2"
	tests := []struct {
		name       string
		reports    []*sniperillv1.AgentState
		unrecorded bool
		accepted   bool
		err        error
	}{
		{"never submitted", nil, false, false, nil},
		{"running", []*sniperillv1.AgentState{report(a, 1, gang.Running, a), report(b, 1, gang.Running, a)}, false, true, nil},
		{"done", []*sniperillv1.AgentState{report(a, 1, gang.Done, a)}, false, true, nil},
		{"refused by one agent, stopped on the other", []*sniperillv1.AgentState{report(a, 1, gang.Stopped, "")}, false, false, shop.ErrMayHaveRun},
		{"held, not started yet", []*sniperillv1.AgentState{report(a, 1, gang.Held, "")}, false, false, shop.ErrMayHaveRun},
		{"accepted here and stopped later", []*sniperillv1.AgentState{report(a, 1, gang.Stopped, a)}, true, true, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &Entry{Name: "entry-1"}
			e.init()
			for _, s := range test.reports {
				e.planner.runs.update(s)
			}
			if test.unrecorded {
				e.planner.addUnrecorded(shop.Job{ID: "t/j"}, 1)
			}
			_, accepted, err := e.acceptedStatus("t/j")
			if diff := cmp.Diff(test.accepted, accepted); diff != "" {
				t.Errorf("accepted (-want +got):\n%s", diff)
			}
			if !errors.Is(err, test.err) || (test.err == nil) != (err == nil) {
				t.Errorf("got error %v, want %v", err, test.err)
			}
		})
	}
}
