// Package quarantiner bounds the harm of poison requests, which crash each
// target that runs them.
//
// When a target dies with a request in flight, the owner node reports the
// request's signature to the control hosts, which count the crashes and tell
// all nodes. After applier.MaxCrashes crashes every entry node refuses the
// request as not run. Between the last crash and the news of it, a request
// that is sent to many nodes at once can crash as many targets as it reaches;
// the nodes that saw a crash themselves refuse without waiting for the news.
//
// # Usage
//
//	q := &quarantiner.Quarantiner{Tables: keeper, Reports: client}
//	if q.ShouldReject(service, request) { ... }   // at the entry
//	q.Crashed(service, request)              // where the answer broke off
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
	reportTimeout = 5 * time.Second
	maxLocal      = 256
)

// TableProvider gives the table in force.
type TableProvider interface {
	Table() *compiler.Table
}

// ReportProvider takes reports of crashes to the control hosts.
type ReportProvider interface {
	ReportCrash(ctx context.Context, service string, signature uint64) error
}

// suspect is one request at this node.
type suspect struct {
	service   string
	signature uint64
}

// Quarantiner is one node's view. Exported fields are set before use; it is
// safe for concurrent use.
type Quarantiner struct {
	Tables  TableProvider
	Reports ReportProvider

	background conc.WaitGroup
	mu         sync.Mutex
	crashes    map[suspect]int // crashes are those that this node saw.
}

var (
	crashesTotal = metrics.NewCounter("hornbeam_target_crashes_total")
	refusedTotal = metrics.NewCounter("hornbeam_quarantined_requests_total")
)

// Signature identifies a request by its idempotency key, else by its method,
// path and body.
func Signature(req *fasthttp.Request) uint64 {
	if key := req.Header.Peek(checker.HeaderIdempotencyKey); len(key) > 0 {
		return xxhash.Sum64(key)
	}
	return checker.Fingerprint(req)
}

// ShouldReject reports whether a request has crashed too many targets.
func (q *Quarantiner) ShouldReject(service string, req *fasthttp.Request) bool {
	t := q.Tables.Table()
	q.mu.Lock()
	local := len(q.crashes) > 0
	q.mu.Unlock()
	if !local && (t == nil || !t.HasPoisonRequests(service)) {
		return false
	}
	s := suspect{service, Signature(req)}
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

// Crashed notes that a target died with the request in flight, here and at
// the control hosts.
func (q *Quarantiner) Crashed(service string, req *fasthttp.Request) {
	crashesTotal.Inc()
	s := suspect{service, Signature(req)}
	q.mu.Lock()
	if q.crashes == nil || len(q.crashes) >= maxLocal {
		q.crashes = map[suspect]int{}
	}
	q.crashes[s]++
	q.mu.Unlock()
	q.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_ = q.Reports.ReportCrash(ctx, s.service, s.signature)
	})
}

// Wait returns once every report is made or given up.
func (q *Quarantiner) Wait() { q.background.Wait() }
