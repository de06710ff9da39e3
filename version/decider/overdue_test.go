package decider

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// overdueSimulation runs a plan for a move without chance: what the targets and the
// callers do is given for each moment. The zero value of a field means a sound version with
// targets and no requests.
type overdueSimulation struct {
	length     time.Duration
	preference applier.Preference
	newSlots   func(at time.Duration) int
	oldTargets func(at time.Duration) int
	newSilent  func(at time.Duration) bool
	requests   func(at time.Duration) []Evidence    // requests is the evidence of one decision.
	leaderTime time.Duration                        // leaderTime is how long each leader stays; zero is for good.
	wallStep   func(at time.Duration) time.Duration // wallStep is how far the leader's wall clock is ahead.
}

// run returns the step that ended the move and when; the phase is running if none did
// within three times the length and the shortest grace period.
func (c overdueSimulation) run() (Step, time.Duration) {
	start := time.Unix(1_800_000_000, 0)
	m := applier.Move{ID: "m", From: "v1", To: "v2", Phase: applier.PhaseRunning, BegunAt: start, Deadline: start.Add(c.length), Preference: c.preference}
	if m.Preference == "" {
		m.Preference = applier.PreferDeadline
	}
	var now, leaderSince time.Duration
	newPlan := func() *Plan {
		leaderSince = now
		return &Plan{MoveID: "m", Uptime: func() time.Time { return time.Unix(0, 0).Add(now) }}
	}
	p := newPlan()
	for ; now < 3*c.length+MinGracePeriod; now += DecisionInterval {
		if c.leaderTime > 0 && now-leaderSince >= c.leaderTime {
			p = newPlan()
		}
		capacity := Capacity{NewSlots: 100, OldTargets: 6}
		if c.newSlots != nil {
			capacity.NewSlots = c.newSlots(now)
		}
		if c.oldTargets != nil {
			capacity.OldTargets = c.oldTargets(now)
		}
		if c.newSilent != nil {
			capacity.NewSilent = c.newSilent(now)
		}
		if c.requests != nil {
			for _, e := range c.requests(now) {
				p.AddEvidence(e)
			}
		}
		wall := start.Add(now)
		if c.wallStep != nil {
			wall = wall.Add(c.wallStep(now))
		}
		step, ok := p.Next(wall, m, capacity)
		if !ok {
			continue
		}
		if step.Phase != applier.PhaseRunning {
			return step, now
		}
		m.Share, m.UnsafeShare, m.Late = step.Share, step.UnsafeShare, m.Late || step.Late
	}
	return Step{Phase: applier.PhaseRunning}, now
}

// slotsUntil returns a version whose targets are lost for good at the given time.
func slotsUntil(end time.Duration) func(time.Duration) int {
	return func(at time.Duration) int {
		if at < end {
			return 9
		}
		return 0
	}
}

// slotsFrom returns a version whose targets start at the given time.
func slotsFrom(begin time.Duration) func(time.Duration) int {
	return func(at time.Duration) int {
		if at >= begin {
			return 9
		}
		return 0
	}
}

// busy returns requests that keep the given number of slots of the old version in use.
func busy(slots float64) func(time.Duration) []Evidence {
	return func(time.Duration) []Evidence {
		n := uint64(40)
		return []Evidence{{Route: "/designs", Tally: Tally{Requests: n, Seconds: slots * DecisionInterval.Seconds()}}}
	}
}

// suspectOnce returns requests of both versions up to the given time: the new one fails a
// little more often than the old one, which is no regression yet.
func suspectOnce(until time.Duration) func(time.Duration) []Evidence {
	failed := false
	return func(at time.Duration) []Evidence {
		if at >= until || failed || at < 2*time.Second {
			return nil
		}
		failed = true
		return []Evidence{
			{Route: "/designs", Tally: Tally{Requests: 1000, Failures: 2}},
			{Route: "/designs", New: true, Tally: Tally{Requests: 20, Failures: 2}},
		}
	}
}

