package deployment

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"sniperill.example/sniperill/internal/entry"
)

// healthStates are the health states of a worker, as "show workers" prints them.
var healthStates = []string{"alive", "suspect", "dead", "leaving", "evacuated"}

// entryMetrics returns the metrics that are computed from the state of an entry when they
// are read.
func entryMetrics(e *entry.Entry) *metrics.Set {
	s := metrics.NewSet()
	s.NewGauge("sniperill_config_version", func() float64 {
		if c := e.Config(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	s.NewGauge("sniperill_log_staleness_seconds", func() float64 {
		_, stale, err := e.AcceptedConfig()
		if err != nil {
			return 0
		}
		return stale.Seconds()
	})
	s.NewGauge("sniperill_queue_jobs", func() float64 { return float64(sumTeams(e).Queued) })
	s.NewGauge("sniperill_running_jobs", func() float64 { return float64(sumTeams(e).Running) })
	s.NewGauge("sniperill_used_accelerators", func() float64 { return float64(sumTeams(e).Used) })
	s.NewGauge("sniperill_borrowed_accelerators", func() float64 { return float64(sumTeams(e).Borrowed) })
	s.NewGauge("sniperill_broken_guarantees", func() float64 {
		notBacked := 0
		for _, g := range e.Guarantees() {
			if !g.Whole {
				notBacked++
			}
		}
		return float64(notBacked)
	})
	for _, health := range healthStates {
		s.NewGauge(fmt.Sprintf("sniperill_workers{health=%q}", health), func() float64 {
			n := 0
			for _, w := range e.Workers() {
				if w.Health == health {
					n++
				}
			}
			return float64(n)
		})
	}
	return s
}

// teamTotals are the sums over all teams.
type teamTotals struct {
	Queued, Running, Used, Borrowed uint32
}

func sumTeams(e *entry.Entry) teamTotals {
	var out teamTotals
	for _, t := range e.Teams() {
		out.Queued += t.Queued
		out.Running += t.Running
		out.Used += t.UsedAccelerators
		out.Borrowed += t.BorrowedAccelerators
	}
	return out
}

// countCalls counts the calls from other processes of the system, by procedure.
func countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if procedure, ok := strings.CutPrefix(r.URL.Path, "/sniperill.v1."); ok {
			metrics.GetOrCreateCounter(fmt.Sprintf("sniperill_peer_calls_total{procedure=%q}", procedure)).Inc()
		}
		next.ServeHTTP(w, r)
	})
}
