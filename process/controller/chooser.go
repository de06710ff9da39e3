package controller

import (
	"slices"
	"time"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

const (
	// silentLimit is how long a member may be silent before it is replaced, or
	// removed if the group can do without it.
	silentLimit = 4 * time.Second
	// freshLimit is how lately a learner must have answered to become a voter.
	freshLimit = 500 * time.Millisecond
)

// chooser decides which members of a group vote. It does no I/O.
//
// Load pattern: every voter costs the leader heartbeats and waiting for answers,
// and with an even number of voters a cut into two halves leaves no quorum. So a
// group has no more voters than it takes to bear the losses of the settings, and
// its other members only receive the log and serve nodes.
type chooser struct {
	now      time.Time
	wanted   int // wanted is the number of voters; 0 lets every member vote.
	founders int // founders is the number of voters that the group began with.
}

// next returns the leader's next change of members, if there is any. A silent
// voter is replaced before it is removed, so that there are never fewer copies.
func (p chooser) next(s replicator.Status) (messenger.MemberAction, replicator.Member, bool) {
	if mem, ok := p.promotable(s); ok {
		return messenger.MemberPromote, mem, true
	}
	surplus := len(s.Membership.Voters()) > p.founders
	i := slices.IndexFunc(s.Membership.Members, func(m replicator.Member) bool {
		return p.silence(s, m) >= silentLimit && (m.Learner || surplus)
	})
	if i < 0 {
		return "", replicator.Member{}, false
	}
	return messenger.MemberRemove, s.Membership.Members[i], true
}

// promotable returns a learner that is to become a voter.
func (p chooser) promotable(s replicator.Status) (replicator.Member, bool) {
	heard := 0
	for _, m := range s.Membership.Members {
		if !m.Learner && p.silence(s, m) < silentLimit {
			heard++
		}
	}
	if p.wanted > 0 && heard >= p.wanted {
		return replicator.Member{}, false
	}
	i := slices.IndexFunc(s.Membership.Members, func(m replicator.Member) bool {
		return m.Learner && p.silence(s, m) < freshLimit && !s.Lags(m.ID)
	})
	if i < 0 {
		return replicator.Member{}, false
	}
	return s.Membership.Members[i], true
}

// silence returns how long the leader has not heard from a member.
func (p chooser) silence(s replicator.Status, m replicator.Member) time.Duration {
	since, ok := s.LastContact(m.ID)
	if !ok {
		return 0 // It is the leader itself.
	}
	return p.now.Sub(since)
}
