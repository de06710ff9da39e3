// Package queuer orders the requests that wait for a slot of a target.
//
// Load pattern: for some seconds more requests arrive than the target has slots
// for. First come, first served would make every request late, also long after
// the burst, since the queue stays long while the load is high. So requests
// that can meet their soft deadline are served first: the higher priority rank
// before the lower, and within a rank the earlier soft deadline before the later.
// Late requests, which cannot meet their soft deadline any more, get the remaining
// capacity, and those that cannot be served before their queue deadline are
// rejected at once.
//
// A second pattern: targets call each other while they process a request. A call
// that is rejected fails the request that made it, and all the processing done for
// that request is lost. Such calls are short and of high rank, and at a target whose
// own requests are long they are late by the time that a slot is free. They delay
// the long requests only little, so a short request of higher rank is served before
// long ones of lower rank even when it is late itself.
//
// Under overload the newest request is served first, since it has the most time
// left, and requests that have waited for long are removed.
//
// # Usage
//
//	q := &queuer.Queue{Limit: 40}
//	dropped, ok := q.Add(now, item)
//	item, ok := q.Next(now)
//	q.Remove(item.ID)
package queuer

import (
	"slices"
	"time"
)

// Item is one waiting request.
type Item struct {
	ID             uint64        // ID is unique in the queue; a later request has a higher one.
	EnqueuedAt     time.Time     // EnqueuedAt is when the request began to wait.
	Rank           int           // Rank is the priority rank; higher is served first.
	ProcessingTime time.Duration // ProcessingTime is how long the target is expected to process the request.
	SoftDeadline   time.Time     // SoftDeadline is the moment after which a response has lost most of its value.
	QueueDeadline  time.Time     // QueueDeadline is the moment until which the request may wait.

	countedLate bool // countedLate means that the request was late when it was added, or that CountNewlyLate has counted it.
}

// CanMeetSoftDeadline reports whether a request that gets a slot now is likely to be
// processed before its soft deadline. A request that cannot is called late.
func (i Item) CanMeetSoftDeadline(now time.Time) bool {
	return !now.Add(time.Duration(processingTimeMargin * float64(i.ProcessingTime))).After(i.SoftDeadline)
}

// processingTimeMargin is how many times the expected processing time must fit before
// the soft deadline: half of all requests take longer than expected.
const processingTimeMargin = 1.25

// shortRequestFactor is how many times shorter a late request must be than one of
// lower rank to be served before it.
const shortRequestFactor = 3

// maxOverloadWait is how long a request may wait under overload. Newer requests are
// served first then, and an early rejection leaves the caller time for another try.
const maxOverloadWait = 60 * time.Millisecond

// IsShortAndUrgent reports whether the request is served before one of the given rank
// and processing time even when it is late itself: its rank is higher and its
// processing time is much shorter.
func (i Item) IsShortAndUrgent(rank int, processingTime time.Duration) bool {
	return i.Rank > rank && shortRequestFactor*i.ProcessingTime <= processingTime
}

// servedBefore reports whether a is served before b. Under overload the newest request
// is served first: it has the most time left, and those that have waited for long would
// miss their soft deadlines anyway.
func servedBefore(a, b Item, now time.Time, overloaded bool) bool {
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
	case inTime && overloaded:
		return a.ID > b.ID
	case inTime:
		return a.SoftDeadline.Before(b.SoftDeadline)
	}
	return a.QueueDeadline.Before(b.QueueDeadline)
}

