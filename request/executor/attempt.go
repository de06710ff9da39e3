package executor

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/quarantiner"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// RunProvider follows the runs of requests, to tell those that crash targets from others.
type RunProvider interface {
	// Begin returns the run of req at a target of the service. caller is the service on
	// the host where the request began, empty if that is not known.
	Begin(service, caller string, req *fasthttp.Request) quarantiner.Run
}

// attempt is one run of a request at a target of this host.
type attempt struct {
	target *registrar.Target
	order  Order
	run    quarantiner.Run
	sentAt time.Time
}

// beginAttempt returns the attempt for a request that has not been changed for the target
// yet.
func (x *Executor) beginAttempt(req *fasthttp.Request, t *registrar.Target, o Order) attempt {
	return attempt{target: t, order: o, run: x.Runs.Begin(t.Service, o.Origin, req), sentAt: time.Now()}
}

// recordServed records that the target's complete response has the given status. Server
// errors are no evidence that the request is harmless.
func (a attempt) recordServed(status int) {
	if status < fasthttp.StatusInternalServerError {
		a.run.Served()
	}
}

// forwardStream forwards a request whose response is passed on while it arrives, after
// forwardStream has returned. release is called at the end of the response.
func (x *Executor) forwardStream(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, t *registrar.Target, o Order, release func()) (translator.Report, string) {
	a := x.beginAttempt(req, t, o)
	status := 0 // status is that of a response that is passed on.
	report, detail := x.forward(req, resp, a, func() error {
		err := t.Forwarder.StreamUntil(ctx, req, resp, o.Deadline, x.identity(t, o), func(bodyErr error) {
			release()
			x.endStream(a, status, bodyErr)
		})
		if err != nil {
			release()
		}
		return err
	})
	if report.Outcome == forwarder.OutcomeRan {
		status = resp.StatusCode()
	}
	return report, detail
}

// endStream records the end of a streamed response. status is 0 if the response was not
// passed on, and bodyErr is nil if its body was read to its end.
func (x *Executor) endStream(a attempt, status int, bodyErr error) {
	switch {
	case bodyErr == nil && status != 0:
		a.recordServed(status)
	case forwarder.IsKind(bodyErr, forwarder.KindBroken):
		x.background.Go(func() {
			if !a.target.AliveAfterDisconnect() {
				x.recordCrash(a)
			}
		})
	}
}

// handleCrash ends a request whose target crashed.
func (x *Executor) handleCrash(resp *fasthttp.Response, a attempt, latency time.Duration) (translator.Report, string) {
	if x.recordCrash(a) {
		x.observe(a.target, a.order, true, latency)
	}
	resp.Reset()
	return translator.Unknown(translator.ReasonTargetCrash), "the target crashed with the request in flight"
}

// recordCrash records a request as a possible poison request. It returns true for the
// first of the requests that were in flight at the crash, as the crash counts as one
// failure of the version only.
func (x *Executor) recordCrash(a attempt) (first bool) {
	detectedAt, first := a.target.RecordCrash(a.sentAt)
	a.run.Crashed(applier.CrashID{Target: a.target.Target, StartedAt: a.target.StartedAt, DetectedAt: detectedAt.UnixMilli()})
	return first
}
