package receiver

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/request/checker"
	"github.com/hornbeamrack/hornbeamrack/request/dispatcher"
	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

// hedgesTotal counts the hedges that were started.
var hedgesTotal = metrics.NewCounter("hornbeam_hedges_total")

// hedge is a second try of an idempotent request, at other endpoints, while the first one
// goes on at an owner node that has sent no acknowledgement. The first is given up only
// when the hedge has a response: until then it may be the only one that a target works on.
type hedge struct {
	state  *requestState // state has a request, a response and a context of its own.
	cancel context.CancelFunc
	served chan struct{} // served is closed when a target has responded.
	ended  chan struct{} // ended is closed when no further attempt is made; report and detail are set then.
	report translator.Report
	detail string
}

// attempt sends the request to one endpoint, and to others beside it if the owner node
// does not acknowledge it. It returns the report and a detail for people.
func (v *Receiver) attempt(s *requestState, c dispatcher.Attempt) (translator.Report, string) {
	report, detail := v.sendAttempt(s, c)
	if s.hedge == nil {
		return report, detail
	}
	return s.joinHedge(report, detail)
}

// ackMissed records that an owner node sent no acknowledgement in time. It starts a hedge
// for an idempotent request if another attempt is possible: that takes another endpoint,
// enough time, and the retry budget, which is charged at once. It returns the channel whose
// closing gives the request up at this owner node, nil if it is waited for: another kind of
// request may be running, and a node that is stopping has little time to run it again.
func (v *Receiver) ackMissed(s *requestState, c dispatcher.Attempt) <-chan struct{} {
	v.Balancer.Penalise(c.EndpointKey)
	if s.unsafe || v.draining.Load() || s.reachedTargets >= s.route.Retries {
		return nil
	}
	if c.Alternatives == 0 || time.Until(s.deadline) < c.ProcessingTime || !v.Budget.Spend(s.service.Name) {
		return nil
	}
	retriesTotal.Inc()
	hedgesTotal.Inc()
	v.logHedge(s, c)
	s.hedge = v.startHedge(s, c)
	return s.hedge.served
}

// startHedge starts a hedge of a request that has an attempt at c.
func (v *Receiver) startHedge(s *requestState, c dispatcher.Attempt) *hedge {
	state := *s
	ctx, cancel := context.WithCancel(s.ctx)
	state.ctx, state.request, state.response = ctx, &fasthttp.Request{}, &fasthttp.Response{}
	s.request.CopyTo(state.request)
	state.request.Header.Del(checker.HeaderOrder)
	state.request.Header.Del(checker.HeaderTargetState)
	state.tried = slices.Clone(s.tried)
	state.dispatcher = s.dispatcher.WithFailed(c)
	state.reachedTargets++
	h := &hedge{state: &state, cancel: cancel, served: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(h.ended)
		h.report, h.detail = v.runHedge(h.state)
		if h.ran() {
			close(h.served)
		}
	}()
	return h
}

// runHedge sends the request to one endpoint after the other until one may have run it,
// and returns the last report.
func (v *Receiver) runHedge(s *requestState) (translator.Report, string) {
	report, detail := translator.NotRun(translator.ReasonNoTarget), "no other target of this service is available"
	for {
		o, ok := s.dispatcher.Next()
		if !ok || time.Until(s.deadline) < time.Duration(retryShare*float64(o.ProcessingTime)) {
			return report, detail
		}
		s.tried = append(s.tried, o.EndpointKey)
		report, detail = v.attempt(s, o)
		if s.isFinal(report) || mayHaveReachedTarget(report) {
			return report, detail
		}
		s.dispatcher.RecordFailure(o, report.Reason != translator.ReasonLimit)
		v.logRetry(s, o, report, detail)
	}
}

// ran reports whether the hedge has a response that the caller can be given.
func (h *hedge) ran() bool {
	return h.report.Outcome == forwarder.OutcomeRan && !h.state.targetFailed()
}

// joinHedge ends the hedge of a request whose first try has ended with the given report,
// and returns what holds for both. The response of the request is that of the first try, or
// the one of the hedge if only that has one.
func (s *requestState) joinHedge(report translator.Report, detail string) (translator.Report, string) {
	h := s.hedge
	s.hedge = nil
	if report.Outcome == forwarder.OutcomeRan && !s.targetFailed() {
		h.cancel()
	}
	<-h.ended
	h.cancel()
	if report.Outcome == forwarder.OutcomeRan && !s.targetFailed() {
		return report, detail
	}
	s.tried = h.state.tried
	if h.ran() {
		h.state.response.CopyTo(s.response)
		return h.report, h.detail
	}
	if mayHaveReachedTarget(h.report) {
		s.reachedTargets++
		s.mayHaveRun = s.mayHaveRun || h.report.Outcome != forwarder.OutcomeNotRun
	}
	return report, detail
}
