package agent

import (
	"testing"
	"testing/synctest"
	"time"

	sniperillv1 "sniperill.example/sniperill/proto/sniperill/v1"
)

func TestCoalesceChanges(t *testing.T) {
	tests := []struct {
		name    string
		leaving bool
		want    time.Duration
	}{
		{"changes that come close together", false, coalesceDelay},
		{"leaving", true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &Agent{report: reporter{changed: make(chan struct{}, 1), left: make(chan struct{})}}
				if tt.leaving {
					a.report.leave()
				} else {
					time.AfterFunc(coalesceDelay/2, func() { a.report.setAllocatorState(&sniperillv1.AgentState{}) })
				}
				start := time.Now()
				a.coalesceChanges(t.Context())
				if got := time.Since(start); got != tt.want {
					t.Errorf("waited %v, want %v", got, tt.want)
				}
				if unsent := len(a.report.changed) > 0; unsent != tt.leaving {
					t.Errorf("change still to be reported: %t", unsent)
				}
			})
		})
	}
}

func TestVersionAloneIsNoNewState(t *testing.T) {
	r := reporter{changed: make(chan struct{}, 1)}
	r.setConfig(1, nil)
	if sequence, version, _ := r.summary(); sequence != 0 || version != 1 {
		t.Errorf("sequence %d, version %d", sequence, version)
	}
	r.setConfig(2, []*sniperillv1.BackendSlots{{Class: "quote", Slots: 8}})
	if sequence, version, _ := r.summary(); sequence != 1 || version != 2 {
		t.Errorf("sequence %d, version %d after the classes changed", sequence, version)
	}
}
