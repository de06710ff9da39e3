package replicator

import (
	"context"

	"github.com/pkg/errors"
)

// Deliver takes in a message from another member. It never blocks for long: a
// full inbox drops the message, which the protocol makes up for.
func (g *Group) Deliver(e Envelope) {
	select {
	case g.inbox <- receivedMessage{e}:
	default:
	}
}

// Propose replicates a command and returns the result of applying it here.
func (g *Group) Propose(ctx context.Context, command []byte) (any, error) {
	result := make(chan outcome, 1)
	out := g.submit(ctx, "propose", proposal{command, result}, result)
	return out.value, out.err
}

// ReadIndex returns once this member's state holds everything that was accepted
// before the call. Only a leader with a valid lease can confirm.
func (g *Group) ReadIndex(ctx context.Context) (uint64, error) {
	result := make(chan outcome, 1)
	out := g.submit(ctx, "confirm", readIndexRequest{result}, result)
	if out.err != nil {
		return 0, out.err
	}
	return out.index, g.WaitApplied(ctx, out.index)
}

// WaitApplied returns once the entry at index was applied here.
func (g *Group) WaitApplied(ctx context.Context, index uint64) error {
	for {
		g.mu.Lock()
		applied, changed := g.applied, g.appliedChanged
		g.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &Error{"waitApplied", KindBusy, ctx.Err()}
		case <-g.done:
			return &Error{"waitApplied", KindStopped, errors.New("the group has stopped")}
		}
	}
}

// AddLearner lets a new member receive the log.
func (g *Group) AddLearner(ctx context.Context, m Member) error {
	m.Learner = true
	return g.changeMembership(ctx, func(old Membership) (Membership, error) {
		if _, ok := old.Find(m.ID); ok {
			return old, nil
		}
		return old.WithMember(m), nil
	})
}

// Promote makes a learner that has caught up a voter.
func (g *Group) Promote(ctx context.Context, id string) error {
	return g.changeMembership(ctx, func(old Membership) (Membership, error) {
		m, ok := old.Find(id)
		if !ok {
			return old, errors.Errorf("no member %s", id)
		}
		m.Learner = false
		return old.WithMember(m), nil
	})
}

// Remove takes a member out of the group.
func (g *Group) Remove(ctx context.Context, id string) error {
	return g.changeMembership(ctx, func(old Membership) (Membership, error) {
		return old.Without(id), nil
	})
}

func (g *Group) changeMembership(ctx context.Context, to func(Membership) (Membership, error)) error {
	result := make(chan outcome, 1)
	return g.submit(ctx, "changeMembership", membershipChange{to, result}, result).err
}

// TransferLeadership gives the lead to another member before a planned stop.
func (g *Group) TransferLeadership(ctx context.Context) error {
	result := make(chan outcome, 1)
	return g.submit(ctx, "handOver", leadershipTransfer{result}, result).err
}

// submit puts an event into the inbox and waits for its outcome.
func (g *Group) submit(ctx context.Context, op string, e inboxItem, result chan outcome) outcome {
	select {
	case g.inbox <- e:
	case <-ctx.Done():
		return outcome{err: &Error{op, KindBusy, ctx.Err()}}
	case <-g.done:
		return outcome{err: &Error{op, KindStopped, g.Failure()}}
	}
	select {
	case out := <-result:
		return out
	case <-ctx.Done():
		return outcome{err: &Error{op, KindUncertain, ctx.Err()}}
	case <-g.done:
		return outcome{err: &Error{op, KindUncertain, errors.New("the group has stopped")}}
	}
}

// Status returns this member's view.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// Failure returns the error that ended Run, nil while it works.
func (g *Group) Failure() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failure
}
