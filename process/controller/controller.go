// Package controller runs the control role: it agrees with the other control
// hosts on the configuration and the claims, and serves nodes and operators.
//
// Two groups are replicated over the same hosts, each with its own log, leader
// and lease: the configuration with the endpoints, and the claims on
// idempotency keys. A busy configuration cannot hold up a deposit, and a claim
// cannot hold up an edit.
//
// # Usage
//
//	c := &controller.Controller{Name: "control-1", RPCAddress: "10.0.0.1:7000", ...}
//	err := c.Open()
//	err = c.Run(ctx)
//
// Lock order: sightings.mu, then nothing; batcher.mu, confirmer.mu and packer.mu too. No lock is
// held while a group or another host is asked.
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
	peerTimeout = time.Second
	// peerBackoff bounds the pause between two dials of another control host: an
	// election waits for hosts that come back.
	peerBackoff     = 150 * time.Millisecond
	handOverTimeout = time.Second
	commandTimeout  = 600 * time.Millisecond
	// configSnapshotBytes keeps the log short that a restart has to read: the
	// state is small and changes seldom.
	configSnapshotBytes = 1 << 20
)

// Kind tells what went wrong.
type Kind string

// The kinds of controller errors.
const (
	KindDisk      Kind = "disk"
	KindListen    Kind = "listen"
	KindNoLeader  Kind = "noLeader"
	KindUncertain Kind = "uncertain"
	KindEncoding  Kind = "encoding"
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Peer is one control host as the settings name it.
type Peer struct {
	Name    string
	Address string
}

// Controller is one control host. Exported fields are set before Open.
type Controller struct {
	Name            string
	DataFolder      string
	RPCAddress      string
	OperatorAddress string // Operators is the address of the operators' API; empty serves none.
	Peers           []Peer // Peers are the control hosts that the groups begin with, this one included.
	// Hosts, when set, finds the other control hosts, and Peers stays empty. The
	// groups then begin with the seeds, and other hosts join by themselves.
	Hosts *locator.Locator
	// ElectionTimeout is replicator.DefaultElectionTimeout when zero.
	ElectionTimeout time.Duration
	// VoterCount is how many members of a group count for a quorum while there are
	// more of them; the others receive the log and serve nodes. 0 lets all vote.
	VoterCount     int
	Seeds          []string // Seeds are the addresses of the hosts that the groups begin with.
	AllowBootstrap bool     // Found allows this host to begin the groups, with every disk new.
	Teams          []Team
	Log            *log.Logger
	Wrap           func(net.Conn) net.Conn // Wrap, when set, sees each connection, for counting.

	identityMu sync.Mutex // identityMu guards identity.Initial until the host has joined.
	identity   Identity

	pool *messenger.Pool
	// peers carries the messages of the groups alone: a call that runs out of time
	// ends its connection, and heartbeats must not go with it.
	peers    *messenger.Pool
	members  [2]*member
	state    *applier.Applier
	register *claimer.Registry
	confirm  [2]*confirmer
	sight    sightings
	batch    batcher
	packer   packer
	evidence evidenceBox
	target   atomic.Pointer[targetHave]
	listener net.Listener
	ready    atomic.Bool
	halted   atomic.Bool
	tasks    conc.WaitGroup
	conns    connections
}

// member is this host's part in one group.
type member struct {
	group  *replicator.Group
	sender *sender
}

// The places of the groups in members.
const (
	configPlace = iota
	claimsPlace
)

// targetHave caches the digests of a state.
type targetHave struct {
	version, revision uint64
	have              differ.Position
}

// Open reads the disk and starts to listen. It does not wait for other hosts.
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
	c.pool, c.peers = c.newPool(), c.newPool()
	c.state = &applier.Applier{}
	c.register = &claimer.Registry{}
	c.listener, err = net.Listen("tcp", c.RPCAddress)
	if err != nil {
		return &Error{"open", KindListen, err}
	}
	c.members[configPlace] = c.newMember(messenger.GroupConfig, c.state)
	c.members[claimsPlace] = c.newMember(messenger.GroupClaims, c.register)
	for i, name := range []string{messenger.GroupConfig, messenger.GroupClaims} {
		c.confirm[i] = &confirmer{
			run: func(ctx context.Context) error { return c.confirmNow(ctx, name) },
			gap: func() time.Duration { return confirmGapOf(len(c.members[i].group.Status().Membership.Members)) },
		}
	}
	c.batch.run, c.batch.gap = c.sendAnnouncements, c.announceGap
	return nil
}

