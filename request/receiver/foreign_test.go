package receiver

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/request/checker"
)

// serveOwner answers orders on one connection as an owner node does, each after the
// response to the order before it. It counts the orders that it has read.
func serveOwner(conn net.Conn, read func()) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	previous := ""
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		read()
		order := strings.Split(string(req.Header.Peek(checker.HeaderOrder)), ";")
		body := "answer to " + string(req.Header.RequestURI())
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: ran\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", checker.HeaderOutcome, checker.HeaderAttempt, order[9], len(body), body)
		_, _ = conn.Write([]byte(previous + response))
		previous = response
	}
}

// TestOwnerResponseToAnotherAttemptIsDiscarded guards against a request that is lost, and
// a connection that stays one response behind, after an owner node's response to another
// attempt.
func TestOwnerResponseToAnotherAttemptIsDiscarded(t *testing.T) {
	is := is.New(t)
	a, b := newNode(t, "a", &claims{}), &node{name: "b", targets: &registrar.Registrar{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	orders := make(chan struct{}, 100)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveOwner(conn, func() { orders <- struct{}{} })
		}
	}()
	b.peer = l.Addr().String()
	announce(t, b, "t1", "127.0.0.1:1")
	publishTable(t, 1, a, b)
	for i := range 4 {
		path := fmt.Sprintf("/deposits/%d", i)
		got := call(t, a.entry, "POST", path, "")
		is.Equal(got, response{200, "ran", "", "answer to " + path})
		is.Equal(len(orders), i+1)
	}
}
