package decider

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of latency buckets. The upper bound of each is
	// about 1.41 times that of the one before, from 0.25 ms to 64 s.
	bucketCount        = 36
	firstBucket        = 250 * time.Microsecond
	bucketsPerDoubling = 2
	slowBucketGap      = 2                    // slowBucketGap is the number of buckets above the baseline quantile that do not count as slow yet.
	baselineQuantile   = 0.9                  // baselineQuantile is the quantile of the old version's latencies that defines slow requests.
	minSlowDelay       = 5 * time.Millisecond // minSlowDelay is the smallest delay above the baseline quantile that matters to callers.
	baselineDecay      = 0.9                  // baselineDecay is the weight that earlier windows keep with each new one.
	failurePrior       = 0.5                  // failurePrior is added to each count of failures, so that no rate is 0.
	// maxTallyRequests and maxMeanLatency bound the evidence that one node reports at a
	// time, so that sums over nodes do not overflow.
	maxTallyRequests = 1_000_000_000
	maxMeanLatency   = 24 * time.Hour
)

// Tally counts the requests to one target version on one route.
type Tally struct {
	Requests uint64
	Failures uint64
	Seconds  float64  // Seconds is the sum of the latencies in seconds.
	Buckets  []uint64 // Buckets counts the latencies of successful requests by bucket, without those of cold targets.
}

// Evidence is the tally of one target version on one route in a move, from one
// node or summed over several.
type Evidence struct {
	MoveID string
	New    bool // New means that the tally belongs to the version that traffic moves to.
	Route  string
	Unsafe bool // Unsafe means that requests of the route are not idempotent.
	Tally
}

// Add counts one request. Cold means that its target had just started, so its
// latency is left out of the buckets.
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

// Valid reports whether requests can have led to the tally: no count exceeds the number
// of requests, and the sum of the latencies is a number within bounds.
func (t Tally) Valid() bool {
	if t.Requests > maxTallyRequests || t.Failures > t.Requests {
		return false
	}
	if !(t.Seconds >= 0 && t.Seconds <= float64(t.Requests)*maxMeanLatency.Seconds()) {
		return false // Seconds may be NaN.
	}
	return len(t.Buckets) != bucketCount || t.bucketsValid()
}

// bucketsValid reports whether the buckets hold at most the requests that did not fail.
func (t Tally) bucketsValid() bool {
	left := t.Requests - t.Failures
	for _, n := range t.Buckets {
		if n > left {
			return false
		}
		left -= n
	}
	return true
}

// Merge adds another tally. Buckets of another length are dropped.
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

// bucketOf returns the index of the bucket of a latency.
func bucketOf(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	i := int(math.Log2(float64(latency)/float64(firstBucket)) * bucketsPerDoubling)
	return min(i, bucketCount-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(2, float64(i+1)/bucketsPerDoubling))
}

// baseline holds the old version's recent requests, failures and latencies on one
// route, where each window weighs less than the one after it.
type baseline struct {
	requests, failures float64
	buckets            [bucketCount]float64
}

// add adds the tally of one window and reduces the weight of the earlier ones.
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

// failureRate returns the failure rate, at least minimum, so that a single
// failure of the new version never decides alone.
func (b *baseline) failureRate(minimum float64) float64 {
	return max((b.failures+failurePrior)/(b.requests+1), minimum)
}

// slowThreshold returns the first bucket that counts as slow, and the fraction of
// the old version's requests in it or above. ok is false when the baseline has
// fewer than minimum requests.
func (b *baseline) slowThreshold(minimum float64) (from int, rate float64, ok bool) {
	total := 0.0
	for _, n := range b.buckets {
		total += n
	}
	if total < minimum {
		return 0, 0, false
	}
	below := 0.0
	for i, n := range b.buckets {
		below += n
		if below < total*baselineQuantile {
			continue
		}
		from = min(max(i+1+slowBucketGap, bucketOf(bucketEnd(i)+minSlowDelay)), bucketCount-1)
		break
	}
	above := 0.0
	for _, n := range b.buckets[from:] {
		above += n
	}
	return from, above / total, true
}
