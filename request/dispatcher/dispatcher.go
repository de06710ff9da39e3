// Package dispatcher decides to which owner node a request is sent next, and
// whether it may wait in a queue there.
//
// Load pattern: many entry nodes send to many targets, and each entry node seldom
// sends to a particular target, so the load reports that an entry node has stored
// are old. Selecting by them alone sends many requests to the target that was idle
// a moment ago, where they wait while other targets have free slots. A rejection by
// an owner node costs only one network round trip, so a request is first sent to a
// few owner nodes with NoWait, which accept it only if a slot is free. When none
// has one, the request is queued where the load reports promise the earliest
// response.
//
// # Usage
//
//	d := &dispatcher.Dispatcher{Balancer: balancer, Query: query}
//	for attempt, ok := d.Next(); ok; attempt, ok = d.Next() {
//		if accepted := send(attempt); accepted { break }
//		d.RecordFailure(attempt, failed)
//	}
package dispatcher

import (
	"math/rand/v2"
	"slices"

	"github.com/hornbeamrack/hornbeamrack/request/router"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// maxNoWaitAttempts bounds the owner nodes that a request is sent to with NoWait.
	maxNoWaitAttempts = 3
	// maxQueuedAttempts bounds the attempts at which a request may wait in a queue.
	maxQueuedAttempts = 4
	// exploreShare is the part of requests whose first attempt prefers an unused
	// endpoint. All entry nodes receive new targets at the same moment, so the
	// exploring load must not grow with the number of entry nodes.
	exploreShare = 0.1
)

// Attempt is one try of a request at the owner node of one endpoint.
type Attempt struct {
	router.Selection
	// NoWait means that the owner node rejects the request at once unless a slot is
	// free and the soft deadline can be met.
	NoWait bool
}

// Dispatcher selects the attempts of one request and stores their failures. The
// exported fields are set before the first Next; it is not safe for concurrent use.
type Dispatcher struct {
	Balancer *router.Balancer
	Query    router.Query // Query.Excluded is not used.

	withoutFreeSlot []applier.EndpointKey // withoutFreeSlot rejected a NoWait attempt; the request may still wait there.
	excluded        []applier.EndpointKey // excluded endpoints get no further attempt.
	queuedAttempts  int
}

// Next returns the next attempt. ok is false when no endpoint is left to try, or after
// maxQueuedAttempts failures other than NoWait attempts without a free slot.
func (d *Dispatcher) Next() (o Attempt, ok bool) {
	q := d.Query
	q.Excluded = d.excluded
	all, ok := d.Balancer.Pick(q)
	if !ok {
		return Attempt{}, false
	}
	if len(d.withoutFreeSlot) < maxNoWaitAttempts && all.Alternatives > 0 {
		q.Excluded = slices.Concat(d.excluded, d.withoutFreeSlot)
		q.Explore = len(q.Excluded) == 0 && rand.Float64() < exploreShare
		// Waiting at an endpoint that has just rejected a NoWait attempt can still
		// cost less, since a large response is expensive to send between data centres.
		if c, ok := d.Balancer.Pick(q); ok && (len(d.withoutFreeSlot) == 0 || c.Cost < all.Cost || !slices.Contains(d.withoutFreeSlot, all.EndpointKey)) {
			return Attempt{Selection: c, NoWait: true}, true
		}
	}
	return Attempt{Selection: all}, d.queuedAttempts < maxQueuedAttempts
}

// RecordFailure records an unsuccessful attempt. endpointFailed means that the
// endpoint failed; otherwise its owner node had no free slot.
func (d *Dispatcher) RecordFailure(o Attempt, endpointFailed bool) {
	if o.NoWait && !endpointFailed {
		d.withoutFreeSlot = append(d.withoutFreeSlot, o.EndpointKey)
		return
	}
	d.excluded = append(d.excluded, o.EndpointKey)
	d.queuedAttempts++
}

// WithFailed returns a copy in which the endpoint of an attempt gets no further one.
func (d Dispatcher) WithFailed(o Attempt) Dispatcher {
	d.withoutFreeSlot = slices.Clone(d.withoutFreeSlot)
	d.excluded = append(slices.Clone(d.excluded), o.EndpointKey)
	d.queuedAttempts++
	return d
}

// Reset clears the recorded failures, for a newer list of endpoints.
func (d *Dispatcher) Reset() { d.withoutFreeSlot, d.excluded, d.queuedAttempts = nil, nil, 0 }
