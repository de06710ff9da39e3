package replicator

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the random histories")
	seedCount = flag.Uint64("seeds", 40, "number of random histories")
	stepCount = flag.Int("steps", 4000, "steps of each random history")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// TestRandomHistories runs the agreement and the storage through random
// faults: kills, torn writes, full disks, freezes, cuts of one and both
// directions, lost and doubled messages, and changes of members.
func TestRandomHistories(t *testing.T) {
	acked := 0
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		ok := t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			h := newHarness(t, seed, 3+2*int(seed%2))
			h.maxInFlight = 10 + int(seed%4)*20
			h.run(*stepCount, seed%3 > 0)
			h.endFaults()
			h.checkAcknowledged()
			acked += len(h.acked)
		})
		if !ok {
			break
		}
	}
	t.Logf("%d histories, %d acknowledged commands", *seedCount, acked)
}

// TestManySimultaneousRestarts is TestRandomHistories with many hosts, often all, that start
// anew at the same moment and elect at once: no two hold a lease, and nothing
// that was acknowledged is missed by a confirmed read.
func TestManySimultaneousRestarts(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		ok := t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			h := newHarness(t, seed, 3+2*int(seed%2))
			h.maxInFlight, h.massRestarts = 10+int(seed%4)*20, true
			h.run(*stepCount, seed%3 > 0)
			h.endFaults()
			h.checkAcknowledged()
		})
		if !ok {
			break
		}
	}
}

func TestLostDiskNeverVotes(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 3)
	h.runWithoutFaults(3 * time.Second)
	h.commitCommands(3)
	l := h.leader()
	var others []*host
	for _, x := range h.hosts {
		if x != l {
			others = append(others, x)
		}
	}
	// One follower misses an accepted command; the other loses its disk and
	// comes back under the identity that its new disk minted.
	behind, emptied := others[0], others[1]
	behind.frozen = true
	h.commitCommands(1)
	l.group, emptied.group = nil, nil
	h.hosts = slices.DeleteFunc(h.hosts, func(x *host) bool { return x == emptied })
	h.addHost("minted-anew")
	behind.frozen = false
	h.runWithoutFaults(30 * time.Second)
	is.True(h.leader() == nil) // two of three disks are away: nobody may lead without the accepted command
	h.startHost(l)
	h.runWithoutFaults(5 * time.Second)
	is.True(h.leader() != nil)
	h.commitCommands(1)
	h.checkSameCommands()
}

func TestSecondLossAfterRepair(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2, 3)
	h.runWithoutFaults(3 * time.Second)
	h.commitCommands(40) // more than one snapshot's worth
	dead := h.hosts[0]
	if h.leader() == dead {
		dead = h.hosts[1]
	}
	dead.group = nil
	h.commitCommands(5)
	// The repair: the dead one goes, a new one joins, catches up and votes.
	h.mustChange(func(m Membership) Membership { return m.Without(dead.id) })
	h.addHost("new")
	h.mustChange(func(m Membership) Membership { return m.WithMember(Member{ID: "new", Learner: true}) })
	h.runWithoutFaults(3 * time.Second)
	h.mustChange(func(m Membership) Membership { return m.WithMember(Member{ID: "new"}) })
	// Right after it a second host is lost, the leader.
	h.leader().group = nil
	h.runWithoutFaults(5 * time.Second)
	l := h.leader()
	is.True(l != nil)
	for _, command := range h.acked {
		is.True(slices.Contains(l.state.Commands, command))
	}
	h.commitCommands(2)
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	for _, direction := range []string{"both", "out", "in"} {
		h := newHarness(t, 3, 3)
		h.runWithoutFaults(3 * time.Second)
		h.commitCommands(2)
		old := h.leader()
		for _, y := range h.hosts {
			if direction != "in" {
				h.cutLinks[old.id+">"+y.id] = true
			}
			if direction != "out" {
				h.cutLinks[y.id+">"+old.id] = true
			}
		}
		h.runWithoutFaults(10 * time.Minute / 60)
		_, ok := old.group.core.ReadIndex(h.now)
		is.True(!ok) // a host that a partition left behind confirms nothing
		l := h.leader()
		is.True(l != nil && l != old)
		term := l.group.core.hardState.Term
		h.commitCommands(3)
		h.cutLinks = map[string]bool{}
		h.runWithoutFaults(3 * time.Second)
		is.True(h.leader().group.core.hardState.Term <= term+1) // its return disturbs at most once
		h.commitCommands(1)
		h.checkSameCommands()
	}
}

func TestFrozenLeaderLosesItsLease(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4, 3)
	h.runWithoutFaults(3 * time.Second)
	h.commitCommands(2)
	old := h.leader()
	old.frozen = true
	h.runWithoutFaults(5 * time.Second)
	h.commitCommands(2)
	old.frozen = false
	_, ok := old.group.core.ReadIndex(h.now)
	is.True(!ok) // its lease ran out while it slept
	h.runWithoutFaults(2 * time.Second)
	h.checkSameCommands()
}

func TestPlannedLeadershipTransfer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 5, 3)
	h.runWithoutFaults(3 * time.Second)
	h.commitCommands(2)
	old := h.leader()
	result := make(chan outcome, 1)
	h.step(old, leadershipTransfer{result})
	is.NoErr((<-result).err)
	h.runWithoutFaults(50 * time.Millisecond) // less than any election timeout
	l := h.leader()
	is.True(l != nil && l != old)
	h.commitCommands(1)
}
