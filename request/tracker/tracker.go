// Package tracker tells from the requests in flight how slow a target is.
//
// Load pattern: a target that worked well becomes several times slower. Its
// answers would tell, but they come late, and until then it is sent more
// requests than it can answer in time. What has been out for long tells at
// once.
//
// Routes of one target differ tenfold in how long their requests take, so a
// request in flight counts by how many times its own usual time it has been out.
//
// # Usage
//
//	var f tracker.Flights
//	id := f.Begin(time.Now(), usual)
//	work := f.LeastWork(time.Now(), usualOfAnother)
//	f.End(id)
package tracker

import "time"

// overdue is how many times its usual time a request may be out before it
// tells that its target is slow.
const overdue = 2

// flight is one request in flight.
type flight struct {
	sentAt time.Time
	usual  time.Duration // usual is how long such requests take, 0 when it is not known.
}

// InFlight holds the requests in flight. The zero value is ready; it is not safe
// for concurrent use.
type InFlight struct {
	sent   map[uint64]flight
	lastID uint64
}

// Begin notes a request that is sent now. usual is how long such requests take,
// 0 when it is not known.
func (f *InFlight) Begin(now time.Time, usual time.Duration) uint64 {
	if f.sent == nil {
		f.sent = map[uint64]flight{}
	}
	f.lastID++
	f.sent[f.lastID] = flight{now, usual}
	return f.lastID
}

// End notes the end of a request.
func (f *InFlight) End(id uint64) { delete(f.sent, id) }

// Len returns the number of requests in flight.
func (f *InFlight) Len() int { return len(f.sent) }

// MinProcessingTime returns how long the target takes at least for a request that usually
// takes so long, by the second slowest request in flight: a single one may just be
// long. Where nothing usual is known, it goes by the second oldest.
func (f *InFlight) MinProcessingTime(now time.Time, usual time.Duration) time.Duration {
	var most, second float64
	for _, x := range f.sent {
		out := now.Sub(x.sentAt).Seconds()
		if usual > 0 {
			if x.usual <= 0 {
				continue
			}
			out /= x.usual.Seconds()
		}
		switch {
		case out > most:
			most, second = out, most
		case out > second:
			second = out
		}
	}
	if usual > 0 {
		return time.Duration(second / overdue * float64(usual))
	}
	return time.Duration(second / overdue * float64(time.Second))
}
