// Package quarantiner limits the harm of poison requests, which crash every target
// that runs them.
//
// When a target crashes, the owner node reports the crash once for each different request
// in flight to the control hosts, which count the crashes of a request and send the counts
// to all nodes. After applier.CrashThreshold crashes every entry node rejects the request
// as not run. Until the last crash is reported to all nodes, a request that
// is sent to many nodes at once can crash as many targets as it reaches. A node
// therefore rejects the request by the crashes at its own targets, too, until the control
// hosts have counted them.
//
// A request that was merely in flight at a crash is told from a poison request by its
// other runs: a poison request is never served. An owner node remembers which requests
// its targets have served. A crash report states whether the request is one of them, and
// the node reports each run that was served although crashes of the request were known;
// such a run takes the crashes back. applier.PoisonRequest.Rejected is the rule.
//
// # Usage
//
//	q := &quarantiner.Quarantiner{Tables: tables, Reports: client}
//	if _, ok := q.Rejected(service, caller, request); ok { ... } // at the entry node
//	run := q.Begin(service, caller, request)                     // at the owner node
//	run.Served()                                                 // after the complete response
//	run.Crashed(crash)                                           // after a crash
package quarantiner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/common/logger"
	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

// TableProvider provides the table in force.
type TableProvider interface {
	// Table returns the table in force, nil when there is none yet.
	Table() *compiler.Table
}

// ReportProvider sends reports to the control hosts.
type ReportProvider interface {
	// ReportCrash reports one crash with one request in flight; it sets the node and the
	// time. It returns an error when no control host accepted the report before ctx ended.
	ReportCrash(ctx context.Context, r applier.ReportCrash) error
	// ReportServed reports that targets of this node served requests. It returns an error
	// when no control host accepted the report before ctx ended.
	ReportServed(ctx context.Context, served []applier.ServedRequest) error
}

// requestKey identifies a request at this node by its service and its Signature.
type requestKey struct {
	service   string
	signature uint64
}

// hex returns the signature as it is written in events and logs.
func (k requestKey) hex() string { return fmt.Sprintf("%016x", k.signature) }

// Quarantiner counts crashes and rejects poison requests. Exported fields are set
// before the first call. It is safe for concurrent use.
type Quarantiner struct {
	Tables  TableProvider
	Reports ReportProvider
	Logger  *logger.AsyncLogger // Logger may be nil.

	sender  sender
	mu      sync.Mutex
	crashes map[requestKey]localCrashes
	served  servedRequests
	checked *compiler.Table // checked is the table whose poison requests were last compared with served.
}

// The metrics of this node: pairs of a crash of a target and a different request in
// flight, those of them whose request was served not long before, and requests rejected
// as poison.
var (
	crashesTotal       = metrics.NewCounter("hornbeam_target_crashes_total")
	servedCrashesTotal = metrics.NewCounter("hornbeam_target_crashes_served_total")
	refusedTotal       = metrics.NewCounter("hornbeam_quarantined_requests_total")
)

// Signature returns a hash that identifies a request: of its caller, method, path and
// body. caller is the service on the host where the request began, empty if that is not
// known. The idempotency key is left out: a request whose target crashed does not run
// again under its key, and its caller sends it with another one.
func Signature(caller string, req *fasthttp.Request) uint64 {
	if caller == "" {
		return checker.Fingerprint(req)
	}
	return xxhash.Sum64String(fmt.Sprintf("%016x%s", checker.Fingerprint(req), caller))
}

// Rejected reports whether a request is rejected as poison, and why; it counts the
// request as rejected then. The request is recognised by its service and Signature, by
// the record in the table in force and by the crashes at this node's own targets.
func (q *Quarantiner) Rejected(service, caller string, req *fasthttp.Request) (detail string, ok bool) {
	t := q.Tables.Table()
	q.reportRemembered(t)
	q.mu.Lock()
	local := len(q.crashes) > 0
	q.mu.Unlock()
	if !local && (t == nil || !t.HasPoisonRequests(service)) {
		return "", false
	}
	key := requestKey{service, Signature(caller, req)}
	now := time.Now()
	if p, found := lookUp(t, key, now); found && p.Rejected() {
		refusedTotal.Inc()
		return p.String(), true
	}
	q.mu.Lock()
	l := q.crashes[key]
	q.mu.Unlock()
	n := l.unknown(now)
	if n < applier.CrashThreshold || l.expired(now) {
		return "", false
	}
	refusedTotal.Inc()
	return fmt.Sprintf("request %s: crashes=%d at targets of this host", key.hex(), n), true
}

// lookUp returns the record of a request in a table, which may be nil.
func lookUp(t *compiler.Table, key requestKey, now time.Time) (applier.PoisonRequest, bool) {
	if t == nil {
		return applier.PoisonRequest{}, false
	}
	return t.PoisonRequest(key.service, key.signature, now)
}

// reportRemembered reports the poison requests in a new table that targets of this node
// have served before, as far as no node has reported that yet.
func (q *Quarantiner) reportRemembered(t *compiler.Table) {
	for _, r := range q.remembered(t, time.Now()) {
		q.sendServed(r)
	}
}

// remembered returns the reports of reportRemembered; there are none for the table of the
// last call.
func (q *Quarantiner) remembered(t *compiler.Table, now time.Time) []servedReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t == nil || t == q.checked {
		return nil
	}
	q.checked = t
	var reports []servedReport
	for _, p := range t.PoisonRequests() {
		r := servedReport{key: requestKey{p.Service, p.Signature}}
		if now.Before(p.ExpiresAt) && !p.Served && q.served.has(r.key, now) && q.served.shouldReport(r, now) {
			reports = append(reports, r)
		}
	}
	return reports
}

// Wait returns once every report was sent or has failed, or when ctx ends; reports that
// are not sent by then are given up.
func (q *Quarantiner) Wait(ctx context.Context) { q.sender.wait(ctx) }
