package controller

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamrack/hornbeamrack/common/clock"
	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
)

// maxBufferedEvidence bounds an evidenceBuffer, in pieces of evidence.
const maxBufferedEvidence = 4096

// rejectedEvidence counts the pieces of evidence that were not valid.
var rejectedEvidence = metrics.NewCounter("hornbeam_evidence_rejected_total")

// evidenceBuffer stores evidence that nodes reported until the leader uses it or
// this host sends it to the leader. It is safe for concurrent use.
type evidenceBuffer struct {
	mu     sync.Mutex
	list   []decider.Evidence
	signal chan struct{} // signal is closed when the first evidence after a call of take is added.
}

// available returns a channel that is closed once the buffer is not empty.
func (b *evidenceBuffer) available() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.signal == nil {
		b.signal = make(chan struct{})
	}
	return b.signal
}

// add appends the valid evidence of a list and closes the channel of available. A list
// that does not fit is dropped.
func (b *evidenceBuffer) add(list []decider.Evidence) {
	list = validEvidence(list)
	if len(list) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list)+len(list) <= maxBufferedEvidence {
		b.list = append(b.list, list...)
	}
	if b.signal == nil {
		b.signal = make(chan struct{})
	}
	select {
	case <-b.signal:
	default:
		close(b.signal)
	}
}

// validEvidence returns the valid evidence of a list, in a new list.
func validEvidence(list []decider.Evidence) []decider.Evidence {
	var valid []decider.Evidence
	for _, e := range list {
		if e.Valid() {
			valid = append(valid, e)
		}
	}
	rejectedEvidence.Add(len(list) - len(valid))
	return valid
}

// take removes and returns all buffered evidence, or nil when there is none.
func (b *evidenceBuffer) take() []decider.Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.list
	b.list, b.signal = nil, nil
	return list
}

// runMoves advances moves while this host leads. The state of every move is in
// the log; only the evidence is in memory, and nodes report new evidence after a
// change of leaders.
func (c *Controller) runMoves(ctx context.Context) {
	plans := map[string]*decider.Plan{}
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, decider.DecisionInterval)
		if !c.isLeader() {
			clear(plans)
			continue
		}
		for _, e := range c.evidence.take() {
			planFor(plans, e.MoveID).AddEvidence(e)
		}
		state := c.state.State()
		live := map[string]bool{}
		for _, t := range state.Traffics {
			if t.Move != nil && isActive(*t.Move) {
				live[t.Move.ID] = true
				c.advanceMove(ctx, state, *t.Move, planFor(plans, t.Move.ID))
			}
		}
		for id := range plans {
			if !live[id] {
				delete(plans, id)
			}
		}
	}
}

// planFor returns the plan of a move, and adds one if there is none.
func planFor(plans map[string]*decider.Plan, id string) *decider.Plan {
	p, ok := plans[id]
	if !ok {
		p = &decider.Plan{MoveID: id, Uptime: clock.Now}
		plans[id] = p
	}
	return p
}

// isActive reports whether a move runs, or is done and still watched for
// regressions.
func isActive(m applier.Move) bool {
	return m.Running() || (m.Phase == applier.PhaseDone && time.Since(m.EndedAt) < decider.WatchDuration)
}

// advanceMove proposes the next step of a move if one is due.
func (c *Controller) advanceMove(ctx context.Context, s applier.State, m applier.Move, p *decider.Plan) {
	now := time.Now()
	capacity := c.moveCapacity(s, m)
	step, ok := p.Next(now, m, capacity)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	r, err := c.propose(call, applier.StepMove{
		MoveID: m.ID, Service: m.Service, OldShare: m.Share, Share: step.Share, UnsafeShare: step.UnsafeShare,
		Phase: step.Phase, Reason: step.Reason, Late: m.Late || step.Late, At: now,
	})
	if err != nil {
		c.Log.Warn("failed to propose the next step of the move", "move", m.ID, "err", err)
		return
	}
	if r.Outcome == applier.OutcomeAccepted {
		c.Log.Info("move advanced", "service", m.Service, "to", m.To, "phase", step.Phase, "share", step.Share, "unsafeShare", step.UnsafeShare,
			"version", r.Version, "leftMs", m.Deadline.Sub(now).Milliseconds(), "newSlots", capacity.NewSlots, "newSilent", capacity.NewSilent, "oldTargets", capacity.OldTargets, "reason", step.Reason)
	}
}

// moveCapacity returns the slots of the new version, whether the hosts of its targets are
// silent, and the targets left of the old one.
func (c *Controller) moveCapacity(s applier.State, m applier.Move) decider.Capacity {
	var capacity decider.Capacity
	heard := false
	for _, e := range s.Endpoints {
		switch {
		case e.Service != m.Service:
		case e.Version == m.To:
			capacity.NewSlots += e.Slots
			heard = heard || !c.nodes.silent(e.Node)
		case e.Version == m.From:
			capacity.OldTargets++
		}
	}
	capacity.NewSilent = capacity.NewSlots > 0 && !heard
	return capacity
}
