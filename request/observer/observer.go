// Package observer collects evidence on target versions during moves, and trips
// this node's circuit breaker for a move as soon as the node's own evidence shows
// that the new version is worse.
//
// The owner node counts the results of its targets and reports them to the control
// hosts. The entry node uses the responses to its own callers for its own circuit
// breaker. It cannot tell which targets are cold, so it counts failures only and no
// latencies.
//
// # Usage
//
//	o := &observer.Observer{Tables: tables}
//	o.Observe(executor.Observation{...})      // at the owner node, after each request
//	o.RecordOutcome(decider.Evidence{...})    // at the entry node, after each request
//	evidence := o.TakeEvidence()              // for the next report
//	if o.Tripped(moveID) { ... }              // when a version is selected
//
// Requests of services without a move are not counted. An Observer is safe for
// concurrent use.
package observer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamrack/hornbeamrack/request/executor"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/decider"
)

const (
	// breakerWindow is the number of requests after which the evidence is evaluated.
	breakerWindow = 4
	// maxMoves bounds the circuit breakers that are stored, one for each move; above it
	// all are cleared.
	maxMoves = 256
)

// TableProvider provides the table in force.
type TableProvider interface {
	// Table returns the table in force, nil when there is none yet.
	Table() *compiler.Table
}

// tallyKey identifies one tally: by the move, whether it is of the new version, the
// route, and whether its requests are not idempotent.
type tallyKey struct {
	moveID string
	isNew  bool
	route  string
	unsafe bool
}

// breaker is this node's circuit breaker for one move.
type breaker struct {
	detector     decider.RegressionDetector
	openRequests int // openRequests is the number of requests since the last evaluation.
	tripped      bool
}

// Observer collects evidence on the two target versions of each move: at the owner node
// for the control hosts, and at the entry node for this node's own circuit breakers.
// Exported fields are set before the first call.
type Observer struct {
	Tables TableProvider

	mu       sync.Mutex
	tallies  map[tallyKey]*decider.Tally
	breakers map[string]*breaker
}

// breakerTripsTotal counts the circuit breakers that this node has tripped.
var breakerTripsTotal = metrics.NewCounter("hornbeam_brakes_total")

// Observe counts one request at a target of this host. It ignores requests of services
// without a move, and of other versions than the two of the move.
func (o *Observer) Observe(seen executor.Observation) {
	t := o.Tables.Table()
	if t == nil {
		return
	}
	s := t.Service(seen.Service)
	if s == nil || s.Traffic.Move == nil {
		return
	}
	m := s.Traffic.Move
	watched := m.Running() || m.Phase == applier.PhaseDone && time.Since(m.EndedAt) < decider.WatchDuration
	if !watched || (seen.Version != m.From && seen.Version != m.To) {
		return
	}
	e := decider.Evidence{MoveID: m.ID, New: seen.Version == m.To, Route: seen.Route, Unsafe: seen.Unsafe}
	e.Add(seen.Failed, seen.Cold, seen.Latency)
	o.count(e)
}

// count takes the lock and adds evidence to its tally.
func (o *Observer) count(e decider.Evidence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.merge(e)
}

// merge adds evidence to its tally. The lock is held.
func (o *Observer) merge(e decider.Evidence) {
	if o.tallies == nil {
		o.tallies = map[tallyKey]*decider.Tally{}
	}
	k := tallyKey{e.MoveID, e.New, e.Route, e.Unsafe}
	t, ok := o.tallies[k]
	if !ok {
		t = &decider.Tally{}
		o.tallies[k] = t
	}
	t.Merge(e.Tally)
}

// RecordOutcome adds the outcome of one request at this entry node to the evidence.
// Every breakerWindow requests the evidence is evaluated, which may trip the circuit
// breaker.
func (o *Observer) RecordOutcome(e decider.Evidence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.breakers == nil || len(o.breakers) > maxMoves {
		o.breakers = map[string]*breaker{}
	}
	b, ok := o.breakers[e.MoveID]
	if !ok {
		b = &breaker{}
		o.breakers[e.MoveID] = b
	}
	b.detector.Add(e)
	b.openRequests++
	if b.openRequests < breakerWindow || b.tripped {
		return
	}
	b.openRequests = 0
	if b.detector.CloseWindow() != nil {
		b.tripped = true
		breakerTripsTotal.Inc()
	}
}

// Tripped reports whether this node's circuit breaker has stopped the move.
func (o *Observer) Tripped(moveID string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.breakers[moveID]
	return ok && b.tripped
}

// TakeEvidence returns the evidence that was collected since the last call, sorted by move and
// route, and clears it.
func (o *Observer) TakeEvidence() []decider.Evidence {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]decider.Evidence, 0, len(o.tallies))
	for k, t := range o.tallies {
		out = append(out, decider.Evidence{MoveID: k.moveID, New: k.isNew, Route: k.route, Unsafe: k.unsafe, Tally: *t})
	}
	o.tallies = nil
	slices.SortFunc(out, func(a, b decider.Evidence) int {
		return cmp.Or(cmp.Compare(a.MoveID, b.MoveID), cmp.Compare(a.Route, b.Route))
	})
	return out
}

// RequeueEvidence adds evidence again that could not be reported.
func (o *Observer) RequeueEvidence(list []decider.Evidence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range list {
		o.merge(e)
	}
}
