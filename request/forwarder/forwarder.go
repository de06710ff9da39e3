// Package forwarder sends one request to one address and says what is known
// about whether it ran.
//
// A Forwarder makes exactly one attempt: retries are the receiver's decision.
// A connection whose request failed or timed out is closed and never used
// again, so a late answer can reach nobody else. Streamed answers are passed
// on as they come; a stream that stalls is cut.
//
// # Usage
//
//	f := &forwarder.Forwarder{Address: "10.0.0.7:7101", Connections: 100}
//	err := f.Do(&ctx.Request, &ctx.Response, deadline)
//	outcome := forwarder.OutcomeOf(err)
package forwarder

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// StallTimeout cuts a streamed answer that sends nothing for so long.
	StallTimeout = 10 * time.Second
	// MaxAnswer bounds an answer that is not streamed, in bytes.
	MaxAnswer = 8 << 20

	dialTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than the usual keep-alive of servers, so that
	// the server is seldom the one to close.
	idleTimeout = 4 * time.Second
	bufferBytes = 16 << 10
)

// Outcome is what is known about whether a request ran.
type Outcome string

// The outcomes of a request, the values of the outcome header.
const (
	OutcomeRan     Outcome = "ran"     // OutcomeRan means that the whole answer is the target's.
	OutcomeNotRun  Outcome = "notRun"  // OutcomeNotRun means that it provably never reached a target.
	OutcomeUnknown Outcome = "unknown" // OutcomeUnknown means that it may have run.
)

// Kind tells where forwarding failed.
type Kind string

// The kinds of forwarding errors.
const (
	KindDial    Kind = "dial"
	KindNoConn  Kind = "noConnection"
	KindExpired Kind = "expired" // KindExpired means that the deadline had passed before the request was sent.
	KindTimeout Kind = "timeout"
	KindBroken  Kind = "broken"
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

// OutcomeOf tells what an error of Do says about the request.
func OutcomeOf(err error) Outcome {
	var e *Error
	switch {
	case err == nil:
		return OutcomeRan
	case errors.As(err, &e) && (e.Kind == KindDial || e.Kind == KindNoConn || e.Kind == KindExpired):
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// Forwarder is the connections to one address. Exported fields are set before
// the first Do.
type Forwarder struct {
	Address     string
	Connections int // Connections bounds the connections, at least one of them for streams.

	once     sync.Once
	buffered *fasthttp.HostClient
	streamed *fasthttp.HostClient
}

// Do sends the request once and reads the whole answer before deadline.
func (f *Forwarder) Do(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	f.once.Do(f.init)
	if !time.Now().Before(deadline) {
		return errPassed
	}
	return classify(f.buffered.DoDeadline(req, resp, deadline))
}

// Stream sends the request once and lets resp read the answer's body while it
// is passed on. A body that sends nothing for StallTimeout is cut. done is
// called once: when the body was passed on, or at once on an error.
func (f *Forwarder) Stream(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, done func()) error {
	f.once.Do(f.init)
	if !time.Now().Before(deadline) {
		done()
		return errPassed
	}
	inner := fasthttp.AcquireResponse()
	if err := f.streamed.Do(req, inner); err != nil {
		fasthttp.ReleaseResponse(inner)
		done()
		return classify(err)
	}
	inner.Header.CopyTo(&resp.Header)
	resp.SetBodyStream(&streamBody{inner: inner, done: done}, inner.Header.ContentLength())
	return nil
}

var errPassed = &Error{"do", KindExpired, errors.New("the deadline has passed")}

// streamBody reads the body of inner. It implements
// fasthttp.ReadCloserWithError, so that a connection whose body was not read
// to its end is closed and not used again.
type streamBody struct {
	inner *fasthttp.Response
	done  func()
	err   error
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.inner.BodyStream().Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

// Close does nothing: CloseWithError follows.
func (b *streamBody) Close() error { return nil }

// CloseWithError ends the answer and its connection.
func (b *streamBody) CloseWithError(err error) error {
	if b.inner == nil {
		return nil
	}
	if b.err != nil {
		err = b.err
	}
	body, ok := b.inner.BodyStream().(fasthttp.ReadCloserWithError)
	if ok {
		_ = body.CloseWithError(err)
	}
	b.inner = nil
	b.done()
	return nil
}

func (f *Forwarder) init() {
	f.buffered = f.client(false)
	f.streamed = f.client(true)
}

func (f *Forwarder) client(stream bool) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      f.Address,
		Dial:                      func(addr string) (net.Conn, error) { return dial(addr, stream) },
		MaxConns:                  max(f.Connections, 1),
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxBody(stream),
		ReadBufferSize:            bufferBytes,
		WriteBufferSize:           bufferBytes,
		WriteTimeout:              StallTimeout,
		StreamResponseBody:        stream,
		NoDefaultUserAgentHeader:  true,
		SecureErrorLogMessage:     true,
	}
}

func maxBody(stream bool) int {
	if stream {
		return 0
	}
	return MaxAnswer
}

// Close closes the connections that are idle; busy ones close after use.
func (f *Forwarder) Close() {
	f.once.Do(f.init)
	f.buffered.CloseIdleConnections()
	f.streamed.CloseIdleConnections()
}

func dial(addr string, stream bool) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &Error{"dial", KindDial, err}
	}
	if stream {
		return &stallConn{conn}, nil
	}
	return conn, nil
}

// stallConn gives each read a deadline of its own.
type stallConn struct{ net.Conn }

// Read implements net.Conn.
func (c *stallConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(StallTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func classify(err error) error {
	var own *Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &own):
		return own
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return &Error{"do", KindNoConn, err}
	case errors.Is(err, fasthttp.ErrTimeout):
		return &Error{"do", KindTimeout, err}
	}
	return &Error{"do", KindBroken, err}
}
