package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

const (
	// maxSyncWait bounds the time that a Sync waits for a change.
	maxSyncWait = 3 * time.Second
	// syncSettleDelay combines changes in quick succession into one update: when
	// many nodes restart at once, the targets of every node are a change for all
	// others.
	syncSettleDelay = 50 * time.Millisecond
	// syncReadIndexTimeout is long enough for a node's call to wait for the end of
	// an election.
	syncReadIndexTimeout = 400 * time.Millisecond
)

// nodeMethods are the RPC methods for nodes. trusted is set on connections of
// other control hosts.
type nodeMethods struct {
	c       *Controller
	trusted bool
}

// Sync replies with an update once the state differs from the node's position, or
// after the wait of the arguments. The reply is not confirmed when no leader
// replied in time, or when the node has fewer host addresses than there are.
func (m *nodeMethods) Sync(args messenger.SyncArgs, reply *messenger.SyncReply) error {
	c := m.c
	if !c.joined.Load() {
		return nil
	}
	// After a restart all nodes have only the addresses of the seeds. A node receives
	// all addresses first, so that it connects to its assigned host before the seed
	// spends a read-index round and an update on it.
	reply.Hosts = c.memberAddresses()
	if len(reply.Hosts) == 0 {
		return nil
	}
	if args.Known < len(reply.Hosts) {
		return nil
	}
	// The wait includes the read-index round, so that the node knows when to expect the reply.
	deadline := time.Now().Add(min(args.Wait, maxSyncWait))
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(peerTimeout))
	defer cancel()
	// The read-index round must begin after the node's call; otherwise this host
	// could serve a stale state from the minority side of a partition.
	if err := c.readIndexers[configIndex].wait(ctx, time.Now().Add(syncReadIndexTimeout)); err != nil {
		return nil
	}
	for {
		state, changed := c.state.Watch()
		c.nodes.recordHeartbeat(args.Report, state.Version)
		c.evidence.add(args.Report.Evidence)
		args.Report.Evidence = nil
		update := differ.NewUpdate(state, c.positionOf(state), args.Have)
		left := time.Until(deadline)
		if !update.LeadsTo(args.Have) || left <= 0 {
			b, err := c.packer.pack(update)
			reply.Update, reply.Confirmed = b, err == nil
			reply.VersionAge = c.versions.age(state.Version, time.Now())
			if args.Have == (differ.Have{}) {
				reply.Departures = state.DeparturesOf(args.Report.Node)
			}
			return err
		}
		if awaitChange(ctx, changed, left) {
			sleeper.Sleep(ctx, syncSettleDelay)
		}
	}
}

// awaitChange reports whether changed is closed within the limit.
func awaitChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	wait, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-changed:
		return true
	case <-wait.Done():
		return false
	}
}

// positionOf returns the version and digests of a state. They are computed once
// for each state and cached.
func (c *Controller) positionOf(s applier.State) differ.Have {
	if t := c.position.Load(); t != nil && t.version == s.Version && t.revision == s.Revision && t.poisonChanges == s.PoisonChanges {
		return t.position
	}
	position := differ.SnapshotOf(s).Position()
	c.position.Store(&cachedPosition{s.Version, s.Revision, s.PoisonChanges, position})
	return position
}

// Command proposes a command if this host leads the group. Nodes may change
// claims, report crashes and report served requests; edits are accepted only through the
// operators' API.
func (m *nodeMethods) Command(args messenger.CommandArgs, reply *messenger.CommandReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	if m.trusted || args.Group != messenger.GroupConfig {
		*reply = m.c.proposeHere(ctx, args.Group, args.Command)
		return nil
	}
	report, err := stampReport(args.Command, time.Now())
	if err != nil {
		return err
	}
	before := m.c.state.State()
	if m.c.isLeader() && !isNews(before, report) {
		return nil
	}
	command, err := applier.Encode(report)
	if err != nil {
		return err
	}
	*reply = m.c.proposeHere(ctx, args.Group, command)
	m.c.logVerdicts(before, m.c.state.State())
	return nil
}

