// Target is a stand-in for a target: an HTTP server that announces itself to
// the node on its own host, works for a while on each request, and keeps a
// ledger of the deposits that it ran.
//
// # Usage
//
//	target --name t1 --service designs --version v1 --address 127.0.0.1:9001 --announce 127.0.0.1:7102
//
// It answers GET /designs/…, POST /deposits and GET /previews, the last as a
// stream. It can be told to fail, to be slow, or to crash on a request.
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
	renewInterval   = time.Second
	announceTimeout = 2 * time.Second
	leaveGrace      = 3 * time.Second
	stopTimeout     = 20 * time.Second
	chunkBytes      = 8 << 10
)

// target is the stand-in. Its exported fields are its command line.
type target struct {
	Name     string        `long:"name" required:"yes" description:"Name of the target"`
	Service  string        `long:"service" required:"yes" description:"Service that it belongs to"`
	Version  string        `long:"version" default:"v1" description:"Version that it runs"`
	Address  string        `long:"address" required:"yes" description:"Where it listens"`
	Announce string        `long:"announce" required:"yes" description:"Announce address of the node on this host"`
	Slots    int           `long:"slots" default:"10" description:"Requests at once"`
	Work     time.Duration `long:"work" default:"0s" description:"Time that a request takes"`
	Fail     float64       `long:"fail" default:"0" description:"Share of requests that fail"`
	Ledger   string        `long:"ledger" description:"File that gets one line for each deposit that ran"`
	Crash    string        `long:"crash" description:"Crash when a request's body holds this text"`
	Chunks   int           `long:"chunks" default:"16" description:"Chunks of a streamed preview"`
	Pace     time.Duration `long:"pace" default:"5ms" description:"Time between chunks"`

	startedAt int64
	running   atomic.Int64
	peak      atomic.Int64
	mu        sync.Mutex
	ledger    *os.File
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

// run serves until ctx ends, then leaves and stops without cutting a request.
func (t *target) run(ctx context.Context) error {
	if t.Ledger != "" {
		f, err := os.OpenFile(t.Ledger, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
		if err := t.tell("/v1/announce", t.announcement()); err != nil {
			fmt.Fprintln(os.Stderr, "announce:", err)
		}
		pause(ctx, renewInterval)
	}
	_ = t.tell("/v1/leave", t.announcement())
	time.Sleep(leaveGrace)
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err = server.ShutdownWithContext(stop)
	tasks.Wait()
	return err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// announcement is what the target says of itself.
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

func (t *target) tell(path string, a announcement) error {
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.Announce + path)
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

func (t *target) handle(ctx *fasthttp.RequestCtx) {
	n := t.running.Add(1)
	defer t.running.Add(-1)
	for peak := t.peak.Load(); n > peak && !t.peak.CompareAndSwap(peak, n); peak = t.peak.Load() {
	}
	if t.Crash != "" && bytes.Contains(ctx.PostBody(), []byte(t.Crash)) {
		t.record("crash")
		os.Exit(3)
	}
	if id := ctx.Request.Header.Peek("X-Request-Id"); len(id) > 0 {
		ctx.Response.Header.SetBytesV("X-Request-Id", id)
	}
	if t.Work > 0 {
		time.Sleep(t.Work)
	}
	if t.Fail > 0 && rand.Float64() < t.Fail {
		ctx.Error("failed as told", fasthttp.StatusInternalServerError)
		return
	}
	switch {
	case bytes.HasPrefix(ctx.Path(), []byte("/previews")):
		t.preview(ctx)
	case bytes.HasPrefix(ctx.Path(), []byte("/deposits")):
		t.record(string(ctx.Request.Header.Peek("Idempotency-Key")))
		fmt.Fprintf(ctx, "deposit %s by %s %s\n", ctx.PostBody(), t.Name, t.Version)
	default:
		fmt.Fprintf(ctx, "%s by %s %s\n", ctx.Path(), t.Name, t.Version)
	}
}

// record writes one line to the ledger and syncs it.
func (t *target) record(line string) {
	if t.ledger == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintln(t.ledger, line)
	_ = t.ledger.Sync()
}

// preview streams chunks that end with one that says so.
func (t *target) preview(ctx *fasthttp.RequestCtx) {
	chunk := bytes.Repeat([]byte("p"), chunkBytes)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for range t.Chunks {
			_, _ = w.Write(chunk)
			if w.Flush() != nil {
				return
			}
			time.Sleep(t.Pace)
		}
		_, _ = fmt.Fprintf(w, "end of preview by %s %s\n", t.Name, t.Version)
	})
}
