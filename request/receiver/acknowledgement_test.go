package receiver

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/request/budgeter"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// unresponsiveOwner accepts connections and never sends anything.
func unresponsiveOwner(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return l.Addr().String()
}

// TestUnacknowledgedRequestIsRetried guards against a request that waits for its whole
// timeout at an owner node that sends no acknowledgement. An idempotent request is
// retried at another target, one that is not idempotent is not sent again, and a node
// that is stopping gives nothing up.
func TestUnacknowledgedRequestIsRetried(t *testing.T) {
	for _, row := range []struct {
		name, method, path string
		draining           bool
		ran                bool
	}{
		{"idempotent", "GET", "/designs/1", false, true},
		{"not idempotent", "POST", "/deposits", false, false},
		{"idempotent at a stopping node", "GET", "/designs/1", true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := &claims{}
			a, lost, other := newNode(t, "a", c), newNode(t, "lost", c), newNode(t, "other", c)
			address, _ := listen(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
			announce(t, lost, "t1", address)
			announce(t, other, "t2", address)
			lost.peer = unresponsiveOwner(t)
			publishTable(t, 1, a, lost, other)
			if row.draining {
				a.receiver.Drain()
			}
			a.receiver.Balancer.Penalise(applier.EndpointKey{Node: "other", Target: "t2"}) // so that the unresponsive node is selected first
			begun := time.Now()
			end := call(t, a.entry, row.method, row.path, "")
			t.Logf("%+v after %s", end, time.Since(begun))
			is.Equal(end.outcome == "ran", row.ran)
			if !row.ran {
				is.Equal(end.outcome, "unknown")
			}
		})
	}
}

// delayedOwner proxies connections to an owner node and delays all bytes for longer
// than ackTimeout.
func delayedOwner(t *testing.T, to string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go func() {
				time.Sleep(3 * ackTimeout / 2)
				go func() { _, _ = io.Copy(out, in) }()
				_, _ = io.Copy(in, out)
				_ = in.Close()
				_ = out.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// TestUnacknowledgedRequestIsKeptWithoutBudget guards against a request that is given
// up although no further attempt is possible: because the retry budget is spent, or
// because there is no other endpoint. The owner node's acknowledgement is late.
func TestUnacknowledgedRequestIsKeptWithoutBudget(t *testing.T) {
	for _, row := range []struct {
		name  string
		other bool
	}{{"budget spent", true}, {"no other endpoint", false}} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := &claims{}
			a, late, other := newNode(t, "a", c), newNode(t, "late", c), newNode(t, "other", c)
			address, _ := listen(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
			announce(t, late, "t1", address)
			if row.other {
				announce(t, other, "t2", address)
				a.receiver.Balancer.Penalise(applier.EndpointKey{Node: "other", Target: "t2"}) // so that the delayed node is selected first
				a.receiver.Budget = budgeter.Budgeter{Ratio: 1e-9, Slack: 1e-9}
				a.receiver.Budget.Earn("designs", 3)
				for a.receiver.Budget.Spend("designs") {
				}
			}
			late.peer = delayedOwner(t, late.peer)
			publishTable(t, 1, a, late, other)
			end := call(t, a.entry, "GET", "/designs/1", "")
			is.Equal(end, response{200, "ran", "", "ok"})
		})
	}
}

// TestOnlyRunningRequestIsGivenUp guards against a request that is given up where it runs,
// because its owner node's acknowledgement is late, although every other owner node
// rejects it: the caller then gets a failure for work that a target is doing.
func TestOnlyRunningRequestIsGivenUp(t *testing.T) {
	is := is.New(t)
	c := &claims{}
	a, late, other := newNode(t, "a", c), newNode(t, "late", c), newNode(t, "other", c)
	address, _ := listen(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	announce(t, late, "t1", address)
	announce(t, other, "t2", address)
	a.receiver.Balancer.Penalise(applier.EndpointKey{Node: "other", Target: "t2"}) // so that the delayed node is selected first
	late.peer = delayedOwner(t, late.peer)
	publishTable(t, 1, a, late, other)
	is.NoErr(other.targets.MarkLeaving("t2", 0))
	is.Equal(call(t, a.entry, "GET", "/designs/1", ""), response{200, "ran", "", "ok"})
}
