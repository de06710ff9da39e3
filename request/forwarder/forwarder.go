// Package forwarder sends one request to one address and says what is known
// about whether it ran.
//
// A Forwarder makes exactly one attempt: retries are the receiver's decision.
// Each connection has a goroutine that reads. Bytes that come while no request
// is out belong to nobody, so they end the connection; so does a peer that
// closes. A connection whose request failed, timed out or was cancelled is
// closed and never used again, so a late answer can reach nobody else.
//
// fasthttp's client is not used: it rewrites the path, it cannot be cancelled,
// and it takes bytes that arrive between two requests for the next answer.
//
// # Usage
//
//	f := &forwarder.Forwarder{Address: "10.0.0.7:7101", Connections: 100}
//	err := f.Do(ctx, &x.Request, &x.Response, deadline)
//	outcome := forwarder.OutcomeOf(err)
//
// Lock order: Forwarder.mu, then link.mu.
package forwarder

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	// StallTimeout cuts a streamed answer that sends nothing for so long.
	StallTimeout = 10 * time.Second
	// MaxResponseBytes bounds an answer that is not streamed, in bytes.
	MaxResponseBytes = 16 << 20
	// MaxBufferedBytes bounds all such answers that are being read in this process, in
	// bytes: a few answers without end must not take the memory of all others.
	MaxBufferedBytes = 32 << 20
	// fairAnswer is the size in bytes up to which an answer is read on even then.
	fairAnswer = 1 << 20
	// systemBuffer is the size in bytes of a connection's receive buffer. Without
	// it the system widens the buffer for a peer that sends fast, up to tens of
	// megabytes that no bound of this process counts.
	systemBuffer = 1 << 20
	// mostInterims is the number of interim answers that one request may get.
	mostInterims = 16

	dialTimeout = 250 * time.Millisecond
	// defaultIdle is shorter than the usual keep-alive of servers, so that
	// the server is seldom the one to close.
	defaultIdle = 4 * time.Second
	// unackedTimeout ends a connection whose peer acknowledges nothing.
	unackedTimeout = time.Second
	probeIdle      = time.Second
	probeInterval  = time.Second
	probeCount     = 2
	// smallBody fits into the socket's buffer, so that writing it does not block.
	smallBody = 2 << 10
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
	KindDial                Kind = "dial"
	KindNoConn              Kind = "noConnection"
	KindExpired             Kind = "expired" // KindExpired means that the deadline had passed before the request was sent.
	KindTimeout             Kind = "timeout"
	KindBroken              Kind = "broken"
	KindCancelled           Kind = "cancelled" // KindCancelled means that the caller hung up while the request was out.
	KindNoAck               Kind = "silent"    // KindSilent means that the peer gave no sign that it has the request.
	KindCancelledBeforeSend Kind = "abandoned" // KindAbandoned means that the caller hung up before it was sent.
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

// OutcomeOf tells what an error of Do says about the request.
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

// Forwarder is the connections to one address. Exported fields are set before
// the first Do.
type Forwarder struct {
	Address        string
	MaxConnections int // Connections bounds the connections.
	// AckTimeout is how long a peer that signs for requests by an interim answer
	// may take for it; 0 means that it does not sign.
	AckTimeout time.Duration

	mu   sync.Mutex
	idle []*link // idle is a stack: the connection used last is used first.
	open int
}

var dialsTotal = metrics.NewCounter("hornbeam_dials_total")

// Do sends the request once and reads the whole answer before deadline. The
// end of ctx cancels the request by closing its connection.
func (f *Forwarder) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	return f.run(ctx, &call{req: req, resp: resp}, deadline)
}

// DoAcknowledged is Do for a peer that signs. silent is called once when no sign
// came in time; the request is given up then if it returns true.
func (f *Forwarder) DoAcknowledged(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, silent func() bool) error {
	return f.run(ctx, &call{req: req, resp: resp, silent: silent}, deadline)
}

// Stream sends the request once and lets resp read the answer's body while it
// is passed on. A body that sends nothing for StallTimeout is cut. done is
// called once: when the body was passed on, or at once on an error.
func (f *Forwarder) Stream(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, done func()) error {
	inner := fasthttp.AcquireResponse()
	c := &call{req: req, resp: inner, stream: true, passed: make(chan struct{})}
	if err := f.run(ctx, c, deadline); err != nil {
		done()
		return err
	}
	inner.Header.CopyTo(&resp.Header)
	stop := context.AfterFunc(ctx, c.link.close)
	resp.SetBodyStream(&streamBody{call: c, done: func() { stop(); done() }}, inner.Header.ContentLength())
	return nil
}

