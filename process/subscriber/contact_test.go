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

// hostStub is a control host that knows all hosts and serves an empty state.
type hostStub struct {
	all []string

	mu       sync.Mutex
	contacts int             // contacts counts calls of nodes that know too few hosts.
	nodes    map[string]bool // nodes are those that were served.
}

// hostMethods are what a hostStub serves to nodes.
type hostMethods struct{ host *hostStub }

// Sync serves nodes that know all hosts.
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

// TestNodesLeaveTheSeedBeforeItWorksForThem starts 60 nodes that know one seed of
// five control hosts: each asks it once, and the seed serves its own part alone.
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
	var keepers []*compiler.TableStore
	for i := range nodes {
		known := locator.New(all[0])
		k := &compiler.TableStore{}
		keepers = append(keepers, k)
		s := &Subscriber{
			Node: fmt.Sprintf("node-%d", i), Address: "127.0.0.1:9", Hosts: known, Tables: k, Registrar: &registrar.Registrar{}, Log: log.New(io.Discard),
			Client: &messenger.Client{Hosts: known, Pool: &messenger.Pool{Preface: messenger.PrefaceNode, MaxFrameBytes: messenger.MaxNodeFrameBytes}},
		}
		running.Go(func() { _ = s.Run(ctx) })
	}
	for _, k := range keepers {
		for k.Table() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	contacts := 0
	for i, h := range stubs {
		h.mu.Lock()
		contacts += h.contacts
		t.Logf("host %d: %d contacts, %d nodes", i, h.contacts, len(h.nodes))
		is.True(len(h.nodes) <= 2*nodes/hosts)
		is.True(len(h.nodes) > 0) // also the seed, which was of no use but for its answer
		h.mu.Unlock()
	}
	is.Equal(contacts, nodes)
}
