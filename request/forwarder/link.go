package forwarder

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
	// idleMargin is how long before the peer's own idle timeout a connection is no longer used.
	idleMargin = 1500 * time.Millisecond
	leastIdle  = 500 * time.Millisecond
)

// call is one request that is out on a connection.
type call struct {
	req    *fasthttp.Request
	resp   *fasthttp.Response
	stream bool
	passed chan struct{} // passed is closed when a streamed body was passed on.
	link   *link
	sent   bool // sent means that bytes of the request may be on their way; link.mu guards it.

	signed atomic.Bool // signed means that the peer has shown that it has the request.
	silent func() bool // silent, when set, is asked what to do without a sign.

	done chan error // done gets one value: how the answer ended.
}

// link is one connection with its reader.
type link struct {
	owner *Forwarder
	conn  net.Conn
	br    *bufio.Reader
	bw    *bufio.Writer

	metered bool  // metered means that what arrives stays in memory until the answer ends; the reader's own.
	held    int64 // held is in bytes, the reader's own.

	mu       sync.Mutex
	current  *call
	writing  bool
	closed   bool
	idleTill time.Time // idleTill is the deadline after which the peer may close the connection.
	lifetime time.Duration
}

func newLink(f *Forwarder, conn net.Conn) *link {
	l := &link{owner: f, conn: conn, lifetime: defaultIdle, bw: bufio.NewWriterSize(conn, writeBufferBytes)}
	l.br = bufio.NewReaderSize(meteredReader{l}, readBufferBytes)
	return l
}

// reading is the number of bytes of unfinished answers that this process holds.
var reading atomic.Int64

// meteredReader reads a link's connection and gives up an answer without end
// before it takes the memory of others.
type meteredReader struct{ link *link }

// Read implements io.Reader.
func (m meteredReader) Read(p []byte) (int, error) {
	l := m.link
	if !l.metered {
		return l.conn.Read(p)
	}
	if all := reading.Load(); all > MaxBufferedBytes && l.held > fairAnswer {
		return 0, errors.Errorf("%d bytes of this answer and %d of all have come without an end", l.held, all)
	}
	n, err := l.conn.Read(p)
	l.held += int64(n)
	reading.Add(int64(n))
	return n, err
}

// meter counts what arrives until the returned function is called.
func (l *link) meter() (stop func()) {
	l.metered = true
	return func() {
		reading.Add(-l.held)
		l.metered, l.held = false, 0
	}
}

// begin puts a call on the connection unless it is closed or about to be.
func (l *link) begin(c *call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || (!l.idleTill.IsZero() && time.Now().After(l.idleTill)) {
		return false
	}
	l.current, l.writing, c.sent = c, true, false
	return true
}

// send writes the request. The path and the headers go out as they are.
func (l *link) send(c *call, deadline time.Time) {
	l.mu.Lock()
	c.sent = !l.closed
	l.mu.Unlock()
	if !c.sent {
		return
	}
	_ = l.conn.SetWriteDeadline(deadline)
	body := c.req.Body()
	if len(body) > 0 || !(c.req.Header.IsGet() || c.req.Header.IsHead()) {
		c.req.Header.SetContentLength(len(body))
	}
	err := c.req.Header.Write(l.bw)
	if err == nil && len(body) > 0 {
		_, err = l.bw.Write(body)
	}
	if err == nil {
		err = l.bw.Flush()
	}
	l.mu.Lock()
	l.writing = false
	l.mu.Unlock()
	if err != nil {
		l.close() // The reader ends the call.
	}
}

// read reads answers until the connection ends.
func (l *link) read() {
	for {
		_, err := l.br.Peek(1)
		c := l.take()
		if c == nil {
			l.close()
			return
		}
		reusable := false
		if err == nil {
			reusable, err = l.answer(c)
		}
		if err != nil {
			l.close()
			l.finish(c, l.unlessUnsent(c, err))
			return
		}
		if !reusable || !l.rest() {
			l.close()
			l.finish(c, nil)
			return
		}
		l.owner.put(l)
		l.finish(c, nil)
	}
}

