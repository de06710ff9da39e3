// Package tracer records traces with a span for each hop of a request.
//
// The W3C trace context is read from callers' requests and propagated to targets.
// Spans are written to a file, one JSON object a line, sent to an OTLP collector over
// HTTP, or both. Without a destination nothing is recorded, and starting and ending a
// span takes almost no time.
//
// # Usage
//
//	t, err := tracer.Open(tracer.Options{ProcessName: "host-a", File: "trace.json", SamplingRatio: 1})
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

// Kind is the cause of an Error.
type Kind string

// The kinds of tracer errors.
const (
	KindIO Kind = "io" // KindIO means that a file could not be opened or closed, or spans could not be written or sent.
)

// Error is the only error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind
	Err  error // Err is the cause.
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("tracer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options holds the destinations of spans and their sampling.
type Options struct {
	ProcessName   string  // ProcessName is recorded as the attribute process of every span's resource.
	File          string  // File receives one JSON object a line; empty writes none.
	Endpoint      string  // Endpoint is the URL of an OTLP collector; empty sends none.
	SamplingRatio float64 // SamplingRatio is the part of the requests without a trace context that are recorded, from 0 to 1.
}

// Tracer starts spans. The zero Tracer records nothing.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

// Open returns a tracer that writes to the destinations in o. It returns an Error of
// KindIO when the file cannot be opened for writing.
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
		options = append(options, sdktrace.WithBatcher(newExporter(o.Endpoint)))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	t.tracer = t.provider.Tracer("hornbeamrack")
	return t, nil
}

// openFile returns an exporter that appends spans to a file as JSON lines.
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

// Close writes and sends the spans still in memory, within ctx, and closes the file.
// It returns an Error of KindIO when that fails.
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

// Span is one hop of a request, or a step within a hop. The methods of the zero Span
// do nothing.
type Span struct {
	span trace.Span
}

var propagator = propagation.TraceContext{}

// Start starts a span whose parent is the span in the headers, and writes the new span
// into the headers as the parent for the next hop. It returns the zero Span when
// nothing is recorded.
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

// StartChild starts a span for a step within this hop. Its parent is the span in the
// headers, and the headers do not change. It returns the zero Span when nothing is
// recorded.
func (t *Tracer) StartChild(h *fasthttp.RequestHeader, name string) Span {
	if t.provider == nil {
		return Span{}
	}
	_, span := t.tracer.Start(propagator.Extract(context.Background(), headerCarrier{h}), name)
	return Span{span}
}

// SetAttribute sets an attribute of the span.
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

// headerCarrier implements propagation.TextMapCarrier on request headers.
type headerCarrier struct{ h *fasthttp.RequestHeader }

// Get implements propagation.TextMapCarrier.
func (c headerCarrier) Get(key string) string { return string(c.h.Peek(key)) }

// Set implements propagation.TextMapCarrier.
func (c headerCarrier) Set(key, value string) { c.h.Set(key, value) }

// Keys implements propagation.TextMapCarrier. The propagator for W3C trace context does
// not call it.
func (c headerCarrier) Keys() []string { return nil }
