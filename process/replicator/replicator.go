// Package replicator replicates a log of commands among the control hosts of one
// group, and applies each command to the group's state on every host.
//
// It implements the Raft algorithm with these parts: pre-vote, a leader lease,
// leader step-down without a quorum, learners, voter changes one at a time,
// leadership transfer before a planned stop, group commit, and snapshots.
// Core is the state machine of the algorithm, without I/O. Group runs a Core in
// one goroutine with a disk and a network: everything that a message
// acknowledges is synced before the message is sent. While the disk refuses writes
// the member pauses: it neither sends nor accepts anything, like a member that has no
// power, and goes on once the write that failed has succeeded.
//
// # Usage
//
//	g := &replicator.Group{ID: id, Recorder: rec, Applier: state, Sender: net}
//	err := g.Open(initial)
//	go g.Run(ctx)
//	result, err := g.Propose(ctx, command)
//
// An error of KindUncertain from Propose means that the command may still be
// committed; the caller retries it with the same idempotency id.
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
	// DefaultElectionTimeout is the least time without contact to a leader after
	// which members start an election.
	DefaultElectionTimeout = 500 * time.Millisecond
	// DefaultHeartbeatInterval is the time between two heartbeats of a leader.
	DefaultHeartbeatInterval = 60 * time.Millisecond
	// DefaultSnapshotBytes is the size of the log entries, in bytes, at which the log
	// is compacted.
	DefaultSnapshotBytes = 8 << 20

	tickInterval  = 10 * time.Millisecond // tickInterval is the period of the ticker of Run.
	inboxCapacity = 4096                  // inboxCapacity is in items; messages that do not fit are dropped.
	maxBatchItems = 256                   // maxBatchItems bounds the inbox items that are handled before one sync.
)

// Applier is the state that a group replicates. A group calls it from one
// goroutine only.
type Applier interface {
	// Apply runs one committed command and returns its result. It must be
	// deterministic: depend on nothing but the state, the index and the command.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state, encoded.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state by data, which Snapshot returned after the
	// entry at index.
	Restore(index uint64, data []byte) error
}

// Sender sends messages to other members. It must not block; a message that
// cannot be sent is dropped.
type Sender interface {
	// Send sends e to a member. The member has only an ID when it is not in the
	// membership yet.
	Send(to Member, e Envelope)
}

// Status is the state of one member and its view of the group.
type Status struct {
	ID         string     `json:"id"` // ID is the identity of this member.
	Role       Role       `json:"role"`
	Term       uint64     `json:"term"`
	Leader     string     `json:"leader"`            // Leader is the identity of the leader; empty while none is known.
	Commit     uint64     `json:"commit"`            // Commit is the last committed index.
	Last       uint64     `json:"last"`              // Last is the last index of the log.
	Applied    uint64     `json:"applied"`           // Applied is the last index that was applied to the state.
	Membership Membership `json:"membership"`        // Membership is the newest one in the log, committed or not.
	Lagging    []Lag      `json:"lagging,omitempty"` // Lagging are the members that lack committed entries; set on a leader only.

	contacts map[string]time.Time // contacts holds, on a leader, when each other member was last in contact.
}

// LastContact returns the last contact of a leader with a member: the send time of
// the newest request that the member replied to, or the time at which the leader
// began to send to it if that is later. It returns false on other members and for
// an unknown identity.
func (s Status) LastContact(id string) (time.Time, bool) {
	at, ok := s.contacts[id]
	return at, ok
}

// WithLastContact returns a copy of the status in which the last contact with a
// member is at the given time.
func (s Status) WithLastContact(id string, at time.Time) Status {
	contacts := maps.Clone(s.contacts)
	if contacts == nil {
		contacts = map[string]time.Time{}
	}
	contacts[id] = at
	s.contacts = contacts
	return s
}

// Lags reports whether a member lacks committed entries; always false unless the
// status is a leader's.
func (s Status) Lags(id string) bool {
	return slices.ContainsFunc(s.Lagging, func(l Lag) bool { return l.ID == id })
}

// Lag is the number of committed entries that a member has not acknowledged yet.
type Lag struct {
	ID      string `json:"id"`
	Entries uint64 `json:"entries"`
}

