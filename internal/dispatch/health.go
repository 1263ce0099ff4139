package dispatch

import (
	"time"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/host"
)

const (
	// quarantineThreshold is how many runs of different jobs must fail in a row before their
	// worker is suspected; a job that can't be done fails on every worker.
	quarantineThreshold = 2
	// firstQuarantine is how long a suspected worker gets no tasks; it doubles each time.
	firstQuarantine = 4 * time.Second
	// longestQuarantine bounds the doubling, so that a mended worker is found again.
	longestQuarantine = time.Minute
)

// health tells a worker that fails what others can do from one that got bad jobs.
type health struct {
	failures        int
	lastJob         string
	quarantineCount int // How often in a row the worker was quarantined.
}

// updateHealth takes in an end on a worker.
func (r *activePlanner) updateHealth(w *worker, m *member, end host.End) {
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
		pause := min(longestQuarantine, firstQuarantine<<min(w.health.quarantineCount, 4))
		w.health.quarantineCount++
		quarantines.Inc()
		w.health.failures = quarantineThreshold - 1 // One more failure is enough from now on.
		w.pausedUntil = clock.Now().Add(pause)
		r.Log.Warn().Str("node", w.name).Str("lifetime", w.lifetime).Dur("pause", pause).
			Msg("A worker fails the jobs of others; it gets none for a while.")
	}
}
