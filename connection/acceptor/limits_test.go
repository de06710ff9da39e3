package acceptor

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longWork is longer than idleCheckInterval.
const longWork = idleCheckInterval + 500*time.Millisecond

// workFor returns a handler that works for the given time, or until its context ends,
// which it reports in its response.
func workFor(d time.Duration) func(x *Exchange) {
	return func(x *Exchange) {
		select {
		case <-time.After(d):
			x.Response.SetBodyString("done")
		case <-x.Context().Done():
			x.Response.SetBodyString("cancelled")
		}
	}
}

// idleLimits are limits on idle connections on each side of idleCheckInterval, from the
// smallest that a configuration can set to the largest.
var idleLimits = []time.Duration{
	time.Nanosecond, time.Millisecond, 100 * time.Millisecond, time.Second, idleCheckInterval - time.Millisecond, idleCheckInterval,
	idleCheckInterval + time.Millisecond, 2 * idleCheckInterval, 24 * time.Hour,
}

// limitedServer is a server whose limit on idle connections is put in force by a test.
type limitedServer struct {
	Server
	limits changingLimits
	begun  chan struct{} // begun receives a value for each request that begins.
}

// startLimited runs a server without a limit that matters, and returns it with its address.
func startLimited(t *testing.T, handle func(x *Exchange)) (*limitedServer, string) {
	t.Helper()
	s := &limitedServer{begun: make(chan struct{}, maxPipelinedRequests)}
	s.limits.Store(&Limits{IdleTimeout: time.Hour})
	s.Limits = s.limits.get
	s.Handler = func(x *Exchange) {
		s.begun <- struct{}{}
		handle(x)
	}
	return s, start(t, &s.Server)
}

// limit puts a limit on idle connections in force once n requests have begun, so that a
// short one does not end a connection on which the first request is still to arrive.
func (s *limitedServer) limit(t *testing.T, idle time.Duration, n int) {
	t.Helper()
	for range n {
		await(t, s.begun, "a request begins")
	}
	s.limits.Store(&Limits{IdleTimeout: idle})
}

// TestIdleLimitSparesOpenRequests guards against a limit on idle connections that ends
// requests at work: alone, behind another on their connection, and while the next one
// arrives slowly.
func TestIdleLimitSparesOpenRequests(t *testing.T) {
	for _, limit := range idleLimits {
		t.Run(limit.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, address := startLimited(t, workFor(longWork))
			one := dial(t, address, get("/1"))
			two := dial(t, address, get("/1")+get("/2"))
			slow := dial(t, address, get("/1")+"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n")
			s.limit(t, limit, 4)
			time.Sleep(longWork - time.Second)
			_, err := io.WriteString(slow, "body")
			is.NoErr(err)
			_ = slow.SetDeadline(time.Now().Add(2 * testTimeout))
			is.Equal(readResponse(t, bufio.NewReader(one)), "done")
			for _, conn := range []net.Conn{two, slow} {
				r := bufio.NewReader(conn)
				is.Equal(readResponse(t, r), "done")
				is.Equal(readResponse(t, r), "done")
			}
		})
	}
}

// TestIdleLimitEndsIdleConnections guards against idle connections that are kept for
// longer than the limit, or closed within four fifths of it, after a request that took
// longer than the limit.
func TestIdleLimitEndsIdleConnections(t *testing.T) {
	for _, limit := range []time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second, idleCheckInterval, 3 * time.Second} {
		t.Run(limit.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, address := startLimited(t, workFor(longWork))
			conn := dial(t, address, get("/"))
			s.limit(t, limit, 1)
			r := bufio.NewReader(conn)
			is.Equal(readResponse(t, r), "done")
			idleSince := time.Now()
			_ = conn.SetDeadline(idleSince.Add(2 * testTimeout))
			_, err := r.ReadByte()
			idle := time.Since(idleSince)
			t.Logf("closed after %s", idle)
			is.Equal(err, io.EOF)
			is.True(idle >= limit*4/5)
			is.True(idle <= limit+idleCheckInterval+time.Second)
		})
	}
}

// TestDisconnectIsNoticedWithShortIdleLimit guards against a caller that has left and whose
// request goes on, since the limit on idle connections is short.
func TestDisconnectIsNoticedWithShortIdleLimit(t *testing.T) {
	for _, limit := range []time.Duration{time.Nanosecond, time.Second, 24 * time.Hour} {
		is := is.New(t)
		gone := make(chan time.Time, 1)
		s, address := startLimited(t, func(x *Exchange) {
			<-x.Context().Done()
			gone <- time.Now()
		})
		conn := dial(t, address, get("/"))
		s.limit(t, limit, 1)
		time.Sleep(100 * time.Millisecond) // The connection waits for the next request.
		left := time.Now()
		_ = conn.Close()
		select {
		case at := <-gone:
			is.True(at.After(left)) // not for the limit
			is.True(at.Sub(left) < 500*time.Millisecond)
		case <-time.After(testTimeout):
			t.Fatalf("limit %s: the request goes on", limit)
		}
	}
}

// TestHeaderLimitSparesOpenRequests guards against a limit on slow headers that ends the
// requests before the slow one.
func TestHeaderLimitSparesOpenRequests(t *testing.T) {
	is := is.New(t)
	limits := func() Limits { return Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Second} }
	address := start(t, &Server{Limits: limits, Handler: workFor(longWork)})
	conn := dial(t, address, get("/1")+"GET /2 HTTP/1.1\r\nHost:")
	all, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(all), "HTTP/1.1 200 "))
	is.True(strings.Contains(string(all), "\r\n\r\ndoneHTTP/1.1 408 "))
}
