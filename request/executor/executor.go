// Package executor forwards requests to the targets of its own host.
//
// The owner node is the authority on its targets. It alone decides whether a
// request is forwarded, so it alone can report the outcome "not run": when the
// target is unknown or leaving, when no slot becomes free in time, when the
// idempotency key cannot be claimed, or when no connection to the target can be
// made. Once the first byte may have reached the target, the outcome is "ran" or
// "unknown".
//
// The steps of one request are: find the target, acquire a slot, claim the
// idempotency key, forward the request, store the response with the claim, and
// release the slot.
//
// # Usage
//
//	x := &executor.Executor{Targets: registrar, Claims: provider, Tracer: tracer}
//	report := x.Execute(ctx, &ex.Request, &ex.Response, order, done)
//
// Handle does the same for requests that arrive from other nodes.
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

	"github.com/hornbeamrack/hornbeamrack/common/logger"
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

// Kind classifies the errors of this package.
type Kind string

// The kinds of executor errors.
const (
	KindInvalid Kind = "invalid" // KindInvalid means that an order header cannot be decoded.
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

// Observation is the result of one request at one target, as the owner node
// measured it. It is evidence on the target's version.
type Observation struct {
	Service, Version, Route string
	Unsafe                  bool          // Unsafe means that the request is not idempotent.
	Failed                  bool          // Failed means a server error, an invalid response or none at all.
	Cold                    bool          // Cold means that the target has just started, so that its latency is no evidence.
	Latency                 time.Duration // Latency is the time from forwarding to the response or the failure.
}

// TargetProvider finds the targets of this host to which the owner node forwards.
type TargetProvider interface {
	// FindServing returns the target to forward a request to, given the target name,
	// service and version in its order. It returns false if there is none.
	FindServing(name, service, version string) (*registrar.Target, bool)
	// Find returns the target with the given name, also if it is leaving.
	Find(name string) (*registrar.Target, bool)
	// MarkLeaving stops new requests to the incarnation of a target that started at
	// startedAt, in Unix milliseconds; 0 means the current one. It returns an error if the
	// target is not registered.
	MarkLeaving(name string, startedAt int64) error
}

// ObservationProvider receives the results of requests at the targets of this host, as
// evidence on target versions.
type ObservationProvider interface {
	// Observe records one result.
	Observe(o Observation)
}

// Executor is the owner node's part in serving a request: it carries out the orders of
// entry nodes by forwarding requests to the targets of this host. It is safe for
// concurrent use. Exported fields are set before the first Execute.
type Executor struct {
	Targets  TargetProvider
	Claims   claimer.Provider
	Observer ObservationProvider // Observer may be nil.
	Runs     RunProvider
	Tracer   *tracer.Tracer
	// Translator writes request headers for the targets and reads theirs.
	Translator    translator.Translator
	ClaimLifetime time.Duration       // ClaimLifetime is how long a key is stored; claimer.DefaultLifetime when zero.
	Link          *meter.Link         // Link is this host's network link; it may be nil.
	Logger        *logger.AsyncLogger // Logger may be nil.

	background conc.WaitGroup
	mu         sync.Mutex
	inFlight   int
}

// Wait blocks until all claims are settled or released, or the attempts to do so
// have timed out. Execute must not be called afterwards.
func (x *Executor) Wait() { x.background.Wait() }

// InFlight returns the number of requests that hold a slot.
func (x *Executor) InFlight() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.inFlight
}

// interimFailures counts the acknowledgements that could not be sent to an entry node.
var interimFailures = metrics.NewCounter("hornbeam_interim_failures_total")

const (
	// largeResponseBytes is the expected response size from which a request may be
	// rejected because of the link's backlog. Smaller responses add little to it.
	largeResponseBytes = 16 << 10
	// linkDelayLimitNoWait is how long a large response may wait for the link
	// while the entry node still has other owner nodes to try.
	linkDelayLimitNoWait = 80 * time.Millisecond
	// linkDelayLimitLate is the lower bound of that limit for the other requests;
	// it applies to late requests too.
	linkDelayLimitLate = 250 * time.Millisecond
)

