package tracer

import (
	"context"
	"encoding/hex"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	wire "go.opentelemetry.io/proto/slim/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

// TestSpansFollowTheCaller sends two hops to a stand-in collector and a file.
func TestSpansFollowTheCaller(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	got := make(chan *wire.TracesData, 1)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		var data wire.TracesData
		if proto.Unmarshal(ctx.PostBody(), &data) == nil {
			got <- &data
		}
	}}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = l.Close() }()
	file := filepath.Join(t.TempDir(), "trace.json")
	tr, err := Open(Options{ProcessName: "p", File: file, Endpoint: "http://" + l.Addr().String() + "/v1/traces", SamplingRatio: 1})
	is.NoErr(err)
	var h fasthttp.RequestHeader
	h.Set("Traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")
	entry := tr.Start(&h, "entry")
	owner := tr.Start(&h, "owner")
	owner.SetAttribute("target", "t1")
	owner.End()
	entry.End()
	is.NoErr(tr.Close(context.Background()))
	spans := (<-got).ResourceSpans[0].ScopeSpans[0].Spans
	is.Equal(len(spans), 2)
	is.Equal(hex.EncodeToString(spans[0].TraceId), "4bf92f3577b34da6a3ce929d0e0e4736") // the caller's trace
	is.Equal(spans[0].ParentSpanId, spans[1].SpanId)                                   // owner below entry
	b, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(strings.Count(string(b), `"Name":"entry"`)+strings.Count(string(b), `"Name":"owner"`), 2)
	// Without a destination nothing is recorded.
	none, err := Open(Options{})
	is.NoErr(err)
	none.Start(&h, "x").End()
	is.NoErr(none.Close(context.Background()))
}
