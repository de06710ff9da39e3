package framer

import (
	"encoding/binary"
	"net"
	"net/rpc"
	"testing"
	"time"

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
	for name, raw := range map[string][]byte{
		"oversized frame": long,
		"not gob":         append(binary.BigEndian.AppendUint32(nil, 5), "hello"...),
		"slow sender":     {0, 0},
		"empty frame":     {0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, done := serve(t, Limits{MaxFrame: 1 << 10, FrameTimeout: 50 * time.Millisecond})
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

func FuzzServer(f *testing.F) {
	f.Add(append(binary.BigEndian.AppendUint32(nil, 5), "hello"...))
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		conn, done := serve(t, Limits{MaxFrame: 1 << 12, FrameTimeout: time.Second})
		go func() { _, _ = conn.Read(make([]byte, 1<<12)) }()
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = conn.Write(raw)
		_ = conn.Close()
		<-done
	})
}
