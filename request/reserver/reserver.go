// Package reserver decides how many slots of a target late requests may hold. A late
// request cannot meet its soft deadline any more.
//
// Load pattern: after an outage of all targets, callers retry requests that are late
// already, while new ones keep arriving and the targets, which have just started, are
// slow. The late requests find free slots first, and each holds one for the whole
// processing time, so the new ones become late in turn, for many seconds. So slots are
// reserved for the processing time of the requests that recently arrived in time; late
// requests share the others.
//
// # Usage
//
//	r := reserver.Reserve{Slots: 10}
//	r.RecordArrival(now, processingTime) // a request that can meet its soft deadline arrived
//	n := r.SpareSlots(now)               // slots that late requests may hold
package reserver

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the exponential decay of past arrivals. The
	// arrivals expected next are estimated from those of about this time.
	decayTime = 400 * time.Millisecond
	// initialReservedShare is the share of the slots that is reserved at the start, when
	// no arrivals have been recorded yet.
	initialReservedShare = 0.8
	// minNeededSlots is the number of needed slots below which no further arrivals are
	// expected, and nothing is reserved.
	minNeededSlots = 0.1
)

// Reserve estimates how many slots of one target requests that can meet their soft
// deadline need. It is not safe for concurrent use. Slots is set before use.
type Reserve struct {
	Slots int // Slots is the maximum number of concurrent requests of the target.

	recentSeconds float64 // recentSeconds is the sum of the processing times of past arrivals, in seconds, decaying exponentially.
	updatedAt     time.Time
}

// RecordArrival records the arrival of a request that can meet its soft deadline and
// its expected processing time.
func (r *Reserve) RecordArrival(now time.Time, processingTime time.Duration) {
	r.decay(now)
	r.recentSeconds += processingTime.Seconds()
}

// SpareSlots returns the number of slots that the expected arrivals do not need.
func (r *Reserve) SpareSlots(now time.Time) int {
	r.decay(now)
	needed := r.recentSeconds / decayTime.Seconds()
	if needed < minNeededSlots {
		return r.Slots
	}
	return max(r.Slots-int(math.Ceil(needed)), 0)
}

// decay reduces the weight of past arrivals by the time since the last update.
func (r *Reserve) decay(now time.Time) {
	if r.updatedAt.IsZero() {
		r.recentSeconds = initialReservedShare * float64(r.Slots) * decayTime.Seconds()
	} else {
		r.recentSeconds *= math.Exp(-float64(now.Sub(r.updatedAt)) / float64(decayTime))
	}
	r.updatedAt = now
}
