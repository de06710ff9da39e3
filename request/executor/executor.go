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
//	report := x.Execute(&ctx.Request, &ctx.Response, order, done)
//
// Handle is the same for requests that come from other nodes.
package executor

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/process/tracer"
	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/limiter"
)

const (
	// settleTimeout bounds the storing of an answer or the release of a claim.
	settleTimeout = 30 * time.Second
	// claimTimeout bounds a claim; after it the request is refused.
	claimTimeout = 2 * time.Second
	settlePause  = 200 * time.Millisecond
	// heldPause is the time before the second look at a claim that another attempt holds.
	heldPause = 25 * time.Millisecond
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

// Reason says why a request has no answer of a target.
type Reason string

// The reasons that nodes give.
const (
	ReasonNone       Reason = ""
	ReasonNoTarget   Reason = "noTarget"   // ReasonNoTarget means that the target left or is not known here.
	ReasonLimit      Reason = "limit"      // ReasonLimit means that no slot became free.
	ReasonDeadline   Reason = "deadline"   // ReasonDeadline means that time ran out.
	ReasonDial       Reason = "dial"       // ReasonDial means that no connection could be made.
	ReasonClaim      Reason = "claim"      // ReasonClaim means that the key could not be claimed in time.
	ReasonHeld       Reason = "held"       // ReasonHeld means that an earlier attempt may have run.
	ReasonMismatch   Reason = "mismatch"   // ReasonMismatch means that the key belongs to another request.
	ReasonBroken     Reason = "broken"     // ReasonBroken means that the answer was cut off.
	ReasonCrossed    Reason = "crossed"    // ReasonCrossed means that the answer was to another request.
	ReasonCrash      Reason = "crash"      // ReasonCrash means that the target died with the request in flight.
	ReasonPoison     Reason = "poison"     // ReasonPoison means that the request has crashed too many targets.
	ReasonNoRoute    Reason = "noRoute"    // ReasonNoRoute means that the configuration has no route.
	ReasonNotReady   Reason = "notReady"   // ReasonNotReady means that the node has no confirmed configuration.
	ReasonBadRequest Reason = "badRequest" // ReasonBadRequest means that the request is malformed.
)

// Report says how an order ended.
type Report struct {
	Outcome  forwarder.Outcome
	Reason   Reason
	Replayed bool // Replayed means that the answer is the stored one of an earlier attempt.
}

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
	Find(name string) (*registrar.Target, bool)
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
	Lifetime time.Duration // Lifetime is how long a key is remembered; claimer.DefaultLifetime when zero.

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

// Handle serves a request from another node.
func (x *Executor) Handle(ctx *fasthttp.RequestCtx) {
	o, err := DecodeOrder(string(ctx.Request.Header.Peek(checker.HeaderOrder)))
	if err != nil {
		Refuse(&ctx.Response, Report{Outcome: forwarder.OutcomeNotRun, Reason: ReasonBadRequest}, err.Error())
		return
	}
	ctx.Request.Header.Del(checker.HeaderOrder)
	report := x.Execute(&ctx.Request, &ctx.Response, o, func() {})
	ctx.Response.Header.Set(checker.HeaderOutcome, string(report.Outcome))
	if report.Reason != ReasonNone {
		ctx.Response.Header.Set(checker.HeaderReason, string(report.Reason))
	}
	ctx.Response.Header.Set(checker.HeaderRequestID, o.RequestID)
}

// Execute carries out one order. Unless the outcome is ran, resp holds an
// error for the caller. done is called once, after the answer was passed on.
func (x *Executor) Execute(req *fasthttp.Request, resp *fasthttp.Response, o Order, done func()) Report {
	span := x.Tracer.Start(&req.Header, "owner")
	defer span.End()
	report, detail := x.execute(req, resp, o, done)
	span.Set("target", o.Target)
	span.Set("outcome", string(report.Outcome))
	if report.Outcome != forwarder.OutcomeRan {
		Refuse(resp, report, detail)
	}
	return report
}

func (x *Executor) execute(req *fasthttp.Request, resp *fasthttp.Response, o Order, done func()) (Report, string) {
	t, ok := x.Targets.Find(o.Target)
	if !ok {
		done()
		return notRun(ReasonNoTarget), "the target is not known here"
	}
	if err := t.Limiter.Acquire(o.Deadline, o.Rank); err != nil {
		done()
		return notRun(limitReason(err)), err.Error()
	}
	x.count(1)
	release := func() {
		t.Limiter.Release()
		x.count(-1)
		done()
	}
	if o.Stream && !o.Unsafe {
		return x.handOver(req, resp, t, o, func() error { return t.Forwarder.Stream(req, resp, o.Deadline, release) })
	}
	defer release()
	return x.claimed(req, resp, t, o)
}

// limitReason tells a target that leaves from one that is busy.
func limitReason(err error) Reason {
	if limiter.IsKind(err, limiter.KindClosed) {
		return ReasonNoTarget
	}
	return ReasonLimit
}

func (x *Executor) count(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.inFlight += n
}

// claimed hands the request over under a claim if it needs one.
func (x *Executor) claimed(req *fasthttp.Request, resp *fasthttp.Response, t *registrar.Target, o Order) (Report, string) {
	key := req.Header.Peek(checker.HeaderIdempotencyKey)
	send := func() error { return t.Forwarder.Do(req, resp, o.Deadline) }
	if !o.Unsafe || len(key) == 0 {
		return x.handOver(req, resp, t, o, send)
	}
	c := claimer.Command{Key: t.Service + "\x00" + string(key), Attempt: o.RequestID, Fingerprint: checker.Fingerprint(req)}
	report, detail, granted := x.claim(req, resp, c, o)
	if !granted {
		return report, detail
	}
	report, detail = x.handOver(req, resp, t, o, send)
	switch report.Outcome {
	case forwarder.OutcomeRan:
		x.settle(c, resp)
	case forwarder.OutcomeNotRun:
		x.release(c)
	case forwarder.OutcomeUnknown:
		// The claim stays: the request may have run, so it never runs again.
	}
	return report, detail
}

// claim asks for the right to run the request.
func (x *Executor) claim(req *fasthttp.Request, resp *fasthttp.Response, c claimer.Command, o Order) (Report, string, bool) {
	span := x.Tracer.Child(&req.Header, "claim")
	defer span.End()
	deadline := time.Now().Add(claimTimeout)
	if o.Deadline.Before(deadline) {
		deadline = o.Deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	lifetime := x.Lifetime
	if lifetime == 0 {
		lifetime = claimer.DefaultLifetime
	}
	c.Action, c.Lifetime = claimer.ActionClaim, lifetime
	result, err := x.askUntilKnown(ctx, c)
	if err != nil {
		// The claim may have been granted; it must not block a later try.
		x.release(c)
		return notRun(ReasonClaim), err.Error(), false
	}
	switch result.Verdict {
	case claimer.VerdictGranted:
		return Report{}, "", true
	case claimer.VerdictSettled:
		replay(resp, result.Answer)
		return Report{Outcome: forwarder.OutcomeRan, Replayed: true}, "", false
	case claimer.VerdictHeld:
		return Report{Outcome: forwarder.OutcomeUnknown, Reason: ReasonHeld}, "an earlier attempt with this key may have run", false
	case claimer.VerdictMismatch:
		return notRun(ReasonMismatch), "the key was used for another request", false
	}
	return notRun(ReasonClaim), "no further keys can be remembered", false
}

// askUntilKnown claims a key. While another attempt holds it, that attempt may
// still be running, so its outcome is waited for until ctx ends. Each look is an
// entry in the log, so the pauses between them grow.
func (x *Executor) askUntilKnown(ctx context.Context, c claimer.Command) (claimer.Result, error) {
	for pause := heldPause; ; pause *= 2 {
		result, err := x.Claims.Do(ctx, c)
		if err != nil || result.Verdict != claimer.VerdictHeld {
			return result, err
		}
		sleeper.Sleep(ctx, pause)
		if ctx.Err() != nil {
			return result, nil
		}
	}
}

func replay(resp *fasthttp.Response, a *claimer.Answer) {
	resp.Reset()
	resp.SetStatusCode(a.Status)
	if a.ContentType != "" {
		resp.Header.SetContentType(a.ContentType)
	}
	resp.SetBody(a.Body)
}

// settle stores the answer for resends, beside the answer's way to the caller.
func (x *Executor) settle(c claimer.Command, resp *fasthttp.Response) {
	a := &claimer.Answer{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType())}
	if body := resp.Body(); len(body) <= claimer.MaxStoredBody {
		a.Body = append([]byte(nil), body...)
	} else {
		a.Truncated = true
	}
	c.Action, c.Answer = claimer.ActionSettle, a
	x.background.Go(func() { x.persist(c) })
}

func (x *Executor) release(c claimer.Command) {
	c.Action = claimer.ActionRelease
	x.background.Go(func() { x.persist(c) })
}

// persist repeats a command that is idempotent until it is done.
func (x *Executor) persist(c claimer.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := x.Claims.Do(ctx, c); err == nil {
			return
		}
		sleeper.Sleep(ctx, settlePause)
	}
}

