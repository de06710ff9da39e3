package replicator

import (
	"slices"
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/process/recorder"
)

// Step takes one message in. now must never go back.
func (c *Core) Step(now time.Time, e Envelope) {
	c.now = now
	if e.To != c.ID {
		return // The sender means the host's earlier disk.
	}
	if req, ok := e.Message.(VoteRequest); ok {
		c.stepVoteRequest(e, req)
		return
	}
	if reply, ok := e.Message.(VoteReply); ok && reply.Pre {
		c.stepPreVoteReply(e, reply)
		return
	}
	if e.Term > c.hard.Term {
		c.becomeFollower(e.Term, "", CauseNewerTerm)
	}
	if e.Term < c.hard.Term {
		c.refuseStale(e)
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
			c.campaign(askTransfer)
		}
	}
}

// refuseStale tells a leader of an earlier term that its time is over.
func (c *Core) refuseStale(e Envelope) {
	switch m := e.Message.(type) {
	case AppendRequest:
		c.send(e.From, AppendReply{Rejected: true, SentAt: m.SentAt})
	case SnapshotRequest:
		c.send(e.From, AppendReply{Rejected: true, SentAt: m.SentAt})
	}
}

func (c *Core) becomeFollower(term uint64, leader string, cause Cause) {
	if term > c.hard.Term {
		c.setHard(term, "")
	}
	c.leader = leader
	c.turn(RoleFollower, cause, c.silence())
	c.votes, c.peers = nil, nil
	c.transferTo = ""
	c.resetElection()
}

// campaign asks for votes. A pre-vote leaves the term as it is, so a member that
// a partition has left alone does not disturb the group on its return.
func (c *Core) campaign(request VoteRequest) {
	c.leader = ""
	c.votes = map[string]bool{c.ID: true}
	c.freshVotes = map[string]bool{}
	c.answered = map[string]bool{c.ID: true}
	role, part, cause := RolePreCandidate, preVotePart, CauseLeaderTimeout
	if !request.Pre {
		role, part = RoleCandidate, votePart
		c.setHard(c.hard.Term+1, c.ID)
	}
	if request.Transfer {
		cause = CauseTransfer
	}
	c.turn(role, cause, c.silence())
	c.electionAt = c.soon(part)
	c.round++
	request.Round = c.round
	request.LastIndex = c.last()
	request.LastTerm, _ = c.termAt(c.last())
	for _, id := range c.Membership().Voters() {
		if id != c.ID {
			c.send(id, request)
		}
	}
	c.countVotes()
}

// The kinds of campaigns.
var (
	askPre      = VoteRequest{Pre: true}
	askVote     = VoteRequest{}
	askTransfer = VoteRequest{Transfer: true}
	askFresh    = VoteRequest{AllFresh: true}
)

// yieldElection holds this member's own candidacy back for another's, whose
// votes this member's would split.
func (c *Core) yieldElection() {
	if till := c.soon(preVotePart); till.After(c.electionAt) {
		c.electionAt = till
	}
}

// soon returns a moment after a part of the election timeout, at the latest
// after twice that part.
func (c *Core) soon(part int) time.Time {
	least := c.ElectionTimeout / time.Duration(part)
	return c.now.Add(least + time.Duration(c.Rand.Int64N(int64(least))))
}

// stepVoteRequest gives a vote only if no leader was heard from lately, so
// that a leader's lease holds until its deadline.
func (c *Core) stepVoteRequest(e Envelope, req VoteRequest) {
	led := c.role == RoleLeader && c.transferTo == ""
	sticky := c.now.Before(c.stickyTill)
	switch {
	case req.Transfer:
	case led:
		return
	case sticky && !(c.fresh && (req.Pre || req.AllFresh)):
		return
	}
	if req.Pre {
		granted := e.Term >= c.hard.Term && c.upToDate(req)
		if granted {
			c.yieldElection()
		}
		// Once all voters have answered, none of them can have a leader's lease: whoever
		// had one is among them and leads no more.
		c.send(e.From, VoteReply{Pre: true, Fresh: sticky, Granted: granted, Round: req.Round})
		return
	}
	if e.Term < c.hard.Term {
		c.send(e.From, VoteReply{})
		return
	}
	if e.Term > c.hard.Term {
		c.becomeFollower(e.Term, "", CauseNewerTerm)
	}
	granted := (c.hard.Vote == "" || c.hard.Vote == e.From) && c.upToDate(req)
	if granted {
		c.setHard(e.Term, e.From)
		c.resetElection()
	}
	c.send(e.From, VoteReply{Granted: granted})
}

func (c *Core) upToDate(req VoteRequest) bool {
	lastTerm, _ := c.termAt(c.last())
	if req.LastTerm != lastTerm {
		return req.LastTerm > lastTerm
	}
	return req.LastIndex >= c.last()
}

func (c *Core) stepPreVoteReply(e Envelope, reply VoteReply) {
	if e.Term > c.hard.Term && !reply.Granted && !reply.Fresh {
		c.becomeFollower(e.Term, "", CauseNewerTerm)
		return
	}
	if c.role != RolePreCandidate || reply.Round != c.round {
		return // Whoever answered an earlier campaign may lead by now.
	}
	c.answered[e.From] = true
	switch {
	case reply.Granted && reply.Fresh:
		c.freshVotes[e.From] = true
	case reply.Granted:
		c.votes[e.From] = true
	}
	c.countVotes()
}

