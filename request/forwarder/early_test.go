package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// uploadBytes is more than the socket buffers of both sides hold, so that a target that
	// stops reading leaves the upload unfinished.
	uploadBytes = 8 << 20
	// earlyReadBytes is the part of an upload that a target reads before it responds.
	earlyReadBytes = 1000
	earlyRounds    = 10
)

// newUpload returns a request with a body of uploadBytes.
func newUpload() *fasthttp.Request {
	req := newRequest("/")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(make([]byte, uploadBytes))
	return req
}

// startEarlyTarget starts a target that reads a part of an upload, sends the text and runs
// end on the connection, which it then closes.
func startEarlyTarget(t *testing.T, text string, end func(conn *net.TCPConn)) string {
	t.Helper()
	return startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, ok := readHeader(r); !ok {
			return
		}
		_, _ = io.CopyN(io.Discard, r, earlyReadBytes)
		_, _ = io.WriteString(conn, text)
		end(conn.(*net.TCPConn))
	})
}

// resetAfter returns an end that lets the response arrive and then resets the connection.
func resetAfter(wait time.Duration) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		time.Sleep(wait)
		_ = conn.SetLinger(0)
	}
}

// upload sends an upload to the address and returns what its caller gets.
func upload(address string, stream bool) received { return send(address, newUpload(), stream) }

// send sends a request to the address and returns what its caller gets.
func send(address string, req *fasthttp.Request, stream bool) received {
	return sendBefore(address, req, stream, time.Now().Add(testTimeout))
}

// sendBefore does the same with a deadline.
func sendBefore(address string, req *fasthttp.Request, stream bool, deadline time.Time) received {
	f := &Forwarder{Address: address, MaxConnections: 1}
	var resp fasthttp.Response
	if !stream {
		if f.Do(context.Background(), req, &resp, deadline, Identity{}) != nil {
			return received{}
		}
		return received{true, resp.StatusCode(), string(resp.Body())}
	}
	if f.Stream(context.Background(), req, &resp, deadline, Identity{}, func() {}) != nil {
		return received{}
	}
	body, err := io.ReadAll(resp.BodyStream())
	_ = resp.CloseBodyStream()
	return received{err == nil, resp.StatusCode(), string(body)}
}

// TestResetDuringUploadIsIncomplete guards against a part of a response that is passed on
// as complete: a target responds without a length while the upload is still being written,
// and resets the connection. The kernel reports the reset once, to the first system call:
// the write, and then the read returns the end of the connection.
func TestResetDuringUploadIsIncomplete(t *testing.T) {
	rows := []struct{ name, text string }{
		{"no length", "HTTP/1.1 200 OK\r\n\r\npart"},
		{"no length, closes", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"},
		{"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart"},
		{"no length, no body yet", "HTTP/1.1 200 OK\r\n\r\n"},
		{"length, cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"},
		{"chunks, cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
	}
	for _, row := range rows {
		for _, stream := range []bool{false, true} {
			for _, wait := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				complete := 0
				address := startEarlyTarget(t, row.text, resetAfter(wait))
				for range earlyRounds {
					if upload(address, stream).complete {
						complete++
					}
				}
				if complete > 0 {
					t.Errorf("%s, stream %t, reset after %s: complete in %d of %d uploads", row.name, stream, wait, complete, earlyRounds)
				}
			}
		}
	}
}

// failingUploadConn is a connection on which a long request is being written when the peer
// ends it: the write returns its error only once the writing is stopped, so that the read
// returns the end of the connection first.
type failingUploadConn struct {
	scriptedConn
	writeErr error
	writing  chan struct{} // writing is closed when the request is being written.
	stopped  chan struct{} // stopped is closed when the writing is stopped.
	begin    sync.Once
	stop     sync.Once
}

func newFailingUploadConn(raw string, writeErr error) *failingUploadConn {
	return &failingUploadConn{
		scriptedConn: scriptedConn{rest: []byte(raw), piece: len(raw)}, writeErr: writeErr,
		writing: make(chan struct{}), stopped: make(chan struct{}),
	}
}

func (c *failingUploadConn) Read(p []byte) (int, error) {
	<-c.writing
	return c.scriptedConn.Read(p)
}

func (c *failingUploadConn) Write(p []byte) (int, error) {
	c.begin.Do(func() { close(c.writing) })
	<-c.stopped
	if c.writeErr != nil {
		return 0, &net.OpError{Op: "write", Err: c.writeErr}
	}
	return len(p), nil
}

func (c *failingUploadConn) SetWriteDeadline(t time.Time) error {
	if !t.After(time.Now()) {
		c.stop.Do(func() { close(c.stopped) })
	}
	return nil
}

func (c *failingUploadConn) Close() error { return c.SetWriteDeadline(time.Time{}) }

// TestFailedWriteDecidesOnTheEnd guards against the same fault whatever the order in which
// the reader and the writer run: the end of the connection completes a response without a
// length unless the write shows that the connection has failed.
func TestFailedWriteDecidesOnTheEnd(t *testing.T) {
	rows := []struct {
		name     string
		writeErr error
		complete bool
	}{
		{"sent", nil, true},
		{"stopped", os.ErrDeadlineExceeded, true},
		{"reset after the end", syscall.EPIPE, true},
		{"reset", syscall.ECONNRESET, false},
		{"not acknowledged", syscall.ETIMEDOUT, false},
		{"unreachable", syscall.EHOSTUNREACH, false},
	}
	for _, row := range rows {
		for _, stream := range []bool{false, true} {
			for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\n\r\n"} {
				conn := newFailingUploadConn(text, row.writeErr)
				c := newCallState(call{req: newUpload(), resp: &fasthttp.Response{}, stream: stream})
				c.conn = newPersistConn(&Forwarder{openCount: 1}, conn)
				c.conn.begin(c)
				go c.conn.send(c, time.Now().Add(testTimeout))
				go c.conn.readLoop()
				if got := receive(c); got.complete != row.complete {
					t.Errorf("%s, stream %t, %q: got %+v, want complete %t", row.name, stream, text, got, row.complete)
				}
			}
		}
	}
}