// Queue holds the requests that wait for a slot of one target. It is not safe for
// concurrent use. Limit is set before use.
type Queue struct {
	Limit      int  // Limit is the maximum number of waiting requests.
	Overloaded bool // Overloaded means that more requests arrive than can be served in time; it may change at any time.

	items []Item
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// CountInTime returns the number of waiting requests that can meet their soft
// deadline if they got a slot now, judged by their expected processing times.
func (q *Queue) CountInTime(now time.Time) int {
	n := 0
	for _, item := range q.items {
		if item.CanMeetSoftDeadline(now) {
			n++
		}
	}
	return n
}

// CountNewlyLate returns the number of waiting requests that have become late since
// the last call.
func (q *Queue) CountNewlyLate(now time.Time) int {
	n := 0
	for k := range q.items {
		if item := &q.items[k]; !item.countedLate && !item.CanMeetSoftDeadline(now) {
			item.countedLate = true
			n++
		}
	}
	return n
}

// RemoveStale removes and returns a request that has waited longer than is allowed
// under overload. It never removes the next request, which gets the slot that becomes
// free first. It returns false when there is no such request or no overload.
func (q *Queue) RemoveStale(now time.Time) (Item, bool) {
	if !q.Overloaded {
		return Item{}, false
	}
	next, _ := q.Next(now)
	k := slices.IndexFunc(q.items, func(i Item) bool { return now.Sub(i.EnqueuedAt) > maxOverloadWait && i.ID != next.ID })
	if k < 0 {
		return Item{}, false
	}
	stale := q.items[k]
	q.items = slices.Delete(q.items, k, k+1)
	return stale, true
}

// Add adds a request. When the queue is full, it removes and returns the request that
// would be served last, which may be the new one.
func (q *Queue) Add(now time.Time, item Item) (dropped Item, full bool) {
	item.countedLate = !item.CanMeetSoftDeadline(now)
	q.items = append(q.items, item)
	if len(q.items) <= q.Limit {
		return Item{}, false
	}
	last := 0
	for k := range q.items {
		if !servedBefore(q.items[k], q.items[last], now, q.Overloaded) {
			last = k
		}
	}
	dropped = q.items[last]
	q.items = slices.Delete(q.items, last, last+1)
	return dropped, true
}

// Next returns the request that is served next and leaves it in the queue. It returns
// false when the queue is empty.
func (q *Queue) Next(now time.Time) (Item, bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	first := 0
	for k := range q.items {
		if servedBefore(q.items[k], q.items[first], now, q.Overloaded) {
			first = k
		}
	}
	return q.items[first], true
}

// Remove removes a request by its id. It returns false when the request is not in the
// queue.
func (q *Queue) Remove(id uint64) bool {
	k := slices.IndexFunc(q.items, func(i Item) bool { return i.ID == id })
	if k < 0 {
		return false
	}
	q.items = slices.Delete(q.items, k, k+1)
	return true
}

// Drain removes and returns all requests.
func (q *Queue) Drain() []Item {
	items := q.items
	q.items = nil
	return items
}

// CountAhead returns the number of waiting requests that are served before another one,
// which may be waiting too.
func (q *Queue) CountAhead(now time.Time, item Item) int {
	n := 0
	for _, waiting := range q.items {
		if waiting.ID != item.ID && !servedBefore(item, waiting, now, q.Overloaded) {
			n++
		}
	}
	return n
}

// RemoveUnreachable removes and returns the requests that would be served after their
// queue deadlines. servedAt returns when a request with the given number of others before
// it is served; a removed request is before no other.
func (q *Queue) RemoveUnreachable(now time.Time, servedAt func(ahead int) time.Time) []Item {
	last := servedAt(len(q.items) - 1)
	if !slices.ContainsFunc(q.items, func(i Item) bool { return last.After(i.QueueDeadline) }) {
		return nil
	}
	type position struct {
		item  Item
		ahead int
	}
	inOrder := make([]position, len(q.items))
	for k, item := range q.items {
		inOrder[k] = position{item, q.CountAhead(now, item)}
	}
	slices.SortFunc(inOrder, func(a, b position) int { return a.ahead - b.ahead })
	var removed []Item
	kept := 0
	for _, p := range inOrder {
		if servedAt(kept).After(p.item.QueueDeadline) {
			removed = append(removed, p.item)
			q.Remove(p.item.ID)
			continue
		}
		kept++
	}
	return removed
}

// ProcessingTimeAhead returns the sum of the processing times of the waiting requests
// that are served before a new one.
func (q *Queue) ProcessingTimeAhead(now time.Time, added Item) time.Duration {
	sum := time.Duration(0)
	for _, waiting := range q.items {
		if !servedBefore(added, waiting, now, q.Overloaded) {
			sum += waiting.ProcessingTime
		}
	}
	return sum
}
