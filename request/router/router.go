// Package router selects the service, the target version and the endpoint for a
// request.
//
// Load patterns: targets of one service differ in speed by a factor of three,
// slow down, or start cold; a burst brings more requests than there are slots.
// An endpoint is therefore selected by its expected response time and not by a
// request count. The expected time is computed from the processing times and the
// load reports that this node received from the endpoint's owner node. A response
// that arrives long before its soft deadline is of little more value to the caller,
// and traffic between data centres costs money: while the endpoints of the local
// data centre are likely to meet the soft deadline, a large response is served
// from there (see loss.go).
//
// During a move, the request's key is hashed, so that a retried request gets the
// same target version. Requests of a route with several weighted services are
// distributed over them in proportion to the weights.
//
// # Usage
//
//	b := &router.Balancer{}
//	service := table.Service(b.SelectService(route))
//	version := router.VersionFor(service.Traffic, key, nonIdempotent, breaker.Tripped)
//	selection, ok := b.Pick(router.Query{Service: service, Version: version, Excluded: tried})
//	done := b.Begin(selection.EndpointKey, selection.AverageTime)
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
	// PenaltyTime is how long an endpoint is avoided after its first failure. It
	// doubles with each further failure, up to maxFailures failures.
	PenaltyTime = 500 * time.Millisecond
	// maxFailures is the number of failures after which the penalty time of an endpoint
	// grows no further.
	maxFailures = 4

	// maxIdleEntries bounds the maps of a Balancer. At this number of endpoint loads, those
	// without a request in flight and without a penalty are removed. Above this number of
	// routes, the averages or the positions are cleared as a whole.
	maxIdleEntries = 4096
	// crossDataCentreRoundTrip is the network latency added by a request to another
	// data centre.
	crossDataCentreRoundTrip = 15 * time.Millisecond
	// initialProcessingShare is the part of the latency objective that is assumed as
	// the processing time before the first load report, and minProcessingTime is the
	// lower bound of that assumption.
	initialProcessingShare = 0.3
	minProcessingTime      = 10 * time.Millisecond
	// averagedResponses is the number of responses over which the moving averages of a
	// route's processing time and response size are taken.
	averagedResponses = 64
	// maxSlowness is the upper bound of a measured slowness, the multiple of the route's
	// average processing time.
	maxSlowness = 20
	// coldSlowness is the slowness assumed for a target without a measurement at this
	// node, such as one that has just started.
	coldSlowness = 2
	// slownessDecayTime is the time constant of the exponential decay of a measured slowness.
	slownessDecayTime = 4 * time.Second
	// occupancyCost is the relative rise of the expected latency of a target when all its
	// slots are busy: the latency is multiplied by 1 + occupancyCost times the busy share.
	occupancyCost = 0.2
	// loadReportDecayTime is the time constant of the exponential decay of a load report.
	loadReportDecayTime = 400 * time.Millisecond
	// tieJitter is the maximum random part, relative to the cost, added to each cost, so that different nodes select
	// different endpoints of about equal cost.
	tieJitter = 0.1
	// goldenRatio is the step of a low-discrepancy sequence in the unit interval.
	goldenRatio = 0.6180339887498949
)

