package controller

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
)

const maxEvidence = 4096

// evidenceBox holds what nodes saw until it is used or passed on.
type evidenceBox struct {
	mu   sync.Mutex
	list []decider.Evidence
	news chan struct{} // news is closed when the first evidence after a take comes.
}

// arrived returns a channel that is closed once there is evidence.
func (b *evidenceBox) arrived() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.news == nil {
		b.news = make(chan struct{})
	}
	return b.news
}

func (b *evidenceBox) put(list []decider.Evidence) {
	if len(list) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list)+len(list) <= maxEvidence {
		b.list = append(b.list, list...)
	}
	if b.news == nil {
		b.news = make(chan struct{})
	}
	select {
	case <-b.news:
	default:
		close(b.news)
	}
}

func (b *evidenceBox) take() []decider.Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.list
	b.list, b.news = nil, nil
	return list
}

// decide advances moves while this host leads. The state of every move is in
// the log; only the evidence lives here, and comes anew after a change of
// leaders.
func (c *Controller) decide(ctx context.Context) {
	plans := map[string]*decider.Plan{}
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, decider.DecisionInterval)
		if !c.leads() {
			clear(plans)
			continue
		}
		for _, e := range c.evidence.take() {
			plan(plans, e.MoveID).AddEvidence(e)
		}
		state := c.state.State()
		live := map[string]bool{}
		for _, t := range state.Traffics {
			if t.Move != nil && watched(*t.Move) {
				live[t.Move.ID] = true
				c.advance(ctx, state, *t.Move, plan(plans, t.Move.ID))
			}
		}
		for id := range plans {
			if !live[id] {
				delete(plans, id)
			}
		}
	}
}

func plan(plans map[string]*decider.Plan, id string) *decider.Plan {
	p, ok := plans[id]
	if !ok {
		p = &decider.Plan{MoveID: id}
		plans[id] = p
	}
	return p
}

func watched(m applier.Move) bool {
	return m.Running() || (m.Phase == applier.PhaseDone && time.Since(m.EndedAt) < decider.WatchDuration)
}

// advance proposes the next step of a move.
func (c *Controller) advance(ctx context.Context, s applier.State, m applier.Move, p *decider.Plan) {
	now := time.Now()
	step, ok := p.Next(now, m, capacityOf(s, m))
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
		c.Log.Warn("could not advance the move", "move", m.ID, "err", err)
		return
	}
	if r.Outcome == applier.OutcomeAccepted {
		c.Log.Info("move step", "service", m.Service, "to", m.To, "phase", step.Phase, "share", step.Share, "unsafeShare", step.UnsafeShare,
			"version", r.Version, "leftMs", m.Deadline.Sub(now).Milliseconds(), "reason", step.Reason)
	}
}

func capacityOf(s applier.State, m applier.Move) decider.Capacity {
	var c decider.Capacity
	for _, e := range s.Endpoints {
		switch {
		case e.Service != m.Service:
		case e.Version == m.To:
			c.NewSlots += e.Slots
		case e.Version == m.From:
			c.OldTargets++
		}
	}
	return c
}
