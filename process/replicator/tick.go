package replicator

import "time"

const (
	// learnerHeartbeatFactor is the time between two heartbeats to an up-to-date
	// learner, in heartbeat intervals. The product must stay well below the election
	// timeout, after which a learner drops its leader and searches for the group again.
	learnerHeartbeatFactor = 2
	// stallThreshold is the least time between two ticks that counts as a stall, in
	// which this member got no processor time.
	stallThreshold = 50 * time.Millisecond
	// graceDivisor gives the other members the election timeout divided by it to
	// reply after this leader has stalled.
	graceDivisor = 2
	// maxGraceTimeouts bounds the time without a quorum that stalls can excuse, in
	// election timeouts: a leader with hardly any processor time steps down.
	maxGraceTimeouts = 10
)

// Tick advances the time to now and does what has become due: heartbeats, a
// campaign, or stepping down. now must never decrease.
func (c *Core) Tick(now time.Time) {
	c.compensateStall(now)
	c.now = now
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if now.Before(c.campaignAt) {
		return
	}
	if !c.Membership().IsVoter(c.ID) {
		c.leader = "" // A learner cannot campaign; without a leader it searches for the group again.
		return
	}
	c.startCampaign(preVoteCampaign)
}

// compensateStall extends the campaign time and the quorum grace after this member
// got no processor time: messages that arrived meanwhile are still unread, so a
// missing message is no sign of a failure yet. Leases and votes still go by the
// time that has actually passed.
func (c *Core) compensateStall(now time.Time) {
	stall, first := now.Sub(c.lastTickAt), c.lastTickAt.IsZero()
	c.lastTickAt = now
	if first || stall < stallThreshold {
		return
	}
	c.campaignAt = c.campaignAt.Add(min(stall, c.ElectionTimeout))
	c.quorumGraceUntil = now.Add(c.ElectionTimeout / graceDivisor)
}

// tickLeader steps down after a late transfer or without a quorum, and otherwise
// sends the heartbeats that are due.
func (c *Core) tickLeader() {
	// The TransferRequest may still be in flight and start an election, so a leader
	// whose transfer failed cannot use its lease again in this term.
	late := c.transferTarget != "" && c.now.After(c.transferDeadline)
	if late {
		c.becomeFollower(c.hardState.Term, "", CauseTransfer)
		return
	}
	sinceQuorum := c.now.Sub(c.quorumContactAt())
	excused := !c.now.After(c.quorumGraceUntil) && sinceQuorum <= maxGraceTimeouts*c.ElectionTimeout
	if sinceQuorum > c.ElectionTimeout && !excused {
		c.becomeFollower(c.hardState.Term, "", CauseNoQuorum)
		return
	}
	if c.now.Before(c.heartbeatAt) {
		return
	}
	c.heartbeatAt = c.now.Add(c.HeartbeatInterval)
	for id, p := range c.peers {
		if c.heartbeatDue(id, p) {
			p.heartbeatAt = c.now.Add(learnerHeartbeatFactor * c.HeartbeatInterval)
			c.sendHeartbeat(id)
		}
	}
}

// heartbeatDue reports whether a member gets a heartbeat now. An up-to-date learner
// gets fewer of them, since its replies do not renew the lease.
func (c *Core) heartbeatDue(id string, p *progress) bool {
	behind := p.sentCommit < c.commit || p.matchIndex < c.lastIndex()
	return behind || !c.now.Before(p.heartbeatAt) || c.Membership().IsVoter(id)
}

// quorumContactAt returns quorumAckedAt, or the time of the election when no
// quorum has replied since.
func (c *Core) quorumContactAt() time.Time {
	if ackedAt := c.quorumAckedAt(); ackedAt.After(c.electedAt) {
		return ackedAt
	}
	return c.electedAt
}

// sendHeartbeat queues an AppendRequest without entries. For a member that needs a
// snapshot it refers to the end of the log: the member rejects it, but its reply
// still renews the lease.
func (c *Core) sendHeartbeat(id string) {
	if c.peers[id].nextIndex > c.snapshot.Index {
		c.sendAppend(id, nil)
		return
	}
	c.queueMessage(id, AppendRequest{PrevIndex: c.lastIndex(), PrevTerm: c.TermAt(c.lastIndex()), SentAt: c.timestamp()})
}
