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

	"github.com/hornbeamrack/hornbeamrack/common/assembler"
)

const (
	writeBufferBytes = 4 << 10
	// maxWriteBytes is how much of a response writeTimeout is for.
	maxWriteBytes = 64 << 10
	discardBytes  = 1 << 10
	// idleCheckInterval is the maximum time until a changed idle timeout is in force on a
	// connection that is idle already.
	idleCheckInterval = 2 * time.Second
	// minIdleCheckInterval bounds how often a connection checks a short idle timeout while
	// a request is open.
	minIdleCheckInterval = 100 * time.Millisecond
)

// conn is one connection of a caller.
type conn struct {
	server         *Server
	nc             net.Conn
	in             requestReader
	bw             *bufio.Writer // bw is used by the exchange whose response is the next to be written.
	ctx            context.Context
	cancel         context.CancelFunc
	slots          chan struct{} // slots limits the open exchanges to its capacity.
	responsesEnded chan struct{} // responsesEnded is closed when no further response is written.
	handlers       sync.WaitGroup

	mu      sync.Mutex
	pending int
	closing bool // closing means that no further request is accepted.
	stopped bool // stopped means that the server has shut down.
	// idleSince is when the last exchange ended, or the connection was accepted.
	idleSince time.Time
}

func newConn(s *Server, nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		server: s, nc: nc, ctx: ctx, cancel: cancel, bw: bufio.NewWriterSize(responseWriter{nc}, writeBufferBytes),
		slots: make(chan struct{}, maxPipelinedRequests), responsesEnded: make(chan struct{}), idleSince: time.Now(),
	}
}

// serve reads requests until the caller disconnects or the connection is to be closed.
// Then it waits for the handlers and closes the connection.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	c.in.init(c.nc, &c.server.enlargedBytes)
	c.readRequests()
	c.in.release()
	c.cancel()
	c.handlers.Wait()
	_ = c.nc.Close()
}

// stop ends the reading of requests when the server shuts down.
func (c *conn) stop() {
	c.mu.Lock()
	c.closing, c.stopped = true, true
	c.mu.Unlock()
	_ = c.nc.SetReadDeadline(time.Now())
}

// readRequests reads requests and starts a handler for each. It returns when the
// caller has disconnected or no further request is to be read.
func (c *conn) readRequests() {
	previousSent := make(chan struct{})
	close(previousSent)
	for {
		if !c.awaitRequest() {
			return
		}
		x := &Exchange{conn: c, ctx: c.ctx, earlierSent: previousSent, sent: make(chan struct{})}
		previousSent = x.sent
		status, err := c.readRequest(x)
		if err != nil && status == 0 {
			x.releaseBody()
			c.peerDisconnected()
			return
		}
		if !c.beginExchange() {
			x.releaseBody()
			c.awaitLastResponse()
			return
		}
		x.ReceivedAt = time.Now()
		if err != nil {
			c.server.respondMalformed(&x.Response, status, err.Error())
			x.closeAfter, x.malformed = true, true
		}
		last := x.closeAfter
		if last {
			_ = c.nc.SetReadDeadline(time.Time{})
		}
		c.slots <- struct{}{}
		c.handlers.Go(func() { c.handle(x) })
		if last {
			c.awaitDisconnect()
			return
		}
	}
}

// handle runs the handler for one exchange and writes the response after all earlier
// ones. Without pipelining that is at once and needs no other goroutine.
func (c *conn) handle(x *Exchange) {
	if !x.malformed {
		c.server.Handler(x)
	}
	select {
	case <-x.earlierSent:
		c.writeResponse(x)
	case <-c.responsesEnded:
	}
	_ = x.Response.CloseBodyStream()
	x.releaseBody()
	c.endExchange()
	<-c.slots
}

// awaitRequest waits for the first byte of a request. It returns false when the
// connection is closing, disconnected or idle for too long. The limit may change while it
// waits, so it reads the limit again every idleCheckInterval.
func (c *conn) awaitRequest() bool {
	for {
		now := time.Now()
		wait := c.idleUntil(now).Sub(now)
		_ = c.nc.SetReadDeadline(now.Add(min(max(wait, minIdleCheckInterval), idleCheckInterval)))
		if c.isClosing() {
			c.awaitLastResponse()
			return false
		}
		err := c.in.awaitByte()
		if err == nil {
			return true
		}
		if !isTimeout(err) || c.isIdleTooLong(time.Now()) {
			c.peerDisconnected()
			return false
		}
	}
}

// idleUntil returns when the connection has been idle for too long, if no exchange is open
// until then. While one is open, the idle time begins at now.
func (c *conn) idleUntil(now time.Time) time.Time {
	timeout := c.server.limits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 {
		return now.Add(timeout)
	}
	return c.idleSince.Add(timeout)
}

// isIdleTooLong reports whether the connection has been idle for too long at now. It never
// is while an exchange is open.
func (c *conn) isIdleTooLong(now time.Time) bool { return !now.Before(c.idleUntil(now)) }

