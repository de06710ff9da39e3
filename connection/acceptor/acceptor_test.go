package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 5 * time.Second

// start runs a server on a free port and returns its address.
func start(t *testing.T, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
		_ = l.Close()
	})
	return l.Addr().String()
}

// dial connects to a server and sends text.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// get returns a GET request.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// await waits for a signal, and fails the test after testTimeout.
func await(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for: " + what)
	}
}

// TestDisconnectCancelsContext guards against a handler that continues after its caller
// has disconnected. It closes a connection while its request is handled, once alone and
// once with another request queued behind it.
func TestDisconnectCancelsContext(t *testing.T) {
	for _, behind := range []string{"", get("/behind")} {
		begun, gone := make(chan struct{}, 2), make(chan struct{}, 2)
		address := start(t, &Server{Handler: func(x *Exchange) {
			begun <- struct{}{}
			<-x.Context().Done()
			gone <- struct{}{}
		}})
		conn := dial(t, address, get("/work")+behind)
		await(t, begun, "the request begins")
		_ = conn.Close()
		await(t, gone, "the disconnect cancels the context")
	}
}

// TestPipelinedRequestsRunConcurrently guards against pipelined requests that wait for
// each other. The first request ends only after the second; the responses are still
// written in order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	address := start(t, &Server{Handler: func(x *Exchange) {
		path := string(x.Request.Header.RequestURI())
		if path == "/1" {
			<-second
		} else {
			close(second)
		}
		x.Response.SetBodyString("response to " + path)
	}})
	conn := dial(t, address, get("/1")+get("/2"))
	r := bufio.NewReader(conn)
	for _, path := range []string{"/1", "/2"} {
		body := readResponse(t, r)
		is.Equal(body, "response to "+path)
	}
}

// readResponse reads one response with a Content-Length and returns its body.
func readResponse(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if rest, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			_, _ = fmt.Sscan(rest, &length)
		}
		if line == "\r\n" {
			break
		}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// TestEarlierResponsesSentWaits guards against a request that runs twice: an earlier
// response can close the connection, and the caller then resends the request. Its
// handler can wait until all earlier responses are written.
func TestEarlierResponsesSentWaits(t *testing.T) {
	is := is.New(t)
	release, early := make(chan struct{}), make(chan bool, 1)
	address := start(t, &Server{Handler: func(x *Exchange) {
		if string(x.Request.Header.RequestURI()) == "/1" {
			<-release
			return
		}
		select {
		case <-x.EarlierResponsesSent():
			early <- true
		default:
			early <- false
		}
		close(release)
		<-x.EarlierResponsesSent()
	}})
	conn := dial(t, address, get("/1")+get("/2"))
	r := bufio.NewReader(conn)
	is.Equal(readResponse(t, r), "")
	is.Equal(readResponse(t, r), "")
	is.Equal(<-early, false)
}

// TestDrainClosesAfterTheLastResponse guards against a drain that closes a connection
// with open requests. The server drains while two requests are open on a connection:
// both get a response, and only the last one closes the connection.
func TestDrainClosesAfterTheLastResponse(t *testing.T) {
	is := is.New(t)
	begun, release := make(chan struct{}, 2), make(chan struct{})
	s := &Server{Handler: func(x *Exchange) {
		begun <- struct{}{}
		<-release
	}}
	address := start(t, s)
	conn := dial(t, address, get("/1")+get("/2"))
	await(t, begun, "the first begins")
	await(t, begun, "the second begins")
	s.Drain()
	close(release)
	all, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(strings.Count(string(all), "HTTP/1.1 200"), 2)
	is.Equal(strings.Count(string(all), "Connection: close"), 1)
	is.True(strings.LastIndex(string(all), "Connection: close") > strings.LastIndex(string(all), "HTTP/1.1 200"))
}

// TestLimits guards against requests beyond the limits: each is rejected with its
// status, and no handler runs.
func TestLimits(t *testing.T) {
	limits := func() Limits {
		return Limits{HeaderBytes: 4096, BodyBytes: 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Second}
	}
	rows := []struct{ name, text, status string }{
		{"header too large", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8192) + "\r\n\r\n", " 431 "},
		{"body too large", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n01234567890", " 413 "},
		{"header too slow", "GET / HTTP/1.1\r\nHost:", " 408 "},
		{"not HTTP", "what is this\r\n\r\n", " 400 "},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			address := start(t, &Server{Limits: limits, Handler: func(*Exchange) { t.Error("handled") }})
			line, err := bufio.NewReader(dial(t, address, row.text)).ReadString('\n')
			is.NoErr(err)
			is.True(strings.Contains(line, row.status))
		})
	}
}

// changingLimits are limits that a test changes while connections are open.
type changingLimits struct{ atomic.Pointer[Limits] }

func (l *changingLimits) get() Limits { return *l.Load() }

// sendHeaderOf sends a request with a header of about n bytes over conn and returns the
// status line of the response.
func sendHeaderOf(t *testing.T, conn net.Conn, r *bufio.Reader, n int) string {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", n, strings.Repeat("x", n)); err != nil {
		t.Fatal(err)
	}
	return readResponse(t, r)
}

