// Package controller runs the control role: it replicates the configuration and
// the claims among the control hosts, and serves nodes and operators.
//
// Two groups are replicated over the same hosts, each with its own log, leader
// and lease: the configuration with the endpoints, and the claims on
// idempotency keys. A busy configuration group therefore does not delay the
// requests that need a claim, and a claim does not delay an edit.
//
// # Usage
//
//	c := &controller.Controller{Name: "control-1", RPCAddress: "10.0.0.1:7000", ...}
//	err := c.Open()
//	err = c.Run(ctx)
//
// Lock order: nodeTable.mu, batcher.mu, readIndexer.mu, packer.mu and addressBook.mu are
// leaf locks; no other lock is taken while one of them is held. No lock is held during
// a call to a group or to another host.
package controller

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamrack/hornbeamrack/common/clock"
	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/locator"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/recorder"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

const (
	// peerTimeout bounds one call to another control host.
	peerTimeout = time.Second
	// peerBackoff bounds the pause between two dials of another control host, since
	// an election waits for hosts that restart.
	peerBackoff = 150 * time.Millisecond
	// transferTimeout bounds the wait for a leadership transfer at a planned stop.
	transferTimeout = time.Second
	commandTimeout  = 600 * time.Millisecond
	// configSnapshotBytes is the log size that triggers a snapshot of the
	// configuration group. It keeps the log that a restart reads short; the state is
	// small and changes seldom.
	configSnapshotBytes = 1 << 20
)

// Kind classifies an error of this package.
type Kind string