// Group runs one member of a group. Exported fields are set before Open.
type Group struct {
	Name              string             // Name is the name of the group.
	ID                string             // ID is the identity of this member.
	Recorder          *recorder.Recorder // Recorder stores the term, the vote, the log and the snapshot.
	Applier           Applier
	Sender            Sender
	ElectionTimeout   time.Duration    // ElectionTimeout is DefaultElectionTimeout when zero.
	HeartbeatInterval time.Duration    // HeartbeatInterval is DefaultHeartbeatInterval when zero.
	SnapshotBytes     int              // SnapshotBytes is the log size that triggers compaction; DefaultSnapshotBytes when zero.
	Seed              uint64           // Seed seeds the random election timeouts; it differs between members.
	Now               func() time.Time // Now is time.Now when nil.
	OnEvent           func(Event)      // OnEvent, when set, receives the events of the group, for logs; it must not block.

	core     *Core
	inbox    chan inboxItem
	pending  map[uint64]pendingEntry // pending holds the proposals of this member that are not applied yet, by index.
	logBytes int                     // logBytes is the data in the log since the last compaction.
	done     chan struct{}           // done is closed when Run returns.
	unsaved  *Effects                // unsaved are the effects whose write has failed, nil when there are none.
	unstored *compaction             // unstored is the compaction whose write has failed, nil when there is none.
	outage   *diskOutage             // outage is set while the disk refuses writes.

	mu             sync.Mutex // mu guards the fields below; no other lock is taken while it is held.
	status         Status
	applied        uint64        // applied is the last index that was applied to the state.
	appliedChanged chan struct{} // appliedChanged is closed and replaced when applied changes.
	failure        error         // failure is the error that ended Run.
}

// inboxItem is an input of Run; the implementations follow. isInboxItem only marks
// the types that are inbox items, and does nothing.
type inboxItem interface{ isInboxItem() }

// receivedMessage is a message from another member.
type receivedMessage struct{ envelope Envelope }

// proposal appends a command to the log.
type proposal struct {
	data   []byte
	result chan outcome
}

// membershipChange proposes the membership that compute returns for the newest one.
type membershipChange struct {
	compute func(Membership) (Membership, error)
	result  chan outcome
}

// readIndexRequest requests the index of Core.ReadIndex.
type readIndexRequest struct{ result chan outcome }

// leadershipTransfer starts a leadership transfer.
type leadershipTransfer struct{ result chan outcome }

// isInboxItem marks an inbox item.
func (receivedMessage) isInboxItem() {}

// isInboxItem marks an inbox item.
func (proposal) isInboxItem() {}

// isInboxItem marks an inbox item.
func (membershipChange) isInboxItem() {}

// isInboxItem marks an inbox item.
func (readIndexRequest) isInboxItem() {}

// isInboxItem marks an inbox item.
func (leadershipTransfer) isInboxItem() {}

// outcome is the result of an inbox item.
type outcome struct {
	value any
	index uint64
	err   error
}

// compaction is a snapshot with the log entries that follow it.
type compaction struct {
	snapshot recorder.Snapshot
	rest     []recorder.Entry
}

// pendingEntry is a proposed entry whose proposer waits for the outcome. If an
// entry of another term is applied at its index, the proposal was replaced.
type pendingEntry struct {
	term   uint64
	result chan outcome
}

// Open reads the durable state and restores the Applier from the snapshot. initial
// is the membership that the group was created with. It returns the error of the
// Recorder, or KindCorrupt when the snapshot cannot be restored.
func (g *Group) Open(initial Membership) error {
	g.setDefaults()
	state, err := g.Recorder.Open()
	if err != nil {
		return err
	}
	if state.Snapshot.Index > 0 {
		if err := g.Applier.Restore(state.Snapshot.Index, state.Snapshot.Data); err != nil {
			return &Error{"open", KindCorrupt, err}
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

// setDefaults sets each zero option to its default and creates the inbox and the
// other internal fields.
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

// Run processes messages, requests and ticks until ctx ends, and then closes the
// Recorder. It pauses while the disk refuses writes, and returns early with an error
// only when the state cannot be encoded or restored.
func (g *Group) Run(ctx context.Context) error {
	defer close(g.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return g.Recorder.Close()
		case <-ticker.C:
			g.drainInbox() // Messages that have already arrived count as contact before the tick checks timeouts.
			g.tick()
		case e := <-g.inbox:
			g.handleItem(e)
			g.drainInbox()
		}
		if err := g.flush(); err != nil {
			g.mu.Lock()
			g.failure = err
			g.mu.Unlock()
			return err
		}
	}
}

// drainInbox handles items that are already queued, up to maxBatchItems, so that
// one sync makes them all durable.
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
	if g.outage != nil {
		rejectItem(e)
		return
	}
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
			e.result <- outcome{err: &Error{"confirm", KindNotLeader, errors.Errorf("this member holds no valid lease; leader: %q", g.core.leader)}}
			return
		}
		e.result <- outcome{index: index}
	case leadershipTransfer:
		if !g.core.TransferLeadership() {
			e.result <- outcome{err: &Error{"handOver", KindNotLeader, errors.New("this member does not lead, is already transferring leadership, or has no other voter")}}
			return
		}
		e.result <- outcome{}
	}
}

