// Package messenger defines the RPC messages that processes send to control hosts,
// and a client that finds the control host to call.
//
// Any control host serves Sync; commands go to the leader of their group. A Client
// caches the address of each group's last leader, follows redirects, and tries the
// next host when one does not reply, until the context's deadline.
//
// # Usage
//
//	c := &messenger.Client{Hosts: locator.New("10.0.0.1:7000", "10.0.0.2:7000")}
//	result, err := c.SendCommand(ctx, messenger.GroupClaims, command)
package messenger

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/assigner"
	"github.com/hornbeamrack/hornbeamrack/connection/dialer"
	"github.com/hornbeamrack/hornbeamrack/connection/framer"
	"github.com/hornbeamrack/hornbeamrack/connection/locator"
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// PrefaceNode is the first bytes that a node writes on a connection.
	PrefaceNode = "HBN1"
	// PrefacePeer is the first bytes that another control host writes on a connection.
	PrefacePeer = "HBP1"
	// PrefaceBytes is the length of a preface.
	PrefaceBytes = len(PrefaceNode)
	// MaxNodeFrameBytes is the maximum size of a frame between a node and a control host.
	MaxNodeFrameBytes = 4 << 20
	// MaxPeerFrameBytes is the maximum size of a frame between control hosts.
	MaxPeerFrameBytes = 256 << 20

	// attemptTimeout is the timeout of one attempt to send a command.
	attemptTimeout = 700 * time.Millisecond
	// announceTimeout is longer than a control host takes to forward an announcement to
	// the leader or to report a failure to do so.
	announceTimeout = 1200 * time.Millisecond
	// initialBackoff and maxBackoff bound the time between two attempts. The time grows
	// with each failure, since a leader without a quorum fails the requests of all nodes
	// at once.
	initialBackoff = 30 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	writeTimeout   = time.Second
)

// Kind classifies a failed request to the control hosts.
type Kind string

// The kinds of messenger errors.
const (
	KindUnreachable Kind = "unreachable" // KindUnreachable means that the command was not run.
	KindUncertain   Kind = "uncertain"   // KindUncertain means that the command may have run.
	KindEncoding    Kind = "encoding"
)

// Error is the only error type of this package. Op is the request that failed:
// command, announce or claim.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the request, the kind and the cause as text.
func (e *Error) Error() string { return fmt.Sprintf("messenger: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Preface returns a function that writes the given preface on a new connection.
func Preface(preface string) func(net.Conn) error {
	return func(conn net.Conn) error {
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		_, err := conn.Write([]byte(preface))
		return err
	}
}

// Pool keeps one connection to each address. Exported fields are set before use. It
// is safe for concurrent use.
type Pool struct {
	Preface       string
	MaxFrameBytes int                     // MaxFrameBytes is the maximum size of a frame.
	WrapConn      func(net.Conn) net.Conn // WrapConn, when set, wraps each new connection.
	DialTimeout   time.Duration           // DialTimeout is dialer.DefaultDialTimeout when zero.
	MaxBackoff    time.Duration           // MaxBackoff is dialer.DefaultMaxBackoff when zero.
	// DialContext establishes a connection; net.Dialer.DialContext is used when nil.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	clients map[string]*dialer.Client
}

// Get returns the client for an address, and creates it if needed. It does not dial.
func (p *Pool) Get(address string) *dialer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c
	}
	if p.clients == nil {
		p.clients = map[string]*dialer.Client{}
	}
	c := &dialer.Client{
		Address: address, Limits: framer.Limits{MaxFrameBytes: p.MaxFrameBytes}, Preface: Preface(p.Preface), WrapConn: p.WrapConn,
		DialTimeout: p.DialTimeout, MaxBackoff: p.MaxBackoff, DialContext: p.DialContext,
	}
	p.clients[address] = c
	return c
}

