// Package receiver serves the requests of callers at the entry node.
//
// Any node is an entry node. The receiver checks the request, matches a route of
// the table in force, selects a target version and an endpoint, and sends the
// request to the owner node of the target, which forwards it. Only the receiver
// decides on further attempts, see requestState.isFinal.
//
// # Usage
//
//	v := &receiver.Receiver{Node: "host-a", Tables: tables, Owner: executor, Tracer: tracer}
//	server := &acceptor.Server{Handler: v.Handle}
package receiver

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/common/logger"
	"github.com/hornbeamrack/hornbeamrack/connection/acceptor"
	"github.com/hornbeamrack/hornbeamrack/process/tracer"
	"github.com/hornbeamrack/hornbeamrack/request/budgeter"
	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/request/estimator"
	"github.com/hornbeamrack/hornbeamrack/request/executor"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/keeper"
	"github.com/hornbeamrack/hornbeamrack/request/router"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
)

const (
	// maxPeerConnections is the maximum number of open connections from this entry node
	// to one other node.
	maxPeerConnections = 512
	// ownerResponseGrace is the time that a response sent by the owner node at the
	// deadline takes to arrive.
	ownerResponseGrace = 100 * time.Millisecond
	// maxPeers is the maximum number of other nodes to which connections are kept; at
	// that number, a further node clears the list.
	maxPeers = 4096
	// ackTimeout is how long an owner node may take to acknowledge a request. It is many
	// times the network latency between data centres.
	ackTimeout = 200 * time.Millisecond
)

// TableProvider provides the table in force, the compiled configuration with the
// routes, services and endpoints of all nodes.
type TableProvider interface {
	// Table returns the table in force, nil when there is none yet.
	Table() *compiler.Table
	// Newer returns a channel that is closed once another table is in force.
	Newer(t *compiler.Table) <-chan struct{}
	// Freshness states whether the table in force may lack a version at the time now, by
	// the clock of package clock.
	Freshness(now time.Time) compiler.Freshness
	// NextReport returns a channel that is closed when the freshness may have changed
	// other than by the passing of time.
	NextReport() <-chan struct{}
	// ConfirmedAt returns the time of the last confirmation, zero before the first.
	ConfirmedAt() time.Time
}

// BreakerProvider is the circuit breaker of this node, which stops a move by the
// node's own evidence.
type BreakerProvider interface {
	// Tripped reports whether the circuit breaker has stopped a move at this node.
	Tripped(moveID string) bool
	// RecordOutcome adds the outcome of a request to the evidence.
	RecordOutcome(e decider.Evidence)
}

// PoisonProvider detects poison requests, which crash the targets that run them.
type PoisonProvider interface {
	// Rejected reports whether a request has crashed too many targets, and the counts.
	// caller is the service on this host, empty for any.
	Rejected(service, caller string, req *fasthttp.Request) (detail string, ok bool)
}

// Owner executes orders for the targets of this node's own host.
type Owner interface {
	// Execute runs one order and writes the response. It calls done when the order no
	// longer counts as in flight.
	Execute(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, o executor.Order, done func()) translator.Report
}

// Receiver is the entry node's part in serving a request: it takes the requests of
// callers, selects a route and an endpoint for each, sends them to the owner nodes or
// to its own Owner, retries, and writes the final response. It is safe for concurrent
// use. Exported fields are set before the first Handle.
type Receiver struct {
	Node       string
	Tables     TableProvider
	Owner      Owner
	Tracer     *tracer.Tracer
	Translator translator.Translator
	Breaker    BreakerProvider
	Poison     PoisonProvider
	Budget     budgeter.Budgeter
	Balancer   router.Balancer
	Logger     *logger.AsyncLogger // Logger may be nil.

	states        keeper.Keeper // states holds what targets have stated about themselves.
	origin        atomic.Pointer[string]
	draining      atomic.Bool
	finishBy      atomic.Pointer[time.Time] // finishBy bounds the deadlines of new requests; nil before FinishBy.
	softDeadlines estimator.SoftDeadlines
	stopping      atomic.Bool
	inFlight      atomic.Int64
	idOnce        sync.Once
	idPrefix      string
	lastID        atomic.Uint64
	mu            sync.Mutex
	peers         map[string]*forwarder.Forwarder
}

// SetOrigin sets the name of the service on this host, which is sent to targets as
// the origin of its requests.
func (v *Receiver) SetOrigin(service string) { v.origin.Store(&service) }

// originService returns the name set by SetOrigin, empty before the first call.
func (v *Receiver) originService() string {
	if s := v.origin.Load(); s != nil {
		return *s
	}
	return ""
}

// Drain starts a planned stop. From then on, a request that may be running is no
// longer given up when its acknowledgement is missing, since little time is left to
// run it again.
func (v *Receiver) Drain() { v.draining.Store(true) }

// FinishBy gives each new request a deadline no later than t, so that it has a response
// before the process ends.
func (v *Receiver) FinishBy(t time.Time) { v.finishBy.Store(&t) }

// Stop makes the receiver reject every new request. The process is about to exit,
// and a request that starts now could not be completed.
func (v *Receiver) Stop() { v.stopping.Store(true) }

// InFlight returns the number of requests whose callers wait for a response.
func (v *Receiver) InFlight() int64 { return v.inFlight.Load() }

