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

	"github.com/hornbeamrack/hornbeamrack/common/assembler"
)

const (
	// readBufferBytes and writeBufferBytes are the sizes of a connection's buffers.
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
	// idleMargin is the time before the peer's own idle timeout at which this side
	// stops using a connection.
	idleMargin = 1500 * time.Millisecond
	// minIdleTimeout is the lower bound of the idle timeout after idleMargin is subtracted
	// from the peer's timeout.
	minIdleTimeout = 500 * time.Millisecond
	// maxIdleTimeout is the upper bound of the idle timeout, whatever the peer names.
	maxIdleTimeout = time.Hour
)

// call is one request with its response.
type call struct {
	req      *fasthttp.Request
	resp     *fasthttp.Response
	identity Identity
	stream   bool
	// onNoAck returns a channel whose closing gives up an unacknowledged call; it may be
	// nil, and so may the channel.
	onNoAck func() (giveUp <-chan struct{})
}

// callState is the state of a call on one connection. A call that takes another
// connection gets a new state, since the goroutines of the earlier one may still run.
type callState struct {
	call

	conn         *persistConn
	short        bool          // short means that writing the request does not block.
	sent         bool          // sent means that bytes of the request may have been sent; persistConn.mu guards it.
	sendEnded    chan struct{} // sendEnded is closed when nothing more of the request is read or sent.
	sendErr      error         // sendErr is the error of the sending; it is valid after sendEnded is closed.
	bodyPassed   chan struct{} // bodyPassed is closed when a streamed body is passed on or given up; nil without streaming.
	acknowledged atomic.Bool   // acknowledged means that the peer has sent an interim or final response.
	done         chan error    // done receives one value: nil, or the error that ended the response.
}

// newCallState returns the state of a call that has no connection yet.
func newCallState(c call) *callState {
	s := &callState{call: c, short: len(c.req.Body()) <= smallBodyBytes, sendEnded: make(chan struct{}), done: make(chan error, 1)}
	if c.stream {
		s.bodyPassed = make(chan struct{})
	}
	return s
}

// persistConn is one connection with the goroutine that reads from it.
type persistConn struct {
	forwarder *Forwarder
	netConn   net.Conn
	br        *bufio.Reader
	bw        *bufio.Writer

	// rejections is used by the reading goroutine, and by Forwarder while the connection is idle.
	rejections rejections

	mu          sync.Mutex
	current     *callState
	writing     bool // writing means that the request is not sent completely.
	closed      bool
	inputEnded  bool          // inputEnded means that the peer sends nothing more, so no request is sent.
	idleUntil   time.Time     // idleUntil is the moment after which the peer may close the connection.
	idleTimeout time.Duration // idleTimeout is how long the connection may stay idle and be reused.
}

// newPersistConn returns a connection of f. The caller starts readLoop.
func newPersistConn(f *Forwarder, conn net.Conn) *persistConn {
	pc := &persistConn{forwarder: f, netConn: conn, idleTimeout: defaultIdleTimeout, bw: bufio.NewWriterSize(conn, writeBufferBytes)}
	pc.br = bufio.NewReaderSize(connReader{pc}, readBufferBytes)
	return pc
}

// responseBodies holds the bodies of responses that this process is reading.
var responseBodies = &assembler.Pool{MaxBytes: MaxBufferedBytes, ReservedBytes: reservedResponseBytes}

// begin makes c the connection's current call. It returns false if the connection
// is closed or the peer may be about to close it.
func (pc *persistConn) begin(c *callState) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.closed || (!pc.idleUntil.IsZero() && time.Now().After(pc.idleUntil)) {
		return false
	}
	pc.current, pc.writing = c, true
	return true
}

