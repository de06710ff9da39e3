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
				c.adjustMembers(ctx, m)
			case !member || s.Leader == "":
				c.requestJoin(ctx, m)
			}
		}
	}
}

// memberAddresses returns the addresses of the members of the configuration group. It
// returns none while this host is no member: the membership that it knows may be the one
// that the groups began with, whose hosts may all be gone.
func (c *Controller) memberAddresses() []string {
	members := c.replicas[configIndex].group.Status().Membership
	if _, ok := members.Find(c.identity.ID); !ok {
		return nil
	}
	var out []string
	for _, mem := range members.Members {
		out = append(out, mem.Address)
	}
	return out
}

// requestJoin requests membership of a group from the hosts that other hosts name as its
// leader, until one of them has taken the request.
func (c *Controller) requestJoin(ctx context.Context, m *groupReplica) {
	args := messenger.JoinArgs{Group: m.group.Name, Member: replicator.Member{ID: c.identity.ID, Name: c.Name, Address: c.RPCAddress}}
	var leaders, members []string
	for _, r := range c.identifyHosts(ctx) {
		if l := r.Leaders[m.group.Name]; l != "" && l != c.RPCAddress && !slices.Contains(leaders, l) {
			leaders = append(leaders, l)
		}
		members = append(members, r.Members...)
	}
	slices.Sort(members)
	c.Hosts.SetMembers(slices.Compact(members))
	for _, leader := range leaders {
		if c.requestJoinAt(ctx, leader, args) {
			return
		}
	}
}

// requestJoinAt requests membership from one host and reports whether that host leads the
// group and has taken the request.
func (c *Controller) requestJoinAt(ctx context.Context, leader string, args messenger.JoinArgs) bool {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply messenger.CommandReply
	err := c.pool.Get(leader).Call(call, messenger.MethodJoin, args, &reply)
	c.Log.Debug("membership of the group requested", "group", args.Group, "leader", leader, "notLeader", reply.NotLeader, "failure", reply.Failure, "err", err)
	return err == nil && !reply.NotLeader && reply.Failure == ""
}

// admitHost takes the next step towards making a host a member. An existing member
// with the same name or address stands for the disk that this host lost and cannot
// rejoin, so it is removed first.
func (c *Controller) admitHost(ctx context.Context, args messenger.JoinArgs) messenger.CommandReply {
	m, _, ok := c.groupByName(args.Group)
	if !ok || !c.joined.Load() {
		return messenger.CommandReply{Redirect: messenger.Redirect{NotLeader: true}}
	}
	c.addresses.record(args.Member.ID, args.Member.Address)
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

// maxChangesInTurn bounds the membership changes that adjustMembers makes at once.
const maxChangesInTurn = 4

// adjustMembers makes the membership changes of a group that this host leads which are due,
// one right after the other: between the promotion of a learner and the removal of the
// lost voter that it replaces, the group has one voter more and none to spare.
func (c *Controller) adjustMembers(ctx context.Context, m *groupReplica) {
	for range maxChangesInTurn {
		chooser := voterChooser{now: clock.Now(), wantedVoters: c.VoterCount, initialVoters: len(c.initialMembership().Members)}
		s := m.group.Status()
		action, mem, ok := chooser.nextChange(s)
		if !ok || s.Role != replicator.RoleLeader || !c.makeChange(ctx, m, s, action, mem) {
			return
		}
	}
}

// makeChange makes one membership change, logs it with what the leader knows of the member,
// and reports whether it was made.
func (c *Controller) makeChange(ctx context.Context, m *groupReplica, s replicator.Status, action messenger.MemberAction, mem replicator.Member) bool {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	silent := time.Duration(0)
	if at, ok := s.LastContact(mem.ID); ok {
		silent = clock.Now().Sub(at)
	}
	c.Log.Info("membership change due", "group", m.group.Name, "action", action, "member", mem.Name, "silentMs", silent.Milliseconds(), "lags", s.Lags(mem.ID), "voters", len(s.Membership.Voters()), "members", len(s.Membership.Members))
	reply := c.changeMemberAndLog(call, messenger.MemberArgs{Group: m.group.Name, Action: action, Member: mem})
	return !reply.NotLeader && reply.Failure == ""
}
