// Package limiter bounds the requests that a target works on at once.
//
// A Limiter has a fixed number of slots and a queue, whose order queuer
// decides. A request waits for a slot no longer than it allows; one that would
// wait longer is refused at once. Nothing that was given a slot is ever taken
// from it.
//
// # Usage
//
//	l := &limiter.Limiter{Slots: 10, Queue: 20}
//	if err := l.Acquire(ctx, limiter.Request{Rank: rank, Aim: aim, WaitTill: till}); err != nil { /* not run */ }
//	defer l.Release()
package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/request/queuer"
)

// Kind tells why no slot was given.
type Kind string

// The kinds of limiter errors.
const (
	KindFull     Kind = "full"
	KindShed     Kind = "shed"
	KindDeadline Kind = "deadline"
	KindHopeless Kind = "hopeless" // KindHopeless means that no slot is expected to become free in time.
	KindClosed   Kind = "closed"
	KindHungUp   Kind = "hungUp" // KindHungUp means that nobody waits for the answer any more.
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
	Rank     int           // Rank is higher for requests that go first.
	Work     time.Duration // Work is how long the target is expected to take.
	Aim      time.Time     // Aim is when an answer loses most of its worth.
	WaitTill time.Time     // WaitTill is until when it may wait.
	// Asking means that the request goes elsewhere unless a slot is free and its
	// answer can meet the aim.
	Asking bool
}

// late reports whether an answer is expected after an aim that is still ahead.
func (r Request) late(now time.Time) bool {
	return now.Before(r.Aim) && now.Add(r.Work).After(r.Aim)
}

// Limiter bounds one target. Exported fields are set before use.
type Limiter struct {
	Slots int // Slots is the number of requests at once.
	Queue int // Queue is the number of requests that may wait.

	mu      sync.Mutex
	used    int
	queue   queuer.Queue
	waiters map[uint64]chan error
	lastID  uint64
	closed  bool
}

// Acquire takes a slot. An error means that the request did not run.
func (l *Limiter) Acquire(ctx context.Context, r Request) error {
	id, ready, err := l.enter(r)
	if ready == nil {
		return err
	}
	timer := time.NewTimer(time.Until(r.WaitTill))
	defer timer.Stop()
	select {
	case err := <-ready:
		return err
	case <-timer.C:
		return l.abandon(id, ready, &Error{"acquire", KindDeadline, errors.New("no slot became free in time")})
	case <-ctx.Done():
		return l.abandon(id, ready, &Error{"acquire", KindHungUp, ctx.Err()})
	}
}

// enter takes a slot at once, or a place in the queue.
func (l *Limiter) enter(r Request) (uint64, chan error, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, nil, &Error{"acquire", KindClosed, errors.New("the target takes no new work")}
	}
	now := time.Now()
	if r.Asking && r.late(now) {
		return 0, nil, &Error{"acquire", KindHopeless, errors.Errorf("the target takes %s for it, past its aim", r.Work.Round(time.Millisecond))}
	}
	if l.used < l.Slots {
		l.used++
		return 0, nil, nil
	}
	if r.Asking {
		return 0, nil, &Error{"acquire", KindFull, errors.Errorf("%d running, %d waiting", l.used, l.queue.Len())}
	}
	if wait := l.waitFor(now, r); now.Add(wait).After(r.WaitTill) {
		return 0, nil, &Error{"acquire", KindHopeless, errors.Errorf("%d running, %d waiting, a slot is expected in %s", l.used, l.queue.Len(), wait.Round(time.Millisecond))}
	}
	l.lastID++
	ready := make(chan error, 1)
	if l.waiters == nil {
		l.waiters = map[uint64]chan error{}
		l.queue.Limit = l.Queue
	}
	l.waiters[l.lastID] = ready
	if dropped, full := l.queue.Add(now, item(l.lastID, r)); full {
		l.answer(dropped.ID, &Error{"acquire", KindShed, errors.Errorf("%d running, %d waiting; others go first", l.used, l.queue.Len())})
	}
	return l.lastID, ready, nil
}

func item(id uint64, r Request) queuer.Item {
	return queuer.Item{ID: id, Rank: r.Rank, Work: r.Work, Aim: r.Aim, WaitTill: r.WaitTill}
}

// waitFor returns how long a new request is expected to wait: for what goes
// before it, and for the first of the running ones to end.
func (l *Limiter) waitFor(now time.Time, r Request) time.Duration {
	if l.used < l.Slots {
		return 0
	}
	return (l.queue.Ahead(now, item(0, r)) + r.Work) / time.Duration(max(l.Slots, 1))
}

// Wait returns how long a new request is expected to wait for a slot.
func (l *Limiter) Wait(r Request) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitFor(time.Now(), r)
}

// answer ends the wait of a request.
func (l *Limiter) answer(id uint64, err error) {
	l.waiters[id] <- err
	delete(l.waiters, id)
}

// abandon leaves the queue; a slot that was given in the meantime is kept.
func (l *Limiter) abandon(id uint64, ready chan error, why error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Remove(id) {
		return <-ready
	}
	delete(l.waiters, id)
	return why
}

// Release gives a slot back and passes it to the request that goes first.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used <= l.Slots {
		if next, ok := l.queue.Next(time.Now()); ok {
			l.answer(next.ID, nil)
			return
		}
	}
	l.used--
}

// Close refuses new requests and everything in the queue. Requests that have
// a slot go on.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, i := range l.queue.Drain() {
		l.answer(i.ID, &Error{"acquire", KindClosed, errors.New("the target takes no new work")})
	}
}

// Busy returns the number of requests that run or wait.
func (l *Limiter) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used + l.queue.Len()
}

// Used returns the number of slots in use.
func (l *Limiter) Used() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}
