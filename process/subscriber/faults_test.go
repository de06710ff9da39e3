package subscriber

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/connection/assigner"
	"github.com/hornbeamrack/hornbeamrack/connection/framer"
	"github.com/hornbeamrack/hornbeamrack/connection/locator"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// applyBound is the stated bound on the time from the acknowledgement of an edit until
// it is in force at every node.
const applyBound = 2 * time.Second

const (
	// noLeaderDelay is how long a control host waits for a leader before it replies
	// without a confirmation.
	noLeaderDelay = 400 * time.Millisecond
	// slowDelay is how late a slow control host replies.
	slowDelay = time.Second
	// steadyTime is longer than several calls of a node that wait for a change.
	steadyTime = 5 * time.Second
	// handlerTime is longer than any call of a host takes.
	handlerTime = 10 * time.Second
)

// hostFault is what is wrong with a control host.
type hostFault int

// The faults of control hosts.
const (
	faultNone        hostFault = iota
	faultHang                  // faultHang accepts connections and sends nothing, as a stopped process.
	faultHalfReply             // faultHalfReply sends the first half of each reply.
	faultDown                  // faultDown refuses connections and ends the open ones.
	faultCut                   // faultCut neither accepts nor refuses connections.
	faultUnconfirmed           // faultUnconfirmed finds no leader.
	faultSlow                  // faultSlow replies late.
	faultOlder                 // faultOlder confirms a state that is older than the node's.
)

// faultyHost is a control host in this process, which has the state of its mesh unless it
// has a fault.
type faultyHost struct {
	mesh    *faultyMesh
	address string

	mu      sync.Mutex
	fault   hostFault
	changed chan struct{} // changed is closed when the fault changes.
	conns   []net.Conn    // conns are all connections, also closed ones, unless the host was down since.
	open    int           // open is the number of connections that the host serves.
	calls   int
}

// setFault replaces the fault of the host.
func (h *faultyHost) setFault(f hostFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = f
	close(h.changed)
	h.changed = make(chan struct{})
	if f != faultDown {
		return
	}
	for _, c := range h.conns {
		_ = c.Close()
	}
	h.conns = nil
}

// current returns the fault and a channel that is closed when it changes.
func (h *faultyHost) current() (hostFault, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fault, h.changed
}

