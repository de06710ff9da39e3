// Package acceptor serves HTTP/1.1 connections.
//
// Each connection has one goroutine that reads requests. Each request has a goroutine
// that runs the handler and writes the response after all earlier responses on the
// connection. So the disconnect of a caller is detected while its request is handled,
// also if further requests are queued behind it, and pipelined requests are handled
// concurrently.
//
// fasthttp's codec reads and writes headers and bodies. Its server is not used: it
// does not read while a handler runs, so it detects neither a disconnect nor a
// pipelined request.
//
// # Usage
//
//	s := &acceptor.Server{Handler: handle, Limits: limits}
//	go s.Serve(listener)
//	s.Drain()             // responses ask the callers to close
//	s.Shutdown(ctx)       // waits for open exchanges, then closes
//
// Lock order: Server.mu, then conn.mu.
package acceptor

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/common/assembler"
)

const (
	// DefaultHeaderBytes is the maximum size of a request header.
	DefaultHeaderBytes = 16 << 10
	// DefaultBodyBytes is the maximum size of a request body.
	DefaultBodyBytes = 4 << 20
	// DefaultBodyMemory bounds the bodies of all open requests of a server.
	DefaultBodyMemory = 128 << 20
	// DefaultHeaderTimeout is the maximum time from a request's first byte to the end of its header.
	DefaultHeaderTimeout = 10 * time.Second
	// DefaultIdleTimeout is the maximum wait for the next request on a connection.
	DefaultIdleTimeout = 75 * time.Second

	bodyTimeout          = 30 * time.Second
	writeTimeout         = 10 * time.Second
	acceptRetryDelay     = 20 * time.Millisecond
	maxPipelinedRequests = 16
	maxConnections       = 3072
	shutdownPollInterval = 10 * time.Millisecond
	// retryAfterSeconds is the time after which memory for long headers and bodies is likely
	// to be free again.
	retryAfterSeconds = "1"
	// reservedDivisor gives the part of the memory for bodies that is reserved for short ones.
	reservedDivisor = 4
	// lingerTimeout is how long a connection is kept open for reading after its last
	// response. Closing it at once with unread bytes would reset it before the caller
	// has received the response.
	lingerTimeout = 500 * time.Millisecond
	// receiveBufferBytes is the size of a connection's receive buffer in the kernel.
	// Without it, the kernel enlarges the buffer for a caller that sends fast to tens of
	// megabytes, which no memory limit of this process includes.
	receiveBufferBytes = 1 << 20
)

// Kind classifies an error of the server.
type Kind string

// The kinds of acceptor errors.
const (
	KindAccept Kind = "accept"
	KindBusy   Kind = "busy" // KindBusy means that requests were still open at the deadline.
)

// Error is the only error type of this package. Op is serve or shutdown.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string { return fmt.Sprintf("acceptor: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Limits bounds the size of a request and the time to receive it. A field that is
// zero or negative takes the default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// Server serves HTTP/1.1 on any number of listeners. Exported fields are set before
// Serve. It is safe for concurrent use.
type Server struct {
	// Handler fills in the response of an exchange. It runs concurrently for the requests
	// of a connection.
	Handler func(x *Exchange)
	// Limits is called for each request and while a connection is idle, so that limits that
	// change are in force on open connections too; defaults apply when nil.
	Limits func() Limits
	// MalformedHandler, when set, fills in the response to a request that cannot be read.
	MalformedHandler func(resp *fasthttp.Response, status int, detail string)
	// Bodies bounds the bodies of all requests that are open. Servers may share it; each
	// has one of DefaultBodyMemory when it is nil.
	Bodies *assembler.Pool

	mu               sync.Mutex
	conns            map[*conn]struct{}
	closed           bool
	draining         atomic.Bool
	openRequests     atomic.Int64
	ownBodiesOnce    sync.Once
	ownBodies        *assembler.Pool // ownBodies is used when Bodies is nil.
	enlargedBytes    atomic.Int64    // enlargedBytes is the size of the read buffers beyond their initial one.
	lastRequestNanos atomic.Int64    // lastRequestNanos is when the latest request was read, in Unix nanoseconds.
}

var (
	rejectedConnections = metrics.NewCounter("hornbeam_connections_refused_total")
	disconnectsTotal    = metrics.NewCounter("hornbeam_caller_hang_ups_total")
	malformedTotal      = metrics.NewCounter("hornbeam_malformed_requests_total")
)

// Serve accepts connections until the listener is closed. It returns nil after
// Shutdown, otherwise an *Error of KindAccept. It retries after transient errors.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			if ne, ok := err.(net.Error); ok && ne.Timeout() || isTransientAcceptError(err) {
				time.Sleep(acceptRetryDelay)
				continue
			}
			return &Error{"serve", KindAccept, err}
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(receiveBufferBytes) // It fails on a closed connection, which the reader detects too.
		}
		c := newConn(s, nc)
		if !s.addConn(c) {
			rejectedConnections.Inc()
			_ = nc.Close()
			continue
		}
		go c.serve()
	}
}

// isClosed reports whether the server is closed.
func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// addConn registers a connection. It returns false when the server is closed or has
// maxConnections.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		return false
	}
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return true
}

// removeConn removes a connection from the server's set without closing it.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes further responses ask the caller to close the connection. Requests on
// open connections are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// OpenRequests returns the number of requests that were read and whose responses are not
// written yet.
func (s *Server) OpenRequests() int64 { return s.openRequests.Load() }

// LastRequestAt returns when the latest request was read.
func (s *Server) LastRequestAt() time.Time { return time.Unix(0, s.lastRequestNanos.Load()) }

// Shutdown drains the server, waits until no request is open or ctx is done, and
// closes all connections. The caller closes the listeners. It returns an *Error of
// KindBusy if requests are still open.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	for s.OpenRequests() > 0 && ctx.Err() == nil {
		time.Sleep(shutdownPollInterval)
	}
	s.mu.Lock()
	s.closed = true
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.stop()
	}
	if s.OpenRequests() > 0 {
		return &Error{"shutdown", KindBusy, ctx.Err()}
	}
	return nil
}

// limits returns the current limits with defaults for fields that are not set.
func (s *Server) limits() Limits {
	if s.Limits == nil {
		return Limits{}.withDefaults()
	}
	return s.Limits().withDefaults()
}

// bodies returns the memory for the bodies of requests.
func (s *Server) bodies() *assembler.Pool {
	if s.Bodies != nil {
		return s.Bodies
	}
	s.ownBodiesOnce.Do(func() { s.ownBodies = NewBodyMemory(DefaultBodyMemory) })
	return s.ownBodies
}

// NewBodyMemory returns the memory of n bytes for the bodies of requests, a part of which is
// reserved for short ones.
func NewBodyMemory(n int) *assembler.Pool {
	return &assembler.Pool{MaxBytes: n, ReservedBytes: n / reservedDivisor}
}

// respondMalformed fills in the response to a request that cannot be read.
func (s *Server) respondMalformed(resp *fasthttp.Response, status int, detail string) {
	malformedTotal.Inc()
	if status == fasthttp.StatusServiceUnavailable {
		resp.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds)
	}
	if s.MalformedHandler != nil {
		s.MalformedHandler(resp, status, detail)
		return
	}
	resp.SetStatusCode(status)
	resp.SetBodyString(detail + "\n")
}
