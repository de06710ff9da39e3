// Package replicator makes the control hosts of one group agree on a log of
// commands, and runs each command against the group's state on every host.
//
// It follows the Raft algorithm with these parts: pre-vote, a leader lease,
// leader step-down without a quorum, learners, voter changes one at a time,
// hand-over of the lead before a planned stop, group commit, and snapshots.
// Core holds the decisions as a pure state machine. Group runs a Core in one
// goroutine with a disk and a network: whatever a message promises is synced
// before the message leaves.
//
// # Usage
//
//	g := &replicator.Group{ID: id, Recorder: rec, Applier: state, Sender: net}
//	err := g.Open(initial)
//	go g.Run(ctx)
//	result, err := g.Propose(ctx, command)
//
// An error of KindUncertain from Propose means that the command may still be
// accepted; the caller sends it again under the same idempotency id.
package replicator

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/process/recorder"
)

const (
	// DefaultElectionTimeout is the least silence after which members look for a new leader.
	DefaultElectionTimeout = 500 * time.Millisecond
	// DefaultHeartbeatInterval is the time between two heartbeats of a leader.
	DefaultHeartbeatInterval = 60 * time.Millisecond
	// DefaultSnapshotBytes is the size of the log, in bytes, after which it is compacted.
	DefaultSnapshotBytes = 8 << 20

	tickInterval  = 10 * time.Millisecond
	inboxCapacity = 4096
	maxBatchItems = 256 // maxGroupSize bounds the events that one sync makes durable.
)

// Applier is the state that a group replicates. One goroutine calls it.
type Applier interface {
	// Apply runs one committed command and returns its result. It must depend
	// on nothing but the state and the command.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(index uint64, data []byte) error
}

// Sender delivers messages to other members. It must not block; a message
// that cannot be delivered is dropped.
type Sender interface {
	Send(to Member, e Envelope)
}

// Status describes one member's view of its group.
type Status struct {
	ID         string     `json:"id"`
	Role       Role       `json:"role"`
	Term       uint64     `json:"term"`
	Leader     string     `json:"leader"`
	Commit     uint64     `json:"commit"`
	Last       uint64     `json:"last"`
	Applied    uint64     `json:"applied"`
	Membership Membership `json:"membership"`
	Lagging    []Lag      `json:"lagging,omitempty"`

	contacts map[string]time.Time
}

// LastContact returns when a leader last heard from a member.
func (s Status) LastContact(id string) (time.Time, bool) {
	at, ok := s.contacts[id]
	return at, ok
}

// WithLastContact returns the status with the time at which a leader last heard from a
// member.
func (s Status) WithLastContact(id string, at time.Time) Status {
	heard := maps.Clone(s.contacts)
	if heard == nil {
		heard = map[string]time.Time{}
	}
	heard[id] = at
	s.contacts = heard
	return s
}

// Lags reports whether a leader knows a member to lack committed entries.
func (s Status) Lags(id string) bool {
	return slices.ContainsFunc(s.Lagging, func(l Lag) bool { return l.ID == id })
}

// Lag tells how far a member is behind its leader, in entries.
type Lag struct {
	ID      string `json:"id"`
	Entries uint64 `json:"entries"`
}

// Group runs one member of a group. Exported fields are set before Open.
type Group struct {
	Name              string
	ID                string
	Recorder          *recorder.Recorder
	Applier           Applier
	Sender            Sender
	ElectionTimeout   time.Duration    // ElectionTimeout is DefaultElectionTimeout when zero.
	HeartbeatInterval time.Duration    // HeartbeatInterval is DefaultHeartbeatInterval when zero.
	SnapshotBytes     int              // SnapshotBytes is DefaultSnapshotBytes when zero.
	Seed              uint64           // Seed spreads elections; it differs between members.
	Now               func() time.Time // Now is time.Now when nil.
	OnEvent           func(Event)      // Watch, when set, gets what happens in the group; it must not block.

	core     *Core
	inbox    chan inboxItem
	pending  map[uint64]pendingEntry
	logBytes int
	done     chan struct{}

	mu             sync.Mutex // mu guards the fields below; nothing else is locked while it is held.
	status         Status
	applied        uint64
	appliedChanged chan struct{} // changed is closed when applied grows.
	failure        error
}

// inboxItem is what Run works on; the implementations are below.
type inboxItem interface{ isInboxItem() }

type receivedMessage struct{ envelope Envelope }