// TestEarlyResponseStaysWhole guards against a complete response that is lost because the
// target sent it before it had read the request, and then ended its side, or all of the
// connection, while the upload was still being written.
func TestEarlyResponseStaysWhole(t *testing.T) {
	endSide := func(conn *net.TCPConn) { _ = conn.CloseWrite() }
	framed := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	}
	all := append([]string{"HTTP/1.1 200 OK\r\n\r\nwhole", "HTTP/1.0 200 OK\r\n\r\nwhole"}, framed...)
	rows := []struct {
		name  string
		texts []string
		end   func(conn *net.TCPConn)
	}{
		{"ends its side, reads the rest", all, func(conn *net.TCPConn) {
			endSide(conn)
			_, _ = io.Copy(io.Discard, conn)
		}},
		{"ends its side, resets later", all, func(conn *net.TCPConn) {
			endSide(conn)
			resetAfter(20 * time.Millisecond)(conn)
		}},
		{"ends its side, resets at once", all, func(conn *net.TCPConn) {
			endSide(conn)
			resetAfter(0)(conn)
		}},
		{"resets at once", framed, resetAfter(0)},
		{"closes with bytes unread", framed, func(*net.TCPConn) {}},
	}
	want := received{true, fasthttp.StatusOK, "whole"}
	for _, row := range rows {
		for _, text := range row.texts {
			for _, stream := range []bool{false, true} {
				whole := 0
				address := startEarlyTarget(t, text, row.end)
				for range earlyRounds {
					if got := upload(address, stream); got == want {
						whole++
					} else if got.complete {
						t.Errorf("%s, stream %t: got %+v", row.name, stream, got)
					}
				}
				if whole < earlyRounds {
					t.Errorf("%s, stream %t: whole in %d of %d uploads: %q", row.name, stream, whole, earlyRounds, text)
				}
			}
		}
	}
}

// TestDeadlineDuringUploadIsIncomplete guards against a part of a response that is passed
// on as complete because the writing of the upload ended at its deadline: a target responds
// without a length, reads nothing more, and leaves the connection open.
func TestDeadlineDuringUploadIsIncomplete(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	address := startEarlyTarget(t, "HTTP/1.1 200 OK\r\n\r\npart", func(*net.TCPConn) { <-ended })
	for _, stream := range []bool{false, true} {
		for range earlyRounds {
			if got := sendBefore(address, newUpload(), stream, time.Now().Add(100*time.Millisecond)); got.complete {
				t.Errorf("stream %t: got %+v", stream, got)
			}
		}
	}
}

// TestStalledUploadIsIncomplete guards against the same without a reset: a target responds
// without a length, and then neither reads nor closes. The kernel gives the connection up
// after unackedTimeout, which it reports to the write.
func TestStalledUploadIsIncomplete(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	address := startEarlyTarget(t, "HTTP/1.1 200 OK\r\n\r\npart", func(*net.TCPConn) { <-ended })
	for _, stream := range []bool{false, true} {
		start := time.Now()
		got := upload(address, stream)
		t.Logf("stream %t: %+v after %s", stream, got, time.Since(start))
		if got.complete {
			t.Errorf("stream %t: got %+v", stream, got)
		}
	}
}
