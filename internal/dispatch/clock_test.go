package dispatch

import (
	"testing"
	"time"
)

// Times of jobs must not move when this process's time of day jumps, so each has a monotonic reading.
func TestSubmittedAtDoesNotJump(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name     string
		byEntry  time.Time
		maxAge   time.Duration
		wantPast time.Duration
	}{
		{"right", now.Add(-time.Second), 2 * time.Second, time.Second},
		{"clock ahead", now.Add(5 * time.Second), 2 * time.Second, 0},
		{"clock behind, or a slow store", now.Add(-5 * time.Second), 2 * time.Second, 2 * time.Second},
		{"a job from before this planner", now.Add(-time.Hour), 1<<63 - 1, time.Hour},
		{"never", time.Time{}, 2 * time.Second, 2 * time.Second},
	}
	for _, tt := range tests {
		got := submittedAt(tt.byEntry.Round(0), now, tt.maxAge) // As read from a record, which has no monotonic reading.
		if past := now.Sub(got); past != tt.wantPast {
			t.Errorf("%s: submitted %v ago, want %v", tt.name, past, tt.wantPast)
		}
		if got == got.Round(0) {
			t.Errorf("%s: %v has no monotonic reading", tt.name, got)
		}
	}
}
