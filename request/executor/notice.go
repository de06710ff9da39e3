package executor

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

// The messages of the log lines on what targets state about themselves.
const (
	msgLimitChanged   = "rate limit of a target changed"
	msgLimitInvalid   = "rate limit of a target is not valid"
	msgLimitedTraffic = "requests to a target with a rate limit"
	msgLeavingStated  = "target states that it leaves"
)

// ownEntry stands for this node among the entry nodes in the log.
const ownEntry = "self"

// The changes of rate limits that targets named, the limits that could not be read, the
// requests forwarded to targets with a rate limit, and the responses of targets that leave.
var (
	limitChangesTotal     = metrics.NewCounter("hornbeam_target_limit_changes_total")
	invalidLimitsTotal    = metrics.NewCounter("hornbeam_target_limits_invalid_total")
	limitedRequestsTotal  = metrics.NewCounter("hornbeam_limited_target_requests_total")
	leavingResponsesTotal = metrics.NewCounter("hornbeam_leaving_responses_total")
)

// recordNotice records what a target states about itself in the response to an order,
// whose request was sent at sentAt.
func (x *Executor) recordNotice(t *registrar.Target, o Order, m translator.ResponseMetadata, sentAt time.Time) {
	x.recordLimit(t, o, m, sentAt)
	if m.Notice.Leaving {
		x.recordLeaving(t, o)
	}
}

// recordLimit records the rate limit in a response. The absence of one counts only in a
// verified response, since another may have lost its headers.
func (x *Executor) recordLimit(t *registrar.Target, o Order, m translator.ResponseMetadata, sentAt time.Time) {
	if m.Notice.Err != nil {
		invalidLimitsTotal.Inc()
		if x.Logger.AllowLine(msgLimitInvalid) {
			x.Logger.Requests.Warn(msgLimitInvalid, "id", o.RequestID, "target", t.Target, "startedAt", t.StartedAt, "err", m.Notice.Err)
		}
		return
	}
	if !m.Notice.RateLimit.Named && !m.Verified {
		return
	}
	now := time.Now()
	if c, changed := t.RecordLimit(m.Notice.RateLimit, sentAt, now); changed {
		x.logLimitChange(t, c, o.RequestID, now.Sub(sentAt))
	}
}

// logLimitChange logs a change of a target's rate limit; took is the time from the
// request whose response stated it.
func (x *Executor) logLimitChange(t *registrar.Target, c registrar.LimitChange, requestID string, took time.Duration) {
	limitChangesTotal.Inc()
	if x.Logger.AllowLine(msgLimitChanged) {
		x.Logger.Info(msgLimitChanged, "id", requestID, "target", t.Target, "startedAt", t.StartedAt,
			"named", c.Is.Named, "perSecond", c.Is.PerSecond, "learned", c.Learned, "tookMs", took.Milliseconds(),
			"wasNamed", c.Was.Named, "wasPerSecond", c.Was.PerSecond, "wasLearned", c.WasLearned, "wasHeardMsAgo", c.HeardAgo.Milliseconds())
	}
}

// recordLeaving records that a target states that it leaves, and stops new requests to it.
func (x *Executor) recordLeaving(t *registrar.Target, o Order) {
	leavingResponsesTotal.Inc()
	if t.RecordLeaving() {
		x.stopLeaving(t.Target, t.StartedAt, o.RequestID, registrar.LearnedFromResponse)
	}
}

// stopLeaving stops new requests to a target that states that it leaves.
func (x *Executor) stopLeaving(target string, startedAt int64, requestID string, learned registrar.Learned) {
	err := x.Targets.MarkLeaving(target, startedAt)
	if x.Logger.AllowLine(msgLeavingStated) {
		x.Logger.Info(msgLeavingStated, "id", requestID, "target", target, "startedAt", startedAt, "learned", learned, "err", err)
	}
}

// adoptStates records what an entry node knows of targets beside this node. This node may
// have restarted and had no response of them since. A state names its incarnation: one
// without a start time could hold for a later one and is ignored.
func (x *Executor) adoptStates(states []translator.TargetState, o Order) {
	for _, s := range states {
		if s.StartedAt == 0 {
			continue
		}
		t, ok := x.Targets.Find(s.Target)
		known := ok && t.StartedAt == s.StartedAt
		if s.Leaving && (!ok || known && t.RecordLeaving()) {
			x.stopLeaving(s.Target, s.StartedAt, o.RequestID, registrar.LearnedFromEntry)
		}
		if !known || !s.RateLimit.Named {
			continue
		}
		if c, changed := t.AdoptLimit(s.RateLimit, time.Now()); changed {
			x.logLimitChange(t, c, o.RequestID, 0)
		}
	}
}

// countArrival counts a request that is forwarded to a target. It logs the numbers of
// about a second while the target has a rate limit.
func (x *Executor) countArrival(t *registrar.Target, o Order, now time.Time) {
	entry := o.Entry
	if entry == "" {
		entry = ownEntry
	}
	past, full := t.CountArrival(entry, now)
	limit := t.RateLimit()
	if limit.Named {
		limitedRequestsTotal.Inc()
	}
	if full && x.Logger.AllowLine(msgLimitedTraffic) {
		x.Logger.Info(msgLimitedTraffic, "target", t.Target, "startedAt", t.StartedAt, "perSecond", limit.PerSecond,
			"overMs", now.Sub(past.Since).Milliseconds(), "forwarded", past.Total, "byEntry", past.String(), "busy", t.Limiter.RequestCount())
	}
}
