package telemetry

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.opentelemetry.io/otel"
)

func TestComponentLogger(t *testing.T) {
	tests := []struct {
		format LogFormat
		want   string
	}{
		{LogJSON, `"part":"entry"`},
		{LogText, "INF entry Started."},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		l, err := NewLogger(&out, tt.format, "info")
		if err != nil {
			t.Fatal(err)
		}
		l = ComponentLogger(l, "entry")
		l.Debug().Msg("Hidden.")
		l.Info().Msg("Started.")
		if got := out.String(); !strings.Contains(got, tt.want) || strings.Contains(got, "Hidden") {
			t.Errorf("%s: %s", tt.format, got)
		}
	}
}

func TestAdminReady(t *testing.T) {
	ready := false
	a := Admin{Ready: func() bool { return ready }}
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		w := httptest.NewRecorder()
		a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		if w.Code != want {
			t.Errorf("ready %t: status %d", ready, w.Code)
		}
		ready = true
	}
}

func TestTracingPrints(t *testing.T) {
	var out bytes.Buffer
	stop, err := Tracing{Print: true, SampleRatio: 1}.Start(context.Background(), "entry", "one", &out)
	if err != nil {
		t.Fatal(err)
	}
	_, span := otel.Tracer("test").Start(context.Background(), "hop")
	span.End()
	if err := stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"Name":"hop"`) {
		t.Errorf("span not printed: %s", out.String())
	}
}
