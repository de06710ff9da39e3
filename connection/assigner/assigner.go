// Package assigner picks the control host that a node calls.
//
// Load pattern: all nodes start with the same few seeds, and a control host has
// little capacity. If each node stayed with the host that replied to its first call,
// the seeds would serve the whole mesh and lead the groups too. Instead, each node
// ranks its list of control hosts by a hash of its own name and the host's address
// (rendezvous hashing), and calls the first one that has not failed recently. The
// nodes spread evenly over the hosts, and when a host is added or removed only the
// nodes of that host move.
//
// # Usage
//
//	a := &assigner.Assigner{NodeName: "node-1"}
//	address := a.Pick(hosts.List(), time.Now())
//	a.RecordFailure(address, time.Now())
package assigner

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// cooldown is how long a control host that failed is not called while another is
// available: each call to a partitioned host takes a full timeout.
const cooldown = 10 * time.Second

// Assigner picks control hosts for one node. NodeName is set before use. It is not
// safe for concurrent use.
type Assigner struct {
	NodeName string

	cooldownUntil map[string]time.Time // cooldownUntil is the end of each failed host's cooldown, by address.
}

// Pick returns the address of hosts to call at the time now, or an empty string if
// hosts is empty.
func (a *Assigner) Pick(hosts []string, now time.Time) string {
	best := ""
	for _, h := range hosts {
		if best == "" || a.isPreferred(h, best, now) {
			best = h
		}
	}
	return best
}

// RecordFailure starts the cooldown of a host after a call that failed at the time now.
func (a *Assigner) RecordFailure(address string, now time.Time) {
	if a.cooldownUntil == nil {
		a.cooldownUntil = map[string]time.Time{}
	}
	a.cooldownUntil[address] = now.Add(cooldown)
}

// isPreferred reports whether x is preferred to y. A host in its cooldown is picked
// only if all hosts are, and then the one whose cooldown ends first.
func (a *Assigner) isPreferred(x, y string, now time.Time) bool {
	cooldownX, cooldownY := a.cooldownUntil[x], a.cooldownUntil[y]
	if now.Before(cooldownX) || now.Before(cooldownY) {
		return cooldownX.Before(cooldownY)
	}
	return a.score(x) > a.score(y)
}

// score returns the rendezvous hash of the node and a host; the highest one wins.
func (a *Assigner) score(host string) uint64 { return xxhash.Sum64String(a.NodeName + " " + host) }
