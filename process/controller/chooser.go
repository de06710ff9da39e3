package controller

import (
	"slices"
	"time"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

const (
	// voterTimeout is the time without a reply after which a voter is replaced, or removed
	// if the group has enough voters without it. With the changes themselves it stays well
	// below the 4 s after which the platform may take the next host: until the lost voter is
	// removed, the group has no other one to spare.
	voterTimeout = 2500 * time.Millisecond
	// learnerTimeout is the time without a reply after which a learner is removed, which
	// hurries nobody.
	learnerTimeout = 4 * time.Second
	// maxPromoteReplyAge is the maximum time since the last reply of a learner that
	// is promoted to voter.
	maxPromoteReplyAge = 500 * time.Millisecond
)

// voterChooser decides which members of a group vote. It does no I/O.
//
// Load pattern: every voter costs the leader heartbeats and replies to wait for,
// and with an even number of voters a partition into two halves leaves no quorum.
// So a group has no more voters than are needed to tolerate the number of lost
// hosts in the settings; its other members only receive the log and serve nodes.
type voterChooser struct {
	now           time.Time
	wantedVoters  int // wantedVoters is the intended number of voters; 0 lets every member vote.
	initialVoters int // initialVoters is the number of voters that the group began with.
}

// nextChange returns the next membership change for the leader to make; the last
// result is false when there is none. A voter that does not reply is replaced before it is
// removed, so that the number of replicas never drops.
func (c voterChooser) nextChange(s replicator.Status) (messenger.MemberAction, replicator.Member, bool) {
	if mem, ok := c.promotableLearner(s); ok {
		return messenger.MemberPromote, mem, true
	}
	surplus := len(s.Membership.Voters()) > c.initialVoters
	i := slices.IndexFunc(s.Membership.Members, func(m replicator.Member) bool {
		if m.Learner {
			return c.sinceLastReply(s, m) >= learnerTimeout
		}
		return surplus && c.sinceLastReply(s, m) >= voterTimeout
	})
	if i < 0 {
		return "", replicator.Member{}, false
	}
	return messenger.MemberRemove, s.Membership.Members[i], true
}

// promotableLearner returns a learner to promote to voter. The last result is
// false when no voter is wanted, or no learner has replied lately and stores the
// whole log.
func (c voterChooser) promotableLearner(s replicator.Status) (replicator.Member, bool) {
	responsive := 0
	for _, m := range s.Membership.Members {
		if !m.Learner && c.sinceLastReply(s, m) < voterTimeout {
			responsive++
		}
	}
	if c.wantedVoters > 0 && responsive >= c.wantedVoters {
		return replicator.Member{}, false
	}
	i := slices.IndexFunc(s.Membership.Members, func(m replicator.Member) bool {
		return m.Learner && c.sinceLastReply(s, m) < maxPromoteReplyAge && !s.Lags(m.ID)
	})
	if i < 0 {
		return replicator.Member{}, false
	}
	return s.Membership.Members[i], true
}

// sinceLastReply returns the time since the leader received the last reply of a
// member.
func (c voterChooser) sinceLastReply(s replicator.Status, m replicator.Member) time.Duration {
	since, ok := s.LastContact(m.ID)
	if !ok {
		return 0 // The member is the leader itself.
	}
	return c.now.Sub(since)
}
