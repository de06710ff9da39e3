// Package executor hands requests to the targets of its own host.
//
// The owner node is the authority on its targets. It alone decides whether a
// request is handed over, so it alone can say "not run": when the target is
// unknown or leaving, when no slot becomes free in time, when the key cannot be
// claimed, or when no connection to the target can be made. Once the first
// byte may have reached the target, the outcome is ran or unknown.
//
// The road of one request: find the target, take a slot, claim the key, hand
// over, store the answer with the claim, give the slot back.
//
// # Usage
//
//	x := &executor.Executor{Targets: registrar, Claims: provider, Tracer: tracer}
//	report := x.Execute(ctx, &ex.Request, &ex.Response, order, done)
//
// Handle is the same for requests that come from other nodes.
package executor

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/connection/acceptor"
	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/process/tracer"
	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/limiter"
	"github.com/hornbeamrack/hornbeamrack/request/meter"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

// Kind tells why an order was refused.
type Kind string

// The kinds of executor errors.
const (
	KindInvalid Kind = "invalid"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("executor: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Observation is what the owner node saw of one request at one target.
type Observation struct {
	Service, Version, Route string
	Unsafe                  bool
	Failed                  bool
	Cold                    bool // Cold means that the target has just started.
	Latency                 time.Duration
}

// TargetProvider finds the targets of this host.
type TargetProvider interface {
	// Serving returns the target for a request whose entry node named one.
	Serving(name, service, version string) (*registrar.Target, bool)
}

// ObservationProvider takes in what was seen.
type ObservationProvider interface {
	Observe(o Observation)
}

// CrashProvider takes in requests that were in flight when a target died.
type CrashProvider interface {
	Crashed(service string, req *fasthttp.Request)
}

// Executor is safe for concurrent use. Exported fields are set before the
// first Execute.
type Executor struct {
	Targets  TargetProvider
	Claims   claimer.Provider
	Observer ObservationProvider // Observer may be nil.
	Crashes  CrashProvider
	Tracer   *tracer.Tracer
	// Translator speaks to the targets.
	Translator    translator.Translator
	ClaimLifetime time.Duration // Lifetime is how long a key is remembered; claimer.DefaultLifetime when zero.
	Link          *meter.Link   // Link is this host's; it may be nil.

	background conc.WaitGroup
	mu         sync.Mutex
	inFlight   int
}

// Wait returns once every answer in flight is stored. No Execute may follow.
func (x *Executor) Wait() { x.background.Wait() }

// InFlight returns the number of requests between their slot and their answer.
func (x *Executor) InFlight() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.inFlight
}

var interimFailures = metrics.NewCounter("hornbeam_interim_failures_total")

const (
	// largeAnswer is the size in bytes from which an answer is refused for the
	// link's sake; smaller ones cost it little.
	largeAnswer = 16 << 10
	// askPatience and latePatience are how long a large answer may wait for the
	// link: while other hosts are asked too, and when it is late anyway.
	askPatience  = 80 * time.Millisecond
	latePatience = 250 * time.Millisecond
)

var linkRefusals = metrics.NewCounter("hornbeam_link_refusals_total")

// signAfter spares the sign for requests that are answered at once.
const signAfter = 20 * time.Millisecond

// Handle serves a request from another node. It signs for the request soon, so
// that the entry node can tell a busy owner from a lost one.
func (x *Executor) Handle(ex *acceptor.Exchange) {
	h := &ex.Request.Header
	o, err := DecodeOrder(string(h.Peek(checker.HeaderOrder)), time.Now())
	if err != nil {
		translator.Own{}.WriteRefusal(&ex.Response, translator.Refusal{Report: translator.NotRun(translator.ReasonBadRequest), Detail: err.Error()})
		return
	}
	h.Del(checker.HeaderOrder)
	// An entry node that is gone is noticed by the context.
	stop := ex.SendInterimAfter(signAfter, func(error) { interimFailures.Inc() })
	defer stop()
	report := x.executeOverLink(ex, o)
	report.Load.LinkBacklog = x.Link.Delay(time.Now())
	WriteReport(&ex.Response.Header, report)
	ex.Response.Header.Set(checker.HeaderAttempt, o.Attempt)
}

// executeOverLink carries out an order whose answer goes over this host's link.
func (x *Executor) executeOverLink(ex *acceptor.Exchange, o Order) translator.Report {
	size := 0
	if t, ok := x.Targets.Serving(o.Target, o.Service, o.Version); ok {
		size = t.ResponseSize(o.Route)
	}
	if wait := x.Link.Delay(time.Now()); size >= largeAnswer && wait > linkPatience(o, time.Now()) {
		linkRefusals.Inc()
		report := translator.NotRun(translator.ReasonLimit)
		report.Load = translator.LoadReport{Valid: true, ExpectedWait: wait}
		report.Detail = "the link of this host is busy for " + wait.Round(time.Millisecond).String()
		translator.Own{}.WriteRefusal(&ex.Response, translator.Refusal{Report: report, Detail: report.Detail})
		return report
	}
	done := x.Link.AddPending(size)
	report := x.Execute(ex.Context(), &ex.Request, &ex.Response, o, func() {})
	done()
	x.Link.RecordSent(time.Now(), bodySize(&ex.Response))
	return report
}

// linkPatience returns how long a large answer may wait for the link.
func linkPatience(o Order, now time.Time) time.Duration {
	if o.NoWait {
		return askPatience
	}
	return max(o.SoftDeadline.Sub(now)/2, latePatience)
}

// Execute carries out one order. Unless the outcome is ran, resp holds a
// refusal. The end of ctx means that nobody waits any more. done is called
// once, after the answer was passed on.
func (x *Executor) Execute(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, o Order, done func()) translator.Report {
	span := x.Tracer.Start(&req.Header, "owner")
	defer span.End()
	report, detail := x.execute(ctx, req, resp, o, done)
	span.SetAttribute("target", o.Target)
	span.SetAttribute("outcome", string(report.Outcome))
	report.Detail = detail
	if report.Outcome != forwarder.OutcomeRan {
		translator.Own{}.WriteRefusal(resp, translator.Refusal{Report: report, Detail: detail})
	}
	return report
}

func (x *Executor) execute(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, o Order, done func()) (translator.Report, string) {
	t, ok := x.Targets.Serving(o.Target, o.Service, o.Version)
	if !ok {
		done()
		return translator.NotRun(translator.ReasonNoTarget), "the target is not known here"
	}
	slot, err := t.Limiter.Acquire(ctx, slotRequest(t, o))
	if err != nil {
		done()
		report := translator.NotRun(limitReason(err))
		report.Load = t.LoadReport(slotRequest(t, o))
		return report, err.Error()
	}
	x.count(1)
	release := func() {
		slot.Release()
		x.count(-1)
		done()
	}
	if o.Unsafe {
		// What may have run is never broken off: its outcome would be unknown.
		ctx = context.WithoutCancel(ctx)
	}
	if o.Stream && !o.Unsafe {
		return x.handOver(req, resp, t, o, func() error { return t.Forwarder.Stream(ctx, req, resp, o.Deadline, release) })
	}
	defer release()
	return x.claimed(ctx, req, resp, t, o)
}

// slotRequest describes an order to the target's limiter.
func slotRequest(t *registrar.Target, o Order) limiter.Request {
	return limiter.Request{Rank: o.Rank, ProcessingTime: cmp.Or(t.ProcessingTime(o.Route), o.ProcessingTime), SoftDeadline: o.SoftDeadline, QueueDeadline: o.QueueDeadline, NoWait: o.NoWait}
}

// limitReason tells a target that leaves from one that is busy.
func limitReason(err error) translator.Reason {
	switch {
	case limiter.IsKind(err, limiter.KindClosed):
		return translator.ReasonNoTarget
	case limiter.IsKind(err, limiter.KindCallerGone):
		return translator.ReasonCallerGone
	}
	return translator.ReasonLimit
}

func (x *Executor) count(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.inFlight += n
}

// handOver sends the request to the target, once.
func (x *Executor) handOver(req *fasthttp.Request, resp *fasthttp.Response, t *registrar.Target, o Order, send func() error) (translator.Report, string) {
	checker.StripRequest(&req.Header)
	x.Translator.WriteRequest(&req.Header, translator.ForwardMetadata{RequestID: o.RequestID, Target: t.Target, Origin: o.Origin, Deadline: o.Deadline})
	start := time.Now()
	end := t.BeginRequest(o.Route)
	err := send()
	end()
	latency := time.Since(start)
	if broken(err) && !t.AliveAfterDisconnect() {
		return x.crashed(req, resp, t, o, latency)
	}
	if err != nil {
		if !(forwarder.IsKind(err, forwarder.KindTimeout) && t.IsCold()) {
			x.observe(t, o, !hungUp(err), latency)
		}
		resp.Reset()
		return translator.Report{Outcome: forwarder.OutcomeOf(err), Reason: ReasonOf(err), Load: t.LoadReport(slotRequest(t, o))}, err.Error()
	}
	return x.judge(resp, t, o, latency)
}

// judge decides whether an answer is the target's own whole answer to this
// request.
func (x *Executor) judge(resp *fasthttp.Response, t *registrar.Target, o Order, latency time.Duration) (translator.Report, string) {
	a := x.Translator.ReadResponse(resp)
	switch {
	case a.NotRun:
		report := translator.NotRun(translator.ReasonShed)
		report.Load = t.LoadReport(slotRequest(t, o))
		return report, "the target refused the request"
	case a.RequestID != "" && a.RequestID != o.RequestID:
		t.Forwarder.Close()
		x.observe(t, o, true, latency)
		return translator.Unknown(translator.ReasonWrongResponse), "the answer names another request"
	case !a.Verified:
		x.observe(t, o, true, latency)
		return translator.Unknown(translator.ReasonBroken), "the answer lacks the signs of the target's own"
	}
	failed := resp.StatusCode() >= fasthttp.StatusInternalServerError
	x.observe(t, o, failed, latency)
	if !failed {
		t.RecordResponse(o.Route, latency, bodySize(resp))
	}
	checker.StripResponse(&resp.Header)
	resp.Header.Set(checker.HeaderServed, t.Version+" "+t.Target)
	return translator.Report{Outcome: forwarder.OutcomeRan, Load: t.LoadReport(slotRequest(t, o))}, ""
}

// bodySize returns the size of an answer's body in bytes, 0 for a stream that
// does not say.
func bodySize(resp *fasthttp.Response) int {
	if resp.IsBodyStream() {
		return max(resp.Header.ContentLength(), 0)
	}
	return len(resp.Body())
}

// broken reports whether the target hung up before its whole answer came.
func broken(err error) bool { return forwarder.IsKind(err, forwarder.KindBroken) }

// hungUp reports whether it was the caller who ended the request.
func hungUp(err error) bool {
	return forwarder.IsKind(err, forwarder.KindCancelled) || forwarder.IsKind(err, forwarder.KindCancelledBeforeSend)
}

// crashed ends a request whose target died. All requests in flight are under
// suspicion, but the version is blamed for one failure only.
func (x *Executor) crashed(req *fasthttp.Request, resp *fasthttp.Response, t *registrar.Target, o Order, latency time.Duration) (translator.Report, string) {
	x.Crashes.Crashed(t.Service, req)
	if t.MarkCrashed() {
		x.observe(t, o, true, latency)
	}
	resp.Reset()
	return translator.Unknown(translator.ReasonTargetCrash), "the target died with the request in flight"
}

func (x *Executor) observe(t *registrar.Target, o Order, failed bool, latency time.Duration) {
	if x.Observer != nil {
		x.Observer.Observe(Observation{Service: t.Service, Version: t.Version, Route: o.Route, Unsafe: o.Unsafe, Failed: failed, Cold: t.CountResponse(), Latency: latency})
	}
}

// ReasonOf tells why forwarding failed.
func ReasonOf(err error) translator.Reason {
	var e *forwarder.Error
	if !errors.As(err, &e) {
		return translator.ReasonWrongResponse
	}
	switch e.Kind {
	case forwarder.KindDial, forwarder.KindNoConn:
		return translator.ReasonDial
	case forwarder.KindTimeout, forwarder.KindExpired:
		return translator.ReasonDeadline
	case forwarder.KindCancelled, forwarder.KindCancelledBeforeSend:
		return translator.ReasonCallerGone
	case forwarder.KindNoAck:
		return translator.ReasonNoAck
	}
	return translator.ReasonBroken
}
