package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	writeBufferBytes = 4 << 10
	discardBytes     = 1 << 10
)

// conn is one connection of a peer.
type conn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	bw     *bufio.Writer // bw belongs to the exchange whose turn it is.
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{} // slots bounds the exchanges that are open.
	ended  chan struct{} // ended is closed when no further answer is written.
	work   sync.WaitGroup

	mu      sync.Mutex
	pending int
	closing bool // closing means that no further request is taken.
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		server: s, nc: nc, ctx: ctx, cancel: cancel, bw: bufio.NewWriterSize(nc, writeBufferBytes),
		slots: make(chan struct{}, pipelineDepth), ended: make(chan struct{}),
	}
}

// serve reads requests until the peer hangs up or the connection closes.
func (c *conn) serve() {
	defer c.server.remove(c)
	c.br = bufio.NewReaderSize(c.nc, c.server.limits().HeaderBytes)
	c.readRequests()
	c.cancel()
	c.work.Wait()
	_ = c.nc.Close()
}

// stop closes a connection at the end of the server.
func (c *conn) stop() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	_ = c.nc.SetReadDeadline(time.Now())
}

// readRequests hands requests to the handler, and returns when the peer is
// gone or nothing more is to be read.
func (c *conn) readRequests() {
	turn := make(chan struct{})
	close(turn)
	for {
		if !c.awaitRequest() {
			return
		}
		x := &Exchange{conn: c, ctx: c.ctx, turn: turn, next: make(chan struct{})}
		turn = x.next
		status, err := c.read(x)
		if err != nil && status == 0 {
			c.hungUp()
			return
		}
		if !c.enter() {
			_ = c.nc.SetReadDeadline(time.Now().Add(closeGrace))
			c.awaitHangUp()
			return
		}
		x.ReceivedAt = time.Now()
		if err != nil {
			c.server.malformed(&x.Response, status, err.Error())
			x.closes, x.refused = true, true
		}
		last := x.closes
		if last {
			_ = c.nc.SetReadDeadline(time.Time{})
		}
		c.slots <- struct{}{}
		c.work.Go(func() { c.handle(x) })
		if last {
			c.awaitHangUp()
			return
		}
	}
}

// handle runs the handler on one exchange and writes its answer when its turn
// has come. Without a pipeline that is at once, with no other goroutine.
func (c *conn) handle(x *Exchange) {
	if !x.refused {
		c.server.Handler(x)
	}
	select {
	case <-x.turn:
		c.writeAnswer(x)
	case <-c.ended:
	}
	_ = x.Response.CloseBodyStream()
	c.leave()
	<-c.slots
}

// awaitRequest waits for the first byte of a request. It is false when there
// will be none.
func (c *conn) awaitRequest() bool {
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(c.server.limits().IdleTimeout))
		if c.isClosing() {
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if isTimeout(err) && !c.isClosing() && c.busy() {
			continue
		}
		c.hungUp()
		return false
	}
}

// awaitHangUp watches a connection that ends with an answer which is still due.
func (c *conn) awaitHangUp() {
	buf := make([]byte, discardBytes)
	for {
		if _, err := c.br.Read(buf); err != nil {
			c.hungUp()
			return
		}
	}
}

// hungUp cancels what the peer no longer waits for.
func (c *conn) hungUp() {
	if c.busy() {
		hangUpsTotal.Inc()
	}
	c.cancel()
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

// enter counts an exchange in. It is false when an answer that closes the
// connection was sent meanwhile.
func (c *conn) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	c.server.open.Add(1)
	c.server.last.Store(time.Now().UnixNano())
	return true
}

// read reads one request. A status other than zero is the answer to a request
// that cannot be read; without one the peer is gone.
func (c *conn) read(x *Exchange) (int, error) {
	l := c.server.limits()
	_ = c.nc.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	if err := x.Request.Header.Read(c.br); err != nil {
		return statusOf(err, fasthttp.StatusRequestHeaderFieldsTooLarge), err
	}
	x.closes = x.Request.Header.ConnectionClose()
	if x.Request.MayContinue() {
		if err := c.allowBody(); err != nil {
			return 0, err
		}
		x.Request.Header.Del(fasthttp.HeaderExpect)
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	if err := x.Request.ContinueReadBody(c.br, l.BodyBytes, false); err != nil {
		return statusOf(err, fasthttp.StatusRequestEntityTooLarge), err
	}
	return 0, nil
}

// allowBody asks for the body of a request that waits for permission.
func (c *conn) allowBody() error {
	if c.busy() {
		return nil // The answer to come first would be mistaken for this one.
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// statusOf tells what to answer to a request that cannot be read, 0 when there
// is nobody to answer to.
func statusOf(err error, tooLarge int) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small), errors.Is(err, fasthttp.ErrBodyTooLarge):
		return tooLarge
	case isTimeout(err):
		return fasthttp.StatusRequestTimeout
	case isGone(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func isGone(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &op)
}

func isTooMany(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// writeAnswer writes an answer and gives the turn to the next, or ends the
// connection.
func (c *conn) writeAnswer(x *Exchange) {
	last := c.isLast(x)
	err := x.write(c.bw, last)
	if err == nil && !last {
		close(x.next)
		return
	}
	close(c.ended)
	c.cancel()
	if err == nil {
		c.closeGently()
		return
	}
	_ = c.nc.Close()
}

// isLast decides whether the connection ends with this answer: when the peer
// or the handler wants it, or the server stops and nothing is queued behind.
func (c *conn) isLast(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.closes || c.server.draining.Load() && c.pending == 1 {
		c.closing = true
	}
	return c.closing && (x.closes || c.pending == 1)
}

func (c *conn) leave() {
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
	c.server.open.Add(-1)
}

// closeGently ends the sending side and lets the peer close the other, since
// closing with unread bytes would reset the answer.
func (c *conn) closeGently() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(closeGrace))
}
