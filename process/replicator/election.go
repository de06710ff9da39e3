package replicator

import (
	"slices"
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/process/recorder"
)

// Step processes one message from another member at the time now, which must
// never decrease.
func (c *Core) Step(now time.Time, e Envelope) {
	c.now = now
	if e.To != c.ID {
		return // The message is for the member that this host was before its disk was replaced.
	}
	if req, ok := e.Message.(VoteRequest); ok {
		c.stepVoteRequest(e, req)
		return
	}
	if reply, ok := e.Message.(VoteReply); ok && reply.Pre {
		c.stepPreVoteReply(e, reply)
		return
	}
	if e.Term > c.hardState.Term {
		c.becomeFollower(e.Term, "", CauseNewerTerm)
	}
	if e.Term < c.hardState.Term {
		c.rejectStale(e)
		return
	}
	switch m := e.Message.(type) {
	case VoteReply:
		c.stepVoteReply(e, m)
	case AppendRequest:
		c.stepAppend(e, m)
	case AppendReply:
		c.stepAppendReply(e, m)
	case SnapshotRequest:
		c.stepSnapshot(e, m)
	case TransferRequest:
		if e.From == c.leader && c.Membership().IsVoter(c.ID) {
			c.startCampaign(transferCampaign)
		}
	}
}

// rejectStale replies to a leader of an earlier term; the newer term in the reply
// makes it step down.
func (c *Core) rejectStale(e Envelope) {
	switch m := e.Message.(type) {
	case AppendRequest:
		c.queueMessage(e.From, AppendReply{Rejected: true, SentAt: m.SentAt})
	case SnapshotRequest:
		c.queueMessage(e.From, AppendReply{Rejected: true, SentAt: m.SentAt})
	}
}

// becomeFollower enters term, if it is newer, as a follower of leader, which is
// empty when it is unknown.
func (c *Core) becomeFollower(term uint64, leader string, cause Cause) {
	if term > c.hardState.Term {
		c.setHardState(term, "")
	}
	c.leader = leader
	c.setRole(RoleFollower, cause, c.sinceContact())
	c.votes, c.peers = nil, nil
	c.transferTarget = ""
	c.resetElectionTimer()
}

// startCampaign requests votes or pre-votes from all other voters. A pre-vote does
// not change the term, so a member that was partitioned off does not force an
// election when it reconnects.
func (c *Core) startCampaign(request VoteRequest) {
	c.leader = ""
	c.votes = map[string]bool{c.ID: true}
	c.conditionalVotes = map[string]bool{}
	c.replied = map[string]bool{c.ID: true}
	role, divisor, cause := RolePreCandidate, preVoteDivisor, CauseLeaderTimeout
	if !request.Pre {
		role, divisor = RoleCandidate, voteDivisor
		c.setHardState(c.hardState.Term+1, c.ID)
	}
	if request.Transfer {
		cause = CauseTransfer
	}
	c.setRole(role, cause, c.sinceContact())
	c.campaignAt = c.campaignRetryAt(divisor)
	c.round++
	request.Round = c.round
	request.LastIndex = c.lastIndex()
	request.LastTerm, _ = c.termAt(c.lastIndex())
	for _, id := range c.Membership().Voters() {
		if id != c.ID {
			c.queueMessage(id, request)
		}
	}
	c.countVotes()
}

// These requests distinguish the kinds of campaigns.
var (
	preVoteCampaign  = VoteRequest{Pre: true}
	voteCampaign     = VoteRequest{}
	transferCampaign = VoteRequest{Transfer: true}
	allFreshCampaign = VoteRequest{AllFresh: true}
)

// deferCampaign postpones this member's own campaign after it granted a pre-vote,
// so that it does not split the other candidate's votes.
func (c *Core) deferCampaign() {
	if retryAt := c.campaignRetryAt(preVoteDivisor); retryAt.After(c.campaignAt) {
		c.campaignAt = retryAt
	}
}

// campaignRetryAt returns a random time between one and two times the election
// timeout divided by divisor from now.
func (c *Core) campaignRetryAt(divisor int) time.Time {
	least := c.ElectionTimeout / time.Duration(divisor)
	return c.now.Add(least + time.Duration(c.Rand.Int64N(int64(least))))
}