// The metrics of the entry node: the time from the receipt of a request to the end of
// its handling in seconds, the number of requests by final outcome, and the number of
// retries that were charged to the retry budget.
var (
	requestSeconds = metrics.NewHistogram("hornbeam_request_seconds")
	ranTotal       = metrics.NewCounter(`hornbeam_requests_total{outcome="ran"}`)
	notRunTotal    = metrics.NewCounter(`hornbeam_requests_total{outcome="notRun"}`)
	unknownTotal   = metrics.NewCounter(`hornbeam_requests_total{outcome="unknown"}`)
	retriesTotal   = metrics.NewCounter("hornbeam_retries_total")
)

// outcomeCounter returns the request counter of an outcome. Any value but OutcomeRan and
// OutcomeNotRun gives the counter of OutcomeUnknown.
func outcomeCounter(o forwarder.Outcome) *metrics.Counter {
	switch o {
	case forwarder.OutcomeRan:
		return ranTotal
	case forwarder.OutcomeNotRun:
		return notRunTotal
	}
	return unknownTotal
}

// Handle serves one request of a caller, including all retries, and writes the final
// response to x, which is a target's response or a rejection by this node.
func (v *Receiver) Handle(x *acceptor.Exchange) {
	v.inFlight.Add(1)
	defer v.inFlight.Add(-1)
	report := v.handle(x)
	asserter.Check(report.Outcome != "", "answerHasOutcome", "%s", x.Request.Header.RequestURI())
	v.Translator.FinishResponse(&x.Response.Header, report)
	outcomeCounter(report.Outcome).Inc()
	requestSeconds.UpdateDuration(x.ReceivedAt)
}

// handle does the steps of Handle up to the report: it rejects a request that is
// malformed or poison, has no route, or arrives while the node is stopping or has no
// current table in time, and dispatches any other.
func (v *Receiver) handle(x *acceptor.Exchange) translator.Report {
	req := &x.Request
	if err := checker.Check(req); err != nil {
		x.CloseAfterResponse()
		return v.reject(x, translator.NotRun(translator.ReasonBadRequest), err.Error(), time.Time{})
	}
	if v.stopping.Load() {
		x.CloseAfterResponse()
		return v.reject(x, translator.NotRun(translator.ReasonStopping), "this node is stopping", x.ReceivedAt.Add(stoppingRetryAfter))
	}
	table, freshness := v.currentTable(x)
	if table == nil {
		return v.rejectNotReady(x, notReadyDetail(freshness))
	}
	route, ok := table.Match(string(req.Header.Host()), string(req.Header.Method()), checker.Path(req))
	if !ok {
		return v.rejectNoRoute(x, freshness)
	}
	caller, err := v.Translator.ReadRequest(&req.Header, x.ReceivedAt)
	if err != nil {
		return v.reject(x, translator.NotRun(translator.ReasonBadRequest), err.Error(), time.Time{})
	}
	if caller.RequestID == "" {
		caller.RequestID = v.requestID()
	}
	checker.StripRequest(&req.Header)
	span := v.Tracer.Start(&req.Header, "entry")
	defer span.End()
	span.SetAttribute("route", route.Path)
	s := v.newRequestState(x, table, route, caller)
	if s.unsafe && !claimer.ValidKey(string(req.Header.Peek(checker.HeaderIdempotencyKey))) {
		return v.reject(x, translator.NotRun(translator.ReasonBadRequest), "header "+checker.HeaderIdempotencyKey+" is not UTF-8", time.Time{})
	}
	if detail, ok := v.Poison.Rejected(s.service.Name, v.originService(), req); ok {
		return v.finish(s, translator.NotRun(translator.ReasonPoison), "poison request: it was in flight when targets crashed and is not run again; "+detail)
	}
	return v.dispatch(s)
}

// awaitNewTable waits for a newer table than old. It returns false when none came
// before the deadline or the caller disconnected.
func (v *Receiver) awaitNewTable(x *acceptor.Exchange, old *compiler.Table, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-v.Tables.Newer(old):
		return true
	case <-timer.C:
		return false
	case <-x.Context().Done():
		return false
	}
}

// requestID returns an id that is unique over all nodes and their incarnations: a
// random prefix that is drawn once, and a counter.
func (v *Receiver) requestID() string {
	v.idOnce.Do(func() { v.idPrefix = uuid.NewString() + "-" })
	return v.idPrefix + strconv.FormatUint(v.lastID.Add(1), 36)
}

// reject writes a response of the node in place of a target's and returns the report r
// unchanged. detail is the cause in words; retryAt is when the caller may retry, the
// zero time when no time is named.
func (v *Receiver) reject(x *acceptor.Exchange, r translator.Report, detail string, retryAt time.Time) translator.Report {
	v.Translator.WriteRejection(&x.Response, translator.Rejection{Report: r, Detail: detail, RetryAt: retryAt})
	return r
}

// peer returns the pool of connections to the node at an address and creates it at
// first use. At maxPeers it clears the list of pools first.
func (v *Receiver) peer(address string) *forwarder.Forwarder {
	v.mu.Lock()
	defer v.mu.Unlock()
	if f, ok := v.peers[address]; ok {
		return f
	}
	if v.peers == nil || len(v.peers) >= maxPeers {
		v.peers = map[string]*forwarder.Forwarder{}
	}
	f := &forwarder.Forwarder{Address: address, MaxConnections: maxPeerConnections, AckTimeout: ackTimeout}
	v.peers[address] = f
	return f
}
