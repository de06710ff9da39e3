package receiver

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

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
			a.receiver.Board.Penalise(applier.EndpointKey{Node: "other", Target: "t2"}) // so that the silent one is first
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
