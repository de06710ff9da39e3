package applier

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

const (
	// MaxNodeEndpoints is the maximum number of endpoints in the list of one node.
	MaxNodeEndpoints = 1024
	// maxEndpointSlots bounds the slots and the connections of one endpoint.
	maxEndpointSlots = 100_000
)

// rejectedEndpoints counts the endpoints that were not proposed.
var rejectedEndpoints = metrics.NewCounter("hornbeam_endpoints_rejected_total")

// Dialable reports whether the address of the endpoint is an IP address and a port.
func (e Endpoint) Dialable() bool {
	address, err := netip.ParseAddrPort(e.Address)
	return err == nil && address.Port() > 0
}

// valid reports whether a node can have announced the endpoint.
func (e Endpoint) valid() bool {
	for _, name := range []string{e.Node, e.Target, e.Service, e.Version, e.DataCentre} {
		if !parser.ValidName(name) {
			return false
		}
	}
	return e.Dialable() && e.Slots >= 0 && e.Slots <= maxEndpointSlots && e.Connections >= 0 && e.Connections <= maxEndpointSlots
}

// withoutInvalid returns the command without the endpoints that no node can have
// announced: invalid ones, those of another node than their list, repeated ones, and
// those beyond MaxNodeEndpoints. It is called before the command is proposed and not
// when it is applied, so that all hosts apply the same.
func (c Announce) withoutInvalid() Announce {
	lists := make([]Announcement, 0, len(c.Announcements))
	for _, a := range c.Announcements {
		if !parser.ValidName(a.Node) {
			rejectedEndpoints.Add(len(a.Endpoints))
			continue
		}
		lists = append(lists, a.withoutInvalid())
	}
	c.Announcements = lists
	return c
}

// withoutInvalid returns the list without the endpoints that its node can't have
// announced.
func (a Announcement) withoutInvalid() Announcement {
	seen := make(map[string]bool, len(a.Endpoints))
	kept := make([]Endpoint, 0, len(a.Endpoints))
	for _, e := range a.Endpoints {
		if len(kept) == MaxNodeEndpoints || e.Node != a.Node || seen[e.Target] || !e.valid() {
			rejectedEndpoints.Inc()
			continue
		}
		seen[e.Target] = true
		kept = append(kept, e)
	}
	a.Endpoints, a.Departures = kept, a.validDepartures()
	return a
}

// announce replaces the endpoints of the announcing nodes. An announcement from
// an earlier incarnation of its node is dropped, but for its departures. A target that has
// left is not added again.
func (s State) announce(index uint64, c Announce) State {
	for _, a := range c.Announcements {
		s = s.withDepartures(a.Departures, c.At)
	}
	for _, r := range c.Served {
		s = s.requestServed(index, r, c.At)
	}
	for _, a := range c.Announcements {
		a = s.withoutDeparted(a)
		if slices.ContainsFunc(s.Endpoints, func(e Endpoint) bool { return e.Node == a.Node && e.Incarnation > a.Incarnation }) {
			continue
		}
		s = s.replaceNodeEndpoints(a)
		s = s.serveFirstVersions(index, a, c.At)
	}
	return s
}

// replaceNodeEndpoints replaces a node's endpoints with the announced ones. The
// revision increases only if an endpoint is added, changed or removed.
func (s State) replaceNodeEndpoints(a Announcement) State {
	var kept []Endpoint
	var removed []EndpointKey
	announced := slices.Clone(a.Endpoints)
	for i := range announced {
		announced[i].Modified = 0
	}
	for _, e := range s.Endpoints {
		if e.Node != a.Node {
			kept = append(kept, e)
			continue
		}
		i := slices.IndexFunc(announced, func(o Endpoint) bool { return o.EndpointKey == e.EndpointKey })
		if i < 0 {
			removed = append(removed, e.EndpointKey)
			continue
		}
		if announced[i].equalExceptModified(e) {
			announced[i].Modified = e.Modified
		}
	}
	changed := false
	for i := range announced {
		if announced[i].Modified == 0 {
			announced[i].Modified = s.Revision + 1
			changed = true
		}
	}
	if !changed && len(removed) == 0 {
		return s
	}
	s.Revision++
	s.Endpoints = append(kept, announced...)
	slices.SortFunc(s.Endpoints, func(a, b Endpoint) int { return a.Compare(b.EndpointKey) })
	return s.withRemovals(removed)
}

// withRemovals records removed endpoints for later updates, and drops the records
// of endpoints that are present again.
func (s State) withRemovals(keys []EndpointKey) State {
	present := func(r RemovedEndpoint) bool {
		_, ok := slices.BinarySearchFunc(s.Endpoints, r.EndpointKey, func(e Endpoint, k EndpointKey) int { return e.Compare(k) })
		return ok
	}
	list := slices.DeleteFunc(slices.Clone(s.RemovedEndpoints), func(r RemovedEndpoint) bool { return present(r) || slices.Contains(keys, r.EndpointKey) })
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

// serveFirstVersions makes the first version that targets of a service ever
// announce its serving version. Later versions get traffic only by a move.
func (s State) serveFirstVersions(index uint64, a Announcement, at time.Time) State {
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

// expireNodes removes all endpoints of the node incarnations whose lease has
// expired.
func (s State) expireNodes(index uint64, c ExpireNodes) State {
	for _, n := range c.Nodes {
		expired := func(e Endpoint) bool { return e.Node == n.Node && e.Incarnation == n.Incarnation }
		var removed []EndpointKey
		var kept []Endpoint
		for _, e := range s.Endpoints {
			if expired(e) {
				removed = append(removed, e.EndpointKey)
				continue
			}
			kept = append(kept, e)
		}
		if len(removed) == 0 {
			continue
		}
		s.Revision++
		s.Endpoints = kept
		s = s.withRemovals(removed)
		s = s.WithEvent(Event{Index: index, At: c.At, Kind: "nodeExpired", Subject: n.Node,
			Detail: fmt.Sprintf("%d targets removed", len(removed))})
	}
	return s
}
