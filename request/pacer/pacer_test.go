package pacer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSumStaysBelowLimit guards against more requests in 4 s than 1.5 times the limit
// allows, plus 5, whatever the limit, while requests arrive at random far above it.
func TestSumStaysBelowLimit(t *testing.T) {
	const window = 4 * time.Second
	for _, limit := range []float64{0, 0.05, 0.5, 2.3, 3, 8.4, 27, 150} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, uint64(limit*100)))
		p := &Pacer{}
		now := time.Unix(1000, 0)
		p.SetLimit(now, limit)
		var forwarded []time.Time
		for end := now.Add(time.Minute); now.Before(end); now = now.Add(time.Duration(random.Float64() * float64(10*time.Millisecond))) {
			if p.Ready(now) {
				p.Take(now)
				forwarded = append(forwarded, now)
			}
		}
		first := 0
		for last := range forwarded {
			for forwarded[last].Sub(forwarded[first]) >= window {
				first++
			}
			is.True(float64(last-first+1) <= 1.5*limit*window.Seconds()+5)
		}
		is.True(float64(len(forwarded)) >= 0.95*limit*time.Minute.Seconds()) // the limit is used
	}
}

// TestPauseSavesUpRequests guards against a burst after a time without requests, as after
// a freeze of the node.
func TestPauseSavesUpRequests(t *testing.T) {
	is := is.New(t)
	p := &Pacer{}
	now := time.Unix(1000, 0)
	p.SetLimit(now, 20)
	now = now.Add(time.Hour)
	n := 0
	for ; p.Ready(now); n++ {
		p.Take(now)
	}
	is.Equal(n, 5) // a quarter of a second
}

// TestWaitGrowsWithOthersAhead checks the waits at a limit of 4 a second.
func TestWaitGrowsWithOthersAhead(t *testing.T) {
	is := is.New(t)
	p := &Pacer{}
	now := time.Unix(1000, 0)
	is.Equal(p.Wait(now, 100), time.Duration(0)) // no limit
	p.SetLimit(now, 4)
	is.Equal(p.Wait(now, 0), time.Duration(0))
	p.Take(now)
	is.Equal(p.Wait(now, 0), 250*time.Millisecond)
	is.Equal(p.Wait(now, 3), time.Second)
	is.Equal(p.Wait(now, 1e6), maxWait)
	is.Equal(p.Wait(now.Add(250*time.Millisecond), 0), time.Duration(0))
	p.SetLimit(now, 2)
	is.Equal(p.Wait(now, 0), 500*time.Millisecond)
	p.ClearLimit()
	is.True(p.Ready(now))
}
