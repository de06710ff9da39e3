package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const patience = 5 * time.Second

// start serves a handler and returns the address.
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

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func await(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patience):
		t.Fatal("waited in vain: " + what)
	}
}

// TestHangUpIsNoticed closes a connection while its request is worked on, once
// with another request already behind it.
func TestHangUpIsNoticed(t *testing.T) {
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
		await(t, gone, "the hang-up is noticed")
	}
}

// TestPipelinedRequestsRunTogether has a first request that ends only after
// the second: they run side by side and are answered in order.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	address := start(t, &Server{Handler: func(x *Exchange) {
		path := string(x.Request.Header.RequestURI())
		if path == "/1" {
			<-second
		} else {
			close(second)
		}
		x.Response.SetBodyString("answer to " + path)
	}})
	conn := dial(t, address, get("/1")+get("/2"))
	r := bufio.NewReader(conn)
	for _, path := range []string{"/1", "/2"} {
		body := readAnswer(t, r)
		is.Equal(body, "answer to "+path)
	}
}

// readAnswer reads one answer with a length.
func readAnswer(t *testing.T, r *bufio.Reader) string {
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

// TestTurnWaitsForEarlierAnswers makes sure that what must not run twice can
// wait until no answer before it can still close the connection.
func TestTurnWaitsForEarlierAnswers(t *testing.T) {
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
	is.Equal(readAnswer(t, r), "")
	is.Equal(readAnswer(t, r), "")
	is.Equal(<-early, false)
}

// TestDrainClosesAfterTheLastAnswer lets a server drain while two requests are
// open on a connection: both are answered, only the last one closes.
func TestDrainClosesAfterTheLastAnswer(t *testing.T) {
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

// TestLimits sends what the limits do not allow.
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
