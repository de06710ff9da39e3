package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// moveHost is a control host that leads its groups and decides on no moves.
type moveHost struct {
	*Controller
	is *is.I
}

// newMoveHost returns a control host with targets of the versions v1, which serves, to v3.
func newMoveHost(t *testing.T) moveHost {
	t.Helper()
	state := &applier.Applier{}
	c := newLeader(t, state)
	c.state = state
	c.readIndexers[configIndex] = &readIndexer{
		round:    func(ctx context.Context) error { return c.awaitReadIndex(ctx, messenger.GroupConfig) },
		interval: func() time.Duration { return 0 },
	}
	h := moveHost{c, is.New(t)}
	for _, version := range []string{"v1", "v2", "v3"} {
		h.announce(version)
	}
	return h
}

// announce proposes the list of a node with one target of the version.
func (h moveHost) announce(version string) {
	node := "node-" + version
	e := applier.Endpoint{EndpointKey: applier.EndpointKey{Node: node, Target: "t"}, Incarnation: 1, Address: "10.0.0.1:7101",
		DataCentre: "dc-1", Service: "designs", Version: version, Slots: 4}
	h.propose(applier.Announce{Announcements: []applier.Announcement{{Node: node, Incarnation: 1, Endpoints: []applier.Endpoint{e}}}, At: time.Now()})
}

func (h moveHost) propose(cmd applier.Command) applier.Result {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	r, err := h.Controller.propose(ctx, cmd)
	h.is.NoErr(err)
	return r
}

// order orders a move that began at the given time, as operators do whose calls have no ID.
func (h moveHost) order(to string, at time.Time, duration time.Duration) applier.Result {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	r, err := h.BeginMove(ctx, applier.BeginMove{EditID: "designs/" + to + "/" + duration.String(), Service: "designs", To: to, Deadline: at.Add(duration),
		Preference: applier.PreferDeadline, Team: "platform", At: at, AllowUnannounced: true})
	h.is.NoErr(err)
	return r
}

// end ends the running move in a phase.
func (h moveHost) end(phase applier.Phase) {
	m := h.move()
	r := h.propose(applier.StepMove{MoveID: m.ID, Service: m.Service, OldShare: m.Share, Phase: phase, Reason: "test", At: time.Now()})
	h.is.Equal(r.Outcome, applier.OutcomeAccepted)
}

// markLate marks the running move as late, as the leader does.
func (h moveHost) markLate() {
	m := h.move()
	r := h.propose(applier.StepMove{MoveID: m.ID, Service: m.Service, OldShare: m.Share, Phase: applier.PhaseRunning, Late: true, Reason: "test", At: time.Now()})
	h.is.Equal(r.Outcome, applier.OutcomeAccepted)
}

// move returns the latest move.
func (h moveHost) move() applier.Move {
	m, ok, err := h.Move(context.Background(), "designs")
	h.is.NoErr(err)
	h.is.True(ok)
	return m
}

// TestOverdueMoveGivesWay guards against a move that is past its deadline, held, and blocks
// the next one until its grace period ends.
func TestOverdueMoveGivesWay(t *testing.T) {
	h := newMoveHost(t)
	now := time.Now()
	h.is.Equal(h.order("v2", now, 12*time.Second).Outcome, applier.OutcomeAccepted)
	h.is.Equal(h.order("v3", now.Add(6*time.Second), 12*time.Second).Outcome, applier.OutcomeRefused) // v2 is in time
	h.is.Equal(h.move().To, "v2")
	late := now.Add(13 * time.Second)
	h.is.Equal(h.order("v3", late, 12*time.Second).Outcome, applier.OutcomeRefused) // not late by the leader's clock
	h.markLate()
	h.is.Equal(h.order("v2", late, 20*time.Second).Outcome, applier.OutcomeRefused) // its targets must not stop
	h.is.Equal(h.order("v1", late, 12*time.Second).Outcome, applier.OutcomeRefused) // it could not begin
	h.is.True(h.move().Running() && h.move().To == "v2")
	h.is.Equal(h.order("v3", late, 12*time.Second).Outcome, applier.OutcomeAccepted)
	h.is.True(h.move().Running() && h.move().To == "v3")
	past := h.state.State().PastMoves
	h.is.True(len(past) == 1 && past[0].To == "v2" && past[0].Phase == applier.PhaseCancelled)
	// The order that gave way is not carried out when it is sent again.
	h.is.Equal(h.order("v3", late.Add(time.Second), 12*time.Second).Outcome, applier.OutcomeAccepted)
	h.is.Equal(h.order("v2", now.Add(4*time.Second), 12*time.Second).Outcome, applier.OutcomeAccepted)
	h.is.Equal(h.move().To, "v3")
	h.is.Equal(len(h.state.State().PastMoves), 1)
}

