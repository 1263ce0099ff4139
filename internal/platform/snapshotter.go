package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
)

// DefaultRetention is the minimum time that the log is assumed to keep a record.
const DefaultRetention = 24 * time.Hour

// Fractions of the retention.
const (
	// refreshFraction is the age at which live records are appended again.
	refreshFraction = 0.5
	// checkFraction is the maximum time between two checks.
	checkFraction = 0.05
)

// Snapshotter appends live records again well before the log trims them. Every
// entry runs one. The first to check after records become due appends them;
// duplicates are harmless.
type Snapshotter struct {
	// Retention is the minimum time that the log keeps a record; zero means
	// DefaultRetention.
	Retention time.Duration
	// Due returns snapshots of the live records that were last appended before the
	// given time.
	Due    func(before time.Time) []Record
	Append func(context.Context, Record) (uint64, error)
	// Now returns the current time; nil means time.Now.
	Now    func() time.Time
	Logger zerolog.Logger
}

// Run appends due records at random intervals until the context ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	maxInterval := time.Duration(float64(s.retention()) * checkFraction)
	for {
		t := time.NewTimer(maxInterval/2 + rand.N(maxInterval/2+1))
		select {
		case <-t.C:
			s.appendDue(ctx)
		case <-ctx.Done():
			t.Stop()
			return nil
		}
	}
}

func (s *Snapshotter) retention() time.Duration {
	if s.Retention == 0 {
		return DefaultRetention
	}
	return s.Retention
}

// appendDue appends the due records, until one append fails.
func (s *Snapshotter) appendDue(ctx context.Context) {
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	before := now().Add(-time.Duration(float64(s.retention()) * refreshFraction))
	for _, r := range s.Due(before) {
		if _, err := s.Append(ctx, r); err != nil {
			s.Logger.Warn().Err(err).Str("kind", string(r.Kind)).Msg("Appending a snapshot failed; retrying at the next check.")
			return
		}
	}
}