func (c *Controller) newPool() *messenger.Pool {
	return &messenger.Pool{Preface: messenger.PrefacePeer, MaxFrameBytes: messenger.MaxPeerFrameBytes, WrapConn: c.Wrap, MaxBackoff: peerBackoff}
}

func (c *Controller) newMember(name string, a replicator.Applier) *member {
	s := &sender{pool: c.peers, group: name, known: c.addressOf}
	snapshotBytes := replicator.DefaultSnapshotBytes
	if name == messenger.GroupConfig {
		snapshotBytes = configSnapshotBytes
	}
	return &member{sender: s, group: &replicator.Group{
		SnapshotBytes: snapshotBytes,
		OnEvent:       func(n replicator.Event) { c.logNotice(name, n) },
		Name:          name, ID: c.identity.ID, Applier: a, Sender: s, Seed: seedOf(c.identity.ID), Now: clock.Now, ElectionTimeout: c.ElectionTimeout,
		Recorder: &recorder.Recorder{Disk: recorder.Folder{Path: filepath.Join(c.DataFolder, name)}},
	}}
}

func (c *Controller) logNotice(group string, n replicator.Event) {
	switch n := n.(type) {
	case replicator.RoleChange:
		c.Log.Info("role changed", "group", group, "role", n.Role, "term", n.Term, "leader", c.addressOf(n.Leader), "cause", n.Cause, "silentMs", n.SinceContact.Milliseconds())
	case replicator.Compaction:
		c.Log.Info("log compacted", "group", group, "index", n.Index, "bytes", n.Bytes)
	case replicator.Restoration:
		c.Log.Info("state received", "group", group, "index", n.Index, "bytes", n.Bytes)
	}
}

func seedOf(id string) uint64 {
	var b [8]byte
	copy(b[:], id)
	return binary.BigEndian.Uint64(b[:])
}

// Run serves until ctx ends, hands over the lead, and stops.
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
	for _, m := range c.members {
		if err := m.open(c.identity.InitialMembership); err != nil {
			return err
		}
	}
	c.ready.Store(true)
	for _, m := range c.members {
		c.tasks.Go(func() { c.runGroup(work, m) })
		c.tasks.Go(func() { m.sender.run(work) })
	}
	c.tasks.Go(func() { c.batch.loop(work) })
	c.tasks.Go(func() { c.watchNodes(work) })
	c.tasks.Go(func() { c.decide(work) })
	if c.Hosts != nil {
		c.tasks.Go(func() { c.keepMembership(work) })
	}
	if c.OperatorAddress != "" {
		c.tasks.Go(func() { c.serveOperators(work) })
	}
	<-ctx.Done()
	c.handOver()
	return nil
}

func (m *member) open(initial replicator.Membership) error {
	folder, ok := m.group.Recorder.Disk.(recorder.Folder)
	if ok {
		if err := folder.Create(); err != nil {
			return &Error{"open", KindDisk, err}
		}
	}
	return m.group.Open(initial)
}

// runGroup runs a group until the end. A failed disk ends the group's part in
// the agreement, but not the process, which may carry a node as well.
func (c *Controller) runGroup(ctx context.Context, m *member) {
	if err := m.group.Run(ctx); err != nil {
		c.halted.Store(true)
		c.Log.Error("group stopped; free the disk or replace this control host", "group", m.group.Name, "err", err)
	}
}

// handOver gives away the lead, so that a planned stop costs no election.
func (c *Controller) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	for _, m := range c.members {
		if m.group.TransferLeadership(ctx) != nil {
			continue
		}
		for ctx.Err() == nil && m.group.Status().Role == replicator.RoleLeader {
			time.Sleep(tick)
		}
	}
}

const tick = 10 * time.Millisecond