// The kinds of errors.
const (
	KindDisk      Kind = "disk"
	KindListen    Kind = "listen"
	KindNoLeader  Kind = "noLeader"  // KindNoLeader means that no leader was reached and nothing changed.
	KindUncertain Kind = "uncertain" // KindUncertain means that the command may or may not have been accepted.
	KindEncoding  Kind = "encoding"
	KindTooLarge  Kind = "tooLarge" // KindTooLarge means that a document cannot be sent to nodes.
	KindJoin      Kind = "join"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("controller: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Peer is the name and address of one control host in the settings.
type Peer struct {
	Name    string
	Address string
}

// Controller runs the control role of one host. Exported fields are set before
// Open.
type Controller struct {
	Name            string
	DataFolder      string // DataFolder is the directory of the identity and the logs of the groups.
	RPCAddress      string // RPCAddress is the address at which nodes and other control hosts connect.
	OperatorAddress string // OperatorAddress is the address of the operators' API, which is not served when empty.
	Peers           []Peer // Peers are the initial members of the groups, including this host.
	// Hosts, when set, provides the addresses of the other control hosts, and Peers
	// stays empty. The seeds are then the initial members of the groups, and other
	// hosts join without an operator.
	Hosts *locator.Locator
	// ElectionTimeout is replicator.DefaultElectionTimeout when zero.
	ElectionTimeout time.Duration
	// VoterCount is the number of voters of each group; members beyond it only
	// receive the log and serve nodes. 0 lets all members vote.
	VoterCount     int
	Seeds          []string // Seeds are the addresses of the initial members of the groups.
	AllowBootstrap bool     // AllowBootstrap allows this host to bootstrap the groups while the disks of all seeds are new.
	Teams          []Team
	Log            *log.Logger
	Wrap           func(net.Conn) net.Conn // Wrap, when set, wraps each connection, for example to count bytes.

	identityMu sync.Mutex // identityMu guards identity.InitialMembership until the host has joined.
	identity   Identity
	addresses  addressBook

	pool *messenger.Pool
	// groupPool carries only the messages of the groups: a call that times out closes
	// its connection, which must not interrupt heartbeats.
	groupPool    *messenger.Pool
	replicas     [2]*groupReplica
	state        *applier.Applier
	registry     *claimer.Registry
	readIndexers [2]*readIndexer
	nodes        nodeTable
	batcher      batcher
	packer       packer
	versions     versionTimes
	evidence     evidenceBuffer
	position     atomic.Pointer[cachedPosition]
	verdicts     loggedEvents // verdicts is how far the events on poison requests are logged.
	listener     net.Listener
	joined       atomic.Bool
	halted       atomic.Bool  // halted means that a group has stopped for good.
	dropLoggedAt atomic.Int64 // dropLoggedAt is when a dropped message was logged last, in Unix nanoseconds.
	tasks        conc.WaitGroup
	conns        connectionSet
}

// groupReplica is this host's replica of one group.
type groupReplica struct {
	group  *replicator.Group
	sender *sender
}

// The indexes of the groups in Controller.replicas.
const (
	configIndex = iota
	claimsIndex
)

// cachedPosition is the position of the state with a version, a revision and a number of
// changes of its poison requests.
type cachedPosition struct {
	version, revision, poisonChanges uint64
	position                         differ.Have
}

// Open reads the identity from the disk and starts to listen. It does not wait
// for other hosts. It returns an error of KindDisk or KindListen on failure.
func (c *Controller) Open() error {
	folder := recorder.Folder{Path: c.DataFolder}
	if err := folder.Create(); err != nil {
		return &Error{"open", KindDisk, err}
	}
	identity, err := loadIdentity(folder, c.Name)
	if err != nil {
		return err
	}
	c.identity = identity
	c.pool, c.groupPool = c.newPool(), c.newPool()
	c.state = &applier.Applier{}
	c.registry = &claimer.Registry{}
	c.listener, err = net.Listen("tcp", c.RPCAddress)
	if err != nil {
		return &Error{"open", KindListen, err}
	}
	c.replicas[configIndex] = c.newGroupReplica(messenger.GroupConfig, c.state)
	c.replicas[claimsIndex] = c.newGroupReplica(messenger.GroupClaims, c.registry)
	for i, name := range []string{messenger.GroupConfig, messenger.GroupClaims} {
		var confirmation readConfirmation
		c.readIndexers[i] = &readIndexer{
			round: func(ctx context.Context) error {
				startedAt := time.Now()
				err := c.awaitReadIndex(ctx, name)
				c.logRound(&confirmation, name, startedAt, err)
				return err
			},
			interval: func() time.Duration { return readIndexInterval(len(c.replicas[i].group.Status().Membership.Members)) },
		}
	}
	c.batcher.submit, c.batcher.interval = c.submitAnnouncements, c.batchInterval
	return nil
}

// newPool returns a pool of connections to other control hosts.
func (c *Controller) newPool() *messenger.Pool {
	return &messenger.Pool{Preface: messenger.PrefacePeer, MaxFrameBytes: messenger.MaxPeerFrameBytes, WrapConn: c.Wrap, MaxBackoff: peerBackoff}
}

// newGroupReplica returns a replica of a group that is not open yet.
func (c *Controller) newGroupReplica(name string, a replicator.Applier) *groupReplica {
	s := &sender{pool: c.groupPool, group: name, self: c.RPCAddress, addressOf: c.addressOf,
		onDrop: func(e replicator.Envelope, reason string) { c.logDrop(name, e, reason) }}
	snapshotBytes := replicator.DefaultSnapshotBytes
	if name == messenger.GroupConfig {
		snapshotBytes = configSnapshotBytes
	}
	return &groupReplica{sender: s, group: &replicator.Group{
		SnapshotBytes: snapshotBytes,
		OnEvent:       func(n replicator.Event) { c.logEvent(name, n) },
		Name:          name, ID: c.identity.ID, Applier: a, Sender: s, Seed: electionSeed(c.identity.ID), Now: clock.Now, ElectionTimeout: c.ElectionTimeout,
		Recorder: &recorder.Recorder{Disk: recorder.Folder{Path: filepath.Join(c.DataFolder, name)}},
	}}
}

// logEvent logs an event of a group.
func (c *Controller) logEvent(group string, n replicator.Event) {
	switch n := n.(type) {
	case replicator.RoleChange:
		c.Log.Info("role in the group changed", "group", group, "role", n.Role, "term", n.Term, "leader", c.addressOf(n.Leader), "cause", n.Cause, "silentMs", n.SinceContact.Milliseconds())
	case replicator.Compaction:
		c.Log.Info("log of the group compacted", "group", group, "index", n.Index, "bytes", n.Bytes)
	case replicator.Restoration:
		c.Log.Info("snapshot of the group received from its leader", "group", group, "index", n.Index, "bytes", n.Bytes)
	case replicator.DiskFailure:
		diskFailures.Inc()
		c.Log.Error("replica of the group paused, since its disk refuses writes; free disk space", "group", group, "err", n.Err)
	case replicator.DiskRecovery:
		c.Log.Info("replica of the group continues, since its disk works again", "group", group, "attempts", n.Attempts, "pausedMs", n.Outage.Milliseconds())
	}
}

// electionSeed derives the seed of the random election timeouts from an identity.
func electionSeed(id string) uint64 {
	var b [8]byte
	copy(b[:], id)
	return binary.BigEndian.Uint64(b[:])
}

// Run joins the groups and serves until ctx ends, then transfers leadership and
// stops. It returns an error when the host cannot join or open its groups.
func (c *Controller) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	c.tasks.Go(func() { c.serve(work) })
	defer c.stop(cancel)
	if err := c.join(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	for _, m := range c.replicas {
		if err := c.openReplica(ctx, m); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
	c.joined.Store(true)
	for _, m := range c.replicas {
		c.tasks.Go(func() { c.runGroup(work, m) })
		c.tasks.Go(func() { m.sender.run(work) })
	}
	c.tasks.Go(func() { c.batcher.loop(work) })
	c.tasks.Go(func() { c.monitorNodes(work) })
	c.tasks.Go(func() { c.watchVersions(work) })
	c.tasks.Go(func() { c.runMoves(work) })
	if c.Hosts != nil {
		c.tasks.Go(func() { c.maintainMembership(work) })
	}
	if c.OperatorAddress != "" {
		c.tasks.Go(func() { c.serveOperators(work) })
	}
	<-ctx.Done()
	c.transferLeadership()
	return nil
}

// runGroup runs a group until ctx ends. A state that cannot be encoded or restored stops
// this host's replica of the group but not the process, which may also run a node.
func (c *Controller) runGroup(ctx context.Context, m *groupReplica) {
	if err := m.group.Run(ctx); err != nil {
		c.halted.Store(true)
		c.Log.Error("replica of the group stopped; replace this control host", "group", m.group.Name, "err", err)
	}
}

// transferLeadership transfers leadership of all groups that this host leads, so
// that a planned stop causes no election. It waits for up to transferTimeout.
func (c *Controller) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	for _, m := range c.replicas {
		if m.group.TransferLeadership(ctx) != nil {
			continue
		}
		for ctx.Err() == nil && m.group.Status().Role == replicator.RoleLeader {
			time.Sleep(pollInterval)
		}
	}
}

// pollInterval is the pause between two checks for a condition without a signal.
const pollInterval = 10 * time.Millisecond

// stop closes all connections and waits for the goroutines of Run.
func (c *Controller) stop(cancel context.CancelFunc) {
	cancel()
	_ = c.listener.Close()
	c.conns.closeAll()
	c.pool.Close()
	c.groupPool.Close()
	c.tasks.Wait()
}

// Ready reports whether both groups have a leader that this host follows. A group whose
// disk refuses writes has none, nor has one that has stopped.
func (c *Controller) Ready() bool {
	if !c.joined.Load() || c.halted.Load() {
		return false
	}
	for _, m := range c.replicas {
		if m.group.Status().Leader == "" {
			return false
		}
	}
	return true
}

// groupByName returns the replica and index of a group; the last result is
// false for an unknown name.
func (c *Controller) groupByName(group string) (*groupReplica, int, bool) {
	switch group {
	case messenger.GroupConfig:
		return c.replicas[configIndex], configIndex, true
	case messenger.GroupClaims:
		return c.replicas[claimsIndex], claimsIndex, true
	}
	return nil, 0, false
}

// redirect returns a redirect to the leader of a group. Its address is empty when
// there is no leader, or this host itself leads.
func (c *Controller) redirect(m *groupReplica) messenger.Redirect {
	s := m.group.Status()
	if s.Leader == "" || s.Leader == c.identity.ID {
		return messenger.Redirect{NotLeader: true}
	}
	return messenger.Redirect{NotLeader: true, Leader: c.addressOf(s.Leader)}
}

// proposeHere proposes a command to this host's replica of a group. NotLeader in
// the reply means that nothing was proposed.
func (c *Controller) proposeHere(ctx context.Context, group string, command []byte) messenger.CommandReply {
	m, _, ok := c.groupByName(group)
	if !ok || !c.joined.Load() {
		return messenger.CommandReply{Redirect: messenger.Redirect{NotLeader: true}}
	}
	if group == messenger.GroupClaims {
		stamped, err := claimer.Stamp(command, time.Now())
		if err != nil {
			return messenger.CommandReply{Failure: err.Error()}
		}
		command = stamped
	}
	value, err := m.group.Propose(ctx, command)
	switch {
	case replicator.IsKind(err, replicator.KindNotLeader), replicator.IsKind(err, replicator.KindReplaced),
		replicator.IsKind(err, replicator.KindBusy), replicator.IsKind(err, replicator.KindStopped):
		return messenger.CommandReply{Redirect: c.redirect(m)}
	case err != nil:
		return messenger.CommandReply{Failure: err.Error()}
	}
	return replyWith(value)
}

// replyWith returns the reply to a command that was applied with the given result. An
// error, the result of a command that cannot be applied, is a failure.
func replyWith(value any) messenger.CommandReply {
	if err, ok := value.(error); ok {
		return messenger.CommandReply{Failure: err.Error()}
	}
	b, err := encoder.Marshal(value)
	if err != nil {
		return messenger.CommandReply{Failure: err.Error()}
	}
	return messenger.CommandReply{Result: b}
}

// propose proposes a command of the configuration group to its leader and returns
// the decoded result. It retries until ctx ends, then returns an error of
// KindUncertain if the command may have been accepted, and of KindNoLeader if not.
func (c *Controller) propose(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	b, err := applier.Encode(cmd)
	if err != nil {
		return applier.Result{}, &Error{"propose", KindEncoding, err}
	}
	uncertain := false
	for ctx.Err() == nil {
		reply, err := c.proposeHereOrAtLeader(ctx, b)
		if err != nil || reply.Failure != "" {
			uncertain = true
		}
		if err == nil && !reply.NotLeader && reply.Failure == "" {
			var r applier.Result
			if err := encoder.Unmarshal(reply.Result, &r); err != nil {
				return r, &Error{"propose", KindEncoding, err}
			}
			return r, nil
		}
		sleeper.Sleep(ctx, 3*pollInterval)
	}
	if uncertain {
		return applier.Result{}, &Error{"propose", KindUncertain, errors.New("no reply in time, the edit may or may not have been accepted; send the same edit again")}
	}
	return applier.Result{}, &Error{"propose", KindNoLeader, errors.New("no leader of the configuration group was found; nothing was changed")}
}

// proposeHereOrAtLeader proposes a command to this host's replica first, then to
// the leader that the replica follows.
func (c *Controller) proposeHereOrAtLeader(ctx context.Context, command []byte) (messenger.CommandReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	reply := c.proposeHere(ctx, messenger.GroupConfig, command)
	if !reply.NotLeader || reply.Leader == "" {
		return reply, nil
	}
	leader := reply.Leader
	reply = messenger.CommandReply{}
	err := c.pool.Get(leader).Call(ctx, messenger.MethodCommand, messenger.CommandArgs{Group: messenger.GroupConfig, Command: command}, &reply)
	return reply, err
}

// awaitReadIndex waits until this host's state of a group includes everything that
// was accepted before the call. It returns an error of KindNoLeader when no leader
// replies.
func (c *Controller) awaitReadIndex(ctx context.Context, group string) error {
	m, _, _ := c.groupByName(group)
	_, err := m.group.ReadIndex(ctx)
	if err == nil {
		return nil
	}
	r := c.redirect(m)
	if r.Leader == "" {
		return &Error{"confirm", KindNoLeader, errors.New("no leader of the group was found")}
	}
	var reply messenger.ConfirmReply
	if err := c.pool.Get(r.Leader).Call(ctx, messenger.MethodConfirm, messenger.ConfirmArgs{Group: group}, &reply); err != nil {
		return &Error{"confirm", KindNoLeader, err}
	}
	if reply.NotLeader {
		return &Error{"confirm", KindNoLeader, errors.Errorf("control host %s is not the leader", r.Leader)}
	}
	return m.group.WaitApplied(ctx, reply.Index)
}