// take returns the call that is out, nil when nobody waits for an answer.
func (l *link) take() *call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// unlessUnsent returns errNotSent in place of err if the request was never
// written. The connection is closed.
func (l *link) unlessUnsent(c *call, err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.sent {
		return errNotSent
	}
	return err
}

// finish ends a call; a streamed one has been told already.
func (l *link) finish(c *call, err error) {
	if !c.stream || err != nil {
		select {
		case c.done <- err:
		default:
		}
	}
}

// answer reads one answer. The connection can be used again when the peer
// keeps it and the answer had an end of its own.
func (l *link) answer(c *call) (bool, error) {
	h := &c.resp.Header
	for interims := 0; ; interims++ {
		if interims > mostInterims {
			return false, errors.Errorf("more than %d interim answers", mostInterims)
		}
		if err := h.Read(l.br); err != nil {
			return false, errors.Wrap(err, "read the answer's header")
		}
		c.signed.Store(true)
		if h.StatusCode() >= fasthttp.StatusOK || h.StatusCode() == fasthttp.StatusSwitchingProtocols {
			break
		}
	}
	framed := h.ContentLength() != -2
	l.learnLifetime(h)
	reusable := framed && !h.ConnectionClose() && h.IsHTTP11()
	if c.req.Header.IsHead() || h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified {
		c.resp.SkipBody = true
		c.tellStream()
		return reusable, nil
	}
	if c.stream {
		return reusable, l.pass(c)
	}
	defer l.meter()()
	if err := c.resp.ReadBody(l.br, MaxResponseBytes); err != nil {
		return false, errors.Wrap(err, "read the answer's body")
	}
	if h.ContentLength() == -1 {
		if err := h.ReadTrailer(l.br); err != nil {
			return false, errors.Wrap(err, "read the answer's trailer")
		}
	}
	return reusable, nil
}

func (c *call) tellStream() {
	if c.stream {
		c.done <- nil
	}
}

// pass lets the caller read the body itself and waits for its end.
func (l *link) pass(c *call) error {
	c.resp.StreamBody = true
	if err := c.resp.ReadBody(l.br, 0); err != nil {
		return err
	}
	c.tellStream()
	<-c.passed
	return nil
}

// learnLifetime reads how long the peer keeps an idle connection.
func (l *link) learnLifetime(h *fasthttp.ResponseHeader) {
	value := string(h.Peek("Keep-Alive"))
	if value == "" {
		return
	}
	for part := range strings.SplitSeq(value, ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		n, err := strconv.Atoi(seconds)
		if ok && err == nil && n > 0 {
			l.lifetime = max(time.Duration(n)*time.Second-idleMargin, leastIdle)
		}
	}
}

// rest makes the connection idle. It is false when bytes are left over, the
// request is still being written, or the connection is closed.
func (l *link) rest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.writing || l.br.Buffered() > 0 {
		return false
	}
	l.current = nil
	l.idleTill = time.Now().Add(l.lifetime)
	return true
}

// close ends the connection; the reader ends what is out on it.
func (l *link) close() {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	if closed {
		return
	}
	_ = l.conn.Close()
	l.owner.forget(l)
}

// streamBody reads the body of a streamed answer. It implements
// fasthttp.ReadCloserWithError, so that a connection whose body was not read
// to its end is closed and not used again.
type streamBody struct {
	call *call
	done func()
	err  error
}

// Read implements io.Reader.
func (b *streamBody) Read(p []byte) (int, error) {
	_ = b.call.link.conn.SetReadDeadline(time.Now().Add(StallTimeout))
	n, err := b.call.resp.BodyStream().Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// Close does nothing: CloseWithError follows.
func (b *streamBody) Close() error { return nil }

// CloseWithError ends the answer; its connection too unless the body was read
// to its end.
func (b *streamBody) CloseWithError(error) error {
	if b.call == nil {
		return nil
	}
	if b.err != io.EOF {
		b.call.link.close()
	}
	_ = b.call.link.conn.SetReadDeadline(time.Time{})
	_ = b.call.resp.CloseBodyStream()
	close(b.call.passed)
	b.call = nil
	b.done()
	return nil
}
