// Package tracker estimates from the requests in flight how slow a target is.
//
// Load pattern: a target that was fast becomes several times slower. Its responses show
// that, but they arrive late, and until then the target is sent more requests than it
// can process in time. Requests that have been in flight for long show it earlier.
//
// The processing times of the routes of one target differ tenfold, so the time that a
// request has been in flight is measured in multiples of its own expected processing
// time.
//
// # Usage
//
//	var f tracker.InFlight
//	id := f.Begin(time.Now(), expected)
//	least := f.MinProcessingTime(time.Now(), expectedOfAnother)
//	f.End(id)
package tracker

import "time"

// overdueFactor is how many times its expected processing time a request may be in
// flight before its target counts as slow.
const overdueFactor = 2

// sentRequest is one request in flight with the moment when it was sent.
type sentRequest struct {
	sentAt   time.Time
	expected time.Duration // expected is the expected processing time, 0 when it is unknown.
}

// InFlight holds the requests in flight to one target. The zero value is ready; it is
// not safe for concurrent use.
type InFlight struct {
	requests map[uint64]sentRequest
	lastID   uint64
}

// Begin adds a request that is sent now and returns its id for End. expected is the
// expected processing time, 0 when it is unknown.
func (f *InFlight) Begin(now time.Time, expected time.Duration) uint64 {
	if f.requests == nil {
		f.requests = map[uint64]sentRequest{}
	}
	f.lastID++
	f.requests[f.lastID] = sentRequest{now, expected}
	return f.lastID
}

// End removes a request that has ended by the id from Begin; an unknown id does nothing.
func (f *InFlight) End(id uint64) { delete(f.requests, id) }

// Len returns the number of requests in flight.
func (f *InFlight) Len() int { return len(f.requests) }

// MinProcessingTime returns a lower bound of the processing time of a request whose
// expected one is given, 0 when that is unknown. The bound follows from the second
// slowest request in flight relative to its expected processing time, since the slowest
// may be an unusually long request. Without an expected time it follows from the second
// oldest.
func (f *InFlight) MinProcessingTime(now time.Time, expected time.Duration) time.Duration {
	var slowest, second float64
	for _, r := range f.requests {
		elapsed := now.Sub(r.sentAt).Seconds() // in multiples of the expected time, if that is known
		if expected > 0 {
			if r.expected <= 0 {
				continue
			}
			elapsed /= r.expected.Seconds()
		}
		switch {
		case elapsed > slowest:
			slowest, second = elapsed, slowest
		case elapsed > second:
			second = elapsed
		}
	}
	if expected > 0 {
		return time.Duration(second / overdueFactor * float64(expected))
	}
	return time.Duration(second / overdueFactor * float64(time.Second))
}
