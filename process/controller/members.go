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

const (
	memberInterval = 150 * time.Millisecond
	// silentLimit is how long a voter may be silent before a surplus voter's
	// place is taken from it.
	silentLimit = 4 * time.Second
)

// keepMembership makes this host a voter of each group again whenever it is
// not one, and removes voters that were replaced. So a host that lost its disk
// comes back without an operator.
func (c *Controller) keepMembership(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, memberInterval)
		c.Hosts.Learn(c.memberAddresses())
		for _, m := range c.members {
			s := m.group.Status()
			switch {
			case s.Role == replicator.RoleLeader:
				c.removeSurplus(ctx, m, s)
			case !s.Membership.IsVoter(c.identity.ID) || s.Leader == "":
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

// admit takes the next step towards making a host a voter. A member of the
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
	case found && !known.Learner:
		return messenger.CommandReply{}
	case found:
		change.Action = messenger.MemberPromote
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

// removeSurplus removes a voter that is silent for long, while the group has
// more voters than it began with. A group that lost one for good has then
// taken in another in its place.
func (c *Controller) removeSurplus(ctx context.Context, m *member, s replicator.Status) {
	if len(s.Membership.Voters()) <= len(c.initial().Members) {
		return
	}
	for _, id := range s.Membership.Voters() {
		since, ok := s.SilentSince(id)
		if !ok || clock.Now().Sub(since) < silentLimit {
			continue
		}
		mem, _ := s.Membership.Find(id)
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		c.changeAndLog(call, messenger.MemberArgs{Group: m.group.Name, Action: messenger.MemberRemove, Member: mem})
		cancel()
		return
	}
}
