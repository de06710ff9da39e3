// Package dialer keeps one net/rpc connection to one peer process.
//
// net/rpc has neither deadlines nor cancellation. A Client gives each call the
// deadline of its context. A call that times out closes the connection, so that a
// late reply cannot be received. A peer that cannot be reached is not dialled again
// before a jittered exponential backoff has passed; until then calls fail at once
// with KindUnreachable.
//
// # Usage
//
//	c := &dialer.Client{Address: "10.0.0.4:7000"}
//	err := c.Call(ctx, "Node.Sync", args, &reply)
//
// A Client is safe for concurrent use. Calls that wait for a long time should use a
// Client of their own, since one call that times out closes the connection for all.
package dialer

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/connection/framer"
)

const (
	// DefaultDialTimeout is the maximum time to establish a connection.
	DefaultDialTimeout = time.Second
	// DefaultMaxBackoff is the maximum delay between two dials.
	DefaultMaxBackoff = 2 * time.Second

	initialBackoff = 50 * time.Millisecond
	// firstAttemptTimeout is the timeout of the first connection attempt of a dial; it
	// doubles with each further attempt. The kernel retransmits a lost SYN packet only
	// after one second. After a power loss, hosts restart within moments of each other,
	// and each would wait that second for those that start after it.
	firstAttemptTimeout = 120 * time.Millisecond
)

// Kind classifies a failed call.
type Kind string

// The kinds of call errors.
const (
	KindUnreachable Kind = "unreachable" // KindUnreachable means that the call was never sent.
	KindTimeout     Kind = "timeout"     // KindTimeout means that the call may have run.
	KindBroken      Kind = "broken"      // KindBroken means that the connection was lost; the call may have run.
	KindRemote      Kind = "remote"      // KindRemote means that the peer replied with an error.
)

// Error is the only error type of this package. Op is the RPC method.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the method, the kind and the cause as text.
func (e *Error) Error() string { return fmt.Sprintf("dialer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Client holds one connection to one peer, which is dialled when first needed.
// Exported fields are set before use.
type Client struct {
	Address     string
	Limits      framer.Limits
	DialTimeout time.Duration             // DialTimeout is DefaultDialTimeout when zero.
	WrapConn    func(net.Conn) net.Conn   // WrapConn, when set, wraps each new connection, for example to count bytes.
	Preface     func(conn net.Conn) error // Preface, when set, writes the first bytes on a new connection.
	MaxBackoff  time.Duration             // MaxBackoff is DefaultMaxBackoff when zero.
	// DialContext establishes a connection; net.Dialer.DialContext is used when nil.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	client  *rpc.Client
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
	closed  bool
}

// Call calls one remote method and waits for its reply until ctx is done. The error
// is an *Error; its kind states whether the call may have run.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return &Error{method, KindUnreachable, err}
	}
	// Closing the connection ends both the sending of the call, which may wait for the
	// peer, and the wait for its reply. So reply is not written after Call has returned.
	stop := context.AfterFunc(ctx, func() { c.closeClient(client) })
	defer stop()
	call := <-client.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
	if call.Error == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return &Error{method, KindRemote, call.Error}
	}
	c.closeClient(client)
	if ctx.Err() != nil {
		return &Error{method, KindTimeout, ctx.Err()}
	}
	return &Error{method, KindBroken, call.Error}
}

// Close closes the connection. Later calls fail with KindUnreachable.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.client != nil {
		_ = c.client.Close()
		c.client = nil
	}
}

// connect returns the current connection, or dials a new one unless the backoff is
// running.
func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("the client is closed")
	}
	if c.client != nil {
		return c.client, nil
	}
	if wait := time.Until(c.retryAt); wait > 0 {
		return nil, errors.Errorf("%s is in backoff after a failed dial, next dial in %s", c.Address, wait.Round(time.Millisecond))
	}
	conn, err := c.dial(ctx)
	if err != nil {
		c.scheduleRetry()
		return nil, errors.WithMessagef(err, "dial %s", c.Address)
	}
	c.backoff = nil
	c.client = rpc.NewClientWithCodec(framer.NewClientCodec(conn, c.Limits))
	return c.client, nil
}

// dial establishes a connection, wraps it and writes the preface.
func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.DialTimeout, DefaultDialTimeout))
	defer cancel()
	conn, err := c.dialWithRetry(ctx)
	if err != nil {
		return nil, err
	}
	if c.WrapConn != nil {
		conn = c.WrapConn(conn)
	}
	if c.Preface == nil {
		return conn, nil
	}
	if err := c.Preface(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// dialWithRetry establishes a connection. It starts a new attempt with twice the
// timeout after each attempt that times out, until ctx is done.
func (c *Client) dialWithRetry(ctx context.Context) (net.Conn, error) {
	dial := c.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	for limit := firstAttemptTimeout; ; limit *= 2 {
		attempt, cancel := context.WithTimeout(ctx, limit)
		conn, err := dial(attempt, "tcp", c.Address)
		timedOut := attempt.Err() != nil
		cancel()
		if err == nil || !timedOut || ctx.Err() != nil {
			return conn, err
		}
	}
}

// scheduleRetry sets the time before which no dial is attempted. c.mu is held.
func (c *Client) scheduleRetry() {
	if c.backoff == nil {
		c.backoff = backoff.NewExponentialBackOff()
		c.backoff.InitialInterval = initialBackoff
		c.backoff.MaxInterval = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	}
	c.retryAt = time.Now().Add(c.backoff.NextBackOff())
}

// closeClient closes a connection and clears it if it is the current one.
func (c *Client) closeClient(client *rpc.Client) {
	_ = client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.client = nil
	}
}