// handOver sends the request to the target, once.
func (x *Executor) handOver(req *fasthttp.Request, resp *fasthttp.Response, t *registrar.Target, o Order, send func() error) (Report, string) {
	checker.StripRequest(&req.Header)
	req.Header.Set(checker.HeaderRequestID, o.RequestID)
	req.Header.Set(checker.HeaderDeadline, strconv.FormatInt(o.Deadline.UnixMilli(), 10))
	start := time.Now()
	err := send()
	if err == nil && crossed(resp, o) {
		resp.Reset()
		t.Forwarder.Close()
		err = &Error{"handOver", KindInvalid, errors.New("the answer names another request")}
	}
	if broken(err) && !t.Alive() {
		return x.crashed(req, resp, t, o, time.Since(start))
	}
	x.observe(t, o, err != nil || resp.StatusCode() >= fasthttp.StatusInternalServerError, time.Since(start))
	if err == nil {
		checker.StripResponse(&resp.Header)
		resp.Header.Set(checker.HeaderServed, t.Version+" "+t.Target)
		return Report{Outcome: forwarder.OutcomeRan}, ""
	}
	resp.Reset()
	return Report{Outcome: forwarder.OutcomeOf(err), Reason: ReasonOf(err)}, err.Error()
}

// broken reports whether the target hung up before its whole answer came.
func broken(err error) bool {
	var e *forwarder.Error
	return errors.As(err, &e) && e.Kind == forwarder.KindBroken
}

