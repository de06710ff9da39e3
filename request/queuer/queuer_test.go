package queuer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pattern is a load on one target, replayed in simulated time.
type pattern struct {
	name  string
	slots int
	rate  func(at time.Duration) float64 // rate is in requests a second.
}

// arrival is one request of a replay.
type arrival struct {
	at   time.Duration
	rank int
	work time.Duration
	aim  time.Duration // aim and wait are after the arrival.
	wait time.Duration
}

// discipline is one way to choose who is next.
type discipline func(now time.Time, waiting []Item) int

func byQueuer(now time.Time, waiting []Item) int {
	first := 0
	for k := range waiting {
		if before(waiting[k], waiting[first], now, false) {
			first = k
		}
	}
	return first
}

// firstCome serves the higher rank first, and within it by arrival, as the
// limiter did before.
func firstCome(_ time.Time, waiting []Item) int {
	first := 0
	for k := range waiting {
		if waiting[k].Rank > waiting[first].Rank {
			first = k
		}
	}
	return first
}

// shortest knows how long each request takes and serves the shortest that can
// meet its aim: about the most that can be met at all.
func shortest(now time.Time, waiting []Item) int {
	best := -1
	for k, i := range waiting {
		if i.CanMeetSoftDeadline(now) && (best < 0 || i.ProcessingTime < waiting[best].ProcessingTime) {
			best = k
		}
	}
	return max(best, 0)
}

// arrivals draws the requests of a pattern: one in four is urgent.
func arrivals(p pattern, seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	var out []arrival
	for at := time.Duration(0); at < 20*time.Second; {
		at += time.Duration(r.ExpFloat64() / p.rate(at) * float64(time.Second))
		a := arrival{at: at, rank: 1, work: time.Duration((0.7 + 0.6*r.Float64()) * 220 * float64(time.Millisecond)), aim: 600 * time.Millisecond, wait: time.Second}
		if r.IntN(4) == 0 {
			a.rank, a.aim = 2, 800*time.Millisecond
		}
		out = append(out, a)
	}
	return out
}

// replay returns the shares of the requests of both ranks that met their aim.
func replay(p pattern, list []arrival, choose discipline) (urgent, other float64) {
	base := time.Unix(0, 0)
	var ends []time.Duration // ends holds when each busy slot becomes free.
	var waiting []Item
	var aims []time.Duration
	var met, all [3]float64
	serve := func(i Item, aim, now time.Duration) {
		end := now + i.ProcessingTime
		ends = append(ends, end)
		if end <= aim {
			met[i.Rank]++
		}
	}
	free := func(now time.Duration) {
		for len(ends) > 0 {
			slices.Sort(ends)
			if ends[0] > now {
				return
			}
			at := ends[0]
			ends = ends[1:]
			for len(waiting) > 0 {
				k := choose(base.Add(at), waiting)
				i, aim := waiting[k], aims[k]
				waiting, aims = slices.Delete(waiting, k, k+1), slices.Delete(aims, k, k+1)
				if base.Add(at).After(i.QueueDeadline) {
					continue
				}
				serve(i, aim, at)
				break
			}
		}
	}
	for _, a := range list {
		free(a.at)
		all[a.rank]++
		i := Item{Rank: a.rank, ProcessingTime: a.work, SoftDeadline: base.Add(a.at + a.aim), QueueDeadline: base.Add(a.at + a.wait)}
		if len(ends) < p.slots {
			serve(i, a.at+a.aim, a.at)
			continue
		}
		waiting, aims = append(waiting, i), append(aims, a.at+a.aim)
	}
	return met[2] / all[2], met[1] / all[1]
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// TestGoodputUnderLoad replays load patterns against the way of before and
// against a bound that knows every work time.
func TestGoodputUnderLoad(t *testing.T) {
	full := 9 / 0.22 // full is the rate that nine slots carry.
	patterns := []pattern{
		{"burst of 1.8 times for 3 s", 9, func(at time.Duration) float64 {
			if at > 5*time.Second && at < 8*time.Second {
				return 1.8 * 0.9 * full
			}
			return 0.9 * full
		}},
		{"steady 1.3 times", 9, steady(1.3 * full)},
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
				list := arrivals(p, seed)
				urgent, other := replay(p, list, byQueuer)
				oldUrgent, oldOther := replay(p, list, firstCome)
				boundUrgent, boundOther := replay(p, list, shortest)
				credit := func(urgent, other float64) float64 { return urgent*2*0.25 + other*0.75 }
				t.Logf("seed %d: in aim urgent %.3f other %.3f; first come %.3f %.3f; bound %.3f %.3f", seed, urgent, other, oldUrgent, oldOther, boundUrgent, boundOther)
				is.True(credit(urgent, other) >= credit(oldUrgent, oldOther))         // never below the way of before
				is.True(credit(urgent, other) >= 0.9*credit(boundUrgent, boundOther)) // nine tenths of the bound
				is.True(urgent >= other-0.05)                                         // the urgent are not served less
			}
		})
	}
}

