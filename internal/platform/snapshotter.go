package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
)

// DefaultRetention is the least time that the log is taken to keep a record.
const DefaultRetention = 24 * time.Hour

// Parts of the retention.
const (
	// refreshFraction of the retention is the age at which live records are appended again.
	refreshFraction = 0.5
	// checkFraction of the retention is the longest time between two looks.
	checkFraction = 0.05
)

// Snapshotter appends live records again well before the log trims them. Every
// entry runs one; whichever looks first does the work, and duplicates are
// harmless.
type Snapshotter struct {
	// Retention is the least time that the log keeps a record.
	Retention time.Duration
	// Due returns what must be appended again when last appended before that time.
	Due    func(before time.Time) []Record
	Append func(context.Context, Record) (uint64, error)
	// Now is time.Now when nil.
	Now    func() time.Time
	Logger zerolog.Logger
}

// Run looks for due records at random intervals until the context ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	longest := time.Duration(float64(s.retention()) * checkFraction)
	for {
		t := time.NewTimer(longest/2 + rand.N(longest/2+1))
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

func (s *Snapshotter) appendDue(ctx context.Context) {
	now := time.Now
	if s.Now != nil {
		now = s.Now
	}
	before := now().Add(-time.Duration(float64(s.retention()) * refreshFraction))
	for _, r := range s.Due(before) {
		if _, err := s.Append(ctx, r); err != nil {
			s.Logger.Warn().Err(err).Str("kind", string(r.Kind)).Msg("Snapshot not appended.")
			return
		}
	}
}
