package deployment

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"sniperill.example/sniperill/pkg/caller"
)

// TestTraceReachesBackend checks that each hop of a request has a span, and that all spans
// and the backend server's header belong to the trace that the caller started.
func TestTraceReachesBackend(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	provider := trace.NewTracerProvider(trace.WithSpanProcessor(spans))
	before, propagator := otel.GetTracerProvider(), otel.GetTextMapPropagator()
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	t.Cleanup(func() {
		otel.SetTracerProvider(before)
		otel.SetTextMapPropagator(propagator)
	})
	parents := make(chan string, 1)
	l := startLocal(t, &Local{WrapBackend: func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/price-quote") {
				parents <- r.Header.Get("traceparent")
			}
			next.ServeHTTP(w, r)
		})
	}})
	ctx, root := provider.Tracer("test").Start(t.Context(), "buyer")
	c := callerOf(t, l, "hari-quotes")
	if _, err := c.Call(ctx, caller.Request{Class: "price-quote"}); err != nil {
		t.Fatal(err)
	}
	root.End()
	id := root.SpanContext().TraceID()
	if parent := <-parents; !strings.Contains(parent, id.String()) {
		t.Errorf("backend server got traceparent %q, want trace %s", parent, id)
	}
	var got []string
	for _, s := range spans.Ended() {
		if s.SpanContext().TraceID() == id {
			got = append(got, s.SpanKind().String()+" "+s.Name())
		}
	}
	slices.Sort(got)
	want := []string{
		"client HTTP POST",
		"client sniperill.v1.AgentService/Serve",
		"client sniperill.v1.CallerService/Call",
		"internal buyer",
		"server sniperill.v1.AgentService/Serve",
		"server sniperill.v1.CallerService/Call",
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("spans (-want +got):\n%s", d)
	}
}
