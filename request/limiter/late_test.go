package limiter

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const work = 200 * time.Millisecond

// lost is a request whose aim was lost before it came.
func lost() Request {
	now := time.Now()
	return Request{ProcessingTime: work, SoftDeadline: now.Add(-time.Second), QueueDeadline: now.Add(2 * time.Second)}
}

// fresh is a request that can meet its aim.
func fresh() Request {
	now := time.Now()
	return Request{ProcessingTime: work, SoftDeadline: now.Add(3 * work), QueueDeadline: now.Add(3 * work)}
}

// hold starts a caller that keeps its slot, if it gets one, for the work's time.
func hold(ctx context.Context, callers *sync.WaitGroup, l *Limiter, r Request) {
	callers.Go(func() {
		if slot, err := l.Acquire(ctx, r); err == nil {
			time.Sleep(work)
			slot.Release()
		}
	})
}

// TestLostAimsLeaveSlotsFree replays the first moments after an outage: those
// that have lost their aim come back first, then new requests.
func TestLostAimsLeaveSlotsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Limiter{Slots: 6, QueueLimit: 40}
		var callers sync.WaitGroup
		defer callers.Wait()
		for range 12 {
			hold(context.Background(), &callers, l, lost())
		}
		synctest.Wait()
		is.True(l.Used() > 0) // some are served
		is.True(l.Used() < 6) // not all slots are theirs
		r := fresh()
		r.NoWait = true
		slot, err := l.Acquire(context.Background(), r)
		is.NoErr(err) // a new request finds a slot at once
		slot.Release()
	})
}

// TestLostAimsAreServedInTheEnd shows that slots are kept free only as long as
// requests come that need them, also where there is one slot alone.
func TestLostAimsAreServedInTheEnd(t *testing.T) {
	for _, slots := range []int{1, 4} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := &Limiter{Slots: slots, QueueLimit: 40}
			var held []Slot
			for range slots {
				slot, err := l.Acquire(context.Background(), fresh())
				is.NoErr(err)
				held = append(held, slot)
			}
			for _, s := range held {
				s.Release()
			}
			slot, err := l.Acquire(context.Background(), lost())
			is.NoErr(err) // it waited beside free slots, and no other request came
			slot.Release()
			is.Equal(l.Used(), 0)
		})
	}
}

// TestClosedLimiterRefusesThoseBesideFreeSlots shows that a planned stop does
// not leave them waiting.
func TestClosedLimiterRefusesThoseBesideFreeSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Limiter{Slots: 1, QueueLimit: 40}
		slot, err := l.Acquire(context.Background(), fresh())
		is.NoErr(err)
		slot.Release()
		failed := make(chan error, 1)
		go func() {
			_, err := l.Acquire(context.Background(), lost())
			failed <- err
		}()
		synctest.Wait()
		l.Close()
		is.True(IsKind(<-failed, KindClosed))
	})
}

// TestLostAimsAreNoLoad lets a queue fill after an outage. What an owner says of
// its load is for new requests, which go before those that have lost their aim.
func TestLostAimsAreNoLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Limiter{Slots: 2, QueueLimit: 40}
		var callers sync.WaitGroup
		defer callers.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ask := func(r Request) {
			hold(ctx, &callers, l, r)
			synctest.Wait()
		}
		for range 3 {
			ask(fresh())
		}
		is.Equal(l.Load(), 3) // two run, one waits
		for range 10 {
			ask(lost())
		}
		is.Equal(l.Load(), 3) // ten more wait, for what new requests leave
	})
}
