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
	outboxMessages  = 1024
	deliverMessages = 64
	prefaceTimeout  = 2 * time.Second
	maxConnections  = 4096
)

// sender delivers one group's messages. Each member has an outbox and a worker
// of its own, so that a silent member holds up nobody else.
type sender struct {
	pool  *messenger.Pool
	group string
	known func(id string) string

	mu      sync.Mutex
	outbox  map[string]chan replicator.Envelope
	ctx     context.Context
	workers conc.WaitGroup
}

// Send implements replicator.Sender.
func (s *sender) Send(to replicator.Member, e replicator.Envelope) {
	address := to.Address
	if address == "" {
		address = s.known(to.ID)
	}
	if address == "" {
		return
	}
	select {
	case s.box(address) <- e:
	default:
		metrics.GetOrCreateCounter("hornbeam_peer_messages_dropped_total").Inc()
	}
}

func (s *sender) box(address string) chan replicator.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outbox == nil {
		s.outbox = map[string]chan replicator.Envelope{}
	}
	box, ok := s.outbox[address]
	if !ok {
		box = make(chan replicator.Envelope, outboxMessages)
		s.outbox[address] = box
		if s.ctx != nil {
			s.workers.Go(func() { s.work(s.ctx, address, box) })
		}
	}
	return box
}

// run starts the workers and waits for their end.
func (s *sender) run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	for address, box := range s.outbox {
		s.workers.Go(func() { s.work(ctx, address, box) })
	}
	s.mu.Unlock()
	<-ctx.Done()
	s.workers.Wait()
}

func (s *sender) work(ctx context.Context, address string, box chan replicator.Envelope) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-box:
			s.deliver(ctx, address, append([]replicator.Envelope{e}, waiting(box)...))
		}
	}
}

func waiting(box chan replicator.Envelope) []replicator.Envelope {
	var out []replicator.Envelope
	for range deliverMessages {
		select {
		case e := <-box:
			out = append(out, e)
		default:
			return out
		}
	}
	return out
}

func (s *sender) deliver(ctx context.Context, address string, envelopes []replicator.Envelope) {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	args := messenger.DeliverArgs{Group: s.group, Envelopes: envelopes}
	// A message that is lost is sent again by the protocol above.
	_ = s.pool.Get(address).Call(call, messenger.MethodDeliver, args, &messenger.Empty{})
}

// connections knows every open connection, so that a stop can end them.
type connections struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
}

func (s *connections) add(conn net.Conn) bool {
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

func (s *connections) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

func (s *connections) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
}

// serve accepts connections of nodes and other control hosts.
func (c *Controller) serve(ctx context.Context) {
	nodes, peers := rpc.NewServer(), rpc.NewServer()
	register(nodes, "Node", &nodeMethods{c: c})
	register(peers, "Node", &nodeMethods{c: c, trusted: true})
	register(peers, "Peer", &peerMethods{c})
	var handlers conc.WaitGroup
	defer handlers.Wait()
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			sleeper.Sleep(ctx, tick)
			continue
		}
		if !c.conns.add(conn) {
			metrics.GetOrCreateCounter("hornbeam_control_connections_refused_total").Inc()
			_ = conn.Close()
			continue
		}
		handlers.Go(func() {
			defer c.conns.remove(conn)
			c.converse(conn, nodes, peers)
		})
	}
}

func register(server *rpc.Server, name string, methods any) {
	if err := server.RegisterName(name, methods); err != nil {
		panic(err) // The methods are fixed in the program.
	}
}

// converse reads the preface and serves one connection until it ends.
func (c *Controller) converse(conn net.Conn, nodes, peers *rpc.Server) {
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
