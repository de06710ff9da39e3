// Package limiter bounds the requests that a target works on at once.
//
// A Limiter has a fixed number of slots and a queue, whose order queuer
// decides. A request waits for a slot no longer than it allows; one that would
// wait longer is refused at once. Requests that cannot meet their aim any more
// hold no more slots than reserver leaves to them, and wait beside free slots if
// need be. Nothing that was given a slot is ever taken from it.
//
// # Usage
//
//	l := &limiter.Limiter{Slots: 10, Queue: 20}
//	slot, err := l.Acquire(ctx, limiter.Request{Rank: rank, Aim: aim, WaitTill: till})
//	if err != nil { /* not run */ }
//	defer slot.Release()
package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/request/detector"
	"github.com/hornbeamrack/hornbeamrack/request/queuer"
	"github.com/hornbeamrack/hornbeamrack/request/reserver"
)

// Kind tells why no slot was given.
type Kind string

// The kinds of limiter errors.
const (
	KindFull         Kind = "full"
	KindShed         Kind = "shed"
	KindDeadline     Kind = "deadline"
	KindExpectedLate Kind = "hopeless" // KindHopeless means that no slot is expected to become free in time.
	KindClosed       Kind = "closed"
	KindCallerGone   Kind = "hungUp" // KindHungUp means that nobody waits for the answer any more.
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("limiter: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// Request is what the limiter must know of a request.
type Request struct {
	Rank           int           // Rank is higher for requests that go first.
	ProcessingTime time.Duration // Work is how long the target is expected to take.
	SoftDeadline   time.Time     // Aim is when an answer loses most of its worth.
	QueueDeadline  time.Time     // WaitTill is until when it may wait.
	// NoWait means that the request goes elsewhere unless a slot is free and its
	// answer can meet the aim.
	NoWait bool
}

// hopeless reports whether an answer is expected after an aim that is still
// ahead.
func (r Request) hopeless(now time.Time) bool {
	return now.Before(r.SoftDeadline) && now.Add(r.ProcessingTime).After(r.SoftDeadline)
}

// lost reports whether the answer is likely to miss its aim, if it has one.
func (r Request) lost(now time.Time) bool {
	return !r.SoftDeadline.IsZero() && !item(0, r).CanMeetSoftDeadline(now)
}

const (
	// usualWeight is the number of requests that the usual work looks back on.
	usualWeight = 16
	// briefPart is how many times a request must be shorter than the usual work to
	// have a slot although its aim is lost: it is back soon.
	briefPart = 3
)

// lookInterval is the time between two looks at requests that wait beside free
// slots.
const lookInterval = 20 * time.Millisecond

// Limiter bounds one target. Exported fields are set before use.
type Limiter struct {
	Slots      int // Slots is the number of requests at once.
	QueueLimit int // Queue is the number of requests that may wait.

	mu      sync.Mutex
	used    int
	queue   queuer.Queue
	waiters map[uint64]chan grant
	lastID  uint64
	closed  bool
	reserve reserver.Reserve
	crowd   detector.Overload
	usual   time.Duration // usual is the moving average of the work of requests that could meet their aim.
	late    int           // late is the number of slots that were given to requests which had lost their aim.
	looking bool          // looking means that a timer is set for requests that wait beside free slots.
}

// grant ends the wait of a request.
type grant struct {
	slot Slot
	err  error
}

// Slot is the right to one request at the target.
type Slot struct {
	limiter *Limiter
	late    bool
	work    time.Duration // work is how long the target was expected to take, 0 when unknown.
	begun   time.Time
}

// Acquire takes a slot. An error means that the request did not run.
func (l *Limiter) Acquire(ctx context.Context, r Request) (Slot, error) {
	id, ready, g := l.enter(r)
	if ready == nil {
		return g.slot, g.err
	}
	timer := time.NewTimer(time.Until(r.QueueDeadline))
	defer timer.Stop()
	select {
	case g := <-ready:
		return g.slot, g.err
	case <-timer.C:
		return l.abandon(id, ready, &Error{"acquire", KindDeadline, errors.New("no slot became free in time")})
	case <-ctx.Done():
		return l.abandon(id, ready, &Error{"acquire", KindCallerGone, ctx.Err()})
	}
}

// enter takes a slot at once, or a place in the queue.
func (l *Limiter) enter(r Request) (uint64, chan grant, grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	refuse := func(kind Kind, format string, args ...any) (uint64, chan grant, grant) {
		return 0, nil, grant{err: &Error{"acquire", kind, errors.Errorf(format, args...)}}
	}
	if l.closed {
		return refuse(KindClosed, "the target takes no new work")
	}
	now := time.Now()
	l.judge(now)
	if r.NoWait && r.hopeless(now) {
		return refuse(KindExpectedLate, "the target takes %s for it, past its aim", r.ProcessingTime.Round(time.Millisecond))
	}
	late := l.keptBack(r, now)
	if !r.lost(now) {
		l.learn(r)
	}
	if l.free(now, late) {
		return 0, nil, grant{slot: l.take(now, r)}
	}
	if r.NoWait {
		return refuse(KindFull, "%d running, %d waiting", l.used, l.queue.Len())
	}
	if wait := l.waitFor(now, r); now.Add(wait).After(r.QueueDeadline) {
		if !r.lost(now) {
			l.crowd.RecordLate(now, 1)
		}
		return refuse(KindExpectedLate, "%d running, %d waiting, a slot is expected in %s", l.used, l.queue.Len(), wait.Round(time.Millisecond))
	}
	if !r.lost(now) {
		l.reserve.RecordArrival(now, r.ProcessingTime)
	}
	l.lastID++
	ready := make(chan grant, 1)
	if l.waiters == nil {
		l.waiters = map[uint64]chan grant{}
		l.queue.Limit = l.QueueLimit
	}
	l.waiters[l.lastID] = ready
	i := item(l.lastID, r)
	i.EnqueuedAt = now
	if dropped, full := l.queue.Add(now, i); full {
		l.answer(dropped.ID, grant{err: &Error{"acquire", KindShed, errors.Errorf("%d running, %d waiting; others go first", l.used, l.queue.Len())}})
	}
	l.lookAgain()
	return l.lastID, ready, grant{}
}

// spare returns the number of slots that late requests may hold.
func (l *Limiter) spare(now time.Time) int {
	l.reserve.Slots = l.Slots
	return l.reserve.SpareSlots(now)
}

// free reports whether a request may have a slot now.
func (l *Limiter) free(now time.Time, late bool) bool {
	return l.used < l.Slots && (!late || l.late < l.spare(now))
}

// take gives a slot to a request that came this moment.
func (l *Limiter) take(now time.Time, r Request) Slot {
	if !r.lost(now) {
		l.reserve.RecordArrival(now, r.ProcessingTime)
		l.crowd.RecordServed(now)
	}
	return l.give(now, r.ProcessingTime, l.keptBack(r, now))
}

// keptBack reports whether a request may hold spare slots only: its aim is lost,
// and it would keep the slot for long.
func (l *Limiter) keptBack(r Request, now time.Time) bool {
	return r.lost(now) && briefPart*r.ProcessingTime > l.usual
}

// learn takes in the work of a request that can meet its aim.
func (l *Limiter) learn(r Request) {
	if l.usual == 0 {
		l.usual = r.ProcessingTime
	}
	l.usual += (r.ProcessingTime - l.usual) / usualWeight
}

// give counts a slot out.
func (l *Limiter) give(now time.Time, work time.Duration, late bool) Slot {
	l.used++
	if late {
		l.late++
	}
	return Slot{l, late, work, now}
}

// serveQueue gives free slots to the requests that go first.
func (l *Limiter) serveQueue(now time.Time) {
	l.judge(now)
	for {
		first, ok := l.queue.Next(now)
		if !ok {
			return
		}
		late := l.keptBack(Request{ProcessingTime: first.ProcessingTime, SoftDeadline: first.SoftDeadline}, now)
		if !l.free(now, late) {
			break
		}
		l.queue.Remove(first.ID)
		if first.CanMeetSoftDeadline(now) {
			l.crowd.RecordServed(now)
		}
		l.answer(first.ID, grant{slot: l.give(now, first.ProcessingTime, late)})
	}
	l.lookAgain()
}

// judge tells the queue whether the target is crowded.
func (l *Limiter) judge(now time.Time) {
	l.crowd.RecordLate(now, l.queue.CountNewlyLate(now))
	l.queue.Overloaded = l.crowd.Overloaded(now)
	for i, ok := l.queue.RemoveStale(now); ok; i, ok = l.queue.RemoveStale(now) {
		if i.CanMeetSoftDeadline(now) {
			l.crowd.RecordLate(now, 1)
		}
		l.answer(i.ID, grant{err: &Error{"acquire", KindShed, errors.Errorf("%d running, %d waiting, and newer requests go first", l.used, l.queue.Len())}})
	}
}

// lookAgain sets a timer while requests wait beside free slots: those are kept
// for requests that may not come.
func (l *Limiter) lookAgain() {
	if l.looking || l.queue.Len() == 0 || l.used >= l.Slots {
		return
	}
	l.looking = true
	time.AfterFunc(lookInterval, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.looking = false
		l.serveQueue(time.Now())
	})
}

func item(id uint64, r Request) queuer.Item {
	return queuer.Item{ID: id, Rank: r.Rank, ProcessingTime: r.ProcessingTime, SoftDeadline: r.SoftDeadline, QueueDeadline: r.QueueDeadline}
}

// waitFor returns how long a new request is expected to wait: for what goes
// before it, and for the first of the running ones to end.
func (l *Limiter) waitFor(now time.Time, r Request) time.Duration {
	late := l.keptBack(r, now)
	if l.free(now, late) {
		return 0
	}
	slots := l.Slots
	if late {
		slots = l.spare(now)
	}
	return (l.queue.ProcessingTimeAhead(now, item(l.lastID+1, r)) + r.ProcessingTime) / time.Duration(max(slots, 1))
}

// ExpectedWait returns how long a new request is expected to wait for a slot.
func (l *Limiter) ExpectedWait(r Request) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitFor(time.Now(), r)
}

