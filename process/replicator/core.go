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
	maxAppendEntries = 512       // maxAppendEntries bounds the entries of one AppendRequest.
	maxAppendBytes   = 512 << 10 // maxAppendBytes bounds the data of the entries of one AppendRequest.
	// snapshotRetryInterval is the least time between two snapshots sent to the same
	// member.
	snapshotRetryInterval = 2 * time.Second
)

// Role is the current role of a member in its group.
type Role string

// The roles of a member.
const (
	RoleFollower     Role = "follower"     // RoleFollower means that the member follows a leader or waits for one.
	RolePreCandidate Role = "preCandidate" // RolePreCandidate means that the member requests pre-votes.
	RoleCandidate    Role = "candidate"    // RoleCandidate means that the member requests votes.
	RoleLeader       Role = "leader"       // RoleLeader means that the member leads the current term.
)

// Effects holds the work that a Core has decided on. The caller first saves
// Snapshot or Batch, then sends Messages, then applies CommittedEntries.
type Effects struct {
	Snapshot *recorder.Snapshot // Snapshot, when set, replaces the whole state before anything else.
	// EntriesAfterSnapshot are the log entries that follow Snapshot; Batch then holds
	// no entries.
	EntriesAfterSnapshot []recorder.Entry
	Batch                recorder.Batch   // Batch is appended to the log and synced before Messages are sent.
	Messages             []Envelope       // Messages are sent to other members.
	CommittedEntries     []recorder.Entry // CommittedEntries are applied to the state in this order.
	RoleChanges          []RoleChange     // RoleChanges are only logged; no decision depends on them.
}

// needsSave reports whether the effects contain anything to make durable.
func (e Effects) needsSave() bool {
	return e.Snapshot != nil || e.Batch.HardState != nil || len(e.Batch.Entries) > 0
}

// progress is a leader's replication state for one other member.
type progress struct {
	nextIndex       uint64    // nextIndex is the index of the next entry to send.
	matchIndex      uint64    // matchIndex is the last index that the member has acknowledged as synced.
	sentCommit      uint64    // sentCommit is the commit index that was sent to the member last.
	trackedSince    time.Time // trackedSince is when this leader began to send to the member.
	heartbeatAt     time.Time // heartbeatAt is when an up-to-date learner gets its next heartbeat.
	ackedAt         time.Time // ackedAt is the send time of the newest request that the member has replied to.
	snapshotRetryAt time.Time // snapshotRetryAt is the time before which no further snapshot is sent.
}

// Core is the Raft state machine of one member, without I/O: it takes the time
// and messages as input and returns Effects. The exported fields are set before
// Start. It is not safe for concurrent use.
type Core struct {
	ID string // ID is the identity of this member.
	// ElectionTimeout is the least time without contact to a leader after which a
	// member starts a campaign.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration // HeartbeatInterval is the time between two heartbeats of a leader.
	Rand              *rand.Rand    // Rand spreads the election timeouts.
	// Incarnation differs between the starts of one member. Campaign rounds are counted
	// from it, so that replies to an earlier incarnation's campaign are not counted.
	Incarnation uint64

	epoch            time.Time // epoch is the time of Start; SentAt stamps are relative to it.
	now              time.Time
	hardState        recorder.HardState
	hardStateDirty   bool // hardStateDirty means that hardState has changed since the last TakeEffects.
	snapshot         recorder.Snapshot
	entries          []recorder.Entry // entries are the log entries after snapshot.
	firstUnsaved     uint64           // firstUnsaved is the first index that was not yet passed to the recorder; 0 when all were.
	lastSynced       uint64           // lastSynced is the last index that is durable on this member.
	baseMembership   Membership       // baseMembership is the membership at the snapshot.
	latestMembership *Membership      // latestMembership caches the membership at the end of the log; nil when it must be looked up.
	role             Role
	leader           string    // leader is the identity of the leader of this term; empty while none is known.
	commit           uint64    // commit is the last committed index.
	lastEmitted      uint64    // lastEmitted is the last index that was returned in Effects.CommittedEntries.
	campaignAt       time.Time // campaignAt is when a member that does not lead starts its next campaign.
	lastTickAt       time.Time // lastTickAt is the time of the last Tick.
	// quorumGraceUntil is the time until which a leader that got no processor time does
	// not step down for lack of a quorum.
	quorumGraceUntil time.Time
	heartbeatAt      time.Time // heartbeatAt is when this leader sends its next heartbeats.
	// noVoteUntil is the time until which a leader may hold a lease that rests on this
	// member. Until then it grants no vote, except in a transfer or when every voter
	// has replied to a pre-vote.
	noVoteUntil time.Time
	// noLeaderSeen means that this member has received nothing from a leader since it
	// started, so it may follow one that it has no record of.
	noLeaderSeen     bool
	votes            map[string]bool
	conditionalVotes map[string]bool // conditionalVotes are pre-votes that count only once all voters have replied.
	round            uint64          // round is the number of the newest campaign.
	replied          map[string]bool // replied are the voters that replied to the pre-vote, so they follow no leader.
	peers            map[string]*progress
	electedAt        time.Time
	transferTarget   string    // transferTarget is the member that leadership is transferred to; while it is set the leader has no lease.
	transferDeadline time.Time // transferDeadline is when the leader steps down if the transfer has not completed.
	effects          Effects
}