// Sync is the RPC method of the host.
func (h *faultyHost) Sync(args messenger.SyncArgs, reply *messenger.SyncReply) error {
	h.mu.Lock()
	h.calls++
	h.mu.Unlock()
	fault, _ := h.current()
	if fault == faultSlow {
		time.Sleep(slowDelay)
	}
	if fault == faultUnconfirmed {
		time.Sleep(noLeaderDelay)
		return nil
	}
	deadline := time.Now().Add(args.Wait)
	for {
		state, changed := h.mesh.state.Watch()
		if fault == faultOlder {
			state = h.mesh.first
		}
		u := differ.NewUpdate(state, differ.SnapshotOf(state).Position(), args.Have)
		if !u.EmptyFor(args.Have) || !time.Now().Before(deadline) {
			b, err := differ.Pack(u)
			reply.Update, reply.Confirmed = b, err == nil
			return err
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// faultyConn holds back what a host with a fault writes.
type faultyConn struct {
	net.Conn
	host   *faultyHost
	closed chan struct{}
	once   sync.Once
}

// Write implements io.Writer.
func (c *faultyConn) Write(b []byte) (int, error) {
	sent := 0
	for {
		fault, changed := c.host.current()
		if fault == faultHalfReply && sent == 0 && len(b) > 1 {
			n, err := c.Conn.Write(b[:len(b)/2])
			if err != nil {
				return n, err
			}
			sent = n
		}
		if fault != faultHang && fault != faultHalfReply && fault != faultCut {
			n, err := c.Conn.Write(b[sent:])
			return sent + n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return sent, io.ErrClosedPipe
		}
	}
}

// Close implements io.Closer.
func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// faultyMesh is the control hosts of one mesh in the order in which the node prefers
// them, and the node.
type faultyMesh struct {
	state applier.Applier
	first applier.State // first is the state before any edit.
	hosts []*faultyHost
	index uint64
	node  *Subscriber
}

// newFaultyMesh starts a node with the given number of control hosts, and waits until
// its first call waits for a change.
func newFaultyMesh(t *testing.T, hosts int) *faultyMesh {
	m := &faultyMesh{}
	var addresses []string
	for i := range hosts {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
	picker := assigner.Assigner{NodeName: "node-1"}
	for left := slices.Clone(addresses); len(left) > 0; {
		address := picker.Pick(left, time.Now())
		left = slices.DeleteFunc(left, func(a string) bool { return a == address })
		m.hosts = append(m.hosts, &faultyHost{mesh: m, address: address, changed: make(chan struct{})})
	}
	m.edit(t)
	m.first = m.state.State()
	locations := locator.New(addresses...)
	m.node = &Subscriber{
		Node: "node-1", Address: "127.0.0.1:9", Hosts: locations, Tables: &compiler.TableStore{}, Registrar: &registrar.Registrar{},
		Log: log.New(io.Discard), Now: time.Now,
		Client: &messenger.Client{Hosts: locations, Pool: &messenger.Pool{
			Preface: messenger.PrefaceNode, MaxFrameBytes: messenger.MaxNodeFrameBytes, DialContext: m.dial,
		}},
	}
	m.node.pool.DialContext = m.dial
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = m.node.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		for _, h := range m.hosts {
			h.setFault(faultDown)
		}
		running.Wait()
		time.Sleep(handlerTime)
	})
	synctest.Wait()
	return m
}

// edit accepts one more edit and returns its version.
func (m *faultyMesh) edit(t *testing.T) uint64 {
	m.index++
	body := fmt.Sprintf("services: [{name: designs, slots: %d}]\nroutes: [{path: /r%d, service: designs}]\n", m.index, m.index)
	b, err := applier.Encode(applier.EditSection{EditID: fmt.Sprint(m.index), Section: "designs", Team: "designs", Action: applier.ActionEdit,
		BaseRevision: m.index - 1, Body: []byte(body), At: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	if r := m.state.Apply(m.index, b).(applier.Result); r.Outcome != applier.OutcomeAccepted {
		t.Fatal(r)
	}
	return m.state.State().Version
}

// dial connects the node to one of the hosts.
func (m *faultyMesh) dial(ctx context.Context, _, address string) (net.Conn, error) {
	i := slices.IndexFunc(m.hosts, func(h *faultyHost) bool { return h.address == address })
	h := m.hosts[i]
	switch fault, changed := h.current(); fault {
	case faultDown:
		return nil, errors.New("connection refused")
	case faultCut:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
			return nil, errors.New("connection reset")
		}
	}
	near, far := net.Pipe()
	h.mu.Lock()
	h.conns = append(h.conns, near)
	h.open++
	h.mu.Unlock()
	go h.serve(far)
	return near, nil
}

// dialCount returns how many connections the node has opened.
func (m *faultyMesh) dialCount() int {
	n := 0
	for _, h := range m.hosts {
		h.mu.Lock()
		n += len(h.conns)
		h.mu.Unlock()
	}
	return n
}

// openCount returns how many connections the hosts serve.
func (m *faultyMesh) openCount() int {
	n := 0
	for _, h := range m.hosts {
		h.mu.Lock()
		n += h.open
		h.mu.Unlock()
	}
	return n
}

// serve serves one connection of the node.
func (h *faultyHost) serve(conn net.Conn) {
	s := rpc.NewServer()
	if err := s.RegisterName("Node", &faultyMethods{h}); err != nil {
		panic(err) // The methods are fixed in the program.
	}
	c := &faultyConn{Conn: conn, host: h, closed: make(chan struct{})}
	var preface [messenger.PrefaceBytes]byte
	if _, err := io.ReadFull(c, preface[:]); err == nil {
		s.ServeCodec(framer.NewServerCodec(c, framer.Limits{MaxFrameBytes: messenger.MaxNodeFrameBytes}))
	}
	_ = c.Close()
	h.mu.Lock()
	h.open--
	h.mu.Unlock()
}

// faultyMethods are the RPC methods of a faultyHost.
type faultyMethods struct{ host *faultyHost }

// Sync implements the method of the same name of control hosts.
func (m *faultyMethods) Sync(args messenger.SyncArgs, reply *messenger.SyncReply) error {
	return m.host.Sync(args, reply)
}

// timeToApply returns how long the node takes from now until a version is in force,
// or limit when it takes longer.
func (m *faultyMesh) timeToApply(version uint64, limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		if table := m.node.Tables.Table(); table != nil && table.Version >= version {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// TestEditIsAppliedInTimeWithFaultyHosts guards against a node that follows a control
// host that does not reply for longer than the bound on an edit: some hosts get a fault
// while the node's call waits at one of them, and an edit is accepted then or some time
// later.
func TestEditIsAppliedInTimeWithFaultyHosts(t *testing.T) {
	rows := []struct {
		name   string
		hosts  int
		faults []hostFault // faults are those of the hosts that the node prefers, in this order.
	}{
		{"no fault", 3, nil},
		{"one hangs", 3, []hostFault{faultHang}},
		{"one of many hangs", 10, []hostFault{faultHang}},
		{"two hang", 3, []hostFault{faultHang, faultHang}},
		{"two cut off", 3, []hostFault{faultCut, faultCut}},
		{"one hangs, one is down", 3, []hostFault{faultHang, faultDown}},
		{"one hangs, one has no leader", 3, []hostFault{faultHang, faultUnconfirmed}},
		{"one has no leader, one hangs", 3, []hostFault{faultUnconfirmed, faultHang}},
		{"two are down", 3, []hostFault{faultDown, faultDown}},
		{"half a reply", 3, []hostFault{faultHalfReply}},
		{"half a reply of two", 3, []hostFault{faultHalfReply, faultHalfReply}},
		{"one slow", 3, []hostFault{faultSlow}},
		{"one hangs, one is slow", 3, []hostFault{faultHang, faultSlow}},
		{"one is older", 3, []hostFault{faultOlder}},
		{"one is older, one hangs", 3, []hostFault{faultOlder, faultHang}},
		{"three of five hang", 5, []hostFault{faultHang, faultHang, faultHang}},
	}
	for _, row := range rows {
		for offset := time.Duration(0); offset < applyBound; offset += 150 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%s", row.name, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					m := newFaultyMesh(t, row.hosts)
					is.True(m.node.Ready())
					is.True(m.timeToApply(m.edit(t), applyBound) < applyBound) // the node follows its first host
					synctest.Wait()
					for i, f := range row.faults {
						m.hosts[i].setFault(f)
					}
					time.Sleep(offset)
					took := m.timeToApply(m.edit(t), 5*applyBound)
					t.Logf("in force after %s", took)
					is.True(took < applyBound)
				})
			})
		}
	}
}

