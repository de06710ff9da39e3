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

// silentOwner accepts connections and never says anything.
func silentOwner(t *testing.T) string {
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

// TestSilentOwnerIsLeft places a request at an owner node that gives no sign:
// an idempotent one is answered by another target, one that is not idempotent
// is not sent again, and a node that stops gives nothing up.
func TestSilentOwnerIsLeft(t *testing.T) {
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
			lost.peer = silentOwner(t)
			put(t, 1, a, lost, other)
			if row.draining {
				a.receiver.Drain()
			}
			a.receiver.Balancer.Penalise(applier.EndpointKey{Node: "other", Target: "t2"}) // so that the silent one is first
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

// lateOwner carries connections to an owner node and holds everything back for
// longer than an owner may take for its sign.
func lateOwner(t *testing.T, to string) string {
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
				time.Sleep(3 * signTime / 2)
				go func() { _, _ = io.Copy(out, in) }()
				_, _ = io.Copy(in, out)
				_ = in.Close()
				_ = out.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// TestSilentOwnerIsKeptWithoutBudget places a request at an owner node whose
// sign is late. Nothing is given up that could not be offered elsewhere: when
// the retry budget is spent, or when there is no other endpoint.
func TestSilentOwnerIsKeptWithoutBudget(t *testing.T) {
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
				a.receiver.Balancer.Penalise(applier.EndpointKey{Node: "other", Target: "t2"}) // so that the late one is first
				a.receiver.Budget = budgeter.Budgeter{Ratio: 1e-9, Slack: 1e-9}
				a.receiver.Budget.Earn("designs", 3)
				for a.receiver.Budget.Spend("designs") {
				}
			}
			late.peer = lateOwner(t, late.peer)
			put(t, 1, a, late, other)
			end := call(t, a.entry, "GET", "/designs/1", "")
			is.Equal(end, answer{200, "ran", "", "ok"})
		})
	}
}