// TestOverdueMovesEnd guards against a move that nothing ends, which blocks every later
// one of its service: the new version has no targets, too few, or no evidence for it comes.
func TestOverdueMovesEnd(t *testing.T) {
	const short, long = 12 * time.Second, 2 * time.Minute
	rows := []struct {
		name       string
		simulation overdueSimulation
		phase      applier.Phase
		latest     time.Duration // latest is when the move must have ended.
	}{
		{"no targets ever", overdueSimulation{length: short, newSlots: slotsUntil(0)}, applier.PhaseRolledBack, short},
		{"no targets ever, with requests", overdueSimulation{length: short, newSlots: slotsUntil(0), requests: busy(10)}, applier.PhaseRolledBack, short},
		{"no targets ever, long move", overdueSimulation{length: long, newSlots: slotsUntil(0)}, applier.PhaseRolledBack, long},
		{"no targets ever, with caution", overdueSimulation{length: long, newSlots: slotsUntil(0), preference: applier.PreferCaution}, applier.PhaseRolledBack, long},
		{"no targets ever, a second to move", overdueSimulation{length: time.Second, newSlots: slotsUntil(0)}, applier.PhaseRolledBack, AbsenceTime},
		{"lost amid the first share", overdueSimulation{length: short, newSlots: slotsUntil(time.Second)}, applier.PhaseRolledBack, short},
		{"lost amid the first share, with requests", overdueSimulation{length: short, newSlots: slotsUntil(time.Second), requests: busy(10)}, applier.PhaseRolledBack, short},
		{"lost at the full share", overdueSimulation{length: short, newSlots: slotsUntil(9 * time.Second)}, applier.PhaseRolledBack, short},
		{"lost just before the deadline", overdueSimulation{length: short, newSlots: slotsUntil(10 * time.Second)}, applier.PhaseRolledBack, 10*time.Second + AbsenceTime},
		{"too few slots", overdueSimulation{length: short, newSlots: func(time.Duration) int { return 1 }, requests: busy(10)}, applier.PhaseRolledBack, short + MinGracePeriod},
		{"too few slots, the old version lost", overdueSimulation{length: short, newSlots: func(time.Duration) int { return 1 }, requests: busy(10),
			oldTargets: slotsUntil(5 * time.Second)}, applier.PhaseDone, short + MinGracePeriod},
		{"too few slots, long move", overdueSimulation{length: long, newSlots: func(time.Duration) int { return 1 }, requests: busy(10)}, applier.PhaseRolledBack, 2 * long},
		{"suspected, then no requests", overdueSimulation{length: short, requests: suspectOnce(short)}, applier.PhaseRolledBack, short + MinGracePeriod},
		{"caution without evidence", overdueSimulation{length: long, preference: applier.PreferCaution, requests: func(time.Duration) []Evidence {
			return []Evidence{{Route: "/designs", Tally: Tally{Requests: 9}}}
		}}, applier.PhaseRolledBack, 2 * long},
		{"a new leader every 5 s, no targets", overdueSimulation{length: short, newSlots: slotsUntil(0), leaderTime: 5 * time.Second}, applier.PhaseRolledBack, short + AbsenceTime},
		{"a new leader every 5 s, too few slots", overdueSimulation{length: short, newSlots: func(time.Duration) int { return 1 }, requests: busy(10), leaderTime: 5 * time.Second},
			applier.PhaseRolledBack, short + MinGracePeriod + MinStageDuration},
		{"the wall clock is set back", overdueSimulation{length: short, newSlots: slotsUntil(0), wallStep: func(at time.Duration) time.Duration {
			if at > 2*time.Second {
				return -time.Hour
			}
			return 0
		}}, applier.PhaseRolledBack, short},
		{"a leader whose wall clock is behind", overdueSimulation{length: short, newSlots: slotsUntil(0), wallStep: func(time.Duration) time.Duration { return -time.Hour }}, applier.PhaseRolledBack, short},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			step, at := row.simulation.run()
			t.Logf("%s after %s: %s", step.Phase, at, step.Reason)
			is.Equal(step.Phase, row.phase)
			is.True(at <= row.latest+2*DecisionInterval)
		})
	}
}

