package forwarder

import (
	"io"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// connReader reads from the connection of a persistConn. It returns io.EOF only if the peer
// has ended its side of the connection, which is how a response without a length ends. The
// kernel reports a failed connection once, to the read or the write that comes first; each
// read after that returns the end of the connection, as if the peer had ended it.
type connReader struct{ pc *persistConn }

// Read implements io.Reader.
func (r connReader) Read(p []byte) (int, error) {
	n, err := r.pc.netConn.Read(p)
	if err == io.EOF {
		err = r.pc.endInput()
	}
	return n, err
}

// endInput is called when a read has returned the end of the connection. It stops the
// sending of the current request and waits for its result, so that a failure that was
// reported to the write is known. It returns that failure, or io.EOF if there is none.
func (pc *persistConn) endInput() error {
	pc.mu.Lock()
	c := pc.current
	pc.inputEnded = true
	if c != nil {
		_ = pc.netConn.SetWriteDeadline(time.Now())
	}
	pc.mu.Unlock()
	if c == nil {
		return io.EOF
	}
	<-c.sendEnded
	if isConnFailure(c.sendErr) {
		return errors.Wrap(c.sendErr, "the connection failed while the request was sent")
	}
	return io.EOF
}

// isConnFailure reports whether the error of a write means that the connection has failed
// before the peer ended its side. A deadline does not. Neither does EPIPE: a write that is
// the first to be told of a failure gets it only if the peer had ended its side before.
func isConnFailure(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE)
}

// isSocketError reports whether err is an error of the socket. Reads from it then return
// what has arrived, and the end of the connection after that.
func isSocketError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}
