package tracer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	common "go.opentelemetry.io/proto/slim/otlp/common/v1"
	resource "go.opentelemetry.io/proto/slim/otlp/resource/v1"
	wire "go.opentelemetry.io/proto/slim/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

const exportTimeout = 5 * time.Second

// otlpExporter sends spans to an OTLP collector over HTTP. It implements
// sdktrace.SpanExporter.
type otlpExporter struct {
	url string
}

// ExportSpans sends one batch. A batch that the collector does not accept is
// dropped, so that an outage of the collector uses no memory. It returns an Error of
// KindIO when the batch cannot be encoded or sent, or is rejected.
func (e otlpExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if len(spans) == 0 {
		return nil
	}
	body, err := proto.Marshal(encodeSpans(spans))
	if err != nil {
		return &Error{"export", KindIO, err}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(e.url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/x-protobuf")
	req.SetBody(body)
	deadline := time.Now().Add(exportTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := fasthttp.DoDeadline(req, resp, deadline); err != nil {
		return &Error{"export", KindIO, err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &Error{"export", KindIO, errors.Errorf("collector returned status %d", resp.StatusCode())}
	}
	return nil
}

// Shutdown implements sdktrace.SpanExporter. There is nothing to close.
func (e otlpExporter) Shutdown(context.Context) error { return nil }

// encodeSpans returns one batch in the format of OTLP.
func encodeSpans(spans []sdktrace.ReadOnlySpan) *wire.TracesData {
	scope := &wire.ScopeSpans{Scope: &common.InstrumentationScope{Name: spans[0].InstrumentationScope().Name}}
	for _, s := range spans {
		scope.Spans = append(scope.Spans, encodeSpan(s))
	}
	return &wire.TracesData{ResourceSpans: []*wire.ResourceSpans{{
		Resource:   &resource.Resource{Attributes: encodeAttributes(spans[0].Resource().Attributes())},
		ScopeSpans: []*wire.ScopeSpans{scope},
	}}}
}

// encodeSpan returns one span in the format of OTLP.
func encodeSpan(s sdktrace.ReadOnlySpan) *wire.Span {
	traceID, spanID := s.SpanContext().TraceID(), s.SpanContext().SpanID()
	out := &wire.Span{
		TraceId: traceID[:], SpanId: spanID[:], Name: s.Name(), Kind: wire.Span_SPAN_KIND_SERVER,
		StartTimeUnixNano: uint64(s.StartTime().UnixNano()), EndTimeUnixNano: uint64(s.EndTime().UnixNano()),
		Attributes: encodeAttributes(s.Attributes()),
	}
	if parent := s.Parent(); parent.IsValid() {
		id := parent.SpanID()
		out.ParentSpanId = id[:]
	}
	return out
}

// encodeAttributes returns attributes in the format of OTLP, all values as strings.
func encodeAttributes(list []attribute.KeyValue) []*common.KeyValue {
	out := make([]*common.KeyValue, 0, len(list))
	for _, a := range list {
		value := &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: a.Value.String()}}
		out = append(out, &common.KeyValue{Key: string(a.Key), Value: value})
	}
	return out
}
