package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStaggeredStartElectsLeaderSoon starts all members after a power loss, one
// after the other within three election timeouts. From the moment at which a
// quorum may vote, a leader is there within one and a half election timeouts,
// and within half of one in most histories: members that found no quorum a
// moment ago must not wait as long as for a silent leader.
func TestStaggeredStartElectsLeaderSoon(t *testing.T) {
	const timeout = 100 * time.Millisecond // timeout is the election timeout of histories.
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
		able := sorted[3].Add(timeout) // the fourth of six makes a quorum and votes from then on
		led := h.awaitLeader(starts, able.Add(10*timeout))
		waits = append(waits, led.Sub(able))
	}
	slices.Sort(waits)
	t.Logf("after a quorum may vote: median %s, 9 in 10 %s, worst %s", waits[30], waits[54], waits[59])
	is.True(waits[30] <= timeout/2)
	is.True(waits[59] <= 3*timeout/2)
}

// TestAllRestartedElectAtOnce starts five members after all were killed, within three
// tenths of an election timeout or within more than one. None can have a leader's
// lease, so a leader is there well before the last of them may vote that has
// forgotten whom it promised not to.
func TestAllRestartedElectAtOnce(t *testing.T) {
	const timeout = 100 * time.Millisecond // timeout is the election timeout of histories.
	for _, spread := range []time.Duration{3 * timeout / 10, 12 * timeout / 10} {
		t.Run(spread.String(), func(t *testing.T) { checkElectionTime(t, spread, timeout) })
	}
}

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
		led := h.awaitLeader(starts, last.Add(10*timeout))
		waits = append(waits, led.Sub(last))
	}
	slices.Sort(waits)
	t.Logf("after the last start: median %s, 9 in 10 %s, worst %s", waits[30], waits[54], waits[59])
	is.True(waits[30] <= timeout/3)
	is.True(waits[59] <= timeout)
	is.True(waits[54] <= timeout/2)
}

// awaitLeader starts each host at its time, carries messages in 1 ms, and
// returns when the first host led.
func (h *harness) awaitLeader(starts []time.Time, limit time.Time) time.Time {
	const way = 1 // way is in steps of a millisecond.
	var under [way][]Envelope
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
		arrived := under[0]
		copy(under[:], under[1:])
		under[way-1], h.inFlight = h.inFlight, nil
		for _, e := range arrived {
			if x := h.findHost(e.To); x != nil {
				h.step(x, receivedMessage{e})
			}
		}
	}
	h.t.Fatal("nobody leads")
	return limit
}

// TestLearnersTakeFewHeartbeats counts what an idle leader sends: learners get
// fewer heartbeats than voters, know of commands as soon, and take no leader for
// granted that they hear nothing of.
func TestLearnersTakeFewHeartbeats(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 6, 3)
	h.runWithoutFaults(3 * time.Second)
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
	h.runWithoutFaults(300 * time.Millisecond)
	is.Equal(learner.group.core.leader, "")
	h.cutLinks = map[string]bool{}
	h.runWithoutFaults(300 * time.Millisecond)
	is.Equal(learner.group.core.leader, l.id)
	is.True(h.leader() == l) // a learner that hears nothing disturbs nobody
}

// exchangeMessages delivers all messages and those that answer them.
func (h *harness) exchangeMessages() {
	for len(h.inFlight) > 0 {
		wire := h.inFlight
		h.inFlight = nil
		for _, e := range wire {
			if x := h.findHost(e.To); x != nil {
				h.step(x, receivedMessage{e})
			}
		}
	}
}

// TestStarvedLeaderKeepsTheLead replays a small host under a herd of calls: every
// member gets the processor for a moment only, 260 ms apart by turns, at an
// election timeout of 100 ms and messages that wait meanwhile. The lead does not change.
func TestStarvedLeaderKeepsTheLead(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 8, 5)
	h.runWithoutFaults(3 * time.Second)
	l := h.leader()
	term := l.group.core.hardState.Term
	for round := range 40 {
		h.now = h.now.Add(130 * time.Millisecond)
		var kept []Envelope
		wire := h.inFlight
		h.inFlight = nil
		for i, x := range h.hosts {
			awake := (i+round)%2 == 0
			if awake {
				h.step(x) // the tick comes before what waits at the socket
			}
			for _, e := range wire {
				switch {
				case e.To != x.id:
				case awake:
					h.step(x, receivedMessage{e})
				default:
					kept = append(kept, e)
				}
			}
		}
		h.inFlight = append(kept, h.inFlight...)
	}
	h.runWithoutFaults(time.Second)
	is.Equal(h.leader(), l)
	is.Equal(l.group.core.hardState.Term, term)
}

// TestIsolatedStarvedLeaderStepsDown cuts off a leader that gets the processor five
// times a second: each pause is excused, but not for ever.
func TestIsolatedStarvedLeaderStepsDown(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 11, 3)
	h.runWithoutFaults(3 * time.Second)
	l := h.leader()
	for range 10 {
		h.now = h.now.Add(200 * time.Millisecond)
		h.step(l)
	}
	is.True(l.group.core.role != RoleLeader)
}

// TestRestartedMemberDelaysItsOwnVote lets a member restart that a leader's lease
// rests on, just when that leader is cut off. The third member, cut off for longer,
// would vote at once; the lease of the first leader ends before another begins.
func TestRestartedMemberDelaysItsOwnVote(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 9, 3)
	h.runWithoutFaults(3 * time.Second)
	l := h.leader()
	var others []*host
	for _, x := range h.hosts {
		if x != l {
			others = append(others, x)
		}
	}
	cut := func(x, y *host) { h.cutLinks[x.id+">"+y.id], h.cutLinks[y.id+">"+x.id] = true, true }
	cut(l, others[1])
	h.runWithoutFaults(500 * time.Millisecond)
	is.Equal(h.leader(), l)
	cut(l, others[0])
	others[0].disk.Crash(0)
	h.startHost(others[0])
	for range 500 {
		h.runWithoutFaults(time.Millisecond)
		h.checkLeases() // fails when two hold a lease
	}
	next := h.leader()
	is.True(next != nil && next != l)
}

// TestRepliesToEarlierIncarnationsAreIgnored lets a member restart, and gives it answers to
// the pre-vote of its earlier life: whoever sent them may lead by now. Answers to its
// own pre-vote elect it.
func TestRepliesToEarlierIncarnationsAreIgnored(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 10, 3)
	x := h.hosts[0]
	ask := func() uint64 {
		h.startHost(x)
		h.now = h.now.Add(20 * time.Millisecond)
		h.inFlight = nil
		h.step(x)
		is.Equal(len(h.inFlight), 2)
		return h.inFlight[0].Message.(VoteRequest).Round
	}
	earlier, now := ask(), ask()
	answer := func(round uint64) Role {
		for _, y := range h.hosts[1:] {
			h.step(x, receivedMessage{Envelope{From: y.id, To: x.id, Message: VoteReply{Pre: true, Fresh: true, Granted: true, Round: round}}})
		}
		return x.group.core.role
	}
	is.Equal(answer(earlier), RolePreCandidate)
	is.Equal(answer(now), RoleCandidate)
}
