package receiver

import (
	"context"
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
	// minRetryTime is the least time before the deadline for a further attempt, and
	// retryShare the part of the expected processing time that must be left for it.
	minRetryTime = 5 * time.Millisecond
	retryShare   = 0.8
	// responseMargin is the time that a response takes to reach the caller, whose
	// deadline counts from when it sent the request.
	responseMargin = 25 * time.Millisecond
	// minQueueWait lets a request wait for a slot that is just being released.
	minQueueWait = 20 * time.Millisecond
	// maxLateWaitShare is the part of a route's timeout that a request may wait for a
	// slot once it can no longer meet its soft deadline.
	maxLateWaitShare = 0.5
	// minRetryAfter and retryAfterJitter set the time after which the caller of a rejected
	// request may retry: the minimum and the upper bound of a random addition. Two cases
	// have a fixed time: notReadyRetryAfter while the node has no table, and
	// shedRetryAfter after a rejection by the target itself.
	minRetryAfter      = 250 * time.Millisecond
	retryAfterJitter   = 250 * time.Millisecond
	notReadyRetryAfter = 500 * time.Millisecond
	shedRetryAfter     = 20 * time.Millisecond
	// maxTableWait is how long a request may wait for a newer table.
	maxTableWait = 300 * time.Millisecond
	// stoppingRetryAfter is about the time that a process takes to restart.
	stoppingRetryAfter = 800 * time.Millisecond
)

// requestState is the state of one request at the entry node over all its attempts:
// the matched route and service, the deadlines, and what earlier attempts showed.
type requestState struct {
	exchange       *acceptor.Exchange
	ctx            context.Context    // ctx ends when the caller disconnects.
	request        *fasthttp.Request  // request is that of the exchange, or a copy for a hedge.
	response       *fasthttp.Response // response holds the response of the last attempt.
	table          *compiler.Table    // table is the one that the endpoints come from.
	route          *compiler.Route
	service        *compiler.Service
	caller         translator.RequestMetadata
	deadline       time.Time // deadline is when the caller gets its final response.
	softDeadline   time.Time // softDeadline is when a response loses most of its value.
	unsafe         bool      // unsafe means that the request is not idempotent.
	hasKey         bool      // hasKey means that the request has an idempotency key.
	version        string
	dispatcher     dispatcher.Dispatcher
	tried          []applier.EndpointKey // tried are the endpoints that rejected or failed, for the log.
	reachedTargets int                   // reachedTargets is the number of attempts that may have reached a target.
	tableWaitUntil time.Time             // tableWaitUntil is until when newer tables are waited for, zero before the first wait.
	hedge          *hedge                // hedge is the one that the present attempt has started, nil without one.
	mayHaveRun     bool                  // mayHaveRun means that an earlier attempt may have run the request.
}

// newRequestState returns the state of a request that matched a route: its service,
// target version, deadline and soft deadline. It adds to the retry budget.
func (v *Receiver) newRequestState(x *acceptor.Exchange, table *compiler.Table, route *compiler.Route, caller translator.RequestMetadata) *requestState {
	h := &x.Request.Header
	key := string(h.Peek(checker.HeaderIdempotencyKey))
	s := &requestState{exchange: x, ctx: x.Context(), request: &x.Request, response: &x.Response, table: table, route: route, service: table.Service(v.Balancer.SelectService(route)), caller: caller, hasKey: key != ""}
	s.deadline = x.ReceivedAt.Add(route.Timeout.AsDuration())
	if left := caller.Deadline.Add(-responseMargin); !caller.Deadline.IsZero() && left.Before(s.deadline) {
		s.deadline = left
	}
	if finishBy := v.finishBy.Load(); finishBy != nil && finishBy.Before(s.deadline) {
		s.deadline = *finishBy
	}
	s.softDeadline = v.softDeadlines.SoftDeadline(s.routeName(), x.ReceivedAt, caller.Deadline, route.EffectiveLatencyObjective())
	s.unsafe = route.NonIdempotent || (!route.Idempotent && (h.IsPost() || string(h.Method()) == fasthttp.MethodPatch))
	if key == "" {
		key = string(h.Peek(checker.HeaderKey))
	}
	s.version = router.VersionFor(s.service.Traffic, key, s.unsafe, v.Breaker.Tripped)
	if s.service.Pool(s.version).Empty() {
		s.version = s.service.Traffic.ServingVersion
	}
	v.Budget.Earn(s.service.Name, table.NodeCount)
	return s
}

