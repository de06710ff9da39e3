package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Exchange is one request with its answer. The handler fills in Response
// before it returns; both are invalid afterwards.
type Exchange struct {
	Request    fasthttp.Request
	Response   fasthttp.Response
	ReceivedAt time.Time // ReceivedAt is when the whole request had been read.

	conn    *conn
	ctx     context.Context
	turn    chan struct{} // turn is closed when every earlier answer on the connection is written.
	next    chan struct{} // next is the turn of the exchange behind this one.
	closes  bool          // closes means that the connection ends with this answer.
	refused bool          // refused means that the request could not be read and Response says so.

	mu      sync.Mutex
	written bool // written means that no interim answer may be sent any more.
}

// Context ends when the peer has hung up.
func (x *Exchange) Context() context.Context { return x.ctx }

// EarlierResponsesSent is closed when every earlier answer on the connection is written. A
// request that must not run twice waits for it: a peer sends requests again
// that stand behind an answer which closes the connection.
func (x *Exchange) EarlierResponsesSent() <-chan struct{} { return x.turn }

// CloseAfterResponse ends the connection with this answer.
func (x *Exchange) CloseAfterResponse() { x.closes = true }

// SendInterimAfter sends an interim answer, status 102, unless the final one is
// written within d. It sends nothing while earlier answers are still due on the
// connection. The returned function ends the wait; failed is called with the
// error of a connection that does not take the bytes.
func (x *Exchange) SendInterimAfter(d time.Duration, failed func(error)) (stop func() bool) {
	return time.AfterFunc(d, func() {
		if err := x.interim(); err != nil {
			failed(err)
		}
	}).Stop
}

func (x *Exchange) interim() error {
	select {
	case <-x.turn:
	default:
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.written {
		return nil
	}
	if err := x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(x.conn.nc, "HTTP/1.1 %d Processing\r\n\r\n", fasthttp.StatusProcessing)
	return err
}

// write sends the answer. last tells whether the connection ends with it.
func (x *Exchange) write(bw *bufio.Writer, last bool) error {
	x.mu.Lock()
	x.written = true
	x.mu.Unlock()
	h := &x.Response.Header
	if last {
		h.SetConnectionClose()
	}
	if x.Request.Header.IsHead() {
		x.Response.SkipBody = true
	}
	if err := x.conn.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := x.Response.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}
