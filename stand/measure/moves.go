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
	shareLimit    = 0.05
	unsafeLimit   = 0.01
	falseLimit    = 0.01
	unsafeEvery   = 10 // unsafeEvery is the number of requests of which one is a deposit.
	usualFailures = 0.002
	stepTime      = time.Second
	slots         = 1000
)

// moves drives the real decision code with seeded outcomes: no network, and a
// clock that is only a number.
type moves struct {
	options *options
	Seeds   int `long:"seeds" default:"200" description:"Seeds of each case"`
}

// moveCase is one kind of new version.
type moveCase struct {
	name   string
	good   bool
	rate   int           // rate is the requests a second.
	length time.Duration // length is the time up to the deadline.
	oldBad float64       // oldBad is the old version's failure rate.
	onset  time.Duration // onset is when the fault begins.
	fail   func(s state) float64
	slow   func(s state) time.Duration
}

// state is what a fault may depend on.
type state struct {
	unsafe bool
	at     time.Duration
	share  int
}

func fails(rate float64) func(state) float64 { return func(state) float64 { return rate } }

func slowBy(d time.Duration) func(state) time.Duration {
	return func(state) time.Duration { return d }
}

const usualLength = 10 * time.Minute

func cases() []moveCase {
	usual, quick := fails(usualFailures), slowBy(0)
	later := 5 * time.Minute
	return []moveCase{
		{"good", true, 100, usualLength, usualFailures, 0, usual, quick},
		{"good, a fault of both", true, 100, usualLength, 0.3, 0, fails(0.3), quick},
		{"good, cold start", true, 100, usualLength, usualFailures, 0, usual, func(s state) time.Duration {
			return max(0, time.Second-s.at/10)
		}},
		{"good, little traffic", true, 2, usualLength, usualFailures, 0, usual, quick},
		{"good, deadline near", true, 100, 40 * time.Second, usualFailures, 0, usual, quick},
		{"fails at once", false, 100, usualLength, usualFailures, 0, fails(1), quick},
		{"fails in part", false, 100, usualLength, usualFailures, 0, fails(0.2), quick},
		{"slow at once", false, 100, usualLength, usualFailures, 0, usual, slowBy(200 * time.Millisecond)},
		{"fails later", false, 100, usualLength, usualFailures, later, func(s state) float64 {
			if s.at >= later {
				return 0.5
			}
			return usualFailures
		}, quick},
		{"slow under load only", false, 100, usualLength, usualFailures, 0, usual, func(s state) time.Duration {
			if s.share >= 2500 {
				return 300 * time.Millisecond
			}
			return 0
		}},
		{"fails on reads only", false, 100, usualLength, usualFailures, 0, func(s state) float64 {
			if s.unsafe {
				return usualFailures
			}
			return 0.5
		}, quick},
		{"fails on deposits only", false, 100, usualLength, usualFailures, 0, func(s state) float64 {
			if s.unsafe {
				return 1
			}
			return usualFailures
		}, quick},
		{"fails, little traffic", false, 2, usualLength, usualFailures, 0, fails(1), quick},
	}
}

// ended is how one run ended. The shares count requests that went to the new
// version from the onset of its fault on, of all requests up to the end.
type ended struct {
	phase       applier.Phase
	at          time.Duration
	all, unsafe float64
}

// Execute implements flags.Commander.
func (c *moves) Execute([]string) error {
	var list []figure
	for _, m := range cases() {
		for _, preference := range []applier.Preference{applier.PreferDeadline, applier.PreferCaution} {
			var runs []ended
			for seed := range c.Seeds {
				runs = append(runs, m.run(preference, uint64(seed)))
			}
			list = append(list, m.figures(preference, runs)...)
		}
	}
	return c.options.print(list)
}

func (m moveCase) figures(preference applier.Preference, runs []ended) []figure {
	name := func(what string) string { return fmt.Sprintf("%s, %s: %s", m.name, preference, what) }
	count := func(f func(ended) bool) float64 {
		n := 0
		for _, r := range runs {
			if f(r) {
				n++
			}
		}
		return float64(n) / float64(len(runs))
	}
	back := count(func(r ended) bool { return r.phase == applier.PhaseRolledBack })
	if m.good {
		inTime := count(func(r ended) bool { return r.phase == applier.PhaseDone && r.at <= m.length })
		return []figure{
			{name("done in time"), inTime, "of 1", ">= 1", inTime >= 1},
			atMost(name("false take-backs"), back, "of 1", falseLimit),
		}
	}
	var all, unsafe, at []float64
	for _, r := range runs {
		all, unsafe, at = append(all, r.all), append(unsafe, r.unsafe), append(at, (r.at-m.onset).Seconds())
	}
	return []figure{
		{name("taken back"), back, "of 1", ">= 1", back >= 1},
		atMost(name("worst share of all"), slices.Max(all), "of 1", shareLimit),
		plain(name("median share of all"), median(all), "of 1"),
		atMost(name("worst share of deposits"), slices.Max(unsafe), "of 1", unsafeLimit),
		plain(name("median time to take back"), median(at), "s"),
	}
}

// tallies counts requests while a run goes on.
type tallies struct{ all, unsafe, bad, badUnsafe float64 }

func (m moveCase) run(preference applier.Preference, seed uint64) ended {
	r := rand.New(rand.NewPCG(seed, 11))
	start := time.Unix(0, 0)
	move := applier.Move{ID: "m", Phase: applier.PhaseRunning, BegunAt: start, Deadline: start.Add(m.length), Preference: preference}
	plan := &decider.Plan{MoveID: "m"}
	var t tallies
	at := time.Duration(0)
	for ; at < 2*m.length; at += stepTime {
		for range m.rate {
			m.request(r, plan, move, at, &t)
		}
		step, ok := plan.Next(start.Add(at), move, decider.Capacity{NewSlots: slots, OldTargets: 1})
		if !ok {
			continue
		}
		if step.Phase != applier.PhaseRunning {
			move.Phase = step.Phase
			break
		}
		move.Share, move.UnsafeShare, move.Late = step.Share, step.UnsafeShare, move.Late || step.Late
	}
	return ended{move.Phase, at, t.bad / max(t.all, 1), t.badUnsafe / max(t.unsafe, 1)}
}

// request makes one request and shows its end to the plan.
func (m moveCase) request(r *rand.Rand, plan *decider.Plan, move applier.Move, at time.Duration, t *tallies) {
	s := state{unsafe: r.IntN(unsafeEvery) == 0, at: at, share: move.Share}
	route, share := "/designs", move.Share
	if s.unsafe {
		route, share = "/deposits", move.UnsafeShare
		t.unsafe++
	}
	t.all++
	fail := m.oldBad
	latency := time.Duration(5+r.ExpFloat64()*5) * time.Millisecond
	e := decider.Evidence{MoveID: "m", Route: route, Unsafe: s.unsafe, New: r.IntN(applier.FullShare) < share}
	if e.New {
		fail = m.fail(s)
		latency += m.slow(s)
		if at >= m.onset {
			t.bad++
			if s.unsafe {
				t.badUnsafe++
			}
		}
	}
	e.Add(r.Float64() < fail, m.cold(s, e.New), latency)
	plan.AddEvidence(e)
}

// cold tells whether the new targets have just started, as nodes would.
func (m moveCase) cold(s state, isNew bool) bool { return isNew && s.at < 10*time.Second }
