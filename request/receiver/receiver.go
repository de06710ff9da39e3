// Package receiver takes requests from callers at the entry node.
//
// Any node is an entry node. The receiver checks the request, matches a route
// of the table in force, picks a target version and an endpoint, and asks the
// owner node beside the target to hand the request over. It alone decides on
// further attempts, and it makes them only when the last attempt provably did
// not run, or when running twice does no harm:
//
//   - not run: another endpoint is tried, whatever the method.
//   - unknown, idempotent request: another endpoint is tried.
//   - unknown, with an idempotency key: another endpoint is tried, since the
//     claim on the key lets only one attempt run.
//   - unknown otherwise: the caller is told so.
//
// All further attempts together come out of a budget, a share of the first
// attempts, so that retries cannot multiply an overload.
//
// # Usage
//
//	v := &receiver.Receiver{Node: "host-a", Tables: keeper, Owner: executor, Tracer: tracer}
//	server := &fasthttp.Server{Handler: v.Handle}
package receiver

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/process/tracer"
	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/request/executor"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/router"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
)

const (
	// budgetRatio is the number of first attempts that earn one further attempt.
	budgetRatio = 10
	// budgetMax bounds the further attempts that are saved up.
	budgetMax = 100
	// minRetryTime is the time that a further attempt needs to make sense.
	minRetryTime = 5 * time.Millisecond
	// peerConnections bounds the connections to one other node.
	peerConnections = 512
	// ownerGrace is the time that the owner's own answer at the deadline takes to arrive.
	ownerGrace = 100 * time.Millisecond
	maxPeers   = 4096
)

// TableProvider gives the table in force.
type TableProvider interface {
	Table() *compiler.Table
}

// BrakeProvider judges moves by this node's own evidence.
type BrakeProvider interface {
	// Braked tells whether this node has turned against a move.
	Braked(moveID string) bool
	// Judge takes in how one request ended.
	Judge(e decider.Evidence)
}

// PoisonProvider knows requests that crash targets.
type PoisonProvider interface {
	// Refuses reports whether a request has crashed too many targets.
	Refuses(service string, req *fasthttp.Request) bool
}

// Owner carries out orders for targets on this node's own host.
type Owner interface {
	Execute(req *fasthttp.Request, resp *fasthttp.Response, o executor.Order, done func()) executor.Report
}

// Receiver is safe for concurrent use. Exported fields are set before the
// first Handle.
type Receiver struct {
	Node   string
	Tables TableProvider
	Owner  Owner
	Tracer *tracer.Tracer
	Brakes BrakeProvider
	Poison PoisonProvider
	Board  router.Board

	spent    atomic.Int64 // spent is what retries have taken out of the budget, in tenths of an attempt.
	inFlight atomic.Int64
	idOnce   sync.Once
	idPrefix string
	lastID   atomic.Uint64
	mu       sync.Mutex
	peers    map[string]*forwarder.Forwarder
}

// attempt is the state of one request while endpoints are tried.
type attempt struct {
	ctx      *fasthttp.RequestCtx
	route    *compiler.Route
	deadline time.Time
	unsafe   bool
	keyed    bool
	version  string
	tried    []applier.EndpointKey
}

// InFlight returns the number of requests that callers wait for.
func (v *Receiver) InFlight() int64 { return v.inFlight.Load() }

// Handle serves one request of a caller.
func (v *Receiver) Handle(ctx *fasthttp.RequestCtx) {
	v.inFlight.Add(1)
	defer v.inFlight.Add(-1)
	start := time.Now()
	report := v.handle(ctx, start)
	ctx.Response.Header.Set(checker.HeaderOutcome, string(report.Outcome))
	asserter.That(report.Outcome != "", "answerHasOutcome", "%s", ctx.Path())
	outcomeCounter(report.Outcome).Inc()
	requestSeconds.UpdateDuration(start)
}

var (
	requestSeconds = metrics.NewHistogram("hornbeam_request_seconds")
	ranTotal       = metrics.NewCounter(`hornbeam_requests_total{outcome="ran"}`)
	notRunTotal    = metrics.NewCounter(`hornbeam_requests_total{outcome="notRun"}`)
	unknownTotal   = metrics.NewCounter(`hornbeam_requests_total{outcome="unknown"}`)
	retriesTotal   = metrics.NewCounter("hornbeam_retries_total")
	budgetEmpty    = metrics.NewCounter("hornbeam_retry_budget_empty_total")
)