// TestKeptConnectionHasOldLimits guards against a limit on headers that is in force only on
// connections that were opened after it: a larger one denies proper requests, a smaller
// one does not bound them.
func TestKeptConnectionHasOldLimits(t *testing.T) {
	is := is.New(t)
	var l changingLimits
	l.Store(&Limits{HeaderBytes: 16 << 10})
	address := start(t, &Server{Limits: l.get, Handler: func(x *Exchange) { x.Response.SetBody(x.Request.Header.RequestURI()) }})
	conn := dial(t, address, "")
	r := bufio.NewReader(conn)
	is.Equal(sendHeaderOf(t, conn, r, 100), "/100")
	l.Store(&Limits{HeaderBytes: 256 << 10})
	is.Equal(sendHeaderOf(t, conn, r, 20_000), "/20000")
	is.Equal(sendHeaderOf(t, conn, r, 200_000), "/200000")
	is.Equal(sendHeaderOf(t, conn, r, 100), "/100")
	is.Equal(sendHeaderOf(t, conn, r, 100_000), "/100000")
	l.Store(&Limits{HeaderBytes: 4 << 10})
	is.Equal(sendHeaderOf(t, conn, r, 100), "/100")
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\nX: %s\r\n\r\n", strings.Repeat("x", 5_000))
	is.NoErr(err)
	line, err := r.ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(line, " 431 "))
}

// TestPipelinedLongHeadersAreLost guards against requests that are lost or changed when the
// read buffer is replaced while later requests are in it already.
func TestPipelinedLongHeadersAreLost(t *testing.T) {
	is := is.New(t)
	limits := func() Limits { return Limits{HeaderBytes: 512 << 10} }
	address := start(t, &Server{Limits: limits, Handler: func(x *Exchange) {
		x.Response.SetBody(append(x.Request.Header.RequestURI(), x.Request.Body()...))
	}})
	var text strings.Builder
	for i := range 12 {
		fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: a\r\nX: %s\r\nContent-Length: 4\r\n\r\nbody", i, strings.Repeat("x", 30_000*(i%4)))
	}
	conn := dial(t, address, "")
	go func() { _, _ = io.WriteString(conn, text.String()) }()
	r := bufio.NewReader(conn)
	for i := range 12 {
		is.Equal(readResponse(t, r), fmt.Sprintf("/%dbody", i))
	}
}

// TestIdleConnectionHasOldTimeout guards against an idle timeout that is read only when a
// connection becomes idle: a larger one must keep it open, a smaller one must end it.
func TestIdleConnectionHasOldTimeout(t *testing.T) {
	t.Run("larger", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		var l changingLimits
		l.Store(&Limits{IdleTimeout: time.Second})
		address := start(t, &Server{Limits: l.get, Handler: func(x *Exchange) { x.Response.SetBodyString("ok") }})
		conn := dial(t, address, get("/"))
		r := bufio.NewReader(conn)
		is.Equal(readResponse(t, r), "ok")
		l.Store(&Limits{IdleTimeout: time.Minute})
		time.Sleep(3 * time.Second)
		_, err := io.WriteString(conn, get("/"))
		is.NoErr(err)
		is.Equal(readResponse(t, r), "ok")
	})
	t.Run("smaller", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		var l changingLimits
		l.Store(&Limits{IdleTimeout: time.Minute})
		address := start(t, &Server{Limits: l.get, Handler: func(x *Exchange) { x.Response.SetBodyString("ok") }})
		conn := dial(t, address, get("/"))
		r := bufio.NewReader(conn)
		is.Equal(readResponse(t, r), "ok")
		l.Store(&Limits{IdleTimeout: time.Second})
		is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Second)))
		_, err := r.ReadByte()
		is.Equal(err, io.EOF)
	})
}

// TestIdleTimeBeginsWithTheRequest guards against a connection that is closed earlier than
// the idle timeout after its last response, because the handler took a part of the time.
func TestIdleTimeBeginsWithTheRequest(t *testing.T) {
	is := is.New(t)
	limits := func() Limits { return Limits{IdleTimeout: 2 * time.Second} }
	address := start(t, &Server{Limits: limits, Handler: func(x *Exchange) {
		time.Sleep(1500 * time.Millisecond)
		x.Response.SetBodyString("ok")
	}})
	conn := dial(t, address, get("/"))
	r := bufio.NewReader(conn)
	is.Equal(readResponse(t, r), "ok")
	time.Sleep(time.Second)
	_, err := io.WriteString(conn, get("/"))
	is.NoErr(err)
	is.Equal(readResponse(t, r), "ok")
}

// TestManyLongHeadersAreUnbounded guards against long headers on many connections that
// together take all memory: beyond a bound they are refused as not run.
func TestManyLongHeadersAreUnbounded(t *testing.T) {
	is := is.New(t)
	s := &Server{Limits: func() Limits { return Limits{HeaderBytes: 4 << 20} }, Handler: func(x *Exchange) { x.Response.SetBodyString("ok") }}
	address := start(t, s)
	for range 8 {
		dial(t, address, "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("x", 3<<20))
	}
	for end := time.Now().Add(10 * time.Second); s.enlargedBytes.Load() < maxEnlargedBytes/2; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the headers arrive
	}
	is.True(s.enlargedBytes.Load() <= maxEnlargedBytes)
	is.Equal(readResponse(t, bufio.NewReader(dial(t, address, get("/")))), "ok") // others are served
}
