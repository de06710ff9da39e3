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
	maxAppendEntries = 512
	maxAppendBytes   = 512 << 10
	snapshotRetry    = 2 * time.Second
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

func (e Effects) mustSave() bool {
	return e.Snapshot != nil || e.Batch.HardState != nil || len(e.Batch.Entries) > 0
}

// progress is what a leader knows of one other member.
type progress struct {
	next, match uint64
	told        uint64    // told is the commit that the member was sent last.
	knownSince  time.Time // knownSince is when this leader began to send to the member.
	beatAt      time.Time // beatAt is when the member gets its next heartbeat.
	ackedAt     time.Time // ackedAt is when the newest request that was answered left the leader.
	snapshotAt  time.Time // snapshotAt is the deadline before which no further snapshot is sent.
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

	epoch      time.Time
	now        time.Time
	hard       recorder.HardState
	hardDirty  bool
	snapshot   recorder.Snapshot
	entries    []recorder.Entry
	unsaved    uint64 // unsaved is the first index that the recorder does not have; 0 when it has all.
	synced     uint64
	base       Membership  // base is the membership at the snapshot.
	newest     *Membership // newest is the membership at the end of the log, nil when it must be looked up.
	role       Role
	leader     string
	commit     uint64
	handed     uint64 // handed is the last index that went out in Effects.Commits.
	electionAt time.Time
	tickedAt   time.Time // tickedAt is when the last Tick came.
	// excusedTill is the deadline before which a leader that had no processor does
	// not take the others for silent.
	excusedTill time.Time
	beatAt      time.Time
	stickyTill  time.Time // stickyTill is the deadline before which no vote is given.
	// fresh means that this member has heard of no leader since it started, and may
	// have forgotten one.
	fresh      bool
	votes      map[string]bool
	freshVotes map[string]bool // freshVotes are those that hold once all voters have answered.
	round      uint64          // round is that of the newest campaign.
	answered   map[string]bool // answered are the voters that follow nobody.
	peers      map[string]*progress
	electedAt  time.Time
	transferTo string    // transferTo is whom the leader hands over to; it has no lease meanwhile.
	transferBy time.Time // transferBy is the deadline of the hand-over.
	effects    Effects
}

// Start takes over what the recorder found. initial is the membership that the
// group began with; it counts only while there is no snapshot.
func (c *Core) Start(now time.Time, state recorder.State, initial Membership) error {
	c.epoch, c.now = now, now
	c.hard = state.HardState
	c.snapshot = state.Snapshot
	c.entries = state.Entries
	c.base = initial
	if state.Snapshot.Index > 0 {
		m, err := decodeMembership(state.Snapshot.Membership)
		if err != nil {
			return &Error{"start", KindDamaged, err}
		}
		c.base = m
	}
	c.commit, c.handed = state.Snapshot.Index, state.Snapshot.Index
	c.synced = c.last()
	c.role = RoleFollower
	// A member that restarts has forgotten whom it promised not to vote.
	c.stickyTill = now.Add(c.ElectionTimeout)
	c.fresh = true
	c.round = c.Incarnation
	c.electionAt = c.soon(freshPart)
	return nil
}

// TakeEffects returns what is to be done since the last call.
func (c *Core) TakeEffects() Effects {
	if c.role == RoleLeader {
		c.replicate()
	}
	if c.hardDirty {
		hard := c.hard
		c.effects.Batch.HardState = &hard
		c.hardDirty = false
	}
	if c.effects.Snapshot != nil {
		c.effects.EntriesAfterSnapshot, c.unsaved = slices.Clone(c.entries), 0
	}
	if c.unsaved > 0 {
		c.effects.Batch.Entries = slices.Clone(c.from(c.unsaved))
		c.unsaved = 0
	}
	if c.commit > c.handed {
		c.effects.CommittedEntries = slices.Clone(c.entries[c.handed-c.snapshot.Index : c.commit-c.snapshot.Index])
		c.handed = c.commit
	}
	e := c.effects
	c.effects = Effects{}
	return e
}

