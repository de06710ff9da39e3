package limiter

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// replayResult counts the results of the requests of a replay.
type replayResult struct {
	mu          sync.Mutex
	total       int // total is the number of requests.
	inTime      int // inTime is the number of responses before their soft deadline.
	refused     int // refused is the number of rejections after the warm-up.
	refusedLate int // refusedLate is the number of these that came later than early.
}

// replayLoad sends requests with widely different processing times for 20 seconds.
// load is their rate relative to the capacity of the slots.
func replayLoad(t *testing.T, seed uint64, load float64) *replayResult {
	// warmUp is the time in which the limiter measures how widely the processing
	// times differ.
	const warmUp = 5 * time.Second
	const early = 200 * time.Millisecond // early is a third of the latency objective.
	const slots, mean, latencyObjective = 6, 250 * time.Millisecond, 600 * time.Millisecond
	c := &replayResult{}
	synctest.Test(t, func(t *testing.T) {
		g := rand.New(rand.NewPCG(seed, 3))
		l := &Limiter{Slots: slots, QueueLimit: 40}
		var callers sync.WaitGroup
		defer callers.Wait()
		rate := load * slots / mean.Seconds()
		for startedAt := time.Now(); time.Since(startedAt) < 20*time.Second; {
			time.Sleep(time.Duration(g.ExpFloat64() / rate * float64(time.Second)))
			took := time.Duration(math.Exp(0.8*g.NormFloat64()-0.32) * float64(mean))
			warm := time.Since(startedAt) > warmUp
			c.total++
			callers.Go(func() {
				now := time.Now()
				slot, err := l.Acquire(context.Background(), Request{ProcessingTime: mean, SoftDeadline: now.Add(latencyObjective), QueueDeadline: now.Add(latencyObjective)})
				if err == nil {
					time.Sleep(took)
					slot.Release()
				}
				c.mu.Lock()
				defer c.mu.Unlock()
				switch {
				case err == nil && time.Since(now) <= latencyObjective:
					c.inTime++
				case err != nil && warm:
					c.refused++
					if time.Since(now) > early {
						c.refusedLate++
					}
				}
			})
		}
	})
	return c
}

// TestOverloadServesNewestFirst guards against a loss of goodput under overload:
// served in the order of soft deadlines, requests get their slot too late and every
// fourth misses its own. It replays 1.8 times the capacity of a target, and 0.8
// times, at which no overload may be detected.
func TestOverloadServesNewestFirst(t *testing.T) {
	is := is.New(t)
	const seeds = 5
	overloaded, normal := 0.0, 0.0
	refused, refusedLate := 0, 0
	for seed := range uint64(seeds) {
		over, under := replayLoad(t, seed, 1.8), replayLoad(t, seed, 0.8)
		overloaded += over.inTimeShare() / seeds
		normal += under.inTimeShare() / seeds
		refused, refusedLate = refused+over.refused, refusedLate+over.refusedLate
	}
	t.Logf("under overload %.3f of the requests in time, %d of %d rejections late; below the capacity %.3f in time", overloaded, refusedLate, refused, normal)
	is.True(overloaded >= 0.475)                        // 0.52 is possible if the slots are never idle
	is.True(refused > 500 && refusedLate*50 <= refused) // rejections come early
	is.True(normal >= 0.87)                             // no overload is detected below the capacity
}

// inTimeShare returns the share of the requests with a response before the soft
// deadline.
func (c *replayResult) inTimeShare() float64 { return float64(c.inTime) / float64(c.total) }

// TestLateRequestsAreNoOverload guards against late requests being taken for an
// overload: after an outage retries arrive past their soft deadline, beside new
// requests that all find slots, at a target with widely different processing times.
func TestLateRequestsAreNoOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Limiter{Slots: 6, QueueLimit: 40}
		var callers sync.WaitGroup
		defer callers.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		send := func(r Request) {
			startCaller(ctx, &callers, l, r)
			time.Sleep(processingTime / 9)
		}
		for range 200 {
			l.overload.RecordProcessingTime(processingTime, 2*processingTime)
		}
		for range 40 {
			send(lateRequest())
			send(newRequest())
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		is.True(!l.overload.Overloaded(time.Now()))
		l.overload.RecordLate(time.Now(), 1000)
		is.True(l.overload.Overloaded(time.Now())) // shows that an overload would have been detected
	})
}