// awaitLastResponse discards input while the last response of a closing connection is
// written, and then until the caller disconnects or lingerTimeout is over. It cancels the
// open exchanges only when the caller has disconnected or the server has shut down.
func (c *conn) awaitLastResponse() {
	buf := make([]byte, discardBytes)
	for {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		if c.isStopped() {
			c.peerDisconnected()
			return
		}
		if !c.busy() {
			c.awaitDisconnect()
			return
		}
		if _, err := c.in.Read(buf); err != nil && !isTimeout(err) {
			c.peerDisconnected()
			return
		}
	}
}

// awaitDisconnect discards input until the caller disconnects. It is used when the
// connection ends with a response that is still to be written.
func (c *conn) awaitDisconnect() {
	buf := make([]byte, discardBytes)
	for {
		if _, err := c.in.Read(buf); err != nil {
			c.peerDisconnected()
			return
		}
	}
}

// peerDisconnected cancels the open exchanges of a caller that has disconnected.
func (c *conn) peerDisconnected() {
	if c.busy() {
		disconnectsTotal.Inc()
	}
	c.cancel()
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *conn) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// busy reports whether an exchange is open.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

// beginExchange counts a new open exchange. It returns false when the connection is
// closing, for example after a response that closes it.
func (c *conn) beginExchange() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.pending++
	c.server.openRequests.Add(1)
	c.server.lastRequestNanos.Store(time.Now().UnixNano())
	return true
}

// readRequest reads one request. On failure it returns the HTTP status of the
// response, or 0 if the caller has disconnected and no response can be sent.
func (c *conn) readRequest(x *Exchange) (int, error) {
	l := c.server.limits()
	_ = c.nc.SetReadDeadline(time.Now().Add(l.HeaderTimeout))
	if err := c.in.readHeader(&x.Request.Header, l.HeaderBytes); err != nil {
		return errorStatus(err, fasthttp.StatusRequestHeaderFieldsTooLarge), err
	}
	x.closeAfter = x.Request.Header.ConnectionClose()
	if x.Request.MayContinue() {
		if err := c.sendContinue(); err != nil {
			return 0, err
		}
		x.Request.Header.Del(fasthttp.HeaderExpect)
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout))
	var err error
	if x.reservedBytes, err = c.in.readBody(&x.Request, l, c.server.bodies()); err != nil {
		return errorStatus(err, fasthttp.StatusRequestEntityTooLarge), err
	}
	return 0, nil
}

// sendContinue sends the interim response 100 to a request with Expect: 100-continue.
func (c *conn) sendContinue() error {
	if c.busy() {
		return nil // An earlier response is pending, and the caller would mistake this one for it.
	}
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// errorStatus returns the HTTP status for a request that cannot be read, or 0 if the
// caller has disconnected.
func errorStatus(err error, tooLarge int) int {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, errNoHeaderSpace), errors.Is(err, errNoBodySpace), assembler.IsKind(err, assembler.KindNoSpace):
		return fasthttp.StatusServiceUnavailable
	case errors.As(err, &small), errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, errHeaderTooLarge), assembler.IsKind(err, assembler.KindTooLarge):
		return tooLarge
	case isTimeout(err):
		return fasthttp.StatusRequestTimeout
	case isDisconnect(err):
		return 0
	}
	return fasthttp.StatusBadRequest
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// isDisconnect reports whether err means that the connection has ended.
func isDisconnect(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &op)
}

// isTransientAcceptError reports whether Accept may succeed later: too many open files,
// or a connection that ended before it was accepted.
func isTransientAcceptError(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// responseWriter writes to a connection. Each part of a response has writeTimeout, so that
// neither a long stream nor a caller that reads slowly ends it, but one that reads nothing.
type responseWriter struct{ nc net.Conn }

// Write implements io.Writer.
func (w responseWriter) Write(p []byte) (written int, err error) {
	for len(p) > 0 && err == nil {
		part := p[:min(len(p), maxWriteBytes)]
		if err = w.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			break
		}
		var n int
		n, err = w.nc.Write(part)
		written, p = written+n, p[n:]
	}
	return written, err
}

// writeResponse writes a response. Then it allows the next exchange to write, or ends
// the connection after the last response or a failed write.
func (c *conn) writeResponse(x *Exchange) {
	last := c.isLast(x)
	err := x.writeTo(c.bw, last)
	if err == nil && !last {
		close(x.sent)
		return
	}
	close(c.responsesEnded)
	c.cancel()
	if err == nil {
		c.closeWithLinger()
		return
	}
	_ = c.nc.Close()
}

// isLast reports whether the connection ends with this response: the caller or the
// handler has requested it, or the connection is closing and no exchange is queued
// behind this one. On a draining server, the connection starts closing when only this
// exchange is open.
func (c *conn) isLast(x *Exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.closeAfter || c.server.draining.Load() && c.pending == 1 {
		c.closing = true
	}
	return c.closing && (x.closeAfter || c.pending == 1)
}

// endExchange counts an exchange as ended.
func (c *conn) endExchange() {
	c.mu.Lock()
	c.pending--
	c.idleSince = time.Now()
	c.mu.Unlock()
	c.server.openRequests.Add(-1)
}

// closeWithLinger closes the sending side and lets the caller close the other within
// lingerTimeout. Closing a connection with unread bytes would reset it before the
// caller has received the response.
func (c *conn) closeWithLinger() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
}