// TestCallsAreServedBesideLongRequests replays a target whose own requests are
// long, at most of what it can do, and which others call while they work: a call
// that is not answered in time fails the request that made it.
func TestCallsAreServedBesideLongRequests(t *testing.T) {
	is := is.New(t)
	const (
		slots    = 6
		longWork = 700 * time.Millisecond
		callWork = 70 * time.Millisecond
		callTime = 500 * time.Millisecond // callTime is how long a call may take in all.
	)
	now := time.Unix(100, 0)
	q := &Queue{Limit: 40}
	r := rand.New(rand.NewPCG(1, 2))
	ends := make([]time.Time, slots)
	calls, answered, long, met := 0, 0, 0, 0
	for id := uint64(1); id < 4000; id++ {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(65*time.Millisecond)))
		i := Item{ID: id, Rank: 1, ProcessingTime: longWork, SoftDeadline: now.Add(1500 * time.Millisecond), QueueDeadline: now.Add(1500 * time.Millisecond)}
		if id%2 == 0 {
			i = Item{ID: id, Rank: 2, ProcessingTime: callWork, SoftDeadline: now.Add(200 * time.Millisecond), QueueDeadline: now.Add(callTime - callWork)}
			calls++
		} else {
			long++
		}
		q.Add(now, i)
		for k := range ends {
			// Slots that came free since the last arrival were empty: with this load
			// that is rare, and it is the same for every order.
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
					answered++
				case !ends[k].After(next.SoftDeadline):
					met++
				}
			}
		}
	}
	t.Logf("calls answered %.3f, long requests in aim %.3f", float64(answered)/float64(calls), float64(met)/float64(long))
	is.True(float64(answered) >= 0.9*float64(calls)) // nine tenths of what could be, since all calls fit
	is.True(float64(met) >= 0.75*float64(long))      // long requests pay little
}

func TestFullQueueDropsTheLast(t *testing.T) {
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
	is.Equal(dropped.ID, uint64(1)) // its aim is lost
	first, ok := q.Next(now)
	is.True(ok)
	is.Equal(first.ID, uint64(3)) // the urgent one that can meet its aim
}

// TestCrowdKeepsTheNext lets requests wait in a crowd: the newest goes next, the
// urgent before it, and the others are given up one by one.
func TestCrowdKeepsTheNext(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	q := &Queue{Limit: 10, Overloaded: true}
	add := func(id uint64, rank int) {
		q.Add(now, Item{ID: id, EnqueuedAt: now, Rank: rank, ProcessingTime: 50 * time.Millisecond, SoftDeadline: now.Add(time.Second), QueueDeadline: now.Add(time.Second)})
	}
	add(1, 1)
	add(2, 2)
	add(3, 1)
	_, stale := q.RemoveStale(now.Add(crowdWait))
	is.True(!stale) // they have not waited for long
	later := now.Add(2 * crowdWait)
	for _, id := range []uint64{1, 3} {
		i, stale := q.RemoveStale(later)
		is.True(stale)
		is.Equal(i.ID, id)
	}
	_, stale = q.RemoveStale(later)
	is.True(!stale) // the urgent one is next
	now = later
	add(4, 2)
	next, _ := q.Next(now)
	is.Equal(next.ID, uint64(4)) // the newest of those that are as urgent
	q.Overloaded = false
	next, _ = q.Next(now)
	is.Equal(next.ID, uint64(2)) // the sooner due
}
