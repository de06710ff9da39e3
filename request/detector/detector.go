// Package detector detects the overload of a target: more requests arrive than it can
// serve in time.
//
// Load pattern: for many seconds more requests arrive than the target has slots for,
// and the processing times differ widely. Served in the order of their soft deadlines,
// each request waits until it can barely meet its own, and every fourth misses it: its
// slot was wasted. The share of the requests that become late while they wait
// distinguishes an overload from a short burst, in which the order of the soft deadlines
// serves all in time.
//
// Where processing times are close to the expected ones, that order serves as many
// requests in time as possible at any load. So no overload is reported for such a
// target.
//
// # Usage
//
//	o := &detector.Overload{}
//	o.RecordServed(now)                    // a request got its slot in time
//	o.RecordLate(now, 1)                   // a waiting request became late
//	o.RecordProcessingTime(expected, took) // the target has processed a request
//	if o.Overloaded(now) { /* newest first */ }
package detector

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of the event counts.
	decayTime = 500 * time.Millisecond
	// lateShareThreshold is the share of late requests above which a target is
	// overloaded.
	lateShareThreshold = 0.15
	// minEvents is the sum of the decayed counts below which there is too little
	// evidence.
	minEvents = 2
	// slowFactor is the multiple of the expected processing time above which a request
	// counts as slow. slowShareThreshold is the share of slow requests above which the
	// processing times of a target differ widely.
	slowFactor         = 1.5
	slowShareThreshold = 0.08
	// slowShareSamples is the weight of the moving average of the share of slow
	// requests, in requests.
	slowShareSamples = 32
)

// Overload decides whether one target is overloaded, from the requests served in time,
// the requests that became late, and how much processing times exceed the expected. The zero value is ready; it is not
// safe for concurrent use.
type Overload struct {
	served, late float64 // served and late count requests, decaying exponentially.
	updatedAt    time.Time
	slowShare    float64 // slowShare is the moving average of the share of slow requests.
}

// RecordServed counts a request that got its slot while it could meet its soft
// deadline.
func (o *Overload) RecordServed(now time.Time) {
	o.decay(now)
	o.served++
}

// RecordLate counts n requests that became late while they waited, or were rejected
// before their soft deadline.
func (o *Overload) RecordLate(now time.Time, n int) {
	o.decay(now)
	o.late += float64(n)
}

// RecordProcessingTime records the expected and the actual processing time of a
// request.
func (o *Overload) RecordProcessingTime(expected, took time.Duration) {
	slow := 0.0
	if float64(took) > slowFactor*float64(expected) {
		slow = 1
	}
	o.slowShare += (slow - o.slowShare) / slowShareSamples
}

// Overloaded reports whether the share of late requests is above its threshold at a
// target whose processing times differ widely.
func (o *Overload) Overloaded(now time.Time) bool {
	o.decay(now)
	total := o.served + o.late
	return o.slowShare > slowShareThreshold && total >= minEvents && o.late > lateShareThreshold*total
}

// decay reduces the weight of past requests by the time since the last update.
func (o *Overload) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(o.updatedAt)) / float64(decayTime))
	o.served, o.late, o.updatedAt = o.served*factor, o.late*factor, now
}
