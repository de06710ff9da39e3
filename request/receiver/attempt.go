package receiver

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/connection/acceptor"
	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/request/dispatcher"
	"github.com/hornbeamrack/hornbeamrack/request/executor"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/router"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
)

const (
	// minRetryTime is the time that a further attempt needs to make sense, and
	// retryShare the part of the usual time.
	minRetryTime = 5 * time.Millisecond
	retryShare   = 0.8
	// answerMargin is the way of an answer to a caller, which counts from when
	// it sent the request.
	answerMargin = 25 * time.Millisecond
	// leastWait lets a slot that is just being freed be waited for.
	leastWait = 20 * time.Millisecond
	// lateShare is the part of a route's timeout that a request may wait for a
	// slot once its aim is lost.
	lateShare = 0.5
	// retryPause and retrySpread say when callers of refused requests may come back.
	retryPause    = 250 * time.Millisecond
	retrySpread   = 250 * time.Millisecond
	notReadyPause = 500 * time.Millisecond
	shedPause     = 20 * time.Millisecond
	// newsTime is how long a request may wait for a table that is expected soon.
	newsTime = 300 * time.Millisecond
	// stoppingPause is about what a process takes to be back.
	stoppingPause = 800 * time.Millisecond
)

// attempt is the state of one request while endpoints are tried.
type attempt struct {
	x        *acceptor.Exchange
	table    *compiler.Table // table is the one that the endpoints come from.
	route    *compiler.Route
	service  *compiler.Service
	caller   translator.RequestMetadata
	deadline time.Time // deadline is when the caller gets its final answer.
	aim      time.Time // aim is when an answer loses most of its worth.
	unsafe   bool
	keyed    bool
	version  string
	bargain  dispatcher.Dispatcher
	tried    []applier.EndpointKey // tried are the endpoints that refused or failed, for the log.
	arrivals int                   // arrivals counts what may have reached targets.
	newsTill time.Time             // newsTill is until when newer tables are waited for, zero before the first wait.
	paid     bool                  // paid means that the retry budget was charged for the next offer.
	mayRan   bool                  // mayRan means that an earlier endpoint may have run the request.
}

func (v *Receiver) newAttempt(x *acceptor.Exchange, table *compiler.Table, route *compiler.Route, caller translator.RequestMetadata) *attempt {
	h := &x.Request.Header
	key := string(h.Peek(checker.HeaderIdempotencyKey))
	a := &attempt{x: x, table: table, route: route, service: table.Service(v.Balancer.SelectService(route)), caller: caller, keyed: key != ""}
	a.deadline = x.ReceivedAt.Add(route.Timeout.Duration())
	if left := caller.Deadline.Add(-answerMargin); !caller.Deadline.IsZero() && left.Before(a.deadline) {
		a.deadline = left
	}
	a.aim = v.aims.SoftDeadline(a.routeName(), x.ReceivedAt, caller.Deadline, route.EffectiveLatencyObjective())
	a.unsafe = route.NonIdempotent || (!route.Idempotent && (h.IsPost() || string(h.Method()) == fasthttp.MethodPatch))
	if key == "" {
		key = string(h.Peek(checker.HeaderKey))
	}
	a.version = router.VersionFor(a.service.Traffic, key, a.unsafe, v.Breaker.Tripped)
	if a.service.Pool(a.version).Empty() {
		a.version = a.service.Traffic.ServingVersion
	}
	v.Budget.Earn(a.service.Name, table.NodeCount)
	return a
}

// try offers the request to endpoints until one answers or nothing more may be
// tried.
func (v *Receiver) try(a *attempt) translator.Report {
	if a.unsafe && !a.awaitTurn() {
		return v.end(a, translator.NotRun(translator.ReasonCallerGone), "the connection ended before the request's turn")
	}
	report, detail := translator.NotRun(translator.ReasonNoTarget), "no target runs this service"
	a.bargain = dispatcher.Dispatcher{Balancer: &v.Balancer, Query: a.query()}
	for {
		o, ok := a.bargain.Next()
		if !ok && len(a.tried) > 0 && report.Reason == translator.ReasonNoTarget && v.refresh(a) {
			continue
		}
		if !ok || (len(a.tried) > 0 && time.Until(a.deadline) < time.Duration(retryShare*float64(o.ProcessingTime))) {
			break
		}
		a.tried = append(a.tried, o.EndpointKey)
		report, detail = v.send(a, o)
		if a.settled(report) {
			return v.end(a, report, detail)
		}
		a.bargain.RecordFailure(o, report.Reason != translator.ReasonLimit)
		if reached(report) {
			a.arrivals++
			a.mayRan = a.mayRan || report.Outcome != forwarder.OutcomeNotRun
			if a.arrivals > a.route.Retries || !a.paid && !v.Budget.Spend(a.service.Name) {
				break
			}
			a.paid = false
			retriesTotal.Inc()
		}
		v.logRetry(a, o, report, detail)
	}
	return v.end(a, report, detail)
}

