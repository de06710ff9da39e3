package controller

import (
	"context"
	"slices"
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/clock"
	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

const memberInterval = 150 * time.Millisecond

// keepMembership makes this host a member of each group again whenever it is
// not one, and as the leader chooses the voters. So a host that lost its disk
// comes back without an operator.
func (c *Controller) keepMembership(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, memberInterval)
		c.Hosts.SetMembers(c.memberAddresses())
		for _, m := range c.members {
			s := m.group.Status()
			_, member := s.Membership.Find(c.identity.ID)
			switch {
			case s.Role == replicator.RoleLeader:
				c.chooseMembers(ctx, m, s)
			case !member || s.Leader == "":
				c.askToJoin(ctx, m)
			}
		}
	}
}

// memberAddresses returns the addresses of the members of the configuration's
// group.
func (c *Controller) memberAddresses() []string {
	var out []string
	for _, mem := range c.members[configPlace].group.Status().Membership.Members {
		out = append(out, mem.Address)
	}
	return out
}

// askToJoin asks whichever host leads the group to let this host in.
func (c *Controller) askToJoin(ctx context.Context, m *member) {
	args := messenger.JoinArgs{Group: m.group.Name, Member: replicator.Member{ID: c.identity.ID, Name: c.Name, Address: c.RPCAddress}}
	leader := ""
	for _, r := range c.askPeers(ctx) {
		if l := r.Leaders[m.group.Name]; l != "" && l != c.RPCAddress {
			leader = l
		}
	}
	if leader == "" {
		return
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply messenger.CommandReply
	err := c.pool.Get(leader).Call(call, messenger.MethodJoin, args, &reply)
	c.Log.Debug("asked to join", "group", m.group.Name, "leader", leader, "failure", reply.Failure, "err", err)
}

// admit takes the next step towards making a host a member. A member of the
// same name or address had the disk that this host lost, so it goes first: it
// cannot come back.
func (c *Controller) admit(ctx context.Context, args messenger.JoinArgs) messenger.CommandReply {
	m, _, ok := c.place(args.Group)
	if !ok || !c.ready.Load() {
		return messenger.CommandReply{Redirect: messenger.Redirect{NotLeader: true}}
	}
	members := m.group.Status().Membership
	change := messenger.MemberArgs{Group: args.Group, Action: messenger.MemberAdd, Member: args.Member}
	lost := slices.IndexFunc(members.Members, func(o replicator.Member) bool {
		return o.ID != args.Member.ID && (o.Address == args.Member.Address || o.Name == args.Member.Name)
	})
	known, found := members.Find(args.Member.ID)
	switch {
	case lost >= 0:
		change.Action, change.Member = messenger.MemberRemove, members.Members[lost]
	case found && known.Address != args.Member.Address:
		change.Action = messenger.MemberRemove
	case found:
		return messenger.CommandReply{} // The leader promotes it if a voter is wanted.
	}
	return c.changeAndLog(ctx, change)
}

func (c *Controller) changeAndLog(ctx context.Context, change messenger.MemberArgs) messenger.CommandReply {
	reply := c.changeMember(ctx, change)
	if !reply.NotLeader && reply.Failure == "" {
		c.Log.Info("member changed", "group", change.Group, "action", change.Action, "member", change.Member.Name, "id", change.Member.ID, "address", change.Member.Address)
	}
	return reply
}

// chooseMembers takes the leader's next step about the members of a group.
func (c *Controller) chooseMembers(ctx context.Context, m *member, s replicator.Status) {
	p := chooser{now: clock.Now(), wanted: c.VoterCount, founders: len(c.initial().Members)}
	action, mem, ok := p.next(s)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c.changeAndLog(call, messenger.MemberArgs{Group: m.group.Name, Action: action, Member: mem})
}