// TestResentOrderSparesOverdueMove guards against an order that was answered before, arrives
// again late, and ends the move that began after it.
func TestResentOrderSparesOverdueMove(t *testing.T) {
	h := newMoveHost(t)
	now := time.Now()
	h.is.Equal(h.order("v2", now, time.Second).Outcome, applier.OutcomeAccepted)
	h.end(applier.PhaseRolledBack)
	h.is.Equal(h.order("v3", now.Add(time.Second), time.Second).Outcome, applier.OutcomeAccepted)
	h.markLate()
	h.is.Equal(h.order("v2", now.Add(4*time.Second), time.Second).Outcome, applier.OutcomeAccepted)
	h.is.True(h.move().Running() && h.move().To == "v3")
}

// TestRepeatedOrderIsCarriedOut guards against an order that is acknowledged and not carried
// out, since an equal one was given earlier and has ended.
func TestRepeatedOrderIsCarriedOut(t *testing.T) {
	h := newMoveHost(t)
	now := time.Now()
	const duration = 12 * time.Second
	h.is.Equal(h.order("v2", now, duration).Outcome, applier.OutcomeAccepted)
	first := h.move()
	h.is.Equal(h.order("v2", now.Add(11*time.Second), duration).Outcome, applier.OutcomeAccepted) // it runs
	h.is.Equal(h.move(), first)
	h.end(applier.PhaseRolledBack)
	h.is.Equal(h.order("v2", now.Add(4*time.Second), duration).Outcome, applier.OutcomeAccepted)  // a resend
	h.is.Equal(h.order("v2", now.Add(-5*time.Second), duration).Outcome, applier.OutcomeAccepted) // by a clock that is behind
	h.is.Equal(h.move().Phase, applier.PhaseRolledBack)
	again := now.Add(20 * time.Second)
	h.is.Equal(h.order("v2", again, duration).Outcome, applier.OutcomeAccepted)
	second := h.move()
	h.is.True(second.Running() && second.ID != first.ID)
	h.is.Equal(h.order("v2", again.Add(4*time.Second), duration).Outcome, applier.OutcomeAccepted) // a resend of the second
	h.is.Equal(h.move(), second)
	h.end(applier.PhaseRolledBack)
	// Another order in between does not matter.
	h.is.Equal(h.order("v3", again.Add(30*time.Second), duration).Outcome, applier.OutcomeAccepted)
	h.end(applier.PhaseRolledBack)
	h.is.Equal(h.order("v2", again.Add(60*time.Second), duration).Outcome, applier.OutcomeAccepted)
	h.is.True(h.move().Running() && h.move().To == "v2")
	h.end(applier.PhaseDone)
	// Its version serves, so there is nothing left to do.
	h.is.Equal(h.order("v2", again.Add(time.Hour), duration).Outcome, applier.OutcomeAccepted)
	h.is.Equal(h.move().Phase, applier.PhaseDone)
	// Back to the earlier version, and forth again.
	h.is.Equal(h.order("v1", again.Add(2*time.Hour), duration).Outcome, applier.OutcomeAccepted)
	h.end(applier.PhaseDone)
	h.is.Equal(h.order("v2", again.Add(3*time.Hour), duration).Outcome, applier.OutcomeAccepted)
	h.is.True(h.move().Running() && h.move().To == "v2")
	h.end(applier.PhaseDone)
	h.is.Equal(h.order("v1", again.Add(4*time.Hour), duration).Outcome, applier.OutcomeAccepted)
	h.is.True(h.move().Running() && h.move().To == "v1")
}