// crashed ends a request whose target died. All requests in flight are under
// suspicion, but the version is blamed for one failure only.
func (x *Executor) crashed(req *fasthttp.Request, resp *fasthttp.Response, t *registrar.Target, o Order, latency time.Duration) (Report, string) {
	x.Crashes.Crashed(t.Service, req)
	if t.CrashedFirst() {
		x.observe(t, o, true, latency)
	}
	resp.Reset()
	return Report{Outcome: forwarder.OutcomeUnknown, Reason: ReasonCrash}, "the target died with the request in flight"
}

func crossed(resp *fasthttp.Response, o Order) bool {
	echo := resp.Header.Peek(checker.HeaderRequestID)
	return len(echo) > 0 && string(echo) != o.RequestID
}

func (x *Executor) observe(t *registrar.Target, o Order, failed bool, latency time.Duration) {
	if x.Observer != nil {
		x.Observer.Observe(Observation{Service: t.Service, Version: t.Version, Route: o.Route, Unsafe: o.Unsafe, Failed: failed, Cold: t.Cold(), Latency: latency})
	}
}

// ReasonOf tells why forwarding failed.
func ReasonOf(err error) Reason {
	var e *forwarder.Error
	if !errors.As(err, &e) {
		return ReasonCrossed
	}
	switch e.Kind {
	case forwarder.KindDial, forwarder.KindNoConn:
		return ReasonDial
	case forwarder.KindTimeout, forwarder.KindExpired:
		return ReasonDeadline
	}
	return ReasonBroken
}

func notRun(r Reason) Report { return Report{Outcome: forwarder.OutcomeNotRun, Reason: r} }

// Refuse writes an error answer that says whether the request ran.
func Refuse(resp *fasthttp.Response, r Report, detail string) {
	resp.Reset()
	resp.SetStatusCode(statusOf(r))
	resp.Header.SetContentType("application/json")
	resp.Header.Set(checker.HeaderOutcome, string(r.Outcome))
	resp.Header.Set(checker.HeaderReason, string(r.Reason))
	asserter.That(r.Outcome != "", "outcomeKnown", "%s", detail)
	resp.SetBodyString(fmt.Sprintf("{\"outcome\":%q,\"reason\":%q,\"detail\":%q}\n", r.Outcome, r.Reason, detail))
}

func statusOf(r Report) int {
	switch r.Reason {
	case ReasonBadRequest:
		return fasthttp.StatusBadRequest
	case ReasonNoRoute:
		return fasthttp.StatusNotFound
	case ReasonMismatch:
		return fasthttp.StatusUnprocessableEntity
	case ReasonHeld:
		return fasthttp.StatusConflict
	case ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	}
	if r.Outcome == forwarder.OutcomeUnknown {
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}
