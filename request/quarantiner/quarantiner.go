// Package quarantiner limits the harm of poison requests, which crash every target
// that runs them.
//
// When a target crashes with a request in flight, the owner node reports the
// request's signature to the control hosts, which count the crashes and send the
// counts to all nodes. After applier.CrashThreshold crashes every entry node rejects the
// request as not run. Until the last crash is reported to all nodes, a request that
// is sent to many nodes at once can crash as many targets as it reaches. A node
// therefore also counts the crashes at its own targets and rejects the request
// without waiting for the control hosts.
//
// # Usage
//
//	q := &quarantiner.Quarantiner{Tables: tables, Reports: client}
//	if q.ShouldReject(service, request) { ... }   // at the entry node
//	q.RecordCrash(service, request)               // at the owner node, after a crash
package quarantiner

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

const (
	// reportTimeout bounds the sending of one crash report.
	reportTimeout = 5 * time.Second
	// maxLocalRequests bounds the requests whose crashes are counted at this node.
	maxLocalRequests = 256
)

// TableProvider provides the table in force.
type TableProvider interface {
	// Table returns the table in force, nil when there is none yet.
	Table() *compiler.Table
}

// ReportProvider sends crash reports to the control hosts.
type ReportProvider interface {
	// ReportCrash reports one crash of a target of the service. It returns an error when
	// no control host accepted the report.
	ReportCrash(ctx context.Context, service string, signature uint64) error
}

// requestKey identifies a request at this node by its service and its Signature.
type requestKey struct {
	service   string
	signature uint64
}

// Quarantiner counts crashes and rejects poison requests. Exported fields are set
// before the first call. It is safe for concurrent use.
type Quarantiner struct {
	Tables  TableProvider
	Reports ReportProvider

	background conc.WaitGroup
	mu         sync.Mutex
	crashes    map[requestKey]int // crashes counts the crashes at this node's own targets.
}

// The metrics of this node: requests in flight at a crash of a target, and requests
// rejected as poison.
var (
	crashesTotal = metrics.NewCounter("hornbeam_target_crashes_total")
	refusedTotal = metrics.NewCounter("hornbeam_quarantined_requests_total")
)

// Signature returns a hash that identifies a request: of its idempotency key, or of
// its method, path and body when it has none.
func Signature(req *fasthttp.Request) uint64 {
	if key := req.Header.Peek(checker.HeaderIdempotencyKey); len(key) > 0 {
		return xxhash.Sum64(key)
	}
	return checker.Fingerprint(req)
}

// ShouldReject reports whether a request has crashed applier.CrashThreshold targets or
// more, and counts it as rejected then. The request is recognised by its service and
// Signature; the larger of the counts of this node and of the table in force applies.
func (q *Quarantiner) ShouldReject(service string, req *fasthttp.Request) bool {
	t := q.Tables.Table()
	q.mu.Lock()
	local := len(q.crashes) > 0
	q.mu.Unlock()
	if !local && (t == nil || !t.HasPoisonRequests(service)) {
		return false
	}
	s := requestKey{service, Signature(req)}
	q.mu.Lock()
	n := q.crashes[s]
	q.mu.Unlock()
	if t != nil {
		n = max(n, t.CrashCount(service, s.signature, time.Now()))
	}
	if n < applier.CrashThreshold {
		return false
	}
	refusedTotal.Inc()
	return true
}

// RecordCrash records that a target crashed with the request in flight and reports it to the
// control hosts in the background. A report that fails is not sent again.
func (q *Quarantiner) RecordCrash(service string, req *fasthttp.Request) {
	crashesTotal.Inc()
	s := requestKey{service, Signature(req)}
	q.mu.Lock()
	if q.crashes == nil || len(q.crashes) >= maxLocalRequests {
		q.crashes = map[requestKey]int{}
	}
	q.crashes[s]++
	q.mu.Unlock()
	q.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_ = q.Reports.ReportCrash(ctx, s.service, s.signature)
	})
}

// Wait returns once every report was sent or has failed.
func (q *Quarantiner) Wait() { q.background.Wait() }