// MarkSaved tells the core that everything it handed out by Take is durable.
func (c *Core) MarkSaved() {
	c.synced = c.last()
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// Propose appends entries to the log; only a leader takes them. It returns
// the index of the first.
func (c *Core) Propose(kind recorder.EntryKind, data ...[]byte) (uint64, error) {
	if c.role != RoleLeader || c.transferTo != "" {
		return 0, &Error{"propose", KindNotLeader, errors.Errorf("leader is %q", c.leader)}
	}
	first := c.last() + 1
	for _, d := range data {
		c.append(recorder.Entry{Index: c.last() + 1, Term: c.hard.Term, Kind: kind, Data: d})
	}
	return first, nil
}

// ProposeMembership changes the group by one voter at the most. It is refused
// while an earlier change is on its way, and before the leader has committed
// an entry of its own term.
func (c *Core) ProposeMembership(to Membership) (uint64, error) {
	if c.role != RoleLeader || c.transferTo != "" {
		return 0, &Error{"changeMembership", KindNotLeader, errors.Errorf("leader is %q", c.leader)}
	}
	if !c.termCommitted() || c.pendingMembership() {
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
	if c.role != RoleLeader || c.transferTo != "" || !c.termCommitted() {
		return 0, false
	}
	return c.commit, now.Before(c.LeaseExpiresAt())
}

// LeaseExpiresAt is the deadline until which no other member can be elected. A
// quarter of the election timeout is kept back for clocks that run unevenly.
func (c *Core) LeaseExpiresAt() time.Time {
	return c.quorumAck().Add(c.ElectionTimeout * 3 / 4)
}

// TransferLeadership makes a leader hand over to the member that is furthest ahead. It
// reports whether there is anyone to hand over to.
func (c *Core) TransferLeadership() bool {
	if c.role != RoleLeader || c.transferTo != "" {
		return false
	}
	best := ""
	for id, p := range c.peers {
		if c.Membership().IsVoter(id) && (best == "" || p.match > c.peers[best].match) {
			best = id
		}
	}
	if best == "" {
		return false
	}
	c.transferTo, c.transferBy = best, c.now.Add(c.ElectionTimeout)
	c.send(best, TransferRequest{})
	return true
}

// Compact tells the core that the recorder holds s and that the entries up
// to it are gone.
func (c *Core) Compact(s recorder.Snapshot) []recorder.Entry {
	m := c.membershipAt(s.Index)
	rest := slices.Clone(c.from(s.Index + 1))
	c.snapshot, c.entries, c.base = s, rest, m
	c.newest = nil
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
	if c.newest == nil {
		m := c.membershipAt(c.last())
		c.newest = &m
	}
	return *c.newest
}

// heardFrom tells a leader when each other member last answered it.
func (c *Core) heardFrom() map[string]time.Time {
	heard := make(map[string]time.Time, len(c.peers))
	for id, p := range c.peers {
		heard[id] = p.ackedAt
		if p.ackedAt.Before(p.knownSince) {
			heard[id] = p.knownSince
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
	return c.base
}

func (c *Core) pendingMembership() bool {
	for _, e := range c.from(c.commit + 1) {
		if e.Kind == recorder.EntryMembership {
			return true
		}
	}
	return false
}

func (c *Core) caughtUp(id string) bool {
	p, ok := c.peers[id]
	return ok && p.match >= c.commit && p.match > 0
}

func (c *Core) termCommitted() bool {
	t, ok := c.termAt(c.commit)
	return ok && t == c.hard.Term
}

func (c *Core) last() uint64 { return c.snapshot.Index + uint64(len(c.entries)) }

func (c *Core) termAt(index uint64) (uint64, bool) {
	switch {
	case index == 0:
		return 0, true
	case index == c.snapshot.Index:
		return c.snapshot.Term, true
	case index < c.snapshot.Index || index > c.last():
		return 0, false
	}
	return c.entries[index-c.snapshot.Index-1].Term, true
}

// from returns the entries at index and after it.
func (c *Core) from(index uint64) []recorder.Entry {
	if index <= c.snapshot.Index {
		index = c.snapshot.Index + 1
	}
	if index > c.last() {
		return nil
	}
	return c.entries[index-c.snapshot.Index-1:]
}

func (c *Core) append(e recorder.Entry) {
	c.entries = append(c.entries, e)
	if e.Kind == recorder.EntryMembership {
		c.newest = nil
	}
	if c.unsaved == 0 || e.Index < c.unsaved {
		c.unsaved = e.Index
	}
}

// truncate drops the entries from index on. Committed ones never go.
func (c *Core) truncate(index uint64) bool {
	if !asserter.Check(index > c.commit, "committedNeverCut", "cut at %d, committed %d", index, c.commit) {
		return false
	}
	c.entries = slices.Clone(c.entries[:index-c.snapshot.Index-1])
	c.newest = nil
	c.synced = min(c.synced, index-1)
	return true
}

func (c *Core) send(to string, m Message) {
	c.effects.Messages = append(c.effects.Messages, Envelope{From: c.ID, To: to, Term: c.hard.Term, Message: m})
}

func (c *Core) setHard(term uint64, vote string) {
	c.hard = recorder.HardState{Term: term, Vote: vote}
	c.hardDirty = true
}

// preVotePart and votePart are the parts of the election timeout, one in so
// many, after which a member without a quorum asks again. A pre-vote disturbs
// nobody, and after a power loss others are about to start; a vote waits for
// disks. freshPart is the same for the first pre-vote after a start.
const (
	preVotePart = 4
	votePart    = 2
	freshPart   = 16
)

func (c *Core) resetElection() {
	spread := time.Duration(c.Rand.Int64N(int64(c.ElectionTimeout)))
	c.electionAt = c.now.Add(c.ElectionTimeout + spread)
}

// replicate sends each member the entries that it lacks.
func (c *Core) replicate() {
	for id, p := range c.peers {
		for p.next <= c.last() {
			if p.next <= c.snapshot.Index {
				c.sendSnapshot(id, p)
				break
			}
			batch := bounded(c.from(p.next))
			c.sendAppend(id, batch)
			p.next += uint64(len(batch))
		}
	}
}

// bounded returns as many entries as fit one message, at least one.
func bounded(entries []recorder.Entry) []recorder.Entry {
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
	term, ok := c.termAt(p.next - 1)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	p.told = c.commit
	c.send(id, AppendRequest{
		PrevIndex: p.next - 1, PrevTerm: term,
		Entries: slices.Clone(entries), Commit: c.commit, SentAt: c.stamp(),
	})
}

func (c *Core) sendSnapshot(id string, p *progress) {
	if c.now.Before(p.snapshotAt) {
		return
	}
	p.snapshotAt = c.now.Add(snapshotRetry)
	c.send(id, SnapshotRequest{Snapshot: c.snapshot, SentAt: c.stamp()})
}

func (c *Core) stamp() int64 { return int64(c.now.Sub(c.epoch)) }

// quorumAck returns the newest moment since which a quorum is known to have
// heard from this leader.
func (c *Core) quorumAck() time.Time {
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
			matches = append(matches, c.synced)
		case ok:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.Membership().Quorum()]
	if t, ok := c.termAt(index); !ok || t != c.hard.Term || index <= c.commit {
		return
	}
	c.commit = index
	if !c.Membership().IsVoter(c.ID) && !c.pendingMembership() {
		c.TransferLeadership()
	}
}
