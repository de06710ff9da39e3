package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStaggeredStartElectsLeaderSoon guards against a slow election after a power
// loss, when the members start one after the other within three election timeouts.
// A leader must be elected within one and a half election timeouts after a quorum
// may vote, and within half of one in most runs: a member whose campaign found no
// quorum must not wait a whole election timeout before the next.
func TestStaggeredStartElectsLeaderSoon(t *testing.T) {
	const timeout = 100 * time.Millisecond // timeout is the election timeout of the harness.
	is := is.New(t)
	var waits []time.Duration
	for seed := range uint64(60) {
		h := newHarness(t, seed, 6)
		starts := make([]time.Time, len(h.hosts))
		for i, x := range h.hosts {
			x.group = nil
			starts[i] = h.now.Add(time.Duration(h.r.Int64N(int64(3 * timeout))))
		}
		sorted := slices.SortedFunc(slices.Values(starts), time.Time.Compare)
		quorumAt := sorted[3].Add(timeout) // the fourth of six makes a quorum and votes from then on
		electedAt := h.awaitLeader(starts, quorumAt.Add(10*timeout))
		waits = append(waits, electedAt.Sub(quorumAt))
	}
	slices.Sort(waits)
	t.Logf("after a quorum may vote: median %s, 9 in 10 %s, worst %s", waits[30], waits[54], waits[59])
	is.True(waits[30] <= timeout/2)
	is.True(waits[59] <= 3*timeout/2)
}

// TestAllRestartedElectAtOnce guards against a full restart that waits for leases
// that cannot exist. All five members are killed and start within three tenths of an
// election timeout, or within more than one. Since none of them holds a lease, a
// leader must be elected well before the last of them may vote by itself, one
// election timeout after its start.
func TestAllRestartedElectAtOnce(t *testing.T) {
	const timeout = 100 * time.Millisecond // timeout is the election timeout of the harness.
	for _, spread := range []time.Duration{3 * timeout / 10, 12 * timeout / 10} {
		t.Run(spread.String(), func(t *testing.T) { checkElectionTime(t, spread, timeout) })
	}
}

// checkElectionTime restarts five members within spread and bounds the time from
// the last start to the election.
func checkElectionTime(t *testing.T, spread, timeout time.Duration) {
	is := is.New(t)
	var waits []time.Duration
	for seed := range uint64(60) {
		h := newHarness(t, seed, 5)
		starts := make([]time.Time, len(h.hosts))
		for i, x := range h.hosts {
			x.group = nil
			starts[i] = h.now.Add(time.Duration(h.r.Int64N(int64(spread))))
		}
		last := slices.MaxFunc(starts, time.Time.Compare)
		electedAt := h.awaitLeader(starts, last.Add(10*timeout))
		waits = append(waits, electedAt.Sub(last))
	}
	slices.Sort(waits)
	t.Logf("after the last start: median %s, 9 in 10 %s, worst %s", waits[30], waits[54], waits[59])
	is.True(waits[30] <= timeout/3)
	is.True(waits[59] <= timeout)
	is.True(waits[54] <= timeout/2)
}

// awaitLeader starts each host at its time, delivers messages after 1 ms, and
// returns the time at which the first host leads. It fails the test at limit.
func (h *harness) awaitLeader(starts []time.Time, limit time.Time) time.Time {
	const transitSteps = 1 // transitSteps is the transit time of a message, in milliseconds.
	var inTransit [transitSteps][]Envelope
	for ; h.now.Before(limit); h.now = h.now.Add(time.Millisecond) {
		for i, x := range h.hosts {
			if x.group == nil && !h.now.Before(starts[i]) {
				h.startHost(x)
			}
			h.step(x)
			if x.group != nil && x.group.core.role == RoleLeader {
				return h.now
			}
		}
		arrived := inTransit[0]
		copy(inTransit[:], inTransit[1:])
		inTransit[transitSteps-1], h.inFlight = h.inFlight, nil
		for _, e := range arrived {
			if x := h.findHost(e.To); x != nil {
				h.step(x, receivedMessage{e})
			}
		}
	}
	h.t.Fatal("no leader was elected before the time limit")
	return limit
}

