// Package router picks the service, the target version and the endpoint for a
// request.
//
// Load patterns: targets of one service differ in speed by a factor of three,
// slow down, or start cold; a burst brings more requests than there are slots.
// So an endpoint is picked by when it is expected to answer, from what this
// node saw of its speed and what its owner said of its queue, and not by a
// count. A caller gains little by an answer that comes long before its aim, and
// what is carried between data centres is paid for: while the near endpoints
// are likely to meet the aim, a large answer stays near (package file loss.go).
//
// Within a move, a request's key is hashed, so a request that is sent again
// stays on its side of the move. The parts of a split take turns by their
// weights.
//
// # Usage
//
//	b := &router.Board{}
//	part := table.Service(b.Part(route))
//	version := router.VersionFor(part.Traffic, key, nonIdempotent, braked)
//	endpoint, ok := b.Pick(router.Query{Service: part, Version: version, Tried: tried})
//	done := b.Begin(endpoint.EndpointKey, endpoint.Usual)
//	defer done()
package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamrack/hornbeamrack/request/tracker"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

const (
	// PenaltyTime is how long an endpoint that could not take work is avoided,
	// at first; it doubles with each further failure.
	PenaltyTime  = 500 * time.Millisecond
	mostFailures = 4

	maxIdleEntries = 4096
	// farTime is what a way to another data centre adds, there and back.
	farTime = 15 * time.Millisecond
	// firstShare is the part of the aim that a target is assumed to take while
	// nothing is known of any, and leastUsual the least time.
	firstShare = 0.3
	leastUsual = 10 * time.Millisecond
	// usualWeight is the number of answers that the usual latency and size of a
	// route look back on.
	usualWeight  = 64
	mostSlowness = 20
	// coldSlowness is that of a target that has just started.
	coldSlowness = 2
	// slownessLife is how long a learned slowness keeps most of its weight.
	slownessLife = 4 * time.Second
	// busyCost is the part that a target with no idle slot costs more.
	busyCost = 0.2
	// wordLife is how long an owner's word on its load keeps most of its weight.
	wordLife = 400 * time.Millisecond
	// tie spreads nodes over endpoints that are about equally good.
	tie = 0.1
	// goldenRatio steps through the unit interval as evenly as can be.
	goldenRatio = 0.6180339887498949
)