func outcomeCounter(o forwarder.Outcome) *metrics.Counter {
	switch o {
	case forwarder.OutcomeRan:
		return ranTotal
	case forwarder.OutcomeNotRun:
		return notRunTotal
	}
	return unknownTotal
}

func (v *Receiver) handle(ctx *fasthttp.RequestCtx, start time.Time) executor.Report {
	if err := checker.Check(&ctx.Request); err != nil {
		ctx.SetConnectionClose()
		return refuse(ctx, executor.ReasonBadRequest, err.Error())
	}
	table := v.Tables.Table()
	if table == nil {
		return refuse(ctx, executor.ReasonNotReady, "this node has no confirmed configuration yet")
	}
	route, ok := table.Match(string(ctx.Method()), string(ctx.Path()))
	if !ok {
		return refuse(ctx, executor.ReasonNoRoute, "the configuration has no route for this method and path")
	}
	deadline, err := checker.Deadline(&ctx.Request.Header, start.Add(route.Timeout.Duration()))
	if err != nil {
		return refuse(ctx, executor.ReasonBadRequest, err.Error())
	}
	if v.Poison.Refuses(route.Service, &ctx.Request) {
		return refuse(ctx, executor.ReasonPoison, "this request was in flight when targets died; it is not run again")
	}
	checker.StripRequest(&ctx.Request.Header)
	span := v.Tracer.Start(&ctx.Request.Header, "entry")
	defer span.End()
	span.Set("route", route.Path)
	return v.try(v.newAttempt(ctx, route, deadline))
}

func (v *Receiver) newAttempt(ctx *fasthttp.RequestCtx, route *compiler.Route, deadline time.Time) *attempt {
	key := string(ctx.Request.Header.Peek(checker.HeaderIdempotencyKey))
	a := &attempt{ctx: ctx, route: route, deadline: deadline, keyed: key != ""}
	a.unsafe = route.NonIdempotent || ctx.IsPost() || ctx.IsPatch()
	if key == "" {
		key = string(ctx.Request.Header.Peek(checker.HeaderKey))
	}
	a.version = router.VersionFor(route.Target.Traffic, key, a.unsafe, v.Brakes.Braked)
	if route.Target.Pool(a.version).Empty() {
		a.version = route.Target.Traffic.Serving
	}
	return a
}

// try makes the first attempt and, where allowed, further ones.
func (v *Receiver) try(a *attempt) executor.Report {
	v.earn()
	report := executor.Report{Outcome: forwarder.OutcomeNotRun, Reason: executor.ReasonNoTarget}
	for n := 0; ; n++ {
		e, ok := v.Board.Pick(a.route.Target, a.version, a.tried)
		if !ok {
			if n == 0 {
				return refuse(a.ctx, executor.ReasonNoTarget, "no target runs this service")
			}
			return report
		}
		a.tried = append(a.tried, e.EndpointKey)
		report = v.send(a, e)
		if !a.mayRetry(report, n) || !v.spend() {
			return report
		}
		retriesTotal.Inc()
	}
}

// mayRetry tells whether another endpoint may be tried after n retries.
func (a *attempt) mayRetry(r executor.Report, n int) bool {
	if n >= a.route.Retries || time.Until(a.deadline) < minRetryTime {
		return false
	}
	if r.Reason == executor.ReasonCrash {
		return false // It may be the request that crashes its targets.
	}
	switch r.Outcome {
	case forwarder.OutcomeNotRun:
		return r.Reason != executor.ReasonMismatch && r.Reason != executor.ReasonClaim
	case forwarder.OutcomeUnknown:
		return !a.unsafe || (a.keyed && r.Reason != executor.ReasonHeld)
	}
	return false
}

// requestID is unique over all nodes and their lives: the random part is drawn
// once, the rest counts.
func (v *Receiver) requestID() string {
	v.idOnce.Do(func() { v.idPrefix = uuid.NewString() + "-" })
	return v.idPrefix + strconv.FormatUint(v.lastID.Add(1), 36)
}

// earn gives a first attempt's part back to the budget, which begins full.
func (v *Receiver) earn() {
	if v.spent.Load() > 0 {
		v.spent.Add(-1)
	}
}