type proposal struct {
	data   []byte
	result chan outcome
}

type membershipChange struct {
	compute func(Membership) (Membership, error)
	result  chan outcome
}

type readIndexRequest struct{ result chan outcome }

type leadershipTransfer struct{ result chan outcome }

func (receivedMessage) isInboxItem()    {}
func (proposal) isInboxItem()           {}
func (membershipChange) isInboxItem()   {}
func (readIndexRequest) isInboxItem()   {}
func (leadershipTransfer) isInboxItem() {}

type outcome struct {
	value any
	index uint64
	err   error
}

type pendingEntry struct {
	term   uint64
	result chan outcome
}

// Open reads the durable state. initial is the membership that the group began
// with.
func (g *Group) Open(initial Membership) error {
	g.setDefaults()
	state, err := g.Recorder.Open()
	if err != nil {
		return err
	}
	if state.Snapshot.Index > 0 {
		if err := g.Applier.Restore(state.Snapshot.Index, state.Snapshot.Data); err != nil {
			return &Error{"open", KindDamaged, err}
		}
	}
	g.core = &Core{
		ID: g.ID, ElectionTimeout: g.ElectionTimeout, HeartbeatInterval: g.HeartbeatInterval,
		Rand: rand.New(rand.NewPCG(g.Seed, uint64(len(g.Name)))), Incarnation: rand.Uint64(),
	}
	if err := g.core.Start(g.Now(), state, initial); err != nil {
		return err
	}
	for _, e := range state.Entries {
		g.logBytes += len(e.Data)
	}
	g.applied = state.Snapshot.Index
	g.publishStatus()
	return nil
}

func (g *Group) setDefaults() {
	if g.ElectionTimeout == 0 {
		g.ElectionTimeout = DefaultElectionTimeout
	}
	if g.HeartbeatInterval == 0 {
		g.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if g.SnapshotBytes == 0 {
		g.SnapshotBytes = DefaultSnapshotBytes
	}
	if g.Now == nil {
		g.Now = time.Now
	}
	g.inbox = make(chan inboxItem, inboxCapacity)
	g.pending = map[uint64]pendingEntry{}
	g.done = make(chan struct{})
	g.appliedChanged = make(chan struct{})
}

// Run works until ctx ends or the disk fails. It returns the disk's error.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.Recorder.Close()
		case <-ticker.C:
			g.drainInbox() // What waits already is not silence.
			g.core.Tick(g.Now())
		case e := <-g.inbox:
			g.handleItem(e)
			g.drainInbox()
		}
		if err := g.flushEffects(); err != nil {
			g.mu.Lock()
			g.failure = err
			g.mu.Unlock()
			return err
		}
	}
}

// drainInbox takes further events that are waiting already, so that one sync
// serves them all.
func (g *Group) drainInbox() {
	for range maxBatchItems {
		select {
		case e := <-g.inbox:
			g.handleItem(e)
		default:
			return
		}
	}
}

func (g *Group) handleItem(e inboxItem) {
	switch e := e.(type) {
	case receivedMessage:
		g.core.Step(g.Now(), e.envelope)
	case proposal:
		index, err := g.core.Propose(recorder.EntryCommand, e.data)
		g.addPending(index, err, e.result)
	case membershipChange:
		to, err := e.compute(g.core.Membership())
		if err != nil {
			e.result <- outcome{err: &Error{"changeMembership", KindRefused, err}}
			return
		}
		index, err := g.core.ProposeMembership(to)
		g.addPending(index, err, e.result)
	case readIndexRequest:
		index, ok := g.core.ReadIndex(g.Now())
		if !ok {
			e.result <- outcome{err: &Error{"confirm", KindNotLeader, errors.Errorf("leader is %q", g.core.leader)}}
			return
		}
		e.result <- outcome{index: index}
	case leadershipTransfer:
		if !g.core.TransferLeadership() {
			e.result <- outcome{err: &Error{"handOver", KindNotLeader, errors.New("nothing to hand over")}}
			return
		}
		e.result <- outcome{}
	}
}

func (g *Group) addPending(index uint64, err error, result chan outcome) {
	if err != nil {
		result <- outcome{err: err}
		return
	}
	g.pending[index] = pendingEntry{term: g.core.TermAt(index), result: result}
}