// TestLearnersTakeFewHeartbeats counts the messages of an idle leader. It guards
// against learners that get as many heartbeats as voters, that receive commands
// later than voters, or that keep a leader from which they receive nothing.
func TestLearnersTakeFewHeartbeats(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 6, 3)
	h.advance(3 * time.Second)
	learner := h.addHost("learner")
	h.mustChange(func(m Membership) Membership { return m.WithMember(Member{ID: "learner", Learner: true}) })
	h.commitCommands(3)
	is.Equal(len(learner.state.Commands), 3)
	l := h.leader()
	sent := map[string]int{}
	for end := h.now.Add(time.Second); h.now.Before(end); h.now = h.now.Add(time.Millisecond) {
		h.step(l)
		for _, e := range h.inFlight {
			if e.From == l.id {
				sent[e.To]++
			}
		}
		h.exchangeMessages()
	}
	voter := h.hosts[0].id
	if voter == l.id {
		voter = h.hosts[1].id
	}
	t.Logf("heartbeats in a second: voter %d, learner %d", sent[voter], sent["learner"])
	is.True(sent["learner"] <= sent[voter]*6/10)
	h.cutLinks[l.id+">learner"] = true
	h.advance(300 * time.Millisecond)
	is.Equal(learner.group.core.leader, "")
	h.cutLinks = map[string]bool{}
	h.advance(300 * time.Millisecond)
	is.Equal(learner.group.core.leader, l.id)
	is.True(h.leader() == l) // a learner that receives nothing forces no election
}

// exchangeMessages delivers all messages and the replies to them until none is in
// flight.
func (h *harness) exchangeMessages() {
	for len(h.inFlight) > 0 {
		arrived := h.inFlight
		h.inFlight = nil
		for _, e := range arrived {
			if x := h.findHost(e.To); x != nil {
				h.step(x, receivedMessage{e})
			}
		}
	}
}

// TestStarvedLeaderKeepsTheLead guards against elections caused by CPU starvation,
// as on a small host under many simultaneous calls: every member gets the processor
// only briefly, every 260 ms and in turns, at an election timeout of 100 ms, while
// messages wait unread. The leader must not change.
func TestStarvedLeaderKeepsTheLead(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 8, 5)
	h.advance(3 * time.Second)
	l := h.leader()
	term := l.group.core.hardState.Term
	for round := range 40 {
		h.now = h.now.Add(130 * time.Millisecond)
		var unread []Envelope
		arrived := h.inFlight
		h.inFlight = nil
		for i, x := range h.hosts {
			running := (i+round)%2 == 0
			if running {
				h.step(x) // the tick runs before the messages that wait at the socket are read
			}
			for _, e := range arrived {
				switch {
				case e.To != x.id:
				case running:
					h.step(x, receivedMessage{e})
				default:
					unread = append(unread, e)
				}
			}
		}
		h.inFlight = append(unread, h.inFlight...)
	}
	h.advance(time.Second)
	is.Equal(h.leader(), l)
	is.Equal(l.group.core.hardState.Term, term)
}

// TestIsolatedStarvedLeaderStepsDown guards against an isolated leader that never
// steps down because every stall extends its grace period. It gets the processor
// five times a second and receives no replies.
func TestIsolatedStarvedLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 11, 3)
	h.advance(3 * time.Second)
	l := h.leader()
	for range 10 {
		h.now = h.now.Add(200 * time.Millisecond)
		h.step(l)
	}
	is.True(l.group.core.role != RoleLeader)
}

// TestRestartedMemberDelaysItsOwnVote guards against two leases at once. A member
// whose reply supports the leader's lease restarts just when the leader is cut off,
// and campaigns; the third member was cut off for longer and votes at once. The
// lease of the first leader must end before that of the next begins.
func TestRestartedMemberDelaysItsOwnVote(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 9, 3)
	h.advance(3 * time.Second)
	l := h.leader()
	var others []*host
	for _, x := range h.hosts {
		if x != l {
			others = append(others, x)
		}
	}
	cut := func(x, y *host) { h.cutLinks[x.id+">"+y.id], h.cutLinks[y.id+">"+x.id] = true, true }
	cut(l, others[1])
	h.advance(500 * time.Millisecond)
	is.Equal(h.leader(), l)
	cut(l, others[0])
	others[0].disk.Crash(0)
	h.startHost(others[0])
	for range 500 {
		h.advance(time.Millisecond)
		h.checkLeases() // fails when two hosts hold a lease
	}
	next := h.leader()
	is.True(next != nil && next != l)
}

// TestRepliesToEarlierIncarnationsAreIgnored guards against counting replies to the
// pre-vote of an earlier incarnation: their sender may have become leader since. Only
// replies to the pre-vote of the current incarnation let the member campaign.
func TestRepliesToEarlierIncarnationsAreIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 10, 3)
	x := h.hosts[0]
	restartAndPreVote := func() uint64 {
		h.startHost(x)
		h.now = h.now.Add(20 * time.Millisecond)
		h.inFlight = nil
		h.step(x)
		is.Equal(len(h.inFlight), 2)
		return h.inFlight[0].Message.(VoteRequest).Round
	}
	earlier, current := restartAndPreVote(), restartAndPreVote()
	grantAll := func(round uint64) Role {
		for _, y := range h.hosts[1:] {
			h.step(x, receivedMessage{Envelope{From: y.id, To: x.id, Message: VoteReply{Pre: true, Fresh: true, Granted: true, Round: round}}})
		}
		return x.group.core.role
	}
	is.Equal(grantAll(earlier), RolePreCandidate)
	is.Equal(grantAll(current), RoleCandidate)
}
