package replicator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/process/recorder"
)

const (
	maxAppendEntries      = 512
	maxAppendBytes        = 512 << 10
	snapshotRetryInterval = 2 * time.Second
)

// Role is what a member currently does in its group.
type Role string

// The roles of a member.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "preCandidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Effects is what a Core wants done, in this order: save, send, apply.
type Effects struct {
	Snapshot             *recorder.Snapshot // Snapshot replaces the whole state first.
	EntriesAfterSnapshot []recorder.Entry   // Rest follows Snapshot; Batch then holds no entries.
	Batch                recorder.Batch
	Messages             []Envelope
	CommittedEntries     []recorder.Entry
	RoleChanges          []RoleChange // Turns are to be logged; nothing depends on them.
}

func (e Effects) needsSave() bool {
	return e.Snapshot != nil || e.Batch.HardState != nil || len(e.Batch.Entries) > 0
}

// progress is what a leader knows of one other member.
type progress struct {
	nextIndex, matchIndex uint64
	sentCommit            uint64    // told is the commit that the member was sent last.
	trackedSince          time.Time // knownSince is when this leader began to send to the member.
	heartbeatAt           time.Time // beatAt is when the member gets its next heartbeat.
	ackedAt               time.Time // ackedAt is when the newest request that was answered left the leader.
	snapshotRetryAt       time.Time // snapshotAt is the deadline before which no further snapshot is sent.
}

// Core is the agreement of one member as a pure state machine: time and
// messages go in, Effects come out, and nothing else happens. The fields are
// set before Start. It is not safe for concurrent use.
type Core struct {
	ID                string
	ElectionTimeout   time.Duration // ElectionTimeout is the least silence after which a leader is doubted.
	HeartbeatInterval time.Duration
	Rand              *rand.Rand
	// Incarnation differs between the starts of one member; its campaigns are told from
	// those of earlier lives by it.
	Incarnation uint64

	epoch            time.Time
	now              time.Time
	hardState        recorder.HardState
	hardStateDirty   bool
	snapshot         recorder.Snapshot
	entries          []recorder.Entry
	firstUnsaved     uint64 // unsaved is the first index that the recorder does not have; 0 when it has all.
	lastSynced       uint64
	baseMembership   Membership  // base is the membership at the snapshot.
	latestMembership *Membership // newest is the membership at the end of the log, nil when it must be looked up.
	role             Role
	leader           string
	commit           uint64
	lastEmitted      uint64 // handed is the last index that went out in Effects.Commits.
	campaignAt       time.Time
	lastTickAt       time.Time // tickedAt is when the last Tick came.
	// quorumGraceUntil is the deadline before which a leader that had no processor does
	// not take the others for silent.
	quorumGraceUntil time.Time
	heartbeatAt      time.Time
	noVoteUntil      time.Time // stickyTill is the deadline before which no vote is given.
	// noLeaderSeen means that this member has heard of no leader since it started, and may
	// have forgotten one.
	noLeaderSeen     bool
	votes            map[string]bool
	conditionalVotes map[string]bool // freshVotes are those that hold once all voters have answered.
	round            uint64          // round is that of the newest campaign.
	replied          map[string]bool // answered are the voters that follow nobody.
	peers            map[string]*progress
	electedAt        time.Time
	transferTarget   string    // transferTo is whom the leader hands over to; it has no lease meanwhile.
	transferDeadline time.Time // transferBy is the deadline of the hand-over.
	effects          Effects
}

// Start takes over what the recorder found. initial is the membership that the
// group began with; it counts only while there is no snapshot.
func (c *Core) Start(now time.Time, state recorder.State, initial Membership) error {
	c.epoch, c.now = now, now
	c.hardState = state.HardState
	c.snapshot = state.Snapshot
	c.entries = state.Entries
	c.baseMembership = initial
	if state.Snapshot.Index > 0 {
		m, err := decodeMembership(state.Snapshot.Membership)
		if err != nil {
			return &Error{"start", KindDamaged, err}
		}
		c.baseMembership = m
	}
	c.commit, c.lastEmitted = state.Snapshot.Index, state.Snapshot.Index
	c.lastSynced = c.lastIndex()
	c.role = RoleFollower
	// A member that restarts has forgotten whom it promised not to vote.
	c.noVoteUntil = now.Add(c.ElectionTimeout)
	c.noLeaderSeen = true
	c.round = c.Incarnation
	c.campaignAt = c.campaignRetryAt(firstPreVoteDivisor)
	return nil
}