// dispatch sends the request to endpoints until a result is final or no further
// attempt is allowed. It returns the report of the last attempt.
func (v *Receiver) dispatch(s *requestState) translator.Report {
	if s.unsafe && !s.awaitEarlierResponses() {
		return v.finish(s, translator.NotRun(translator.ReasonCallerGone), "the caller disconnected before the earlier responses on its connection were written")
	}
	report, detail := translator.NotRun(translator.ReasonNoTarget), "no target of this service is available"
	s.dispatcher = dispatcher.Dispatcher{Balancer: &v.Balancer, Query: v.query(s)}
	for {
		o, ok := s.dispatcher.Next()
		if !ok && len(s.tried) > 0 && report.Reason == translator.ReasonNoTarget && v.refreshTable(s) {
			continue
		}
		if !ok || (len(s.tried) > 0 && time.Until(s.deadline) < time.Duration(retryShare*float64(o.ProcessingTime))) {
			break
		}
		s.tried = append(s.tried, o.EndpointKey)
		report, detail = v.attempt(s, o)
		if s.isFinal(report) {
			return v.finish(s, report, detail)
		}
		s.dispatcher.RecordFailure(o, report.Reason != translator.ReasonLimit)
		if mayHaveReachedTarget(report) {
			s.reachedTargets++
			s.mayHaveRun = s.mayHaveRun || report.Outcome != forwarder.OutcomeNotRun
			if s.reachedTargets > s.route.Retries || !v.Budget.Spend(s.service.Name) {
				break
			}
			retriesTotal.Inc()
		}
		v.logRetry(s, o, report, detail)
	}
	return v.finish(s, report, detail)
}

// query returns the criteria for the selection of endpoints.
func (v *Receiver) query(s *requestState) router.Query {
	return router.Query{Unusable: v.states.IsLeaving, Service: s.service, Version: s.version, Route: s.routeName(), LatencyObjective: s.route.EffectiveLatencyObjective(), LargeResponse: s.route.Bulk || s.route.Stream}
}

// refreshTable waits for a newer table when no target of the current one is
// registered at its owner node any more: after a restart of all processes, targets
// announce themselves within moments. All waits of one request share maxTableWait.
func (v *Receiver) refreshTable(s *requestState) bool {
	if s.tableWaitUntil.IsZero() {
		s.tableWaitUntil = tableWaitUntil(time.Now(), s.softDeadline)
	}
	if !v.awaitNewTable(s.exchange, s.table, s.tableWaitUntil) {
		return false
	}
	s.table = v.Tables.Table()
	if service := s.table.Service(s.service.Name); service != nil {
		s.service = service
		s.dispatcher.Query = v.query(s)
		s.dispatcher.Reset()
	}
	return true
}

// tableWaitUntil returns until when a request waits for a newer table. The wait ends
// at the soft deadline. A request that is already past it, such as a retry after a
// restart of all processes, waits for the full time, since it has no value to lose.
func tableWaitUntil(now, softDeadline time.Time) time.Time {
	until := now.Add(maxTableWait)
	if now.Before(softDeadline) && softDeadline.Before(until) {
		return softDeadline
	}
	return until
}

// routeName returns the key of the route in the moving averages and in orders.
func (s *requestState) routeName() string { return s.route.Host + s.route.Path }

// awaitEarlierResponses waits until every earlier response on the connection is
// written. It returns false when the caller disconnected.
func (s *requestState) awaitEarlierResponses() bool {
	select {
	case <-s.exchange.EarlierResponsesSent():
		return true
	case <-s.exchange.Context().Done():
		return false
	}
}

// mayHaveReachedTarget reports whether a request may have arrived at a target.
func mayHaveReachedTarget(r translator.Report) bool {
	return r.Outcome != forwarder.OutcomeNotRun || r.Reason == translator.ReasonShed
}

