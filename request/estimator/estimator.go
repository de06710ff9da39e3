// Package estimator decides when the answer to a request loses most of its worth.
//
// Load pattern: more requests come than can be served, so many are refused, and
// their callers come back with what is left of their time. To an entry node each
// looks like a new request, but its caller has counted since the first try, so
// its aim is about to be lost or is lost already. Taken for new, those that come
// back keep slots from those that still can be answered in time. Callers of a
// route give about the same time to each request, so one that gives far less
// than is usual has come back, and the difference is its age.
//
// # Usage
//
//	m := &estimator.Aims{}
//	aim := m.Aim(route, receivedAt, deadline, time.Second)
package estimator

import (
	"sync"
	"time"
)

const (
	// riseWeight and fallWeight are the numbers of requests over which the usual
	// time follows longer and shorter ones. It stays near the longest, also while
	// most of the requests have come back.
	riseWeight = 8
	fallWeight = 256
	// backShare is the part of the usual time below which a request has come back.
	// Above it, callers may just differ.
	backShare = 0.75
	// mostRoutes bounds the memory for routes that come and go.
	mostRoutes = 4096
)

// SoftDeadlines holds what was learned by route. It is safe for concurrent use.
type SoftDeadlines struct {
	mu    sync.Mutex
	usual map[string]time.Duration // usual is the time that callers give at first.
}

// SoftDeadline returns when the answer to a request loses most of its worth. The caller
// waits until deadline, the zero time when it does not say. aim is the route's,
// counted from the first try.
func (m *SoftDeadlines) SoftDeadline(route string, receivedAt, deadline time.Time, aim time.Duration) time.Time {
	if deadline.IsZero() {
		return receivedAt.Add(aim)
	}
	left := deadline.Sub(receivedAt)
	usual := m.learn(route, left)
	if float64(left) > backShare*float64(usual) {
		return receivedAt.Add(aim)
	}
	return receivedAt.Add(aim - (usual - left))
}

// learn takes in the time that a caller gives and returns the usual one.
func (m *SoftDeadlines) learn(route string, left time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.usual == nil || len(m.usual) > mostRoutes {
		m.usual = map[string]time.Duration{}
	}
	usual, ok := m.usual[route]
	switch {
	case !ok:
		usual = left
	case left > usual:
		usual += (left - usual) / riseWeight
	default:
		usual += (left - usual) / fallWeight
	}
	m.usual[route] = usual
	return usual
}
