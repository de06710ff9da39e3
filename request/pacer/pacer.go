// Package pacer spaces the requests to a target that takes only a number of them a
// second.
//
// Load pattern: a target in need names a limit that is a fraction of what it got until
// then, while hundreds of entry nodes send to it. Its owner node forwards each request to
// it, so that one pacer there bounds the sum over all entry nodes. Requests that wait are
// given the next moment in the order of the queue, not in that of their arrival.
//
// # Usage
//
//	p := &pacer.Pacer{}
//	p.SetLimit(now, 24.5)
//	if p.Ready(now) { p.Take(now) } // a request is forwarded
//	wait := p.Wait(now, 3)          // the wait of a request with three others before it
package pacer

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the time for which unused requests are saved up, so that the limit can
	// be used in full although requests arrive at random.
	burstTime = 250 * time.Millisecond
	// minPerSecond is the lowest limit that is kept. A target can end its limit in a
	// response only, so a few requests are sent whatever it names.
	minPerSecond = 0.5
	// maxWait bounds the waits that are returned.
	maxWait = time.Minute
)

// Pacer spaces the requests to one target. The zero value has no limit. It is not safe
// for concurrent use.
type Pacer struct {
	bucket *rate.Limiter // bucket is nil without a limit.
}

// SetLimit sets the number of requests a second. Requests that have been saved up remain,
// as far as the new limit allows.
func (p *Pacer) SetLimit(now time.Time, perSecond float64) {
	perSecond = max(perSecond, minPerSecond)
	burst := max(1, int(math.Floor(perSecond*burstTime.Seconds())))
	if p.bucket == nil {
		p.bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		return
	}
	p.bucket.SetLimitAt(now, rate.Limit(perSecond))
	p.bucket.SetBurstAt(now, burst)
}

// ClearLimit removes the limit.
func (p *Pacer) ClearLimit() { p.bucket = nil }

// Limited reports whether there is a limit.
func (p *Pacer) Limited() bool { return p.bucket != nil }

// Ready reports whether a request may be forwarded now.
func (p *Pacer) Ready(now time.Time) bool {
	return p.bucket == nil || p.bucket.TokensAt(now) >= 1
}

// Take counts a request that is forwarded now. It must be ready.
func (p *Pacer) Take(now time.Time) {
	if p.bucket != nil {
		p.bucket.AllowN(now, 1)
	}
}

// Wait returns the time until a request may be forwarded that has others before it, at
// most maxWait. It is 0 without a limit.
func (p *Pacer) Wait(now time.Time, ahead int) time.Duration {
	if p.bucket == nil {
		return 0
	}
	missing := float64(ahead+1) - p.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	seconds := missing / float64(p.bucket.Limit())
	return min(time.Duration(math.Ceil(seconds*float64(time.Second))), maxWait)
}
