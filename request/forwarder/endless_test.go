package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// writeEndlessly writes a piece repeatedly until the peer closes the connection. It
// adds the bytes written to sent.
func writeEndlessly(conn net.Conn, piece string, sent *atomic.Int64) {
	for {
		n, err := conn.Write([]byte(piece))
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// TestBytesWithoutEndAreGivenUp guards against a target that sends endless bytes
// and so exhausts the memory or holds the request until its deadline. There is a
// row for each part of a response that may be endless.
func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	chunk := "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"
	rows := []struct {
		name, head, piece string
		maxBytes          int64 // maxBytes bounds the bytes that the target may send.
	}{
		{"head", "HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("x", 1000) + "\r\n", 8 << 20},
		{"header line", "HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("x", 1000), 8 << 20},
		{"no response at all", "", strings.Repeat("x", 1000), 8 << 20},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", 8 << 20},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, MaxResponseBytes + 8<<20},
		{"body until the connection ends", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", strings.Repeat("x", 0x10000), MaxResponseBytes + 8<<20},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + strings.Repeat("x", 1000) + "\r\n", 8 << 20},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			closed := make(chan struct{})
			address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, ok := readHeader(r); ok {
					_, _ = conn.Write([]byte(row.head))
					writeEndlessly(conn, row.piece, &sent)
					close(closed)
				}
			})
			f := &Forwarder{Address: address, MaxConnections: 4}
			start := time.Now()
			var resp fasthttp.Response
			err := f.Do(context.Background(), newRequest("/"), &resp, start.Add(time.Minute), Identity{})
			is.Equal(OutcomeOf(err), OutcomeUnknown) // the request may have run
			is.True(time.Since(start) < time.Minute)
			<-closed // the connection was closed
			is.True(sent.Load() <= row.maxBytes)
			is.Equal(responseBodies.UsedBytes(), 0)
		})
	}
}

// TestManyBodiesWithoutEndShareABound guards against many endless responses that
// together exceed MaxBufferedBytes, although MaxResponseBytes bounds each of them. A
// short response must still be read meanwhile.
func TestManyBodiesWithoutEndShareABound(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	bad := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, ok := readHeader(r); ok {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
			writeEndlessly(conn, strings.Repeat("x", 0x10000), &sent)
		}
	})
	good := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, ok := readHeader(r); ok {
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
			failures <- f.Do(context.Background(), newRequest("/"), &resp, time.Now().Add(time.Minute), Identity{})
		})
	}
	resp, err := get(&Forwarder{Address: good, MaxConnections: 1}, "/")
	is.NoErr(err)
	is.Equal(string(resp.Body()), "ok")
	ended := make(chan struct{})
	go func() {
		calls.Wait()
		close(ended)
	}()
	most := peakBufferedBytes(ended)
	for range many {
		is.Equal(OutcomeOf(<-failures), OutcomeUnknown)
	}
	is.Equal(responseBodies.UsedBytes(), 0)
	t.Logf("at most %d MB buffered, of %d MB that came from %d targets", most>>20, sent.Load()>>20, many)
	is.True(most <= MaxBufferedBytes)
}

// TestReceiveBufferIsBounded guards against a receive buffer that the operating
// system enlarges without a bound of this process. It reads fast for a while, so
// that the buffer grows as far as it may, and then stops reading.
func TestReceiveBufferIsBounded(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	address := startTarget(t, func(_ int, conn net.Conn, _ *bufio.Reader) {
		writeEndlessly(conn, strings.Repeat("x", 0x10000), &sent)
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
		time.Sleep(100 * time.Millisecond) // the target writes until the buffers are full
	}
	t.Logf("the operating system buffers %d KB", held>>10)
	is.True(held <= 8<<20)
}

// peakBufferedBytes returns the maximum that bodies occupy until ended is closed.
func peakBufferedBytes(ended <-chan struct{}) int64 {
	most := int64(0)
	for {
		select {
		case <-ended:
			return most
		default:
			most = max(most, int64(responseBodies.UsedBytes()))
			runtime.Gosched()
		}
	}
}

// TestEndlessBodiesFillTheHeap guards against endless bodies that occupy several times
// MaxBufferedBytes: in buffers that are enlarged by copying, in space for a chunk that is only
// announced, and in bodies that were given up and are not collected yet.
func TestEndlessBodiesFillTheHeap(t *testing.T) {
	const chunkBytes = 4 << 20
	rows := []struct{ name, head, piece string }{
		{"large chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))},
		{"small chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		{"chunks that are only announced", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf00000\r\n", "x"},
		{"lengths that are only announced", "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n", "x"},
		{"body until the connection ends", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", strings.Repeat("x", 0x10000)},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			head, piece := []byte(row.head), []byte(row.piece)
			address := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, ok := readHeader(r); !ok {
					return
				}
				_, err := conn.Write(head)
				for n := 0; err == nil; sent.Add(int64(n)) {
					n, err = conn.Write(piece)
				}
			})
			defer debug.SetGCPercent(debug.SetGCPercent(100))
			runtime.GC()
			before := heapBytes()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			f := &Forwarder{Address: address, MaxConnections: 12}
			var calls sync.WaitGroup
			for range 12 {
				calls.Go(func() {
					for ctx.Err() == nil {
						var resp fasthttp.Response
						_ = f.Do(ctx, newRequest("/"), &resp, time.Now().Add(300*time.Millisecond), Identity{})
					}
				})
			}
			most := int64(0)
			for ctx.Err() == nil {
				most = max(most, heapBytes()-before)
				time.Sleep(time.Millisecond)
			}
			calls.Wait()
			t.Logf("at most %d MB on the heap, %d MB sent", most>>20, sent.Load()>>20)
			is.True(most <= 2*MaxBufferedBytes)
		})
	}
}

// heapBytes returns the size of all objects on the heap, also of those that are not in use
// any more and not collected yet.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
