package acceptor

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowStream is a body that arrives in parts, and ends with an error when ctx ends.
type slowStream struct {
	ctx   context.Context
	parts int
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowStream) Read(p []byte) (int, error) {
	if s.parts == 0 {
		return 0, io.EOF
	}
	select {
	case <-s.ctx.Done():
		return 0, errors.New("cancelled")
	case <-time.After(s.pause):
	}
	s.parts--
	return copy(p, "part"), nil
}

// readChunks reads a chunked response and returns its body.
func readChunks(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if line == "\r\n" {
			break
		}
	}
	var body strings.Builder
	for {
		var n int
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatalf("after %d bytes: %v", body.Len(), err)
		}
		if _, err := fmt.Sscanf(line, "%x", &n); err != nil {
			t.Fatal(err)
		}
		chunk := make([]byte, n+2)
		if _, err := io.ReadFull(r, chunk); err != nil {
			t.Fatalf("after %d bytes: %v", body.Len(), err)
		}
		if n == 0 {
			return body.String()
		}
		body.Write(chunk[:n])
	}
}

// TestDrainSparesLongStreams guards against a planned stop that cuts the last response of a
// connection while it is streamed, alone and with a further request behind it.
func TestDrainSparesLongStreams(t *testing.T) {
	for _, behind := range []string{"", get("/behind")} {
		t.Run("behind: "+behind, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const parts = 8
			s := &Server{Handler: func(x *Exchange) {
				x.Response.SetBodyStream(&slowStream{x.Context(), parts, longWork / parts}, -1)
			}}
			address := start(t, s)
			s.Drain()
			conn := dial(t, address, get("/"))
			time.Sleep(longWork / parts * 2) // The response has begun.
			_, err := io.WriteString(conn, behind)
			is.NoErr(err)
			is.Equal(readChunks(t, bufio.NewReader(conn)), strings.Repeat("part", parts))
		})
	}
}

// TestLongStreamIsWhole guards against a response that is cut since the whole of it takes
// longer than one write may.
func TestLongStreamIsWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const parts = 24
	address := start(t, &Server{Handler: func(x *Exchange) {
		x.Response.SetBodyStream(&slowStream{x.Context(), parts, writeTimeout / 20}, -1)
	}})
	conn := dial(t, address, get("/"))
	_ = conn.SetDeadline(time.Now().Add(2 * writeTimeout))
	is.Equal(readChunks(t, bufio.NewReader(conn)), strings.Repeat("part", parts))
}

// smallBuffers is a listener whose connections buffer little in the kernel.
type smallBuffers struct{ net.Listener }

// Accept implements net.Listener.
func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(smallBufferBytes)
	}
	return conn, err
}

const smallBufferBytes = 16 << 10

// TestSlowReaderGetsWholeResponse guards against a response that is cut although its caller
// reads all the time, but slowly.
func TestSlowReaderGetsWholeResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const size, reads = 2 << 20, 24
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Handler: func(x *Exchange) { x.Response.SetBody(make([]byte, size)) }}
	go func() { _ = s.Serve(smallBuffers{l}) }()
	conn := dial(t, l.Addr().String(), "")
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(smallBufferBytes))
	_ = conn.SetDeadline(time.Now().Add(3 * writeTimeout))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	read, part := 0, make([]byte, size/reads)
	for err == nil {
		time.Sleep(writeTimeout / 20)
		var n int
		n, err = io.ReadFull(conn, part)
		read += n
	}
	t.Logf("%d bytes read: %v", read, err)
	is.True(read > size)
}

// TestStalledReaderIsDisconnected guards against a response that waits for good for a
// caller that does not read.
func TestStalledReaderIsDisconnected(t *testing.T) {
	t.Parallel()
	s := &Server{Handler: func(x *Exchange) { x.Response.SetBody(make([]byte, 64<<20)) }}
	dial(t, start(t, s), get("/"))
	for end := time.Now().Add(2 * writeTimeout); ; time.Sleep(10 * time.Millisecond) {
		if s.LastRequestAt().Unix() > 0 && s.OpenRequests() == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the response is still being written")
		}
	}
}