// TakeEffects returns what is to be done since the last call.
func (c *Core) TakeEffects() Effects {
	if c.role == RoleLeader {
		c.replicateToPeers()
	}
	if c.hardStateDirty {
		hard := c.hardState
		c.effects.Batch.HardState = &hard
		c.hardStateDirty = false
	}
	if c.effects.Snapshot != nil {
		c.effects.EntriesAfterSnapshot, c.firstUnsaved = slices.Clone(c.entries), 0
	}
	if c.firstUnsaved > 0 {
		c.effects.Batch.Entries = slices.Clone(c.entriesFrom(c.firstUnsaved))
		c.firstUnsaved = 0
	}
	if c.commit > c.lastEmitted {
		c.effects.CommittedEntries = slices.Clone(c.entries[c.lastEmitted-c.snapshot.Index : c.commit-c.snapshot.Index])
		c.lastEmitted = c.commit
	}
	e := c.effects
	c.effects = Effects{}
	return e
}

// MarkSaved tells the core that everything it handed out by Take is durable.
func (c *Core) MarkSaved() {
	c.lastSynced = c.lastIndex()
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// Propose appends entries to the log; only a leader takes them. It returns
// the index of the first.
func (c *Core) Propose(kind recorder.EntryKind, data ...[]byte) (uint64, error) {
	if c.role != RoleLeader || c.transferTarget != "" {
		return 0, &Error{"propose", KindNotLeader, errors.Errorf("leader is %q", c.leader)}
	}
	first := c.lastIndex() + 1
	for _, d := range data {
		c.appendEntry(recorder.Entry{Index: c.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: d})
	}
	return first, nil
}

// ProposeMembership changes the group by one voter at the most. It is refused
// while an earlier change is on its way, and before the leader has committed
// an entry of its own term.
func (c *Core) ProposeMembership(to Membership) (uint64, error) {
	if c.role != RoleLeader || c.transferTarget != "" {
		return 0, &Error{"changeMembership", KindNotLeader, errors.Errorf("leader is %q", c.leader)}
	}
	if !c.committedInTerm() || c.hasPendingMembership() {
		return 0, &Error{"changeMembership", KindBusy, errors.New("an earlier change is not committed; try again")}
	}
	if c.Membership().voterChanges(to) > 1 {
		return 0, &Error{"changeMembership", KindRefused, errors.New("only one voter can change at a time")}
	}
	for _, mem := range to.Members {
		if !mem.Learner && !c.Membership().IsVoter(mem.ID) && !c.caughtUp(mem.ID) {
			return 0, &Error{"changeMembership", KindBusy, errors.Errorf("%s has not caught up", mem.Name)}
		}
	}
	index, err := c.Propose(recorder.EntryMembership, to.encode())
	if err != nil {
		return 0, err
	}
	c.syncPeers()
	return index, nil
}

// ReadIndex returns an index such that every entry accepted before the call is
// at or below it. ok is false unless this member leads under a lease that a
// quorum confirmed.
func (c *Core) ReadIndex(now time.Time) (index uint64, ok bool) {
	if c.role != RoleLeader || c.transferTarget != "" || !c.committedInTerm() {
		return 0, false
	}
	return c.commit, now.Before(c.LeaseExpiresAt())
}

// LeaseExpiresAt is the deadline until which no other member can be elected. A
// quarter of the election timeout is kept back for clocks that run unevenly.
func (c *Core) LeaseExpiresAt() time.Time {
	return c.quorumAckedAt().Add(c.ElectionTimeout * 3 / 4)
}

// TransferLeadership makes a leader hand over to the member that is furthest ahead. It
// reports whether there is anyone to hand over to.
func (c *Core) TransferLeadership() bool {
	if c.role != RoleLeader || c.transferTarget != "" {
		return false
	}
	best := ""
	for id, p := range c.peers {
		if c.Membership().IsVoter(id) && (best == "" || p.matchIndex > c.peers[best].matchIndex) {
			best = id
		}
	}
	if best == "" {
		return false
	}
	c.transferTarget, c.transferDeadline = best, c.now.Add(c.ElectionTimeout)
	c.queueMessage(best, TransferRequest{})
	return true
}

// Compact tells the core that the recorder holds s and that the entries up
// to it are gone.
func (c *Core) Compact(s recorder.Snapshot) []recorder.Entry {
	m := c.membershipAt(s.Index)
	rest := slices.Clone(c.entriesFrom(s.Index + 1))
	c.snapshot, c.entries, c.baseMembership = s, rest, m
	c.latestMembership = nil
	return rest
}

// MembershipAt returns the membership as of a committed index, encoded for a
// snapshot.
func (c *Core) MembershipAt(index uint64) []byte { return c.membershipAt(index).encode() }

// TermAt returns the term of the entry at index; 0 when it is not known.
func (c *Core) TermAt(index uint64) uint64 {
	t, _ := c.termAt(index)
	return t
}

// Membership returns the newest membership in the log, committed or not.
func (c *Core) Membership() Membership {
	if c.latestMembership == nil {
		m := c.membershipAt(c.lastIndex())
		c.latestMembership = &m
	}
	return *c.latestMembership
}

// lastContacts tells a leader when each other member last answered it.
func (c *Core) lastContacts() map[string]time.Time {
	heard := make(map[string]time.Time, len(c.peers))
	for id, p := range c.peers {
		heard[id] = p.ackedAt
		if p.ackedAt.Before(p.trackedSince) {
			heard[id] = p.trackedSince
		}
	}
	return heard
}

func (c *Core) membershipAt(index uint64) Membership {
	for i := len(c.entries) - 1; i >= 0; i-- {
		e := c.entries[i]
		if e.Kind != recorder.EntryMembership || e.Index > index {
			continue
		}
		m, err := decodeMembership(e.Data)
		if err == nil {
			return m
		}
	}
	return c.baseMembership
}

func (c *Core) hasPendingMembership() bool {
	for _, e := range c.entriesFrom(c.commit + 1) {
		if e.Kind == recorder.EntryMembership {
			return true
		}
	}
	return false
}

func (c *Core) caughtUp(id string) bool {
	p, ok := c.peers[id]
	return ok && p.matchIndex >= c.commit && p.matchIndex > 0
}

func (c *Core) committedInTerm() bool {
	t, ok := c.termAt(c.commit)
	return ok && t == c.hardState.Term
}

func (c *Core) lastIndex() uint64 { return c.snapshot.Index + uint64(len(c.entries)) }

func (c *Core) termAt(index uint64) (uint64, bool) {
	switch {
	case index == 0:
		return 0, true
	case index == c.snapshot.Index:
		return c.snapshot.Term, true
	case index < c.snapshot.Index || index > c.lastIndex():
		return 0, false
	}
	return c.entries[index-c.snapshot.Index-1].Term, true
}

// entriesFrom returns the entries at index and after it.
func (c *Core) entriesFrom(index uint64) []recorder.Entry {
	if index <= c.snapshot.Index {
		index = c.snapshot.Index + 1
	}
	if index > c.lastIndex() {
		return nil
	}
	return c.entries[index-c.snapshot.Index-1:]
}

func (c *Core) appendEntry(e recorder.Entry) {
	c.entries = append(c.entries, e)
	if e.Kind == recorder.EntryMembership {
		c.latestMembership = nil
	}
	if c.firstUnsaved == 0 || e.Index < c.firstUnsaved {
		c.firstUnsaved = e.Index
	}
}

// truncateFrom drops the entries from index on. Committed ones never go.
func (c *Core) truncateFrom(index uint64) bool {
	if !asserter.That(index > c.commit, "committedNeverCut", "cut at %d, committed %d", index, c.commit) {
		return false
	}
	c.entries = slices.Clone(c.entries[:index-c.snapshot.Index-1])
	c.latestMembership = nil
	c.lastSynced = min(c.lastSynced, index-1)
	return true
}

func (c *Core) queueMessage(to string, m Message) {
	c.effects.Messages = append(c.effects.Messages, Envelope{From: c.ID, To: to, Term: c.hardState.Term, Message: m})
}

func (c *Core) setHardState(term uint64, vote string) {
	c.hardState = recorder.HardState{Term: term, Vote: vote}
	c.hardStateDirty = true
}

// preVoteDivisor and voteDivisor are the parts of the election timeout, one in so
// many, after which a member without a quorum asks again. A pre-vote disturbs
// nobody, and after a power loss others are about to start; a vote waits for
// disks. firstPreVoteDivisor is the same for the first pre-vote after a start.
const (
	preVoteDivisor      = 4
	voteDivisor         = 2
	firstPreVoteDivisor = 16
)

func (c *Core) resetElectionTimer() {
	spread := time.Duration(c.Rand.Int64N(int64(c.ElectionTimeout)))
	c.campaignAt = c.now.Add(c.ElectionTimeout + spread)
}

// replicateToPeers sends each member the entries that it lacks.
func (c *Core) replicateToPeers() {
	for id, p := range c.peers {
		for p.nextIndex <= c.lastIndex() {
			if p.nextIndex <= c.snapshot.Index {
				c.sendSnapshot(id, p)
				break
			}
			batch := limitBatch(c.entriesFrom(p.nextIndex))
			c.sendAppend(id, batch)
			p.nextIndex += uint64(len(batch))
		}
	}
}

// limitBatch returns as many entries as fit one message, at least one.
func limitBatch(entries []recorder.Entry) []recorder.Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && (i >= maxAppendEntries || size > maxAppendBytes) {
			return entries[:i]
		}
	}
	return entries
}

