package forwarder

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestLateCancelKeepsTheNextRequest guards against a request that is cut off because the
// one before it on the same connection was cancelled while its response arrived.
func TestLateCancelKeepsTheNextRequest(t *testing.T) {
	is := is.New(t)
	const rounds, pause = 2000, 300 * time.Microsecond
	address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			if _, ok := readHeader(r); !ok {
				return
			}
			time.Sleep(pause)
			_, _ = io.WriteString(conn, wholeResponse)
		}
	})
	f := &Forwarder{Address: address}
	var wait sync.WaitGroup
	ended := make(chan struct{})
	for range 4 {
		wait.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				ctx, cancel := context.WithTimeout(context.Background(), pause+rand.N(pause))
				_ = f.Do(ctx, newRequest("/cancelled"), &fasthttp.Response{}, time.Now().Add(testTimeout), Identity{})
				cancel()
			}
		})
	}
	failed := 0
	for range rounds {
		if _, err := get(f, "/kept"); IsKind(err, KindBroken) {
			failed++
			t.Log(err)
		}
	}
	close(ended)
	wait.Wait()
	is.Equal(failed, 0)
}
