package telemetry

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Admin serves the /metrics, /livez and /readyz endpoints of a process.
type Admin struct {
	// Ready reports whether the load balancer may send new callers to the process.
	Ready func() bool
	// Metrics is served in addition to the global metrics; may be nil.
	Metrics *metrics.Set
}

// Handler returns the HTTP handler.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", a.metrics)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", a.ready)
	return mux
}

func (a *Admin) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if a.Metrics != nil {
		a.Metrics.WritePrometheus(w)
	}
	metrics.WritePrometheus(w, true)
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