// query describes the request to the board.
func (a *attempt) query() router.Query {
	return router.Query{Service: a.service, Version: a.version, Route: a.routeName(), LatencyObjective: a.route.EffectiveLatencyObjective(), LargeResponse: a.route.Bulk || a.route.Stream}
}

// refresh waits for a newer table when no target that the table names is known
// to its own node any more: after a restart of all, targets announce themselves
// within moments. All waits of one request together are short.
func (v *Receiver) refresh(a *attempt) bool {
	if a.newsTill.IsZero() {
		a.newsTill = newsTill(time.Now(), a.aim)
	}
	if !v.awaitNews(a.x, a.table, a.newsTill) {
		return false
	}
	a.table = v.Tables.Table()
	if s := a.table.Service(a.service.Name); s != nil {
		a.service = s
		a.bargain.Query = a.query()
		a.bargain.Reset()
	}
	return true
}

// newsTill returns until when a request waits for a newer table. It does not miss
// its aim for that; one whose aim is lost, as those of callers that come back after
// a restart of all, has nothing to lose.
func newsTill(now, aim time.Time) time.Time {
	till := now.Add(newsTime)
	if now.Before(aim) && aim.Before(till) {
		return aim
	}
	return till
}

// routeName identifies the route in what nodes learn of it.
func (a *attempt) routeName() string { return a.route.Host + a.route.Path }

// awaitTurn waits until every earlier answer on the connection is written. It
// is false when the caller hung up.
func (a *attempt) awaitTurn() bool {
	select {
	case <-a.x.Turn():
		return true
	case <-a.x.Context().Done():
		return false
	}
}

// reached reports whether a request may have arrived at a target.
func reached(r translator.Report) bool {
	return r.Outcome != forwarder.OutcomeNotRun || r.Reason == translator.ReasonShed
}

// settled reports whether a report is final. What did not run may be tried
// elsewhere, whatever the method; what may have run only if running twice does
// no harm, or if the claim on its key lets only one attempt run.
func (a *attempt) settled(r translator.Report) bool {
	if time.Until(a.deadline) < minRetryTime || a.x.Context().Err() != nil {
		return true
	}
	switch r.Outcome {
	case forwarder.OutcomeRan:
		return a.unsafe || r.Replayed || !a.failed()
	case forwarder.OutcomeNotRun:
		return r.Reason == translator.ReasonKeyMismatch || r.Reason == translator.ReasonClaimFailed || r.Reason == translator.ReasonCallerGone
	}
	if r.Reason == translator.ReasonTargetCrash {
		return true // It may be the request that crashes its targets.
	}
	return a.unsafe && (!a.keyed || r.Reason == translator.ReasonClaimHeld)
}

// failed reports whether the target answered that it failed.
func (a *attempt) failed() bool {
	return a.x.Response.StatusCode() >= fasthttp.StatusInternalServerError
}

// waitTill returns until when the request may wait for a slot of an endpoint.
func (a *attempt) waitTill(c dispatcher.Attempt, now time.Time) time.Time {
	till := a.aim.Add(-c.ProcessingTime)
	if late := a.x.ReceivedAt.Add(time.Duration(lateShare * float64(a.route.Timeout))); late.After(till) {
		till = late
	}
	if least := now.Add(leastWait); least.After(till) {
		till = least
	}
	if last := a.deadline.Add(-c.ProcessingTime); till.After(last) {
		return last
	}
	return till
}

// send offers the request to one endpoint.
func (v *Receiver) send(a *attempt, c dispatcher.Attempt) (translator.Report, string) {
	now := time.Now()
	o := executor.Order{
		RequestID: a.caller.RequestID, Attempt: v.requestID(), Target: c.Target, Service: c.Service, Version: c.Version,
		Route: a.routeName(), Unsafe: a.unsafe, Stream: a.route.Stream,
		Rank: a.route.Rank(), Origin: v.originService(), Deadline: a.deadline, QueueDeadline: a.waitTill(c, now), SoftDeadline: a.aim, ProcessingTime: c.ProcessingTime, NoWait: c.NoWait,
	}
	done := v.Balancer.Begin(c.EndpointKey, c.ProcessingTime)
	a.x.Response.Reset()
	var report translator.Report
	detail := ""
	if c.Node == v.Node {
		report = v.Owner.Execute(a.x.Context(), &a.x.Request, &a.x.Response, o, done)
	} else {
		report, detail = v.sendPeer(a, c, o, done)
	}
	v.learn(a, c, report)
	if detail == "" {
		detail = report.Detail
	}
	return report, detail
}