// Announce accepts a node's list of targets. Lists that arrive close together are
// sent to the leader in one batch.
func (m *nodeMethods) Announce(args messenger.AnnounceArgs, reply *messenger.AnnounceReply) error {
	m.c.acceptAnnouncements(args, reply, gatherTimeout)
	return nil
}

// peerMethods are the RPC methods for other control hosts.
type peerMethods struct{ c *Controller }

// Identify returns the identity of this host.
func (m *peerMethods) Identify(_ messenger.Empty, reply *messenger.IdentifyReply) error {
	*reply = m.c.identify()
	return nil
}

// Deliver passes messages to a group. It returns an error before this host has
// joined.
func (m *peerMethods) Deliver(args messenger.DeliverArgs, _ *messenger.Empty) error {
	mem, _, ok := m.c.groupByName(args.Group)
	if !ok || !m.c.joined.Load() {
		return errors.New("this control host has not joined its groups yet, or the group is unknown")
	}
	for _, e := range args.Envelopes {
		m.c.addresses.record(e.From, args.Sender)
		mem.group.Deliver(e)
	}
	return nil
}

// Confirm returns a read index of a group if this host leads it.
func (m *peerMethods) Confirm(args messenger.ConfirmArgs, reply *messenger.ConfirmReply) error {
	mem, _, ok := m.c.groupByName(args.Group)
	if !ok || !m.c.joined.Load() {
		reply.NotLeader = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	index, err := mem.group.ReadIndex(ctx)
	reply.Index, reply.NotLeader = index, err != nil
	return nil
}

// Seen merges the node statuses and evidence that another host received from nodes.
func (m *peerMethods) Seen(args messenger.SeenArgs, _ *messenger.Empty) error {
	version := m.c.state.State().Version
	for _, s := range args.Sightings {
		m.c.nodes.mergeStatus(s, version)
	}
	m.c.evidence.add(args.Evidence)
	return nil
}

// Forward accepts lists of targets that another control host has collected, if
// this host leads.
func (m *peerMethods) Forward(args messenger.AnnounceArgs, reply *messenger.AnnounceReply) error {
	if !m.c.isLeader() {
		reply.Failure = "this control host is not the leader"
		return nil
	}
	m.c.acceptAnnouncements(args, reply, announceTimeout)
	return nil
}

// Nodes returns the statuses of all nodes, and whether this host leads.
func (m *peerMethods) Nodes(_ messenger.Empty, reply *messenger.NodesReply) error {
	reply.NotLeader = !m.c.isLeader()
	reply.Sightings = m.c.nodes.list()
	return nil
}

// Member changes the members of a group if this host leads it.
func (m *peerMethods) Member(args messenger.MemberArgs, reply *messenger.CommandReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	*reply = m.c.changeMember(ctx, args)
	return nil
}

// Join takes the next step to admit another control host to a group, if this host
// leads it.
func (m *peerMethods) Join(args messenger.JoinArgs, reply *messenger.CommandReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	*reply = m.c.admitHost(ctx, args)
	return nil
}

// changeMember adds, promotes or removes a member of a group that this host leads.
// A failure goes into the reply.
func (c *Controller) changeMember(ctx context.Context, args messenger.MemberArgs) messenger.CommandReply {
	mem, _, ok := c.groupByName(args.Group)
	if !ok || !c.joined.Load() {
		return messenger.CommandReply{Redirect: messenger.Redirect{NotLeader: true}}
	}
	var err error
	switch args.Action {
	case messenger.MemberAdd:
		err = mem.group.AddLearner(ctx, args.Member)
	case messenger.MemberPromote:
		err = mem.group.Promote(ctx, args.Member.ID)
	case messenger.MemberRemove:
		err = mem.group.Remove(ctx, args.Member.ID)
	}
	switch {
	case replicator.IsKind(err, replicator.KindNotLeader):
		return messenger.CommandReply{Redirect: c.redirect(mem)}
	case err != nil:
		return messenger.CommandReply{Failure: err.Error()}
	}
	return messenger.CommandReply{}
}

// isLeader reports whether this host leads the configuration group.
func (c *Controller) isLeader() bool {
	return c.joined.Load() && c.replicas[configIndex].group.Status().Role == replicator.RoleLeader
}
