// Package limiter bounds the requests that a target works on at once.
//
// A Limiter has a fixed number of slots and a short queue. A request waits for
// a slot no longer than its deadline allows. When the queue is full, the least
// important waiting request is shed for a more important new one; among equals
// the one that came first stays. Nothing that was given a slot is ever taken
// from it.
//
// # Usage
//
//	l := &limiter.Limiter{Slots: 10, Queue: 20}
//	if err := l.Acquire(ctx, deadline, rank); err != nil { /* not run */ }
//	defer l.Release()
package limiter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Kind tells why no slot was given.
type Kind string

// The kinds of limiter errors.
const (
	KindFull     Kind = "full"
	KindShed     Kind = "shed"
	KindDeadline Kind = "deadline"
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

// waiter is one request in the queue.
type waiter struct {
	rank  int
	ready chan error
}

// Limiter bounds one target. Exported fields are set before use.
type Limiter struct {
	Slots int // Slots is the number of requests at once.
	Queue int // Queue is the number of requests that may wait.

	mu      sync.Mutex
	used    int
	waiting []*waiter // waiting is sorted by rank, highest first, then by arrival.
	closed  bool
}

// Acquire takes a slot, waiting until the deadline or the end of ctx at most. A
// higher rank goes first. An error means that the request did not run.
func (l *Limiter) Acquire(ctx context.Context, deadline time.Time, rank int) error {
	w, err := l.enter(rank)
	if w == nil {
		return err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case err := <-w.ready:
		return err
	case <-timer.C:
		return l.abandon(w, &Error{"acquire", KindDeadline, errors.New("no slot became free in time")})
	case <-ctx.Done():
		return l.abandon(w, &Error{"acquire", KindHungUp, ctx.Err()})
	}
}

// enter takes a slot at once, or a place in the queue.
func (l *Limiter) enter(rank int) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, &Error{"acquire", KindClosed, errors.New("the target takes no new work")}
	}
	if l.used < l.Slots {
		l.used++
		return nil, nil
	}
	if len(l.waiting) >= l.Queue && !l.shed(rank) {
		return nil, &Error{"acquire", KindFull, errors.Errorf("%d running, %d waiting", l.used, len(l.waiting))}
	}
	w := &waiter{rank: rank, ready: make(chan error, 1)}
	i := slices.IndexFunc(l.waiting, func(o *waiter) bool { return o.rank < rank })
	if i < 0 {
		i = len(l.waiting)
	}
	l.waiting = slices.Insert(l.waiting, i, w)
	return w, nil
}

// shed drops the last waiter if it is less important than rank.
func (l *Limiter) shed(rank int) bool {
	n := len(l.waiting)
	if n == 0 || l.waiting[n-1].rank >= rank {
		return false
	}
	l.waiting[n-1].ready <- &Error{"acquire", KindShed, errors.New("a more important request took the place")}
	l.waiting = l.waiting[:n-1]
	return true
}

// abandon leaves the queue; a slot that was given in the meantime is kept.
func (l *Limiter) abandon(w *waiter, why error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.waiting, w)
	if i < 0 {
		return <-w.ready
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return why
}

// Release gives a slot back and passes it to the first waiter.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) > 0 && l.used <= l.Slots {
		l.waiting[0].ready <- nil
		l.waiting = l.waiting[1:]
		return
	}
	l.used--
}

// Close refuses new requests and everything in the queue. Requests that have
// a slot go on.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, w := range l.waiting {
		w.ready <- &Error{"acquire", KindClosed, errors.New("the target takes no new work")}
	}
	l.waiting = nil
}

// Busy returns the number of requests that run or wait.
func (l *Limiter) Busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used + len(l.waiting)
}

// Used returns the number of slots in use.
func (l *Limiter) Used() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}
