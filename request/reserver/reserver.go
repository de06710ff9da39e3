// Package reserver decides how many slots of a target requests that have lost
// their aim may hold.
//
// Load pattern: after an outage of all targets, callers come back with requests
// whose aim is lost, while new ones keep coming and the targets are slow from
// their start. The old ones find free slots first, and each keeps one for as long
// as the target works on it, so the new ones lose their aim in turn, for many
// seconds. So slots are kept free for the work that new requests have lately
// brought to the target; old ones share the others.
//
// # Usage
//
//	r := reserver.Reserve{Slots: 10}
//	r.Came(now, work)      // a request came that can meet its aim
//	n := r.Spare(now)      // slots that the others may hold
package reserver

import (
	"math"
	"time"
)

const (
	// memory is how long a request that came is taken for what is to come.
	memory = 400 * time.Millisecond
	// startShare is the part of the slots that are kept at the start, when it is
	// not known yet what will come.
	startShare = 0.8
	// leastNeed is the part of a slot below which nothing is expected to come any
	// more.
	leastNeed = 0.1
)

// Reserve is the state of one target. It is not safe for concurrent use. Slots
// is set before use.
type Reserve struct {
	Slots int

	work    float64 // work is the sum of the work that came, in seconds, with what is long ago fading.
	updated time.Time
}

// RecordArrival notes a request that can meet its aim, and how long the target is
// expected to work on it.
func (r *Reserve) RecordArrival(now time.Time, work time.Duration) {
	r.fade(now)
	r.work += work.Seconds()
}

// SpareSlots returns the number of slots that are not needed for what is expected to
// come.
func (r *Reserve) SpareSlots(now time.Time) int {
	r.fade(now)
	needed := r.work / memory.Seconds()
	if needed < leastNeed {
		return r.Slots
	}
	return max(r.Slots-int(math.Ceil(needed)), 0)
}

func (r *Reserve) fade(now time.Time) {
	if r.updated.IsZero() {
		r.work = startShare * float64(r.Slots) * memory.Seconds()
	} else {
		r.work *= math.Exp(-float64(now.Sub(r.updated)) / float64(memory))
	}
	r.updated = now
}