// send writes the request before the deadline. The path and the headers are sent
// unchanged. On failure it closes the connection, unless the socket itself has failed: then
// readLoop reads what has arrived, which may be a whole response, and finds the end.
func (pc *persistConn) send(c *callState, deadline time.Time) {
	defer close(c.sendEnded)
	pc.mu.Lock()
	c.sent = !pc.closed && !pc.inputEnded
	if c.sent {
		_ = pc.netConn.SetWriteDeadline(deadline)
	}
	pc.mu.Unlock()
	if !c.sent {
		return
	}
	body := c.req.Body()
	if len(body) > 0 || !(c.req.Header.IsGet() || c.req.Header.IsHead()) {
		c.req.Header.SetContentLength(len(body))
	}
	err := c.req.Header.Write(pc.bw)
	if err == nil && len(body) > 0 {
		_, err = pc.bw.Write(body)
	}
	if err == nil {
		err = pc.bw.Flush()
	}
	c.sendErr = err
	if err != nil && !isSocketError(err) {
		pc.close() // readLoop ends the call.
	}
	pc.mu.Lock()
	pc.writing = false
	pc.mu.Unlock()
}

// readLoop reads responses and ends their calls until the connection is closed. It
// closes the connection on an error, on bytes without a call, and after a response
// that rules out reuse.
func (pc *persistConn) readLoop() {
	for {
		_, err := pc.br.Peek(1)
		c := pc.callOrClose()
		if c == nil {
			return
		}
		reusable := false
		if err == nil {
			reusable, err = pc.readResponse(c)
		}
		if err != nil {
			pc.close()
			pc.finish(c, pc.errorOrNotSent(c, err))
			return
		}
		if !reusable || !pc.markIdle(c) {
			pc.close()
			pc.finish(c, nil)
			return
		}
		pc.forwarder.putIdle(pc)
		pc.finish(c, nil)
	}
}

// callOrClose returns the call whose response is pending. If there is none, it closes
// the connection in the same step, so that no call can begin without a reader, and
// returns nil.
func (pc *persistConn) callOrClose() *callState {
	pc.mu.Lock()
	c := pc.current
	closing := c == nil && !pc.closed
	pc.closed = pc.closed || closing
	pc.mu.Unlock()
	if closing {
		pc.release()
	}
	return c
}

// errorOrNotSent returns errNotSent if the request was never written, else err.
// The connection must be closed.
func (pc *persistConn) errorOrNotSent(c *callState, err error) error {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if !c.sent {
		return errNotSent
	}
	return err
}

// finish sends the result of a call to its done channel. For a streamed call
// signalStreamStart has sent a nil result already.
func (pc *persistConn) finish(c *callState, err error) {
	if !c.stream || err != nil {
		select {
		case c.done <- err:
		default:
		}
	}
}

// readResponse reads the response to c and reports whether the connection can be
// reused: the peer keeps it open, and the response ended before the connection
// did.
func (pc *persistConn) readResponse(c *callState) (bool, error) {
	h := &c.resp.Header
	if err := pc.readOwnHeader(c); err != nil {
		return false, err
	}
	framed := h.ContentLength() != -2
	pc.readIdleTimeout(h)
	reusable := framed && !h.ConnectionClose() && h.IsHTTP11() && len(pc.rejections) < maxRejections
	h.SetProtocol(http11) // The response is passed on with this node's framing.
	if c.req.Header.IsHead() || h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified {
		c.resp.SkipBody = true
		c.signalStreamStart()
		return reusable, nil
	}
	if c.stream {
		return reusable, pc.passBody(c)
	}
	if err := pc.readBody(c); err != nil {
		return false, errors.Wrap(err, "read the response body")
	}
	return reusable, nil
}

