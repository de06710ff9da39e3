package replicator

import "time"

const (
	// learnerBeats is the time between two heartbeats to a learner that has all,
	// in heartbeats. It stays well below the election timeout, after which a learner
	// looks for the group again.
	learnerBeats = 2
	// stallLimit is the time between two ticks from which this member had no
	// processor.
	stallLimit = 50 * time.Millisecond
	// excusePart is the part of the election timeout, one in so many, that a leader
	// gives the others after that.
	excusePart = 2
	// mostExcused bounds the silence that is excused, in election timeouts: a leader
	// that gets hardly any processor at all leaves the lead to others.
	mostExcused = 10
)

// Tick moves time. now must never go back.
func (c *Core) Tick(now time.Time) {
	c.excuseStall(now)
	c.now = now
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if now.Before(c.electionAt) {
		return
	}
	if !c.Membership().IsVoter(c.ID) {
		c.leader = "" // A learner looks for the group; it cannot lead it.
		return
	}
	c.campaign(askPre)
}

// excuseStall gives the other members time after a pause of this one, which got no
// processor: what they sent meanwhile is still to be read, so their silence means
// nothing yet. Leases and votes go by the time that has really passed.
func (c *Core) excuseStall(now time.Time) {
	stall, first := now.Sub(c.tickedAt), c.tickedAt.IsZero()
	c.tickedAt = now
	if first || stall < stallLimit {
		return
	}
	c.electionAt = c.electionAt.Add(min(stall, c.ElectionTimeout))
	c.excusedTill = now.Add(c.ElectionTimeout / excusePart)
}

func (c *Core) tickLeader() {
	// A request to take over may still be on its way, so a leader that failed
	// to hand over cannot take up its lease again in this term.
	late := c.transferTo != "" && c.now.After(c.transferBy)
	if late {
		c.becomeFollower(c.hard.Term, "", CauseTransfer)
		return
	}
	silent := c.now.Sub(c.heardAt())
	excused := !c.now.After(c.excusedTill) && silent <= mostExcused*c.ElectionTimeout
	if silent > c.ElectionTimeout && !excused {
		c.becomeFollower(c.hard.Term, "", CauseNoQuorum)
		return
	}
	if c.now.Before(c.beatAt) {
		return
	}
	c.beatAt = c.now.Add(c.HeartbeatInterval)
	for id, p := range c.peers {
		if c.beatDue(id, p) {
			p.beatAt = c.now.Add(learnerBeats * c.HeartbeatInterval)
			c.sendBeat(id)
		}
	}
}

// beatDue reports whether a member gets a heartbeat now. A learner that has all
// renews no lease, so it gets fewer of them.
func (c *Core) beatDue(id string, p *progress) bool {
	behind := p.told < c.commit || p.match < c.last()
	return behind || !c.now.Before(p.beatAt) || c.Membership().IsVoter(id)
}

// heardAt returns since when this leader has been without a quorum's answer.
func (c *Core) heardAt() time.Time {
	if heard := c.quorumAck(); heard.After(c.electedAt) {
		return heard
	}
	return c.electedAt
}

// sendBeat sends a heartbeat. A member that needs a snapshot gets one without
// a matching place in the log, which still renews the lease.
func (c *Core) sendBeat(id string) {
	if c.peers[id].next > c.snapshot.Index {
		c.sendAppend(id, nil)
		return
	}
	c.send(id, AppendRequest{PrevIndex: c.last(), PrevTerm: c.TermAt(c.last()), SentAt: c.stamp()})
}
