package decider

import (
	"fmt"
	"math"
)

const (
	// LongMoveThreshold is the log likelihood ratio at which a version counts as
	// worse in a move of a minute or more. A cumulative sum reaches it by chance
	// about once in exp(LongMoveThreshold) excursions.
	LongMoveThreshold = 14.0
	// ShortMoveThreshold is the log likelihood ratio for moves of less than a
	// minute: there are fewer windows for chance, and less time to detect a bad
	// version.
	ShortMoveThreshold = 9.0
	// failureExcess is the failure rate above the old version's that the test
	// detects.
	failureExcess = 0.05
	// largeFailureExcess is the excess of a second test, which detects a version
	// that fails often many times sooner, also where the old version's own
	// failure rate is high.
	largeFailureExcess = 0.3
	// largeExcessStdErrors is how many standard errors above its measured value
	// the second test assumes the old version's failure rate.
	largeExcessStdErrors = 2
	// minFailureRate is the lowest failure rate that is assumed of the old
	// version.
	minFailureRate = 0.002
	// slowExcess is the fraction of slow requests above the old version's that
	// the test detects.
	slowExcess = 0.3
	// minSlowRate is the lowest fraction of slow requests that is assumed of the
	// old version.
	minSlowRate = 0.02
	// minBaselineRequests is the number of the old version's requests that a
	// comparison of latencies needs.
	minBaselineRequests = 20.0
	// maxRate bounds the old version's rates, since the test needs a rate above
	// them that is below 1.
	maxRate = 0.95
)

// routeState is the sequential test of one route.
type routeState struct {
	unsafe                      bool
	oldWindow, newWindow        Tally // oldWindow and newWindow are the tallies of the open window.
	oldTotal                    Tally
	newTotal                    Tally
	newStageRequests            uint64 // newStageRequests counts the new version's requests since the stage began.
	baseline                    baseline
	failureScore, slownessScore float64
	largeFailureScore           float64
}

// RegressionDetector detects whether a new target version is worse than the old
// one, route by route, from tallies of both versions in the same windows. Each
// route has cumulative sums for failures, for large failure rates and for
// slowness. The sum for large failure rates detects a version that fails often many
// times sooner. The sums never fall below zero, so a version that becomes bad late is
// detected as fast as one that is bad at once. It is not safe for concurrent use.
type RegressionDetector struct {
	Threshold float64 // Threshold is the score at which a version counts as worse; 0 means LongMoveThreshold.

	routes map[string]*routeState
}

// threshold returns the threshold with its default.
func (d *RegressionDetector) threshold() float64 {
	if d.Threshold == 0 {
		return LongMoveThreshold
	}
	return d.Threshold
}

// Add adds evidence to the open window.
func (d *RegressionDetector) Add(e Evidence) {
	r := d.route(e.Route, e.Unsafe)
	if e.New {
		r.newWindow.Merge(e.Tally)
		return
	}
	r.oldWindow.Merge(e.Tally)
}

// route returns the state of a route, which it creates if there is none.
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

// Regression is a route on which the new version is worse, with the figures of
// both versions as text.
type Regression struct {
	Route  string
	Detail string
}

// CloseWindow ends the open window and returns the regression whose route sorts
// first, nil when no route has reached the threshold.
func (d *RegressionDetector) CloseWindow() *Regression {
	var first *Regression
	for name, r := range d.routes {
		if f := r.closeWindow(name, d.threshold()); f != nil && (first == nil || f.Route < first.Route) {
			first = f
		}
	}
	return first
}

// closeWindow scores the open window and starts the next one. It returns the
// regression if a score has reached the threshold, else nil.
func (r *routeState) closeWindow(name string, threshold float64) *Regression {
	// The old version's requests of this window are added before the new one's
	// are scored, so that a fault that hits both versions counts against neither.
	r.baseline.add(r.oldWindow)
	r.oldTotal.Merge(r.oldWindow)
	r.newTotal.Merge(r.newWindow)
	r.newStageRequests += r.newWindow.Requests
	r.scoreFailures()
	r.scoreSlowness()
	r.oldWindow, r.newWindow = Tally{}, Tally{}
	switch {
	case max(r.failureScore, r.largeFailureScore) >= threshold:
		return &Regression{Route: name, Detail: fmt.Sprintf("route %s: %d of %d requests to the new version failed, %d of %d to the old one",
			name, r.newTotal.Failures, r.newTotal.Requests, r.oldTotal.Failures, r.oldTotal.Requests)}
	case r.slownessScore >= threshold:
		return &Regression{Route: name, Detail: fmt.Sprintf("route %s: the new version takes %.1f ms on average, the old one %.1f ms",
			name, r.newTotal.meanMillis(), r.oldTotal.meanMillis())}
	}
	return nil
}

