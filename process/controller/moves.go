package controller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// orderResendTime is how long after an order without an ID an equal one counts as sent again:
// operators send an order again for 4 s, and the clocks of control hosts differ by seconds.
const orderResendTime = 10 * time.Second

// BeginMove begins the move of an order that has no ID of its own. cmd.EditID is derived
// from the content of the order. It is idempotent: an equal order is accepted again while
// the move runs, as a resend, and once its version serves. Later it is an order of its own.
func (c *Controller) BeginMove(ctx context.Context, cmd applier.BeginMove) (applier.Result, error) {
	s, err := c.LinearizableState(ctx)
	if err != nil {
		return applier.Result{}, err
	}
	cmd.EditID = orderID(s, cmd)
	return c.beginOrReplace(ctx, s, cmd)
}

// Move returns the latest move of a service; ok is false when there is none.
func (c *Controller) Move(ctx context.Context, service string) (m applier.Move, ok bool, err error) {
	s, err := c.LinearizableState(ctx)
	if err != nil {
		return applier.Move{}, false, err
	}
	t, _ := s.Traffic(service)
	if t.Move == nil {
		return applier.Move{}, false, nil
	}
	return *t.Move, true, nil
}

// beginOrReplace begins a move, and ends the overdue one of its service first. Both are
// commands that hosts of earlier builds know, so that all hosts apply them alike.
func (c *Controller) beginOrReplace(ctx context.Context, s applier.State, cmd applier.BeginMove) (applier.Result, error) {
	if end, ok := endOfOverdueMove(s, cmd); ok {
		r, err := c.propose(ctx, end)
		c.Log.Info("overdue move replaced", "service", cmd.Service, "id", end.MoveID, "by", cmd.EditID, "to", cmd.To, "outcome", r.Outcome, "message", r.Message, "err", err)
		if err != nil {
			return r, err
		}
	}
	r, err := c.propose(ctx, cmd)
	c.Log.Info("move requested", "service", cmd.Service, "to", cmd.To, "deadline", cmd.Deadline, "id", cmd.EditID, "outcome", r.Outcome, "message", r.Message, "err", err)
	return r, err
}

// endOfOverdueMove returns the command that ends the running move of a service, so that cmd
// can begin another one. ok is false unless that move has passed its deadline by this host's
// clock and is late by the leader's, if it is to the same version, whose targets must not
// stop, or if cmd would be rejected all the same.
func endOfOverdueMove(s applier.State, cmd applier.BeginMove) (end applier.StepMove, ok bool) {
	t, _ := s.Traffic(cmd.Service)
	if t.Move == nil || !t.Move.Running() || t.Move.To == cmd.To {
		return end, false
	}
	if !t.Move.Late || !cmd.At.After(t.Move.Deadline) {
		return end, false
	}
	if _, answered := s.Result(cmd.EditID); answered {
		return end, false // It is sent again.
	}
	end = applier.StepMove{MoveID: t.Move.ID, Service: cmd.Service, OldShare: t.Move.Share, Phase: applier.PhaseCancelled,
		Reason: "replaced after its deadline by a move to " + cmd.To, At: cmd.At}
	ended, _ := s.Next(0, end)
	_, r := ended.Next(0, cmd)
	return end, r.Outcome == applier.OutcomeAccepted
}

// orderID returns the ID of the move that an order without an ID stands for: that of an
// earlier equal order if this one is a resend of it, else one that is not used yet.
func orderID(s applier.State, cmd applier.BeginMove) string {
	t, _ := s.Traffic(cmd.Service)
	id := cmd.EditID
	for n := 2; ; n++ {
		if _, answered := s.Result(id); !answered || t.ServingVersion == cmd.To || isCurrentOrder(s, t, id, cmd.At) {
			return id
		}
		id = fmt.Sprintf("%s#%d", cmd.EditID, n)
	}
}

// isCurrentOrder reports whether the move with an ID runs, or began so short a time before
// now that an equal order counts as a resend.
func isCurrentOrder(s applier.State, t applier.Traffic, id string, now time.Time) bool {
	m := t.Move
	if m == nil || m.ID != id {
		i := slices.IndexFunc(s.PastMoves, func(m applier.Move) bool { return m.ID == id })
		if i < 0 {
			return false
		}
		m = &s.PastMoves[i]
	}
	return m.Running() || now.Sub(m.BegunAt).Abs() < orderResendTime
}
