package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
)

const (
	shareLimit         = 0.05
	unsafeLimit        = 0.01
	falseRollbackLimit = 0.01
	requestsPerDeposit = 10 // requestsPerDeposit is the mean number of requests of which one is a deposit.
	usualFailureRate   = 0.002
	stepInterval       = time.Second
	newSlots           = 1000
)

// moves runs the real decision code on simulated request outcomes from seeds, without a
// network and with a simulated clock.
type moves struct {
	options *options
	Seeds   int `long:"seeds" default:"200" description:"Seeds of each case"`
}

// moveCase is one behaviour of a new version, with the traffic and the deadline of the
// move.
type moveCase struct {
	name              string
	good              bool                               // good is set if the move must be done, not rolled back.
	requestsPerSecond int                                // requestsPerSecond counts all requests, to both versions.
	untilDeadline     time.Duration                      // untilDeadline is the time from the start of the move to its deadline.
	oldFailureRate    float64                            // oldFailureRate is the share of the old version's requests that fail.
	faultOnset        time.Duration                      // faultOnset is the time from the start of the move to the fault.
	newFailureRate    func(s requestState) float64       // newFailureRate is the probability that a request to the new version fails.
	addedLatency      func(s requestState) time.Duration // addedLatency is added to the latency of a request to the new version.
}

// requestState holds the properties of a request on which a fault may depend.
type requestState struct {
	unsafe bool          // unsafe marks a deposit, which is not idempotent.
	at     time.Duration // at is the time since the move began.
	share  int           // share is the new version's share in basis points.
}

// constantRate returns a failure rate that is the same for all requests.
func constantRate(rate float64) func(requestState) float64 {
	return func(requestState) float64 { return rate }
}

// constantLatency returns an added latency that is the same for all requests.
func constantLatency(d time.Duration) func(requestState) time.Duration {
	return func(requestState) time.Duration { return d }
}

const usualMoveDuration = 10 * time.Minute

// moveCases returns good versions, which must be moved to, and faulty ones, which must be
// rolled back.
func moveCases() []moveCase {
	usual, quick := constantRate(usualFailureRate), constantLatency(0)
	later := 5 * time.Minute
	return []moveCase{
		{"good", true, 100, usualMoveDuration, usualFailureRate, 0, usual, quick},
		{"good, a fault of both", true, 100, usualMoveDuration, 0.3, 0, constantRate(0.3), quick},
		{"good, cold start", true, 100, usualMoveDuration, usualFailureRate, 0, usual, func(s requestState) time.Duration {
			return max(0, time.Second-s.at/10)
		}},
		{"good, little traffic", true, 2, usualMoveDuration, usualFailureRate, 0, usual, quick},
		{"good, deadline near", true, 100, 40 * time.Second, usualFailureRate, 0, usual, quick},
		{"fails at once", false, 100, usualMoveDuration, usualFailureRate, 0, constantRate(1), quick},
		{"fails in part", false, 100, usualMoveDuration, usualFailureRate, 0, constantRate(0.2), quick},
		{"slow at once", false, 100, usualMoveDuration, usualFailureRate, 0, usual, constantLatency(200 * time.Millisecond)},
		{"fails later", false, 100, usualMoveDuration, usualFailureRate, later, func(s requestState) float64 {
			if s.at >= later {
				return 0.5
			}
			return usualFailureRate
		}, quick},
		{"slow under load only", false, 100, usualMoveDuration, usualFailureRate, 0, usual, func(s requestState) time.Duration {
			if s.share >= 2500 {
				return 300 * time.Millisecond
			}
			return 0
		}},
		{"fails on reads only", false, 100, usualMoveDuration, usualFailureRate, 0, func(s requestState) float64 {
			if s.unsafe {
				return usualFailureRate
			}
			return 0.5
		}, quick},
		{"fails on deposits only", false, 100, usualMoveDuration, usualFailureRate, 0, func(s requestState) float64 {
			if s.unsafe {
				return 1
			}
			return usualFailureRate
		}, quick},
		{"fails, little traffic", false, 2, usualMoveDuration, usualFailureRate, 0, constantRate(1), quick},
	}
}

// moveResult is the result of one run. at is the time from its start to its end. The shares
// are those of all requests, and of all deposits, that went to the new version after the
// onset of its fault.
type moveResult struct {
	phase                     applier.Phase
	at                        time.Duration
	shareOfAll, shareOfUnsafe float64
}

