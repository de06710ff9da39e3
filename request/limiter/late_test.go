package limiter

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// processingTime is the processing time of the requests of these tests.
const processingTime = 200 * time.Millisecond

// lateRequest returns a request whose soft deadline passed before it arrived.
func lateRequest() Request {
	now := time.Now()
	return Request{ProcessingTime: processingTime, SoftDeadline: now.Add(-time.Second), QueueDeadline: now.Add(2 * time.Second)}
}

// newRequest returns a request that can meet its soft deadline.
func newRequest() Request {
	now := time.Now()
	return Request{ProcessingTime: processingTime, SoftDeadline: now.Add(3 * processingTime), QueueDeadline: now.Add(3 * processingTime)}
}

// startCaller starts a caller that holds its slot, if it gets one, for
// processingTime.
func startCaller(ctx context.Context, callers *sync.WaitGroup, l *Limiter, r Request) {
	callers.Go(func() {
		if slot, err := l.Acquire(ctx, r); err == nil {
			time.Sleep(processingTime)
			slot.Release()
		}
	})
}

// TestLateRequestsLeaveSlotsFree guards against late requests that take all slots
// right after an outage: retries past their soft deadline arrive first, and new
// requests would then miss theirs.
func TestLateRequestsLeaveSlotsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Limiter{Slots: 6, QueueLimit: 40}
		var callers sync.WaitGroup
		defer callers.Wait()
		for range 12 {
			startCaller(context.Background(), &callers, l, lateRequest())
		}
		synctest.Wait()
		is.True(l.Used() > 0) // some late requests are served
		is.True(l.Used() < 6) // they do not get all slots
		r := newRequest()
		r.NoWait = true
		slot, err := l.Acquire(context.Background(), r)
		is.NoErr(err) // a new request gets a slot at once
		slot.Release()
	})
}

// TestLateRequestsAreServedEventually guards against late requests that starve
// beside free slots: slots are reserved only while requests arrive that need them,
// also at a target with a single slot.
func TestLateRequestsAreServedEventually(t *testing.T) {
	for _, slots := range []int{1, 4} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := &Limiter{Slots: slots, QueueLimit: 40}
			var held []Slot
			for range slots {
				slot, err := l.Acquire(context.Background(), newRequest())
				is.NoErr(err)
				held = append(held, slot)
			}
			for _, s := range held {
				s.Release()
			}
			slot, err := l.Acquire(context.Background(), lateRequest())
			is.NoErr(err) // it waited beside free slots until the reservation decayed
			slot.Release()
			is.Equal(l.Used(), 0)
		})
	}
}

// TestClosedLimiterRefusesLateRequests guards against late requests that keep
// waiting beside free slots after a planned stop of the target.
func TestClosedLimiterRefusesLateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Limiter{Slots: 1, QueueLimit: 40}
		slot, err := l.Acquire(context.Background(), newRequest())
		is.NoErr(err)
		slot.Release()
		failed := make(chan error, 1)
		go func() {
			_, err := l.Acquire(context.Background(), lateRequest())
			failed <- err
		}()
		synctest.Wait()
		l.Close()
		is.True(IsKind(<-failed, KindClosed))
	})
}

// TestLateRequestsAreNoLoad guards against a load report that is too high after an
// outage, when the queue fills with late requests: the report is used for new
// requests, which are served before them.
func TestLateRequestsAreNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Limiter{Slots: 2, QueueLimit: 40}
		var callers sync.WaitGroup
		defer callers.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		send := func(r Request) {
			startCaller(ctx, &callers, l, r)
			synctest.Wait()
		}
		for range 3 {
			send(newRequest())
		}
		is.Equal(l.RequestCount(), 3) // two run, one waits
		for range 10 {
			send(lateRequest())
		}
		is.Equal(l.RequestCount(), 3) // ten late requests wait and do not count
	})
}
