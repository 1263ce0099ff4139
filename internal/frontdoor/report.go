package frontdoor

import (
	"log"
	"net"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// reportInterval is the minimum time between two log lines about closed connections.
	reportInterval = time.Second
	// maxReportedHosts bounds the hosts whose connections are counted for a log line.
	maxReportedHosts = 64
	// maxMessage bounds a message of the library, which may be the trace of a panic, in bytes.
	maxMessage = 4 << 10
	// maxKey bounds a key that a connection is counted for, in bytes.
	maxKey = 1024
)

// holder is an address or a key and what its open connections hold.
type holder struct {
	name        string
	connections int
	bytes       int64
}

// most returns who holds most of all open connections, by the name that of gives them. Those without a name don't
// count. The caller holds d.mu.
func (d *Door) most(of func(*conn) string) holder {
	var most holder
	all := make(map[string]holder)
	for c := range d.conns {
		name := of(c)
		if name == "" {
			continue
		}
		h := all[name]
		h = holder{name, h.connections + 1, h.bytes + c.held}
		all[name] = h
		if h.bytes > most.bytes {
			most = h
		}
	}
	return most
}

// team returns the name of the team that a key belongs to.
func (d *Door) team(key string) string {
	name := ""
	if d.Team != nil && key != "" {
		name = d.Team(key)
	}
	if name == "" {
		return "unknown"
	}
	return name
}

// hostOf returns the host of a connection's client.
func hostOf(c net.Conn) string {
	address := c.RemoteAddr().String()
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

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
	host := hostOf(c)
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
	address, key := d.most(func(c *conn) string { return c.host }), d.most(func(c *conn) string { return c.key })
	d.Log.Warn().Str("door", d.Name).Int("closed", r.closed).Interface("reasons", r.reasons).
		Int("hosts", len(r.hosts)).Str("most-from", most).Int("from-it", r.hosts[most]).
		Str("address-holding-most", address.name).Int("its-connections", address.connections).Int64("its-bytes", address.bytes).
		Str("key-holding-most", d.team(key.name)).Int("key-connections", key.connections).Int64("key-bytes", key.bytes).
		Int("open", d.open).Int64("bytes", d.bytes).Int64("budget", d.Limits.Bytes).
		Msg("Closed connections of clients, as there was no room.")
	d.report = report{last: now}
}

// errorLog returns the log of the library's messages about connections, such as failed handshakes, which clients cause.
func (d *Door) errorLog() *log.Logger {
	return log.New(errorWriter{d}, "", 0)
}

type errorWriter struct{ door *Door }

// Write writes one message.
func (w errorWriter) Write(p []byte) (int, error) {
	message := strings.TrimSpace(string(p[:min(len(p), maxMessage)]))
	w.door.lines.Logger(&w.door.Log, "").Warn().Str("door", w.door.Name).Str("error", message).Msg("A connection failed.")
	return len(p), nil
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
