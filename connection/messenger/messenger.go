// Package messenger defines what processes say to control hosts, and finds the
// control host to say it to.
//
// Any control host serves Sync; commands go to the leader of their group. A
// Client remembers who led last, follows redirects, and moves on to the next
// host when one is silent, until the context's deadline.
//
// # Usage
//
//	c := &messenger.Client{Hosts: locator.New("10.0.0.1:7000", "10.0.0.2:7000")}
//	result, err := c.Command(ctx, messenger.GroupClaims, command)
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
	// PrefaceNode opens a connection of a node.
	PrefaceNode = "HBN1"
	// PrefacePeer opens a connection of another control host.
	PrefacePeer = "HBP1"
	// PrefaceBytes is the length of a preface.
	PrefaceBytes = len(PrefaceNode)
	// MaxNodeFrameBytes bounds a frame between a node and a control host, in bytes.
	MaxNodeFrameBytes = 4 << 20
	// MaxPeerFrameBytes bounds a frame between control hosts, in bytes.
	MaxPeerFrameBytes = 256 << 20

	tryTimeout = 700 * time.Millisecond
	// announceTimeout is longer than a control host takes to bring a list to the
	// leader or to say that it could not.
	announceTimeout = 1200 * time.Millisecond
	// firstPause and longestPause bound the time between two tries. Those that fail
	// come less and less often: a leader without a quorum fails all nodes at once.
	firstPause   = 30 * time.Millisecond
	longestPause = 500 * time.Millisecond
	writeTimeout = time.Second
)

// Kind tells why no control host did what it was asked.
type Kind string

// The kinds of messenger errors.
const (
	KindUnreachable Kind = "unreachable" // KindUnreachable means that the command never ran.
	KindUncertain   Kind = "uncertain"   // KindUncertain means that the command may have run.
	KindEncoding    Kind = "encoding"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("messenger: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Preface returns the function that opens a connection.
func Preface(preface string) func(net.Conn) error {
	return func(conn net.Conn) error {
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		_, err := conn.Write([]byte(preface))
		return err
	}
}

// Pool keeps one connection to each address. It is safe for concurrent use.
type Pool struct {
	Preface       string
	MaxFrameBytes int                     // MaxFrame is in bytes.
	WrapConn      func(net.Conn) net.Conn // Wrap, when set, sees each new connection.
	DialTimeout   time.Duration           // DialTimeout is dialer.DefaultDialTimeout when zero.
	MaxBackoff    time.Duration           // MaxBackoff is dialer.DefaultMaxBackoff when zero.

	mu      sync.Mutex
	clients map[string]*dialer.Client
}

// Get returns the client for an address.
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
		DialTimeout: p.DialTimeout, MaxBackoff: p.MaxBackoff,
	}
	p.clients[address] = c
	return c
}

// Remove ends the connection to an address that is not called any more.
func (p *Pool) Remove(address string) {
	p.mu.Lock()
	c := p.clients[address]
	delete(p.clients, address)
	p.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

// Client sends commands to the leaders of groups. Exported fields are set
// before use; it is safe for concurrent use.
type Client struct {
	Hosts *locator.Locator
	Pool  *Pool
	// NodeName is the node's name; it spreads the nodes over the hosts.
	NodeName string

	mu      sync.Mutex
	leaders map[string]string
	choice  assigner.Assigner
}

// SendCommand runs a command of a group and returns its encoded result. The
// command must be idempotent: it may be sent more than once.
func (c *Client) SendCommand(ctx context.Context, group string, command []byte) ([]byte, error) {
	uncertain := false
	var last error
	pause := newPause()
	for ctx.Err() == nil {
		address := c.leader(group)
		var reply CommandReply
		err := c.call(ctx, tryTimeout, address, MethodCommand, CommandArgs{group, command}, &reply)
		switch {
		case err == nil && !reply.NotLeader && reply.Failure == "":
			return reply.Result, nil
		case err == nil && reply.NotLeader:
			c.redirect(group, address, reply.Leader)
			last = errors.Errorf("%s does not lead", address)
		case err == nil:
			uncertain = true
			last = errors.New(reply.Failure)
		default:
			uncertain = uncertain || !dialer.IsKind(err, dialer.KindUnreachable)
			c.redirect(group, address, "")
			last = err
		}
		sleeper.Sleep(ctx, pause.NextBackOff())
	}
	kind := KindUnreachable
	if uncertain {
		kind = KindUncertain
	}
	return nil, &Error{"command", kind, errors.WithMessage(last, "no control host answered in time")}
}

// AnnounceTargets makes a node's list of targets known. Any control host takes it and
// brings it to the leader together with those of other nodes.
func (c *Client) AnnounceTargets(ctx context.Context, a applier.Announcement) error {
	var last error
	pause := newPause()
	for ctx.Err() == nil {
		address := c.host()
		var reply AnnounceReply
		err := c.call(ctx, announceTimeout, address, MethodAnnounce, AnnounceArgs{[]applier.Announcement{a}}, &reply)
		switch {
		case err != nil:
			last = err
			c.failed(address)
		case reply.Failure != "":
			last = errors.New(reply.Failure)
		default:
			return nil
		}
		sleeper.Sleep(ctx, pause.NextBackOff())
	}
	return &Error{"announce", KindUncertain, errors.WithMessage(last, "no control host answered in time")}
}

func newPause() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstPause, longestPause
	return b
}

// call tries one control host for a short while.
func (c *Client) call(ctx context.Context, limit time.Duration, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.Pool.Get(address).Call(ctx, method, args, reply)
}

func (c *Client) leader(group string) string {
	c.mu.Lock()
	l := c.leaders[group]
	c.mu.Unlock()
	if l != "" {
		return l
	}
	return c.host()
}

// host returns the control host that this node calls.
func (c *Client) host() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.choice.NodeName = c.NodeName
	return c.choice.Pick(c.Hosts.List(), time.Now())
}

// failed notes that a control host was of no use.
func (c *Client) failed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.choice.RecordFailure(address, time.Now())
}

// redirect notes that address does not lead, and who does if that is known.
func (c *Client) redirect(group, address, leader string) {
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
		c.choice.RecordFailure(address, time.Now())
	}
}

// ClaimsClient is the claims register as a node reaches it. It implements
// claimer.Provider.
type ClaimsClient struct {
	Client *Client
}

// Do runs one command of the register.
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
