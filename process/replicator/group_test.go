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

// TestRandomHistories guards against lost or diverging commands and against two
// leases at once under random faults: killed hosts, torn writes, full disks, frozen
// hosts, links cut in one or both directions, lost and duplicated messages, and
// membership changes.
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

// TestManySimultaneousRestarts is TestRandomHistories with many hosts, often all, that
// restart at the same time and may elect a leader at once. It guards against two
// hosts that hold a lease and against a linearizable read that misses an
// acknowledged command.
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

// TestLostDiskNeverVotes guards against losing a committed command when one follower
// lacks it and another has lost its disk: the host with the new disk must not vote
// as the member that it was before.
func TestLostDiskNeverVotes(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 3)
	h.advance(3 * time.Second)
	h.commitCommands(3)
	l := h.leader()
	var others []*host
	for _, x := range h.hosts {
		if x != l {
			others = append(others, x)
		}
	}
	// One follower misses a committed command; the other loses its disk and
	// restarts with the identity that was generated on its new disk.
	behind, wiped := others[0], others[1]
	behind.frozen = true
	h.commitCommands(1)
	l.group, wiped.group = nil, nil
	h.hosts = slices.DeleteFunc(h.hosts, func(x *host) bool { return x == wiped })
	h.addHost("minted-anew")
	behind.frozen = false
	h.advance(30 * time.Second)
	is.True(h.leader() == nil) // two of three disks are missing: nobody may lead without the committed command
	h.startHost(l)
	h.advance(5 * time.Second)
	is.True(h.leader() != nil)
	h.commitCommands(1)
	h.checkSameCommands()
}

// TestSecondLossAfterRepair guards against losing acknowledged commands when a
// second host fails right after the first was replaced: the replacement must have
// all of them before it counts as a voter.
func TestSecondLossAfterRepair(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 2, 3)
	h.advance(3 * time.Second)
	h.commitCommands(40) // enough for more than one snapshot
	failed := h.hosts[0]
	if h.leader() == failed {
		failed = h.hosts[1]
	}
	failed.group = nil
	h.commitCommands(5)
	// The repair removes the failed member; a new one joins, catches up and becomes a voter.
	h.mustChange(func(m Membership) Membership { return m.Without(failed.id) })
	h.addHost("new")
	h.mustChange(func(m Membership) Membership { return m.WithMember(Member{ID: "new", Learner: true}) })
	h.advance(3 * time.Second)
	h.mustChange(func(m Membership) Membership { return m.WithMember(Member{ID: "new"}) })
	// Right after the repair a second host fails, the leader.
	h.leader().group = nil
	h.advance(5 * time.Second)
	l := h.leader()
	is.True(l != nil)
	for _, command := range h.acked {
		is.True(slices.Contains(l.state.Commands, command))
	}
	h.commitCommands(2)
}

// TestIsolatedLeaderStepsDown guards against stale reads from a leader that a
// partition of one or both directions has cut off, and against repeated elections
// when it reconnects.
func TestIsolatedLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	for _, direction := range []string{"both", "out", "in"} {
		h := newHarness(t, 3, 3)
		h.advance(3 * time.Second)
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
		h.advance(10 * time.Minute / 60)
		_, ok := old.group.core.ReadIndex(h.now)
		is.True(!ok) // an isolated leader holds no lease
		l := h.leader()
		is.True(l != nil && l != old)
		term := l.group.core.hardState.Term
		h.commitCommands(3)
		h.cutLinks = map[string]bool{}
		h.advance(3 * time.Second)
		is.True(h.leader().group.core.hardState.Term <= term+1) // its return causes at most one election
		h.commitCommands(1)
		h.checkSameCommands()
	}
}

// TestFrozenLeaderLosesItsLease guards against stale reads from a leader that was
// frozen while another one was elected.
func TestFrozenLeaderLosesItsLease(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4, 3)
	h.advance(3 * time.Second)
	h.commitCommands(2)
	old := h.leader()
	old.frozen = true
	h.advance(5 * time.Second)
	h.commitCommands(2)
	old.frozen = false
	_, ok := old.group.core.ReadIndex(h.now)
	is.True(!ok) // its lease expired while it was frozen
	h.advance(2 * time.Second)
	h.checkSameCommands()
}

// TestPlannedLeadershipTransfer guards against a planned stop that leaves the group
// without a leader for an election timeout.
func TestPlannedLeadershipTransfer(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 5, 3)
	h.advance(3 * time.Second)
	h.commitCommands(2)
	old := h.leader()
	result := make(chan outcome, 1)
	h.step(old, leadershipTransfer{result})
	is.NoErr((<-result).err)
	h.advance(50 * time.Millisecond) // less than any election timeout
	l := h.leader()
	is.True(l != nil && l != old)
	h.commitCommands(1)
}

// TestFullDiskEndsMember guards against a member that a full disk takes out of its group
// for good: the disk of each member in turn takes no more bytes for a while, the
// leader's first.
func TestFullDiskEndsMember(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 3, 3)
	h.advance(3 * time.Second)
	h.commitCommands(40) // enough for more than one snapshot
	for range 2 * len(h.hosts) {
		full := h.leader()
		full.disk.Limited, full.disk.Budget = true, 1 // the write succeeds, its sync does not
		h.step(full, proposal{[]byte("unacknowledged"), make(chan outcome, 1)})
		h.advance(4 * time.Second)
		is.True(h.leader() != full)
		is.Equal(full.group.Status().Leader, "") // it sends nobody to a leader that it no longer follows
		h.commitCommands(5)
		full.disk.Limited = false
		h.advance(4 * time.Second)
		is.Equal(full.state.Commands[len(full.state.Commands)-1], h.acked[len(h.acked)-1]) // it has caught up
	}
	h.checkSameCommands()
	h.checkAcknowledged()
}

// TestFullDiskDuringSnapshot guards against a member that ends, or loses commands, when
// its disk has no room for a snapshot of its own or of the leader.
func TestFullDiskDuringSnapshot(t *testing.T) {
	for budget := range 8 {
		is := is.New(t)
		h := newHarness(t, uint64(budget), 3)
		h.advance(3 * time.Second)
		h.commitCommands(10)
		behind := h.hosts[0]
		if h.leader() == behind {
			behind = h.hosts[1]
		}
		behind.frozen = true
		h.commitCommands(60) // the log that it lacks is compacted
		behind.frozen = false
		behind.disk.Limited, behind.disk.Budget = true, budget
		h.advance(5 * time.Second)
		behind.disk.Limited = false
		h.advance(5 * time.Second)
		is.Equal(len(behind.state.Commands), 70)
		h.checkAcknowledged()
	}
}
