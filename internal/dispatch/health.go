package dispatch

import (
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/host"
)

const (
	// quarantineThreshold is how many runs of different jobs must fail in a row before their
	// worker is quarantined. One job is not enough: a faulty job fails on every worker.
	quarantineThreshold = 2
	// initialQuarantine is how long the first quarantine lasts; each further one lasts twice as
	// long as the one before.
	initialQuarantine = 4 * time.Second
	// maxQuarantine caps the doubling, so that a repaired worker gets tasks again.
	maxQuarantine = time.Minute
)

// health counts a worker's failures, to distinguish a faulty worker from faulty jobs.
type health struct {
	failures        int
	lastJob         string
	quarantineCount int // Quarantines since a run last succeeded.
}

// updateHealth updates a worker's health when a run ends on it, and quarantines the worker
// at the threshold.
func (ap *activePlanner) updateHealth(w *worker, m *member, end host.End) {
	switch end {
	case host.Done:
		w.health = health{}
	case host.Failed:
		if w.health.lastJob != m.job.spec.ID {
			w.health.failures++
			w.health.lastJob = m.job.spec.ID
		}
		if w.health.failures < quarantineThreshold {
			return
		}
		pause := min(maxQuarantine, initialQuarantine<<min(w.health.quarantineCount, 4))
		w.health.quarantineCount++
		quarantines.Inc()
		w.health.failures = quarantineThreshold - 1 // The next failure is enough.
		w.pausedUntil = clock.Now().Add(pause)
		ap.Log.Warn().Str("node", w.name).Str("lifetime", w.lifetime).Dur("pause", pause).
			Msg("A worker fails the jobs of others; it gets none for a while.")
	}
}
