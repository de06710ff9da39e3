package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

// chosen follows a chooser over the changes that it makes.
type chosen struct {
	chooser
	status replicator.Status
}

// newChosen has a group of three founders, of which m0 leads, and learners up to n.
func newChosen(n, wanted int) *chosen {
	c := &chosen{chooser: chooser{now: time.Unix(1000, 0), wanted: wanted, founders: 3}}
	for i := range n {
		id := fmt.Sprintf("m%d", i)
		c.status.Membership = c.status.Membership.WithMember(replicator.Member{ID: id, Learner: i >= 3})
		if i > 0 {
			c.heard(id)
		}
	}
	return c
}

func (c *chosen) heard(id string) { c.status = c.status.WithLastContact(id, c.now) }

// settle makes changes until there are none left, and returns the least number of
// voters in between, and of those that answer.
func (c *chosen) settle(t *testing.T, silent map[string]bool) (voters, least int) {
	t.Helper()
	voters = len(c.status.Membership.Members)
	least = voters
	for range 50 {
		answering := 0
		for _, id := range c.status.Membership.Voters() {
			if !silent[id] {
				answering++
			}
		}
		least = min(least, answering)
		voters = min(voters, len(c.status.Membership.Voters()))
		action, m, ok := c.next(c.status)
		switch {
		case !ok:
			return voters, least
		case action == messenger.MemberPromote:
			m.Learner = false
			c.status.Membership = c.status.Membership.WithMember(m)
		default:
			c.status.Membership = c.status.Membership.Without(m.ID)
		}
	}
	t.Fatal("changes without end")
	return voters, least
}

// TestHalvesKeepAQuorum cuts ten control hosts into two halves, in every way: with
// as many voters as it takes to bear two losses, one half can go on.
func TestHalvesKeepAQuorum(t *testing.T) {
	is := is.New(t)
	c := newChosen(10, 5)
	c.settle(t, nil)
	voters := c.status.Membership.Voters()
	is.Equal(len(voters), 5)
	for half := range 1 << 10 {
		in := 0
		for _, id := range voters {
			var i int
			_, err := fmt.Sscanf(id, "m%d", &i)
			is.NoErr(err)
			in += half >> i & 1
		}
		quorum := c.status.Membership.Quorum()
		is.True(in >= quorum || len(voters)-in >= quorum)
	}
}

// TestSilentVoterIsReplaced silences two of five voters for good: two learners take
// their places before they go, so that there are never fewer copies than before.
func TestSilentVoterIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newChosen(10, 5)
	c.settle(t, nil)
	silent := map[string]bool{"m1": true, "m2": true}
	c.now = c.now.Add(silentLimit)
	for i := range 10 {
		if id := fmt.Sprintf("m%d", i); i > 0 && !silent[id] {
			c.heard(id)
		}
	}
	fewest, least := c.settle(t, silent)
	is.Equal(fewest, 5) // nobody goes before another has come
	is.Equal(least, 3)
	is.Equal(len(c.status.Membership.Voters()), 5)
	is.Equal(len(c.status.Membership.Members), 8)
	for id := range silent {
		_, found := c.status.Membership.Find(id)
		is.True(!found)
	}
}

// TestOnlyLearnersThatKeepUpVote leaves learners that are silent or behind as they
// are, and lets every member vote where no number is set.
func TestOnlyLearnersThatKeepUpVote(t *testing.T) {
	is := is.New(t)
	c := newChosen(6, 5)
	c.status.Lagging = []replicator.Lag{{ID: "m3", Entries: 1}}
	c.status = c.status.WithLastContact("m4", c.now.Add(-freshLimit))
	c.settle(t, nil)
	is.Equal(len(c.status.Membership.Voters()), 4)
	is.True(c.status.Membership.IsVoter("m5"))
	all := newChosen(10, 0)
	all.settle(t, nil)
	is.Equal(len(all.status.Membership.Voters()), 10)
}
