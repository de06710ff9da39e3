// Package forwarder sends one request to one address and reports whether the
// request ran, did not run, or may have run.
//
// A Forwarder makes exactly one attempt: package receiver decides on retries.
// Each connection has a goroutine that reads from it. Bytes that arrive while no
// request is pending belong to no request, so the connection is closed; it is
// also closed when the peer closes it. A connection whose request failed, timed
// out or was cancelled is closed and never reused. Each response is compared with
// the request that waits for it, see Identity: a peer may write an earlier response
// once more where the next one is expected. The end of a connection ends a response without
// a length only if the connection has not failed, see connReader. Headers and trailers are
// checked before fasthttp parses them, see readResponseHeader and chunkedBody.
//
// The client of fasthttp is not used: it rewrites the path, it cannot be
// cancelled, and it takes bytes that arrive between two requests for the next
// response.
//
// # Usage
//
//	f := &forwarder.Forwarder{Address: "10.0.0.7:7101", MaxConnections: 100}
//	err := f.Do(ctx, &x.Request, &x.Response, deadline, forwarder.Identity{Match: match})
//	outcome := forwarder.OutcomeOf(err)
//
// Lock order: Forwarder.mu, then persistConn.mu.
package forwarder

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	// StallTimeout is the longest pause within the body of a streamed response. A
	// longer one ends the response.
	StallTimeout = 10 * time.Second
	// MaxResponseBytes bounds the body of a response that is not streamed.
	MaxResponseBytes = 16 << 20
	// MaxBufferedBytes bounds the memory that all such responses occupy which this
	// process is reading: a few endless responses must not exhaust the memory for
	// all others.
	MaxBufferedBytes = 32 << 20
	// reservedResponseBytes is the part of MaxBufferedBytes that only responses of up to
	// fairResponseBytes may occupy.
	reservedResponseBytes = 8 << 20
	fairResponseBytes     = 1 << 20
	// directResponseBytes is the declared length up to which a body is read into the buffer
	// of the response itself.
	directResponseBytes = 64 << 10
	// receiveBufferBytes is the size of a connection's receive buffer. Without it
	// the operating system enlarges the buffer for a peer that sends fast, up to
	// tens of megabytes that no bound of this process covers.
	receiveBufferBytes = 1 << 20
	// maxInterimResponses bounds the interim responses (status 1xx) to one request; more
	// of them break the connection.
	maxInterimResponses = 16
	// maxForeignResponses bounds the responses to other requests that are discarded
	// before the one to a request; more of them break the connection.
	maxForeignResponses = 16

	// DefaultDialTimeout bounds the establishment of a connection, which also ends at the
	// deadline of the request.
	DefaultDialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is shorter than the usual keep-alive timeout of servers, so
	// that the server is seldom the first to close.
	defaultIdleTimeout = 4 * time.Second
	// unackedTimeout is how long sent data may stay unacknowledged by the peer's TCP
	// before the connection is closed.
	unackedTimeout = time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount set the TCP keep-alive: the idle
	// time before the first probe, the pause between probes, and the number of unanswered
	// probes after which the connection is closed.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// smallBodyBytes is a body size that fits into the socket's send buffer, so that
	// writing it does not block.
	smallBodyBytes = 2 << 10
)

// Outcome states whether a request ran at a target: OutcomeRan, OutcomeNotRun or
// OutcomeUnknown. The entry node decides by it whether a retry is allowed.
type Outcome string

// The outcomes of a request, the values of the outcome header.
const (
	OutcomeRan     Outcome = "ran"     // OutcomeRan means that the target's complete response arrived.
	OutcomeNotRun  Outcome = "notRun"  // OutcomeNotRun means that the request provably did not run: it reached no target, or the target rejected it.
	OutcomeUnknown Outcome = "unknown" // OutcomeUnknown means that the request may have run.
)

// Kind classifies the errors of this package by the step that failed.
type Kind string