// readBody reads the body of a response that is not streamed, with its trailer. A long body,
// or one of unknown length, is read into bounded memory first.
func (pc *persistConn) readBody(c *callState) error {
	resp := c.resp
	length := resp.Header.ContentLength()
	if length >= 0 && length <= directResponseBytes {
		return resp.ReadBody(pc.br, MaxResponseBytes)
	}
	if length > MaxResponseBytes {
		return errors.Errorf("the body of %d bytes is longer than %d bytes", length, MaxResponseBytes)
	}
	body := assembler.Body{Pool: responseBodies, MaxBytes: MaxResponseBytes, SmallBytes: fairResponseBytes}
	defer body.Release()
	err := pc.openBody(resp)
	if err == nil {
		err = body.ReadAll(resp.BodyStream())
	}
	_ = resp.CloseBodyStream()
	resp.StreamBody = false
	if err != nil {
		return err
	}
	content := body.Bytes()
	resp.SetBodyRaw(content)
	if length == -2 {
		resp.Header.SetContentLength(len(content))
	}
	return nil
}

// openBody sets the body stream of a response whose header is read.
func (pc *persistConn) openBody(resp *fasthttp.Response) error {
	if resp.Header.ContentLength() == chunkedLength {
		resp.SetBodyStream(newChunkedBody(pc.br, &resp.Header), chunkedLength)
		return nil
	}
	resp.StreamBody = true
	return resp.ReadBody(pc.br, 0)
}

// readOwnHeader reads the header of the response to c. It discards the responses to
// other requests that precede it. It fails if a response names no request, since neither
// that one nor a later one can be assigned to c then.
func (pc *persistConn) readOwnHeader(c *callState) error {
	for range maxForeignResponses + 1 {
		if err := pc.readFinalHeader(c); err != nil {
			return err
		}
		switch pc.match(c) {
		case MatchOwn:
			c.acknowledged.Store(true)
			return nil
		case MatchRejected:
			c.acknowledged.Store(true)
			pc.rejections = pc.rejections.add(c.identity)
			return nil
		case MatchNone:
			return &Error{"do", KindUnmatched, errors.New("the response does not name the request that it is to")}
		}
		if err := pc.discardBody(c); err != nil {
			return err
		}
	}
	return &Error{"do", KindUnmatched, errors.Errorf("more than %d responses to other requests", maxForeignResponses)}
}

// match compares the header that was read for c with c. It is called for each response
// before anything else in it is believed. A response that arrives before the request is
// sent names no request, whatever it looks like.
func (pc *persistConn) match(c *callState) Match {
	m := c.identity.match(&c.resp.Header)
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if !c.sent && m != MatchForeign {
		return MatchNone
	}
	return m
}

