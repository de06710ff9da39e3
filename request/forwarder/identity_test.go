package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const headerTestID = "X-Test-Id"

// identityOf returns the identity of a request whose response echoes the id.
func identityOf(id string) Identity {
	return Identity{Match: func(h *fasthttp.ResponseHeader) Match {
		switch string(h.Peek(headerTestID)) {
		case id:
			return MatchOwn
		case "":
			return MatchNone
		}
		return MatchForeign
	}}
}

// responseTo returns a response that names a request.
func responseTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + headerTestID + ": " + id + "\r\n" + body
}

// TestResponseToAnotherRequestIsNotPassedOn guards against a response to another request
// that a call returns. Each row writes a response before the right one.
func TestResponseToAnotherRequestIsNotPassedOn(t *testing.T) {
	const sized = "Content-Length: 5\r\n\r\nstray"
	rows := []struct {
		name, method, earlier string
		count                 int
		ok                    bool
	}{
		{"none", "GET", "", 0, true},
		{"one", "GET", responseTo("other", sized), 1, true},
		{"the most", "GET", responseTo("other", sized), maxForeignResponses, true},
		{"too many", "GET", responseTo("other", sized), maxForeignResponses + 1, false},
		{"chunked", "GET", responseTo("other", "Transfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n"), 1, true},
		{"without a body", "GET", "HTTP/1.1 204 No Content\r\n" + headerTestID + ": other\r\n\r\n", 1, true},
		{"after an interim response", "GET", "HTTP/1.1 102 Processing\r\n\r\n" + responseTo("other", sized), 1, true},
		{"naming no request", "GET", "HTTP/1.1 200 OK\r\n" + sized, 1, false},
		{"of unknown length", "GET", responseTo("other", "\r\nstray"), 1, false},
		{"before a response to HEAD", "HEAD", responseTo("other", sized), 1, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					if _, ok := readHeader(r); !ok {
						return
					}
					for range row.count {
						_, _ = io.WriteString(conn, row.earlier)
					}
					_, _ = io.WriteString(conn, responseTo("own", "Content-Length: 2\r\n\r\nok"))
				}
			})
			f := &Forwarder{Address: address, MaxConnections: 1}
			for range 2 {
				req, resp := newRequest("/"), &fasthttp.Response{}
				req.Header.SetMethod(row.method)
				err := f.Do(context.Background(), req, resp, time.Now().Add(testTimeout), identityOf("own"))
				t.Logf("%q %v", resp.Body(), err)
				is.Equal(err == nil, row.ok)
				if !row.ok {
					is.True(IsKind(err, KindUnmatched))
					is.Equal(OutcomeOf(err), OutcomeUnknown)
					continue
				}
				is.Equal(string(resp.Body()), "ok")
				is.Equal(string(resp.Header.Peek(headerTestID)), "own")
			}
		})
	}
}

// TestStreamSkipsResponseToAnotherRequest guards against the body of another response in
// a stream.
func TestStreamSkipsResponseToAnotherRequest(t *testing.T) {
	is := is.New(t)
	address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		readHeader(r)
		_, _ = io.WriteString(conn, responseTo("other", "Content-Length: 5\r\n\r\nstray"))
		_, _ = io.WriteString(conn, responseTo("own", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	})
	f := &Forwarder{Address: address, MaxConnections: 1}
	resp, ended := &fasthttp.Response{}, make(chan struct{})
	is.NoErr(f.Stream(context.Background(), newRequest("/"), resp, time.Now().Add(testTimeout), identityOf("own"), func() { close(ended) }))
	body, err := io.ReadAll(resp.BodyStream())
	is.NoErr(err)
	is.NoErr(resp.CloseBodyStream())
	<-ended
	is.Equal(string(body), "ok")
}

// TestRejectionsOfAConnectionAreBounded guards against a set of rejected requests that
// grows with each rejection, and against a new connection for each of them.
func TestRejectionsOfAConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	var connections atomic.Int64
	address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		connections.Add(1)
		for {
			if _, ok := readHeader(r); !ok {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	})
	f := &Forwarder{Address: address, MaxConnections: 1}
	rejected := func(*fasthttp.ResponseHeader) Match { return MatchRejected }
	for i := range 3 * maxRejections {
		id := Identity{ID: strconv.Itoa(i), Match: rejected}
		is.NoErr(f.Do(context.Background(), newRequest("/"), &fasthttp.Response{}, time.Now().Add(testTimeout), id))
		f.mu.Lock()
		for _, pc := range f.idle {
			is.True(len(pc.rejections) < maxRejections)
		}
		f.mu.Unlock()
	}
	is.Equal(connections.Load(), int64(3))
}
