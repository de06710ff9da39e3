package receiver

import (
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/clock"
	"github.com/hornbeamrack/hornbeamrack/connection/acceptor"
	"github.com/hornbeamrack/hornbeamrack/request/dispatcher"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

// The messages of the log lines: a target responded, the request ended without a
// target's response, an attempt failed that may be followed by another, a request
// matched no route of a table, an owner node reported another state of a target than
// before, and an owner node did not acknowledge a request in time. Each message has its own rate limit.
const (
	msgCompleted = "request completed"
	msgRejected  = "request refused"
	msgRetried   = "request attempt failed"
	msgUnmatched = "request without a route refused"
	msgState     = "state of a target learned"
	msgHedged    = "request tried elsewhere without an acknowledgement"
)

// logFields returns the fields that every log line on a request has.
func (v *Receiver) logFields(s *requestState) []any {
	return []any{"id", s.caller.RequestID, "route", s.route.Host + s.route.Path, "service", s.service.Name, "targetVersion", s.version,
		"configVersion", s.table.Version, "confirmationAgeMs", v.confirmationAge().Milliseconds(), "ageMs", time.Since(s.exchange.ReceivedAt).Milliseconds(), "leftMs", time.Until(s.deadline).Milliseconds(), "offers", len(s.tried)}
}

// confirmationAge returns the age of the confirmation of the table in force, zero before
// the first.
func (v *Receiver) confirmationAge() time.Duration {
	at := v.Tables.ConfirmedAt()
	if at.IsZero() {
		return 0
	}
	return clock.Now().Sub(at)
}

// logUnmatched logs a request that was rejected before it matched a route.
func (v *Receiver) logUnmatched(x *acceptor.Exchange, reason translator.Reason, detail string) {
	if !v.Logger.AllowLine(msgUnmatched) {
		return
	}
	version := uint64(0)
	if t := v.Tables.Table(); t != nil {
		version = t.Version
	}
	h := &x.Request.Header
	v.Logger.Requests.Warn(msgUnmatched, "method", string(h.Method()), "host", string(h.Host()), "path", string(x.Request.URI().Path()), "reason", reason, "detail", detail,
		"configVersion", version, "confirmationAgeMs", v.confirmationAge().Milliseconds(), "ageMs", time.Since(x.ReceivedAt).Milliseconds())
}

// logResponse logs a request that got a target's response; only samples are logged.
func (v *Receiver) logResponse(s *requestState, r translator.Report) {
	if v.Logger.SampleEvent(msgCompleted) {
		last := s.tried[len(s.tried)-1]
		v.Logger.Requests.Info(msgCompleted, append(v.logFields(s), "target", last.String(), "status", s.exchange.Response.StatusCode(), "busy", r.Load.RequestCount)...)
	}
}

// logRejection logs a request that got no response of a target.
func (v *Receiver) logRejection(s *requestState, r translator.Report, detail string) {
	if v.Logger.AllowLine(msgRejected) {
		v.Logger.Requests.Warn(msgRejected, append(v.logFields(s), "tried", triedEndpoints(s), "outcome", r.Outcome, "reason", r.Reason, "detail", detail, "targetWaitMs", r.Load.ExpectedWait.Milliseconds(),
			"rank", s.route.Rank(), "aimMs", s.route.EffectiveLatencyObjective().Milliseconds())...)
	}
}

// logState logs what an owner node reported of a target's statements about itself.
func (v *Receiver) logState(s *requestState, c dispatcher.Attempt, state translator.TargetState) {
	if v.Logger.AllowLine(msgState) {
		v.Logger.Info(msgState, "id", s.caller.RequestID, "node", c.Node, "target", state.Target, "startedAt", state.StartedAt,
			"named", state.RateLimit.Named, "perSecond", state.RateLimit.PerSecond, "leaving", state.Leaving)
	}
}

// logHedge logs the start of a hedge beside an attempt that is not acknowledged.
func (v *Receiver) logHedge(s *requestState, c dispatcher.Attempt) {
	if v.Logger.AllowLine(msgHedged) {
		v.Logger.Requests.Info(msgHedged, append(v.logFields(s), "target", c.EndpointKey.String(), "usualMs", c.ProcessingTime.Milliseconds())...)
	}
}

// logRetry logs a failed attempt after which another one may follow. detail is its
// cause in words.
func (v *Receiver) logRetry(s *requestState, c dispatcher.Attempt, r translator.Report, detail string) {
	if v.Logger.AllowLine(msgRetried) {
		v.Logger.Requests.Info(msgRetried, append(v.logFields(s), "target", c.EndpointKey.String(), "outcome", r.Outcome, "reason", r.Reason, "detail", detail, "asking", c.NoWait,
			"expectedWaitMs", c.ExpectedWait.Milliseconds(), "usualMs", c.ProcessingTime.Milliseconds())...)
	}
}

// triedEndpoints returns the endpoints of all attempts, separated by spaces.
func triedEndpoints(s *requestState) string {
	out := ""
	for _, k := range s.tried {
		out += k.String() + " "
	}
	return out
}
