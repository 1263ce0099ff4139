package telemetry

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Tracing configures the traces of a process.
type Tracing struct {
	// Endpoint is the URL of an OTLP/HTTP collector; when empty, nothing is sent.
	Endpoint string `json:"endpoint,omitempty" validate:"omitempty,url"`
	// Print also writes spans to the process's output, for debugging.
	Print bool `json:"print,omitempty"`
	// SampleRatio is the fraction of requests that are traced, from 0 to 1.
	SampleRatio float64 `json:"share,omitempty" validate:"gte=0,lte=1"`
}

// Start installs the global tracer provider of a process. The returned function
// flushes its spans and shuts it down.
func (t Tracing) Start(ctx context.Context, service, instance string, out io.Writer) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	options := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(t.SampleRatio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service),
			attribute.String("service.instance.id", instance),
		)),
	}
	if t.Endpoint != "" {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(t.Endpoint))
		if err != nil {
			return nil, fmt.Errorf("telemetry.Start: %w", err)
		}
		options = append(options, trace.WithBatcher(e))
	}
	if t.Print {
		e, err := stdouttrace.New(stdouttrace.WithWriter(out))
		if err != nil {
			return nil, fmt.Errorf("telemetry.Start: %w", err)
		}
		options = append(options, trace.WithBatcher(e))
	}
	provider := trace.NewTracerProvider(options...)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