// Start initializes the core from the durable state. initial is the membership
// that the group was created with; it is used only while there is no snapshot.
// It returns KindCorrupt when the snapshot's membership cannot be decoded.
func (c *Core) Start(now time.Time, state recorder.State, initial Membership) error {
	c.epoch, c.now = now, now
	c.hardState = state.HardState
	c.snapshot = state.Snapshot
	c.entries = state.Entries
	c.baseMembership = initial
	if state.Snapshot.Index > 0 {
		m, err := decodeMembership(state.Snapshot.Membership)
		if err != nil {
			return &Error{"start", KindCorrupt, err}
		}
		c.baseMembership = m
	}
	c.commit, c.lastEmitted = state.Snapshot.Index, state.Snapshot.Index
	c.lastSynced = c.lastIndex()
	c.role = RoleFollower
	// A restarted member has no record of the leader whose lease it supports, so it
	// grants no vote until such a lease has expired.
	c.noVoteUntil = now.Add(c.ElectionTimeout)
	c.noLeaderSeen = true
	c.round = c.Incarnation
	c.campaignAt = c.campaignRetryAt(firstPreVoteDivisor)
	return nil
}

// TakeEffects returns the effects that have accumulated since the last call. The
// caller makes them durable and then calls MarkSaved.
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

// MarkSaved records that everything returned by TakeEffects is durable.
func (c *Core) MarkSaved() {
	c.lastSynced = c.lastIndex()
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// StepDown makes this member a follower without a leader, for example because it cannot
// write to its disk.
func (c *Core) StepDown() { c.becomeFollower(c.hardState.Term, "", CauseDiskFailure) }

// Propose appends one entry of the given kind per data item to the log and
// returns the index of the first. It returns KindNotLeader unless this member
// leads and is not transferring leadership.
func (c *Core) Propose(kind recorder.EntryKind, data ...[]byte) (uint64, error) {
	if c.role != RoleLeader || c.transferTarget != "" {
		return 0, &Error{"propose", KindNotLeader, errors.Errorf("this member does not lead or is transferring leadership; leader: %q", c.leader)}
	}
	first := c.lastIndex() + 1
	for _, d := range data {
		c.appendEntry(recorder.Entry{Index: c.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: d})
	}
	return first, nil
}

// ProposeMembership appends a membership that differs from the newest one by at
// most one voter, and returns its index. It returns KindBusy while an earlier
// change is not committed, while the leader has committed no entry of its own
// term, or while a new voter has not caught up; KindRefused when more than one
// voter changes; KindNotLeader on other members.
func (c *Core) ProposeMembership(to Membership) (uint64, error) {
	if c.role != RoleLeader || c.transferTarget != "" {
		return 0, &Error{"changeMembership", KindNotLeader, errors.Errorf("this member does not lead or is transferring leadership; leader: %q", c.leader)}
	}
	if !c.committedInTerm() || c.hasPendingMembership() {
		return 0, &Error{"changeMembership", KindBusy, errors.New("an earlier membership change or the first entry of this term is not committed yet; retry later")}
	}
	if c.Membership().voterChanges(to) > 1 {
		return 0, &Error{"changeMembership", KindRefused, errors.New("a membership change can add or remove only one voter")}
	}
	for _, mem := range to.Members {
		if !mem.Learner && !c.Membership().IsVoter(mem.ID) && !c.caughtUp(mem.ID) {
			return 0, &Error{"changeMembership", KindBusy, errors.Errorf("member %s has not received all committed entries yet; retry later", mem.Name)}
		}
	}
	index, err := c.Propose(recorder.EntryMembership, to.encode())
	if err != nil {
		return 0, err
	}
	c.syncPeers()
	return index, nil
}

// ReadIndex returns the commit index: every entry acknowledged to a client
// before the call is at or below it. ok is false unless this member leads under
// a lease that a quorum has confirmed and that is valid at now.
func (c *Core) ReadIndex(now time.Time) (index uint64, ok bool) {
	if c.role != RoleLeader || c.transferTarget != "" || !c.committedInTerm() {
		return 0, false
	}
	return c.commit, now.Before(c.LeaseExpiresAt())
}

// LeaseExpiresAt returns the time until which no other member can be elected.
// The lease is a quarter shorter than the election timeout to allow for clocks
// that run at different rates.
func (c *Core) LeaseExpiresAt() time.Time {
	return c.quorumAckedAt().Add(c.ElectionTimeout * 3 / 4)
}

// TransferLeadership requests that the voter with the highest match index start an
// election at once; until it ends, this leader holds no lease and accepts no
// proposal. It returns false when this member does not lead, a transfer is
// already in progress, or there is no other voter.
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

// Compact replaces the entries up to s.Index by the snapshot s. It returns a copy
// of the entries after it, which the recorder stores along with s.
func (c *Core) Compact(s recorder.Snapshot) []recorder.Entry {
	m := c.membershipAt(s.Index)
	rest := slices.Clone(c.entriesFrom(s.Index + 1))
	c.snapshot, c.entries, c.baseMembership = s, rest, m
	c.latestMembership = nil
	return rest
}

// MembershipAt returns the membership at a committed index, encoded for
// recorder.Snapshot.
func (c *Core) MembershipAt(index uint64) []byte { return c.membershipAt(index).encode() }

// TermAt returns the term of the entry at index; 0 when the log holds no entry
// there.
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

// lastContacts returns, for each other member, the send time of the newest request
// that it replied to, or when this leader began to send to it if that is later.
func (c *Core) lastContacts() map[string]time.Time {
	contacts := make(map[string]time.Time, len(c.peers))
	for id, p := range c.peers {
		contacts[id] = p.ackedAt
		if p.ackedAt.Before(p.trackedSince) {
			contacts[id] = p.trackedSince
		}
	}
	return contacts
}

// membershipAt returns the newest membership at or before index.
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

// hasPendingMembership reports whether the log holds an uncommitted membership.
func (c *Core) hasPendingMembership() bool {
	for _, e := range c.entriesFrom(c.commit + 1) {
		if e.Kind == recorder.EntryMembership {
			return true
		}
	}
	return false
}

// caughtUp reports whether a member has synced every committed entry.
func (c *Core) caughtUp(id string) bool {
	p, ok := c.peers[id]
	return ok && p.matchIndex >= c.commit && p.matchIndex > 0
}

// committedInTerm reports whether the newest committed entry is of the current
// term.
func (c *Core) committedInTerm() bool {
	t, ok := c.termAt(c.commit)
	return ok && t == c.hardState.Term
}

// lastIndex returns the index of the last entry of the log.
func (c *Core) lastIndex() uint64 { return c.snapshot.Index + uint64(len(c.entries)) }

// termAt returns the term of the entry at index; ok is false when the entry is
// compacted or beyond the end of the log.
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

// entriesFrom returns the entries from index on that are not compacted.
func (c *Core) entriesFrom(index uint64) []recorder.Entry {
	if index <= c.snapshot.Index {
		index = c.snapshot.Index + 1
	}
	if index > c.lastIndex() {
		return nil
	}
	return c.entries[index-c.snapshot.Index-1:]
}

// appendEntry adds an entry to the end of the log and marks it as unsaved.
func (c *Core) appendEntry(e recorder.Entry) {
	c.entries = append(c.entries, e)
	if e.Kind == recorder.EntryMembership {
		c.latestMembership = nil
	}
	if c.firstUnsaved == 0 || e.Index < c.firstUnsaved {
		c.firstUnsaved = e.Index
	}
}

// truncateFrom removes the entries from index on. It returns false without a
// change when that would remove a committed entry.
func (c *Core) truncateFrom(index uint64) bool {
	if !asserter.Check(index > c.commit, "committedNeverCut", "truncation at index %d, committed index %d", index, c.commit) {
		return false
	}
	c.entries = slices.Clone(c.entries[:index-c.snapshot.Index-1])
	c.latestMembership = nil
	c.lastSynced = min(c.lastSynced, index-1)
	return true
}

// queueMessage adds a message of the current term to the effects.
func (c *Core) queueMessage(to string, m Message) {
	c.effects.Messages = append(c.effects.Messages, Envelope{From: c.ID, To: to, Term: c.hardState.Term, Message: m})
}

// setHardState sets the term and vote, which the next effects make durable.
func (c *Core) setHardState(term uint64, vote string) {
	c.hardState = recorder.HardState{Term: term, Vote: vote}
	c.hardStateDirty = true
}

// A campaign is retried after at least the election timeout divided by
// preVoteDivisor or voteDivisor. Pre-votes are retried sooner: they do not change
// the term, and after a power loss other members are about to start. A vote waits
// for disks to sync. firstPreVoteDivisor applies to the first pre-vote after a
// start.
const (
	preVoteDivisor      = 4
	voteDivisor         = 2
	firstPreVoteDivisor = 16
)

// resetElectionTimer sets the next campaign to a random time between one and two
// election timeouts from now.
func (c *Core) resetElectionTimer() {
	spread := time.Duration(c.Rand.Int64N(int64(c.ElectionTimeout)))
	c.campaignAt = c.now.Add(c.ElectionTimeout + spread)
}

// replicateToPeers queues, for each other member, the entries that were not sent
// to it yet, or a snapshot when they are compacted.
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

// limitBatch returns the longest prefix of entries that fits one message, at
// least one entry.
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

// sendAppend queues an AppendRequest, or a snapshot when the entry before
// nextIndex is compacted.
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

// sendSnapshot queues the snapshot unless one was sent within
// snapshotRetryInterval.
func (c *Core) sendSnapshot(id string, p *progress) {
	if c.now.Before(p.snapshotRetryAt) {
		return
	}
	p.snapshotRetryAt = c.now.Add(snapshotRetryInterval)
	c.queueMessage(id, SnapshotRequest{Snapshot: c.snapshot, SentAt: c.timestamp()})
}

// timestamp returns the time since Start in nanoseconds, for SentAt.
func (c *Core) timestamp() int64 { return int64(c.now.Sub(c.epoch)) }

// quorumAckedAt returns the newest time such that a quorum has replied to requests
// that this leader sent at or after it; the zero time when no quorum has replied.
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

// advanceCommit moves the commit index to the last entry that a quorum has
// synced, if that entry is of the current term; entries of earlier terms are
// committed only along with it. A leader that is no voter any more transfers
// leadership once the membership that removed it is committed.
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
