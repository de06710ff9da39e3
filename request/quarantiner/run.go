package quarantiner

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// The messages of the log lines on crashes and on served requests.
const (
	msgCrash  = "request in flight at a crash"
	msgServed = "request served after crashes"
)

// Run is one run of a request at a target of this node.
type Run struct {
	q       *Quarantiner
	key     requestKey
	beganAt time.Time
	// knownIndex is the PoisonRequest.Index in the table in force when the run began, 0
	// when it had no record of the request.
	knownIndex uint64
}

// Begin returns the run of a request that is about to be sent to a target of this node.
// It must be called before the request is changed for the target.
func (q *Quarantiner) Begin(service, caller string, req *fasthttp.Request) Run {
	t := q.Tables.Table()
	q.reportRemembered(t)
	r := Run{q: q, key: requestKey{service, Signature(caller, req)}, beganAt: time.Now()}
	if p, ok := lookUp(t, r.key, r.beganAt); ok {
		r.knownIndex = p.Index
	}
	return r
}

// Served records that the target served the request. If crashes of the request are known,
// that is reported to the control hosts.
func (r Run) Served() {
	now := time.Now()
	p, suspected := lookUp(r.q.Tables.Table(), r.key, now)
	isNews := suspected && (r.knownIndex > 0 || !p.Served)
	if report := (servedReport{r.key, r.knownIndex}); r.remember(now, isNews, report) {
		r.q.sendServed(report)
	}
}

// remember records the served run at this node, and returns whether to send its report,
// given whether it is news to the control hosts.
func (r Run) remember(now time.Time, isNews bool, report servedReport) bool {
	q := r.q
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served.add(r.key, now)
	if c, ok := q.crashes[r.key]; ok && r.beganAt.After(c.lastAt) {
		delete(q.crashes, r.key)
	}
	return isNews && q.served.shouldReport(report, now)
}

// Crashed records that the target crashed with the request in flight. The first of the
// runs of a request at one crash is reported to the control hosts, the others are not. A
// report is sent again until a control host accepts it; copies count once.
func (r Run) Crashed(crash applier.CrashID) {
	q, now := r.q, time.Now()
	served, first := r.rememberCrash(crash, now)
	if !first {
		return
	}
	crashesTotal.Inc()
	if served {
		servedCrashesTotal.Inc()
	}
	if q.Logger.AllowLine(msgCrash) {
		q.Logger.Requests.Warn(msgCrash, "service", r.key.service, "signature", r.key.hex(), "target", crash.Target, "startedAt", crash.StartedAt,
			"detectedAt", crash.DetectedAt, "ageMs", now.Sub(r.beganAt).Milliseconds(), "servedBefore", served, "knownIndex", r.knownIndex)
	}
	report := applier.ReportCrash{Service: r.key.service, Signature: r.key.signature, Crash: crash, Served: served, KnownIndex: r.knownIndex}
	q.sender.send(maxPendingReports, func(ctx context.Context) error {
		err := q.Reports.ReportCrash(ctx, report)
		if err == nil {
			r.rememberCounted(crash, time.Now())
		}
		return err
	})
}

// rememberCrash remembers a crash at this node, unless another run of the request at the
// same crash was remembered. It returns whether the request was served not long before,
// and whether the crash is remembered now.
func (r Run) rememberCrash(crash applier.CrashID, now time.Time) (served, first bool) {
	q := r.q
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.crashes[r.key]
	if l.has(crash) {
		return false, false
	}
	if l.expired(now) {
		l = localCrashes{}
	}
	served = q.served.take(r.key, now)
	q.storeCrashes(r.key, l.withCrash(localCrash{id: crash, served: served}, now), now)
	return served, true
}

// rememberCounted remembers that the control hosts have counted a crash.
func (r Run) rememberCounted(crash applier.CrashID, now time.Time) {
	q := r.q
	q.mu.Lock()
	defer q.mu.Unlock()
	if l, ok := q.crashes[r.key]; ok {
		q.crashes[r.key] = l.withCounted(crash, now)
	}
}

// sendServed sends a report on a served request to the control hosts.
func (q *Quarantiner) sendServed(r servedReport) {
	if q.Logger.AllowLine(msgServed) {
		q.Logger.Requests.Info(msgServed, "service", r.key.service, "signature", r.key.hex(), "knownIndex", r.knownIndex)
	}
	report := []applier.ServedRequest{{Service: r.key.service, Signature: r.key.signature, KnownIndex: r.knownIndex}}
	q.sender.send(maxPendingServed, func(ctx context.Context) error { return q.Reports.ReportServed(ctx, report) })
}
