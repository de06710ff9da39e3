package replicator

import "time"

const (
	// learnerHeartbeatFactor is the time between two heartbeats to a learner that has all,
	// in heartbeats. It stays well below the election timeout, after which a learner
	// looks for the group again.
	learnerHeartbeatFactor = 2
	// stallThreshold is the time between two ticks from which this member had no
	// processor.
	stallThreshold = 50 * time.Millisecond
	// graceDivisor is the part of the election timeout, one in so many, that a leader
	// gives the others after that.
	graceDivisor = 2
	// maxGraceTimeouts bounds the silence that is excused, in election timeouts: a leader
	// that gets hardly any processor at all leaves the lead to others.
	maxGraceTimeouts = 10
)

// Tick moves time. now must never go back.
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
		c.leader = "" // A learner looks for the group; it cannot lead it.
		return
	}
	c.startCampaign(preVoteCampaign)
}

// compensateStall gives the other members time after a pause of this one, which got no
// processor: what they sent meanwhile is still to be read, so their silence means
// nothing yet. Leases and votes go by the time that has really passed.
func (c *Core) compensateStall(now time.Time) {
	stall, first := now.Sub(c.lastTickAt), c.lastTickAt.IsZero()
	c.lastTickAt = now
	if first || stall < stallThreshold {
		return
	}
	c.campaignAt = c.campaignAt.Add(min(stall, c.ElectionTimeout))
	c.quorumGraceUntil = now.Add(c.ElectionTimeout / graceDivisor)
}

func (c *Core) tickLeader() {
	// A request to take over may still be on its way, so a leader that failed
	// to hand over cannot take up its lease again in this term.
	late := c.transferTarget != "" && c.now.After(c.transferDeadline)
	if late {
		c.becomeFollower(c.hardState.Term, "", CauseTransfer)
		return
	}
	silent := c.now.Sub(c.quorumContactAt())
	excused := !c.now.After(c.quorumGraceUntil) && silent <= maxGraceTimeouts*c.ElectionTimeout
	if silent > c.ElectionTimeout && !excused {
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

// heartbeatDue reports whether a member gets a heartbeat now. A learner that has all
// renews no lease, so it gets fewer of them.
func (c *Core) heartbeatDue(id string, p *progress) bool {
	behind := p.sentCommit < c.commit || p.matchIndex < c.lastIndex()
	return behind || !c.now.Before(p.heartbeatAt) || c.Membership().IsVoter(id)
}

// quorumContactAt returns since when this leader has been without a quorum's answer.
func (c *Core) quorumContactAt() time.Time {
	if heard := c.quorumAckedAt(); heard.After(c.electedAt) {
		return heard
	}
	return c.electedAt
}

// sendHeartbeat sends a heartbeat. A member that needs a snapshot gets one without
// a matching place in the log, which still renews the lease.
func (c *Core) sendHeartbeat(id string) {
	if c.peers[id].nextIndex > c.snapshot.Index {
		c.sendAppend(id, nil)
		return
	}
	c.queueMessage(id, AppendRequest{PrevIndex: c.lastIndex(), PrevTerm: c.TermAt(c.lastIndex()), SentAt: c.timestamp()})
}