// TestDoneMovesHaveTargets guards against a move that is reported as done although the new
// version's targets are lost, on which the old ones are stopped. No request shows it.
func TestDoneMovesHaveTargets(t *testing.T) {
	for lostAt := time.Duration(0); lostAt < 11*time.Second; lostAt += 500 * time.Millisecond {
		is := is.New(t)
		step, at := overdueSimulation{length: 12 * time.Second, newSlots: slotsUntil(lostAt)}.run()
		if at < lostAt {
			is.Equal(step.Phase, applier.PhaseDone) // before the loss
			continue
		}
		is.Equal(step.Phase, applier.PhaseRolledBack) // after the loss
		is.True(strings.Contains(step.Reason, "no targets"))
	}
}

// TestSilentHostsHoldTheEnd guards against a move that is reported as done while the hosts of
// the new version's targets are lost and their targets not removed yet. It goes on when they
// are heard of again.
func TestSilentHostsHoldTheEnd(t *testing.T) {
	is := is.New(t)
	const length, heardAt = 12 * time.Second, 14 * time.Second
	silent := func(at time.Duration) bool { return at >= 7*time.Second }
	step, at := overdueSimulation{length: length, newSilent: silent, newSlots: slotsUntil(heardAt)}.run()
	is.Equal(step.Phase, applier.PhaseRolledBack)
	is.True(at <= heardAt+AbsenceTime+2*DecisionInterval)
	step, at = overdueSimulation{length: length, newSilent: func(at time.Duration) bool { return silent(at) && at < heardAt }}.run()
	is.Equal(step.Phase, applier.PhaseDone)
	is.True(at >= heardAt)
}

// TestSlowMovesAreKept guards against a move that is rolled back although it can still
// finish: its targets are late, away for a moment, or some of them lost, or it was held.
func TestSlowMovesAreKept(t *testing.T) {
	const length = 12 * time.Second
	awayAt := func(begin, duration time.Duration) func(time.Duration) int {
		return func(at time.Duration) int {
			if at >= begin && at < begin+duration {
				return 0
			}
			return 9
		}
	}
	rows := []struct {
		name       string
		simulation overdueSimulation
	}{
		{"targets start at half of the time", overdueSimulation{length: length, newSlots: slotsFrom(6 * time.Second)}},
		{"targets start just before the deadline", overdueSimulation{length: length, newSlots: slotsFrom(length - DecisionInterval)}},
		{"targets are away at the deadline", overdueSimulation{length: length, newSlots: awayAt(length-2500*time.Millisecond, AbsenceTime-DecisionInterval)}},
		{"targets are away amid the move", overdueSimulation{length: length, newSlots: awayAt(2*time.Second, 7*time.Second)}},
		{"some targets are lost, the others suffice", overdueSimulation{length: length, requests: busy(5), newSlots: func(at time.Duration) int {
			if at > 5*time.Second {
				return 9
			}
			return 27
		}}},
		{"too few targets until after the deadline", overdueSimulation{length: length, requests: busy(10), newSlots: func(at time.Duration) int {
			if at > length+10*time.Second {
				return 27
			}
			return 1
		}}},
		{"the wall clock steps ahead", overdueSimulation{length: length, newSlots: slotsFrom(6 * time.Second), wallStep: func(at time.Duration) time.Duration {
			if at > 2*time.Second {
				return time.Hour
			}
			return 0
		}}},
		{"a new leader every 2 s", overdueSimulation{length: length, leaderTime: 2 * time.Second, newSlots: slotsFrom(4 * time.Second)}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			step, at := row.simulation.run()
			t.Logf("%s after %s: %s", step.Phase, at, step.Reason)
			is.Equal(step.Phase, applier.PhaseDone)
		})
	}
}

// TestSuspectedMoveRecovers guards against a move that is rolled back at its deadline for a
// suspicion that further requests dispel.
func TestSuspectedMoveRecovers(t *testing.T) {
	is := is.New(t)
	suspect := suspectOnce(12 * time.Second)
	c := overdueSimulation{length: 12 * time.Second, requests: func(at time.Duration) []Evidence {
		list := suspect(at)
		if at > 14*time.Second {
			list = append(list, Evidence{Route: "/designs", New: true, Tally: Tally{Requests: 20}}, Evidence{Route: "/designs", Tally: Tally{Requests: 20}})
		}
		return list
	}}
	step, at := c.run()
	t.Log(fmt.Sprintf("%s after %s", step.Phase, at), step.Reason)
	is.Equal(step.Phase, applier.PhaseDone)
	is.True(at > c.length)
}
