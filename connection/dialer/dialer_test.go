package dialer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStuckPeerHoldsNobody calls a peer that accepts connections and never
// answers: each call ends at its deadline, and the next one gets a connection
// of its own.
func TestStuckPeerHoldsNobody(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	c := &Client{Address: l.Addr().String()}
	defer c.Close()
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		err := c.Call(ctx, "Peer.Identify", struct{ N int }{1}, &struct{ N int }{})
		cancel()
		is.True(IsKind(err, KindTimeout)) // it may have run
		is.NoErr((<-accepted).Close())
	}
	is.NoErr(l.Close())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	err = c.Call(ctx, "Peer.Identify", struct{ N int }{1}, &struct{ N int }{})
	is.True(IsKind(err, KindUnreachable)) // it did not run
	start := time.Now()
	err = c.Call(ctx, "Peer.Identify", struct{ N int }{1}, &struct{ N int }{})
	is.True(IsKind(err, KindUnreachable)) // within the backoff there is no dial
	is.True(time.Since(start) < time.Minute)
}
