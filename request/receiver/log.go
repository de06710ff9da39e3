package receiver

import (
	"time"

	"github.com/hornbeamrack/hornbeamrack/request/dispatcher"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

// The kinds of lines; each has its own bound.
const (
	lineAnswered = "request answered"
	lineRefused  = "request refused"
	lineRetried  = "request offered elsewhere"
)

// fields returns what every line on a request holds.
func (v *Receiver) fields(a *attempt) []any {
	version := uint64(0)
	if t := v.Tables.Table(); t != nil {
		version = t.Version
	}
	return []any{"id", a.caller.RequestID, "route", a.route.Host + a.route.Path, "service", a.service.Name, "targetVersion", a.version,
		"configVersion", version, "ageMs", time.Since(a.x.ReceivedAt).Milliseconds(), "leftMs", time.Until(a.deadline).Milliseconds(), "offers", len(a.tried)}
}

func (v *Receiver) logAnswer(a *attempt, r translator.Report) {
	if v.Logger.SampleEvent(lineAnswered) {
		last := a.tried[len(a.tried)-1]
		v.Logger.Info(lineAnswered, append(v.fields(a), "target", last.String(), "status", a.x.Response.StatusCode(), "busy", r.Load.RequestCount)...)
	}
}

func (v *Receiver) logRefusal(a *attempt, r translator.Report, detail string) {
	if v.Logger.AllowLine(lineRefused) {
		v.Logger.Warn(lineRefused, append(v.fields(a), "tried", keys(a), "outcome", r.Outcome, "reason", r.Reason, "detail", detail, "targetWaitMs", r.Load.ExpectedWait.Milliseconds(),
			"rank", a.route.Rank(), "aimMs", a.route.EffectiveLatencyObjective().Milliseconds())...)
	}
}

func (v *Receiver) logRetry(a *attempt, c dispatcher.Attempt, r translator.Report, detail string) {
	if v.Logger.AllowLine(lineRetried) {
		v.Logger.Info(lineRetried, append(v.fields(a), "target", c.EndpointKey.String(), "outcome", r.Outcome, "reason", r.Reason, "detail", detail, "asking", c.NoWait,
			"expectedWaitMs", c.ExpectedWait.Milliseconds(), "usualMs", c.ProcessingTime.Milliseconds())...)
	}
}

func keys(a *attempt) string {
	out := ""
	for _, k := range a.tried {
		out += k.String() + " "
	}
	return out
}
