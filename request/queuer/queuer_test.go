package queuer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loadPattern is a load on one target, replayed in simulated time.
type loadPattern struct {
	name        string
	slots       int
	arrivalRate func(at time.Duration) float64 // arrivalRate is in requests a second.
}

// arrival is one request of a replay.
type arrival struct {
	at               time.Duration
	rank             int
	processingTime   time.Duration
	latencyObjective time.Duration // latencyObjective and maxWait count from the arrival.
	maxWait          time.Duration
}

// discipline is a queue discipline: it returns the index of the request to serve next.
type discipline func(now time.Time, waiting []Item) int

// byQueuer is the discipline of Queue without overload.
func byQueuer(now time.Time, waiting []Item) int {
	first := 0
	for k := range waiting {
		if servedBefore(waiting[k], waiting[first], now, false) {
			first = k
		}
	}
	return first
}

// firstComeFirstServed serves the higher rank first and the order of arrival within a
// rank, which was the former discipline of the limiter.
func firstComeFirstServed(_ time.Time, waiting []Item) int {
	first := 0
	for k := range waiting {
		if waiting[k].Rank > waiting[first].Rank {
			first = k
		}
	}
	return first
}

// shortestFirst serves the request with the shortest processing time, which is known
// exactly here, among those that can meet their soft deadline. The number of soft
// deadlines that it meets is close to the maximum.
func shortestFirst(now time.Time, waiting []Item) int {
	best := -1
	for k, item := range waiting {
		if item.CanMeetSoftDeadline(now) && (best < 0 || item.ProcessingTime < waiting[best].ProcessingTime) {
			best = k
		}
	}
	return max(best, 0)
}

// drawArrivals draws the requests of a pattern; one in four has the higher rank.
func drawArrivals(p loadPattern, seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	var out []arrival
	for at := time.Duration(0); at < 20*time.Second; {
		at += time.Duration(r.ExpFloat64() / p.arrivalRate(at) * float64(time.Second))
		a := arrival{at: at, rank: 1, processingTime: time.Duration((0.7 + 0.6*r.Float64()) * 220 * float64(time.Millisecond)), latencyObjective: 600 * time.Millisecond, maxWait: time.Second}
		if r.IntN(4) == 0 {
			a.rank, a.latencyObjective = 2, 800*time.Millisecond
		}
		out = append(out, a)
	}
	return out
}

// replay returns the shares of the requests of the higher and of the lower rank that
// met their soft deadline.
func replay(p loadPattern, list []arrival, choose discipline) (urgent, other float64) {
	base := time.Unix(0, 0)
	var ends []time.Duration // ends holds when each busy slot becomes free.
	var waiting []Item
	var softDeadlines []time.Duration
	var met, total [3]float64 // met and total are counted by rank.
	serve := func(item Item, softDeadline, now time.Duration) {
		end := now + item.ProcessingTime
		ends = append(ends, end)
		if end <= softDeadline {
			met[item.Rank]++
		}
	}
	serveUntil := func(now time.Duration) {
		for len(ends) > 0 {
			slices.Sort(ends)
			if ends[0] > now {
				return
			}
			at := ends[0]
			ends = ends[1:]
			for len(waiting) > 0 {
				k := choose(base.Add(at), waiting)
				item, softDeadline := waiting[k], softDeadlines[k]
				waiting, softDeadlines = slices.Delete(waiting, k, k+1), slices.Delete(softDeadlines, k, k+1)
				if base.Add(at).After(item.QueueDeadline) {
					continue
				}
				serve(item, softDeadline, at)
				break
			}
		}
	}
	for _, a := range list {
		serveUntil(a.at)
		total[a.rank]++
		item := Item{Rank: a.rank, ProcessingTime: a.processingTime, SoftDeadline: base.Add(a.at + a.latencyObjective), QueueDeadline: base.Add(a.at + a.maxWait)}
		if len(ends) < p.slots {
			serve(item, a.at+a.latencyObjective, a.at)
			continue
		}
		waiting, softDeadlines = append(waiting, item), append(softDeadlines, a.at+a.latencyObjective)
	}
	return met[2] / total[2], met[1] / total[1]
}

// constantRate returns an arrival rate that does not change.
func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// TestGoodputUnderLoad guards against an order of the queue that meets fewer soft
// deadlines. It replays load patterns and compares with first come, first served and
// with a discipline that uses the exact processing times.
func TestGoodputUnderLoad(t *testing.T) {
	full := 9 / 0.22 // full is the capacity of nine slots in requests a second.
	patterns := []loadPattern{
		{"burst of 1.8 times for 3 s", 9, func(at time.Duration) float64 {
			if at > 5*time.Second && at < 8*time.Second {
				return 1.8 * 0.9 * full
			}
			return 0.9 * full
		}},
		{"steady 1.3 times", 9, constantRate(1.3 * full)},
		{"two of six targets lost", 9, func(at time.Duration) float64 {
			if at > 5*time.Second {
				return 0.75 * full * 6 / 4
			}
			return 0.75 * full
		}},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				list := drawArrivals(p, seed)
				urgent, other := replay(p, list, byQueuer)
				fcfsUrgent, fcfsOther := replay(p, list, firstComeFirstServed)
				boundUrgent, boundOther := replay(p, list, shortestFirst)
				// credit weights the shares of one quarter of urgent requests, which count
				// twice, and three quarters of others.
				credit := func(urgent, other float64) float64 { return urgent*2*0.25 + other*0.75 }
				t.Logf("seed %d: in time urgent %.3f other %.3f; first come, first served %.3f %.3f; bound %.3f %.3f", seed, urgent, other, fcfsUrgent, fcfsOther, boundUrgent, boundOther)
				is.True(credit(urgent, other) >= credit(fcfsUrgent, fcfsOther))       // never below first come, first served
				is.True(credit(urgent, other) >= 0.9*credit(boundUrgent, boundOther)) // nine tenths of the bound
				is.True(urgent >= other-0.05)                                         // the higher rank is not served worse
			}
		})
	}
}