// Execute implements flags.Commander.
func (c *moves) Execute([]string) error {
	var list []figure
	for _, m := range moveCases() {
		for _, preference := range []applier.Preference{applier.PreferDeadline, applier.PreferCaution} {
			var runs []moveResult
			for seed := range c.Seeds {
				runs = append(runs, m.run(preference, uint64(seed)))
			}
			list = append(list, m.figures(preference, runs)...)
		}
	}
	return c.options.print(list)
}

// figures summarises the runs of one case: for a good version the moves done in time and
// the false rollbacks, else the rollbacks and the requests that the fault could affect.
func (m moveCase) figures(preference applier.Preference, runs []moveResult) []figure {
	name := func(what string) string { return fmt.Sprintf("%s, %s: %s", m.name, preference, what) }
	count := func(f func(moveResult) bool) float64 {
		n := 0
		for _, r := range runs {
			if f(r) {
				n++
			}
		}
		return float64(n) / float64(len(runs))
	}
	rolledBack := count(func(r moveResult) bool { return r.phase == applier.PhaseRolledBack })
	if m.good {
		inTime := count(func(r moveResult) bool { return r.phase == applier.PhaseDone && r.at <= m.untilDeadline })
		return []figure{
			{name("done in time"), inTime, "of 1", ">= 1", inTime >= 1},
			atMost(name("false take-backs"), rolledBack, "of 1", falseRollbackLimit),
		}
	}
	var all, unsafe, at []float64
	for _, r := range runs {
		all, unsafe, at = append(all, r.shareOfAll), append(unsafe, r.shareOfUnsafe), append(at, (r.at-m.faultOnset).Seconds())
	}
	return []figure{
		{name("taken back"), rolledBack, "of 1", ">= 1", rolledBack >= 1},
		atMost(name("worst share of all"), slices.Max(all), "of 1", shareLimit),
		withoutTarget(name("median share of all"), median(all), "of 1"),
		atMost(name("worst share of deposits"), slices.Max(unsafe), "of 1", unsafeLimit),
		withoutTarget(name("median time to take back"), median(at), "s"),
	}
}

// requestCounts counts the requests of one run; toNew and unsafeToNew count from the onset
// of the fault.
type requestCounts struct{ all, unsafe, toNew, unsafeToNew float64 }

// run simulates one move until it ends, or for twice the time to its deadline.
func (m moveCase) run(preference applier.Preference, seed uint64) moveResult {
	r := rand.New(rand.NewPCG(seed, 11))
	start := time.Unix(0, 0)
	move := applier.Move{ID: "m", Phase: applier.PhaseRunning, BegunAt: start, Deadline: start.Add(m.untilDeadline), Preference: preference}
	plan := &decider.Plan{MoveID: "m"}
	var t requestCounts
	at := time.Duration(0)
	for ; at < 2*m.untilDeadline; at += stepInterval {
		for range m.requestsPerSecond {
			m.simulateRequest(r, plan, move, at, &t)
		}
		step, ok := plan.Next(start.Add(at), move, decider.Capacity{NewSlots: newSlots, OldTargets: 1})
		if !ok {
			continue
		}
		if step.Phase != applier.PhaseRunning {
			move.Phase = step.Phase
			break
		}
		move.Share, move.UnsafeShare, move.Late = step.Share, step.UnsafeShare, move.Late || step.Late
	}
	return moveResult{move.Phase, at, t.toNew / max(t.all, 1), t.unsafeToNew / max(t.unsafe, 1)}
}

// simulateRequest simulates one request and adds its outcome to the plan's evidence.
func (m moveCase) simulateRequest(r *rand.Rand, plan *decider.Plan, move applier.Move, at time.Duration, t *requestCounts) {
	s := requestState{unsafe: r.IntN(requestsPerDeposit) == 0, at: at, share: move.Share}
	route, share := "/designs", move.Share
	if s.unsafe {
		route, share = "/deposits", move.UnsafeShare
		t.unsafe++
	}
	t.all++
	fail := m.oldFailureRate
	latency := time.Duration(5+r.ExpFloat64()*5) * time.Millisecond
	e := decider.Evidence{MoveID: "m", Route: route, Unsafe: s.unsafe, New: r.IntN(applier.FullShare) < share}
	if e.New {
		fail = m.newFailureRate(s)
		latency += m.addedLatency(s)
		if at >= m.faultOnset {
			t.toNew++
			if s.unsafe {
				t.unsafeToNew++
			}
		}
	}
	e.Add(r.Float64() < fail, m.coldStart(s, e.New), latency)
	plan.AddEvidence(e)
}

// coldStart reports whether the new targets count as just started, for 10 s as on nodes.
func (m moveCase) coldStart(s requestState, isNew bool) bool { return isNew && s.at < 10*time.Second }
