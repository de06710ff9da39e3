// Target is a stand-in for a target: an HTTP server that announces itself to the node
// on its own host, spends a configurable processing time on each request, and appends
// each deposit that it ran to a ledger file.
//
// # Usage
//
//	target --name t1 --service designs --version v1 --address 127.0.0.1:9001 --announce 127.0.0.1:7102
//
// It serves GET /designs/…, POST /deposits and GET /previews, the last as a stream.
// Options make it fail a share of its requests, respond slowly, or crash on requests
// whose body holds a given text.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	renewInterval   = time.Second // renewInterval is the time between two announcements.
	announceTimeout = 2 * time.Second
	leaveDelay      = 3 * time.Second  // leaveDelay is the time after leaving in which requests that nodes still send are served.
	stopTimeout     = 20 * time.Second // stopTimeout bounds the wait for requests in flight.
	chunkBytes      = 8 << 10
)

// target is the stand-in. Its exported fields are its command line options.
type target struct {
	Name            string        `long:"name" required:"yes" description:"Name of the target"`
	Service         string        `long:"service" required:"yes" description:"Service that it belongs to"`
	Version         string        `long:"version" default:"v1" description:"Version that it runs"`
	Address         string        `long:"address" required:"yes" description:"Where it listens"`
	AnnounceAddress string        `long:"announce" required:"yes" description:"Announce address of the node on this host"`
	Slots           int           `long:"slots" default:"10" description:"Requests that it can process concurrently"`
	ProcessingTime  time.Duration `long:"work" default:"0s" description:"Processing time of a request"`
	FailureRatio    float64       `long:"fail" default:"0" description:"Share of requests that fail"`
	LedgerFile      string        `long:"ledger" description:"File that gets one line for each deposit that ran"`
	CrashText       string        `long:"crash" description:"Exit when the body of a request holds this text"`
	ChunkCount      int           `long:"chunks" default:"16" description:"Chunks of a streamed preview"`
	ChunkInterval   time.Duration `long:"pace" default:"5ms" description:"Time between chunks"`

	startedAt    int64 // startedAt is in milliseconds since the Unix epoch.
	inFlight     atomic.Int64
	peakInFlight atomic.Int64
	mu           sync.Mutex
	ledger       *os.File
}

func main() {
	t := &target{startedAt: time.Now().UnixMilli()}
	if _, err := flags.Parse(t); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := t.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

// run announces the target and serves until ctx ends, then leaves the node and stops
// without interrupting a request. It fails if the ledger or the address cannot be opened.
func (t *target) run(ctx context.Context) error {
	if t.LedgerFile != "" {
		f, err := os.OpenFile(t.LedgerFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		t.ledger = f
	}
	listener, err := net.Listen("tcp", t.Address)
	if err != nil {
		return err
	}
	server := &fasthttp.Server{Handler: t.handle, IdleTimeout: time.Minute, CloseOnShutdown: true}
	var tasks conc.WaitGroup
	tasks.Go(func() { _ = server.Serve(listener) })
	for ctx.Err() == nil {
		if err := t.postToNode("/v1/announce", t.announcement()); err != nil {
			fmt.Fprintln(os.Stderr, "announce:", err)
		}
		sleep(ctx, renewInterval)
	}
	_ = t.postToNode("/v1/leave", t.announcement())
	time.Sleep(leaveDelay)
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err = server.ShutdownWithContext(stop)
	tasks.Wait()
	return err
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// announcement is the body of an announcement to the node, in JSON.
type announcement struct {
	Target    string `json:"target"`
	Service   string `json:"service"`
	Version   string `json:"version"`
	Address   string `json:"address"`
	Slots     int    `json:"slots"`
	StartedAt int64  `json:"startedAt"`
}

func (t *target) announcement() announcement {
	return announcement{t.Name, t.Service, t.Version, t.Address, t.Slots, t.startedAt}
}

// postToNode sends an announcement to a path of the node's announce address. Any status
// other than 200 is an error.
func (t *target) postToNode(path string, a announcement) error {
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.AnnounceAddress + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, announceTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return nil
}

// handle serves one request. With a crash text in its body the process exits with code
// 3, after a ledger line; a share FailureRatio of the others gets status 500.
func (t *target) handle(ctx *fasthttp.RequestCtx) {
	n := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	for peak := t.peakInFlight.Load(); n > peak && !t.peakInFlight.CompareAndSwap(peak, n); peak = t.peakInFlight.Load() {
	}
	if t.CrashText != "" && bytes.Contains(ctx.PostBody(), []byte(t.CrashText)) {
		t.appendToLedger("crash")
		os.Exit(3)
	}
	if id := ctx.Request.Header.Peek("X-Request-Id"); len(id) > 0 {
		ctx.Response.Header.SetBytesV("X-Request-Id", id)
	}
	if t.ProcessingTime > 0 {
		time.Sleep(t.ProcessingTime)
	}
	if t.FailureRatio > 0 && rand.Float64() < t.FailureRatio {
		ctx.Error("failed as configured", fasthttp.StatusInternalServerError)
		return
	}
	switch {
	case bytes.HasPrefix(ctx.Path(), []byte("/previews")):
		t.streamPreview(ctx)
	case bytes.HasPrefix(ctx.Path(), []byte("/deposits")):
		t.appendToLedger(string(ctx.Request.Header.Peek("Idempotency-Key")))
		fmt.Fprintf(ctx, "deposit %s by %s %s\n", ctx.PostBody(), t.Name, t.Version)
	default:
		fmt.Fprintf(ctx, "%s by %s %s\n", ctx.Path(), t.Name, t.Version)
	}
}

// appendToLedger writes one line to the ledger, if there is one, and syncs it to the disk.
func (t *target) appendToLedger(line string) {
	if t.ledger == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintln(t.ledger, line)
	_ = t.ledger.Sync()
}

// streamPreview streams ChunkCount chunks and a last line that marks the stream as
// complete.
func (t *target) streamPreview(ctx *fasthttp.RequestCtx) {
	chunk := bytes.Repeat([]byte("p"), chunkBytes)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for range t.ChunkCount {
			_, _ = w.Write(chunk)
			if w.Flush() != nil {
				return
			}
			time.Sleep(t.ChunkInterval)
		}
		_, _ = fmt.Fprintf(w, "end of preview by %s %s\n", t.Name, t.Version)
	})
}
