package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestRequestOnClosingIdleConnectionEnds guards against a request that never ends, since
// its idle connection is closed at the moment at which it is taken.
func TestRequestOnClosingIdleConnectionEnds(t *testing.T) {
	is := is.New(t)
	const callers, requests = 16, 1000
	address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		readHeader(r)
		_, _ = io.WriteString(conn, wholeResponse)
	})
	f := &Forwarder{Address: address, MaxConnections: callers}
	var done atomic.Int64
	var wait sync.WaitGroup
	ended := make(chan struct{})
	for range callers {
		wait.Go(func() {
			for range requests {
				_ = f.Do(context.Background(), newRequest("/"), &fasthttp.Response{}, time.Now().Add(testTimeout), Identity{})
				done.Add(1)
			}
		})
	}
	go func() {
		wait.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(3 * testTimeout):
		t.Logf("%d of %d requests have ended", done.Load(), callers*requests)
		is.Fail() // requests past their deadlines have not ended
	}
}
