// Package reporter serves the metrics, health and readiness of a process over HTTP.
//
// /metrics returns all metrics in the Prometheus text format. /healthz returns 200 as
// long as the process serves HTTP. /readyz returns 200 only if every check is ready,
// and 503 otherwise: a node needs a confirmed configuration, a control host a leader
// and a working disk. A process that is stopping is not ready.
//
// # Usage
//
//	r := &reporter.Reporter{Address: "127.0.0.1:7103", Checks: checks}
//	err := r.Run(ctx)
package reporter

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	ioTimeout      = 5 * time.Second
	maxConnections = 64
)

// Kind is the cause of an Error.
type Kind string

// The kinds of reporter errors.
const (
	KindListen Kind = "listen" // KindListen means that the address could not be listened on or the listener failed.
)

// Error is the only error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind
	Err  error // Err is the cause.
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("reporter: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Check is the readiness check of one part of the process.
type Check struct {
	Name  string      // Name is printed in the response of /readyz.
	Ready func() bool // Ready may be called concurrently.
}

// Reporter serves metrics, health and readiness at one address. Exported fields are set
// before Run.
type Reporter struct {
	Address string
	Checks  []Check // Checks must all be ready for /readyz to return 200.
}

// Run serves until ctx ends and then returns nil. It returns an Error of KindListen
// when the address cannot be listened on or the listener fails.
func (r *Reporter) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		return &Error{"run", KindListen, errors.WithMessage(err, "choose another adminAddress")}
	}
	server := &fasthttp.Server{Handler: r.handle, ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: ioTimeout, Concurrency: maxConnections}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return &Error{"run", KindListen, err}
	}
	return nil
}

func (r *Reporter) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/metrics":
		var b bytes.Buffer
		metrics.WritePrometheus(&b, true)
		ctx.SetBody(b.Bytes())
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		r.handleReadiness(ctx)
	default:
		ctx.Error("not found; try /metrics, /healthz or /readyz", fasthttp.StatusNotFound)
	}
}

// handleReadiness runs all checks and writes one line for each.
func (r *Reporter) handleReadiness(ctx *fasthttp.RequestCtx) {
	status := fasthttp.StatusOK
	for _, c := range r.Checks {
		ready := c.Ready()
		if !ready {
			status = fasthttp.StatusServiceUnavailable
		}
		_, _ = fmt.Fprintf(ctx, "%s ready=%t\n", c.Name, ready)
	}
	ctx.SetStatusCode(status)
}
