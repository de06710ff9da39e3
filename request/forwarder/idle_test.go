package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
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
	for last := int64(-1); ; last = done.Load() {
		select {
		case <-ended:
			return
		case <-time.After(3 * testTimeout):
			t.Logf("%d of %d requests have ended", done.Load(), callers*requests)
			is.True(done.Load() > last) // the others are past their deadlines
		}
	}
}

// TestRequestWithLongBodyRunsOnce guards against a request that is sent again, or reported
// as not run, after it was sent: its body is written by another goroutine, and its first
// connection may be closed before that goroutine starts.
func TestRequestWithLongBodyRunsOnce(t *testing.T) {
	is := is.New(t)
	const callers, requests = 16, 500
	var mu sync.Mutex
	runs := map[string]int{}
	address := startTarget(t, func(n int, conn net.Conn, r *bufio.Reader) {
		h, ok := readHeader(r)
		if !ok {
			return
		}
		path, _, _ := strings.Cut(strings.TrimPrefix(h, "POST "), " ")
		mu.Lock()
		runs[path]++
		mu.Unlock()
		_, _ = io.CopyN(io.Discard, r, 2*smallBodyBytes)
		if n%2 == 0 {
			_, _ = io.WriteString(conn, wholeResponse)
		}
	})
	f := &Forwarder{Address: address, MaxConnections: callers}
	var wait sync.WaitGroup
	notRun := make([][]string, callers)
	for i := range callers {
		wait.Go(func() {
			for k := range requests {
				req := newRequest(fmt.Sprintf("/%d-%d", i, k))
				req.Header.SetMethod("POST")
				req.SetBody(make([]byte, 2*smallBodyBytes))
				err := f.Do(context.Background(), req, &fasthttp.Response{}, time.Now().Add(testTimeout), Identity{})
				if OutcomeOf(err) == OutcomeNotRun {
					notRun[i] = append(notRun[i], string(req.Header.RequestURI()))
				}
			}
		})
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice, broken := 0, 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	for _, path := range slices.Concat(notRun...) {
		broken += runs[path]
	}
	t.Logf("%d of %d requests ran, %d of them more than once, %d reported as not run ran", len(runs), callers*requests, twice, broken)
	is.Equal(twice, 0)
	is.Equal(broken, 0)
}

// TestDelayedSendKeepsNextAttemptSent guards against a request that is taken for one that
// was not sent: the goroutine that was to send it on a connection that is closed by then
// starts after the request was sent on the next one.
func TestDelayedSendKeepsNextAttemptSent(t *testing.T) {
	is := is.New(t)
	address := startTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) { readHeader(r) })
	f := &Forwarder{Address: address}
	deadline := time.Now().Add(testTimeout)
	c := call{req: newRequest("/"), resp: &fasthttp.Response{}}
	first, next := newCallState(c), newCallState(c)
	closed, err := f.acquire(context.Background(), first, deadline)
	is.NoErr(err)
	closed.close()
	is.True(errors.Is(<-first.done, errNotSent))
	open, err := f.acquire(context.Background(), next, deadline)
	is.NoErr(err)
	open.send(next, deadline)
	closed.send(first, deadline)
	err = <-next.done // The target closes the connection without a response.
	is.True(err != nil)
	is.True(!errors.Is(err, errNotSent))
}

// TestEndedCallLeavesConnectionToNextRequest guards against a request whose connection is
// closed by the call before it: a response without a body ends before its caller closes
// the empty stream.
func TestEndedCallLeavesConnectionToNextRequest(t *testing.T) {
	for _, end := range []string{"close", "cancel"} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			second, respond := make(chan struct{}), make(chan struct{})
			address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				readHeader(r)
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
				readHeader(r)
				close(second)
				<-respond
				_, _ = io.WriteString(conn, wholeResponse)
			})
			f := &Forwarder{Address: address, MaxConnections: 1}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			head, stream := newRequest("/"), &fasthttp.Response{}
			head.Header.SetMethod("HEAD")
			is.NoErr(f.Stream(ctx, head, stream, time.Now().Add(testTimeout), Identity{}, func() {}))
			awaitIdle(f)
			done := make(chan error, 1)
			go func() {
				resp, err := get(f, "/")
				t.Logf("%q %v", resp.Body(), err)
				done <- err
			}()
			<-second
			if end == "cancel" {
				cancel()
				time.Sleep(20 * time.Millisecond)
			} else {
				_ = stream.CloseBodyStream()
			}
			close(respond)
			is.NoErr(<-done)
		})
	}
}

// awaitIdle waits until a connection is idle.
func awaitIdle(f *Forwarder) {
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		n := len(f.idle)
		f.mu.Unlock()
		if n > 0 {
			return
		}
	}
}

// TestResponseBeforeRequestIsNotItsResponse guards against a response that is taken for
// that to a request which is not sent yet: the peer writes it as the idle connection is
// taken.
func TestResponseBeforeRequestIsNotItsResponse(t *testing.T) {
	is := is.New(t)
	taken := make(chan struct{})
	address := startTarget(t, func(n int, conn net.Conn, r *bufio.Reader) {
		if n == 0 {
			<-taken
			_, _ = io.WriteString(conn, wholeResponse)
		}
		readHeader(r)
	})
	f := &Forwarder{Address: address}
	s := newCallState(call{req: newRequest("/"), resp: &fasthttp.Response{}})
	pc, err := f.acquire(context.Background(), s, time.Now().Add(testTimeout))
	is.NoErr(err)
	close(taken)
	select {
	case err := <-s.done:
		is.True(errors.Is(err, errNotSent)) // the request takes another connection
	case <-time.After(testTimeout):
		is.Fail()
	}
	pc.close()
}

// TestOddKeepAliveTimeoutOverflows guards against a Keep-Alive timeout of a target that is
// beyond any duration: it wrapped around to the shortest or to centuries.
func TestOddKeepAliveTimeoutOverflows(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=10":                  10*time.Second - idleMargin,
		"timeout=1":                   minIdleTimeout,
		"timeout=0":                   defaultIdleTimeout,
		"timeout=-5":                  defaultIdleTimeout,
		"timeout=x":                   defaultIdleTimeout,
		"timeout=9223372037":          maxIdleTimeout - idleMargin,
		"timeout=18446744074":         maxIdleTimeout - idleMargin,
		"timeout=9223372036854775807": maxIdleTimeout - idleMargin,
		"max=5, timeout=10":           10*time.Second - idleMargin,
	} {
		is := is.New(t)
		pc := &persistConn{idleTimeout: defaultIdleTimeout}
		h := &fasthttp.ResponseHeader{}
		h.Set("Keep-Alive", value)
		pc.readIdleTimeout(h)
		is.Equal(pc.idleTimeout, want) // for the value of the row
	}
}
