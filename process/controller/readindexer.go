package controller

import (
	"context"
	"sync"
	"time"
)

// readIndexIntervalPerMember is what each control host adds to the minimum time
// between the starts of two rounds, since all hosts send their requests to one
// leader.
const readIndexIntervalPerMember = 10 * time.Millisecond

// readIndexInterval returns the minimum time between the starts of two rounds in a
// group.
func readIndexInterval(members int) time.Duration {
	return time.Duration(members) * readIndexIntervalPerMember
}

// readIndexer shares one read-index round among all waiting calls. A call that
// arrives during a round waits for the next one, since the running round may have
// begun before the call. It is safe for concurrent use.
//
// Load pattern: while a move runs, every node calls several times a second, and
// while there is no leader all of them wait for the end of the election. So there
// is a minimum time between rounds, and a failed round is retried here, once for
// all calls that still wait.
type readIndexer struct {
	round    func(ctx context.Context) error // round runs one read-index round.
	interval func() time.Duration            // interval returns the minimum time between the starts of two rounds.

	mu        sync.Mutex
	running   bool
	waiting   []readIndexWaiter
	startedAt time.Time // startedAt is when the last round began.
}

// readIndexWaiter is one waiting call.
type readIndexWaiter struct {
	deadline time.Time // deadline is the time after which a failed round ends the wait.
	done     chan error
}

// wait returns nil once a round that began after the call has succeeded. A failed
// round is retried until the deadline; then wait returns its error. It returns an
// error of KindNoLeader when ctx ends first.
func (r *readIndexer) wait(ctx context.Context, deadline time.Time) error {
	w := readIndexWaiter{deadline: deadline, done: make(chan error, 1)}
	r.mu.Lock()
	r.waiting = append(r.waiting, w)
	if !r.running {
		r.running = true
		go r.loop()
	}
	r.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return &Error{"confirm", KindNoLeader, ctx.Err()}
	}
}

// loop runs rounds while any call waits.
func (r *readIndexer) loop() {
	for more := true; more; {
		time.Sleep(time.Until(r.nextRoundAt()))
		list := r.takeWaiters()
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		err := r.round(ctx)
		cancel()
		more = r.finishRound(list, err)
	}
}

// nextRoundAt returns the earliest time at which the next round may begin.
func (r *readIndexer) nextRoundAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedAt.Add(r.interval())
}

// takeWaiters removes and returns all waiting calls; calls that arrive later wait
// for the next round.
func (r *readIndexer) takeWaiters() []readIndexWaiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.waiting
	r.waiting, r.startedAt = nil, time.Now()
	return list
}

// finishRound sends the outcome of a round to its waiters. After a failed round
// the waiters before their deadlines stay for the next one. It reports whether any
// call waits.
func (r *readIndexer) finishRound(list []readIndexWaiter, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range list {
		if err != nil && time.Now().Before(w.deadline) {
			r.waiting = append(r.waiting, w)
			continue
		}
		w.done <- err
	}
	r.running = len(r.waiting) > 0
	return r.running
}