// readFinalHeader reads the header of a final response and discards the interim
// responses that precede it.
func (pc *persistConn) readFinalHeader(c *callState) error {
	h := &c.resp.Header
	for range maxInterimResponses + 1 {
		if err := readResponseHeader(pc.br, h); err != nil {
			return errors.Wrap(err, "read the response header")
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		c.acknowledged.Store(true)
	}
	return errors.Errorf("more than %d interim responses", maxInterimResponses)
}

// discardBody reads the body of a response to another request than c. It fails if the
// end of that response cannot be found: whether a response to an unknown request has a
// body is uncertain when c has the method HEAD.
func (pc *persistConn) discardBody(c *callState) error {
	h := &c.resp.Header
	if h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified {
		return nil
	}
	if c.req.Header.IsHead() || h.ContentLength() == -2 {
		return &Error{"do", KindUnmatched, errors.New("the response is to another request and its end is uncertain")}
	}
	if err := pc.readBody(c); err != nil {
		return errors.Wrap(err, "read the body of a response to another request")
	}
	c.resp.ResetBody()
	return nil
}

// signalStreamStart ends the wait of a streamed call once its body can be read.
func (c *callState) signalStreamStart() {
	if c.stream {
		c.done <- nil
	}
}

// passBody lets the caller read the body from the connection and waits until it is
// passed on.
func (pc *persistConn) passBody(c *callState) error {
	if err := pc.openBody(c.resp); err != nil {
		return err
	}
	c.signalStreamStart()
	<-c.bodyPassed
	return nil
}

// readIdleTimeout sets idleTimeout according to the timeout in the peer's
// Keep-Alive header, if there is one.
func (pc *persistConn) readIdleTimeout(h *fasthttp.ResponseHeader) {
	value := string(h.Peek("Keep-Alive"))
	if value == "" {
		return
	}
	for part := range strings.SplitSeq(value, ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		n, err := strconv.Atoi(seconds)
		if ok && err == nil && n > 0 {
			timeout := time.Duration(min(n, int(maxIdleTimeout.Seconds()))) * time.Second
			pc.idleTimeout = max(timeout-idleMargin, minIdleTimeout)
		}
	}
}

// markIdle ends c and makes the connection idle. It returns false if unread bytes are
// left, a long request is not sent completely, or the connection is closed. It waits for
// the end of the writing of a short request, whose response can arrive before the writer
// returns.
func (pc *persistConn) markIdle(c *callState) bool {
	if c.short {
		<-c.sendEnded
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.closed || pc.writing || c.sendErr != nil || pc.br.Buffered() > 0 {
		return false
	}
	pc.current = nil
	pc.idleUntil = time.Now().Add(pc.idleTimeout)
	return true
}

// abort closes the connection if c is still its current call. After the end of c the
// connection may be in use by another call.
func (pc *persistConn) abort(c *callState) {
	pc.mu.Lock()
	closing := pc.current == c && !pc.closed
	pc.closed = pc.closed || closing
	pc.mu.Unlock()
	if closing {
		pc.release()
	}
}

// close closes the connection and removes it from the pool; readLoop then ends the
// current call. Further calls do nothing.
func (pc *persistConn) close() {
	pc.mu.Lock()
	closed := pc.closed
	pc.closed = true
	pc.mu.Unlock()
	if !closed {
		pc.release()
	}
}

// release closes the socket of a connection that has just been marked as closed, and
// removes the connection from the pool.
func (pc *persistConn) release() {
	_ = pc.netConn.Close()
	pc.forwarder.remove(pc)
}

// streamBody reads the body of a streamed response. It implements
// fasthttp.ReadCloserWithError, so that a connection whose body was not read to
// its end is closed and not reused.
type streamBody struct {
	call *callState
	end  func(bodyErr error)
	err  error
}

// Read reads the next part of the body from the connection. It fails with a timeout
// error if nothing arrives for StallTimeout, and returns io.EOF at the end of the body.
// The last error is stored for CloseWithError.
func (b *streamBody) Read(p []byte) (int, error) {
	_ = b.call.conn.netConn.SetReadDeadline(time.Now().Add(StallTimeout))
	n, err := b.call.resp.BodyStream().Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// Close does nothing: fasthttp calls CloseWithError afterwards.
func (b *streamBody) Close() error { return nil }

// CloseWithError ends the response and calls end. It closes the connection unless the
// body was read to its end or there was none. The argument is ignored, and further calls do nothing.
func (b *streamBody) CloseWithError(error) error {
	if b.call == nil {
		return nil
	}
	if b.err != io.EOF {
		b.call.conn.abort(b.call)
	}
	_ = b.call.conn.netConn.SetReadDeadline(time.Time{})
	_ = b.call.resp.CloseBodyStream()
	close(b.call.bodyPassed)
	<-b.call.sendEnded // The connection is closed if the request is not sent completely.
	bodyErr := b.bodyError(b.call.resp.Header.ContentLength())
	b.call = nil
	b.end(bodyErr)
	return nil
}

// bodyError returns the error with which a body of the given length ended: nil if it was
// read to its end.
func (b *streamBody) bodyError(length int) error {
	var timeout net.Error
	switch {
	case b.err == io.EOF, b.err == nil && length == 0:
		return nil
	case b.err == nil:
		return &Error{"stream", KindCancelled, errors.New("the body was not read to its end")}
	case errors.As(b.err, &timeout) && timeout.Timeout():
		return &Error{"stream", KindTimeout, b.err}
	}
	return &Error{"stream", KindBroken, b.err}
}
