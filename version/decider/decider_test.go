package decider

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// trial drives a plan second by second with seeded outcomes.
type trial struct {
	rate       int // rate is the requests a second; a tenth of them are deposits.
	length     time.Duration
	preference applier.Preference
	oldFail    float64
	newFail    func(route string, at time.Duration, share int) float64
	newSlow    func(at time.Duration, share int) time.Duration
}

// result is what a trial ended with. The shares are of all requests of the
// kind up to the end.
type result struct {
	phase            applier.Phase
	reason           string
	took             time.Duration
	badAll, badUnsaf float64
}

func (c trial) run(seed uint64) result {
	r := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(0, 0)
	m := applier.Move{ID: "m", From: "v1", To: "v2", Phase: applier.PhaseRunning, BegunAt: start, Deadline: start.Add(c.length), Preference: c.preference}
	p := &Plan{MoveID: "m"}
	var all, unsafeAll, bad, badUnsafe float64
	for at := time.Duration(0); at < 2*c.length; at += time.Second {
		for range c.rate {
			route, unsafe, share := "/designs", false, m.Share
			if r.IntN(10) == 0 {
				route, unsafe, share = "/deposits", true, m.UnsafeShare
			}
			isNew := r.IntN(applier.FullShare) < share
			fail, latency := c.oldFail, time.Duration(5+r.ExpFloat64()*5)*time.Millisecond
			if isNew {
				fail = c.newFail(route, at, m.Share)
				latency += c.newSlow(at, m.Share)
			}
			e := Evidence{MoveID: "m", New: isNew, Route: route, Unsafe: unsafe}
			e.Add(r.Float64() < fail, false, latency)
			p.AddEvidence(e)
			all++
			if unsafe {
				unsafeAll++
			}
			if isNew && unsafe {
				badUnsafe++
			}
			if isNew {
				bad++
			}
		}
		step, ok := p.Next(start.Add(at), m, Capacity{NewSlots: 1000, OldTargets: 1})
		if !ok {
			continue
		}
		if step.Phase != applier.PhaseRunning {
			return result{step.Phase, step.Reason, at, bad / all, badUnsafe / max(unsafeAll, 1)}
		}
		m.Share, m.UnsafeShare, m.Late = step.Share, step.UnsafeShare, m.Late || step.Late
	}
	return result{phase: applier.PhaseRunning}
}

func never(string, time.Duration, int) float64 { return 0.001 }

func quick(time.Duration, int) time.Duration { return 0 }

func TestBadTargetShareBounded(t *testing.T) {
	const seeds = 30
	cases := []struct {
		name  string
		trial trial
	}{
		{"fails at once", trial{oldFail: 0.001, newFail: func(string, time.Duration, int) float64 { return 1 }, newSlow: quick}},
		{"fails often", trial{oldFail: 0.001, newFail: func(string, time.Duration, int) float64 { return 0.3 }, newSlow: quick}},
		{"slow at once", trial{oldFail: 0.001, newFail: never, newSlow: func(time.Duration, int) time.Duration { return 200 * time.Millisecond }}},
		{"fails on the deposit route only", trial{oldFail: 0.001, newFail: func(route string, _ time.Duration, _ int) float64 {
			if route == "/deposits" {
				return 1
			}
			return 0.001
		}, newSlow: quick}},
	}
	for _, c := range cases {
		for _, preference := range []applier.Preference{applier.PreferDeadline, applier.PreferCaution} {
			t.Run(c.name+" "+string(preference), func(t *testing.T) {
				is := is.New(t)
				c.trial.rate, c.trial.length, c.trial.preference = 100, 10*time.Minute, preference
				for seed := range uint64(seeds) {
					r := c.trial.run(seed)
					t.Logf("seed %d: %s after %s, %.4f of all, %.4f of deposits, %s", seed, r.phase, r.took, r.badAll, r.badUnsaf, r.reason)
					is.Equal(r.phase, applier.PhaseRolledBack)
					is.True(r.badAll <= 0.05)   // at most 5% of requests
					is.True(r.badUnsaf <= 0.01) // at most 1% of deposits
				}
			})
		}
	}
}

func TestGoodVersionsArrive(t *testing.T) {
	const seeds = 30
	for _, preference := range []applier.Preference{applier.PreferDeadline, applier.PreferCaution} {
		is := is.New(t)
		for seed := range uint64(seeds) {
			c := trial{rate: 100, length: 10 * time.Minute, preference: preference, oldFail: 0.01,
				newFail: func(string, time.Duration, int) float64 { return 0.01 }, newSlow: quick}
			r := c.run(seed)
			t.Logf("seed %d: %s after %s, %s", seed, r.phase, r.took, r.reason)
			is.Equal(r.phase, applier.PhaseDone)
			is.True(r.took <= c.length)
		}
	}
}

func TestFaultOfBothIsNobodys(t *testing.T) {
	is := is.New(t)
	c := trial{rate: 100, length: 10 * time.Minute, preference: applier.PreferDeadline, oldFail: 0.4,
		newFail: func(string, time.Duration, int) float64 { return 0.4 }, newSlow: quick}
	for seed := range uint64(20) {
		is.Equal(c.run(seed).phase, applier.PhaseDone)
	}
}

func TestLittleEvidence(t *testing.T) {
	is := is.New(t)
	c := trial{rate: 0, length: 10 * time.Minute, preference: applier.PreferDeadline, newFail: never, newSlow: quick}
	is.Equal(c.run(1).phase, applier.PhaseDone) // nothing is against it
	is.True(InfeasibleReason(time.Unix(0, 0), time.Unix(5, 0)) != "")
	is.Equal(InfeasibleReason(time.Unix(0, 0), time.Unix(60, 0)), "")
	p := &Plan{}
	m := applier.Move{Phase: applier.PhaseRunning, Share: 450, UnsafeShare: 90, BegunAt: time.Unix(0, 0), Deadline: time.Unix(100, 0), Preference: applier.PreferCaution}
	p.AddEvidence(Evidence{Route: "/designs", Tally: Tally{Requests: 100}})
	_, ok := p.Next(time.Unix(1, 0), m, Capacity{})
	is.True(!ok)
	step, ok := p.Next(time.Unix(99, 0), m, Capacity{})
	is.True(ok && step.Late) // caution waits and says so
	is.True(strings.Contains(step.Reason, "too little evidence"))
}
