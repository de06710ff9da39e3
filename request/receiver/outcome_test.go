package receiver

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

var errCut = errors.New("fault injected by the test")

// fakeTarget counts the runs of each key. respond, when set, replaces its response.
type fakeTarget struct {
	mu      sync.Mutex
	runs    map[string]int
	respond func(ctx *fasthttp.RequestCtx)
}

func (f *fakeTarget) ran(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

func (f *fakeTarget) handle(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	if f.runs == nil {
		f.runs = map[string]int{}
	}
	f.runs[string(ctx.Request.Header.Peek("Idempotency-Key"))]++
	respond := f.respond
	f.mu.Unlock()
	if respond != nil {
		respond(ctx)
		return
	}
	ctx.SetBodyString("done")
}

// clearFaults ends all faults.
func (f *fakeTarget) clearFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respond = nil
}

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// TestAtMostOnce guards against a non-idempotent request that runs twice. It has one
// row for each step of the request path at which a message can be lost. Each row
// sends a deposit, then sends it again through another node until it gets a response
// or its outcome is known to stay unknown.
func TestAtMostOnce(t *testing.T) {
	only := func(a claimer.Action) func(claimer.Command) error {
		return func(c claimer.Command) error {
			if c.Action == a {
				return errCut
			}
			return nil
		}
	}
	cases := []struct {
		name    string
		disturb func(c *claims, f *fakeTarget)
		first   string // first is the outcome of the first request.
		again   string // again is the outcome after all faults are cleared.
		runs    int
	}{
		{"nothing fails", func(*claims, *fakeTarget) {}, "ran", "ran", 1},
		{"claim never reaches a control host", func(c *claims, _ *fakeTarget) { c.before = only(claimer.ActionClaim) }, "notRun", "ran", 1},
		{"claim granted, its reply lost", func(c *claims, _ *fakeTarget) { c.after = only(claimer.ActionClaim) }, "notRun", "ran", 1},
		{"owner node crashes with the claim, before it forwards the request", func(c *claims, _ *fakeTarget) {
			c.register.ApplyCommand(claimer.Command{Key: "designs\x00k", Attempt: "dead", Fingerprint: depositFingerprint("k"), Action: claimer.ActionClaim, ProposedAt: time.Now(), ExpiresAt: time.Now().Add(time.Hour)})
		}, "unknown", "unknown", 0},
		{"target crashes while it runs the deposit", func(_ *claims, f *fakeTarget) { f.respond = closeWithoutResponse }, "unknown", "unknown", 1},
		{"target responds too late", func(_ *claims, f *fakeTarget) {
			f.respond = func(ctx *fasthttp.RequestCtx) { time.Sleep(1500 * time.Millisecond) }
		}, "unknown", "unknown", 1},
		{"response never stored", func(c *claims, _ *fakeTarget) { c.before = only(claimer.ActionSettle) }, "ran", "unknown", 1},
		{"storing the response is unconfirmed", func(c *claims, _ *fakeTarget) { c.after = only(claimer.ActionSettle) }, "ran", "ran", 1},
		{"target truncates its response", func(_ *claims, f *fakeTarget) {
			f.respond = func(ctx *fasthttp.RequestCtx) {
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(c net.Conn) {
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"))
					_ = c.Close()
				})
			}
		}, "unknown", "unknown", 1},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c, f := &claims{}, &fakeTarget{}
			a, b := newNode(t, "a", c), newNode(t, "b", c)
			address, _ := listen(t, f.handle)
			announce(t, a, "t1", address)
			announce(t, b, "t2", address)
			publishTable(t, 1, a, b)
			row.disturb(c, f)
			first := call(t, a.entry, "POST", "/deposits", "k")
			t.Logf("first: %+v, ran %d", first, f.ran("k"))
			is.Equal(first.outcome, row.first)
			if first.outcome == "notRun" {
				is.Equal(f.ran("k"), 0)
			}
			f.clearFaults() // the target works again; it must not run a request whose outcome is unknown
			if row.again != "unknown" {
				c.clearFaults()
			}
			last := call(t, b.entry, "POST", "/deposits", "k")
			for limit := time.Now().Add(5 * time.Second); last.outcome != row.again && time.Now().Before(limit); {
				last = call(t, b.entry, "POST", "/deposits", "k")
			}
			t.Logf("again: %+v, ran %d", last, f.ran("k"))
			is.Equal(last.outcome, row.again)
			is.Equal(f.ran("k"), row.runs)
			if row.first == "ran" && row.again == "ran" {
				is.Equal(last.body, first.body) // the stored response
			}
		})
	}
}

