package controller

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/framer"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

const (
	// outboxCapacity is the capacity of one member's outbox, in messages.
	outboxCapacity = 1024
	// maxDeliverBatch is the maximum number of messages that drainOutbox takes at once.
	maxDeliverBatch = 64
	// statementInterval is the time after which a host states its address again.
	statementInterval = 500 * time.Millisecond
	prefaceTimeout    = 2 * time.Second
	maxConnections    = 4096
)

// sender delivers the messages of one group. Each member has an outbox and a
// worker of its own, so that a member that does not reply delays no other.
type sender struct {
	pool      *messenger.Pool
	group     string
	self      string // self is the address at which this host receives replies.
	addressOf func(id string) string
	onDrop    func(e replicator.Envelope, reason string) // onDrop, when set, is called for a dropped message.

	mu       sync.Mutex
	outboxes map[string]chan replicator.Envelope
	ctx      context.Context
	workers  conc.WaitGroup
}

// The reasons for which a message is dropped.
const (
	dropFull    = "full"    // dropFull means that the outbox of the member is full.
	dropUnknown = "unknown" // dropUnknown means that no address of the member is known.
)

// Send implements replicator.Sender. A message is dropped and counted when the outbox is
// full or the member's address is unknown.
func (s *sender) Send(to replicator.Member, e replicator.Envelope) {
	address := s.addressOf(to.ID)
	if address == "" {
		address = to.Address
	}
	if address == "" {
		s.drop(e, dropUnknown)
		return
	}
	select {
	case s.outboxFor(address) <- e:
	default:
		s.drop(e, dropFull)
	}
}

var (
	droppedMessages     = metrics.NewCounter("hornbeam_peer_messages_dropped_total")
	unaddressedMessages = metrics.NewCounter("hornbeam_peer_messages_unaddressed_total")
)

// drop counts a message that is not sent.
func (s *sender) drop(e replicator.Envelope, reason string) {
	droppedMessages.Inc()
	if reason == dropUnknown {
		unaddressedMessages.Inc()
	}
	if s.onDrop != nil {
		s.onDrop(e, reason)
	}
}

// outboxFor returns the outbox of an address, and creates it with its worker if
// there is none.
func (s *sender) outboxFor(address string) chan replicator.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outboxes == nil {
		s.outboxes = map[string]chan replicator.Envelope{}
	}
	box, ok := s.outboxes[address]
	if !ok {
		box = make(chan replicator.Envelope, outboxCapacity)
		s.outboxes[address] = box
		if s.ctx != nil {
			s.workers.Go(func() { s.deliverLoop(s.ctx, address, box) })
		}
	}
	return box
}

// run starts the workers and returns when ctx has ended and they have stopped.
func (s *sender) run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	for address, box := range s.outboxes {
		s.workers.Go(func() { s.deliverLoop(ctx, address, box) })
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.workers.Wait()
}

// deliverLoop delivers the messages of one outbox until ctx ends. It states this host's own
// address with the first delivery and every statementInterval, since the receiver may have
// restarted.
func (s *sender) deliverLoop(ctx context.Context, address string, box chan replicator.Envelope) {
	var statedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-box:
			args := messenger.DeliverArgs{Group: s.group, Envelopes: append([]replicator.Envelope{e}, drainOutbox(box)...)}
			now := time.Now()
			if now.Sub(statedAt) >= statementInterval {
				args.Sender = s.self
			}
			// The error is ignored but for the statement: the replication protocol sends lost
			// messages again.
			if err := s.deliver(ctx, address, args); err == nil && args.Sender != "" {
				statedAt = now
			}
		}
	}
}

// drainOutbox removes and returns up to maxDeliverBatch messages without waiting.
func drainOutbox(box chan replicator.Envelope) []replicator.Envelope {
	var out []replicator.Envelope
	for range maxDeliverBatch {
		select {
		case e := <-box:
			out = append(out, e)
		default:
			return out
		}
	}
	return out
}

// deliver sends messages to an address in one call.
func (s *sender) deliver(ctx context.Context, address string, args messenger.DeliverArgs) error {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.pool.Get(address).Call(call, messenger.MethodDeliver, args, &messenger.Empty{})
}

// connectionSet stores all open connections, so that they can be closed when the
// host stops. It is safe for concurrent use.
type connectionSet struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

// add stores a connection. It returns false when the set is full or closed.
func (s *connectionSet) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.open) >= maxConnections {
		return false
	}
	if s.open == nil {
		s.open = map[net.Conn]struct{}{}
	}
	s.open[conn] = struct{}{}
	return true
}

// remove removes a connection from the set without closing it.
func (s *connectionSet) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// closeAll closes all connections and rejects new ones.
func (s *connectionSet) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
}

// serve accepts connections of nodes and other control hosts until ctx ends.
func (c *Controller) serve(ctx context.Context) {
	nodes, peers := rpc.NewServer(), rpc.NewServer()
	mustRegister(nodes, "Node", &nodeMethods{c: c})
	mustRegister(peers, "Node", &nodeMethods{c: c, trusted: true})
	mustRegister(peers, "Peer", &peerMethods{c})
	var handlers conc.WaitGroup
	defer handlers.Wait()
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			sleeper.Sleep(ctx, pollInterval)
			continue
		}
		if !c.conns.add(conn) {
			metrics.GetOrCreateCounter("hornbeam_control_connections_refused_total").Inc()
			_ = conn.Close()
			continue
		}
		handlers.Go(func() {
			defer c.conns.remove(conn)
			c.serveConnection(conn, nodes, peers)
		})
	}
}

// mustRegister registers the methods of a receiver under an RPC service name.
func mustRegister(server *rpc.Server, name string, methods any) {
	if err := server.RegisterName(name, methods); err != nil {
		panic(err) // The methods are known at compile time.
	}
}

// serveConnection reads the preface and serves one connection until it closes. A
// connection with an unknown preface is closed.
func (c *Controller) serveConnection(conn net.Conn, nodes, peers *rpc.Server) {
	if c.Wrap != nil {
		conn = c.Wrap(conn)
	}
	defer func() { _ = conn.Close() }()
	var preface [messenger.PrefaceBytes]byte
	if conn.SetReadDeadline(time.Now().Add(prefaceTimeout)) != nil {
		return
	}
	if _, err := io.ReadFull(conn, preface[:]); err != nil {
		return
	}
	switch string(preface[:]) {
	case messenger.PrefaceNode:
		nodes.ServeCodec(framer.NewServerCodec(conn, framer.Limits{MaxFrameBytes: messenger.MaxNodeFrameBytes}))
	case messenger.PrefacePeer:
		peers.ServeCodec(framer.NewServerCodec(conn, framer.Limits{MaxFrameBytes: messenger.MaxPeerFrameBytes}))
	}
}
