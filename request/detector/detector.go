// Package detector decides whether more requests come to a target than it can
// serve in time.
//
// Load pattern: for many seconds more requests come than the target has slots
// for, and how long it works differs widely from request to request. Served in
// the order of their aims, each request waits until it can barely meet its own,
// and every fourth misses it then: its slot was spent in vain. The part of the
// requests that lose their aim while they wait tells such a time from a short
// burst, in which the order of the aims serves all.
//
// Where requests take about as long as is expected, that order serves as many as
// can be served, whatever the load. So there is no crowd at such a target.
//
// # Usage
//
//	c := &detector.Crowd{}
//	c.Served(now)        // a request got its slot in time
//	c.Lost(now, 1)       // a waiting request lost its aim
//	c.Took(work, took)   // the target has worked on a request
//	if c.Crowded(now) { /* newest first */ }
package detector

import (
	"math"
	"time"
)

const (
	// memory is how long an event keeps most of its weight.
	memory = 500 * time.Millisecond
	// lostShare is the part of the requests that lose their aim in a crowd.
	lostShare = 0.15
	// leastEvents is the weight below which events tell nothing.
	leastEvents = 2
	// overTimes is how many times the expected work is far more than expected, and
	// wideShare the part of the requests that take so long where work differs widely.
	overTimes = 1.5
	wideShare = 0.08
	// workMemory is the number of requests that their part looks back on.
	workMemory = 32
)

// Overload is the state of one target. It is not safe for concurrent use.
type Overload struct {
	served, lost float64 // served and lost count events, those of long ago fading.
	updated      time.Time
	over         float64 // over is the part of the requests that took far more than expected.
}

// RecordServed notes a request that got its slot while it could meet its aim.
func (c *Overload) RecordServed(now time.Time) {
	c.fade(now)
	c.served++
}

// RecordLate notes requests that lost their aim while they waited, or were refused
// with their aim still ahead.
func (c *Overload) RecordLate(now time.Time, n int) {
	c.fade(now)
	c.lost += float64(n)
}

// RecordProcessingTime notes how long the target was expected to work on a request, and did.
func (c *Overload) RecordProcessingTime(expected, took time.Duration) {
	over := 0.0
	if float64(took) > overTimes*float64(expected) {
		over = 1
	}
	c.over += (over - c.over) / workMemory
}

// Overloaded reports whether many of the requests lose their aim, at a target whose
// work differs widely.
func (c *Overload) Overloaded(now time.Time) bool {
	c.fade(now)
	all := c.served + c.lost
	return c.over > wideShare && all >= leastEvents && c.lost > lostShare*all
}

func (c *Overload) fade(now time.Time) {
	keep := math.Exp(-float64(now.Sub(c.updated)) / float64(memory))
	c.served, c.lost, c.updated = c.served*keep, c.lost*keep, now
}
