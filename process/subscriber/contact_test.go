package subscriber

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/framer"
	"github.com/hornbeamrack/hornbeamrack/connection/locator"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// hostStub is a control host that returns the addresses of all hosts and serves an
// empty state.
type hostStub struct {
	all []string

	mu       sync.Mutex
	contacts int             // contacts counts the calls of nodes that have only a part of the addresses.
	nodes    map[string]bool // nodes are the names of the nodes that received the state.
}

// hostMethods are the RPC methods that a hostStub serves to nodes.
type hostMethods struct{ host *hostStub }

// Sync sends the state to nodes that have the addresses of all hosts, and only the
// addresses to other nodes.
func (m *hostMethods) Sync(args messenger.SyncArgs, reply *messenger.SyncReply) error {
	h := m.host
	reply.Hosts = h.all
	h.mu.Lock()
	defer h.mu.Unlock()
	if args.Known < len(h.all) {
		h.contacts++
		return nil
	}
	h.nodes[args.Report.Node] = true
	state := applier.State{}
	b, err := differ.Pack(differ.NewUpdate(state, differ.SnapshotOf(state).Position(), args.Have))
	reply.Update, reply.Confirmed = b, err == nil
	return err
}

func (h *hostStub) serve(l net.Listener) {
	s := rpc.NewServer()
	if err := s.RegisterName("Node", &hostMethods{h}); err != nil {
		panic(err) // The methods are fixed in the program.
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			var preface [messenger.PrefaceBytes]byte
			if _, err := io.ReadFull(conn, preface[:]); err == nil {
				s.ServeCodec(framer.NewServerCodec(conn, framer.Limits{MaxFrameBytes: messenger.MaxNodeFrameBytes}))
			}
		}()
	}
}

// TestNodesLeaveTheSeedBeforeItWorksForThem guards against a seed that serves all
// nodes because every node starts with its address alone. It starts 60 nodes with the
// address of one of five control hosts: each node calls that host once for the
// addresses of the others, and the host then serves no more than its own part of the
// nodes.
func TestNodesLeaveTheSeedBeforeItWorksForThem(t *testing.T) {
	is := is.New(t)
	const hosts, nodes = 5, 60
	var listeners []net.Listener
	var all []string
	for range hosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		listeners, all = append(listeners, l), append(all, l.Addr().String())
	}
	var stubs []*hostStub
	for _, l := range listeners {
		h := &hostStub{all: all, nodes: map[string]bool{}}
		stubs = append(stubs, h)
		go h.serve(l)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var stores []*compiler.TableStore
	for i := range nodes {
		seed := locator.New(all[0])
		store := &compiler.TableStore{}
		stores = append(stores, store)
		s := &Subscriber{
			Node: fmt.Sprintf("node-%d", i), Address: "127.0.0.1:9", Hosts: seed, Tables: store, Registrar: &registrar.Registrar{}, Log: log.New(io.Discard),
			Client: &messenger.Client{Hosts: seed, Pool: &messenger.Pool{Preface: messenger.PrefaceNode, MaxFrameBytes: messenger.MaxNodeFrameBytes}},
		}
		running.Go(func() { _ = s.Run(ctx) })
	}
	for _, store := range stores {
		for store.Table() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	contacts := 0
	for i, h := range stubs {
		h.mu.Lock()
		contacts += h.contacts
		t.Logf("host %d: %d contacts, %d nodes", i, h.contacts, len(h.nodes))
		is.True(len(h.nodes) <= 2*nodes/hosts)
		is.True(len(h.nodes) > 0) // The seed too: its first reply carried only addresses, but it has not failed.
		h.mu.Unlock()
	}
	is.Equal(contacts, nodes)
}