// isFinal reports whether a report is final, so that no further attempt is made. Any
// report is final less than minRetryTime before the deadline or once the caller has
// disconnected. A response of a target is final, except a server error of an idempotent
// request that is not a stored response. A request that did not run may be tried
// elsewhere, whatever its method, unless its key or claim was refused. One that may have
// run is tried again only if it is idempotent, or if the claim on its key lets only one
// attempt run, and never after a crash of the target.
func (s *requestState) isFinal(r translator.Report) bool {
	if time.Until(s.deadline) < minRetryTime || s.ctx.Err() != nil {
		return true
	}
	switch r.Outcome {
	case forwarder.OutcomeRan:
		return s.unsafe || r.Replayed || !s.targetFailed()
	case forwarder.OutcomeNotRun:
		return r.Reason == translator.ReasonKeyMismatch || r.Reason == translator.ReasonClaimFailed || r.Reason == translator.ReasonCallerGone
	}
	if r.Reason == translator.ReasonTargetCrash {
		return true // The request itself may crash its targets.
	}
	return s.unsafe && (!s.hasKey || r.Reason == translator.ReasonClaimHeld)
}

// targetFailed reports whether the response of the attempt is a server error, a status
// of 500 or more.
func (s *requestState) targetFailed() bool {
	return s.response.StatusCode() >= fasthttp.StatusInternalServerError
}

// queueDeadline returns until when the request may wait for a slot of an endpoint. That
// is the soft deadline less the expected processing time or, if later, the time of
// receipt plus a share of the route's timeout, maxLateWaitShare. It is at least
// minQueueWait from now, but never after the deadline less the processing time.
func (s *requestState) queueDeadline(c dispatcher.Attempt, now time.Time) time.Time {
	until := s.softDeadline.Add(-c.ProcessingTime)
	if late := s.exchange.ReceivedAt.Add(time.Duration(maxLateWaitShare * float64(s.route.Timeout))); late.After(until) {
		until = late
	}
	if least := now.Add(minQueueWait); least.After(until) {
		until = least
	}
	if last := s.deadline.Add(-c.ProcessingTime); until.After(last) {
		return last
	}
	return until
}

// sendAttempt sends the request to one endpoint. It returns the report and a detail
// for people, which is empty when a target responded.
func (v *Receiver) sendAttempt(s *requestState, c dispatcher.Attempt) (translator.Report, string) {
	now := time.Now()
	o := executor.Order{
		RequestID: s.caller.RequestID, AttemptID: v.requestID(), Target: c.Target, Service: c.Service, Version: c.Version,
		Route: s.routeName(), Unsafe: s.unsafe, Stream: s.route.Stream,
		Rank: s.route.Rank(), Origin: v.originService(), Deadline: s.deadline, QueueDeadline: s.queueDeadline(c, now), SoftDeadline: s.softDeadline, ProcessingTime: c.ProcessingTime, NoWait: c.NoWait,
	}
	done := v.Balancer.Begin(c.EndpointKey, c.AverageTime)
	s.response.Reset()
	var report translator.Report
	detail := ""
	if c.Node == v.Node {
		report = v.Owner.Execute(s.ctx, s.request, s.response, o, done)
	} else {
		report, detail = v.sendToPeer(s, c, o, done)
	}
	v.recordAttempt(s, c, report)
	if detail == "" {
		detail = report.Detail
	}
	return report, detail
}

// recordAttempt stores what an attempt showed of its endpoint: the load report, a
// response or a failure, and evidence on the target version during a move.
func (v *Receiver) recordAttempt(s *requestState, c dispatcher.Attempt, r translator.Report) {
	v.Balancer.UpdateLoad(c.Endpoint, s.routeName(), r.Load)
	v.recordState(s, c, r)
	switch {
	case r.Outcome == forwarder.OutcomeRan && !s.targetFailed():
		v.Balancer.RecordResponse(c.EndpointKey, s.routeName(), r.Load, bodyBytes(s.response))
	case r.Reason != translator.ReasonCallerGone && r.Reason != translator.ReasonLimit:
		v.Balancer.Penalise(c.EndpointKey)
	}
	m := s.service.Traffic.Move
	if m == nil || !m.Running() || r.Outcome == forwarder.OutcomeNotRun || r.Replayed || isNoEvidence(r.Reason) {
		return
	}
	evidence := decider.Evidence{MoveID: m.ID, New: c.Version == m.To, Route: s.route.Path, Unsafe: s.unsafe}
	evidence.Add(r.Outcome == forwarder.OutcomeUnknown || s.targetFailed(), true, 0)
	v.Breaker.RecordOutcome(evidence)
}