func (c *Core) stepVoteReply(e Envelope, reply VoteReply) {
	if c.role != RoleCandidate || reply.Pre || !reply.Granted {
		return
	}
	c.votes[e.From] = true
	c.countVotes()
}

func (c *Core) countVotes() {
	voters := c.Membership().Voters()
	votes, freshVotes, answered := 0, 0, 0
	for _, id := range voters {
		switch {
		case c.votes[id]:
			votes++
		case c.freshVotes[id]:
			freshVotes++
		}
		if c.answered[id] {
			answered++
		}
	}
	quorum := c.Membership().Quorum()
	switch {
	case c.role == RoleCandidate && votes >= quorum:
		c.becomeLeader()
	case c.role != RolePreCandidate:
	case votes >= quorum && !c.now.Before(c.stickyTill):
		c.campaign(askVote) // This member's own vote binds it like the others'.
	case answered == len(voters) && votes+freshVotes >= quorum:
		c.campaign(askFresh)
	}
}

func (c *Core) becomeLeader() {
	c.leader = c.ID
	c.fresh = false
	c.turn(RoleLeader, CauseElected, c.silence())
	c.peers = map[string]*progress{}
	c.beatAt = c.now
	c.electedAt = c.now
	c.syncPeers()
	// The first entry of the own term is what lets earlier ones be committed.
	c.append(recorder.Entry{Index: c.last() + 1, Term: c.hard.Term, Kind: recorder.EntryNoop})
}

// syncPeers makes one progress for each other member.
func (c *Core) syncPeers() {
	m := c.Membership()
	for _, mem := range m.Members {
		if _, ok := c.peers[mem.ID]; !ok && mem.ID != c.ID {
			c.peers[mem.ID] = &progress{next: c.last() + 1, knownSince: c.now}
		}
	}
	for id := range c.peers {
		if _, ok := m.Find(id); !ok {
			delete(c.peers, id)
		}
	}
}

func (c *Core) followLeader(leader string) {
	same := c.leader == "" || c.leader == leader
	asserter.Check(same, "oneLeaderPerTerm", "term %d: %s and %s", c.hard.Term, c.leader, leader)
	if c.role != RoleFollower {
		c.becomeFollower(c.hard.Term, leader, CauseOtherLeader)
	}
	c.leader = leader
	c.fresh = false
	c.stickyTill = c.now.Add(c.ElectionTimeout)
	c.resetElection()
}

func (c *Core) stepAppend(e Envelope, req AppendRequest) {
	c.followLeader(e.From)
	if req.PrevIndex < c.snapshot.Index {
		// The request overlaps what the snapshot covers, which is committed.
		c.send(e.From, AppendReply{Match: c.commit, SentAt: req.SentAt})
		return
	}
	if t, ok := c.termAt(req.PrevIndex); !ok || t != req.PrevTerm {
		hint := min(c.last(), req.PrevIndex-1)
		if ok {
			hint = c.commit
		}
		c.send(e.From, AppendReply{Match: hint, Rejected: true, SentAt: req.SentAt})
		return
	}
	for _, entry := range req.Entries {
		if t, ok := c.termAt(entry.Index); ok && t == entry.Term {
			continue
		}
		if entry.Index <= c.last() && !c.truncate(entry.Index) {
			return
		}
		c.append(entry)
	}
	match := req.PrevIndex + uint64(len(req.Entries))
	c.commit = max(c.commit, min(req.Commit, match))
	c.send(e.From, AppendReply{Match: match, SentAt: req.SentAt})
}

func (c *Core) stepAppendReply(e Envelope, reply AppendReply) {
	p, ok := c.peers[e.From]
	if c.role != RoleLeader || !ok {
		return
	}
	if sent := c.epoch.Add(time.Duration(reply.SentAt)); sent.After(p.ackedAt) && !sent.After(c.now) {
		p.ackedAt = sent
	}
	if reply.Rejected {
		p.next = max(p.match+1, min(reply.Match+1, p.next))
		return
	}
	if !asserter.Check(reply.Match <= c.last(), "matchWithinLog", "%s says %d of %d", e.From, reply.Match, c.last()) {
		return
	}
	if reply.Match > p.match {
		p.match = reply.Match
		p.next = max(p.next, p.match+1)
	}
	c.advanceCommit()
}

func (c *Core) stepSnapshot(e Envelope, req SnapshotRequest) {
	c.followLeader(e.From)
	s := req.Snapshot
	if s.Index <= c.commit {
		c.send(e.From, AppendReply{Match: c.commit, SentAt: req.SentAt})
		return
	}
	m, err := decodeMembership(s.Membership)
	if err != nil {
		return
	}
	// Entries that follow the same history may be acknowledged already.
	var rest []recorder.Entry
	if t, ok := c.termAt(s.Index); ok && t == s.Term {
		rest = slices.Clone(c.from(s.Index + 1))
	}
	c.snapshot, c.base, c.entries = s, m, rest
	c.newest = nil
	c.commit, c.handed = s.Index, s.Index
	c.effects.Snapshot = &s
	c.send(e.From, AppendReply{Match: s.Index, SentAt: req.SentAt})
}
