// Package observer collects what a node sees of target versions during moves,
// and brakes a move at this node as soon as its own evidence shows that the
// new version is worse.
//
// The owner node counts what its targets did, for the control hosts. The entry
// node judges by the answers that its own callers got, for its own brake; it
// does not know which targets are cold, so it goes by failures alone.
//
// # Usage
//
//	o := &observer.Observer{Tables: keeper}
//	o.Observe(executor.Observation{...})    // at the owner, after each request
//	o.RecordOutcome(decider.Evidence{...})          // at the entry, after each request
//	evidence := o.Take()                    // for the next report
//	if o.Tripped(moveID) { ... }             // when a version is picked
//
// Only services with a move are counted. It is safe for concurrent use.
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
	// brakeWindow is the number of requests after which this node judges.
	brakeWindow = 4
	maxMoves    = 256
)

// TableProvider gives the table in force.
type TableProvider interface {
	Table() *compiler.Table
}

// key is one tally.
type key struct {
	moveID string
	isNew  bool
	route  string
	unsafe bool
}

// judge is this node's own view of one move.
type judge struct {
	detector decider.RegressionDetector
	open     int
	braked   bool
}

// Observer collects evidence. Exported fields are set before use.
type Observer struct {
	Tables TableProvider

	mu      sync.Mutex
	tallies map[key]*decider.Tally
	judges  map[string]*judge
}

var brakesTotal = metrics.NewCounter("hornbeam_brakes_total")

// Observe counts one request.
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

func (o *Observer) count(e decider.Evidence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.merge(e)
}

func (o *Observer) merge(e decider.Evidence) {
	if o.tallies == nil {
		o.tallies = map[key]*decider.Tally{}
	}
	k := key{e.MoveID, e.New, e.Route, e.Unsafe}
	t, ok := o.tallies[k]
	if !ok {
		t = &decider.Tally{}
		o.tallies[k] = t
	}
	t.Merge(e.Tally)
}

// RecordOutcome lets this node's own detector judge every few requests.
func (o *Observer) RecordOutcome(e decider.Evidence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.judges == nil || len(o.judges) > maxMoves {
		o.judges = map[string]*judge{}
	}
	j, ok := o.judges[e.MoveID]
	if !ok {
		j = &judge{}
		o.judges[e.MoveID] = j
	}
	j.detector.Add(e)
	j.open++
	if j.open < brakeWindow || j.braked {
		return
	}
	j.open = 0
	if j.detector.CloseWindow() != nil {
		j.braked = true
		brakesTotal.Inc()
	}
}

// Tripped reports whether this node's own evidence is against the move.
func (o *Observer) Tripped(moveID string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, ok := o.judges[moveID]
	return ok && j.braked
}

// Take returns the evidence since the last call.
func (o *Observer) Take() []decider.Evidence {
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

// Return takes evidence back that could not be reported.
func (o *Observer) Return(list []decider.Evidence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range list {
		o.merge(e)
	}
}