// TestCallsAreServedBesideLongRequests guards against calls between targets that time
// out in the queue of a target which processes long requests near its capacity: such a
// call fails the request that made it.
func TestCallsAreServedBesideLongRequests(t *testing.T) {
	is := is.New(t)
	const (
		slots       = 6
		longTime    = 700 * time.Millisecond // longTime is the processing time of a long request.
		callTime    = 70 * time.Millisecond  // callTime is the processing time of a call.
		callTimeout = 500 * time.Millisecond // callTimeout is how long a call may take including its wait.
	)
	now := time.Unix(100, 0)
	q := &Queue{Limit: 40}
	r := rand.New(rand.NewPCG(1, 2))
	ends := make([]time.Time, slots)
	calls, served, long, met := 0, 0, 0, 0
	for id := uint64(1); id < 4000; id++ {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(65*time.Millisecond)))
		item := Item{ID: id, Rank: 1, ProcessingTime: longTime, SoftDeadline: now.Add(1500 * time.Millisecond), QueueDeadline: now.Add(1500 * time.Millisecond)}
		if id%2 == 0 {
			item = Item{ID: id, Rank: 2, ProcessingTime: callTime, SoftDeadline: now.Add(200 * time.Millisecond), QueueDeadline: now.Add(callTimeout - callTime)}
			calls++
		} else {
			long++
		}
		q.Add(now, item)
		for k := range ends {
			// A slot that became free since the last arrival is assigned only now. At this
			// load that is rare, and it is the same for every order.
			for !ends[k].After(now) {
				next, ok := q.Next(now)
				if !ok {
					break
				}
				q.Remove(next.ID)
				if now.After(next.QueueDeadline) {
					continue
				}
				ends[k] = now.Add(next.ProcessingTime)
				switch {
				case next.Rank == 2:
					served++
				case !ends[k].After(next.SoftDeadline):
					met++
				}
			}
		}
	}
	t.Logf("calls served %.3f, long requests in time %.3f", float64(served)/float64(calls), float64(met)/float64(long))
	is.True(float64(served) >= 0.9*float64(calls)) // the capacity suffices for all calls
	is.True(float64(met) >= 0.75*float64(long))    // long requests are delayed little
}

// TestFullQueueDropsLastInOrder guards against a full queue that drops a request which
// can meet its soft deadline while it keeps a late one.
func TestFullQueueDropsLastInOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	q := &Queue{Limit: 2}
	late := Item{ID: 1, Rank: 2, ProcessingTime: time.Second, SoftDeadline: now, QueueDeadline: now.Add(time.Second)}
	soon := Item{ID: 2, Rank: 1, SoftDeadline: now.Add(time.Second), QueueDeadline: now.Add(time.Second)}
	_, full := q.Add(now, late)
	is.True(!full)
	_, full = q.Add(now, soon)
	is.True(!full)
	dropped, full := q.Add(now, Item{ID: 3, Rank: 2, SoftDeadline: now.Add(time.Second), QueueDeadline: now.Add(time.Second)})
	is.True(full)
	is.Equal(dropped.ID, uint64(1)) // it is late
	first, ok := q.Next(now)
	is.True(ok)
	is.Equal(first.ID, uint64(3)) // of higher rank, and it can meet its soft deadline
}

// TestOverloadKeepsNextRequest guards against the removal of the request that is served
// next, which would leave a slot idle. Under overload the higher rank is served first,
// then the newest request, and those that have waited too long are removed one by one.
func TestOverloadKeepsNextRequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	q := &Queue{Limit: 10, Overloaded: true}
	add := func(id uint64, rank int) {
		q.Add(now, Item{ID: id, EnqueuedAt: now, Rank: rank, ProcessingTime: 50 * time.Millisecond, SoftDeadline: now.Add(time.Second), QueueDeadline: now.Add(time.Second)})
	}
	add(1, 1)
	add(2, 2)
	add(3, 1)
	_, stale := q.RemoveStale(now.Add(maxOverloadWait))
	is.True(!stale) // they have not waited for long
	later := now.Add(2 * maxOverloadWait)
	for _, id := range []uint64{1, 3} {
		item, stale := q.RemoveStale(later)
		is.True(stale)
		is.Equal(item.ID, id)
	}
	_, stale = q.RemoveStale(later)
	is.True(!stale) // only the next request is left
	now = later
	add(4, 2)
	next, _ := q.Next(now)
	is.Equal(next.ID, uint64(4)) // the newest of its rank
	q.Overloaded = false
	next, _ = q.Next(now)
	is.Equal(next.ID, uint64(2)) // the oldest of its rank
}

// BenchmarkRemoveUnreachable measures the check that each arrival at a full queue of a
// target with a rate limit makes.
func BenchmarkRemoveUnreachable(b *testing.B) {
	now := time.Unix(1000, 0)
	q := &Queue{Limit: 40}
	for id := range uint64(40) {
		q.Add(now, Item{ID: id, Rank: int(id % 3), ProcessingTime: 100 * time.Millisecond, SoftDeadline: now.Add(time.Second), QueueDeadline: now.Add(time.Minute)})
	}
	for b.Loop() {
		q.RemoveUnreachable(now, func(int) time.Time { return now })
	}
}
