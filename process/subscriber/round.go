package subscriber

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamrack/hornbeamrack/connection/assigner"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

const (
	// syncWait is how long a control host may hold a call open when it has no update. It is
	// shorter when MaxConfirmationAge leaves less than twice this time.
	syncWait = 700 * time.Millisecond
	// hedgeDelay is how much longer than that a reply may take before a second host is
	// called too, and hedgeInterval the time until a further one is.
	hedgeDelay    = 200 * time.Millisecond
	hedgeInterval = 150 * time.Millisecond
	// hedgeTimeout bounds each of these calls. syncTimeout bounds the first call of a
	// round, and all calls of a node that has no configuration: the whole state takes
	// longer to send.
	hedgeTimeout = 600 * time.Millisecond
	syncTimeout  = syncWait + 500*time.Millisecond
	// hostDialTimeout is short, since the node can call another control host.
	hostDialTimeout = 400 * time.Millisecond
	// maxRoundCalls bounds the calls of one round.
	maxRoundCalls = 4
	// outageLead is how long before the confirmation becomes stale an outage is reported
	// when no called host has replied; minOutageHosts is how many must have been called.
	outageLead     = 20 * time.Millisecond
	minOutageHosts = 2
)

// syncCall is one call of a round.
type syncCall struct {
	host      string
	args      messenger.SyncArgs
	startedAt time.Time
	overdueAt time.Time // overdueAt is when another host is called beside this one.
	timeoutAt time.Time
}

// round is a series of calls to different control hosts that ends with the first
// confirmed reply. Further hosts are called at once after a failed call, and beside the
// calls before them when these take too long: hedged requests. It is used by one goroutine.
type round struct {
	s        *Subscriber
	picker   *assigner.Assigner
	replies  chan syncReply
	open     []syncCall // open are the calls without a reply.
	calls    []syncCall // calls are all calls in order.
	excluded []string   // excluded are the hosts that this round does not call again.
	replied  []string   // replied are the hosts whose reply did not confirm the table.
	failures []string   // failures describe the failed calls, for the log.
	summary  []string   // summary holds the host and step of each failed call.
	rejected bool       // rejected means that a host sent an update that the node could not apply.
	stalled  bool       // stalled means that the process got no processor time during the round.
}

// syncRound runs one round and reports whether the table was confirmed.
func (s *Subscriber) syncRound(ctx context.Context, picker *assigner.Assigner) bool {
	roundCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &round{s: s, picker: picker, replies: make(chan syncReply, maxRoundCalls)}
	host, ok := r.run(roundCtx)
	cancel()
	if ctx.Err() != nil {
		return false
	}
	r.abandonOpenCalls()
	r.closeConnections(host)
	s.setConnected(ok, host)
	r.logFailures(host)
	if !ok && !r.rejected && !r.stalled {
		s.Tables.ReportOutage()
	}
	return ok
}

// run makes the calls. It returns the host whose reply was confirmed.
func (r *round) run(ctx context.Context) (string, bool) {
	r.callNext(ctx)
	hedge := time.NewTimer(r.firstHedge())
	defer hedge.Stop()
	outageAt, almostStale := r.outageTimer()
	for len(r.open) > 0 {
		select {
		case reply := <-r.replies:
			r.open = slices.DeleteFunc(r.open, func(c syncCall) bool { return c.host == reply.host })
			step, err := r.s.accept(reply)
			if step == stepNone {
				return reply.host, true
			}
			r.recordFailure(reply, step, err)
			r.callNext(ctx)
			if r.ready() {
				hedge.Reset(hedgeInterval)
			}
		case <-hedge.C:
			if r.callNext(ctx) {
				hedgesTotal.Inc()
			}
			hedge.Reset(hedgeInterval)
		case <-almostStale:
			r.reportOutage(outageAt)
		case <-ctx.Done():
			return "", false
		}
	}
	return "", false
}

// outageTimer returns when the round reports an outage if no host has replied by then, by
// the clock of confirmations, and a channel that receives at that time. The channel is nil
// when the time has passed.
func (r *round) outageTimer() (time.Time, <-chan time.Time) {
	at := r.s.Tables.ConfirmedAt().Add(r.s.MaxConfirmationAge - outageLead)
	left := at.Sub(r.s.Now())
	if left <= 0 {
		return at, nil
	}
	return at, time.After(left)
}

// reportOutage reports an outage while the calls go on: the first one may have been
// waiting for a change, so the round can end after the confirmation has become stale. It
// does not when too few hosts were called, or the process got no processor time until
// long after dueAt, since the hosts may have replied then.
func (r *round) reportOutage(dueAt time.Time) {
	late := r.s.Now().Sub(dueAt) > stallTolerance
	enough := len(r.calls) >= min(minOutageHosts, len(r.s.Hosts.List()))
	if enough && !late && !r.rejected && !r.stalled {
		r.s.Tables.ReportOutage()
	}
}

