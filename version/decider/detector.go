package decider

import (
	"fmt"
	"math"
)

const (
	// LongMoveThreshold is the log likelihood ratio at which a version counts as bad.
	// A cumulative sum reaches it by chance about once in exp(LongMoveThreshold) excursions.
	LongMoveThreshold = 14.0
	// ShortMoveThreshold is that of moves of seconds: there are fewer windows for chance,
	// and less time to find a bad version in.
	ShortMoveThreshold = 9.0
	// failureExcess is the failure rate above the old version's that the test looks for.
	failureExcess = 0.05
	// grossExcess finds a version that fails often many times sooner, also where
	// the old version's own failure rate is high.
	grossExcess = 0.3
	// grossDoubt is how many standard errors above its measured rate the old
	// version's failure rate may be.
	grossDoubt = 2
	// failureFloor is the least failure rate that is assumed of the old version.
	failureFloor = 0.002
	// slowExcess is the share of slow requests above the old version's that the test looks for.
	slowExcess = 0.3
	slowFloor  = 0.02
	// leastBasis is the number of the old version's requests that slowness is judged against.
	leastBasis = 20.0
	maxRate    = 0.95
)

// routeState is the sequential test of one route.
type routeState struct {
	unsafe            bool
	old, new          Tally // old and new are of the window that is open.
	oldTotal          Tally
	newTotal          Tally
	newStage          uint64 // newStage counts the new version's requests since the stage began.
	base              baseline
	failScore, slowed float64
	grossScore        float64
}

// RegressionDetector tells whether a new target version is worse than the old one,
// route by route, from what was seen of both in the same windows. Each route
// has two cumulative sums, for failures and for slowness; they never fall
// below zero, so a version that goes bad late is found as fast as one that is
// bad at once. It is not safe for concurrent use.
type RegressionDetector struct {
	Threshold float64 // Alarm is the score at which a version counts as bad; LongAlarm when zero.

	routes map[string]*routeState
}

func (d *RegressionDetector) alarm() float64 {
	if d.Threshold == 0 {
		return LongMoveThreshold
	}
	return d.Threshold
}

// Add takes evidence into the open window.
func (d *RegressionDetector) Add(e Evidence) {
	r := d.route(e.Route, e.Unsafe)
	if e.New {
		r.new.Merge(e.Tally)
		return
	}
	r.old.Merge(e.Tally)
}

func (d *RegressionDetector) route(name string, unsafe bool) *routeState {
	if d.routes == nil {
		d.routes = map[string]*routeState{}
	}
	r, ok := d.routes[name]
	if !ok {
		r = &routeState{unsafe: unsafe}
		d.routes[name] = r
	}
	return r
}

// Regression is a route on which the new version is worse.
type Regression struct {
	Route  string
	Detail string
}

// CloseWindow ends the open window and returns what was found, nil when the new
// version is no worse as far as is known.
func (d *RegressionDetector) CloseWindow() *Regression {
	var worst *Regression
	for name, r := range d.routes {
		if f := r.close(name, d.alarm()); f != nil && (worst == nil || f.Route < worst.Route) {
			worst = f
		}
	}
	return worst
}

func (r *routeState) close(name string, alarm float64) *Regression {
	// The old version's requests of this window count before the new one's
	// are judged: a fault that hits both is nobody's.
	r.base.add(r.old)
	r.oldTotal.Merge(r.old)
	r.newTotal.Merge(r.new)
	r.newStage += r.new.Requests
	r.judgeFailures()
	r.judgeSlowness()
	r.old, r.new = Tally{}, Tally{}
	switch {
	case max(r.failScore, r.grossScore) >= alarm:
		return &Regression{Route: name, Detail: fmt.Sprintf("route %s: %d of %d requests to the new version failed, %d of %d to the old one",
			name, r.newTotal.Failures, r.newTotal.Requests, r.oldTotal.Failures, r.oldTotal.Requests)}
	case r.slowed >= alarm:
		return &Regression{Route: name, Detail: fmt.Sprintf("route %s: the new version takes %.1f ms on average, the old one %.1f ms",
			name, r.newTotal.meanMillis(), r.oldTotal.meanMillis())}
	}
	return nil
}

func (t Tally) meanMillis() float64 { return 1000 * t.Seconds / math.Max(float64(t.Requests), 1) }

func (r *routeState) judgeFailures() {
	if r.new.Requests == 0 {
		return
	}
	p0 := r.base.failureRate(failureFloor)
	if r.old.Requests > 0 {
		window := (float64(r.old.Failures) + smoothFailures) / (float64(r.old.Requests) + 1)
		if r.old.Failures > 0 {
			p0 = max(p0, window)
		}
	}
	p0 = min(p0, maxRate)
	failures, requests := float64(r.new.Failures), float64(r.new.Requests)
	r.failScore = score(r.failScore, p0, failureExcess, failures, requests)
	// Few requests of the old version say little, so its rate is taken as high
	// as they allow.
	doubt := grossDoubt * math.Sqrt(p0*(1-p0)/max(r.base.requests, 1))
	r.grossScore = score(r.grossScore, min(p0+doubt, maxRate), grossExcess, failures, requests)
}

func (r *routeState) judgeSlowness() {
	from, rate, ok := r.base.slowFrom(leastBasis)
	if !ok || len(r.new.Buckets) == 0 {
		return
	}
	total, slow := 0.0, 0.0
	for i, n := range r.new.Buckets {
		total += float64(n)
		if i >= from {
			slow += float64(n)
		}
	}
	r.slowed = score(r.slowed, max(min(rate, maxRate), slowFloor), slowExcess, slow, total)
}

// score adds a window's log likelihood ratio of the rate p0+excess against p0.
func score(old, p0, excess, hits, total float64) float64 {
	p1 := p0 + excess*(1-p0)
	step := hits*math.Log(p1/p0) + (total-hits)*math.Log((1-p1)/(1-p0))
	return max(old+step, 0)
}

// HasEnoughRequests reports whether each route of the kind has seen least requests of the
// new version, or has no traffic at all. They count from the move's beginning
// if whole is set, else from the stage's.
func (d *RegressionDetector) HasEnoughRequests(unsafe bool, least uint64, whole bool) bool {
	for _, r := range d.routes {
		seen := r.newStage
		if whole {
			seen = r.newTotal.Requests
		}
		if r.unsafe == unsafe && seen < least && r.oldTotal.Requests > 0 {
			return false
		}
	}
	return true
}

// StageRequests returns the requests of the new version in this stage.
func (d *RegressionDetector) StageRequests() uint64 {
	n := uint64(0)
	for _, r := range d.routes {
		n += r.newStage
	}
	return n
}

// SuspectsRegression reports whether any route is on its way to an alarm.
func (d *RegressionDetector) SuspectsRegression() bool {
	for _, r := range d.routes {
		if max(r.failScore, r.grossScore, r.slowed) > d.alarm()/2 {
			return true
		}
	}
	return false
}

// BeginStage counts the new version's requests anew.
func (d *RegressionDetector) BeginStage() {
	for _, r := range d.routes {
		r.newStage = 0
	}
}

// openSeconds returns the sum of the latencies in the open window.
func (d *RegressionDetector) openSeconds() float64 {
	s := 0.0
	for _, r := range d.routes {
		s += r.old.Seconds + r.new.Seconds
	}
	return s
}
