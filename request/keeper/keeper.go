// Package keeper stores at an entry node what targets have stated about themselves, as
// their owner nodes reported it.
//
// An owner node that restarts forgets what its targets stated. Each entry node that has
// passed on such a response remembers it: it sends no request to a target that leaves,
// and returns what it knows with its orders to the owner node.
//
// # Usage
//
//	k := &keeper.Keeper{}
//	changed := k.Record("host-a", report.State, time.Now())
//	if k.IsLeaving(endpoint) { /* select another one */ }
//	states := k.StatesOf("host-a")
package keeper

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// retention is how long a state is kept after it was last reported. A target that
	// leaves ends long before.
	retention = 10 * time.Minute
	// maxNodes bounds the nodes with kept states, and maxNodeStates the states of each.
	maxNodes      = 4096
	maxNodeStates = 16
)

// keptState is a state with the time at which it is removed.
type keptState struct {
	translator.TargetState
	removeAt time.Time
}

// Keeper stores the states of targets by node. The zero value is ready for use, and it is
// safe for concurrent use.
type Keeper struct {
	kept atomic.Int64 // kept is the number of states, read without the lock.

	mu     sync.RWMutex
	states map[string]map[string]keptState // states is keyed by node, then by target.
}

// Record stores the state that the owner node on a host reported of a target, and reports
// whether it differs from the one before. A plain state removes a rate limit. That a
// target leaves holds for the whole incarnation, which its start time names; without one
// it is not kept, since it would hold for later incarnations too. An earlier incarnation
// changes nothing.
func (k *Keeper) Record(node string, s translator.TargetState, now time.Time) bool {
	if s.Target == "" || s.IsPlain() && k.kept.Load() == 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	old, ok := k.states[node][s.Target]
	if ok && s.StartedAt < old.StartedAt {
		return false
	}
	s.Leaving = s.StartedAt != 0 && (s.Leaving || ok && old.Leaving && old.StartedAt == s.StartedAt)
	if s.IsPlain() {
		k.remove(node, s.Target)
		return ok
	}
	k.makeRoom(node, now)
	k.remove(node, s.Target)
	if k.states == nil {
		k.states = map[string]map[string]keptState{}
	}
	if k.states[node] == nil {
		k.states[node] = map[string]keptState{}
	}
	k.states[node][s.Target] = keptState{s, now.Add(retention)}
	k.kept.Add(1)
	return !ok || old.TargetState != s
}

// remove removes the state of a target if there is one. k.mu is held.
func (k *Keeper) remove(node, target string) {
	if _, ok := k.states[node][target]; !ok {
		return
	}
	k.kept.Add(-1)
	delete(k.states[node], target)
	if len(k.states[node]) == 0 {
		delete(k.states, node)
	}
}

// makeRoom removes the expired states of a node, or of all nodes if there are maxNodes,
// and then the one that expires first while the node has maxNodeStates. k.mu is held.
func (k *Keeper) makeRoom(node string, now time.Time) {
	k.removeExpired(node, now)
	if len(k.states) >= maxNodes {
		for other := range k.states {
			k.removeExpired(other, now)
		}
	}
	if len(k.states) >= maxNodes && k.states[node] == nil {
		for other := range k.states {
			k.removeOldest(other, 1)
			break
		}
	}
	k.removeOldest(node, maxNodeStates)
}

// removeExpired removes the states of a node whose retention has ended. k.mu is held.
func (k *Keeper) removeExpired(node string, now time.Time) {
	for target, s := range k.states[node] {
		if !now.Before(s.removeAt) {
			k.remove(node, target)
		}
	}
}

// removeOldest removes the states of a node that expire first until fewer than limit are
// left. k.mu is held.
func (k *Keeper) removeOldest(node string, limit int) {
	for len(k.states[node]) >= limit && len(k.states[node]) > 0 {
		oldest := ""
		for target, s := range k.states[node] {
			if oldest == "" || s.removeAt.Before(k.states[node][oldest].removeAt) {
				oldest = target
			}
		}
		k.remove(node, oldest)
	}
}

// IsLeaving reports whether the incarnation of a target that an endpoint names, or a later
// one, has stated that it leaves.
func (k *Keeper) IsLeaving(e applier.Endpoint) bool {
	if k.kept.Load() == 0 {
		return false
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	s, ok := k.states[e.Node][e.Target]
	return ok && s.Leaving && e.StartedAt <= s.StartedAt
}

// StatesOf returns the states of the targets beside a node.
func (k *Keeper) StatesOf(node string) []translator.TargetState {
	if k.kept.Load() == 0 {
		return nil
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	var out []translator.TargetState
	for _, s := range k.states[node] {
		out = append(out, s.TargetState)
	}
	return out
}
