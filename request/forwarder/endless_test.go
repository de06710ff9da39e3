package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// endless writes a piece again and again until the caller closes, and counts
// the bytes.
func endless(conn net.Conn, piece string, sent *atomic.Int64) {
	for {
		n, err := conn.Write([]byte(piece))
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestBytesWithoutEndAreGivenUp has a row for each place where bytes may come
// without end. Each ends long before the request's deadline.
func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	chunk := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	rows := []struct {
		name, head, piece string
		most              int64 // most is the number of bytes that may be taken.
	}{
		{"head", "HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("x", 1000) + "\r\n", 8 << 20},
		{"header line", "HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("x", 1000), 8 << 20},
		{"no answer at all", "", strings.Repeat("x", 1000), 8 << 20},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n", 8 << 20},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, MaxResponseBytes + 8<<20},
		{"body until the connection ends", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", strings.Repeat("x", 0x10000), MaxResponseBytes + 8<<20},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + strings.Repeat("x", 1000) + "\r\n", 8 << 20},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			closed := make(chan struct{})
			address := target(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, ok := header(r); ok {
					_, _ = conn.Write([]byte(row.head))
					endless(conn, row.piece, &sent)
					close(closed)
				}
			})
			f := &Forwarder{Address: address, MaxConnections: 4}
			start := time.Now()
			var resp fasthttp.Response
			err := f.Do(context.Background(), request("/"), &resp, start.Add(time.Minute))
			is.Equal(OutcomeOf(err), OutcomeUnknown) // it may have run
			is.True(time.Since(start) < time.Minute)
			<-closed // the connection was given up
			is.True(sent.Load() <= row.most)
			is.Equal(reading.Load(), int64(0))
		})
	}
}

// TestManyBodiesWithoutEndShareABound lets many targets send without end at the
// same time; a short answer still comes through.
func TestManyBodiesWithoutEndShareABound(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	bad := target(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, ok := header(r); ok {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
			endless(conn, strings.Repeat("x", 0x10000), &sent)
		}
	})
	good := target(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, ok := header(r); ok {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
		}
	})
	const many = 16
	f := &Forwarder{Address: bad, MaxConnections: many}
	var calls sync.WaitGroup
	failures := make(chan error, many)
	for range many {
		calls.Go(func() {
			var resp fasthttp.Response
			failures <- f.Do(context.Background(), request("/"), &resp, time.Now().Add(time.Minute))
		})
	}
	resp, err := do(&Forwarder{Address: good, MaxConnections: 1}, "/")
	is.NoErr(err)
	is.Equal(string(resp.Body()), "ok")
	ended := make(chan struct{})
	go func() {
		calls.Wait()
		close(ended)
	}()
	most := mostHeld(ended)
	for range many {
		is.Equal(OutcomeOf(<-failures), OutcomeUnknown)
	}
	is.Equal(reading.Load(), int64(0))
	t.Logf("held %d MB at most, of %d MB that came from %d targets", most>>20, sent.Load()>>20, many)
	is.True(most <= MaxBufferedBytes+many*2*fairAnswer)
}

// TestSystemHoldsLittleOfAnAnswer reads fast for a while, so that the system
// widens the connection's buffer as far as it may, and then reads no more.
func TestSystemHoldsLittleOfAnAnswer(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	address := target(t, func(_ int, conn net.Conn, _ *bufio.Reader) {
		endless(conn, strings.Repeat("x", 0x10000), &sent)
	})
	conn, err := dial(context.Background(), address, time.Now().Add(time.Minute))
	is.NoErr(err)
	defer conn.Close()
	const fast = 256 << 20
	taken, err := io.CopyN(io.Discard, conn, fast)
	is.NoErr(err)
	held := int64(-1)
	for held != sent.Load()-taken {
		held = sent.Load() - taken
		time.Sleep(100 * time.Millisecond) // the target writes on until the buffers are full
	}
	t.Logf("%d KB are held by the system", held>>10)
	is.True(held <= 8<<20)
}

// mostHeld returns the most bytes of unfinished answers that were held before
// ended.
func mostHeld(ended <-chan struct{}) int64 {
	most := int64(0)
	for {
		select {
		case <-ended:
			return most
		default:
			most = max(most, reading.Load())
			runtime.Gosched()
		}
	}
}