// linkRejections counts the requests rejected because of the network link's backlog.
var linkRejections = metrics.NewCounter("hornbeam_link_refusals_total")

// The responses of targets that name another request than the one that they were read
// for, or none, and the requests that a target rejected as not run.
var (
	foreignResponsesTotal = metrics.NewCounter("hornbeam_foreign_responses_total")
	targetRejectionsTotal = metrics.NewCounter("hornbeam_target_refusals_total")
)

// msgForeignResponse is the message of the log line on such a response.
const msgForeignResponse = "response of another request"

// ackDelay is the time after which a request is acknowledged. A request with a
// response within it needs no acknowledgement.
const ackDelay = 20 * time.Millisecond

// Handle executes a request from another node. It acknowledges the request by an
// interim response after ackDelay, so that the entry node can tell a busy owner
// node from an unreachable one. An order that cannot be decoded is rejected as not
// run.
func (x *Executor) Handle(ex *acceptor.Exchange) {
	h := &ex.Request.Header
	o, err := DecodeOrder(string(h.Peek(checker.HeaderOrder)), time.Now())
	if err != nil {
		translator.Own{}.WriteRejection(&ex.Response, translator.Rejection{Report: translator.NotRun(translator.ReasonBadRequest), Detail: err.Error()})
		return
	}
	h.Del(checker.HeaderOrder)
	o.Entry = ex.RemoteHost()
	x.adoptStates(decodeStates(string(h.Peek(checker.HeaderTargetState))), o)
	h.Del(checker.HeaderTargetState)
	// A failure to send is only counted: ex.Context() ends when the entry node
	// disconnects.
	stop := ex.SendInterimAfter(ackDelay, func(error) { interimFailures.Inc() })
	defer stop()
	report := x.executeRemote(ex, o)
	report.Load.LinkBacklog = x.Link.Delay(time.Now())
	WriteReport(&ex.Response.Header, report)
	ex.Response.Header.Set(checker.HeaderAttempt, o.AttemptID)
}

// executeRemote executes an order whose response is sent over this host's network
// link. It rejects the request if the response is expected to be large and would
// wait too long for the link.
func (x *Executor) executeRemote(ex *acceptor.Exchange, o Order) translator.Report {
	size := 0
	state := translator.TargetState{}
	if t, ok := x.Targets.FindServing(o.Target, o.Service, o.Version); ok {
		size, state = t.ResponseSize(o.Route), t.State()
	}
	if wait := x.Link.Delay(time.Now()); size >= largeResponseBytes && wait > linkDelayLimit(o, time.Now()) {
		linkRejections.Inc()
		report := translator.NotRun(translator.ReasonLimit)
		report.Load, report.State = translator.LoadReport{Valid: true, ExpectedWait: wait}, state
		report.Detail = "the network link of this host is busy for " + wait.Round(time.Millisecond).String()
		translator.Own{}.WriteRejection(&ex.Response, translator.Rejection{Report: report, Detail: report.Detail})
		return report
	}
	done := x.Link.AddPending(size)
	report := x.Execute(ex.Context(), &ex.Request, &ex.Response, o, func() {})
	done()
	x.Link.RecordSent(time.Now(), bodySize(&ex.Response))
	return report
}

// linkDelayLimit returns how long a large response may wait for the link: a fixed
// limit if the order has NoWait set, else half of the time to the soft deadline.
func linkDelayLimit(o Order, now time.Time) time.Duration {
	if o.NoWait {
		return linkDelayLimitNoWait
	}
	return max(o.SoftDeadline.Sub(now)/2, linkDelayLimitLate)
}

// Execute carries out one order and reports its outcome. Unless the outcome is
// OutcomeRan, resp holds a rejection. ctx ends when the caller disconnects. done
// is called once, after the response is passed on.
func (x *Executor) Execute(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, o Order, done func()) translator.Report {
	span := x.Tracer.Start(&req.Header, "owner")
	defer span.End()
	report, detail := x.execute(ctx, req, resp, o, done)
	span.SetAttribute("target", o.Target)
	span.SetAttribute("outcome", string(report.Outcome))
	report.Detail = detail
	if report.Outcome != forwarder.OutcomeRan {
		translator.Own{}.WriteRejection(resp, translator.Rejection{Report: report, Detail: detail})
	}
	return report
}