// answer ends the wait of a request.
func (l *Limiter) answer(id uint64, g grant) {
	l.waiters[id] <- g
	delete(l.waiters, id)
}

// abandon leaves the queue; a slot that was given in the meantime is kept.
func (l *Limiter) abandon(id uint64, ready chan grant, why error) (Slot, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Remove(id) {
		g := <-ready
		return g.slot, g.err
	}
	delete(l.waiters, id)
	return Slot{}, why
}

// Release gives the slot back for the request that goes next. It is called
// once.
func (s Slot) Release() {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used--
	if s.late {
		l.late--
	}
	now := time.Now()
	if s.work > 0 {
		l.crowd.RecordProcessingTime(s.work, now.Sub(s.begun))
	}
	l.serveQueue(now)
}

// Close refuses new requests and everything in the queue. Requests that have
// a slot go on.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, i := range l.queue.Drain() {
		l.answer(i.ID, grant{err: &Error{"acquire", KindClosed, errors.New("the target takes no new work")}})
	}
}

// Load returns the number of requests that run, or wait and can still meet
// their aim. The others that wait are no load to a new request: it goes first.
func (l *Limiter) Load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used + l.queue.CountInTime(time.Now())
}

// Used returns the number of slots in use.
func (l *Limiter) Used() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}