// spend takes one further attempt out of the budget.
func (v *Receiver) spend() bool {
	if v.spent.Add(budgetRatio) <= budgetMax*budgetRatio {
		return true
	}
	v.spent.Add(-budgetRatio)
	budgetEmpty.Inc()
	return false
}

// send makes one attempt at one endpoint.
func (v *Receiver) send(a *attempt, e applier.Endpoint) executor.Report {
	o := executor.Order{
		RequestID: v.requestID(), Target: e.Target, Route: a.route.Path, Unsafe: a.unsafe,
		Stream: a.route.Stream, Rank: a.route.Importance.Rank(), Deadline: a.deadline,
	}
	done := v.Board.Begin(e.EndpointKey)
	a.ctx.Response.Reset()
	var report executor.Report
	if e.Node == v.Node {
		report = v.Owner.Execute(&a.ctx.Request, &a.ctx.Response, o, done)
	} else {
		report = v.sendPeer(a, e, o, done)
	}
	if report.Outcome == forwarder.OutcomeNotRun || report.Reason == executor.ReasonBroken {
		v.Board.Penalise(e.EndpointKey)
	}
	v.judge(a, e, report)
	return report
}

// judge tells the brake how a request ended that may have run.
func (v *Receiver) judge(a *attempt, e applier.Endpoint, r executor.Report) {
	m := a.route.Target.Traffic.Move
	if m == nil || !m.Running() || r.Outcome == forwarder.OutcomeNotRun || r.Replayed || r.Reason == executor.ReasonHeld {
		return
	}
	evidence := decider.Evidence{MoveID: m.ID, New: e.Version == m.To, Route: a.route.Path, Unsafe: a.unsafe}
	failed := r.Outcome == forwarder.OutcomeUnknown || a.ctx.Response.StatusCode() >= fasthttp.StatusInternalServerError
	evidence.Add(failed, true, 0)
	v.Brakes.Judge(evidence)
}

// sendPeer asks another node to carry out the order.
func (v *Receiver) sendPeer(a *attempt, e applier.Endpoint, o executor.Order, done func()) executor.Report {
	req, resp := &a.ctx.Request, &a.ctx.Response
	req.Header.Set(checker.HeaderOrder, o.Encode())
	defer req.Header.Del(checker.HeaderOrder)
	var err error
	if o.Stream && !o.Unsafe {
		err = v.peer(e.Address).Stream(req, resp, o.Deadline.Add(ownerGrace), done)
	} else {
		err = v.peer(e.Address).Do(req, resp, o.Deadline.Add(ownerGrace))
		done()
	}
	if err != nil {
		report := executor.Report{Outcome: forwarder.OutcomeOf(err), Reason: executor.ReasonOf(err)}
		executor.Refuse(resp, report, err.Error())
		return report
	}
	return readReport(resp, o)
}

// readReport takes the owner's verdict out of its answer.
func readReport(resp *fasthttp.Response, o executor.Order) executor.Report {
	if string(resp.Header.Peek(checker.HeaderRequestID)) != o.RequestID {
		report := executor.Report{Outcome: forwarder.OutcomeUnknown, Reason: executor.ReasonCrossed}
		executor.Refuse(resp, report, "the answer names another request")
		return report
	}
	report := executor.Report{
		Outcome: forwarder.Outcome(resp.Header.Peek(checker.HeaderOutcome)),
		Reason:  executor.Reason(resp.Header.Peek(checker.HeaderReason)),
	}
	resp.Header.Del(fasthttp.HeaderConnection)
	return report
}

func (v *Receiver) peer(address string) *forwarder.Forwarder {
	v.mu.Lock()
	defer v.mu.Unlock()
	if f, ok := v.peers[address]; ok {
		return f
	}
	if v.peers == nil || len(v.peers) >= maxPeers {
		v.peers = map[string]*forwarder.Forwarder{}
	}
	f := &forwarder.Forwarder{Address: address, Connections: peerConnections}
	v.peers[address] = f
	return f
}

func refuse(ctx *fasthttp.RequestCtx, reason executor.Reason, detail string) executor.Report {
	report := executor.Report{Outcome: forwarder.OutcomeNotRun, Reason: reason}
	executor.Refuse(&ctx.Response, report, detail)
	return report
}