// ready reports whether the node only needs changes. Without a configuration it requests
// the whole state, which takes longer, from one host at a time.
func (r *round) ready() bool {
	return len(r.calls) > 0 && r.calls[len(r.calls)-1].args.Have != (differ.Have{})
}

// firstHedge returns how long the first call may take before another host is called
// beside it.
func (r *round) firstHedge() time.Duration {
	if !r.ready() {
		return syncTimeout
	}
	return r.calls[0].args.Wait + hedgeDelay
}

// callNext calls the next host that this round has not called, and reports whether there
// is one.
func (r *round) callNext(ctx context.Context) bool {
	left := slices.DeleteFunc(r.s.Hosts.List(), func(h string) bool { return slices.Contains(r.excluded, h) })
	if len(left) == 0 || len(r.calls) == maxRoundCalls {
		return false
	}
	first := len(r.calls) == 0
	c := syncCall{host: r.picker.Pick(left, time.Now()), args: r.s.syncArgs(first), startedAt: r.s.Now()}
	limit := hedgeTimeout
	if first || c.args.Have == (differ.Have{}) {
		limit = syncTimeout
	}
	c.overdueAt, c.timeoutAt = c.startedAt.Add(c.args.Wait+hedgeDelay), c.startedAt.Add(limit)
	r.calls, r.open, r.excluded = append(r.calls, c), append(r.open, c), append(r.excluded, c.host)
	client := r.s.pool.Get(c.host)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		out := syncReply{syncCall: c}
		out.err = client.Call(callCtx, messenger.MethodSync, c.args, &out.reply)
		r.replies <- out
	}()
	return true
}

// recordFailure records a call without a confirmed reply.
func (r *round) recordFailure(reply syncReply, step syncStep, err error) {
	r.s.requeueEvidence(reply.args)
	if reply.err == nil {
		r.replied = append(r.replied, reply.host)
	}
	if step == stepHosts {
		// The host works; the node may only be assigned to another one of the new list.
		r.excluded = slices.DeleteFunc(r.excluded, func(h string) bool { return h == reply.host })
		return
	}
	if step == stepDecode || step == stepApply {
		r.rejected = true
		r.s.Tables.EndOutage()
	}
	if reply.endedLate(step, r.s.Now()) {
		r.stalled, step = true, stepStall
	}
	if step != stepStall {
		r.picker.RecordFailure(reply.host, time.Now())
	}
	r.addFailure(reply.syncCall, step, err)
}

// endedLate reports whether the call failed so long after its timeout that this process
// must have stalled.
func (c syncCall) endedLate(step syncStep, now time.Time) bool {
	switch step {
	case stepDial:
		return now.After(c.startedAt.Add(hostDialTimeout + stallTolerance))
	case stepReply:
		return now.After(c.timeoutAt.Add(stallTolerance))
	}
	return false
}

// addFailure counts a failed call and stores its description.
func (r *round) addFailure(c syncCall, step syncStep, err error) {
	failuresTotal(step).Inc()
	text := fmt.Sprintf("%s %s after %dms", c.host, step, r.s.Now().Sub(c.startedAt).Milliseconds())
	if step == stepDecode || step == stepApply {
		text += ": " + err.Error()
	}
	r.failures = append(r.failures, text)
	r.summary = append(r.summary, c.host+" "+string(step))
}

// abandonOpenCalls records the calls without a reply as failed if they are overdue.
func (r *round) abandonOpenCalls() {
	now := r.s.Now()
	for _, c := range r.open {
		r.s.requeueEvidence(c.args)
		if now.Before(c.overdueAt) {
			continue
		}
		r.picker.RecordFailure(c.host, time.Now())
		r.addFailure(c, stepReply, nil)
	}
}

// closeConnections closes the connections to the hosts that did not reply, so that no
// later call waits behind a call that was abandoned. Once a host has confirmed the table,
// it closes those to all others too; before that, the next round calls them again.
func (r *round) closeConnections(confirmedBy string) {
	for _, c := range r.calls {
		if c.host != confirmedBy && !slices.Contains(r.replied, c.host) {
			r.s.pool.Remove(c.host)
		}
	}
	if confirmedBy == "" {
		return
	}
	for _, h := range append(r.replied, r.s.Hosts.List()...) {
		if h != confirmedBy {
			r.s.pool.Remove(h)
		}
	}
}

// logFailures logs a round with failed calls, unless the round before failed in the same
// way. host is the one that confirmed the table.
func (r *round) logFailures(host string) {
	slices.Sort(r.summary)
	summary := strings.Join(append(r.summary, host), ", ")
	same := summary == r.s.lastSummary
	r.s.lastSummary = summary
	if same || len(r.failures) == 0 || !r.s.AsyncLogger.AllowLine(lineFailures) {
		return
	}
	r.s.Log.Warn(lineFailures, "confirmedBy", host, "failures", strings.Join(r.failures, ", "), "confirmationAgeMs", r.s.confirmationAge().Milliseconds(),
		"configVersion", r.s.tableVersion(), "ready", r.s.Ready())
}