// stepVoteRequest does not reply while this member leads, or while a leader that it
// received a message from may hold a lease, so that nobody else is elected before it
// expires. A transfer is exempt, since its leader has given up the lease.
func (c *Core) stepVoteRequest(e Envelope, req VoteRequest) {
	leading := c.role == RoleLeader && c.transferTarget == ""
	leasePossible := c.now.Before(c.noVoteUntil)
	switch {
	case req.Transfer:
	case leading:
		return
	case leasePossible && !(c.noLeaderSeen && (req.Pre || req.AllFresh)):
		return
	}
	if req.Pre {
		granted := e.Term >= c.hardState.Term && c.isUpToDate(req)
		if granted {
			c.deferCampaign()
		}
		// A leader does not reply to a pre-vote. Once all voters have replied, none of
		// them leads, so no lease is in force.
		c.queueMessage(e.From, VoteReply{Pre: true, Fresh: leasePossible, Granted: granted, Round: req.Round})
		return
	}
	if e.Term < c.hardState.Term {
		c.queueMessage(e.From, VoteReply{})
		return
	}
	if e.Term > c.hardState.Term {
		c.becomeFollower(e.Term, "", CauseNewerTerm)
	}
	granted := (c.hardState.Vote == "" || c.hardState.Vote == e.From) && c.isUpToDate(req)
	if granted {
		c.setHardState(e.Term, e.From)
		c.resetElectionTimer()
	}
	c.queueMessage(e.From, VoteReply{Granted: granted})
}

// isUpToDate reports whether the requester's log is at least as up to date as
// this member's.
func (c *Core) isUpToDate(req VoteRequest) bool {
	lastTerm, _ := c.termAt(c.lastIndex())
	if req.LastTerm != lastTerm {
		return req.LastTerm > lastTerm
	}
	return req.LastIndex >= c.lastIndex()
}

// stepPreVoteReply counts a reply to the current pre-vote, or enters a newer term
// when a member of that term rejects the pre-vote.
func (c *Core) stepPreVoteReply(e Envelope, reply VoteReply) {
	if e.Term > c.hardState.Term && !reply.Granted && !reply.Fresh {
		c.becomeFollower(e.Term, "", CauseNewerTerm)
		return
	}
	if c.role != RolePreCandidate || reply.Round != c.round {
		return // The sender may have become leader since it replied to an earlier campaign.
	}
	c.replied[e.From] = true
	switch {
	case reply.Granted && reply.Fresh:
		c.conditionalVotes[e.From] = true
	case reply.Granted:
		c.votes[e.From] = true
	}
	c.countVotes()
}

// stepVoteReply counts a granted vote.
func (c *Core) stepVoteReply(e Envelope, reply VoteReply) {
	if c.role != RoleCandidate || reply.Pre || !reply.Granted {
		return
	}
	c.votes[e.From] = true
	c.countVotes()
}

// countVotes goes on to the next step of the campaign when a quorum has granted
// its votes. Conditional pre-votes count only once all voters have replied.
func (c *Core) countVotes() {
	voters := c.Membership().Voters()
	votes, conditionalVotes, replied := 0, 0, 0
	for _, id := range voters {
		switch {
		case c.votes[id]:
			votes++
		case c.conditionalVotes[id]:
			conditionalVotes++
		}
		if c.replied[id] {
			replied++
		}
	}
	quorum := c.Membership().Quorum()
	switch {
	case c.role == RoleCandidate && votes >= quorum:
		c.becomeLeader()
	case c.role != RolePreCandidate:
	case votes >= quorum && !c.now.Before(c.noVoteUntil):
		c.startCampaign(voteCampaign) // Like any other vote, this member's own is not cast before noVoteUntil.
	case replied == len(voters) && votes+conditionalVotes >= quorum:
		c.startCampaign(allFreshCampaign)
	}
}

// becomeLeader starts to lead the current term.
func (c *Core) becomeLeader() {
	c.leader = c.ID
	c.noLeaderSeen = false
	c.setRole(RoleLeader, CauseElected, c.sinceContact())
	c.peers = map[string]*progress{}
	c.heartbeatAt = c.now
	c.electedAt = c.now
	c.syncPeers()
	// Entries of earlier terms can be committed only along with one of this term.
	c.appendEntry(recorder.Entry{Index: c.lastIndex() + 1, Term: c.hardState.Term, Kind: recorder.EntryNoop})
}

