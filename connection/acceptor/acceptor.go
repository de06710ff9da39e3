// Package acceptor serves HTTP/1.1 connections.
//
// Each connection has a goroutine that reads requests, and each request one that
// works on it and writes the answer when its turn has come. So a peer that hangs
// up is noticed while its request is worked on, also with further requests
// queued behind, and pipelined requests are worked on side by side.
//
// Headers and bodies are read and written by fasthttp's codec. Its server is
// not used: it reads nothing while a handler runs, so it can see neither a
// hang-up nor a pipelined request.
//
// # Usage
//
//	s := &acceptor.Server{Handler: handle, Limits: limits}
//	go s.Serve(listener)
//	s.Drain()             // answers ask the peers to close
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
)

const (
	// DefaultHeaderBytes bounds the header of a request, in bytes.
	DefaultHeaderBytes = 16 << 10
	// DefaultBodyBytes bounds the body of a request, in bytes.
	DefaultBodyBytes = 4 << 20
	// DefaultHeaderTimeout bounds the time from a request's first byte to the end of its header.
	DefaultHeaderTimeout = 10 * time.Second
	// DefaultIdleTimeout is how long a connection may carry no request.
	DefaultIdleTimeout = 75 * time.Second

	bodyTimeout    = 30 * time.Second
	writeTimeout   = 10 * time.Second
	acceptPause    = 20 * time.Millisecond
	pipelineDepth  = 16
	maxConnections = 3072
	shutdownPoll   = 10 * time.Millisecond
	// closeGrace lets the last answer reach a peer before the connection's
	// reading side is closed, which would reset it.
	closeGrace = 500 * time.Millisecond
	// systemBuffer is the size in bytes of a connection's receive buffer. Without
	// it the system widens the buffer for a caller that sends fast, up to tens of
	// megabytes that no limit of this process counts.
	systemBuffer = 1 << 20
)

// Kind tells why the server stopped.
type Kind string

// The kinds of acceptor errors.
const (
	KindAccept Kind = "accept"
	KindBusy   Kind = "busy" // KindBusy means that exchanges were still open at the deadline.
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("acceptor: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Limits bound what a peer may send and how long it may take. A zero field
// means the default.
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

// Server serves any number of listeners. Exported fields are set before Serve.
type Server struct {
	Handler func(x *Exchange)
	Limits  func() Limits // Limits is asked for each request; defaults hold when nil.
	// MalformedHandler, when set, writes the answer to a request that cannot be read.
	MalformedHandler func(resp *fasthttp.Response, status int, detail string)

	mu       sync.Mutex
	conns    map[*conn]struct{}
	closed   bool
	draining atomic.Bool
	open     atomic.Int64
	last     atomic.Int64 // last is when the newest request was read, in Unix nanoseconds.
}

var (
	refusedConnections = metrics.NewCounter("hornbeam_connections_refused_total")
	hangUpsTotal       = metrics.NewCounter("hornbeam_caller_hang_ups_total")
	malformedTotal     = metrics.NewCounter("hornbeam_malformed_requests_total")
)

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			if ne, ok := err.(net.Error); ok && ne.Timeout() || isTooMany(err) {
				time.Sleep(acceptPause)
				continue
			}
			return &Error{"serve", KindAccept, err}
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(systemBuffer) // It fails on a connection that has ended; the reader finds that too.
		}
		c := newConn(s, nc)
		if !s.add(c) {
			refusedConnections.Inc()
			_ = nc.Close()
			continue
		}
		go c.serve()
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) add(c *conn) bool {
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

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes every further answer ask its peer to close the connection.
// Connections that are open are served on.
func (s *Server) Drain() { s.draining.Store(true) }

// OpenRequests returns the number of requests that were read and not answered yet.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// LastRequestAt returns when the newest request was read.
func (s *Server) LastRequestAt() time.Time { return time.Unix(0, s.last.Load()) }

// Shutdown waits until no request is open, or ctx ends, and closes all
// connections. The listeners are closed by their owner.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	for s.OpenRequests() > 0 && ctx.Err() == nil {
		time.Sleep(shutdownPoll)
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

func (s *Server) limits() Limits {
	if s.Limits == nil {
		return Limits{}.withDefaults()
	}
	return s.Limits().withDefaults()
}

func (s *Server) malformed(resp *fasthttp.Response, status int, detail string) {
	malformedTotal.Inc()
	if s.MalformedHandler != nil {
		s.MalformedHandler(resp, status, detail)
		return
	}
	resp.SetStatusCode(status)
	resp.SetBodyString(detail + "\n")
}
