package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Exchange is one request with its response. The handler fills in Response before it
// returns; both are invalid afterwards.
type Exchange struct {
	Request    fasthttp.Request
	Response   fasthttp.Response
	ReceivedAt time.Time // ReceivedAt is when the whole request had been read.

	conn        *conn
	ctx         context.Context
	earlierSent chan struct{} // earlierSent is closed when every earlier response on the connection is written.
	sent        chan struct{} // sent is closed when this response is written and is not the last; it is earlierSent of the next exchange.
	closeAfter  bool          // closeAfter means that the connection is closed after this response.
	malformed   bool          // malformed means that the request could not be read; Response holds the error.
	// reservedBytes is what the body has reserved of the memory for bodies.
	reservedBytes int

	mu           sync.Mutex
	finalStarted bool // finalStarted means that no interim response may be sent any more.
}

// Context returns a context that is cancelled when the caller disconnects or the
// connection ends.
func (x *Exchange) Context() context.Context { return x.ctx }

// RemoteHost returns the IP address of the caller.
func (x *Exchange) RemoteHost() string {
	host, _, err := net.SplitHostPort(x.conn.nc.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// EarlierResponsesSent returns a channel that is closed when every earlier response
// on the connection is written. A request that must not run twice waits for it, since
// a caller resends the requests that follow a response which closes the connection.
func (x *Exchange) EarlierResponsesSent() <-chan struct{} { return x.earlierSent }

// releaseBody returns the memory that the body has reserved.
func (x *Exchange) releaseBody() {
	x.conn.server.bodies().Return(x.reservedBytes)
	x.reservedBytes = 0
}

// CloseAfterResponse closes the connection after this response.
func (x *Exchange) CloseAfterResponse() { x.closeAfter = true }

// SendInterimAfter sends an interim response, status 102, unless the final one is
// written within d. It sends nothing if earlier responses on the connection are still
// to be written. The returned function stops the timer, as time.Timer.Stop does.
// failed is called with the error of a failed write.
func (x *Exchange) SendInterimAfter(d time.Duration, failed func(error)) (stop func() bool) {
	return time.AfterFunc(d, func() {
		if err := x.sendInterim(); err != nil {
			failed(err)
		}
	}).Stop
}

// sendInterim writes the interim response, unless it would precede earlier responses
// or follow the final one.
func (x *Exchange) sendInterim() error {
	select {
	case <-x.earlierSent:
	default:
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finalStarted {
		return nil
	}
	if err := x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(x.conn.nc, "HTTP/1.1 %d Processing\r\n\r\n", fasthttp.StatusProcessing)
	return err
}

// writeTo writes the response. last reports whether it is the last one on the
// connection.
func (x *Exchange) writeTo(bw *bufio.Writer, last bool) error {
	x.mu.Lock()
	x.finalStarted = true
	x.mu.Unlock()
	h := &x.Response.Header
	if last {
		h.SetConnectionClose()
	}
	if x.Request.Header.IsHead() {
		x.Response.SkipBody = true
	}
	if err := x.Response.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}