// The kinds of forwarding errors.
const (
	KindDial                Kind = "dial"         // KindDial means that no connection could be made.
	KindNoConn              Kind = "noConnection" // KindNoConn means that MaxConnections are in use.
	KindExpired             Kind = "expired"      // KindExpired means that the deadline had passed before the request was sent.
	KindTimeout             Kind = "timeout"      // KindTimeout means that the response was not complete at the deadline.
	KindUnmatched           Kind = "unmatched"    // KindUnmatched means that a response arrived that cannot be assigned to a request.
	KindBroken              Kind = "broken"       // KindBroken means that the connection failed or the response was malformed.
	KindCancelled           Kind = "cancelled"    // KindCancelled means that the context ended after the request may have been sent.
	KindNoAck               Kind = "silent"       // KindNoAck means that the peer did not acknowledge the request in time.
	KindCancelledBeforeSend Kind = "abandoned"    // KindCancelledBeforeSend means that the context ended before the request was sent.
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("forwarder: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// OutcomeOf returns the outcome of a request whose Do returned err. A nil error gives
// OutcomeRan. KindDial, KindNoConn, KindExpired and KindCancelledBeforeSend give
// OutcomeNotRun, since nothing was sent. Any other kind, and an error that is not an
// Error of this package, gives OutcomeUnknown.
func OutcomeOf(err error) Outcome {
	var e *Error
	if err == nil {
		return OutcomeRan
	}
	if errors.As(err, &e) {
		switch e.Kind {
		case KindDial, KindNoConn, KindExpired, KindCancelledBeforeSend:
			return OutcomeNotRun
		}
	}
	return OutcomeUnknown
}

// Forwarder is a pool of connections to one address, over which each Do makes one
// attempt to send a request and read its response. An owner node uses one for each of
// its targets, and an entry node one for each other node. It is safe for concurrent use.
// Exported fields are set before the first Do.
type Forwarder struct {
	Address        string // Address is HOST:PORT.
	MaxConnections int    // MaxConnections bounds the open connections; 0 means no bound.
	// AckTimeout is how long a peer may take to acknowledge a request by an interim
	// response; 0 means that the peer sends no acknowledgements.
	AckTimeout time.Duration
	// DialTimeout bounds the establishment of a connection; 0 means DefaultDialTimeout.
	DialTimeout time.Duration

	mu        sync.Mutex
	idle      []*persistConn // idle is a stack: the most recently used connection is reused first.
	openCount int
}

// dialsTotal counts the attempts to open a connection, also those that fail.
var dialsTotal = metrics.NewCounter("hornbeam_dials_total")

// Do sends the request once and reads the complete response into resp before the
// deadline. The end of ctx cancels the request by closing its connection. On
// failure it returns an Error, whose kind OutcomeOf maps to an outcome.
func (f *Forwarder) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, id Identity) error {
	_, err := f.run(ctx, call{req: req, resp: resp, identity: id}, deadline)
	return err
}

// DoAcknowledged is Do for a peer that acknowledges requests. onNoAck is called
// once if no acknowledgement arrives within AckTimeout. If it returns a channel, the
// request is given up with KindNoAck when that is closed before the response arrives.
func (f *Forwarder) DoAcknowledged(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, id Identity, onNoAck func() (giveUp <-chan struct{})) error {
	_, err := f.run(ctx, call{req: req, resp: resp, identity: id, onNoAck: onNoAck}, deadline)
	return err
}

// Stream sends the request once and returns when the header of the response has
// arrived; the body stream of resp then reads the body while it is passed on. The
// body ends with an error if nothing arrives for StallTimeout. done is called
// once: after the body is passed on, or at once on an error. Stream returns errors
// as Do does.
func (f *Forwarder) Stream(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, id Identity, done func()) error {
	err := f.StreamUntil(ctx, req, resp, deadline, id, func(error) { done() })
	if err != nil {
		done()
	}
	return err
}

// StreamUntil is Stream for a caller that needs to know how the body ended. Unless
// StreamUntil returns an error, it calls end once, after the body is passed on: with nil
// if the body was read to its end, or else with an Error of KindBroken, KindTimeout, or
// KindCancelled if ctx ended or the caller did not read all of it.
func (f *Forwarder) StreamUntil(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, id Identity, end func(bodyErr error)) error {
	inner := fasthttp.AcquireResponse()
	c, err := f.run(ctx, call{req: req, resp: inner, identity: id, stream: true}, deadline)
	if err != nil {
		return err
	}
	inner.Header.CopyTo(&resp.Header)
	stop := context.AfterFunc(ctx, func() { c.conn.abort(c) })
	resp.SetBodyStream(&streamBody{call: c, end: func(bodyErr error) {
		stop()
		if bodyErr != nil && ctx.Err() != nil {
			bodyErr = &Error{"stream", KindCancelled, ctx.Err()}
		}
		end(bodyErr)
	}}, inner.Header.ContentLength())
	return nil
}

// run makes the attempt of a call. It takes another connection as long as the one
// it has turns out to be closed before anything is sent. It returns the state of the
// call on the last connection.
func (f *Forwarder) run(ctx context.Context, c call, deadline time.Time) (*callState, error) {
	if !time.Now().Before(deadline) {
		return nil, &Error{"do", KindExpired, errors.New("the deadline passed before the request was sent")}
	}
	if ctx.Err() != nil {
		return nil, &Error{"do", KindCancelledBeforeSend, ctx.Err()}
	}
	for {
		s := newCallState(c)
		err := f.attempt(ctx, s, deadline)
		if !errors.Is(err, errNotSent) {
			return s, err
		}
		// The peer has closed an idle connection, and nothing was sent on it.
	}
}

// attempt sends the call on one connection and waits until the call ends. It
// returns errNotSent if nothing was sent.
func (f *Forwarder) attempt(ctx context.Context, c *callState, deadline time.Time) error {
	pc, err := f.acquire(ctx, c, deadline)
	if err != nil {
		return err
	}
	c.conn = pc
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	if c.short {
		pc.send(c, deadline)
	} else {
		go pc.send(c, deadline) // The response may arrive before the whole body is sent.
	}
	err, ended := f.await(ctx, c, timer)
	if !ended {
		pc.abort(c)
		// The reader may still be writing to the response, so its end is awaited.
		if <-c.done == nil && c.stream {
			close(c.bodyPassed)
		}
	}
	if !c.stream || err != nil {
		<-c.sendEnded // The connection is closed if the request is not sent completely.
	}
	if ended {
		return classifyError(err)
	}
	return err
}

// await waits for the end of a call. ended is false if the call is given up while
// its response may still arrive.
func (f *Forwarder) await(ctx context.Context, c *callState, timer *time.Timer) (err error, ended bool) {
	var ackTimeout <-chan time.Time
	var giveUp <-chan struct{}
	if f.AckTimeout > 0 && c.onNoAck != nil {
		t := time.NewTimer(f.AckTimeout)
		defer t.Stop()
		ackTimeout = t.C
	}
	for {
		select {
		case err := <-c.done:
			return err, true
		case <-timer.C:
			return &Error{"do", KindTimeout, errors.New("the response was not complete before the deadline")}, false
		case <-ctx.Done():
			return &Error{"do", KindCancelled, ctx.Err()}, false
		case <-ackTimeout:
			ackTimeout = nil
			if !c.acknowledged.Load() {
				giveUp = c.onNoAck()
			}
		case <-giveUp:
			return &Error{"do", KindNoAck, errors.Errorf("the owner node at %s did not acknowledge the request within %s", f.Address, f.AckTimeout)}, false
		}
	}
}

// errNotSent means that a connection was closed before the request was written.
var errNotSent = errors.New("the connection was closed before the request was sent")

// acquire assigns the call to an idle connection, or to a new one, and returns it.
// It returns an Error of KindNoConn or KindDial if there is none.
func (f *Forwarder) acquire(ctx context.Context, c *callState, deadline time.Time) (*persistConn, error) {
	for {
		f.mu.Lock()
		pc, usable := f.takeIdle(c.identity)
		if pc == nil {
			break
		}
		f.mu.Unlock()
		if usable && pc.begin(c) {
			return pc, nil
		}
		pc.close()
	}
	if f.MaxConnections > 0 && f.openCount >= f.MaxConnections {
		f.mu.Unlock()
		return nil, &Error{"do", KindNoConn, errors.Errorf("all %d connections are in use", f.MaxConnections)}
	}
	f.openCount++
	f.mu.Unlock()
	conn, err := dial(ctx, f.Address, f.dialDeadline(deadline))
	if err != nil {
		f.addOpen(-1)
		return nil, &Error{"dial", KindDial, err}
	}
	pc := newPersistConn(f, conn)
	pc.begin(c)
	go pc.readLoop()
	return pc, nil
}

// takeIdle takes the most recently used idle connection on which the request was not
// rejected. If there is none and no connection may be opened, it takes another one, which
// the caller closes, and returns false. It returns nil if there is none to take. f.mu is
// held.
func (f *Forwarder) takeIdle(id Identity) (*persistConn, bool) {
	for i, pc := range slices.Backward(f.idle) {
		if !pc.rejections.has(id) {
			f.idle = slices.Delete(f.idle, i, i+1)
			return pc, true
		}
	}
	if len(f.idle) == 0 || f.MaxConnections == 0 || f.openCount < f.MaxConnections {
		return nil, false
	}
	pc := f.idle[0]
	f.idle = slices.Delete(f.idle, 0, 1)
	return pc, false
}

// addOpen changes the number of open connections by n, which may be negative. It takes
// the lock itself.
func (f *Forwarder) addOpen(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openCount += n
}

// putIdle adds a connection whose response has been read completely to the idle
// connections.
func (f *Forwarder) putIdle(pc *persistConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle = append(f.idle, pc)
}

// remove removes a closed connection from the pool: it subtracts it from the open
// connections and takes it out of the idle ones. It takes the lock itself.
func (f *Forwarder) remove(pc *persistConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openCount--
	for i, o := range f.idle {
		if o == pc {
			f.idle = append(f.idle[:i], f.idle[i+1:]...)
			return
		}
	}
}

// Close closes the idle connections. Connections in use are not affected: each
// becomes idle after its response.
func (f *Forwarder) Close() {
	f.mu.Lock()
	list := f.idle
	f.idle = nil
	f.mu.Unlock()
	for _, pc := range list {
		pc.close()
	}
}

// dialDeadline returns when the establishment of a connection is given up for a request
// with a deadline.
func (f *Forwarder) dialDeadline(deadline time.Time) time.Time {
	limit := time.Now().Add(cmp.Or(f.DialTimeout, DefaultDialTimeout))
	if limit.Before(deadline) {
		return limit
	}
	return deadline
}

// dial opens a TCP connection before the deadline, with the keep-alive and socket options
// of this package.
func dial(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
	dialsTotal.Inc()
	d := net.Dialer{
		Deadline: deadline,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var err error
			controlErr := rc.Control(func(fd uintptr) { err = setSocketOptions(int(fd)) })
			return firstError(controlErr, err)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// setSocketOptions sets the options that must be in force before the connection
// is established.
func setSocketOptions(fd int) error {
	err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	if err != nil {
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	return errors.Wrap(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes), "set SO_RCVBUF")
}

// firstError returns a unless it is nil, else b, which may be nil too.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// classifyError wraps an error of a connection as KindBroken, unless it is nil,
// errNotSent or an Error already.
func classifyError(err error) error {
	var own *Error
	switch {
	case err == nil, errors.Is(err, errNotSent):
		return err
	case errors.As(err, &own):
		return own
	}
	return &Error{"do", KindBroken, err}
}