// execute does the steps of Execute from finding the target to releasing the
// slot. It returns the report, with the target's state, and the detail for the response.
func (x *Executor) execute(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, o Order, done func()) (translator.Report, string) {
	t, ok := x.Targets.FindServing(o.Target, o.Service, o.Version)
	if !ok {
		done()
		return translator.NotRun(translator.ReasonNoTarget), "no such target on this host"
	}
	report, detail := x.executeAt(ctx, req, resp, t, o, done)
	report.State = t.State()
	return report, detail
}

// executeAt does the steps of Execute after finding the target.
func (x *Executor) executeAt(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, t *registrar.Target, o Order, done func()) (translator.Report, string) {
	slot, err := t.Limiter.Acquire(ctx, limiterRequest(t, o))
	if err != nil {
		done()
		report := translator.NotRun(limiterReason(err))
		report.Load = t.LoadReport(limiterRequest(t, o))
		return report, err.Error()
	}
	x.addInFlight(1)
	release := func() {
		slot.Release()
		x.addInFlight(-1)
		done()
	}
	if o.Unsafe {
		// A request that is not idempotent is never cancelled once it may run: its
		// outcome would be unknown.
		ctx = context.WithoutCancel(ctx)
	}
	if o.Stream && !o.Unsafe {
		return x.forwardStream(ctx, req, resp, t, o, release)
	}
	defer release()
	return x.forwardWithClaim(ctx, req, resp, t, o)
}

// limiterRequest returns the order in the form that the target's limiter takes.
// The processing time measured at this node precedes the entry node's estimate.
func limiterRequest(t *registrar.Target, o Order) limiter.Request {
	return limiter.Request{Rank: o.Rank, ProcessingTime: cmp.Or(t.ProcessingTime(o.Route), o.ProcessingTime), SoftDeadline: o.SoftDeadline, QueueDeadline: o.QueueDeadline, NoWait: o.NoWait}
}

// limiterReason maps an error of the limiter to a reason: the target leaves, the
// caller disconnected, or no slot became free.
func limiterReason(err error) translator.Reason {
	switch {
	case limiter.IsKind(err, limiter.KindClosed):
		return translator.ReasonNoTarget
	case limiter.IsKind(err, limiter.KindCallerGone):
		return translator.ReasonCallerGone
	}
	return translator.ReasonLimit
}

// addInFlight changes the number of requests in flight by n.
func (x *Executor) addInFlight(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.inFlight += n
}

// forward sends the request to the target once and classifies the result. A
// timeout at a target that has just started, or a caller that disconnected, is
// not recorded as a failure of the target.
func (x *Executor) forward(req *fasthttp.Request, resp *fasthttp.Response, a attempt, send func() error) (translator.Report, string) {
	t, o := a.target, a.order
	checker.StripRequest(&req.Header)
	x.Translator.WriteRequest(&req.Header, translator.ForwardMetadata{RequestID: o.RequestID, Target: t.Target, Origin: o.Origin, Deadline: o.Deadline})
	start := time.Now()
	x.countArrival(t, o, start)
	end := t.BeginRequest(o.Route)
	err := send()
	end()
	latency := time.Since(start)
	if connectionBroken(err) && !t.AliveAfterDisconnect() {
		return x.handleCrash(resp, a, latency)
	}
	if err != nil {
		if !(forwarder.IsKind(err, forwarder.KindTimeout) && t.IsCold()) {
			x.observe(t, o, !callerGone(err), latency)
		}
		resp.Reset()
		return translator.Report{Outcome: forwarder.OutcomeOf(err), Reason: ReasonOf(err), Load: t.LoadReport(limiterRequest(t, o))}, err.Error()
	}
	return x.classifyResponse(resp, a, latency)
}