func (c *Core) sendAppend(id string, entries []recorder.Entry) {
	p := c.peers[id]
	term, ok := c.termAt(p.nextIndex - 1)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	p.sentCommit = c.commit
	c.queueMessage(id, AppendRequest{
		PrevIndex: p.nextIndex - 1, PrevTerm: term,
		Entries: slices.Clone(entries), Commit: c.commit, SentAt: c.timestamp(),
	})
}

func (c *Core) sendSnapshot(id string, p *progress) {
	if c.now.Before(p.snapshotRetryAt) {
		return
	}
	p.snapshotRetryAt = c.now.Add(snapshotRetryInterval)
	c.queueMessage(id, SnapshotRequest{Snapshot: c.snapshot, SentAt: c.timestamp()})
}

func (c *Core) timestamp() int64 { return int64(c.now.Sub(c.epoch)) }

// quorumAckedAt returns the newest moment since which a quorum is known to have
// heard from this leader.
func (c *Core) quorumAckedAt() time.Time {
	var acks []time.Time
	for _, id := range c.Membership().Voters() {
		switch p, ok := c.peers[id]; {
		case id == c.ID:
			acks = append(acks, c.now)
		case ok:
			acks = append(acks, p.ackedAt)
		default:
			acks = append(acks, time.Time{})
		}
	}
	if len(acks) == 0 {
		return time.Time{}
	}
	slices.SortFunc(acks, func(a, b time.Time) int { return b.Compare(a) })
	return acks[c.Membership().Quorum()-1]
}

// advanceCommit commits what a quorum has synced, but never by counting
// entries of earlier terms.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, id := range c.Membership().Voters() {
		switch p, ok := c.peers[id]; {
		case id == c.ID:
			matches = append(matches, c.lastSynced)
		case ok:
			matches = append(matches, p.matchIndex)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.Membership().Quorum()]
	if t, ok := c.termAt(index); !ok || t != c.hardState.Term || index <= c.commit {
		return
	}
	c.commit = index
	if !c.Membership().IsVoter(c.ID) && !c.hasPendingMembership() {
		c.TransferLeadership()
	}
}
