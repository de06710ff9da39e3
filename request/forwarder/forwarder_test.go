package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const testTimeout = 5 * time.Second

// startTarget starts a server that runs the script for each connection, and returns
// its address. n counts the connections; the script reads the requests from r.
func startTarget(t *testing.T, script func(n int, conn net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

// readHeader reads the header of one request. It returns false at the end of the
// connection.
func readHeader(r *bufio.Reader) (string, bool) {
	var b strings.Builder
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", false
		}
		b.WriteString(line)
		if line == "\r\n" {
			return b.String(), true
		}
	}
}

func newRequest(path string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI(path)
	req.Header.SetHost("a")
	return req
}

func get(f *Forwarder, path string) (*fasthttp.Response, error) {
	resp := &fasthttp.Response{}
	err := f.Do(context.Background(), newRequest(path), resp, time.Now().Add(testTimeout), Identity{})
	return resp, err
}

const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestIncompleteResponsesFail guards against an incomplete or malformed response
// that is passed on as complete. There is a row for each way in which a connection
// may end too early.
func TestIncompleteResponsesFail(t *testing.T) {
	reset := func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }
	rows := []struct {
		name, response string
		reset          bool
		ok             bool
	}{
		{"whole", wholeResponse, false, true},
		{"no length, ends with the connection", "HTTP/1.1 200 OK\r\n\r\nok", false, true},
		{"no length, reset", "HTTP/1.1 200 OK\r\n\r\nok", true, false},
		{"too short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, false},
		{"chunk missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, false},
		{"no response", "", false, false},
		{"not HTTP", "hello\r\n\r\n", false, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				readHeader(r)
				_, _ = io.WriteString(conn, row.response)
				if row.reset {
					time.Sleep(20 * time.Millisecond) // The bytes arrive before the reset.
					reset(conn)
				}
			})
			resp, err := get(&Forwarder{Address: address, MaxConnections: 1}, "/")
			is.Equal(err == nil, row.ok)
			if row.ok {
				is.Equal(string(resp.Body()), "ok")
				return
			}
			is.Equal(OutcomeOf(err), OutcomeUnknown)
		})
	}
}

// TestStrayBytesEndTheConnection guards against a response that reaches another
// request: the target sends a second response to the first request on a connection,
// and no request may receive it.
func TestStrayBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	stray := make(chan struct{})
	address := startTarget(t, func(n int, conn net.Conn, r *bufio.Reader) {
		for {
			h, ok := readHeader(r)
			if !ok {
				return
			}
			path, _, _ := strings.Cut(strings.TrimPrefix(h, "GET "), " ")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"+path)
			if n == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
				close(stray)
			}
		}
	})
	f := &Forwarder{Address: address, MaxConnections: 2}
	resp, err := get(f, "/1")
	is.NoErr(err)
	is.Equal(string(resp.Body()), "/1")
	<-stray
	for i := range 20 {
		resp, err = get(f, "/2")
		t.Logf("%d: %q %v", i, resp.Body(), err)
		is.True(err != nil || string(resp.Body()) == "/2")
	}
}

// TestClosedIdleConnectionIsReplaced guards against requests that fail because
// their idle connection is closed: the target closes each connection after one
// response without announcing it in a header.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 100)
	address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		readHeader(r)
		_, _ = io.WriteString(conn, wholeResponse)
		_ = conn.Close()
		closed <- struct{}{}
	})
	f := &Forwarder{Address: address, MaxConnections: 2}
	for range 20 {
		_, err := get(f, "/")
		is.NoErr(err)
		<-closed
		for limit := time.Now().Add(testTimeout); time.Now().Before(limit); {
			f.mu.Lock()
			n := f.openCount
			f.mu.Unlock()
			if n == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// TestCancelClosesTheConnection guards against a connection to the target that
// stays open after the caller has disconnected. A request that is
// cancelled before it is sent must not run.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	got, gone := make(chan struct{}), make(chan struct{})
	address := startTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readHeader(r)
		close(got)
		_, _ = r.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-got
		cancel()
	}()
	err := (&Forwarder{Address: address}).Do(ctx, newRequest("/"), &fasthttp.Response{}, time.Now().Add(testTimeout), Identity{})
	is.True(IsKind(err, KindCancelled))
	select {
	case <-gone:
	case <-time.After(testTimeout):
		t.Fatal("the connection stayed open")
	}
	cancelled, stop := context.WithCancel(context.Background())
	stop()
	err = (&Forwarder{Address: address}).Do(cancelled, newRequest("/"), &fasthttp.Response{}, time.Now().Add(testTimeout), Identity{})
	is.Equal(OutcomeOf(err), OutcomeNotRun) // nothing was sent
}

// TestResponseBeforeRequestBody guards against a lost response of a target that
// responds before it has read a long request body. The connection must not be
// reused afterwards.
func TestResponseBeforeRequestBody(t *testing.T) {
	is := is.New(t)
	address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		readHeader(r)
		_, _ = io.WriteString(conn, wholeResponse)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r)
	})
	req := newRequest("/")
	req.Header.SetMethod("POST")
	req.SetBody(make([]byte, 16<<20))
	resp := &fasthttp.Response{}
	f := &Forwarder{Address: address, MaxConnections: 1}
	is.NoErr(f.Do(context.Background(), req, resp, time.Now().Add(testTimeout), Identity{}))
	is.Equal(string(resp.Body()), "ok")
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(len(f.idle), 0)
}

// TestPathsAreLeftAlone guards against a client that normalizes paths: they must
// reach the target unchanged.
func TestPathsAreLeftAlone(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 1)
	address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		h, _ := readHeader(r)
		seen <- h
		_, _ = io.WriteString(conn, wholeResponse)
	})
	for _, path := range []string{"/a//b/../c?x=1&y=%2F", "/%41/%7e?"} {
		_, err := get(&Forwarder{Address: address}, path)
		is.NoErr(err)
		is.True(strings.HasPrefix(<-seen, "GET "+path+" HTTP/1.1\r\n"))
	}
}
