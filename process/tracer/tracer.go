// Package tracer sets up traces with a span for each hop of a request.
//
// The W3C trace context is taken from callers and handed on to targets. Spans
// go to a file, one JSON object a line, to an OTLP collector over HTTP, to both,
// or nowhere. Without a destination
// nothing is recorded and a span costs next to nothing.
//
// # Usage
//
//	t, err := tracer.Open(tracer.Options{Process: "host-a", File: "trace.json", Ratio: 1})
//	defer t.Close(ctx)
//	span := t.Start(&ctx.Request.Header, "entry")
//	defer span.End()
package tracer

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Kind tells why traces could not be set up.
type Kind string

// The kinds of tracer errors.
const (
	KindIO Kind = "io"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("tracer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options says where spans go.
type Options struct {
	ProcessName   string  // Process names this process in every span.
	File          string  // File gets one JSON object a line; empty records nothing.
	Endpoint      string  // Endpoint is an OTLP collector's URL; empty sends nothing.
	SamplingRatio float64 // Ratio of the requests without a trace of their own that are recorded, from 0 to 1.
}

// Tracer starts spans. The zero Tracer records nothing.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

// Open sets up a tracer.
func Open(o Options) (*Tracer, error) {
	if o.File == "" && o.Endpoint == "" {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer("")}, nil
	}
	t := &Tracer{}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.SamplingRatio))),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "hornbeamd"), attribute.String("process", o.ProcessName))),
	}
	if o.File != "" {
		exporter, err := t.openFile(o.File)
		if err != nil {
			return nil, err
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if o.Endpoint != "" {
		options = append(options, sdktrace.WithBatcher(collector{o.Endpoint}))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer("hornbeamrack")
	return t, nil
}

func (t *Tracer) openFile(name string) (sdktrace.SpanExporter, error) {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return nil, &Error{"open", KindIO, err}
	}
	t.file = file
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, &Error{"open", KindIO, errors.Wrap(err, name)}
	}
	return exporter, nil
}

// Close writes what is still in memory.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		if closeErr := t.file.Close(); err == nil {
			err = closeErr
		}
	}
	if err != nil {
		return &Error{"close", KindIO, err}
	}
	return nil
}

// Span is one hop of a request.
type Span struct {
	span trace.Span
}

var propagator = propagation.TraceContext{}

// Start begins a span below the one that the headers name, and puts the new
// span into the headers for the next hop.
func (t *Tracer) Start(h *fasthttp.RequestHeader, name string) Span {
	if t.provider == nil {
		return Span{}
	}
	carrier := headerCarrier{h}
	ctx := propagator.Extract(context.Background(), carrier)
	ctx, span := t.tracer.Start(ctx, name)
	propagator.Inject(ctx, carrier)
	return Span{span}
}

// StartChild begins a span below the one that the headers name, and leaves the
// headers as they are: it is a step of this hop, not a hop of its own.
func (t *Tracer) StartChild(h *fasthttp.RequestHeader, name string) Span {
	if t.provider == nil {
		return Span{}
	}
	_, span := t.tracer.Start(propagator.Extract(context.Background(), headerCarrier{h}), name)
	return Span{span}
}

// SetAttribute adds an attribute to the span.
func (s Span) SetAttribute(key, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// End ends the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

// headerCarrier lets the propagator read and write request headers.
type headerCarrier struct{ h *fasthttp.RequestHeader }

// Get implements propagation.TextMapCarrier.
func (c headerCarrier) Get(key string) string { return string(c.h.Peek(key)) }

// Set implements propagation.TextMapCarrier.
func (c headerCarrier) Set(key, value string) { c.h.Set(key, value) }

// Keys implements propagation.TextMapCarrier.
func (c headerCarrier) Keys() []string { return nil }
