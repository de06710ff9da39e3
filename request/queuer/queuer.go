// Package queuer decides which waiting request gets a slot of a target next.
//
// Load pattern: for some seconds more requests come than the target has slots
// for. First come, first served would make every request late, also long after
// the burst, since the queue stays as long as the load is high. So requests
// that can still meet their aim go first, the more urgent before the less and
// the sooner due before the later; those that have lost their aim get what is
// left, and those that cannot be answered before their deadline are dropped at
// once.
//
// A second pattern: targets call each other while they work on a request. A call
// that is refused fails the request that made it, with all the work done for it.
// Such calls are short and urgent, and at a target whose own requests are long
// their aim is lost by the time that a slot comes free. They cost the long ones
// little, so an urgent short request goes before less urgent long ones also when
// its own aim is lost.
//
// # Usage
//
//	q := &queuer.Queue{Limit: 40}
//	dropped, ok := q.Add(now, item)
//	item, ok := q.First(now)
package queuer

import (
	"slices"
	"time"
)

// Item is one waiting request.
type Item struct {
	ID             uint64
	EnqueuedAt     time.Time // Came is when it began to wait.
	Rank           int       // Rank is higher for requests that go first.
	ProcessingTime time.Duration
	SoftDeadline   time.Time // Aim is when its answer loses most of its worth.
	QueueDeadline  time.Time // WaitTill is until when it may wait.

	lost bool // lost means that it came with its aim lost, or that Lapsed has counted it.
}

// CanMeetSoftDeadline reports whether the request can be answered before its aim.
func (i Item) CanMeetSoftDeadline(now time.Time) bool {
	return !now.Add(time.Duration(workMargin * float64(i.ProcessingTime))).After(i.SoftDeadline)
}

// workMargin is how many times the expected work must fit before the aim: half
// of all requests take longer than expected.
const workMargin = 1.25

// briefPart is how many times a request must be shorter than those that it goes
// before without an aim of its own.
const briefPart = 3

// crowdWait is how long a request may wait in a crowd. Newer ones go first then,
// and its caller is better off with an early word.
const crowdWait = 60 * time.Millisecond

// IsShortAndUrgent reports whether the request is more urgent than one of a rank and so
// much shorter than its work that it goes first even when its own aim is lost.
func (i Item) IsShortAndUrgent(rank int, work time.Duration) bool {
	return i.Rank > rank && briefPart*i.ProcessingTime <= work
}

// before reports whether a goes before b. In a crowd the newest goes first: it has
// the most time left, and those that wait for long would miss their aims anyway.
func before(a, b Item, now time.Time, crowded bool) bool {
	inTime := a.CanMeetSoftDeadline(now)
	switch {
	case !inTime && a.IsShortAndUrgent(b.Rank, b.ProcessingTime):
		return true
	case inTime && b.IsShortAndUrgent(a.Rank, a.ProcessingTime) && !b.CanMeetSoftDeadline(now):
		return false
	case inTime != b.CanMeetSoftDeadline(now):
		return inTime
	case a.Rank != b.Rank:
		return a.Rank > b.Rank
	case inTime && crowded:
		return a.ID > b.ID
	case inTime:
		return a.SoftDeadline.Before(b.SoftDeadline)
	}
	return a.QueueDeadline.Before(b.QueueDeadline)
}

// Queue is not safe for concurrent use. Limit is set before use.
type Queue struct {
	Limit      int  // Limit is the number of requests that may wait.
	Overloaded bool // Crowded means that more requests come than can be served in time.

	items []Item
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// CountInTime returns the number of waiting requests that can still meet their aim.
func (q *Queue) CountInTime(now time.Time) int {
	n := 0
	for _, i := range q.items {
		if i.CanMeetSoftDeadline(now) {
			n++
		}
	}
	return n
}

// CountNewlyLate returns the number of waiting requests that have lost their aim since it
// was last asked.
func (q *Queue) CountNewlyLate(now time.Time) int {
	n := 0
	for k := range q.items {
		if i := &q.items[k]; !i.lost && !i.CanMeetSoftDeadline(now) {
			i.lost = true
			n++
		}
	}
	return n
}

// RemoveStale takes out a request that has waited for as long as any may in a crowd
// and is not the next: that one gets a slot whenever one comes free.
func (q *Queue) RemoveStale(now time.Time) (Item, bool) {
	if !q.Overloaded {
		return Item{}, false
	}
	next, _ := q.Next(now)
	k := slices.IndexFunc(q.items, func(i Item) bool { return now.Sub(i.EnqueuedAt) > crowdWait && i.ID != next.ID })
	if k < 0 {
		return Item{}, false
	}
	i := q.items[k]
	q.items = slices.Delete(q.items, k, k+1)
	return i, true
}

// Add takes a request in. When the queue is full, the request that would be
// served last is dropped, which may be the new one.
func (q *Queue) Add(now time.Time, i Item) (dropped Item, full bool) {
	i.lost = !i.CanMeetSoftDeadline(now)
	q.items = append(q.items, i)
	if len(q.items) <= q.Limit {
		return Item{}, false
	}
	last := 0
	for k := range q.items {
		if !before(q.items[k], q.items[last], now, q.Overloaded) {
			last = k
		}
	}
	dropped = q.items[last]
	q.items = slices.Delete(q.items, last, last+1)
	return dropped, true
}

// Next returns the request that goes first.
func (q *Queue) Next(now time.Time) (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	first := 0
	for k := range q.items {
		if before(q.items[k], q.items[first], now, q.Overloaded) {
			first = k
		}
	}
	return q.items[first], true
}

// Remove takes out a request by its id.
func (q *Queue) Remove(id uint64) bool {
	k := slices.IndexFunc(q.items, func(i Item) bool { return i.ID == id })
	if k < 0 {
		return false
	}
	q.items = slices.Delete(q.items, k, k+1)
	return true
}

// Drain takes out everything.
func (q *Queue) Drain() []Item {
	out := q.items
	q.items = nil
	return out
}

// ProcessingTimeAhead returns the work that waits and would go before a new request.
func (q *Queue) ProcessingTimeAhead(now time.Time, i Item) time.Duration {
	sum := time.Duration(0)
	for _, o := range q.items {
		if !before(i, o, now, q.Overloaded) {
			sum += o.ProcessingTime
		}
	}
	return sum
}