func depositFingerprint(key string) uint64 {
	var req fasthttp.Request
	req.SetRequestURI("http://x/deposits")
	req.Header.SetMethod("POST")
	req.SetBodyString("body of " + key)
	return checker.Fingerprint(&req)
}

// TestNotRunNeverRan guards against a request that is reported as not run although a
// target ran it. It has requests rejected for every reason: none reaches a target.
func TestNotRunNeverRan(t *testing.T) {
	is := is.New(t)
	c, f := &claims{}, &fakeTarget{}
	a, b := newNode(t, "a", c), newNode(t, "b", c)
	got := call(t, a.entry, "GET", "/designs/1", "")
	is.Equal(got.reason, "notReady")
	address, _ := listen(t, f.handle)
	announce(t, b, "t1", address)
	publishTable(t, 1, a, b)
	rows := []struct{ name, method, path, header, value, reason string }{
		{"no route", "GET", "/nowhere", "", "", "noRoute"},
		{"deadline passed", "GET", "/designs/1", "Hornbeam-Deadline", "1", "deadline"},
		{"deadline malformed", "GET", "/designs/1", "Hornbeam-Deadline", "soon", "badRequest"},
		{"forged order", "GET", "/designs/1", "Hornbeam-Order", "x", "badRequest"},
		{"forged outcome", "POST", "/deposits", "hornbeam-OUTCOME", "ran", "badRequest"},
		{"key too long", "POST", "/deposits", "Idempotency-Key", strings.Repeat("k", 200), "badRequest"},
	}
	for _, row := range rows {
		got := call(t, a.entry, row.method, row.path, "", row.header, row.value)
		t.Logf("%s: %+v", row.name, got)
		is.Equal(got.outcome, "notRun")
		is.Equal(got.reason, row.reason)
	}
	is.NoErr(b.targets.MarkLeaving("t1", 0))
	is.Equal(call(t, a.entry, "POST", "/deposits", "left").reason, "noTarget")
	// A target whose address nothing listens on.
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	announce(t, b, "t2", closed.Addr().String())
	is.NoErr(closed.Close())
	publishTable(t, 2, a, b)
	got = call(t, a.entry, "POST", "/deposits", "refused")
	is.Equal(got.outcome, "notRun")
	// Ambiguous requests as raw bytes.
	for _, raw := range []string{
		"POST /deposits HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /deposits HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"GET /designs/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"GET /designs/1 HTTP/1.1\r\nHost: a\r\nHornbeam-Order : x\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", a.entry)
		is.NoErr(err)
		_, err = conn.Write([]byte(raw))
		is.NoErr(err)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		line, _ := bufio.NewReader(conn).ReadString('\n')
		t.Logf("%q: %q", raw, line)
		is.True(strings.Contains(line, " 400 ") || line == "")
		is.NoErr(conn.Close())
	}
	is.Equal(len(f.runs), 0) // no request reached the target
}