// VersionFor returns the target version that serves a request with this key.
// Requests without a key get a random one. braked tells whether this node has
// turned against a move.
func VersionFor(t applier.Traffic, key string, nonIdempotent bool, braked func(moveID string) bool) string {
	if t.Move == nil || !t.Move.Running() || braked(t.Move.ID) {
		return t.ServingVersion
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
	return t.ServingVersion
}

// load is what this node knows of one endpoint.
type load struct {
	flights      tracker.InFlight
	slowness     float64   // slowness is how long answers take against the usual of their routes, 0 while unknown.
	learnedAt    time.Time // learnedAt is when slowness was last learned.
	others       float64   // others is the number of requests there that this node did not send.
	linkFreeAt   time.Time // linkFreeAt is when the link of the endpoint's host is expected to be free.
	saidAt       time.Time // saidAt is when the owner said so.
	penalisedTil time.Time // penalisedTil is the deadline before which the endpoint is avoided.
	failures     int       // failures counts what went wrong since the last answer.
}

// unknownLoad stands for an endpoint that this node has not used yet.
var unknownLoad load

// slownessAt returns the slowness that is assumed now. What was learned fades,
// so that a target that was cold or slow is used again. One that nothing is
// known of is taken for a cold one, or all nodes would rush to it.
func (l *load) slownessAt(now time.Time) float64 {
	if l.slowness == 0 {
		return coldSlowness
	}
	if l.slowness <= 1 {
		return l.slowness
	}
	return 1 + (l.slowness-1)*math.Exp(-float64(now.Sub(l.learnedAt))/float64(slownessLife))
}

// average is what this node learned of a route, as moving averages.
type average struct {
	work  time.Duration // work is how long a target works on a request, by the owners' words.
	bytes float64       // bytes is the size of an answer's body.
}

// Balancer is the node's shared table of endpoint loads. It is safe for
// concurrent use; its lock is held for map access only.
type Balancer struct {
	mu    sync.Mutex
	loads map[applier.EndpointKey]*load
	usual map[string]average // usual is by route.
	turns map[string]float64
}

// Query asks for an endpoint.
type Query struct {
	Service          *compiler.Service
	Version          string
	Route            string        // Route names the route, for how long its requests usually take.
	LatencyObjective time.Duration // Aim is the time within which an answer is worth most, for a guess of the usual one.
	Excluded         []applier.EndpointKey
	LargeResponse    bool // Bulk means that the answer is large, also while its size is not known.
	Explore          bool // Explore asks for an endpoint that nothing is known of, if there is one.
}

// SelectService returns the name of the service whose turn it is among the parts of a
// route.
func (b *Balancer) SelectService(r *compiler.Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	b.mu.Lock()
	if b.turns == nil || len(b.turns) > maxIdleEntries {
		b.turns = map[string]float64{}
	}
	key := r.Host + "\x00" + r.Path
	turn, ok := b.turns[key]
	if !ok {
		turn = rand.Float64()
	}
	_, turn = math.Modf(turn + goldenRatio)
	b.turns[key] = turn
	b.mu.Unlock()
	at := turn * float64(r.TotalWeight)
	for _, p := range r.WeightedServices {
		if at < float64(p.Weight) {
			return p.Service
		}
		at -= float64(p.Weight)
	}
	return r.WeightedServices[0].Service
}

// Selection is an endpoint with when it is expected to answer.
type Selection struct {
	applier.Endpoint
	ProcessingTime time.Duration // Usual is how long the target works on a request.
	ExpectedWait   time.Duration // Wait is how long a slot is expected to take to come free.
	Alternatives   int           // Others is the number of endpoints that were considered beside it.
	Cost           float64       // Cost is what the endpoint was chosen by: the part of the answer's worth that is likely to be lost.
}

// Pick returns the endpoint of the version where the least of the answer's worth
// is likely to be lost, and that is not in tried. ok is false when there is none.
func (b *Balancer) Pick(q Query) (Selection, bool) {
	p := q.Service.Pool(q.Version)
	if p.Empty() {
		return Selection{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	usual := b.usualFor(q.Route, max(time.Duration(firstShare*float64(q.LatencyObjective)), leastUsual))
	best, considered := Selection{Cost: math.Inf(1)}, 0
	consider := func(list []applier.Endpoint, way time.Duration, lost float64) {
		for _, e := range list {
			if slices.Contains(q.Excluded, e.EndpointKey) {
				continue
			}
			c, answer := b.estimate(e, usual, now)
			c.Cost = (timeLoss(answer+way, q.LatencyObjective) + lost) * (1 + tie*rand.Float64())
			if b.penalised(e.EndpointKey, now) {
				c.Cost += penaltyLoss
			}
			if q.Explore && b.unused(e.EndpointKey) {
				c.Cost -= exploreGain
			}
			considered++
			if c.Cost < best.Cost {
				best = c
			}
		}
	}
	consider(p.Local, 0, 0)
	consider(p.Remote, farTime, wayLoss(b.bytesFor(q.Route, q.LargeResponse)))
	best.Alternatives = considered - 1
	return best, considered > 0
}

// estimate returns how long an endpoint is expected to take for an answer.
func (b *Balancer) estimate(e applier.Endpoint, usual time.Duration, now time.Time) (Selection, time.Duration) {
	l := b.loads[e.EndpointKey]
	if l == nil {
		l = &unknownLoad
	}
	c := Selection{Endpoint: e, ProcessingTime: time.Duration(float64(usual) * l.slownessAt(now))}
	// What has been out for long tells that the target is slow before any
	// answer does.
	c.ProcessingTime = max(c.ProcessingTime, l.flights.MinProcessingTime(now, c.ProcessingTime))
	busy := float64(l.flights.Len()) + l.others*math.Exp(-float64(now.Sub(l.saidAt))/float64(wordLife))
	slots := float64(max(e.Slots, 1))
	if ahead := busy + 1 - slots; ahead > 0 {
		c.ExpectedWait = time.Duration(ahead / slots * float64(c.ProcessingTime))
	}
	c.ExpectedWait += max(l.linkFreeAt.Sub(now), 0)
	// A target with idle slots answers as fast as one with few, but leaves room
	// for what other nodes send meanwhile.
	return c, time.Duration(float64(c.ProcessingTime+c.ExpectedWait) * (1 + busyCost*min(busy/slots, 1)))
}

// penalised reports whether an endpoint is avoided.
func (b *Balancer) penalised(k applier.EndpointKey, now time.Time) bool {
	l := b.loads[k]
	return l != nil && now.Before(l.penalisedTil)
}

// unused reports whether nothing is known of an endpoint and none of this node's
// requests is there.
func (b *Balancer) unused(k applier.EndpointKey) bool {
	l := b.loads[k]
	return l == nil || l.slowness == 0 && l.flights.Len() == 0
}

// Begin counts a request in flight that usually takes so long; the returned
// function ends it.
func (b *Balancer) Begin(k applier.EndpointKey, usual time.Duration) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.entry(k)
	id := l.flights.Begin(time.Now(), usual)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		l.flights.End(id)
	}
}

// UpdateLoad takes in what an owner said of its load, which counts this node's own
// requests too, and of how long its target works on a request of a route. A
// request's own latency is not used: it holds the wait for a slot.
func (b *Balancer) UpdateLoad(e applier.Endpoint, route string, w translator.LoadReport) {
	if !w.Valid {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.entry(e.EndpointKey)
	l.others = max(0, float64(w.RequestCount-l.flights.Len()))
	l.saidAt = time.Now()
	l.linkFreeAt = l.saidAt.Add(w.LinkBacklog)
	if w.ProcessingTime <= 0 {
		return
	}
	l.slowness = min(float64(w.ProcessingTime)/float64(max(b.usualFor(route, w.ProcessingTime), time.Millisecond)), mostSlowness)
	l.learnedAt = l.saidAt
}

// usualFor returns the usual latency of a route, first while nothing is known.
func (b *Balancer) usualFor(route string, first time.Duration) time.Duration {
	if u, ok := b.usual[route]; ok {
		return u.work
	}
	return first
}

// bytesFor returns the usual size of a route's answers, a small one while it is
// not known.
func (b *Balancer) bytesFor(route string, bulk bool) float64 {
	bytes := b.usual[route].bytes
	if bulk {
		return max(bytes, dearBytes)
	}
	return bytes
}

// RecordResponse notes that an endpoint answered a request of a route, what its owner
// said then, and the size of the answer's body in bytes.
func (b *Balancer) RecordResponse(k applier.EndpointKey, route string, w translator.LoadReport, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.entry(k)
	l.failures, l.penalisedTil = 0, time.Time{}
	if w.ProcessingTime <= 0 {
		return
	}
	if b.usual == nil || len(b.usual) > maxIdleEntries {
		b.usual = map[string]average{}
	}
	u, ok := b.usual[route]
	if !ok {
		u = average{w.ProcessingTime, float64(bytes)}
	}
	u.work += (w.ProcessingTime - u.work) / usualWeight
	u.bytes += (float64(bytes) - u.bytes) / usualWeight
	b.usual[route] = u
}

// Penalise avoids an endpoint for a while, longer each time until it answers.
func (b *Balancer) Penalise(k applier.EndpointKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.entry(k)
	l.failures = min(l.failures+1, mostFailures)
	l.penalisedTil = time.Now().Add(PenaltyTime << (l.failures - 1))
}

func (b *Balancer) entry(k applier.EndpointKey) *load {
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
func (b *Balancer) forgetIdle() {
	now := time.Now()
	for k, l := range b.loads {
		if l.flights.Len() == 0 && now.After(l.penalisedTil) {
			delete(b.loads, k)
		}
	}
}
