package gang

import "time"

// Times are the durations of the protocol.
type Times struct {
	// Lease is how long a member continues to run after all members were last known to run.
	Lease time.Duration
	// Margin allows for the delivery of a message and for clock drift during a lease.
	Margin time.Duration
	// RenewInterval is the time between two renewals of a gang by its lead.
	RenewInterval time.Duration
	// CallTimeout limits one call to another agent or to the worker.
	CallTimeout time.Duration
	// MaxHold limits the time to live that a planner may request for a hold.
	MaxHold time.Duration
	// PrepareTimeout is how long a prepared attempt waits for its release.
	PrepareTimeout time.Duration
	// MaxGrace limits the time for a checkpoint before a stop.
	MaxGrace time.Duration
	// HistoryRetention is how long a job's attempts are remembered after the last change.
	HistoryRetention time.Duration
}

// SetDefaults sets the durations that are zero to their defaults.
func (t *Times) SetDefaults() {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&t.Lease, 6 * time.Second},
		{&t.Margin, time.Second},
		{&t.RenewInterval, 1500 * time.Millisecond},
		{&t.CallTimeout, 400 * time.Millisecond},
		{&t.MaxHold, 10 * time.Second},
		{&t.PrepareTimeout, 5 * time.Second},
		{&t.MaxGrace, time.Second},
		{&t.HistoryRetention, 10 * time.Minute},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}

// ExpireAfter returns the time after which no task of a gang runs if the gang is no
// longer renewed.
func (t Times) ExpireAfter() time.Duration { return t.Lease + t.Margin }
