package controller

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/framer"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

// slowPeer is a control host that takes messages and answers no other call.
type slowPeer struct {
	mu        sync.Mutex
	delivered map[int]int // delivered counts messages by the connection that brought them.
	release   chan struct{}
}

// slowMethods are what one connection of a slowPeer serves.
type slowMethods struct {
	peer *slowPeer
	conn int
}

// Deliver counts messages.
func (m *slowMethods) Deliver(args messenger.DeliverArgs, _ *messenger.Empty) error {
	m.peer.mu.Lock()
	defer m.peer.mu.Unlock()
	m.peer.delivered[m.conn] += len(args.Envelopes)
	return nil
}

// Confirm answers only when the test ends.
func (m *slowMethods) Confirm(messenger.ConfirmArgs, *messenger.ConfirmReply) error {
	<-m.peer.release
	return nil
}

func (p *slowPeer) total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, d := range p.delivered {
		n += d
	}
	return n
}

// serve accepts connections until the listener ends.
func (p *slowPeer) serve(l net.Listener) {
	for i := 0; ; i++ {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s := rpc.NewServer()
		register(s, "Peer", &slowMethods{p, i})
		go func() {
			var preface [messenger.PrefaceBytes]byte
			if _, err := io.ReadFull(conn, preface[:]); err == nil {
				s.ServeCodec(framer.NewServerCodec(conn, framer.Limits{MaxFrameBytes: messenger.MaxPeerFrameBytes}))
			}
		}()
	}
}

// TestLateCallsLeaveHeartbeatsAlone lets calls to another control host run out
// of time again and again: the messages of the groups keep their connection.
func TestLateCallsLeaveHeartbeatsAlone(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	p := &slowPeer{delivered: map[int]int{}, release: make(chan struct{})}
	defer close(p.release)
	go p.serve(l)
	c := &Controller{Name: "a", DataFolder: t.TempDir(), RPCAddress: "127.0.0.1:0", Log: log.New(io.Discard)}
	is.NoErr(c.Open())
	defer func() { _ = c.listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	m := c.members[configPlace]
	go m.sender.run(ctx)
	to := replicator.Member{ID: "b", Address: l.Addr().String()}
	for i := range 4 {
		m.sender.Send(to, replicator.Envelope{To: "b", Message: replicator.AppendRequest{}})
		for p.total() <= i {
			time.Sleep(time.Millisecond)
		}
		call, end := context.WithTimeout(ctx, 20*time.Millisecond)
		err := c.pool.Get(to.Address).Call(call, messenger.MethodConfirm, messenger.ConfirmArgs{}, &messenger.ConfirmReply{})
		end()
		is.True(err != nil)
	}
	is.Equal(len(p.delivered), 1) // one connection brought all messages
}
