// Package dispatcher decides which owner node a request is offered to next, and
// on what terms.
//
// Load pattern: many entry nodes send to many targets, each entry seldom to
// each target, so what an entry knows of a target's queue is old. Going by it
// alone sends many requests to the target that was idle a moment ago, where
// they wait while others have room. An owner's refusal costs nothing but the
// way there, so a request first asks a few owners for a slot that is free now.
// Only when none has one does it queue, where the owners' words promise the
// earliest answer.
//
// # Usage
//
//	b := &dispatcher.Bargain{Board: board, Query: query}
//	for o, ok := b.Next(); ok; o, ok = b.Next() {
//		if accepted := send(o); accepted { break }
//		b.Refused(o, failed)
//	}
package dispatcher

import (
	"math/rand/v2"
	"slices"

	"github.com/hornbeamrack/hornbeamrack/request/router"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// maxAsks bounds the owners that are asked for a slot that is free now.
	maxAsks = 3
	// maxQueued bounds the owners at whose targets a request may wait.
	maxQueued = 4
	// exploreShare is the part of requests that first ask the owner of an endpoint
	// which nothing is known of. New targets become known to all entry nodes at the
	// same moment, so it must not grow with their number.
	exploreShare = 0.1
)

// Attempt is one endpoint with the terms for its owner.
type Attempt struct {
	router.Selection
	// NoWait means that the owner is to refuse at once unless a slot is free and
	// the answer can meet its aim.
	NoWait bool
}

// Dispatcher is the state of one request while it is offered. Exported fields are
// set before the first Next; it is not safe for concurrent use.
type Dispatcher struct {
	Balancer *router.Balancer
	Query    router.Query // Query.Tried is not used.

	asked  []applier.EndpointKey // asked had no slot free.
	tried  []applier.EndpointKey // tried are not offered the request again.
	queued int
}

// Next returns the next offer. ok is false when nobody is left to ask.
func (b *Dispatcher) Next() (o Attempt, ok bool) {
	q := b.Query
	q.Excluded = b.tried
	all, ok := b.Balancer.Pick(q)
	if !ok {
		return Attempt{}, false
	}
	if len(b.asked) < maxAsks && all.Alternatives > 0 {
		q.Excluded = slices.Concat(b.tried, b.asked)
		q.Explore = len(q.Excluded) == 0 && rand.Float64() < exploreShare
		// To wait where an owner has just refused may still be the better deal:
		// a large answer is dear to carry between data centres.
		if c, ok := b.Balancer.Pick(q); ok && (len(b.asked) == 0 || c.Cost < all.Cost || !slices.Contains(b.asked, all.EndpointKey)) {
			return Attempt{Selection: c, NoWait: true}, true
		}
	}
	return Attempt{Selection: all}, b.queued < maxQueued
}

// RecordFailure notes that an offer came to nothing. failed means that the endpoint
// failed, otherwise its owner had no slot.
func (b *Dispatcher) RecordFailure(o Attempt, failed bool) {
	if o.NoWait && !failed {
		b.asked = append(b.asked, o.EndpointKey)
		return
	}
	b.tried = append(b.tried, o.EndpointKey)
	b.queued++
}

// Reset forgets who refused, for a newer list of endpoints.
func (b *Dispatcher) Reset() { b.asked, b.tried, b.queued = nil, nil, 0 }
