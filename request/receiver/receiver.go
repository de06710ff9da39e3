// Package receiver takes requests from callers at the entry node.
//
// Any node is an entry node. The receiver checks the request, matches a route
// of the table in force, picks a target version and an endpoint, and asks the
// owner node beside the target to hand the request over. It alone decides on
// further attempts, see attempt.next.
//
// # Usage
//
//	v := &receiver.Receiver{Node: "host-a", Tables: keeper, Owner: executor, Tracer: tracer}
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
	"github.com/hornbeamrack/hornbeamrack/request/estimator"
	"github.com/hornbeamrack/hornbeamrack/request/executor"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/router"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
)

const (
	// peerConnections bounds the connections to one other node.
	peerConnections = 512
	// ownerGrace is the time that the owner's own answer at the deadline takes to arrive.
	ownerGrace = 100 * time.Millisecond
	maxPeers   = 4096
	// signTime is how long an owner node may take to sign for a request; it is
	// many times the way between data centres.
	signTime = 200 * time.Millisecond
)

// TableProvider gives the table in force.
type TableProvider interface {
	Table() *compiler.Table
	// Newer returns a channel that is closed once another table is in force.
	Newer(t *compiler.Table) <-chan struct{}
}

// BreakerProvider judges moves by this node's own evidence.
type BreakerProvider interface {
	// Tripped tells whether this node has turned against a move.
	Tripped(moveID string) bool
	// RecordOutcome takes in how one request ended.
	RecordOutcome(e decider.Evidence)
}

// PoisonProvider knows requests that crash targets.
type PoisonProvider interface {
	// ShouldReject reports whether a request has crashed too many targets.
	ShouldReject(service string, req *fasthttp.Request) bool
}

// Owner carries out orders for targets on this node's own host.
type Owner interface {
	Execute(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, o executor.Order, done func()) translator.Report
}

// Receiver is safe for concurrent use. Exported fields are set before the
// first Handle.
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
	Logger     *logger.AsyncLogger // Journal may be nil.

	origin   atomic.Pointer[string]
	draining atomic.Bool
	aims     estimator.SoftDeadlines
	stopping atomic.Bool
	inFlight atomic.Int64
	idOnce   sync.Once
	idPrefix string
	lastID   atomic.Uint64
	mu       sync.Mutex
	peers    map[string]*forwarder.Forwarder
}

// SetOrigin names the service on this host, which requests from here come from.
func (v *Receiver) SetOrigin(service string) { v.origin.Store(&service) }

func (v *Receiver) originService() string {
	if s := v.origin.Load(); s != nil {
		return *s
	}
	return ""
}

// Drain tells the receiver that a planned stop has begun: nothing that may be
// worked on is given up any more, since little time is left to do it again.
func (v *Receiver) Drain() { v.draining.Store(true) }

// Stop makes the receiver refuse every new request. The process is about to
// end, and a request that is begun now could not be finished.
func (v *Receiver) Stop() { v.stopping.Store(true) }

// InFlight returns the number of requests that callers wait for.
func (v *Receiver) InFlight() int64 { return v.inFlight.Load() }

var (
	requestSeconds = metrics.NewHistogram("hornbeam_request_seconds")
	ranTotal       = metrics.NewCounter(`hornbeam_requests_total{outcome="ran"}`)
	notRunTotal    = metrics.NewCounter(`hornbeam_requests_total{outcome="notRun"}`)
	unknownTotal   = metrics.NewCounter(`hornbeam_requests_total{outcome="unknown"}`)
	retriesTotal   = metrics.NewCounter("hornbeam_retries_total")
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

// Handle serves one request of a caller.
func (v *Receiver) Handle(x *acceptor.Exchange) {
	v.inFlight.Add(1)
	defer v.inFlight.Add(-1)
	report := v.handle(x)
	asserter.That(report.Outcome != "", "answerHasOutcome", "%s", x.Request.Header.RequestURI())
	v.Translator.FinishResponse(&x.Response.Header, report)
	outcomeCounter(report.Outcome).Inc()
	requestSeconds.UpdateDuration(x.ReceivedAt)
}

func (v *Receiver) handle(x *acceptor.Exchange) translator.Report {
	req := &x.Request
	if err := checker.Check(req); err != nil {
		x.CloseAfter()
		return v.refuse(x, translator.NotRun(translator.ReasonBadRequest), err.Error(), time.Time{})
	}
	if v.stopping.Load() {
		x.CloseAfter()
		return v.refuse(x, translator.NotRun(translator.ReasonStopping), "this node is stopping", x.ReceivedAt.Add(stoppingPause))
	}
	table := v.Tables.Table()
	if table == nil && v.awaitNews(x, nil, x.ReceivedAt.Add(newsTime)) {
		table = v.Tables.Table()
	}
	if table == nil {
		return v.refuse(x, translator.NotRun(translator.ReasonNotReady), "this node has no confirmed configuration yet", x.ReceivedAt.Add(notReadyPause))
	}
	route, ok := table.Match(string(req.Header.Host()), string(req.Header.Method()), checker.Path(req))
	if !ok {
		return v.refuse(x, translator.NotRun(translator.ReasonNoRoute), "the configuration has no route for this host, method and path", time.Time{})
	}
	caller, err := v.Translator.ReadRequest(&req.Header, x.ReceivedAt)
	if err != nil {
		return v.refuse(x, translator.NotRun(translator.ReasonBadRequest), err.Error(), time.Time{})
	}
	if caller.RequestID == "" {
		caller.RequestID = v.requestID()
	}
	checker.StripRequest(&req.Header)
	span := v.Tracer.Start(&req.Header, "entry")
	defer span.End()
	span.Set("route", route.Path)
	a := v.newAttempt(x, table, route, caller)
	if v.Poison.ShouldReject(a.service.Name, req) {
		return v.end(a, translator.NotRun(translator.ReasonPoison), "this request was in flight when targets died; it is not run again")
	}
	return v.try(a)
}

// awaitNews waits for a newer table than the one a request was placed by. It is
// false when none came in time or the caller hung up.
func (v *Receiver) awaitNews(x *acceptor.Exchange, old *compiler.Table, till time.Time) bool {
	timer := time.NewTimer(time.Until(till))
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

// requestID is unique over all nodes and their lives: the random part is drawn
// once, the rest counts.
func (v *Receiver) requestID() string {
	v.idOnce.Do(func() { v.idPrefix = uuid.NewString() + "-" })
	return v.idPrefix + strconv.FormatUint(v.lastID.Add(1), 36)
}

// refuse answers in place of a target.
func (v *Receiver) refuse(x *acceptor.Exchange, r translator.Report, detail string, retryAt time.Time) translator.Report {
	v.Translator.WriteRefusal(&x.Response, translator.Refusal{Report: r, Detail: detail, RetryAt: retryAt})
	return r
}

// peer returns the connections to another node.
func (v *Receiver) peer(address string) *forwarder.Forwarder {
	v.mu.Lock()
	defer v.mu.Unlock()
	if f, ok := v.peers[address]; ok {
		return f
	}
	if v.peers == nil || len(v.peers) >= maxPeers {
		v.peers = map[string]*forwarder.Forwarder{}
	}
	f := &forwarder.Forwarder{Address: address, MaxConnections: peerConnections, AckTimeout: signTime}
	v.peers[address] = f
	return f
}
