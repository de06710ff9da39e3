package applier

import (
	"fmt"
	"slices"
	"time"
)

// announce takes in whole lists of nodes. A list from an earlier life of its
// node is dropped.
func (s State) announce(index uint64, c Announce) State {
	for _, a := range c.Announcements {
		if slices.ContainsFunc(s.Endpoints, func(e Endpoint) bool { return e.Node == a.Node && e.Incarnation > a.Incarnation }) {
			continue
		}
		s = s.replaceNode(a)
		s = s.adoptVersions(index, a, c.At)
	}
	return s
}

// replaceNode makes a node's endpoints what the node says. The revision grows
// only if something differs.
func (s State) replaceNode(a Announcement) State {
	var kept []Endpoint
	var gone []EndpointKey
	fresh := slices.Clone(a.Endpoints)
	for i := range fresh {
		fresh[i].Modified = 0
	}
	for _, e := range s.Endpoints {
		if e.Node != a.Node {
			kept = append(kept, e)
			continue
		}
		i := slices.IndexFunc(fresh, func(f Endpoint) bool { return f.EndpointKey == e.EndpointKey })
		if i < 0 {
			gone = append(gone, e.EndpointKey)
			continue
		}
		if fresh[i].same(e) {
			fresh[i].Modified = e.Modified
		}
	}
	changed := false
	for i := range fresh {
		if fresh[i].Modified == 0 {
			fresh[i].Modified = s.Revision + 1
			changed = true
		}
	}
	if !changed && len(gone) == 0 {
		return s
	}
	s.Revision++
	s.Endpoints = append(kept, fresh...)
	slices.SortFunc(s.Endpoints, func(a, b Endpoint) int { return a.Compare(b.EndpointKey) })
	return s.withGone(gone)
}

// withGone remembers removals for deltas; what comes back is not gone.
func (s State) withGone(keys []EndpointKey) State {
	present := func(g RemovedEndpoint) bool {
		_, ok := slices.BinarySearchFunc(s.Endpoints, g.EndpointKey, func(e Endpoint, k EndpointKey) int { return e.Compare(k) })
		return ok
	}
	list := slices.DeleteFunc(slices.Clone(s.RemovedEndpoints), func(g RemovedEndpoint) bool { return present(g) || slices.Contains(keys, g.EndpointKey) })
	for _, k := range keys {
		list = append(list, RemovedEndpoint{EndpointKey: k, Revision: s.Revision})
	}
	if extra := len(list) - MaxRemovedEndpoints; extra > 0 {
		s.RemovalsTruncatedAt = list[extra-1].Revision
		list = list[extra:]
	}
	s.RemovedEndpoints = list
	return s
}

// adoptVersions lets the first version that a service ever announces serve.
// Later versions get traffic only by a move.
func (s State) adoptVersions(index uint64, a Announcement, at time.Time) State {
	for _, e := range a.Endpoints {
		if _, ok := s.Traffic(e.Service); ok {
			continue
		}
		s.Version++
		s = s.WithTraffic(Traffic{Service: e.Service, ServingVersion: e.Version, Modified: s.Version})
		s = s.WithEvent(Event{Index: index, At: at, Kind: "serviceFirstSeen", Subject: e.Service,
			Detail: fmt.Sprintf("served by version %s", e.Version)})
	}
	return s
}

// expire removes all endpoints of nodes whose lease has run out.
func (s State) expire(index uint64, c ExpireNodes) State {
	for _, n := range c.Nodes {
		mine := func(e Endpoint) bool { return e.Node == n.Node && e.Incarnation == n.Incarnation }
		var gone []EndpointKey
		var kept []Endpoint
		for _, e := range s.Endpoints {
			if mine(e) {
				gone = append(gone, e.EndpointKey)
				continue
			}
			kept = append(kept, e)
		}
		if len(gone) == 0 {
			continue
		}
		s.Revision++
		s.Endpoints = kept
		s = s.withGone(gone)
		s = s.WithEvent(Event{Index: index, At: c.At, Kind: "nodeExpired", Subject: n.Node,
			Detail: fmt.Sprintf("%d targets removed", len(gone))})
	}
	return s
}

// reportCrash counts a crash against a request. The list is short, so nodes
// get it whole with their endpoints.
func (s State) reportCrash(index uint64, c ReportCrash) State {
	next := PoisonRequest{Service: c.Service, Signature: c.Signature, ExpiresAt: c.At.Add(PoisonRequestTTL)}
	var kept []PoisonRequest
	for _, old := range s.PoisonRequests {
		switch {
		case old.Service == c.Service && old.Signature == c.Signature:
			next.Crashes = old.Crashes
		case c.At.Before(old.ExpiresAt):
			kept = append(kept, old)
		}
	}
	next.Crashes++
	s.Revision++
	s.PoisonRequests = withBounded(kept, next, MaxPoisonRequests)
	if next.Crashes == CrashThreshold {
		s = s.WithEvent(Event{Index: index, At: c.At, Kind: "requestQuarantined", Subject: c.Service,
			Detail: fmt.Sprintf("request %016x was in flight at %d crashes; refused until %s", c.Signature, next.Crashes, next.ExpiresAt.UTC().Format(time.RFC3339))})
	}
	return s
}
