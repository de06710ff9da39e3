// Package assigner picks the control host that a node calls.
//
// Load pattern: nodes start with the same few seeds, and a control host is small.
// If each node stayed where its first call was answered, the seeds would serve
// the whole mesh and lead it too. So each node ranks all control hosts that it
// knows by a hash of its own name and theirs, and calls the first in its ranking
// that has not failed it lately. The nodes spread evenly, and only those of a host
// that comes or goes move.
//
// # Usage
//
//	a := &assigner.Assigner{Key: "node-1"}
//	address := a.Pick(hosts.List(), time.Now())
//	a.Failed(address, time.Now())
package assigner

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// restTime is how long a control host that failed is not called while another
// can be: a host that is cut off costs each call to it a timeout.
const restTime = 10 * time.Second

// Assigner is one node's choice. Key is set before use. It is not safe for
// concurrent use.
type Assigner struct {
	NodeName string // Key is the node's name.

	restsTill map[string]time.Time // restsTill has the deadline of each host that failed.
}

// Pick returns the address to call, "" when there is none.
func (a *Assigner) Pick(hosts []string, now time.Time) string {
	best := ""
	for _, h := range hosts {
		if best == "" || a.before(h, best, now) {
			best = h
		}
	}
	return best
}

// RecordFailure notes that a host was of no use.
func (a *Assigner) RecordFailure(address string, now time.Time) {
	if a.restsTill == nil {
		a.restsTill = map[string]time.Time{}
	}
	a.restsTill[address] = now.Add(restTime)
}

// before reports whether x is to be called rather than y: a host that rests only
// if all do, and then the one that has rested longest.
func (a *Assigner) before(x, y string, now time.Time) bool {
	restX, restY := a.restsTill[x], a.restsTill[y]
	if now.Before(restX) || now.Before(restY) {
		return restX.Before(restY)
	}
	return a.score(x) > a.score(y)
}

func (a *Assigner) score(host string) uint64 { return xxhash.Sum64String(a.NodeName + " " + host) }
