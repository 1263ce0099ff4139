package gang

import "time"

// Times are the durations of the protocol.
type Times struct {
	// Lease is how long a member runs on after the last time all members were known to run.
	Lease time.Duration
	// Margin covers the delivery of a message and the drift of clocks over a lease.
	Margin time.Duration
	// RenewInterval is the time between two renewals by a lead.
	RenewInterval time.Duration
	// CallTimeout bounds one call to another agent or to the worker.
	CallTimeout time.Duration
	// MaxHold bounds the time to live that a planner may ask for.
	MaxHold time.Duration
	// PrepareTimeout is how long a prepared task waits for its release.
	PrepareTimeout time.Duration
	// MaxGrace bounds the time for a checkpoint before a stop.
	MaxGrace time.Duration
	// HistoryRetention is how long the attempts of a job are remembered after the last one.
	HistoryRetention time.Duration
}

// SetDefaults fills in the durations that are not set.
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

// ExpireAfter is the time after which nothing of a gang runs that is no longer renewed.
func (t Times) ExpireAfter() time.Duration { return t.Lease + t.Margin }