func (c *Controller) stop(cancel context.CancelFunc) {
	cancel()
	_ = c.listener.Close()
	c.conns.closeAll()
	c.pool.Close()
	c.peers.Close()
	c.tasks.Wait()
}

// Ready reports whether this host knows a leader of both groups and its disk
// works.
func (c *Controller) Ready() bool {
	if !c.ready.Load() || c.halted.Load() {
		return false
	}
	for _, m := range c.members {
		if m.group.Status().Leader == "" {
			return false
		}
	}
	return true
}

func (c *Controller) place(group string) (*member, int, bool) {
	switch group {
	case messenger.GroupConfig:
		return c.members[configPlace], configPlace, true
	case messenger.GroupClaims:
		return c.members[claimsPlace], claimsPlace, true
	}
	return nil, 0, false
}

// addressOf finds a member's address in any membership that this host knows.
func (c *Controller) addressOf(id string) string {
	for _, m := range c.members {
		if !c.ready.Load() {
			break
		}
		if mem, ok := m.group.Status().Membership.Find(id); ok {
			return mem.Address
		}
	}
	mem, _ := c.initial().Find(id)
	return mem.Address
}

// redirect returns where the leader of a group is.
func (c *Controller) redirect(m *member) messenger.Redirect {
	s := m.group.Status()
	if s.Leader == "" || s.Leader == c.identity.ID {
		return messenger.Redirect{NotLeader: true}
	}
	return messenger.Redirect{NotLeader: true, Leader: c.addressOf(s.Leader)}
}

// command proposes a command here; NotLeader in the reply means that nothing
// was proposed.
func (c *Controller) command(ctx context.Context, group string, command []byte) messenger.CommandReply {
	m, _, ok := c.place(group)
	if !ok || !c.ready.Load() {
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
	b, err := encoder.Marshal(value)
	if err != nil {
		return messenger.CommandReply{Failure: err.Error()}
	}
	return messenger.CommandReply{Result: b}
}

// propose runs a command of the configuration on whichever host leads, and
// decodes the result.
func (c *Controller) propose(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	b, err := applier.Encode(cmd)
	if err != nil {
		return applier.Result{}, &Error{"propose", KindEncoding, err}
	}
	uncertain := false
	for ctx.Err() == nil {
		reply, err := c.commandAnywhere(ctx, b)
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
		sleeper.Sleep(ctx, 3*tick)
	}
	if uncertain {
		return applier.Result{}, &Error{"propose", KindUncertain, errors.New("no answer in time; send the same edit again")}
	}
	return applier.Result{}, &Error{"propose", KindNoLeader, errors.New("no control host leads; nothing was changed")}
}

// commandAnywhere asks this host first, then the leader that it knows.
func (c *Controller) commandAnywhere(ctx context.Context, command []byte) (messenger.CommandReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	reply := c.command(ctx, messenger.GroupConfig, command)
	if !reply.NotLeader || reply.Leader == "" {
		return reply, nil
	}
	leader := reply.Leader
	reply = messenger.CommandReply{}
	err := c.pool.Get(leader).Call(ctx, messenger.MethodCommand, messenger.CommandArgs{Group: messenger.GroupConfig, Command: command}, &reply)
	return reply, err
}

// confirmNow makes sure that this host's state of a group holds everything
// that was accepted before the call.
func (c *Controller) confirmNow(ctx context.Context, group string) error {
	m, _, _ := c.place(group)
	_, err := m.group.ReadIndex(ctx)
	if err == nil {
		return nil
	}
	r := c.redirect(m)
	if r.Leader == "" {
		return &Error{"confirm", KindNoLeader, errors.New("no leader is known")}
	}
	var reply messenger.ConfirmReply
	if err := c.pool.Get(r.Leader).Call(ctx, messenger.MethodConfirm, messenger.ConfirmArgs{Group: group}, &reply); err != nil {
		return &Error{"confirm", KindNoLeader, err}
	}
	if reply.NotLeader {
		return &Error{"confirm", KindNoLeader, errors.Errorf("%s does not lead", r.Leader)}
	}
	return m.group.WaitApplied(ctx, reply.Index)
}
