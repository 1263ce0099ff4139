package frontdoor

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// reportInterval is the minimum time between two log lines about closed connections.
	reportInterval = time.Second
	// maxReportedHosts bounds the hosts whose connections are counted for a log line.
	maxReportedHosts = 64
)

// report is what is told in the next log line.
type report struct {
	last    time.Time
	closed  int
	reasons map[string]int
	hosts   map[string]int
}

// count counts a connection that was closed. The caller holds d.mu.
func (d *Door) count(reason string, c net.Conn) {
	metrics.GetOrCreateCounter(`sniperill_frontdoor_closed_total{door="` + d.Name + `",reason="` + reason + `"}`).Inc()
	r := &d.report
	if r.reasons == nil {
		r.reasons, r.hosts = make(map[string]int), make(map[string]int)
	}
	r.closed++
	r.reasons[reason]++
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	if _, ok := r.hosts[host]; ok || len(r.hosts) < maxReportedHosts {
		r.hosts[host]++
	}
	now := time.Now()
	if now.Sub(r.last) < reportInterval {
		return
	}
	most := host
	for h, n := range r.hosts {
		if n > r.hosts[most] {
			most = h
		}
	}
	d.Log.Warn().Str("door", d.Name).Int("closed", r.closed).Interface("reasons", r.reasons).
		Int("hosts", len(r.hosts)).Str("most-from", most).Int("from-it", r.hosts[most]).
		Int("open", d.open).Int64("bytes", d.bytes).Int64("budget", d.Limits.Bytes).
		Msg("Closed connections of clients, as there was no room.")
	d.report = report{last: now}
}

// gauges show what a door holds.
type gauges struct{ connections, bytes *metrics.Gauge }

// show sets the gauges. The caller holds d.mu.
func (d *Door) show() {
	if d.gauges == nil {
		label := `{door="` + d.Name + `"}`
		d.gauges = &gauges{
			metrics.GetOrCreateGauge("sniperill_frontdoor_connections"+label, nil),
			metrics.GetOrCreateGauge("sniperill_frontdoor_bytes"+label, nil),
		}
		metrics.GetOrCreateGauge("sniperill_frontdoor_budget_bytes"+label, nil).Set(float64(d.Limits.Bytes))
		metrics.GetOrCreateGauge("sniperill_frontdoor_budget_connections"+label, nil).Set(float64(d.Limits.Connections))
	}
	d.gauges.connections.Set(float64(d.open))
	d.gauges.bytes.Set(float64(d.bytes))
}
