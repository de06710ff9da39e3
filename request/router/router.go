// Package router picks the endpoint for a request.
//
// The target version comes first: a request's key is hashed, so a request that
// is sent again stays on its side of a move. Within the version, endpoints in
// the node's own data centre go first; others take over when none of the near
// ones is usable. Among usable endpoints the less loaded of two random ones is
// taken, by this node's own count of requests in flight, never by a health or
// load endpoint.
//
// # Usage
//
//	b := &router.Board{}
//	version := router.VersionFor(service.Traffic, key, nonIdempotent, braked)
//	endpoint, ok := b.Pick(service, version, tried)
//	done := b.Begin(endpoint.EndpointKey)
//	defer done()
package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

const (
	// PenaltyTime is how long an endpoint that could not take work is avoided.
	PenaltyTime = time.Second

	maxIdleEntries = 4096
)

// VersionFor returns the target version that serves a request with this key.
// Requests without a key get a random one. braked tells whether this node has
// turned against a move.
func VersionFor(t applier.Traffic, key string, nonIdempotent bool, braked func(moveID string) bool) string {
	if t.Move == nil || !t.Move.Running() || braked(t.Move.ID) {
		return t.Serving
	}
	share := t.Move.Share
	if nonIdempotent {
		share = t.Move.UnsafeShare
	}
	slot := rand.IntN(applier.FullShare)
	if key != "" {
		slot = int(xxhash.Sum64String(t.Move.ID+"\x00"+key) % applier.FullShare)
	}
	if slot < share {
		return t.Move.To
	}
	return t.Serving
}

// load is what this node knows of one endpoint.
type load struct {
	inFlight     int
	penalisedTil time.Time // penalisedTil is the deadline before which the endpoint is avoided.
}

// Board is the node's shared table of endpoint loads. It is safe for
// concurrent use; its lock is held for map access only.
type Board struct {
	mu    sync.Mutex
	loads map[applier.EndpointKey]*load
}

// Pick returns an endpoint of the version that is not in tried. ok is false
// when there is none.
func (b *Board) Pick(s *compiler.Service, version string, tried []applier.EndpointKey) (applier.Endpoint, bool) {
	p := s.Pool(version)
	if p.Empty() {
		return applier.Endpoint{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, list := range [][]applier.Endpoint{p.Near, p.Far} {
		if e, ok := b.pickFrom(list, tried, now); ok {
			return e, true
		}
	}
	// All are penalised: one of them may have recovered.
	for _, list := range [][]applier.Endpoint{p.Near, p.Far} {
		if e, ok := b.pickFrom(list, tried, time.Time{}); ok {
			return e, true
		}
	}
	return applier.Endpoint{}, false
}

// pickFrom takes the less loaded of two random usable endpoints. A zero now
// ignores penalties.
func (b *Board) pickFrom(list []applier.Endpoint, tried []applier.EndpointKey, now time.Time) (applier.Endpoint, bool) {
	usable := func(e applier.Endpoint) bool {
		l := b.loads[e.EndpointKey]
		penalised := l != nil && !now.IsZero() && now.Before(l.penalisedTil)
		return !penalised && !slices.Contains(tried, e.EndpointKey)
	}
	candidates := make([]int, 0, 2)
	start := rand.IntN(len(list) + 1)
	for i := range list {
		j := (start + i) % len(list)
		if !usable(list[j]) {
			continue
		}
		candidates = append(candidates, j)
		if len(candidates) == 2 {
			break
		}
	}
	switch len(candidates) {
	case 0:
		return applier.Endpoint{}, false
	case 2:
		if b.relative(list[candidates[1]]) < b.relative(list[candidates[0]]) {
			return list[candidates[1]], true
		}
	}
	return list[candidates[0]], true
}

// relative returns the requests in flight per slot.
func (b *Board) relative(e applier.Endpoint) float64 {
	l := b.loads[e.EndpointKey]
	if l == nil {
		return 0
	}
	return float64(l.inFlight) / float64(max(e.Slots, 1))
}

// Begin counts a request in flight; the returned function ends it.
func (b *Board) Begin(k applier.EndpointKey) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.entry(k)
	l.inFlight++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		l.inFlight--
	}
}

// Penalise avoids an endpoint for a while.
func (b *Board) Penalise(k applier.EndpointKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(k).penalisedTil = time.Now().Add(PenaltyTime)
}

func (b *Board) entry(k applier.EndpointKey) *load {
	if l, ok := b.loads[k]; ok {
		return l
	}
	if b.loads == nil {
		b.loads = map[applier.EndpointKey]*load{}
	}
	if len(b.loads) >= maxIdleEntries {
		b.forgetIdle()
	}
	l := &load{}
	b.loads[k] = l
	return l
}

// forgetIdle drops entries that say nothing.
func (b *Board) forgetIdle() {
	now := time.Now()
	for k, l := range b.loads {
		if l.inFlight == 0 && now.After(l.penalisedTil) {
			delete(b.loads, k)
		}
	}
}
