package limiter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// waiting returns a request of a rank that may wait for a time.
func waiting(rank int, wait time.Duration) Request {
	now := time.Now()
	return Request{Rank: rank, ProcessingTime: time.Millisecond, SoftDeadline: now.Add(time.Minute), QueueDeadline: now.Add(wait)}
}

// acquired is the result of one Acquire.
type acquired struct {
	rank int
	at   time.Time
	err  error
}

// acquireAll starts an Acquire for each request in order, all at once, and returns the
// results in the order in which they end. Slots are released at once.
func acquireAll(l *Limiter, requests ...Request) []acquired {
	results := make(chan acquired, len(requests))
	for _, r := range requests {
		go func() {
			slot, err := l.Acquire(context.Background(), r)
			results <- acquired{r.Rank, time.Now(), err}
			if err == nil {
				slot.Release()
			}
		}()
		synctest.Wait()
	}
	var out []acquired
	for range requests {
		out = append(out, <-results)
	}
	return out
}

// TestLessUrgentTakesRateLimit guards against requests that get the room that a rate limit
// leaves in the order of their arrival: the urgent go first, one each 250 ms here.
func TestLessUrgentTakesRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Limiter{Slots: 9, QueueLimit: 40}
		l.SetRateLimit(4)
		start := time.Now()
		got := acquireAll(l, waiting(1, time.Minute), waiting(1, time.Minute), waiting(1, time.Minute), waiting(3, time.Minute), waiting(2, time.Minute))
		var ranks []int
		for i, a := range got {
			is.NoErr(a.err)
			ranks = append(ranks, a.rank)
			is.True(a.at.Sub(start) >= time.Duration(i)*250*time.Millisecond)
			is.True(a.at.Sub(start) < time.Duration(i+1)*250*time.Millisecond)
		}
		is.Equal(ranks, []int{1, 3, 2, 1, 1})
	})
}

// TestRateLimitHoldsToTheDeadline guards against requests that wait until their queue
// deadlines although the rate limit leaves no room for them: they are rejected as soon as
// that is known, on arrival, or when a more urgent one takes their place.
func TestRateLimitHoldsToTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Limiter{Slots: 9, QueueLimit: 40}
		l.SetRateLimit(1)
		start := time.Now()
		got := acquireAll(l, waiting(1, time.Minute), waiting(1, 1500*time.Millisecond), waiting(1, 1500*time.Millisecond), waiting(2, 1500*time.Millisecond))
		is.Equal(len(got), 4)
		is.NoErr(got[0].err)                             // the first takes the room that is there
		is.True(IsKind(got[1].err, KindExpectedLate))    // the third would wait for 2 s
		is.True(IsKind(got[2].err, KindRateLimit))       // the second, when the urgent one came
		is.Equal(got[2].at.Sub(start), time.Duration(0)) // both at once
		is.NoErr(got[3].err)                             // the urgent one
		is.Equal(got[3].rank, 2)
		_, err := l.Acquire(context.Background(), Request{NoWait: true})
		is.True(IsKind(err, KindRateLimit))
	})
}

// TestEndedRateLimitKeepsWaiting guards against requests that go on waiting after the end
// of a rate limit.
func TestEndedRateLimitKeepsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Limiter{Slots: 9, QueueLimit: 40}
		l.SetRateLimit(1)
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, l.ClearRateLimit)
		for _, a := range acquireAll(l, waiting(1, time.Minute), waiting(1, time.Minute), waiting(1, time.Minute)) {
			is.NoErr(a.err)
			is.True(a.at.Sub(start) <= 100*time.Millisecond)
		}
	})
}
