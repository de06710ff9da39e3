package replicator

import (
	"context"

	"github.com/pkg/errors"
)

// Deliver queues a message from another member. It never blocks: when the inbox is
// full, it drops the message, and the protocol recovers as from any lost message.
func (g *Group) Deliver(e Envelope) {
	select {
	case g.inbox <- receivedMessage{e}:
	default:
	}
}

// Propose replicates a command and returns the result of applying it on this
// member. On failure it returns an Error: KindNotLeader, KindBusy, KindReplaced or
// KindStopped when the command is not and will not be committed, KindUncertain
// when it may be.
func (g *Group) Propose(ctx context.Context, command []byte) (any, error) {
	result := make(chan outcome, 1)
	out := g.submit(ctx, "propose", proposal{command, result}, result)
	return out.value, out.err
}

// ReadIndex waits until this member's state contains every command acknowledged
// before the call, and returns the index up to which it is applied. It returns
// KindNotLeader unless this member leads and holds a valid lease.
func (g *Group) ReadIndex(ctx context.Context) (uint64, error) {
	result := make(chan outcome, 1)
	out := g.submit(ctx, "confirm", readIndexRequest{result}, result)
	if out.err != nil {
		return 0, out.err
	}
	return out.index, g.WaitApplied(ctx, out.index)
}

// WaitApplied waits until the entry at index is applied on this member. It returns
// KindBusy when ctx ends and KindStopped when the group stops.
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

// AddLearner adds a member that receives the log without a vote. Nothing changes
// if the group has a member of that identity.
func (g *Group) AddLearner(ctx context.Context, m Member) error {
	m.Learner = true
	return g.changeMembership(ctx, func(old Membership) (Membership, error) {
		if _, ok := old.Find(m.ID); ok {
			return old, nil
		}
		return old.WithMember(m), nil
	})
}

// Promote turns a learner into a voter. It returns KindBusy when the learner has
// not caught up, and KindRefused when there is no such member.
func (g *Group) Promote(ctx context.Context, id string) error {
	return g.changeMembership(ctx, func(old Membership) (Membership, error) {
		m, ok := old.Find(id)
		if !ok {
			return old, errors.Errorf("member %s is not in the group", id)
		}
		m.Learner = false
		return old.WithMember(m), nil
	})
}

// Remove removes a member from the group. Nothing changes if there is no such
// member.
func (g *Group) Remove(ctx context.Context, id string) error {
	return g.changeMembership(ctx, func(old Membership) (Membership, error) {
		return old.Without(id), nil
	})
}

// changeMembership proposes the membership that to returns for the newest one, and
// waits until it is applied. It returns the errors of Core.ProposeMembership and of
// submit, and KindRefused for an error of to.
func (g *Group) changeMembership(ctx context.Context, to func(Membership) (Membership, error)) error {
	result := make(chan outcome, 1)
	return g.submit(ctx, "changeMembership", membershipChange{to, result}, result).err
}

// TransferLeadership starts the transfer of leadership to another member before a
// planned stop; it does not wait for the election. It returns KindNotLeader when
// there is nothing to transfer.
func (g *Group) TransferLeadership(ctx context.Context) error {
	result := make(chan outcome, 1)
	return g.submit(ctx, "handOver", leadershipTransfer{result}, result).err
}

// submit puts an item into the inbox and waits for its outcome. It fails with
// KindBusy when ctx ends, and KindStopped when the group stops, before the item is
// queued; with KindUncertain when either happens after that.
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

// Status returns the status of this member after the last flush.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status
}

// Failure returns the error that ended Run; nil while it runs.
func (g *Group) Failure() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failure
}