// TestAnswersNeverCrossed guards against a response that reaches the caller of another
// request. Many callers get late, truncated and foreign responses among the correct
// ones: each complete response must be the caller's own.
func TestAnswersNeverCrossed(t *testing.T) {
	is := is.New(t)
	c := &claims{}
	a, b := newNode(t, "a", c), newNode(t, "b", c)
	var n atomic.Int64
	address, _ := listen(t, func(ctx *fasthttp.RequestCtx) {
		i := n.Add(1)
		body := "answer to " + string(ctx.Path())
		ctx.Response.Header.SetBytesV("X-Request-Id", ctx.Request.Header.Peek("X-Request-Id"))
		switch i % 11 {
		case 3:
			ctx.Response.Header.Set("X-Request-Id", "somebody-else")
		case 5:
			time.Sleep(60 * time.Millisecond) // longer than the caller's deadline
		case 7:
			closeWithoutResponse(ctx)
			return
		}
		ctx.SetBodyString(body)
	})
	announce(t, b, "t1", address)
	publishTable(t, 1, a, b)
	var wait sync.WaitGroup
	var wrong, ran atomic.Int64
	for i := range 12 {
		wait.Go(func() {
			for k := range 60 {
				path := fmt.Sprintf("/designs/%d-%d", i, k)
				got := call(t, a.entry, "GET", path, "", "Hornbeam-Deadline", fmt.Sprint(time.Now().Add(40*time.Millisecond).UnixMilli()))
				if got.outcome != "ran" {
					continue
				}
				ran.Add(1)
				if got.body != "answer to "+path {
					wrong.Add(1)
				}
			}
		})
	}
	wait.Wait()
	t.Logf("%d of 720 requests got the target's response", ran.Load())
	is.Equal(wrong.Load(), int64(0))
	is.True(ran.Load() > 0)
}

// TestTruncatedStreams guards against a truncated response that looks complete to the
// caller, for responses with and without a length.
func TestTruncatedStreams(t *testing.T) {
	for _, head := range []string{"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "Content-Length: 100\r\n\r\nhalf"} {
		is := is.New(t)
		c := &claims{}
		a, b := newNode(t, "a", c), newNode(t, "b", c)
		address, _ := listen(t, func(ctx *fasthttp.RequestCtx) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(conn net.Conn) {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + head))
				time.Sleep(20 * time.Millisecond)
				_ = conn.Close()
			})
		})
		announce(t, b, "t1", address)
		publishTable(t, 1, a, b)
		status, body, err := fasthttp.Get(nil, "http://"+a.entry+"/previews/1")
		t.Logf("%q: status %d, %q, %v", head, status, body, err)
		refused := status == fasthttp.StatusBadGateway && strings.Contains(string(body), "unknown")
		is.True(err != nil || refused) // the caller can tell that the response is not complete
		target, _ := b.targets.Find("t1")
		for limit := time.Now().Add(5 * time.Second); target.Limiter.Used() > 0 && time.Now().Before(limit); {
			time.Sleep(time.Millisecond)
		}
		is.Equal(target.Limiter.Used(), 0) // the slot was released
	}
}

