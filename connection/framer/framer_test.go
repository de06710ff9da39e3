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

// Echo is a remote object for tests.
type Echo struct{}

// Say answers with what it got.
func (Echo) Say(in []byte, out *[]byte) error {
	*out = in
	return nil
}

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

// TestBadPeersCostOneConnection sends what a peer must not send.
func TestBadPeersCostOneConnection(t *testing.T) {
	long := binary.BigEndian.AppendUint32(nil, 1<<30)
	packed := func(b []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))|compressed), b...)
	}
	for name, raw := range map[string][]byte{
		"oversized frame": long,
		"not gob":         append(binary.BigEndian.AppendUint32(nil, 5), "hello"...),
		"slow sender":     {0, 0},
		"empty frame":     {0, 0, 0, 0},
		"not compressed":  packed([]byte("hello")),
		"grows too large": packed(s2.Encode(nil, make([]byte, 1<<20))),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, done := serve(t, Limits{MaxFrameBytes: 1 << 10, FrameTimeout: 50 * time.Millisecond})
			_, err := conn.Write(raw)
			is.NoErr(err)
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Fatal("the connection is still served")
			}
		})
	}
}

// counted counts the bytes that are written.
type counted struct {
	net.Conn
	written *atomic.Int64
}

func (c counted) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// TestLongFramesAreCompressed sends what repeats itself, and what does not.
func TestLongFramesAreCompressed(t *testing.T) {
	is := is.New(t)
	conn, _ := serve(t, Limits{})
	var written atomic.Int64
	c := rpc.NewClientWithCodec(NewClientCodec(counted{conn, &written}, Limits{}))
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
	is.True(send(noise) < int64(len(noise)+200)) // it is sent as it is
	is.Equal(send([]byte("short")) < 100, true)
}

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
