// Package reporter serves metrics, health and readiness of a process.
//
// /healthz answers as long as the process works at all. /readyz answers 200
// only if every part says that it can do its work: a node with a confirmed
// configuration, a control host that knows a leader and whose disk works. A
// process that is stopping is not ready.
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
	ioTimeout   = 5 * time.Second
	concurrency = 64
)

// Kind tells why the reporter stopped.
type Kind string

// The kinds of reporter errors.
const (
	KindListen Kind = "listen"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("reporter: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Check is one part whose readiness counts.
type Check struct {
	Name  string
	Ready func() bool
}

// Reporter serves one address. Exported fields are set before Run.
type Reporter struct {
	Address string
	Checks  []Check
}

// Run serves until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		return &Error{"run", KindListen, errors.WithMessage(err, "choose another adminAddress")}
	}
	server := &fasthttp.Server{Handler: r.handle, ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: ioTimeout, Concurrency: concurrency}
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
		r.readiness(ctx)
	default:
		ctx.Error("not found; try /metrics, /healthz or /readyz", fasthttp.StatusNotFound)
	}
}

func (r *Reporter) readiness(ctx *fasthttp.RequestCtx) {
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
