// Package dialer keeps one net/rpc connection to one peer process.
//
// net/rpc has neither deadlines nor cancellation. A Client gives each call the
// deadline of its context; a call that expires closes the connection, so that
// its late answer can meet nobody. A peer that cannot be reached is not dialled
// again before a jittered exponential backoff has passed: until then calls
// fail at once with KindUnreachable.
//
// # Usage
//
//	c := &dialer.Client{Address: "10.0.0.4:7000"}
//	err := c.Call(ctx, "Distribution.Sync", args, &reply)
//
// A Client is safe for concurrent use. Calls that wait for long belong on a
// Client of their own, since one expired call ends the connection for all.
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
	// DefaultDialTimeout bounds the set-up of a connection.
	DefaultDialTimeout = time.Second
	// DefaultMaxBackoff bounds the pause between two dials.
	DefaultMaxBackoff = 2 * time.Second

	initialBackoff = 50 * time.Millisecond
	// firstDial is how long the first attempt of a dial may take; each further
	// one may take twice as long. The kernel sends a lost opening packet again
	// only after a second: after a loss of power hosts come back within moments
	// of each other, and each would wait that second for those after it.
	firstDial = 120 * time.Millisecond
)

// Kind tells where a call failed.
type Kind string

// The kinds of call errors.
const (
	KindUnreachable Kind = "unreachable" // KindUnreachable means that the call was never sent.
	KindTimeout     Kind = "timeout"     // KindTimeout means that the call may have run.
	KindBroken      Kind = "broken"      // KindBroken means that the connection ended; the call may have run.
	KindRemote      Kind = "remote"      // KindRemote means that the peer answered with an error.
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("dialer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Client is one connection to one peer, dialled when first needed.
type Client struct {
	Address     string
	Limits      framer.Limits
	DialTimeout time.Duration             // DialTimeout is DefaultDialTimeout when zero.
	WrapConn    func(net.Conn) net.Conn   // Wrap, when set, sees each new connection, for counting.
	Preface     func(conn net.Conn) error // Preface, when set, opens the conversation on a new connection.
	MaxBackoff  time.Duration             // MaxBackoff is DefaultMaxBackoff when zero.
	// DialContext opens a connection; it is net.Dialer's DialContext when nil.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	client  *rpc.Client
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
	closed  bool
}

// Call runs one remote method before the context's deadline. The error is an
// *Error; its kind tells whether the call can have run.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return &Error{method, KindUnreachable, err}
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		c.drop(client)
		// The answer must not be written into reply after Call has returned.
		<-call.Done
		return &Error{method, KindTimeout, ctx.Err()}
	case <-call.Done:
	}
	if call.Error == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return &Error{method, KindRemote, call.Error}
	}
	c.drop(client)
	return &Error{method, KindBroken, call.Error}
}

// Close ends the connection; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.client != nil {
		_ = c.client.Close()
		c.client = nil
	}
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("client is closed")
	}
	if c.client != nil {
		return c.client, nil
	}
	if wait := time.Until(c.retryAt); wait > 0 {
		return nil, errors.Errorf("%s failed lately, next dial in %s", c.Address, wait.Round(time.Millisecond))
	}
	conn, err := c.dial(ctx)
	if err != nil {
		c.postpone()
		return nil, errors.WithMessagef(err, "dial %s", c.Address)
	}
	c.backoff = nil
	c.client = rpc.NewClientWithCodec(framer.NewClientCodec(conn, c.Limits))
	return c.client, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.DialTimeout, DefaultDialTimeout))
	defer cancel()
	conn, err := c.reach(ctx)
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

// reach opens a connection, with a new attempt for each that gets no answer in
// its time.
func (c *Client) reach(ctx context.Context) (net.Conn, error) {
	open := c.DialContext
	if open == nil {
		open = (&net.Dialer{}).DialContext
	}
	for limit := firstDial; ; limit *= 2 {
		attempt, cancel := context.WithTimeout(ctx, limit)
		conn, err := open(attempt, "tcp", c.Address)
		unanswered := attempt.Err() != nil
		cancel()
		if err == nil || !unanswered || ctx.Err() != nil {
			return conn, err
		}
	}
}

// postpone sets the deadline before which no dial is tried.
func (c *Client) postpone() {
	if c.backoff == nil {
		c.backoff = backoff.NewExponentialBackOff()
		c.backoff.InitialInterval = initialBackoff
		c.backoff.MaxInterval = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	}
	c.retryAt = time.Now().Add(c.backoff.NextBackOff())
}

func (c *Client) drop(client *rpc.Client) {
	_ = client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.client = nil
	}
}