// recordState stores what the target of an attempt has stated about itself, as its owner
// node reported it. A valid report without a state comes from a target that states nothing.
func (v *Receiver) recordState(s *requestState, c dispatcher.Attempt, r translator.Report) {
	state := r.State
	if state.Target == "" && r.Load.Valid {
		state = translator.TargetState{Target: c.Target, StartedAt: c.StartedAt}
	}
	if v.states.Record(c.Node, state, time.Now()) {
		v.logState(s, c, state)
	}
}

// bodyBytes returns the size in bytes of a response body. For a streamed body it is
// the declared length, 0 when there is none.
func bodyBytes(resp *fasthttp.Response) int {
	if resp.IsBodyStream() {
		return max(resp.Header.ContentLength(), 0)
	}
	return len(resp.Body())
}

// isNoEvidence reports whether a result is no evidence on a target version that an
// entry node can use. Only the owner node can tell whether a late target is cold.
func isNoEvidence(r translator.Reason) bool {
	switch r {
	case translator.ReasonClaimHeld, translator.ReasonCallerGone, translator.ReasonDeadline, translator.ReasonNoAck:
		return true
	}
	return false
}

// sendToPeer sends the order with the request to another node and returns the owner
// node's report. On a failed connection the report is derived from the error, whose text
// is the second result; a response that names no attempt gives an unknown outcome. done is
// called once, when the attempt no longer counts as in flight.
func (v *Receiver) sendToPeer(s *requestState, c dispatcher.Attempt, o executor.Order, done func()) (translator.Report, string) {
	req, resp := s.request, s.response
	req.Header.Set(checker.HeaderOrder, o.Encode(time.Now()))
	defer req.Header.Del(checker.HeaderOrder)
	if states := v.states.StatesOf(c.Node); len(states) > 0 {
		req.Header.Set(checker.HeaderTargetState, executor.EncodeStates(states))
		defer req.Header.Del(checker.HeaderTargetState)
	}
	var err error
	if o.Stream && !o.Unsafe {
		err = v.peer(c.Address).Stream(s.ctx, req, resp, o.Deadline.Add(ownerResponseGrace), ownerIdentity(o), done)
	} else {
		err = v.peer(c.Address).DoAcknowledged(s.ctx, req, resp, o.Deadline.Add(ownerResponseGrace), ownerIdentity(o), func() <-chan struct{} { return v.ackMissed(s, c) })
		done()
	}
	if err != nil {
		resp.Reset()
		return translator.Report{Outcome: forwarder.OutcomeOf(err), Reason: executor.ReasonOf(err)}, err.Error()
	}
	resp.Header.Del(fasthttp.HeaderConnection)
	return executor.ReadReport(&resp.Header), ""
}

// ownerIdentity returns how the owner node's response to an order is told from the
// responses to other attempts on the same connection.
func ownerIdentity(o executor.Order) forwarder.Identity {
	return forwarder.Identity{ID: o.AttemptID, Match: func(h *fasthttp.ResponseHeader) forwarder.Match {
		switch string(h.Peek(checker.HeaderAttempt)) {
		case o.AttemptID:
			return forwarder.MatchOwn
		case "":
			return forwarder.MatchNone
		}
		return forwarder.MatchForeign
	}}
}

// finish ends a request and returns its final report. After OutcomeRan it keeps the
// target's response; otherwise it writes a rejection with the detail. A request that an
// earlier attempt may have run gets an unknown outcome instead of OutcomeNotRun.
func (v *Receiver) finish(s *requestState, r translator.Report, detail string) translator.Report {
	if r.Outcome == forwarder.OutcomeRan {
		v.logResponse(s, r)
		return r
	}
	if s.mayHaveRun && r.Outcome == forwarder.OutcomeNotRun {
		// The last attempt did not run the request, but an earlier one may have.
		r = translator.Unknown(r.Reason)
	}
	if detail == "" {
		detail = r.Detail
	}
	v.logRejection(s, r, detail)
	return v.reject(s.exchange, r, detail, retryAt(r, time.Now()))
}

// retryAt returns when a rejected request is likely to be served: shedRetryAfter after
// now if the target itself rejected it, else after minRetryAfter, the expected wait of
// the load report and a random part.
func retryAt(r translator.Report, now time.Time) time.Time {
	if r.Reason == translator.ReasonShed {
		// The target has free slots; it rejected only this request.
		return now.Add(shedRetryAfter)
	}
	return now.Add(minRetryAfter + r.Load.ExpectedWait + rand.N(retryAfterJitter))
}