// meanMillis returns the mean latency in milliseconds.
func (t Tally) meanMillis() float64 { return 1000 * t.Seconds / math.Max(float64(t.Requests), 1) }

// scoreFailures adds the open window to the two scores of failures.
func (r *routeState) scoreFailures() {
	if r.newWindow.Requests == 0 {
		return
	}
	p0 := r.baseline.failureRate(minFailureRate)
	if r.oldWindow.Requests > 0 {
		window := (float64(r.oldWindow.Failures) + failurePrior) / (float64(r.oldWindow.Requests) + 1)
		if r.oldWindow.Failures > 0 {
			p0 = max(p0, window)
		}
	}
	p0 = min(p0, maxRate)
	failures, requests := float64(r.newWindow.Failures), float64(r.newWindow.Requests)
	r.failureScore = addLogLikelihoodRatio(r.failureScore, p0, failureExcess, failures, requests)
	// A rate measured on few requests is uncertain, so the old version's rate is
	// taken at the upper end of its range.
	margin := largeExcessStdErrors * math.Sqrt(p0*(1-p0)/max(r.baseline.requests, 1))
	r.largeFailureScore = addLogLikelihoodRatio(r.largeFailureScore, min(p0+margin, maxRate), largeFailureExcess, failures, requests)
}

// scoreSlowness adds the open window to the score of slowness.
func (r *routeState) scoreSlowness() {
	from, rate, ok := r.baseline.slowThreshold(minBaselineRequests)
	if !ok || len(r.newWindow.Buckets) == 0 {
		return
	}
	total, slow := 0.0, 0.0
	for i, n := range r.newWindow.Buckets {
		total += float64(n)
		if i >= from {
			slow += float64(n)
		}
	}
	r.slownessScore = addLogLikelihoodRatio(r.slownessScore, max(min(rate, maxRate), minSlowRate), slowExcess, slow, total)
}

// addLogLikelihoodRatio adds a window's log likelihood ratio of the rate
// p0+excess*(1-p0) against p0 to a cumulative sum, which stays at 0 or above.
func addLogLikelihoodRatio(old, p0, excess, hits, total float64) float64 {
	p1 := p0 + excess*(1-p0)
	step := hits*math.Log(p1/p0) + (total-hits)*math.Log((1-p1)/(1-p0))
	return max(old+step, 0)
}

// HasEnoughRequests reports whether each route, of the idempotent or the unsafe
// ones, has at least minimum requests of the new version, or has no traffic at
// all. Requests count from the start of the move if wholeMove is set, else from
// the start of the stage.
func (d *RegressionDetector) HasEnoughRequests(unsafe bool, minimum uint64, wholeMove bool) bool {
	for _, r := range d.routes {
		requests := r.newStageRequests
		if wholeMove {
			requests = r.newTotal.Requests
		}
		if r.unsafe == unsafe && requests < minimum && r.oldTotal.Requests > 0 {
			return false
		}
	}
	return true
}

// StageRequests returns the number of requests of the new version in this stage.
func (d *RegressionDetector) StageRequests() uint64 {
	n := uint64(0)
	for _, r := range d.routes {
		n += r.newStageRequests
	}
	return n
}

// SuspectsRegression reports whether the score of any route is above half of the
// threshold.
func (d *RegressionDetector) SuspectsRegression() bool {
	for _, r := range d.routes {
		if max(r.failureScore, r.largeFailureScore, r.slownessScore) > d.threshold()/2 {
			return true
		}
	}
	return false
}

// BeginStage resets the count of the new version's requests in this stage.
func (d *RegressionDetector) BeginStage() {
	for _, r := range d.routes {
		r.newStageRequests = 0
	}
}

// openSeconds returns the sum of the latencies in the open window, in seconds.
func (d *RegressionDetector) openSeconds() float64 {
	s := 0.0
	for _, r := range d.routes {
		s += r.oldWindow.Seconds + r.newWindow.Seconds
	}
	return s
}
