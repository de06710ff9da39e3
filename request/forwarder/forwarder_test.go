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

const patience = 5 * time.Second

// target runs a script for each connection: the script gets the reader after
// each request's header.
func target(t *testing.T, script func(n int, conn net.Conn, r *bufio.Reader)) string {
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

// header reads one request's header; ok is false at the end.
func header(r *bufio.Reader) (string, bool) {
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

func request(path string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI(path)
	req.Header.SetHost("a")
	return req
}

func do(f *Forwarder, path string) (*fasthttp.Response, error) {
	resp := &fasthttp.Response{}
	err := f.Do(context.Background(), request(path), resp, time.Now().Add(patience))
	return resp, err
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestBrokenAnswersAreNotWhole has a row for each way in which an answer can
// be spoiled.
func TestBrokenAnswersAreNotWhole(t *testing.T) {
	reset := func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }
	rows := []struct {
		name, answer string
		reset        bool
		ok           bool
	}{
		{"whole", whole, false, true},
		{"no length, ends with the connection", "HTTP/1.1 200 OK\r\n\r\nok", false, true},
		{"no length, reset", "HTTP/1.1 200 OK\r\n\r\nok", true, false},
		{"too short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, false},
		{"chunk missing", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false, false},
		{"no answer", "", false, false},
		{"not HTTP", "hello\r\n\r\n", false, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			address := target(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				header(r)
				_, _ = io.WriteString(conn, row.answer)
				if row.reset {
					time.Sleep(20 * time.Millisecond) // The bytes arrive before the reset.
					reset(conn)
				}
			})
			resp, err := do(&Forwarder{Address: address, MaxConnections: 1}, "/")
			is.Equal(err == nil, row.ok)
			if row.ok {
				is.Equal(string(resp.Body()), "ok")
				return
			}
			is.Equal(OutcomeOf(err), OutcomeUnknown)
		})
	}
}

// TestStrayBytesEndTheConnection has a target that sends a second answer to
// the first request: nobody gets it.
func TestStrayBytesEndTheConnection(t *testing.T) {
	is := is.New(t)
	stray := make(chan struct{})
	address := target(t, func(n int, conn net.Conn, r *bufio.Reader) {
		for {
			h, ok := header(r)
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
	resp, err := do(f, "/1")
	is.NoErr(err)
	is.Equal(string(resp.Body()), "/1")
	<-stray
	for i := range 20 {
		resp, err = do(f, "/2")
		t.Logf("%d: %q %v", i, resp.Body(), err)
		is.True(err != nil || string(resp.Body()) == "/2")
	}
}

// TestClosedIdleConnectionCostsNothing has a target that closes each
// connection after one answer without saying so.
func TestClosedIdleConnectionCostsNothing(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{}, 100)
	address := target(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		header(r)
		_, _ = io.WriteString(conn, whole)
		_ = conn.Close()
		closed <- struct{}{}
	})
	f := &Forwarder{Address: address, MaxConnections: 2}
	for range 20 {
		_, err := do(f, "/")
		is.NoErr(err)
		<-closed
		for limit := time.Now().Add(patience); time.Now().Before(limit); {
			f.mu.Lock()
			n := f.open
			f.mu.Unlock()
			if n == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// TestCancelClosesTheConnection ends the wait of a request whose caller left.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	got, gone := make(chan struct{}), make(chan struct{})
	address := target(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		header(r)
		close(got)
		_, _ = r.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-got
		cancel()
	}()
	err := (&Forwarder{Address: address}).Do(ctx, request("/"), &fasthttp.Response{}, time.Now().Add(patience))
	is.True(IsKind(err, KindCancelled))
	select {
	case <-gone:
	case <-time.After(patience):
		t.Fatal("the connection stayed open")
	}
	cancelled, stop := context.WithCancel(context.Background())
	stop()
	err = (&Forwarder{Address: address}).Do(cancelled, request("/"), &fasthttp.Response{}, time.Now().Add(patience))
	is.Equal(OutcomeOf(err), OutcomeNotRun) // nothing was sent
}

// TestAnswerBeforeTheBody has a target that answers before it has read a long
// body: the answer counts, and the connection carries nothing else.
func TestAnswerBeforeTheBody(t *testing.T) {
	is := is.New(t)
	address := target(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		header(r)
		_, _ = io.WriteString(conn, whole)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r)
	})
	req := request("/")
	req.Header.SetMethod("POST")
	req.SetBody(make([]byte, 16<<20))
	resp := &fasthttp.Response{}
	f := &Forwarder{Address: address, MaxConnections: 1}
	is.NoErr(f.Do(context.Background(), req, resp, time.Now().Add(patience)))
	is.Equal(string(resp.Body()), "ok")
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(len(f.idle), 0)
}

// TestPathsAreLeftAlone sends paths that a normalizing client would change.
func TestPathsAreLeftAlone(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 1)
	address := target(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		h, _ := header(r)
		seen <- h
		_, _ = io.WriteString(conn, whole)
	})
	for _, path := range []string{"/a//b/../c?x=1&y=%2F", "/%41/%7e?"} {
		_, err := do(&Forwarder{Address: address}, path)
		is.NoErr(err)
		is.True(strings.HasPrefix(<-seen, "GET "+path+" HTTP/1.1\r\n"))
	}
}
