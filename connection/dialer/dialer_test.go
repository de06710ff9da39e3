package dialer

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/framer"
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

// echo answers calls in tests.
type echo struct{}

// Identify answers with what it was asked.
func (echo) Identify(n int, reply *int) error {
	*reply = n
	return nil
}

// TestLostOpeningPacketIsSentAgainSoon loses the first opening packet, as to a
// host that has no power yet. The kernel would send it again after a second.
func TestLostOpeningPacketIsSentAgainSoon(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	server := rpc.NewServer()
	is.NoErr(server.RegisterName("Peer", echo{}))
	go func() {
		if conn, err := l.Accept(); err == nil {
			server.ServeCodec(framer.NewServerCodec(conn, framer.Limits{}))
		}
	}()
	dials := 0
	c := &Client{Address: l.Addr().String(), DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		if dials == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), DefaultDialTimeout)
	defer cancel()
	var reply int
	is.NoErr(c.Call(ctx, "Peer.Identify", 7, &reply))
	is.Equal(reply, 7)
	is.Equal(dials, 2)
}