// Remove closes the connection to an address and removes its client from the pool.
func (p *Pool) Remove(address string) {
	p.mu.Lock()
	c := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// Close closes all connections. The clients that Get returned fail from then on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

// Client sends commands to the leaders of groups and announcements to any control
// host. Exported fields are set before use. It is safe for concurrent use.
type Client struct {
	Hosts *locator.Locator
	Pool  *Pool
	// NodeName determines which control host the node calls, so that the nodes spread
	// over the hosts.
	NodeName string

	mu       sync.Mutex
	leaders  map[string]string
	assigner assigner.Assigner
}

// SendCommand sends a command to the leader of a group and returns its encoded
// result. It retries with backoff until ctx is done, so the command may be sent more
// than once and must be idempotent. On failure the *Error has KindUnreachable if the
// command was not run, and KindUncertain if it may have run.
func (c *Client) SendCommand(ctx context.Context, group string, command []byte) ([]byte, error) {
	uncertain := false
	var last error
	pause := newBackoff()
	for ctx.Err() == nil {
		address := c.leader(group)
		var reply CommandReply
		err := c.call(ctx, attemptTimeout, address, MethodCommand, CommandArgs{group, command}, &reply)
		switch {
		case err == nil && !reply.NotLeader && reply.Failure == "":
			return reply.Result, nil
		case err == nil && reply.NotLeader:
			c.updateLeader(group, address, reply.Leader)
			last = errors.Errorf("control host %s is not the leader", address)
		case err == nil:
			uncertain = true
			last = errors.New(reply.Failure)
		default:
			uncertain = uncertain || !dialer.IsKind(err, dialer.KindUnreachable)
			c.updateLeader(group, address, "")
			last = err
		}
		sleeper.Sleep(ctx, pause.NextBackOff())
	}
	kind := KindUnreachable
	if uncertain {
		kind = KindUncertain
	}
	return nil, &Error{"command", kind, errors.WithMessage(last, "no control host replied in time")}
}

// AnnounceTargets sends a node's list of targets to a control host, which forwards it
// to the leader in a batch with those of other nodes. It retries with backoff until
// ctx is done, and then returns an *Error of KindUncertain.
func (c *Client) AnnounceTargets(ctx context.Context, a applier.Announcement) error {
	var last error
	pause := newBackoff()
	for ctx.Err() == nil {
		address := c.controlHost()
		var reply AnnounceReply
		err := c.call(ctx, announceTimeout, address, MethodAnnounce, AnnounceArgs{[]applier.Announcement{a}}, &reply)
		switch {
		case err != nil:
			last = err
			c.recordFailure(address)
		case reply.Failure != "":
			last = errors.New(reply.Failure)
		default:
			return nil
		}
		sleeper.Sleep(ctx, pause.NextBackOff())
	}
	return &Error{"announce", KindUncertain, errors.WithMessage(last, "no control host replied in time")}
}

// newBackoff returns the backoff between the attempts of one request.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	return b
}

// call calls a method of one control host with a timeout of limit.
func (c *Client) call(ctx context.Context, limit time.Duration, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.Pool.Get(address).Call(ctx, method, args, reply)
}

// leader returns the cached leader of a group, or else the control host that this node
// calls.
func (c *Client) leader(group string) string {
	c.mu.Lock()
	l := c.leaders[group]
	c.mu.Unlock()
	if l != "" {
		return l
	}
	return c.controlHost()
}

// controlHost returns the address of the control host that this node calls.
func (c *Client) controlHost() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.assigner.NodeName = c.NodeName
	return c.assigner.Pick(c.Hosts.List(), time.Now())
}

// recordFailure records a failed call, so that other control hosts are preferred.
func (c *Client) recordFailure(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.assigner.RecordFailure(address, time.Now())
}

// updateLeader records that address does not lead a group. leader is the address of
// the leader, or empty if it is unknown.
func (c *Client) updateLeader(group, address, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders == nil {
		c.leaders = map[string]string{}
	}
	if leader == address {
		leader = ""
	}
	c.leaders[group] = leader
	if leader == "" {
		c.assigner.RecordFailure(address, time.Now())
	}
}

// ClaimsClient sends commands to the register of claims at the control hosts. It
// implements claimer.Provider.
type ClaimsClient struct {
	Client *Client
}

// Do sends one command to the register and returns its result. Errors are those of
// Client.SendCommand, or of KindEncoding.
func (c ClaimsClient) Do(ctx context.Context, command claimer.Command) (claimer.Result, error) {
	b, err := encoder.Marshal(command)
	if err != nil {
		return claimer.Result{}, &Error{"claim", KindEncoding, err}
	}
	out, err := c.Client.SendCommand(ctx, GroupClaims, b)
	if err != nil {
		return claimer.Result{}, err
	}
	var r claimer.Result
	if err := encoder.Unmarshal(out, &r); err != nil {
		return claimer.Result{}, &Error{"claim", KindEncoding, err}
	}
	return r, nil
}
