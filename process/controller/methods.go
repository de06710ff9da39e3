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
	// maxWait bounds how long a Sync waits for a change.
	maxWait = 3 * time.Second
	// settleTime lets changes that come close together reach a node as one
	// update: in a herd's restart every node's targets are news to all others.
	settleTime = 50 * time.Millisecond
	// syncConfirmWait lets a node's call wait for the end of an election.
	syncConfirmWait = 400 * time.Millisecond
)

// nodeMethods are what nodes may call. On connections of other control hosts,
// trusted is set.
type nodeMethods struct {
	c       *Controller
	trusted bool
}

// Sync answers once there is something new for the node, or after its wait.
func (m *nodeMethods) Sync(args messenger.SyncArgs, reply *messenger.SyncReply) error {
	c := m.c
	if !c.ready.Load() {
		return nil
	}
	// A node that restarts knows the seeds alone, like all others: it goes to the
	// host that is its own before that one has work with it.
	reply.Hosts = c.memberAddresses()
	if args.Known < len(reply.Hosts) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, maxWait)+peerTimeout)
	defer cancel()
	// The confirmation must begin after the node's call, or this host could be
	// one that a partition has left behind.
	if err := c.confirm[configPlace].wait(ctx, time.Now().Add(syncConfirmWait)); err != nil {
		return nil
	}
	until := time.Now().Add(min(args.Wait, maxWait))
	for {
		state, changed := c.state.Watch()
		c.sight.saw(args.Report, state.Version)
		c.evidence.put(args.Report.Evidence)
		args.Report.Evidence = nil
		update := differ.NewUpdate(state, c.targetOf(state), args.Have)
		left := time.Until(until)
		if !upToDate(update, args.Have) || left <= 0 {
			b, err := c.packer.pack(update)
			reply.Update, reply.Confirmed = b, err == nil
			return err
		}
		if awaitChange(ctx, changed, left) {
			sleeper.Sleep(ctx, settleTime)
		}
	}
}

// awaitChange reports whether the state changed within a time.
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

func upToDate(u differ.Update, have differ.Position) bool {
	return u.Version == have.Version && u.Digest == have.Digest &&
		u.Revision == have.Revision && u.EndpointsHash == have.EndpointsHash
}

// targetOf returns the digests of a state; they are worked out once for each.
func (c *Controller) targetOf(s applier.State) differ.Position {
	if t := c.target.Load(); t != nil && t.version == s.Version && t.revision == s.Revision {
		return t.have
	}
	have := differ.SnapshotOf(s).Position()
	c.target.Store(&targetHave{s.Version, s.Revision, have})
	return have
}

// Command proposes a command if this host leads the group. Nodes may change
// claims and report crashes; edits come only through the operators' API.
func (m *nodeMethods) Command(args messenger.CommandArgs, reply *messenger.CommandReply) error {
	if !m.trusted && args.Group == messenger.GroupConfig {
		c, err := applier.Decode(args.Command)
		if _, ok := c.(applier.ReportCrash); err != nil || !ok {
			return errors.New("nodes may not change the configuration")
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	*reply = m.c.command(ctx, args.Group, args.Command)
	return nil
}

// Announce takes in a node's list. Lists that come close together go to the
// leader together.
func (m *nodeMethods) Announce(args messenger.AnnounceArgs, reply *messenger.AnnounceReply) error {
	m.c.takeAnnouncements(args, reply, gatherExpiry)
	return nil
}

// peerMethods are what other control hosts may call.
type peerMethods struct{ c *Controller }

// Identify tells who this host is.
func (m *peerMethods) Identify(_ messenger.Empty, reply *messenger.IdentifyReply) error {
	*reply = m.c.identify()
	return nil
}

// Deliver takes in messages of a group.
func (m *peerMethods) Deliver(args messenger.DeliverArgs, _ *messenger.Empty) error {
	mem, _, ok := m.c.place(args.Group)
	if !ok || !m.c.ready.Load() {
		return errors.New("not ready")
	}
	for _, e := range args.Envelopes {
		mem.group.Deliver(e)
	}
	return nil
}

// Confirm gives a confirmed index if this host leads.
func (m *peerMethods) Confirm(args messenger.ConfirmArgs, reply *messenger.ConfirmReply) error {
	mem, _, ok := m.c.place(args.Group)
	if !ok || !m.c.ready.Load() {
		reply.NotLeader = true
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	index, err := mem.group.ReadIndex(ctx)
	reply.Index, reply.NotLeader = index, err != nil
	return nil
}

// Seen takes in what a follower saw of nodes.
func (m *peerMethods) Seen(args messenger.SeenArgs, _ *messenger.Empty) error {
	version := m.c.state.State().Version
	for _, s := range args.Sightings {
		m.c.sight.heard(s, version)
	}
	m.c.evidence.put(args.Evidence)
	return nil
}

// Forward takes in lists that another control host has gathered, if this host
// leads.
func (m *peerMethods) Forward(args messenger.AnnounceArgs, reply *messenger.AnnounceReply) error {
	if !m.c.leads() {
		reply.Failure = "this control host does not lead"
		return nil
	}
	m.c.takeAnnouncements(args, reply, announceExpiry)
	return nil
}

// Nodes lists the nodes if this host leads.
func (m *peerMethods) Nodes(_ messenger.Empty, reply *messenger.NodesReply) error {
	reply.NotLeader = !m.c.leads()
	reply.Sightings = m.c.sight.list()
	return nil
}

// Member changes the members of a group if this host leads it.
func (m *peerMethods) Member(args messenger.MemberArgs, reply *messenger.CommandReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	*reply = m.c.changeMember(ctx, args)
	return nil
}

// Join lets another control host into a group if this host leads it.
func (m *peerMethods) Join(args messenger.JoinArgs, reply *messenger.CommandReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	*reply = m.c.admit(ctx, args)
	return nil
}

func (c *Controller) changeMember(ctx context.Context, args messenger.MemberArgs) messenger.CommandReply {
	mem, _, ok := c.place(args.Group)
	if !ok || !c.ready.Load() {
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

func (c *Controller) leads() bool {
	return c.ready.Load() && c.members[configPlace].group.Status().Role == replicator.RoleLeader
}
