package acceptor

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

var errBody = errors.New("the body ends early")

// failingBody is a body that ends with an error after its text.
type failingBody struct {
	text io.Reader
	err  error
}

func (b *failingBody) Read(p []byte) (int, error) {
	n, err := b.text.Read(p)
	if err == io.EOF {
		err = b.err
	}
	return n, err
}

// TestFailedBodyEndsTheConnection guards against a response whose body fails and that
// looks complete to the caller, or is completed by the bytes of the response behind it.
func TestFailedBodyEndsTheConnection(t *testing.T) {
	short, long := "half", strings.Repeat("half", 5000)
	rows := []struct {
		name, text string
		length     int // length is the declared length, -1 for chunks.
		err        error
	}{
		{"chunks, error", short, -1, errBody},
		{"chunks, long, error", long, -1, errBody},
		{"chunks, nothing, error", "", -1, errBody},
		{"length, error", short, len(short) + 100, errBody},
		{"length, long, error", long, len(long) + 100, errBody},
		{"length, nothing, error", "", 100, errBody},
		{"length, too short", short, len(short) + 100, io.EOF},
		{"length, long, too short", long, len(long) + 100, io.EOF},
		{"length, unexpected end", short, len(short) + 100, io.ErrUnexpectedEOF},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			address := start(t, &Server{Handler: func(x *Exchange) {
				if string(x.Request.Header.RequestURI()) == "/1" {
					x.Response.SetBodyStream(&failingBody{strings.NewReader(row.text), row.err}, row.length)
					return
				}
				x.Response.SetBodyString(strings.Repeat("second", 100))
			}})
			conn := dial(t, address, get("/1")+get("/2")+get("/3"))
			var all strings.Builder
			r := bufio.NewReader(io.TeeReader(conn, &all))
			if resp, err := http.ReadResponse(r, nil); err == nil {
				_, err = io.ReadAll(resp.Body)
				is.True(err != nil) // the response does not look complete
			}
			_, _ = io.Copy(io.Discard, r)
			is.True(!strings.Contains(all.String(), "second"))
			is.True(strings.Count(all.String(), "HTTP/1.1 ") <= 1)
		})
	}
}

// TestCutRequestIsNotHandled guards against a request that is cut within its header or
// its body and handled all the same. It is cut behind every byte, and the caller then
// closes the connection, a half of it, or resets it.
func TestCutRequestIsNotHandled(t *testing.T) {
	texts := []string{
		"GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\nhello, world",
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n1A\r\n, world, hello and goodbye\r\n0\r\nX-Sum: 1\r\n\r\n",
	}
	ends := []func(conn *net.TCPConn){
		func(conn *net.TCPConn) { _ = conn.CloseWrite() },
		func(conn *net.TCPConn) { _ = conn.Close() },
		func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
	}
	is := is.New(t)
	var handled atomic.Int64
	address := start(t, &Server{Handler: func(*Exchange) { handled.Add(1) }})
	for _, text := range texts {
		for n := 1; n < len(text); n++ {
			for _, end := range ends {
				conn := dial(t, address, text[:n])
				end(conn.(*net.TCPConn))
			}
		}
		conn := dial(t, address, text)
		is.Equal(readResponse(t, bufio.NewReader(conn)), "") // a whole request is handled
	}
	time.Sleep(50 * time.Millisecond) // A cut request could still be handled.
	is.Equal(handled.Load(), int64(len(texts)))
}

// TestResponseToUnfinishedRequestIsWhole guards against a response that reaches a caller
// which is still sending its request as a part, or not at all: the server rejects a body by
// its length, or a chunk of it, and does not wait for the rest.
func TestResponseToUnfinishedRequestIsWhole(t *testing.T) {
	const bodyBytes = 8 << 20
	chunk := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	rows := []struct{ name, head, piece string }{
		{"length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8388608\r\n\r\n", strings.Repeat("x", 0x10000)},
		{"chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			address := start(t, &Server{Handler: func(*Exchange) {}})
			for range 10 {
				conn := dial(t, address, row.head)
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					for n := 0; n < bodyBytes; n += len(row.piece) {
						if _, err := io.WriteString(conn, row.piece); err != nil {
							return
						}
					}
				}()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.True(resp.ContentLength > 0) // a part would show as such
				is.Equal(int64(len(body)), resp.ContentLength)
				is.NoErr(conn.Close())
				<-sent
			}
		})
	}
}
