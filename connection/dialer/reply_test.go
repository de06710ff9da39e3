package dialer

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/framer"
)

// testReply has fields that gob does not send when they are zero.
type testReply struct {
	N       int
	Failure string
	Body    []byte
}

// serveCodec starts a peer that runs serve with the server's codec of each connection,
// and returns its address.
func serveCodec(t *testing.T, serve func(rpc.ServerCodec)) string {
	t.Helper()
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
			go func() {
				codec := framer.NewServerCodec(conn, framer.Limits{})
				defer func() { _ = codec.Close() }()
				serve(codec)
			}()
		}
	}()
	return l.Addr().String()
}

// readCall reads one call with an int as its argument.
func readCall(codec rpc.ServerCodec) (rpc.Request, int, bool) {
	var r rpc.Request
	n := 0
	if codec.ReadRequestHeader(&r) != nil || codec.ReadRequestBody(&n) != nil {
		return r, 0, false
	}
	return r, n, true
}

// respond sends a reply to the call with a sequence number.
func respond(codec rpc.ServerCodec, seq uint64, reply testReply) {
	_ = codec.WriteResponse(&rpc.Response{ServiceMethod: "Peer.Identify", Seq: seq}, reply)
}

// cutConn ends after a number of bytes read.
type cutConn struct {
	net.Conn
	left *atomic.Int64
}

func (c cutConn) Read(p []byte) (int, error) {
	left := c.left.Load()
	if left <= 0 {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	c.left.Add(int64(-n))
	return n, err
}

// TestCutReplyFails guards against a reply that is cut midway and taken for a whole one:
// it is cut behind every byte, short and long enough to be compressed.
func TestCutReplyFails(t *testing.T) {
	for _, want := range []testReply{{N: 7, Body: []byte("body")}, {N: 7, Body: bytes.Repeat([]byte("long body; "), 200)}} {
		is := is.New(t)
		address := serveCodec(t, func(codec rpc.ServerCodec) {
			for {
				r, _, ok := readCall(codec)
				if !ok {
					return
				}
				respond(codec, r.Seq, want)
			}
		})
		call := func(limit int64) (testReply, int64, error) {
			left := &atomic.Int64{}
			left.Store(limit)
			c := &Client{Address: address, WrapConn: func(conn net.Conn) net.Conn { return cutConn{conn, left} }}
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var reply testReply
			err := c.Call(ctx, "Peer.Identify", 1, &reply)
			return reply, limit - left.Load(), err
		}
		got, size, err := call(1 << 20)
		is.NoErr(err)
		is.Equal(got, want)
		for n := range size {
			got, _, err := call(n)
			is.True(IsKind(err, KindBroken)) // the call may have run
			is.Equal(got, testReply{})
		}
		_, _, err = call(size)
		is.NoErr(err)
	}
}

// TestForeignAndRepeatedRepliesAreDiscarded guards against a reply that is taken for the
// reply to another call: each call is preceded by a reply to no call, and followed by a
// second reply to it and by one to an earlier call.
func TestForeignAndRepeatedRepliesAreDiscarded(t *testing.T) {
	is := is.New(t)
	address := serveCodec(t, func(codec rpc.ServerCodec) {
		for {
			r, n, ok := readCall(codec)
			if !ok {
				return
			}
			respond(codec, r.Seq+100, testReply{N: -1, Failure: "to no call"})
			respond(codec, r.Seq, testReply{N: n})
			respond(codec, r.Seq, testReply{N: -2, Failure: "repeated"})
			respond(codec, r.Seq-1, testReply{N: -3, Failure: "late"})
		}
	})
	c := &Client{Address: address}
	defer c.Close()
	replies := make([]testReply, 50)
	for i := range replies {
		is.NoErr(c.Call(t.Context(), "Peer.Identify", i, &replies[i]))
	}
	for i, reply := range replies {
		is.Equal(reply, testReply{N: i})
	}
}

// TestLateReplyReachesNoOtherCall guards against a reply that arrives after its call has
// timed out and changes that call's reply or the next one. The race detector sees a
// write after the return.
func TestLateReplyReachesNoOtherCall(t *testing.T) {
	is := is.New(t)
	const delay = 5 * time.Millisecond
	address := serveCodec(t, func(codec rpc.ServerCodec) {
		for {
			r, n, ok := readCall(codec)
			if !ok {
				return
			}
			if n > 0 {
				time.Sleep(delay)
			}
			respond(codec, r.Seq, testReply{N: n})
		}
	})
	c := &Client{Address: address}
	defer c.Close()
	timedOut := 0
	for i := 1; i <= 200; i++ {
		is.Equal(callUntilReply(t, c, -i).N, -i) // also connects again after a timeout
		ctx, cancel := context.WithTimeout(t.Context(), delay-time.Millisecond+time.Duration(i%20)*100*time.Microsecond)
		var reply testReply
		err := c.Call(ctx, "Peer.Identify", i, &reply)
		cancel()
		reply.Failure = "read by its owner"
		if err != nil {
			timedOut++
			continue
		}
		is.Equal(reply.N, i)
	}
	t.Logf("%d of 200 calls timed out", timedOut)
	is.True(timedOut > 0)
}

// callUntilReply calls until there is a reply: after a failed call, the client waits
// before it connects again.
func callUntilReply(t *testing.T, c *Client, n int) testReply {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for {
		var reply testReply
		err := c.Call(ctx, "Peer.Identify", n, &reply)
		if err == nil {
			return reply
		}
		if ctx.Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCallToPeerThatReadsNothingTimesOut guards against a call that outlives its deadline
// because the peer does not take its bytes.
func TestCallToPeerThatReadsNothingTimesOut(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	c := &Client{Address: l.Addr().String(), Limits: framer.Limits{MaxFrameBytes: 64 << 20}}
	defer c.Close()
	args := make([]byte, 16<<20)
	_, err = rand.NewChaCha8([32]byte{1}).Read(args) // The frame must not become short by compression.
	is.NoErr(err)
	const timeout = 200 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	start := time.Now()
	err = c.Call(ctx, "Peer.Identify", args, &testReply{})
	t.Logf("%s: %v", time.Since(start), err)
	is.True(IsKind(err, KindTimeout)) // it may have run
	is.True(time.Since(start) < framer.DefaultFrameTimeout/2)
}
