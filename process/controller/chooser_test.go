package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

// membershipSim applies the changes of a voterChooser to a group's membership.
type membershipSim struct {
	voterChooser
	status replicator.Status
}

// newMembershipSim returns a group of n members: three initial voters, of which m0
// leads, and learners.
func newMembershipSim(n, wanted int) *membershipSim {
	c := &membershipSim{voterChooser: voterChooser{now: time.Unix(1000, 0), wantedVoters: wanted, initialVoters: 3}}
	for i := range n {
		id := fmt.Sprintf("m%d", i)
		c.status.Membership = c.status.Membership.WithMember(replicator.Member{ID: id, Learner: i >= 3})
		if i > 0 {
			c.recordReply(id)
		}
	}
	return c
}

// recordReply records a reply of a member at the current time.
func (c *membershipSim) recordReply(id string) { c.status = c.status.WithLastContact(id, c.now) }

// settle applies changes until none is left. It returns the minimum number of
// voters on the way, and the minimum number of voters that reply.
func (c *membershipSim) settle(t *testing.T, silent map[string]bool) (minVoters, minResponsive int) {
	t.Helper()
	minVoters = len(c.status.Membership.Members)
	minResponsive = minVoters
	for range 50 {
		responsive := 0
		for _, id := range c.status.Membership.Voters() {
			if !silent[id] {
				responsive++
			}
		}
		minResponsive = min(minResponsive, responsive)
		minVoters = min(minVoters, len(c.status.Membership.Voters()))
		action, m, ok := c.nextChange(c.status)
		switch {
		case !ok:
			return minVoters, minResponsive
		case action == messenger.MemberPromote:
			m.Learner = false
			c.status.Membership = c.status.Membership.WithMember(m)
		default:
			c.status.Membership = c.status.Membership.Without(m.ID)
		}
	}
	t.Fatal("more than 50 membership changes; they do not converge")
	return minVoters, minResponsive
}

// TestHalvesKeepAQuorum guards against an even number of voters, with which a
// partition into halves leaves no quorum. Ten control hosts are partitioned in every
// way; with the five voters that tolerate two losses, one side keeps a quorum.
func TestHalvesKeepAQuorum(t *testing.T) {
	is := is.New(t)
	c := newMembershipSim(10, 5)
	c.settle(t, nil)
	voters := c.status.Membership.Voters()
	is.Equal(len(voters), 5)
	for partition := range 1 << 10 {
		votersInside := 0
		for _, id := range voters {
			var i int
			_, err := fmt.Sscanf(id, "m%d", &i)
			is.NoErr(err)
			votersInside += partition >> i & 1
		}
		quorum := c.status.Membership.Quorum()
		is.True(votersInside >= quorum || len(voters)-votersInside >= quorum)
	}
}

// TestFailedVoterIsReplaced guards against a drop in the number of replicas when
// voters fail: two of five voters stop replying, and two learners are promoted
// before the failed voters are removed.
func TestFailedVoterIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newMembershipSim(10, 5)
	c.settle(t, nil)
	silent := map[string]bool{"m1": true, "m2": true}
	c.now = c.now.Add(voterTimeout)
	for i := range 10 {
		if id := fmt.Sprintf("m%d", i); i > 0 && !silent[id] {
			c.recordReply(id)
		}
	}
	minVoters, minResponsive := c.settle(t, silent)
	is.Equal(minVoters, 5) // no voter is removed before its replacement is promoted
	is.Equal(minResponsive, 3)
	is.Equal(len(c.status.Membership.Voters()), 5)
	is.Equal(len(c.status.Membership.Members), 8)
	for id := range silent {
		_, found := c.status.Membership.Find(id)
		is.True(!found)
	}
}

// TestOnlyLearnersThatKeepUpVote guards against promoting a learner that does not
// reply or lags behind the log. Without a number of voters every member votes.
func TestOnlyLearnersThatKeepUpVote(t *testing.T) {
	is := is.New(t)
	c := newMembershipSim(6, 5)
	c.status.Lagging = []replicator.Lag{{ID: "m3", Entries: 1}}
	c.status = c.status.WithLastContact("m4", c.now.Add(-maxPromoteReplyAge))
	c.settle(t, nil)
	is.Equal(len(c.status.Membership.Voters()), 4)
	is.True(c.status.Membership.IsVoter("m5"))
	all := newMembershipSim(10, 0)
	all.settle(t, nil)
	is.Equal(len(all.status.Membership.Voters()), 10)
}
