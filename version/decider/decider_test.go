package decider

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// simulation runs a plan for a long move with random outcomes from a seed and
// one decision a second.
type simulation struct {
	rate           int // rate is in requests a second; a tenth of them are deposits, which are not idempotent.
	length         time.Duration
	preference     applier.Preference
	oldFailureRate float64
	newFailureRate func(route string, at time.Duration, share int) float64
	newDelay       func(at time.Duration, share int) time.Duration
}

// simulationResult is the end of a move. The shares are the fractions of all
// requests, and of the deposits, that the new version received up to the end.
type simulationResult struct {
	phase                    applier.Phase
	reason                   string
	duration                 time.Duration
	newShare, newUnsafeShare float64
}

func (c simulation) run(seed uint64) simulationResult {
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(0, 0)
	m := applier.Move{ID: "m", From: "v1", To: "v2", Phase: applier.PhaseRunning, BegunAt: start, Deadline: start.Add(c.length), Preference: c.preference}
	p := &Plan{MoveID: "m"}
	var all, unsafeAll, toNew, unsafeToNew float64
	for at := time.Duration(0); at < 2*c.length; at += time.Second {
		for range c.rate {
			route, unsafe, share := "/designs", false, m.Share
			if r.IntN(10) == 0 {
				route, unsafe, share = "/deposits", true, m.UnsafeShare
			}
			isNew := r.IntN(applier.FullShare) < share
			fail, latency := c.oldFailureRate, time.Duration(5+r.ExpFloat64()*5)*time.Millisecond
			if isNew {
				fail = c.newFailureRate(route, at, m.Share)
				latency += c.newDelay(at, m.Share)
			}
			e := Evidence{MoveID: "m", New: isNew, Route: route, Unsafe: unsafe}
			e.Add(r.Float64() < fail, false, latency)
			p.AddEvidence(e)
			all++
			if unsafe {
				unsafeAll++
			}
			if isNew && unsafe {
				unsafeToNew++
			}
			if isNew {
				toNew++
			}
		}
		step, ok := p.Next(start.Add(at), m, Capacity{NewSlots: 1000, OldTargets: 1})
		if !ok {
			continue
		}
		if step.Phase != applier.PhaseRunning {
			return simulationResult{step.Phase, step.Reason, at, toNew / all, unsafeToNew / max(unsafeAll, 1)}
		}
		m.Share, m.UnsafeShare, m.Late = step.Share, step.UnsafeShare, m.Late || step.Late
	}
	return simulationResult{phase: applier.PhaseRunning}
}

// baselineFailures is the failure rate of a good version.
func baselineFailures(string, time.Duration, int) float64 { return 0.001 }

func noDelay(time.Duration, int) time.Duration { return 0 }

// TestBadTargetShareBounded guards against a faulty new version that receives too
// many requests before its move is rolled back. Each row is a fault that is
// there from the beginning of the move.
func TestBadTargetShareBounded(t *testing.T) {
	const seeds = 30
	cases := []struct {
		name       string
		simulation simulation
	}{
		{"fails at once", simulation{oldFailureRate: 0.001, newFailureRate: func(string, time.Duration, int) float64 { return 1 }, newDelay: noDelay}},
		{"fails often", simulation{oldFailureRate: 0.001, newFailureRate: func(string, time.Duration, int) float64 { return 0.3 }, newDelay: noDelay}},
		{"slow at once", simulation{oldFailureRate: 0.001, newFailureRate: baselineFailures, newDelay: func(time.Duration, int) time.Duration { return 200 * time.Millisecond }}},
		{"fails on the deposit route only", simulation{oldFailureRate: 0.001, newFailureRate: func(route string, _ time.Duration, _ int) float64 {
			if route == "/deposits" {
				return 1
			}
			return 0.001
		}, newDelay: noDelay}},
	}
	for _, c := range cases {
		for _, preference := range []applier.Preference{applier.PreferDeadline, applier.PreferCaution} {
			t.Run(c.name+" "+string(preference), func(t *testing.T) {
				is := is.New(t)
				c.simulation.rate, c.simulation.length, c.simulation.preference = 100, 10*time.Minute, preference
				for seed := range uint64(seeds) {
					r := c.simulation.run(seed)
					t.Logf("seed %d: %s after %s, %.4f of all, %.4f of deposits, %s", seed, r.phase, r.duration, r.newShare, r.newUnsafeShare, r.reason)
					is.Equal(r.phase, applier.PhaseRolledBack)
					is.True(r.newShare <= 0.05)       // at most 5% of requests
					is.True(r.newUnsafeShare <= 0.01) // at most 1% of deposits
				}
			})
		}
	}
}

// TestGoodVersionsComplete guards against a rollback by chance, and against a
// missed deadline, when both versions fail at the same low rate.
func TestGoodVersionsComplete(t *testing.T) {
	const seeds = 30
	for _, preference := range []applier.Preference{applier.PreferDeadline, applier.PreferCaution} {
		is := is.New(t)
		for seed := range uint64(seeds) {
			c := simulation{rate: 100, length: 10 * time.Minute, preference: preference, oldFailureRate: 0.01,
				newFailureRate: func(string, time.Duration, int) float64 { return 0.01 }, newDelay: noDelay}
			r := c.run(seed)
			t.Logf("seed %d: %s after %s, %s", seed, r.phase, r.duration, r.reason)
			is.Equal(r.phase, applier.PhaseDone)
			is.True(r.duration <= c.length)
		}
	}
}

// TestMoveCompletesWhenBothVersionsFail guards against a rollback for a fault
// that hits both versions alike, such as a failing dependency.
func TestMoveCompletesWhenBothVersionsFail(t *testing.T) {
	is := is.New(t)
	c := simulation{rate: 100, length: 10 * time.Minute, preference: applier.PreferDeadline, oldFailureRate: 0.4,
		newFailureRate: func(string, time.Duration, int) float64 { return 0.4 }, newDelay: noDelay}
	for seed := range uint64(20) {
		is.Equal(c.run(seed).phase, applier.PhaseDone)
	}
}

// TestLittleEvidence checks a move with hardly any requests: with the preference
// deadline it completes, with caution it waits and is reported as late.
// It also checks the shortest feasible deadline.
func TestLittleEvidence(t *testing.T) {
	is := is.New(t)
	c := simulation{rate: 0, length: 10 * time.Minute, preference: applier.PreferDeadline, newFailureRate: baselineFailures, newDelay: noDelay}
	is.Equal(c.run(1).phase, applier.PhaseDone) // no evidence against the new version
	is.True(InfeasibleReason(time.Unix(0, 0), time.Unix(5, 0)) != "")
	is.Equal(InfeasibleReason(time.Unix(0, 0), time.Unix(60, 0)), "")
	p := &Plan{}
	m := applier.Move{Phase: applier.PhaseRunning, Share: 450, UnsafeShare: 90, BegunAt: time.Unix(0, 0), Deadline: time.Unix(100, 0), Preference: applier.PreferCaution}
	p.AddEvidence(Evidence{Route: "/designs", Tally: Tally{Requests: 100}})
	_, ok := p.Next(time.Unix(1, 0), m, Capacity{})
	is.True(!ok)
	step, ok := p.Next(time.Unix(99, 0), m, Capacity{})
	is.True(ok && step.Late) // caution waits and reports it
	is.True(strings.Contains(step.Reason, "too little evidence"))
}