// learn takes in what an offer showed of its endpoint.
func (v *Receiver) learn(a *attempt, c dispatcher.Attempt, r translator.Report) {
	v.Balancer.UpdateLoad(c.Endpoint, a.routeName(), r.Load)
	switch {
	case r.Outcome == forwarder.OutcomeRan && !a.failed():
		v.Balancer.RecordResponse(c.EndpointKey, a.routeName(), r.Load, bodyBytes(&a.x.Response))
	case r.Reason != translator.ReasonCallerGone && r.Reason != translator.ReasonLimit:
		v.Balancer.Penalise(c.EndpointKey)
	}
	m := a.service.Traffic.Move
	if m == nil || !m.Running() || r.Outcome == forwarder.OutcomeNotRun || r.Replayed || saysNothing(r.Reason) {
		return
	}
	evidence := decider.Evidence{MoveID: m.ID, New: c.Version == m.To, Route: a.route.Path, Unsafe: a.unsafe}
	evidence.Add(r.Outcome == forwarder.OutcomeUnknown || a.failed(), true, 0)
	v.Breaker.RecordOutcome(evidence)
}

// bodyBytes returns the size of an answer's body, as far as it is known before it
// is passed on.
func bodyBytes(resp *fasthttp.Response) int {
	if resp.IsBodyStream() {
		return max(resp.Header.ContentLength(), 0)
	}
	return len(resp.Body())
}

// saysNothing reports whether the end of a request is no evidence on a version
// that an entry node can judge: the owner knows whether a late target is cold.
func saysNothing(r translator.Reason) bool {
	switch r {
	case translator.ReasonClaimHeld, translator.ReasonCallerGone, translator.ReasonDeadline, translator.ReasonNoAck:
		return true
	}
	return false
}

// sendPeer asks another node to carry out the order.
func (v *Receiver) sendPeer(a *attempt, c dispatcher.Attempt, o executor.Order, done func()) (translator.Report, string) {
	req, resp := &a.x.Request, &a.x.Response
	req.Header.Set(checker.HeaderOrder, o.Encode(time.Now()))
	defer req.Header.Del(checker.HeaderOrder)
	var err error
	if o.Stream && !o.Unsafe {
		err = v.peer(c.Address).Stream(a.x.Context(), req, resp, o.Deadline.Add(ownerGrace), done)
	} else {
		err = v.peer(c.Address).DoAcknowledged(a.x.Context(), req, resp, o.Deadline.Add(ownerGrace), func() bool { return v.silent(a, c) })
		done()
	}
	if err != nil {
		resp.Reset()
		return translator.Report{Outcome: forwarder.OutcomeOf(err), Reason: executor.ReasonOf(err)}, err.Error()
	}
	if string(resp.Header.Peek(checker.HeaderAttempt)) != o.Attempt {
		return translator.Unknown(translator.ReasonWrongResponse), "the answer names another request"
	}
	resp.Header.Del(fasthttp.HeaderConnection)
	return executor.ReadReport(&resp.Header), ""
}

// silent notes that an owner gave no sign, and reports whether the request is
// to be given up there. One that may run twice is, if it can be offered
// elsewhere: that takes another endpoint, time, and the retry budget, which is
// charged at once. Any other is waited for, since it may be running. A node that
// stops waits for both.
func (v *Receiver) silent(a *attempt, c dispatcher.Attempt) bool {
	v.Balancer.Penalise(c.EndpointKey)
	if a.unsafe || v.draining.Load() || a.arrivals >= a.route.Retries {
		return false
	}
	if c.Alternatives == 0 || time.Until(a.deadline) < c.ProcessingTime {
		return false
	}
	a.paid = v.Budget.Spend(a.service.Name)
	return a.paid
}

// end writes the final answer.
func (v *Receiver) end(a *attempt, r translator.Report, detail string) translator.Report {
	if r.Outcome == forwarder.OutcomeRan {
		v.logAnswer(a, r)
		return r
	}
	if a.mayRan && r.Outcome == forwarder.OutcomeNotRun {
		// The last endpoint did not run it, but an earlier one may have.
		r = translator.Unknown(r.Reason)
	}
	if detail == "" {
		detail = r.Detail
	}
	v.logRefusal(a, r, detail)
	return v.refuse(a.x, r, detail, retryAt(r, time.Now()))
}

// retryAt tells the caller when a refused request is likely to be served.
func retryAt(r translator.Report, now time.Time) time.Time {
	if r.Reason == translator.ReasonShed {
		// The target has room; it refused this one request.
		return now.Add(shedPause)
	}
	return now.Add(retryPause + r.Load.ExpectedWait + rand.N(retrySpread))
}
