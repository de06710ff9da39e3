package decider

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// decisionStep is the interval between two decisions in a simulation.
	decisionStep = DecisionInterval
	// evidenceDelay is the age of evidence when a decision uses it.
	evidenceDelay = 2 * decisionStep
	// maxExposedShare of the requests of the whole move, plus maxExposedExtra
	// requests, bound what a bad version may receive.
	maxExposedShare, maxExposedExtra = 0.1, 50
)

// shortSimulation runs a plan for a move of less than a minute with random
// outcomes from a seed. Requests go to two routes; one in four is not idempotent.
type shortSimulation struct {
	rate           float64 // rate is in requests a second.
	length         time.Duration
	oldFailureRate float64
	newFailureRate func(unsafe bool, at time.Duration, share int) float64
	latencyFactor  func(at time.Duration) float64 // latencyFactor multiplies the new version's latency.
	targetsStartAt time.Duration                  // targetsStartAt is the time at which the new version has targets.
}

// shortSimulationResult is the end of a move, with the number of all requests and
// of those to the new version.
type shortSimulationResult struct {
	phase        applier.Phase
	duration     time.Duration
	all, exposed int
	reason       string
}

func (c shortSimulation) run(seed uint64) shortSimulationResult {
	r := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(0, 0)
	m := applier.Move{ID: "m", From: "v1", To: "v2", Phase: applier.PhaseRunning, BegunAt: start, Deadline: start.Add(c.length), Preference: applier.PreferDeadline}
	p := &Plan{MoveID: "m"}
	var pending [][]Evidence
	out := shortSimulationResult{phase: applier.PhaseRunning}
	for at := time.Duration(0); at < c.length; at += decisionStep {
		var window []Evidence
		for range int(c.rate * decisionStep.Seconds() * (0.8 + 0.4*r.Float64())) {
			e, isNew := c.request(r, at, m)
			window = append(window, e)
			out.all++
			if isNew {
				out.exposed++
			}
		}
		pending = append(pending, window)
		if len(pending) > int(evidenceDelay/decisionStep) {
			for _, e := range pending[0] {
				p.AddEvidence(e)
			}
			pending = pending[1:]
		}
		capacity := Capacity{OldTargets: 3}
		if at >= c.targetsStartAt {
			capacity.NewSlots = 1000
		}
		step, ok := p.Next(start.Add(at), m, capacity)
		if !ok || out.phase != applier.PhaseRunning {
			continue
		}
		if step.Phase != applier.PhaseRunning {
			out.phase, out.duration, out.reason = step.Phase, at, step.Reason
			m.Phase, m.Share, m.UnsafeShare = step.Phase, 0, 0
			continue
		}
		m.Share, m.UnsafeShare = step.Share, step.UnsafeShare
	}
	return out
}

// request draws one request with its outcome, and reports whether it went to the
// new version.
func (c shortSimulation) request(r *rand.Rand, at time.Duration, m applier.Move) (Evidence, bool) {
	unsafe := r.IntN(4) == 0
	route, share := "/designs", m.Share
	if unsafe {
		route, share = "/deposits", m.UnsafeShare
	}
	isNew := r.IntN(applier.FullShare) < share
	fail, latency := c.oldFailureRate, time.Duration((0.7+0.6*r.Float64())*200)*time.Millisecond
	if isNew {
		fail = c.newFailureRate(unsafe, at, m.Share)
		latency = time.Duration(float64(latency) * c.latencyFactor(at))
	}
	e := Evidence{MoveID: "m", New: isNew, Route: route, Unsafe: unsafe}
	e.Add(r.Float64() < fail, false, latency)
	return e, isNew
}

func constantFailures(rate float64) func(bool, time.Duration, int) float64 {
	return func(bool, time.Duration, int) float64 { return rate }
}

func sameLatency(time.Duration) float64 { return 1 }

// TestShortMovesBounded guards against a bad version that receives more than the
// bound of the requests of a short move, or that is not rolled back. Each row is
// a kind of fault, from the beginning, after some time or above some share.
func TestShortMovesBounded(t *testing.T) {
	rows := []struct {
		name string
		fail func(bool, time.Duration, int) float64
		slow func(time.Duration) float64
		old  float64
	}{
		{"fails at once", constantFailures(0.5), sameLatency, 0.005},
		{"fails a third", constantFailures(0.35), sameLatency, 0.005},
		{"fails while the old one fails too", constantFailures(0.5), sameLatency, 0.1},
		{"slow", constantFailures(0.005), func(time.Duration) float64 { return 8 }, 0.005},
		{"fails on one route only", func(unsafe bool, _ time.Duration, _ int) float64 {
			if unsafe {
				return 0.5
			}
			return 0.005
		}, sameLatency, 0.005},
		{"fails from 3 s on", func(_ bool, at time.Duration, _ int) float64 {
			if at > 3*time.Second {
				return 0.5
			}
			return 0.005
		}, sameLatency, 0.005},
		{"fails under load", func(_ bool, _ time.Duration, share int) float64 {
			if share >= 2000 {
				return 0.35
			}
			return 0.005
		}, sameLatency, 0.005},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			worst := 0.0
			for _, length := range []time.Duration{12 * time.Second, 16 * time.Second} {
				for seed := range uint64(30) {
					c := shortSimulation{rate: 140, length: length, oldFailureRate: row.old, newFailureRate: row.fail, latencyFactor: row.slow}
					r := c.run(seed)
					is.Equal(r.phase, applier.PhaseRolledBack)
					is.True(float64(r.exposed) <= maxExposedShare*float64(r.all)+maxExposedExtra)
					worst = max(worst, float64(r.exposed)/(maxExposedShare*float64(r.all)+maxExposedExtra))
				}
			}
			t.Logf("worst exposure %.2f of the bound", worst)
		})
	}
}

// TestShortMovesComplete guards against a rollback by chance and a missed deadline
// in short moves to good versions, also when the new version's targets start late
// or both versions fail at the same rate.
func TestShortMovesComplete(t *testing.T) {
	for _, c := range []shortSimulation{
		{rate: 140, length: 12 * time.Second, oldFailureRate: 0.005, newFailureRate: constantFailures(0.005)},
		{rate: 230, length: 16 * time.Second, oldFailureRate: 0.05, newFailureRate: constantFailures(0.05)},
		{rate: 140, length: 14 * time.Second, oldFailureRate: 0.005, newFailureRate: constantFailures(0.005), targetsStartAt: 3 * time.Second},
	} {
		is := is.New(t)
		c.latencyFactor = sameLatency
		latest := time.Duration(0)
		for seed := range uint64(100) {
			r := c.run(seed)
			if r.phase != applier.PhaseDone {
				t.Logf("seed %d: %s after %s: %s", seed, r.phase, r.duration, r.reason)
			}
			is.Equal(r.phase, applier.PhaseDone)
			latest = max(latest, r.duration)
		}
		t.Logf("done after %s at the latest, of %s", latest, c.length)
		is.True(latest < c.length)
	}
}
