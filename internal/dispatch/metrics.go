package dispatch

import (
	"cmp"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sniperill.example/sniperill/internal/clock"
	"sniperill.example/sniperill/internal/host"
)

var (
	stepUps        = metrics.NewCounter("sniperill_planner_reigns_total")
	claims         = metrics.NewCounter("sniperill_planner_claims_total")
	preemptions    = metrics.NewCounter("sniperill_planner_evictions_total")
	quarantines    = metrics.NewCounter("sniperill_planner_quarantines_total")
	evacuations    = metrics.NewCounter("sniperill_planner_evacuations_total")
	standstills    = metrics.NewCounter("sniperill_planner_standstills_total")
	evacuatedZones = metrics.NewGauge("sniperill_planner_evacuated_zones", nil)
	evacuatedTasks = metrics.NewGauge("sniperill_planner_evacuated_zone_tasks", nil)
	// unbackedAccelerators is by how many the guarantees exceed those outside evacuated zones.
	unbackedAccelerators = metrics.NewGauge("sniperill_planner_unbacked_accelerators", nil)
	withdrawnStarts      = metrics.NewCounter("sniperill_planner_withdrawn_starts_total")
	withheldStarts       = metrics.NewCounter("sniperill_planner_withheld_starts_total")
	unclaimedRuns        = metrics.NewCounter("sniperill_planner_unclaimed_runs_total")
	missingRuns          = metrics.NewCounter("sniperill_planner_missing_runs_total")
	raisedEpochs         = metrics.NewCounter("sniperill_planner_raised_epochs_total")
	planDuration         = metrics.NewHistogram("sniperill_planner_plan_duration_seconds")
	storeDuration        = metrics.NewHistogram("sniperill_planner_store_duration_seconds")
	waitDuration         = metrics.NewHistogram("sniperill_planner_wait_seconds")
	paceDuration         = metrics.NewHistogram("sniperill_planner_pace_duration_seconds")
	fastWorkers          = metrics.NewGauge(`sniperill_planner_workers{pace="fast"}`, nil)
	medianWorkers        = metrics.NewGauge(`sniperill_planner_workers{pace="median"}`, nil)
	slowWorkers          = metrics.NewGauge(`sniperill_planner_workers{pace="slow"}`, nil)
	newWorkers           = metrics.NewGauge(`sniperill_planner_workers{pace="unknown"}`, nil)
)

// paceMetric returns the name of the gauge of a worker's pace.
func paceMetric(worker string) string {
	label := strings.Map(func(r rune) rune {
		if r <= ' ' || r > '~' || r == '"' || r == '\\' {
			return '_'
		}
		return r
	}, worker)
	return `sniperill_planner_worker_pace{worker="` + label + `"}`
}

// endLabels are the metric labels of the ways in which a run ends.
var endLabels = map[host.End]string{
	0: "unknown", host.Done: "done", host.Failed: "failed", host.Stopped: "stopped",
	host.Lapsed: "lapsed", host.Broken: "broken", host.Alone: "alone",
}

// countEnd counts a run that has ended.
func countEnd(end host.End) {
	metrics.GetOrCreateCounter(`sniperill_planner_runs_ended_total{end="` + endLabels[end] + `"}`).Inc()
}

// Reasons for which a unit is told to stop, as metric labels.
const (
	stopPreempted  = "preempted"
	stopLeaving    = "worker-leaving"
	stopStandstill = "standstill"
	stopMissing    = "missing"
	stopCancelled  = "cancelled"
)

// countDiscarded counts the run time, in core seconds, that a run which has ended without being done throws away.
func (ap *activePlanner) countDiscarded(m *member, end host.End) {
	state := m.job.unitState(m.key)
	if end == host.Done || m.step().Endless || state.startedAt == 0 {
		return // What an earlier planner started isn't known.
	}
	lost := clock.Since(state.startedAt)
	if m.step().Checkpoints {
		lost = min(lost, ap.CheckpointInterval)
		if end == host.Stopped {
			lost = 0
		}
	}
	reason := cmp.Or(state.stopReason, endLabels[end])
	if m.job.final() {
		reason = stopCancelled
	}
	metrics.GetOrCreateFloatCounter(`sniperill_planner_discarded_core_seconds_total{reason="` + reason + `"}`).
		Add(lost.Seconds() * float64(m.step().AccountedMilliCores()) / 1000)
}

// timed records the duration of f in a histogram.
func timed(h *metrics.Histogram, f func()) {
	start := time.Now()
	f()
	h.UpdateDuration(start)
}
