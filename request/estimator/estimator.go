// Package estimator estimates the soft deadline of a request: the moment after which a
// response has lost most of its value.
//
// Load pattern: more requests arrive than can be served, so many are rejected, and their
// callers retry with the rest of their timeout. To an entry node a retry looks like a
// new request, but its caller has been waiting since the first try, so its soft deadline
// is near or has passed. Treated as new requests, retries occupy slots that requests
// need which can still be served in time. Callers of a route set about the same timeout
// for each request, so one that arrives with a much shorter timeout than usual is a
// retry, and the difference is its age.
//
// # Usage
//
//	s := &estimator.SoftDeadlines{}
//	softDeadline := s.SoftDeadline(route, receivedAt, deadline, time.Second)
package estimator

import (
	"sync"
	"time"
)

const (
	// increaseSamples and decreaseSamples are the weights, in requests, with which the
	// usual timeout follows longer and shorter ones. The decrease is slow, so that the
	// usual timeout stays near the longest even while most requests are retries.
	increaseSamples = 8
	decreaseSamples = 256
	// retryShare is the share of the usual timeout below which a request is taken for a
	// retry. Above it, the difference may be due to different callers.
	retryShare = 0.75
	// maxTimeout, initialObjectives and maxGrowth bound what one request adds to the usual
	// timeout, whatever deadline its caller states: the first one of a route counts as at
	// most initialObjectives latency objectives, a later one as at most maxGrowth times
	// the usual timeout or the latency objective.
	maxTimeout        = time.Minute
	initialObjectives = 4
	maxGrowth         = 2
	// maxRoutes bounds the memory for routes that are added and removed.
	maxRoutes = 4096
)

// SoftDeadlines holds the usual timeout of the callers of each route. The zero value is
// ready; it is safe for concurrent use.
type SoftDeadlines struct {
	mu            sync.Mutex
	usualTimeouts map[string]time.Duration // usualTimeouts holds, by route, the timeout that callers set for a first try.
}

// SoftDeadline returns the moment after which a response has lost most of its value.
// deadline is until when the caller waits, the zero time when it is unknown.
// latencyObjective is that of the route; it counts from the first try. The result of a
// retry may be in the past.
func (s *SoftDeadlines) SoftDeadline(route string, receivedAt, deadline time.Time, latencyObjective time.Duration) time.Time {
	if deadline.IsZero() {
		return receivedAt.Add(latencyObjective)
	}
	timeout := deadline.Sub(receivedAt)
	usual := s.updateUsual(route, timeout, latencyObjective)
	if float64(timeout) > retryShare*float64(usual) {
		return receivedAt.Add(latencyObjective)
	}
	return receivedAt.Add(latencyObjective - (usual - timeout))
}

// updateUsual moves the usual timeout of the route, a moving average, towards the timeout
// of a request and returns the new average. The first request of a route sets it. A
// single request with a deadline far ahead changes it little.
func (s *SoftDeadlines) updateUsual(route string, timeout, latencyObjective time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usualTimeouts == nil || len(s.usualTimeouts) > maxRoutes {
		s.usualTimeouts = map[string]time.Duration{}
	}
	usual, ok := s.usualTimeouts[route]
	timeout = min(timeout, maxTimeout, maxSample(usual, ok, min(latencyObjective, maxTimeout)))
	switch {
	case !ok:
		usual = timeout
	case timeout > usual:
		usual += (timeout - usual) / increaseSamples
	default:
		usual += (timeout - usual) / decreaseSamples
	}
	s.usualTimeouts[route] = usual
	return usual
}

// maxSample returns the longest timeout that updateUsual takes from one request. known
// is false for the first request of a route.
func maxSample(usual time.Duration, known bool, latencyObjective time.Duration) time.Duration {
	if !known {
		return initialObjectives * latencyObjective
	}
	return maxGrowth * max(usual, latencyObjective)
}