// TestEditIsAppliedInTimeAfterAnOutage guards against pauses between calls and dials that
// grow during an outage of the control hosts, so that a node follows late when it has
// reached one of them again. Only the hosts that the node prefers least come back.
func TestEditIsAppliedInTimeAfterAnOutage(t *testing.T) {
	for _, fault := range []hostFault{faultDown, faultCut, faultHang, faultUnconfirmed} {
		for _, outage := range []time.Duration{5 * time.Second, 20 * time.Second, 41 * time.Second, 90 * time.Second} {
			for back := 1; back <= 2; back++ {
				t.Run(fmt.Sprintf("fault %d for %s, %d back", fault, outage, back), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						m := newFaultyMesh(t, 3)
						for _, h := range m.hosts {
							h.setFault(fault)
						}
						time.Sleep(outage)
						version := m.edit(t)
						for _, h := range m.hosts[len(m.hosts)-back:] {
							h.setFault(faultNone)
						}
						took := m.timeToApply(version, 10*applyBound)
						t.Logf("in force %s after the outage", took)
						is.True(took < applyBound)
					})
				})
			}
		}
	}
}

// TestOutageKeepsNodesReady guards against nodes that stop serving because no control
// host can confirm their configuration: the outage of all hosts must be known before the
// confirmation is too old, also when the call before it waited for a change.
func TestOutageKeepsNodesReady(t *testing.T) {
	for _, hosts := range []int{1, 3, 5, 10} {
		for _, fault := range []hostFault{faultDown, faultCut, faultHang, faultUnconfirmed, faultHalfReply} {
			t.Run(fmt.Sprintf("fault %d of %d hosts", fault, hosts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					m := newFaultyMesh(t, hosts)
					time.Sleep(steadyTime)
					for _, h := range m.hosts {
						h.setFault(fault)
					}
					for range 1000 {
						time.Sleep(10 * time.Millisecond)
						is.True(m.node.Ready())
					}
					is.Equal(m.node.Tables.Freshness(time.Now()), compiler.FreshnessOutage)
				})
			})
		}
	}
}

// TestNodeIsNotReadyWithoutTheUpdate guards against a node that serves by its last table
// although a control host confirms a state that the node cannot apply.
func TestNodeIsNotReadyWithoutTheUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFaultyMesh(t, 3)
		is.True(m.timeToApply(m.edit(t), applyBound) < applyBound)
		for _, h := range m.hosts {
			h.setFault(faultOlder)
		}
		time.Sleep(applyBound + syncWait)
		is.True(!m.node.Ready())
		for _, h := range m.hosts {
			h.setFault(faultNone)
		}
		version := m.edit(t)
		is.True(m.timeToApply(version, 5*applyBound) < applyBound)
		is.True(m.node.Ready())
	})
}

// TestNodeIsNotReadyWithoutTheUpdateAfterAnOutage guards against a node that goes on
// serving by its last table when the outage has ended, and a control host confirms a state
// that the node cannot apply.
func TestNodeIsNotReadyWithoutTheUpdateAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFaultyMesh(t, 3)
		is.True(m.timeToApply(m.edit(t), applyBound) < applyBound)
		for _, h := range m.hosts {
			h.setFault(faultDown)
		}
		time.Sleep(steadyTime)
		is.True(m.node.Ready())
		for _, h := range m.hosts {
			h.setFault(faultOlder)
		}
		time.Sleep(applyBound)
		is.True(!m.node.Ready())
	})
}

// TestNodeKeepsConnectionsWithoutALeader guards against nodes that open new connections
// to the control hosts in every round of calls while there is no leader: the hosts of a
// large mesh would spend an election on them. With a leader, one connection is left.
func TestNodeKeepsConnectionsWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts = 8
		m := newFaultyMesh(t, hosts)
		for _, h := range m.hosts {
			h.setFault(faultUnconfirmed)
		}
		time.Sleep(steadyTime)
		before := m.dialCount()
		time.Sleep(4 * steadyTime)
		t.Logf("%d connections before, %d after", before, m.dialCount())
		is.Equal(m.dialCount(), before)
		for _, h := range m.hosts {
			h.setFault(faultNone)
		}
		time.Sleep(steadyTime)
		synctest.Wait()
		is.Equal(m.openCount(), 1)
	})
}