// syncPeers makes peers hold one progress for each other member of the newest
// membership.
func (c *Core) syncPeers() {
	m := c.Membership()
	for _, mem := range m.Members {
		if _, ok := c.peers[mem.ID]; !ok && mem.ID != c.ID {
			c.peers[mem.ID] = &progress{nextIndex: c.lastIndex() + 1, trackedSince: c.now}
		}
	}
	for id := range c.peers {
		if _, ok := m.Find(id); !ok {
			delete(c.peers, id)
		}
	}
}

// followLeader records contact with the leader of the current term.
func (c *Core) followLeader(leader string) {
	same := c.leader == "" || c.leader == leader
	asserter.Check(same, "oneLeaderPerTerm", "term %d has two leaders: %s and %s", c.hardState.Term, c.leader, leader)
	if c.role != RoleFollower {
		c.becomeFollower(c.hardState.Term, leader, CauseOtherLeader)
	}
	c.leader = leader
	c.noLeaderSeen = false
	c.noVoteUntil = c.now.Add(c.ElectionTimeout)
	c.resetElectionTimer()
}

// stepAppend appends the entries of the leader if they follow this member's log,
// and replies with the matching index or with a hint where the logs may match.
func (c *Core) stepAppend(e Envelope, req AppendRequest) {
	c.followLeader(e.From)
	if req.PrevIndex < c.snapshot.Index {
		// The request overlaps the snapshot, and everything in the snapshot is committed.
		c.queueMessage(e.From, AppendReply{Match: c.commit, SentAt: req.SentAt})
		return
	}
	if t, ok := c.termAt(req.PrevIndex); !ok || t != req.PrevTerm {
		hint := min(c.lastIndex(), req.PrevIndex-1)
		if ok {
			hint = c.commit
		}
		c.queueMessage(e.From, AppendReply{Match: hint, Rejected: true, SentAt: req.SentAt})
		return
	}
	for _, entry := range req.Entries {
		if t, ok := c.termAt(entry.Index); ok && t == entry.Term {
			continue
		}
		if entry.Index <= c.lastIndex() && !c.truncateFrom(entry.Index) {
			return
		}
		c.appendEntry(entry)
	}
	match := req.PrevIndex + uint64(len(req.Entries))
	c.commit = max(c.commit, min(req.Commit, match))
	c.queueMessage(e.From, AppendReply{Match: match, SentAt: req.SentAt})
}

// stepAppendReply updates a member's progress and advances the commit index.
func (c *Core) stepAppendReply(e Envelope, reply AppendReply) {
	p, ok := c.peers[e.From]
	if c.role != RoleLeader || !ok {
		return
	}
	if sent := c.epoch.Add(time.Duration(reply.SentAt)); sent.After(p.ackedAt) && !sent.After(c.now) {
		p.ackedAt = sent
	}
	if reply.Rejected {
		p.nextIndex = max(p.matchIndex+1, min(reply.Match+1, p.nextIndex))
		return
	}
	if !asserter.Check(reply.Match <= c.lastIndex(), "matchWithinLog", "member %s reports match index %d, last index is %d", e.From, reply.Match, c.lastIndex()) {
		return
	}
	if reply.Match > p.matchIndex {
		p.matchIndex = reply.Match
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	}
	c.advanceCommit()
}

// stepSnapshot replaces this member's state by the leader's snapshot, unless
// everything in it is committed here already.
func (c *Core) stepSnapshot(e Envelope, req SnapshotRequest) {
	c.followLeader(e.From)
	s := req.Snapshot
	if s.Index <= c.commit {
		c.queueMessage(e.From, AppendReply{Match: c.commit, SentAt: req.SentAt})
		return
	}
	m, err := decodeMembership(s.Membership)
	if err != nil {
		return
	}
	// This member may have acknowledged entries after the snapshot; they are kept if
	// its log agrees with the snapshot.
	var rest []recorder.Entry
	if t, ok := c.termAt(s.Index); ok && t == s.Term {
		rest = slices.Clone(c.entriesFrom(s.Index + 1))
	}
	c.snapshot, c.baseMembership, c.entries = s, m, rest
	c.latestMembership = nil
	c.commit, c.lastEmitted = s.Index, s.Index
	c.effects.Snapshot = &s
	c.queueMessage(e.From, AppendReply{Match: s.Index, SentAt: req.SentAt})
}