// VersionFor returns the target version that serves a request with this key. A
// request without a key gets a random version in proportion to the move's share.
// tripped reports whether this node's circuit breaker has stopped a move; then the
// serving version is returned.
func VersionFor(t applier.Traffic, key string, nonIdempotent bool, tripped func(moveID string) bool) string {
	if t.Move == nil || !t.Move.Running() || tripped(t.Move.ID) {
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

// endpointLoad holds this node's measurements of one endpoint and its last load report.
type endpointLoad struct {
	inFlight          tracker.InFlight
	slowness          float64   // slowness is the processing time relative to the average of the route, 0 while unknown.
	slownessUpdatedAt time.Time // slownessUpdatedAt is when slowness was last set.
	otherRequests     float64   // otherRequests is the number of requests at the endpoint that other nodes sent.
	roomAt            time.Time // roomAt is when the rate limit of the target is expected to leave room for a request.
	linkFreeAt        time.Time // linkFreeAt is when the link of the endpoint's host is expected to be free.
	reportedAt        time.Time // reportedAt is when the last load report was received.
	penalisedUntil    time.Time // penalisedUntil is the moment until which the endpoint is avoided.
	failures          int       // failures is the number of failures since the last successful response, up to maxFailures.
}

// unknownLoad is the load of an endpoint that this node has not used yet.
var unknownLoad endpointLoad

// slownessAt returns the slowness that is assumed now. A measured slowness above 1
// decays, so that a target that was cold or slow is used again. A target without a
// measurement is assumed to be cold; otherwise all nodes would select it at once.
func (l *endpointLoad) slownessAt(now time.Time) float64 {
	if l.slowness == 0 {
		return coldSlowness
	}
	if l.slowness <= 1 {
		return l.slowness
	}
	return 1 + (l.slowness-1)*math.Exp(-float64(now.Sub(l.slownessUpdatedAt))/float64(slownessDecayTime))
}

// routeAverage holds the moving averages of one route over about averagedResponses
// successful responses of all its endpoints.
type routeAverage struct {
	processingTime time.Duration // processingTime is the processing time from the load reports.
	responseBytes  float64       // responseBytes is the size of a response body.
}

// Balancer selects endpoints by their expected cost and holds the load of each
// endpoint for all requests of the node. The zero value is ready for use. It is
// safe for concurrent use; its lock is held for map access only.
type Balancer struct {
	mu        sync.Mutex
	loads     map[applier.EndpointKey]*endpointLoad
	averages  map[string]routeAverage // averages is keyed by route.
	positions map[string]float64
}

// Query holds the criteria by which Balancer.Pick selects an endpoint: the service and
// target version that it belongs to, the route of the request, and preferences.
type Query struct {
	Service          *compiler.Service
	Version          string
	Route            string                // Route is the key of the route's moving averages.
	LatencyObjective time.Duration         // LatencyObjective is the time within which a response keeps most of its value.
	Excluded         []applier.EndpointKey // Excluded endpoints are not selected.
	LargeResponse    bool                  // LargeResponse means that the response is large, also while its average size is unknown.
	// Unusable reports whether an endpoint must not be selected although it is in the
	// table; it may be nil.
	Unusable func(applier.Endpoint) bool
	Explore  bool // Explore prefers an endpoint that this node has not used yet, if there is one.
}

// SelectService returns the name of the next service of a route. Over many requests
// each service is returned in proportion to its weight.
func (b *Balancer) SelectService(r *compiler.Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	b.mu.Lock()
	if b.positions == nil || len(b.positions) > maxIdleEntries {
		b.positions = map[string]float64{}
	}
	key := r.Host + "\x00" + r.Path
	position, ok := b.positions[key]
	if !ok {
		position = rand.Float64()
	}
	_, position = math.Modf(position + goldenRatio)
	b.positions[key] = position
	b.mu.Unlock()
	at := position * float64(r.TotalWeight)
	for _, p := range r.WeightedServices {
		if at < float64(p.Weight) {
			return p.Service
		}
		at -= float64(p.Weight)
	}
	return r.WeightedServices[0].Service
}

// Selection is a selected endpoint with its expected times and cost.
type Selection struct {
	applier.Endpoint
	AverageTime    time.Duration // AverageTime is the route's average processing time over all targets.
	ProcessingTime time.Duration // ProcessingTime is the expected processing time of the target.
	ExpectedWait   time.Duration // ExpectedWait is the expected wait for a free slot and for the host's network link.
	Alternatives   int           // Alternatives is the number of other endpoints that were considered.
	Cost           float64       // Cost is the expected loss of value, as a part of the value of the response; the lowest is selected.
}

// Pick returns the endpoint of the version with the lowest expected loss of value
// that is not in q.Excluded. ok is false when there is none.
func (b *Balancer) Pick(q Query) (Selection, bool) {
	p := q.Service.Pool(q.Version)
	if p.Empty() {
		return Selection{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	average := b.averageProcessingTime(q.Route, max(time.Duration(initialProcessingShare*float64(q.LatencyObjective)), minProcessingTime))
	best, considered := Selection{Cost: math.Inf(1)}, 0
	consider := func(list []applier.Endpoint, roundTrip time.Duration, extraLoss float64) {
		for _, e := range list {
			if slices.Contains(q.Excluded, e.EndpointKey) || q.Unusable != nil && q.Unusable(e) {
				continue
			}
			c, latency := b.estimate(e, average, now)
			c.Cost = (latencyLoss(latency+roundTrip, q.LatencyObjective) + extraLoss) * (1 + tieJitter*rand.Float64())
			if b.isPenalised(e.EndpointKey, now) {
				c.Cost += penaltyLoss
			}
			if q.Explore && b.isUnused(e.EndpointKey) {
				c.Cost -= exploreGain
			}
			considered++
			if c.Cost < best.Cost {
				best = c
			}
		}
	}
	consider(p.Local, 0, 0)
	consider(p.Remote, crossDataCentreRoundTrip, transferLoss(b.averageResponseBytes(q.Route, q.LargeResponse)))
	best.Alternatives = considered - 1
	return best, considered > 0
}

// estimate returns the expected times of an endpoint and its expected latency,
// which is raised for an endpoint with busy slots. average is the route's average
// processing time.
func (b *Balancer) estimate(e applier.Endpoint, average time.Duration, now time.Time) (Selection, time.Duration) {
	l := b.loads[e.EndpointKey]
	if l == nil {
		l = &unknownLoad
	}
	c := Selection{Endpoint: e, AverageTime: average, ProcessingTime: time.Duration(float64(average) * l.slownessAt(now))}
	// Requests that have been in flight for long show that the target is slow
	// before any response does. They are compared with the route's average, since the
	// slowness that was measured in the meantime would count twice.
	c.ProcessingTime = max(c.ProcessingTime, l.inFlight.MinProcessingTime(now, average))
	busy := float64(l.inFlight.Len()) + l.otherRequests*math.Exp(-float64(now.Sub(l.reportedAt))/float64(loadReportDecayTime))
	slots := float64(max(e.Slots, 1))
	if ahead := busy + 1 - slots; ahead > 0 {
		c.ExpectedWait = time.Duration(ahead / slots * float64(c.ProcessingTime))
	}
	c.ExpectedWait = max(c.ExpectedWait, l.roomAt.Sub(now))
	c.ExpectedWait += max(l.linkFreeAt.Sub(now), 0)
	// A target with many idle slots responds no faster than one with few, but it has
	// room for requests that other nodes send in the meantime.
	return c, time.Duration(float64(c.ProcessingTime+c.ExpectedWait) * (1 + occupancyCost*min(busy/slots, 1)))
}

// isPenalised reports whether an endpoint is avoided because of recent failures.
func (b *Balancer) isPenalised(k applier.EndpointKey, now time.Time) bool {
	l := b.loads[k]
	return l != nil && now.Before(l.penalisedUntil)
}

// isUnused reports whether this node has no measurement of an endpoint and no
// request in flight there.
func (b *Balancer) isUnused(k applier.EndpointKey) bool {
	l := b.loads[k]
	return l == nil || l.slowness == 0 && l.inFlight.Len() == 0
}

// Begin adds a request in flight with the average processing time of its route. The
// returned function removes it.
func (b *Balancer) Begin(k applier.EndpointKey, averageTime time.Duration) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loadFor(k)
	id := l.inFlight.Begin(time.Now(), averageTime)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		l.inFlight.End(id)
	}
}

// UpdateLoad stores the load report that an owner node sent with a response on the
// given route. The report's request count includes this node's own requests, which
// are subtracted. Slowness is computed from the reported processing time and not
// from the latency of the request, which includes the wait for a slot. A report
// that is not valid is ignored.
func (b *Balancer) UpdateLoad(e applier.Endpoint, route string, w translator.LoadReport) {
	if !w.Valid {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loadFor(e.EndpointKey)
	l.otherRequests = max(0, float64(w.RequestCount-l.inFlight.Len()))
	l.reportedAt = time.Now()
	l.linkFreeAt = l.reportedAt.Add(w.LinkBacklog)
	l.roomAt = time.Time{}
	if w.RateLimited {
		l.roomAt = l.reportedAt.Add(w.ExpectedWait)
	}
	if w.ProcessingTime <= 0 {
		return
	}
	l.slowness = min(float64(w.ProcessingTime)/float64(max(b.averageProcessingTime(route, w.ProcessingTime), time.Millisecond)), maxSlowness)
	l.slownessUpdatedAt = l.reportedAt
}

// averageProcessingTime returns the average processing time of a route, or the
// given initial value before the first measurement.
func (b *Balancer) averageProcessingTime(route string, initial time.Duration) time.Duration {
	if u, ok := b.averages[route]; ok {
		return u.processingTime
	}
	return initial
}

// averageResponseBytes returns the average size in bytes of a route's response
// bodies, 0 before the first measurement. For a large response it is at least
// breakEvenBytes.
func (b *Balancer) averageResponseBytes(route string, large bool) float64 {
	bytes := b.averages[route].responseBytes
	if large {
		return max(bytes, breakEvenBytes)
	}
	return bytes
}

// RecordResponse records a successful response of an endpoint: it ends the
// endpoint's penalty, and updates the averages of the route with the processing
// time of the load report and the size of the response body in bytes.
func (b *Balancer) RecordResponse(k applier.EndpointKey, route string, w translator.LoadReport, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loadFor(k)
	l.failures, l.penalisedUntil = 0, time.Time{}
	if w.ProcessingTime <= 0 {
		return
	}
	if b.averages == nil || len(b.averages) > maxIdleEntries {
		b.averages = map[string]routeAverage{}
	}
	u, ok := b.averages[route]
	if !ok {
		u = routeAverage{w.ProcessingTime, float64(bytes)}
	}
	u.processingTime += (w.ProcessingTime - u.processingTime) / averagedResponses
	u.responseBytes += (float64(bytes) - u.responseBytes) / averagedResponses
	b.averages[route] = u
}

// Penalise records a failure of an endpoint, which is avoided for PenaltyTime,
// doubled for each further failure since the last successful response.
func (b *Balancer) Penalise(k applier.EndpointKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loadFor(k)
	l.failures = min(l.failures+1, maxFailures)
	l.penalisedUntil = time.Now().Add(PenaltyTime << (l.failures - 1))
}

// loadFor returns the stored load of an endpoint and adds it when it is missing.
func (b *Balancer) loadFor(k applier.EndpointKey) *endpointLoad {
	if l, ok := b.loads[k]; ok {
		return l
	}
	if b.loads == nil {
		b.loads = map[applier.EndpointKey]*endpointLoad{}
	}
	if len(b.loads) >= maxIdleEntries {
		b.removeIdle()
	}
	l := &endpointLoad{}
	b.loads[k] = l
	return l
}

// removeIdle removes the entries of endpoints that have no request in flight and
// no penalty.
func (b *Balancer) removeIdle() {
	now := time.Now()
	for k, l := range b.loads {
		if l.inFlight.Len() == 0 && now.After(l.penalisedUntil) {
			delete(b.loads, k)
		}
	}
}