// flushEffects does what the core wants: sync first, then send, then apply.
func (g *Group) flushEffects() error {
	for {
		e := g.core.TakeEffects()
		if err := g.saveEffects(e); err != nil {
			return err
		}
		g.core.MarkSaved()
		for _, t := range e.RoleChanges {
			g.emitEvent(t)
		}
		g.sendMessages(e.Messages)
		for _, entry := range e.CommittedEntries {
			g.applyEntry(entry)
		}
		if !e.needsSave() && len(e.CommittedEntries) == 0 && len(e.Messages) == 0 {
			break
		}
	}
	g.publishStatus()
	return g.compact()
}

func (g *Group) emitEvent(n Event) {
	if g.OnEvent != nil {
		g.OnEvent(n)
	}
}

func (g *Group) saveEffects(e Effects) error {
	if !e.needsSave() {
		return nil
	}
	for _, entry := range e.Batch.Entries {
		g.logBytes += len(entry.Data)
	}
	if e.Snapshot == nil {
		return g.Recorder.Save(e.Batch)
	}
	if e.Batch.HardState != nil {
		if err := g.Recorder.Save(recorder.Batch{HardState: e.Batch.HardState}); err != nil {
			return err
		}
	}
	if err := g.Recorder.Compact(*e.Snapshot, e.EntriesAfterSnapshot); err != nil {
		return err
	}
	g.logBytes = 0
	if err := g.Applier.Restore(e.Snapshot.Index, e.Snapshot.Data); err != nil {
		return &Error{"restore", KindDamaged, err}
	}
	g.emitEvent(Restoration{Index: e.Snapshot.Index, Bytes: len(e.Snapshot.Data)})
	g.setApplied(e.Snapshot.Index)
	g.failPendingUpTo(e.Snapshot.Index)
	return nil
}

func (g *Group) sendMessages(messages []Envelope) {
	for _, m := range messages {
		to, ok := g.core.Membership().Find(m.To)
		if !ok {
			// A candidate may be voted for by a member that does not know it yet.
			to = Member{ID: m.To}
		}
		g.Sender.Send(to, m)
	}
}

func (g *Group) applyEntry(entry recorder.Entry) {
	var value any
	if entry.Kind == recorder.EntryCommand {
		value = g.Applier.Apply(entry.Index, entry.Data)
	}
	g.setApplied(entry.Index)
	w, ok := g.pending[entry.Index]
	if !ok {
		return
	}
	delete(g.pending, entry.Index)
	if w.term != entry.Term {
		w.result <- outcome{err: &Error{"propose", KindReplaced, errors.New("another leader's entry took its place")}}
		return
	}
	w.result <- outcome{value: value, index: entry.Index}
}

// failPendingUpTo answers the proposals that a snapshot covers: whether they are
// part of it is not known here.
func (g *Group) failPendingUpTo(index uint64) {
	for i, w := range g.pending {
		if i <= index {
			w.result <- outcome{err: &Error{"propose", KindUncertain, errors.New("a snapshot took its place")}}
			delete(g.pending, i)
		}
	}
}

func (g *Group) setApplied(index uint64) {
	g.mu.Lock()
	g.applied = index
	close(g.appliedChanged)
	g.appliedChanged = make(chan struct{})
	g.mu.Unlock()
}

// compact writes a snapshot when the log has grown past its bound.
func (g *Group) compact() error {
	if g.logBytes < g.SnapshotBytes {
		return nil
	}
	data, err := g.Applier.Snapshot()
	if err != nil {
		return &Error{"snapshot", KindDamaged, err}
	}
	s := recorder.Snapshot{
		Index: g.applied, Term: g.core.TermAt(g.applied),
		Membership: g.core.MembershipAt(g.applied), Data: data,
	}
	rest := g.core.Compact(s)
	g.logBytes = 0
	g.emitEvent(Compaction{Index: s.Index, Bytes: len(data)})
	return g.Recorder.Compact(s, rest)
}

func (g *Group) publishStatus() {
	c := g.core
	s := Status{
		ID: c.ID, Role: c.role, Term: c.hardState.Term, Leader: c.leader,
		Commit: c.commit, Last: c.lastIndex(), Applied: g.applied, Membership: c.Membership(),
	}
	for id, p := range c.peers {
		if p.matchIndex < c.commit {
			s.Lagging = append(s.Lagging, Lag{ID: id, Entries: c.commit - p.matchIndex})
		}
	}
	if c.role == RoleLeader {
		s.contacts = c.lastContacts()
	}
	g.mu.Lock()
	g.status = s
	g.mu.Unlock()
}