// classifyResponse decides whether a response is the target's own complete
// response to this request.
func (x *Executor) classifyResponse(resp *fasthttp.Response, a attempt, latency time.Duration) (translator.Report, string) {
	t, o := a.target, a.order
	metadata := x.Translator.ReadResponse(&resp.Header)
	switch {
	case metadata.NotRun:
		targetRejectionsTotal.Inc()
		report := translator.NotRun(translator.ReasonShed)
		report.Load = t.LoadReport(limiterRequest(t, o))
		return report, "the target rejected the request"
	case !metadata.Verified:
		x.observe(t, o, true, latency)
		return translator.Unknown(translator.ReasonBroken), "the response cannot be verified as the target's complete response"
	}
	failed := resp.StatusCode() >= fasthttp.StatusInternalServerError
	x.observe(t, o, failed, latency)
	if !resp.IsBodyStream() {
		a.recordServed(resp.StatusCode())
	}
	if metadata.MeansNotRun && o.Unsafe {
		return translator.Unknown(translator.ReasonStatus), fmt.Sprintf("the target ran the request and responded with status %d", resp.StatusCode())
	}
	if !failed {
		t.RecordResponse(o.Route, latency, bodySize(resp))
	}
	checker.StripResponse(&resp.Header)
	resp.Header.Set(checker.HeaderServed, t.Version+" "+t.Target)
	return translator.Report{Outcome: forwarder.OutcomeRan, Load: t.LoadReport(limiterRequest(t, o))}, ""
}

// identity returns how the response to an order is told from the responses to other
// requests on the same connection. Responses that are not to the order are recorded.
// What the target states about itself is recorded as soon as the header has arrived: the
// body may take long.
func (x *Executor) identity(t *registrar.Target, o Order) forwarder.Identity {
	sentAt := time.Now()
	return forwarder.Identity{ID: o.RequestID, Match: func(h *fasthttp.ResponseHeader) forwarder.Match {
		metadata := x.Translator.ReadResponse(h)
		match := metadata.MatchRequest(o.RequestID)
		if match == forwarder.MatchForeign || match == forwarder.MatchNone {
			x.recordForeignResponse(t, o, h.StatusCode(), metadata)
			return match
		}
		x.recordNotice(t, o, metadata, sentAt)
		return match
	}}
}

// recordForeignResponse counts and logs a response of a target that was read for one
// request and names another one or none.
func (x *Executor) recordForeignResponse(t *registrar.Target, o Order, status int, m translator.ResponseMetadata) {
	foreignResponsesTotal.Inc()
	if x.Logger.AllowLine(msgForeignResponse) {
		x.Logger.Requests.Warn(msgForeignResponse, "id", o.RequestID, "echoedID", m.RequestID, "target", t.Target, "route", o.Route, "status", status, "notRun", m.NotRun)
	}
}

// bodySize returns the size of a response body in bytes, 0 for a stream of
// unknown length.
func bodySize(resp *fasthttp.Response) int {
	if resp.IsBodyStream() {
		return max(resp.Header.ContentLength(), 0)
	}
	return len(resp.Body())
}

// connectionBroken reports whether the connection to the target failed before
// the response was complete.
func connectionBroken(err error) bool { return forwarder.IsKind(err, forwarder.KindBroken) }

// callerGone reports whether the request ended because its caller disconnected.
func callerGone(err error) bool {
	return forwarder.IsKind(err, forwarder.KindCancelled) || forwarder.IsKind(err, forwarder.KindCancelledBeforeSend)
}

// observe passes the result of one request to the Observer, if there is one.
func (x *Executor) observe(t *registrar.Target, o Order, failed bool, latency time.Duration) {
	if x.Observer != nil {
		x.Observer.Observe(Observation{Service: t.Service, Version: t.Version, Route: o.Route, Unsafe: o.Unsafe, Failed: failed, Cold: t.CountResponse(), Latency: latency})
	}
}

// ReasonOf returns the reason for an error of a Forwarder. An error that is not a
// *forwarder.Error gives ReasonWrongResponse.
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
	case forwarder.KindUnmatched:
		return translator.ReasonWrongResponse
	}
	return translator.ReasonBroken
}
