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

// membershipInterval is the time between two checks of the memberships.
const membershipInterval = 150 * time.Millisecond

// maintainMembership requests membership of each group that this host is not a
// member of, and adjusts the members of groups that it leads. So a host that lost
// its disk rejoins without an operator.
func (c *Controller) maintainMembership(ctx context.Context) {
	for ctx.Err() == nil {
		sleeper.Sleep(ctx, membershipInterval)
		c.Hosts.SetMembers(c.memberAddresses())
		for _, m := range c.replicas {
			s := m.group.Status()
			_, member := s.Membership.Find(c.identity.ID)
			switch {
			case s.Role == replicator.RoleLeader:
				c.adjustMembers(ctx, m, s)
			case !member || s.Leader == "":
				c.requestJoin(ctx, m)
			}
		}
	}
}

// memberAddresses returns the addresses of the members of the configuration
// group.
func (c *Controller) memberAddresses() []string {
	var out []string
	for _, mem := range c.replicas[configIndex].group.Status().Membership.Members {
		out = append(out, mem.Address)
	}
	return out
}

// requestJoin requests membership of a group from its leader.
func (c *Controller) requestJoin(ctx context.Context, m *groupReplica) {
	args := messenger.JoinArgs{Group: m.group.Name, Member: replicator.Member{ID: c.identity.ID, Name: c.Name, Address: c.RPCAddress}}
	leader := ""
	for _, r := range c.identifyHosts(ctx) {
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
	c.Log.Debug("membership of the group requested", "group", m.group.Name, "leader", leader, "failure", reply.Failure, "err", err)
}

// admitHost takes the next step towards making a host a member. An existing member
// with the same name or address stands for the disk that this host lost and cannot
// rejoin, so it is removed first.
func (c *Controller) admitHost(ctx context.Context, args messenger.JoinArgs) messenger.CommandReply {
	m, _, ok := c.groupByName(args.Group)
	if !ok || !c.joined.Load() {
		return messenger.CommandReply{Redirect: messenger.Redirect{NotLeader: true}}
	}
	members := m.group.Status().Membership
	change := messenger.MemberArgs{Group: args.Group, Action: messenger.MemberAdd, Member: args.Member}
	replaced := slices.IndexFunc(members.Members, func(o replicator.Member) bool {
		return o.ID != args.Member.ID && (o.Address == args.Member.Address || o.Name == args.Member.Name)
	})
	known, found := members.Find(args.Member.ID)
	switch {
	case replaced >= 0:
		change.Action, change.Member = messenger.MemberRemove, members.Members[replaced]
	case found && known.Address != args.Member.Address:
		change.Action = messenger.MemberRemove
	case found:
		return messenger.CommandReply{} // The leader promotes it if a voter is wanted.
	}
	return c.changeMemberAndLog(ctx, change)
}

// changeMemberAndLog changes a member and logs the change if it was made.
func (c *Controller) changeMemberAndLog(ctx context.Context, change messenger.MemberArgs) messenger.CommandReply {
	reply := c.changeMember(ctx, change)
	if !reply.NotLeader && reply.Failure == "" {
		c.Log.Info("membership of the group changed", "group", change.Group, "action", change.Action, "member", change.Member.Name, "id", change.Member.ID, "address", change.Member.Address)
	}
	return reply
}

// adjustMembers makes the next membership change of a group that this host leads,
// if one is due.
func (c *Controller) adjustMembers(ctx context.Context, m *groupReplica, s replicator.Status) {
	chooser := voterChooser{now: clock.Now(), wantedVoters: c.VoterCount, initialVoters: len(c.initialMembership().Members)}
	action, mem, ok := chooser.nextChange(s)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c.changeMemberAndLog(call, messenger.MemberArgs{Group: m.group.Name, Action: action, Member: mem})
}
