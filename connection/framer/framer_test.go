package framer

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/matryer/is"
)

// Echo is an RPC receiver for tests.
type Echo struct{}

// Say replies with its argument.
func (Echo) Say(in []byte, out *[]byte) error {
	*out = in
	return nil
}

// serve starts an RPC server on one end of a pipe. It returns the other end and a
// channel that is closed when the server ends the connection.
func serve(tb testing.TB, limits Limits) (net.Conn, chan struct{}) {
	client, server := net.Pipe()
	s := rpc.NewServer()
	if err := s.Register(Echo{}); err != nil {
		tb.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		s.ServeCodec(NewServerCodec(server, limits))
		close(done)
	}()
	tb.Cleanup(func() { _ = client.Close() })
	return client, done
}

// TestCallsGoThrough guards against a codec that loses its position in the stream: calls
// still succeed after others and after a call of an unknown method.
func TestCallsGoThrough(t *testing.T) {
	is := is.New(t)
	conn, _ := serve(t, Limits{})
	c := rpc.NewClientWithCodec(NewClientCodec(conn, Limits{}))
	for range 3 {
		var out []byte
		is.NoErr(c.Call("Echo.Say", []byte("hello"), &out))
		is.Equal(string(out), "hello")
	}
	is.True(c.Call("Echo.Nothing", []byte("x"), &[]byte{}) != nil)
	var out []byte
	is.NoErr(c.Call("Echo.Say", []byte("still there"), &out))
}

// TestInvalidFramesCloseTheConnection guards against a peer that uses unbounded memory
// or time by frames that are too large, malformed or slow: the server ends each such
// connection.
func TestInvalidFramesCloseTheConnection(t *testing.T) {
	long := binary.BigEndian.AppendUint32(nil, 1<<30)
	compressedFrame := func(b []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))|compressedFlag), b...)
	}
	for name, raw := range map[string][]byte{
		"oversized frame":             long,
		"not gob":                     append(binary.BigEndian.AppendUint32(nil, 5), "hello"...),
		"slow sender":                 {0, 0},
		"empty frame":                 {0, 0, 0, 0},
		"invalid compressed data":     compressedFrame([]byte("hello")),
		"too large when decompressed": compressedFrame(s2.Encode(nil, make([]byte, 1<<20))),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, done := serve(t, Limits{MaxFrameBytes: 1 << 10, FrameTimeout: 50 * time.Millisecond})
			_, err := conn.Write(raw)
			is.NoErr(err)
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Fatal("the server has not closed the connection")
			}
		})
	}
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// TestLongFramesAreCompressed guards against repetitive frames that are sent
// uncompressed, and against compression that makes random data longer.
func TestLongFramesAreCompressed(t *testing.T) {
	is := is.New(t)
	conn, _ := serve(t, Limits{})
	var written atomic.Int64
	c := rpc.NewClientWithCodec(NewClientCodec(countingConn{conn, &written}, Limits{}))
	send := func(in []byte) int64 {
		before := written.Load()
		var out []byte
		is.NoErr(c.Call("Echo.Say", in, &out))
		is.True(bytes.Equal(in, out))
		return written.Load() - before
	}
	repeated := bytes.Repeat([]byte("path: /designs/, service: designs; "), 2000)
	is.True(send(repeated) < int64(len(repeated)/10))
	noise := make([]byte, 8000)
	g := rand.NewChaCha8([32]byte{1})
	_, err := g.Read(noise)
	is.NoErr(err)
	is.True(send(noise) < int64(len(noise)+200)) // random data is sent uncompressed
	is.Equal(send([]byte("short")) < 100, true)
}

// FuzzServer sends arbitrary bytes to a server, which must not panic and must end the
// connection.
func FuzzServer(f *testing.F) {
	f.Add(append(binary.BigEndian.AppendUint32(nil, 5), "hello"...))
	f.Add([]byte{0, 0, 0, 0})
	f.Add(append([]byte{0x80, 0, 0, 5}, "hello"...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		conn, done := serve(t, Limits{MaxFrameBytes: 1 << 12, FrameTimeout: time.Second})
		go func() { _, _ = conn.Read(make([]byte, 1<<12)) }()
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write(raw)
		_ = conn.Close()
		<-done
	})
}
