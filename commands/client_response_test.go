package commands

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// startControlHost starts a stand-in control host that reads the head of each request,
// sends the text and runs end on the connection, which it then closes. It returns its
// address.
func startControlHost(t *testing.T, text string, end func(conn *net.TCPConn)) string {
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
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, text)
					end(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestBrokenResponseOfControlHost guards against a broken response of a control host that
// hornbeamctl takes for a whole one.
func TestBrokenResponseOfControlHost(t *testing.T) {
	endSide := func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) }
	reset := func(conn *net.TCPConn) { time.Sleep(20 * time.Millisecond); _ = conn.SetLinger(0) }
	upload := make([]byte, 8<<20)
	rows := []struct {
		name, text string
		body       []byte
		end        func(conn *net.TCPConn)
		complete   bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", nil, endSide, true},
		{"whole, in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-A: 1\r\n\r\n", nil, endSide, true},
		{"whole, no length", "HTTP/1.1 200 OK\r\n\r\n{}", nil, endSide, true},
		{"whole, before the request is sent", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", upload, endSide, true},
		{"no length, reset", "HTTP/1.1 200 OK\r\n\r\n{}", nil, reset, false},
		{"no length, reset before the request is sent", "HTTP/1.1 200 OK\r\n\r\n{}", upload, reset, false},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", nil, endSide, false},
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}", nil, endSide, false},
		{"status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\n{}", nil, endSide, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 2\r\n\r\n{}", nil, endSide, false},
		{"blank behind a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", nil, endSide, false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01A: 1\r\nContent-Length: 2\r\n\r\n{}", nil, endSide, false},
		{"blank in a name, interim response", "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", nil, endSide, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			method := fasthttp.MethodGet
			if row.body != nil {
				method = fasthttp.MethodPost
			}
			status, body, err := (&clientOptions{}).send(method, startControlHost(t, row.text, row.end), "/v1/sections", row.body)
			t.Logf("status %d, body %q, %v", status, body, err)
			is.Equal(err == nil, row.complete)
			if row.complete {
				is.Equal(status, fasthttp.StatusOK)
				is.Equal(string(body), "{}")
			}
		})
	}
}
