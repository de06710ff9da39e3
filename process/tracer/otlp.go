package tracer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	common "go.opentelemetry.io/proto/slim/otlp/common/v1"
	resource "go.opentelemetry.io/proto/slim/otlp/resource/v1"
	wire "go.opentelemetry.io/proto/slim/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

const (
	// exportTimeout bounds the sending of one batch.
	exportTimeout = 5 * time.Second
	// maxAnswerBytes bounds what is read of the body of a collector's response.
	maxAnswerBytes = 4 << 10
)

// otlpExporter sends spans to an OTLP collector over HTTP. It implements
// sdktrace.SpanExporter.
//
// It uses the client of net/http, since that of fasthttp takes a response with status 000
// for one with status 200.
type otlpExporter struct {
	url    string
	client *http.Client
}

// newExporter returns an exporter to the collector at a URL.
func newExporter(url string) otlpExporter {
	return otlpExporter{url, &http.Client{
		Transport:     &http.Transport{MaxIdleConns: 1, IdleConnTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Timeout:       exportTimeout,
	}}
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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url, bytes.NewReader(body))
	if err != nil {
		return &Error{"export", KindIO, err}
	}
	req.Header.Set("Content-Type", "application/x-protobuf")
	resp, err := e.client.Do(req)
	if err != nil {
		return &Error{"export", KindIO, err}
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxAnswerBytes) // The connection can be used again after a short body.
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &Error{"export", KindIO, errors.Errorf("collector returned status %03d", resp.StatusCode)}
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