// TestLeavingTargetGetsNoNewWork guards against requests to a target that has left. It
// leaves under load while other nodes still have the old table.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	c := &claims{}
	a, b := newNode(t, "a", c), newNode(t, "b", c)
	var left atomic.Bool
	var late, cut atomic.Int64
	leaving, _ := listen(t, func(ctx *fasthttp.RequestCtx) {
		if left.Load() {
			late.Add(1)
		}
		time.Sleep(5 * time.Millisecond)
		ctx.SetBodyString("ok")
	})
	staying, _ := listen(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") })
	announce(t, b, "t1", leaving)
	announce(t, a, "t2", staying)
	publishTable(t, 1, a, b)
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for i := range 8 {
		wait.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				if got := call(t, a.entry, "POST", "/deposits", fmt.Sprintf("%d-%d", i, k)); got.status != 200 {
					cut.Add(1)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	is.NoErr(b.targets.MarkLeaving("t1", 0))
	target, _ := b.targets.Find("t1")
	for limit := time.Now().Add(5 * time.Second); target.Limiter.Used() > 0 && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	left.Store(true)
	time.Sleep(200 * time.Millisecond)
	close(stop)
	wait.Wait()
	is.Equal(late.Load(), int64(0)) // no new request, although node a's table still has the target
	is.Equal(cut.Load(), int64(0))  // every request got a response, from the other target
}

// TestResendWaitsForTheFirst guards against a second run of a deposit that is sent
// again while it is still running.
func TestResendWaitsForTheFirst(t *testing.T) {
	is := is.New(t)
	c, f := &claims{}, &fakeTarget{}
	a, b := newNode(t, "a", c), newNode(t, "b", c)
	running := make(chan struct{})
	f.respond = func(ctx *fasthttp.RequestCtx) {
		close(running)
		time.Sleep(200 * time.Millisecond)
		ctx.SetBodyString("the one answer")
	}
	address, _ := listen(t, f.handle)
	announce(t, b, "t1", address)
	publishTable(t, 1, a, b)
	var first response
	var wait sync.WaitGroup
	wait.Go(func() { first = call(t, a.entry, "POST", "/deposits", "k") })
	<-running
	second := call(t, b.entry, "POST", "/deposits", "k")
	wait.Wait()
	is.Equal(first.outcome, "ran")
	is.Equal(second, first)
	is.Equal(f.ran("k"), 1)
}

// TestUnstoredResponseIsNotReplayed guards against a 200 with an empty body for a resent
// request whose response was too long to be stored with its claim.
func TestUnstoredResponseIsNotReplayed(t *testing.T) {
	is := is.New(t)
	c, f := &claims{}, &fakeTarget{}
	settled := make(chan struct{})
	c.after = func(cmd claimer.Command) error {
		if cmd.Action == claimer.ActionSettle {
			close(settled)
		}
		return nil
	}
	a, b := newNode(t, "a", c), newNode(t, "b", c)
	long := strings.Repeat("x", claimer.MaxStoredBodyBytes+1)
	f.respond = func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(long) }
	address, _ := listen(t, f.handle)
	announce(t, b, "t1", address)
	publishTable(t, 1, a, b)
	first := call(t, a.entry, "POST", "/deposits", "k")
	is.Equal(first, response{200, "ran", "", long})
	<-settled
	again := call(t, b.entry, "POST", "/deposits", "k")
	t.Logf("again: status %d, outcome %s, %d bytes", again.status, again.outcome, len(again.body))
	is.True(again.status != 200 || again.body == long)
	is.Equal(again.outcome, "unknown")
	is.Equal(f.ran("k"), 1)
}

// signedTranslator verifies the responses of targets by a header.
type signedTranslator struct{ translator.Own }

const headerTestSignature = "X-Test-Signature"

// ReadResponse implements translator.Translator.
func (signedTranslator) ReadResponse(h *fasthttp.ResponseHeader) translator.ResponseMetadata {
	return translator.ResponseMetadata{Verified: len(h.Peek(headerTestSignature)) > 0}
}

// TestUnverifiableResponseIsNotReplayed guards against a 200 without the target's
// signature for a resent request: the signature is not stored with the claim.
func TestUnverifiableResponseIsNotReplayed(t *testing.T) {
	is := is.New(t)
	c, f := &claims{}, &fakeTarget{}
	settled := make(chan struct{})
	c.after = func(cmd claimer.Command) error {
		if cmd.Action == claimer.ActionSettle {
			close(settled)
		}
		return nil
	}
	a, b := newNode(t, "a", c), newNode(t, "b", c)
	b.executor.Translator = signedTranslator{}
	f.respond = func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(headerTestSignature, "s")
		ctx.SetBodyString("done")
	}
	address, _ := listen(t, f.handle)
	announce(t, b, "t1", address)
	publishTable(t, 1, a, b)
	is.Equal(call(t, a.entry, "POST", "/deposits", "k"), response{200, "ran", "", "done"})
	<-settled
	again := call(t, b.entry, "POST", "/deposits", "k")
	t.Logf("again: %+v", again)
	is.Equal(again.outcome, "unknown")
	is.Equal(f.ran("k"), 1)
}