// run makes the attempt.
func (f *Forwarder) run(ctx context.Context, c *call, deadline time.Time) error {
	if !time.Now().Before(deadline) {
		return &Error{"do", KindExpired, errors.New("the deadline has passed")}
	}
	if ctx.Err() != nil {
		return &Error{"do", KindCancelledBeforeSend, ctx.Err()}
	}
	for {
		err := f.attempt(ctx, c, deadline)
		if !errors.Is(err, errNotSent) {
			return err
		}
		// The peer had closed an idle connection; nothing was sent on it.
	}
}

// attempt puts the call on one connection and waits for its end.
func (f *Forwarder) attempt(ctx context.Context, c *call, deadline time.Time) error {
	c.done = make(chan error, 1)
	l, err := f.take(ctx, c, deadline)
	if err != nil {
		return err
	}
	c.link = l
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	if len(c.req.Body()) <= smallBody {
		l.send(c, deadline)
	} else {
		go l.send(c, deadline) // The answer may come before the body is out.
	}
	err, ended := f.await(ctx, c, timer)
	if ended {
		return classify(err)
	}
	l.close()
	// The reader may still be filling in the answer.
	if <-c.done == nil && c.stream {
		close(c.passed)
	}
	return err
}

// await waits for the end of a call. ended is false when the call is given up
// while its answer may still come.
func (f *Forwarder) await(ctx context.Context, c *call, timer *time.Timer) (err error, ended bool) {
	var sign <-chan time.Time
	if f.AckTimeout > 0 && c.silent != nil {
		t := time.NewTimer(f.AckTimeout)
		defer t.Stop()
		sign = t.C
	}
	for {
		select {
		case err := <-c.done:
			return err, true
		case <-timer.C:
			return &Error{"do", KindTimeout, errors.New("no whole answer before the deadline")}, false
		case <-ctx.Done():
			return &Error{"do", KindCancelled, ctx.Err()}, false
		case <-sign:
			sign = nil
			if !c.signed.Load() && c.silent() {
				return &Error{"do", KindNoAck, errors.Errorf("no sign from %s within %s", f.Address, f.AckTimeout)}, false
			}
		}
	}
}

// errNotSent means that a connection ended before the request was written.
var errNotSent = errors.New("the connection ended before the request was sent")

// take returns a connection that carries nothing else, with the call on it.
func (f *Forwarder) take(ctx context.Context, c *call, deadline time.Time) (*link, error) {
	for {
		f.mu.Lock()
		n := len(f.idle)
		if n == 0 {
			break
		}
		l := f.idle[n-1]
		f.idle = f.idle[:n-1]
		f.mu.Unlock()
		if l.begin(c) {
			return l, nil
		}
		l.close()
	}
	if f.MaxConnections > 0 && f.open >= f.MaxConnections {
		f.mu.Unlock()
		return nil, &Error{"do", KindNoConn, errors.Errorf("%d connections are in use", f.open)}
	}
	f.open++
	f.mu.Unlock()
	conn, err := dial(ctx, f.Address, deadline)
	if err != nil {
		f.count(-1)
		return nil, &Error{"dial", KindDial, err}
	}
	l := newLink(f, conn)
	l.begin(c)
	go l.read()
	return l, nil
}

func (f *Forwarder) count(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += n
}

// put returns a connection whose answer has been read whole.
func (f *Forwarder) put(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.idle = append(f.idle, l)
}

// forget drops a connection that was closed.
func (f *Forwarder) forget(l *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
	for i, o := range f.idle {
		if o == l {
			f.idle = append(f.idle[:i], f.idle[i+1:]...)
			return
		}
	}
}

// Close closes the connections that are idle; busy ones close after use.
func (f *Forwarder) Close() {
	f.mu.Lock()
	list := f.idle
	f.idle = nil
	f.mu.Unlock()
	for _, l := range list {
		l.close()
	}
}

func dial(ctx context.Context, address string, deadline time.Time) (net.Conn, error) {
	dialsTotal.Inc()
	d := net.Dialer{
		Timeout: min(dialTimeout, time.Until(deadline)),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var err error
			controlErr := rc.Control(func(fd uintptr) { err = setOptions(int(fd)) })
			return firstOf(controlErr, err)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// setOptions sets what must be known before the connection is made.
func setOptions(fd int) error {
	err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	if err != nil {
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	return errors.Wrap(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, systemBuffer), "set SO_RCVBUF")
}

func firstOf(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// classify gives an error of a connection its kind.
func classify(err error) error {
	var own *Error
	switch {
	case err == nil, errors.Is(err, errNotSent):
		return err
	case errors.As(err, &own):
		return own
	}
	return &Error{"do", KindBroken, err}
}
