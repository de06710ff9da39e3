package decider

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// shortStep is the time between two decisions in a replay.
	shortStep = DecisionInterval
	// evidenceDelay is how old evidence is when it is decided upon.
	evidenceDelay = 2 * shortStep
	// exposedShare and exposedSlack bound what a bad version may get of the
	// requests of the whole move.
	exposedShare, exposedSlack = 0.1, 50
)

// shortTrial drives a move of seconds with seeded outcomes. Requests are to
// two routes; one in four is not idempotent.
type shortTrial struct {
	rate    float64 // rate is in requests a second.
	length  time.Duration
	oldFail float64
	newFail func(unsafe bool, at time.Duration, share int) float64
	newSlow func(at time.Duration) float64 // newSlow multiplies the latency.
	joinsAt time.Duration                  // joinsAt is when the new version's targets are there.
}

type shortResult struct {
	phase        applier.Phase
	took         time.Duration
	all, exposed int
	reason       string
}

func (c shortTrial) run(seed uint64) shortResult {
	r := rand.New(rand.NewPCG(seed, 2))
	start := time.Unix(0, 0)
	m := applier.Move{ID: "m", From: "v1", To: "v2", Phase: applier.PhaseRunning, BegunAt: start, Deadline: start.Add(c.length), Preference: applier.PreferDeadline}
	p := &Plan{MoveID: "m"}
	var pending [][]Evidence
	out := shortResult{phase: applier.PhaseRunning}
	for at := time.Duration(0); at < c.length; at += shortStep {
		var seen []Evidence
		for range int(c.rate * shortStep.Seconds() * (0.8 + 0.4*r.Float64())) {
			e, isNew := c.request(r, at, m)
			seen = append(seen, e)
			out.all++
			if isNew {
				out.exposed++
			}
		}
		pending = append(pending, seen)
		if len(pending) > int(evidenceDelay/shortStep) {
			for _, e := range pending[0] {
				p.AddEvidence(e)
			}
			pending = pending[1:]
		}
		capacity := Capacity{OldTargets: 3}
		if at >= c.joinsAt {
			capacity.NewSlots = 1000
		}
		step, ok := p.Next(start.Add(at), m, capacity)
		if !ok || out.phase != applier.PhaseRunning {
			continue
		}
		if step.Phase != applier.PhaseRunning {
			out.phase, out.took, out.reason = step.Phase, at, step.Reason
			m.Phase, m.Share, m.UnsafeShare = step.Phase, 0, 0
			continue
		}
		m.Share, m.UnsafeShare = step.Share, step.UnsafeShare
	}
	return out
}

// request draws one request and how it ended.
func (c shortTrial) request(r *rand.Rand, at time.Duration, m applier.Move) (Evidence, bool) {
	unsafe := r.IntN(4) == 0
	route, share := "/designs", m.Share
	if unsafe {
		route, share = "/deposits", m.UnsafeShare
	}
	isNew := r.IntN(applier.FullShare) < share
	fail, latency := c.oldFail, time.Duration((0.7+0.6*r.Float64())*200)*time.Millisecond
	if isNew {
		fail = c.newFail(unsafe, at, m.Share)
		latency = time.Duration(float64(latency) * c.newSlow(at))
	}
	e := Evidence{MoveID: "m", New: isNew, Route: route, Unsafe: unsafe}
	e.Add(r.Float64() < fail, false, latency)
	return e, isNew
}

func steadyFail(rate float64) func(bool, time.Duration, int) float64 {
	return func(bool, time.Duration, int) float64 { return rate }
}

func asFast(time.Duration) float64 { return 1 }

// TestShortMovesBounded has a row for each way in which a version is bad: it
// is taken back, and gets no more than the bound of the whole move's requests.
func TestShortMovesBounded(t *testing.T) {
	rows := []struct {
		name string
		fail func(bool, time.Duration, int) float64
		slow func(time.Duration) float64
		old  float64
	}{
		{"fails at once", steadyFail(0.5), asFast, 0.005},
		{"fails a third", steadyFail(0.35), asFast, 0.005},
		{"fails while the old one fails too", steadyFail(0.5), asFast, 0.1},
		{"slow", steadyFail(0.005), func(time.Duration) float64 { return 8 }, 0.005},
		{"fails on one route only", func(unsafe bool, _ time.Duration, _ int) float64 {
			if unsafe {
				return 0.5
			}
			return 0.005
		}, asFast, 0.005},
		{"fails from 3 s on", func(_ bool, at time.Duration, _ int) float64 {
			if at > 3*time.Second {
				return 0.5
			}
			return 0.005
		}, asFast, 0.005},
		{"fails under load", func(_ bool, _ time.Duration, share int) float64 {
			if share >= 2000 {
				return 0.35
			}
			return 0.005
		}, asFast, 0.005},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			worst := 0.0
			for _, length := range []time.Duration{12 * time.Second, 16 * time.Second} {
				for seed := range uint64(30) {
					c := shortTrial{rate: 140, length: length, oldFail: row.old, newFail: row.fail, newSlow: row.slow}
					r := c.run(seed)
					is.Equal(r.phase, applier.PhaseRolledBack)
					is.True(float64(r.exposed) <= exposedShare*float64(r.all)+exposedSlack)
					worst = max(worst, float64(r.exposed)/(exposedShare*float64(r.all)+exposedSlack))
				}
			}
			t.Logf("worst exposure %.2f of the bound", worst)
		})
	}
}

// TestShortMovesArrive moves to good versions, also to one whose targets come
// late, and while both versions fail alike.
func TestShortMovesArrive(t *testing.T) {
	for _, c := range []shortTrial{
		{rate: 140, length: 12 * time.Second, oldFail: 0.005, newFail: steadyFail(0.005)},
		{rate: 230, length: 16 * time.Second, oldFail: 0.05, newFail: steadyFail(0.05)},
		{rate: 140, length: 14 * time.Second, oldFail: 0.005, newFail: steadyFail(0.005), joinsAt: 3 * time.Second},
	} {
		is := is.New(t)
		c.newSlow = asFast
		late := time.Duration(0)
		for seed := range uint64(100) {
			r := c.run(seed)
			if r.phase != applier.PhaseDone {
				t.Logf("seed %d: %s after %s: %s", seed, r.phase, r.took, r.reason)
			}
			is.Equal(r.phase, applier.PhaseDone)
			late = max(late, r.took)
		}
		t.Logf("done after %s at the latest, of %s", late, c.length)
		is.True(late < c.length)
	}
}
