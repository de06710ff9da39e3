// Package tracker tells from the requests in flight how slow a target is.
//
// Load pattern: a target that worked well becomes several times slower. Its
// answers would tell, but they come late, and until then it is sent more
// requests than it can answer in time. What has been out for long tells at
// once.
//
// # Usage
//
//	var f tracker.Flights
//	id := f.Begin(time.Now())
//	work := f.LeastWork(time.Now())
//	f.End(id)
package tracker

import "time"

// overdue is how many times its usual time a request may be out before it
// tells that its target is slow.
const overdue = 2

// Flights holds when each request in flight was sent. The zero value is ready;
// it is not safe for concurrent use.
type Flights struct {
	sent   map[uint64]time.Time
	lastID uint64
}

// Begin notes a request that is sent now.
func (f *Flights) Begin(now time.Time) uint64 {
	if f.sent == nil {
		f.sent = map[uint64]time.Time{}
	}
	f.lastID++
	f.sent[f.lastID] = now
	return f.lastID
}

// End notes the end of a request.
func (f *Flights) End(id uint64) { delete(f.sent, id) }

// Len returns the number of requests in flight.
func (f *Flights) Len() int { return len(f.sent) }

// LeastWork returns how long the target takes at least, by the second oldest
// request in flight: a single one may just be long.
func (f *Flights) LeastWork(now time.Time) time.Duration {
	var oldest, second time.Duration
	for _, at := range f.sent {
		age := now.Sub(at)
		switch {
		case age > oldest:
			oldest, second = age, oldest
		case age > second:
			second = age
		}
	}
	return second / overdue
}
