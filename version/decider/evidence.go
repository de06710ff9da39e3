package decider

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of latency buckets; each is about 1.41 times as
	// long as the one before, from 0.25 ms to 64 s.
	bucketCount    = 36
	firstBucket    = 250 * time.Microsecond
	bucketsPerTwo  = 2
	slowBuckets    = 2 // slowBuckets above the old version's usual latency count as slow.
	usualQuantile  = 0.9
	leastDelay     = 5 * time.Millisecond // leastDelay above the usual latency matters to callers.
	baselineDecay  = 0.9
	smoothFailures = 0.5
)

// Tally counts what was seen of one target version on one route.
type Tally struct {
	Requests uint64
	Failures uint64
	Seconds  float64  // Seconds is the sum of the latencies.
	Buckets  []uint64 // Buckets counts latencies, those of cold targets left out.
}

// Evidence is a tally of one node or of many.
type Evidence struct {
	MoveID string
	New    bool // New means that the tally is of the version that is moved to.
	Route  string
	Unsafe bool
	Tally
}

// Add counts one request.
func (t *Tally) Add(failed, cold bool, latency time.Duration) {
	t.Requests++
	t.Seconds += latency.Seconds()
	if failed {
		t.Failures++
		return
	}
	if cold {
		return
	}
	if t.Buckets == nil {
		t.Buckets = make([]uint64, bucketCount)
	}
	t.Buckets[bucketOf(latency)]++
}

// Merge adds another tally.
func (t *Tally) Merge(o Tally) {
	t.Requests += o.Requests
	t.Failures += o.Failures
	t.Seconds += o.Seconds
	if len(o.Buckets) != bucketCount {
		return
	}
	if t.Buckets == nil {
		t.Buckets = make([]uint64, bucketCount)
	}
	for i, n := range o.Buckets {
		t.Buckets[i] += n
	}
}

func bucketOf(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	i := int(math.Log2(float64(latency)/float64(firstBucket)) * bucketsPerTwo)
	return min(i, bucketCount-1)
}

// bucketEnd returns the latency at which a bucket ends.
func bucketEnd(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(2, float64(i+1)/bucketsPerTwo))
}

// baseline is the old version's recent behaviour on one route.
type baseline struct {
	requests, failures float64
	buckets            [bucketCount]float64
}

func (b *baseline) add(t Tally) {
	b.requests = b.requests*baselineDecay + float64(t.Requests)
	b.failures = b.failures*baselineDecay + float64(t.Failures)
	for i := range b.buckets {
		b.buckets[i] *= baselineDecay
		if i < len(t.Buckets) {
			b.buckets[i] += float64(t.Buckets[i])
		}
	}
}

// failureRate is at least floor, so that one failure never decides alone.
func (b *baseline) failureRate(floor float64) float64 {
	return max((b.failures+smoothFailures)/(b.requests+1), floor)
}

// slowFrom returns the first bucket that counts as slow, and the share of the
// old version's requests at or above it. ok is false without a basis.
func (b *baseline) slowFrom(least float64) (from int, rate float64, ok bool) {
	total := 0.0
	for _, n := range b.buckets {
		total += n
	}
	if total < least {
		return 0, 0, false
	}
	below := 0.0
	for i, n := range b.buckets {
		below += n
		if below < total*usualQuantile {
			continue
		}
		from = min(max(i+1+slowBuckets, bucketOf(bucketEnd(i)+leastDelay)), bucketCount-1)
		break
	}
	above := 0.0
	for _, n := range b.buckets[from:] {
		above += n
	}
	return from, above / total, true
}