// addPending sends the outcome to result once the entry at index is applied, or err
// at once if it is set.
func (g *Group) addPending(index uint64, err error, result chan outcome) {
	if err != nil {
		result <- outcome{err: err}
		return
	}
	g.pending[index] = pendingEntry{term: g.core.TermAt(index), result: result}
}

// flushEffects carries out the effects of the core until there are none left: it
// syncs first, then sends, then applies. Then it compacts the log if it is due. After
// an error the next call goes on with the write that failed.
func (g *Group) flushEffects() error {
	if g.unstored != nil {
		return g.storeCompaction()
	}
	for {
		if g.unsaved == nil {
			taken := g.core.TakeEffects()
			g.unsaved = &taken
		}
		e := *g.unsaved
		if err := g.saveEffects(e); err != nil {
			return err
		}
		g.unsaved = nil
		g.core.MarkSaved()
		for _, change := range e.RoleChanges {
			g.emitEvent(change)
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

// emitEvent passes an event to OnEvent, and does nothing when OnEvent is nil.
func (g *Group) emitEvent(e Event) {
	if g.OnEvent != nil {
		g.OnEvent(e)
	}
}

// saveEffects makes the effects durable. With a snapshot it also restores the
// state, and fails the proposals that the snapshot covers.
func (g *Group) saveEffects(e Effects) error {
	if !e.needsSave() {
		return nil
	}
	if e.Snapshot == nil {
		return g.saveBatch(e.Batch)
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
		return &Error{"restore", KindCorrupt, err}
	}
	g.emitEvent(Restoration{Index: e.Snapshot.Index, Bytes: len(e.Snapshot.Data)})
	g.setApplied(e.Snapshot.Index)
	g.failPendingUpTo(e.Snapshot.Index)
	return nil
}

// saveBatch appends a batch to the log.
func (g *Group) saveBatch(b recorder.Batch) error {
	if err := g.Recorder.Save(b); err != nil {
		return err
	}
	for _, entry := range b.Entries {
		g.logBytes += len(entry.Data)
	}
	return nil
}

// sendMessages passes messages to the Sender. A recipient that the membership does
// not list has only its ID.
func (g *Group) sendMessages(messages []Envelope) {
	for _, m := range messages {
		to, ok := g.core.Membership().Find(m.To)
		if !ok {
			// This member may reply to a candidate that its own membership does not list yet.
			to = Member{ID: m.To}
		}
		g.Sender.Send(to, m)
	}
}

// applyEntry applies a committed entry and completes the proposal at its index.
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
		w.result <- outcome{err: &Error{"propose", KindReplaced, errors.New("another leader's entry replaced the proposal")}}
		return
	}
	w.result <- outcome{value: value, index: entry.Index}
}

// failPendingUpTo fails the proposals up to index, which a snapshot covers, with
// KindUncertain: the snapshot does not show whether it contains them.
func (g *Group) failPendingUpTo(index uint64) {
	for i, w := range g.pending {
		if i <= index {
			w.result <- outcome{err: &Error{"propose", KindUncertain, errors.New("a snapshot from the leader covers the index of the proposal")}}
			delete(g.pending, i)
		}
	}
}

// setApplied stores the last applied index and closes and replaces appliedChanged.
func (g *Group) setApplied(index uint64) {
	g.mu.Lock()
	g.applied = index
	close(g.appliedChanged)
	g.appliedChanged = make(chan struct{})
	g.mu.Unlock()
}

// compact replaces the applied part of the log by a snapshot once the log has
// reached SnapshotBytes.
func (g *Group) compact() error {
	if g.logBytes < g.SnapshotBytes {
		return nil
	}
	data, err := g.Applier.Snapshot()
	if err != nil {
		return &Error{"snapshot", KindCorrupt, err}
	}
	s := recorder.Snapshot{
		Index: g.applied, Term: g.core.TermAt(g.applied),
		Membership: g.core.MembershipAt(g.applied), Data: data,
	}
	g.unstored = &compaction{snapshot: s, rest: g.core.Compact(s)}
	return g.storeCompaction()
}

// storeCompaction makes the present compaction durable.
func (g *Group) storeCompaction() error {
	s := g.unstored.snapshot
	if err := g.Recorder.Compact(s, g.unstored.rest); err != nil {
		return err
	}
	g.unstored = nil
	g.logBytes = 0
	g.emitEvent(Compaction{Index: s.Index, Bytes: len(s.Data)})
	return nil
}

// publishStatus stores the status that Status returns.
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
