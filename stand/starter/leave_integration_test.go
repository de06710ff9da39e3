package starter

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// The indexes of the nodes of the tests below.
const (
	leaveNode = 3 // leaveNode is the node beside the target.
	otherNode = 4
)

// newLeaveMesh starts control hosts, two nodes and a target that runs beside leaveNode. It
// returns the address of the target and the number of requests that have reached it.
func newLeaveMesh(t *testing.T) (m *platformMesh, node *Node, target string, received *atomic.Int64) {
	t.Helper()
	m, _ = newControlMesh(t, 5)
	node = m.start(leaveNode, "node.yaml", true)
	m.start(otherNode, "node.yaml", true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	received = &atomic.Int64{}
	go func() {
		_ = fasthttp.Serve(l, func(ctx *fasthttp.RequestCtx) {
			received.Add(1)
			ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
			ctx.Response.Header.Set("X-Response-Signature", "signed")
			ctx.SetBodyString("the target's answer")
		})
	}()
	return m, node, l.Addr().String(), received
}

// awaitReady waits until node i has a configuration.
func (m *platformMesh) awaitReady(i int) {
	m.t.Helper()
	err := WaitUntil(m.t.Context(), readyTimeout, fmt.Sprintf("process %d is ready", i), func() bool {
		status, _ := sendHTTP("GET", "http://"+m.address(i, readinessPort)+"/hornbeamrack/readyz", nil, "")
		return status == 200
	})
	if err != nil {
		m.t.Fatal(err)
	}
}

// awaitServed waits until a request through otherNode reaches the target.
func (m *platformMesh) awaitServed() {
	m.t.Helper()
	err := WaitUntil(m.t.Context(), readyTimeout, "response through the other node", func() bool {
		status, _ := m.sendRequest(otherNode, "id-1")
		return status == 200
	})
	if err != nil {
		m.t.Fatal(err)
	}
}

// deregister sends the leave of the target and returns the status. body may be empty.
func (m *platformMesh) deregister(body string) int {
	status, _ := sendHTTP("POST", "http://"+m.address(leaveNode, controlPort)+"/hornbeamrack/instances/i-1/deregister", nil, body)
	return status
}

// checkNoRequest sends requests through both nodes for 3 s, and fails the test if one of
// them reaches the target.
func (m *platformMesh) checkNoRequest(received *atomic.Int64) {
	m.t.Helper()
	before := received.Load()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(pollInterval) {
		m.sendRequest(otherNode, "id-2")
		m.sendRequest(leaveNode, "id-3")
	}
	if late := received.Load() - before; late > 0 {
		m.t.Fatalf("%d requests reached the target after its leave was acknowledged", late)
	}
}

// TestRestartedNodeForgetsLeave guards against a node that has acknowledged that a target
// leaves, is killed, and takes a delayed heartbeat of that target for a new one.
func TestRestartedNodeForgetsLeave(t *testing.T) {
	is := is.New(t)
	m, node, target, received := newLeaveMesh(t)
	m.awaitReady(leaveNode)
	is.Equal(m.sendHeartbeat(leaveNode, 1, "ready", target), 200)
	m.awaitServed()
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "leave acknowledged", func() bool { return m.deregister(`{"born":1}`) == 200 }))
	node.Kill()
	m.start(leaveNode, "node.yaml", true)
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "delayed heartbeat arrives", func() bool { return m.sendHeartbeat(leaveNode, 2, "ready", target) == 200 }))
	m.awaitReady(leaveNode)
	m.checkNoRequest(received)
}

// TestLeaveOfUnknownTargetIsForgotten guards against a leave that names no start of its
// target and arrives at a node that has restarted and does not know the target: the node
// acknowledges it and takes the next delayed heartbeat for a new target.
func TestLeaveOfUnknownTargetIsForgotten(t *testing.T) {
	is := is.New(t)
	m, _, target, received := newLeaveMesh(t)
	m.awaitReady(leaveNode)
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "leave acknowledged", func() bool { return m.deregister("") == 200 }))
	is.Equal(m.sendHeartbeat(leaveNode, 2, "ready", target), 200)
	m.checkNoRequest(received)
}
