package compiler_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// endpoint returns an endpoint of the service svc0 at a node.
func endpoint(node, target, address string) applier.Endpoint {
	return applier.Endpoint{EndpointKey: applier.EndpointKey{Node: node, Target: target}, Incarnation: 1,
		Address: address, DataCentre: "dc-1", Service: "svc0", Version: "v1", Slots: 4, Connections: 4}
}

// announcement returns the list of a node.
func announcement(node string, endpoints ...applier.Endpoint) applier.Announcement {
	return applier.Announcement{Node: node, Incarnation: 1, Endpoints: endpoints}
}

// TestUndialableEndpointGetsRequests guards against an endpoint whose address can't be
// dialled in the tables of nodes, where it would be selected like any other.
func TestUndialableEndpointGetsRequests(t *testing.T) {
	for _, address := range []string{"10.0.0.9:99999", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:", "10.0.0.9", ":80", "10.0.0.9:http", "", "10.0.0.999:80", "[::1:80", "10.0.0.9:1\n"} {
		t.Run(address, func(t *testing.T) {
			is := is.New(t)
			sim, node := newSimulation(t, 1), &nodeState{}
			sim.apply(applier.EditSection{EditID: "e", Section: "s0", Team: "t", Action: applier.ActionEdit, Body: []byte("services: [{name: svc0}]\n"), At: at})
			odd := announcement("odd", endpoint("odd", "t1", address), endpoint("odd", "t2", "[fd00::9]:7101"))
			sim.applyDecoded(applier.Announce{Announcements: []applier.Announcement{odd}, At: at})
			is.NoErr(node.applyUpdate(node.requestUpdate(sim.state)))
			pool := node.store.Table().Service("svc0").Pool("v1")
			is.Equal(len(pool.Remote), 1)
			is.Equal(pool.Remote[0].Target, "t2")
			is.Equal(node.store.Table().UndialableEndpoints, 1)
		})
	}
}

// TestOddAnnouncementStopsNodes guards against an entry of one node's list that keeps
// all nodes from following the configuration. Each row is a list of another writer that
// is in the log; in the one batch with it, and afterwards, good nodes announce their
// targets.
func TestOddAnnouncementStopsNodes(t *testing.T) {
	twice := endpoint("odd", "t1", "10.0.0.9:1")
	negative, huge, empty := twice, twice, applier.Endpoint{}
	negative.Slots, negative.Connections, negative.StartedAt = math.MinInt, math.MinInt, math.MinInt64
	huge.Slots, huge.Connections, huge.StartedAt, huge.Incarnation = math.MaxInt, math.MaxInt, math.MaxInt64, math.MaxUint64
	long := endpoint("odd", strings.Repeat("t", 1<<20), "10.0.0.9:1")
	control := endpoint("odd", "t\x00\n\x1b[2J", "10.0.0.9:1\r\n")
	var many []applier.Endpoint
	for i := range 20_000 {
		many = append(many, endpoint("odd", fmt.Sprintf("t%d", i), "10.0.0.9:1"))
	}
	rows := []struct {
		name string
		list applier.Announcement
	}{
		{"port out of range", announcement("odd", endpoint("odd", "t1", "10.0.0.9:99999"))},
		{"no port", announcement("odd", endpoint("odd", "t1", "10.0.0.9"))},
		{"no address", announcement("odd", endpoint("odd", "t1", ""))},
		{"the same target twice", announcement("odd", twice, twice)},
		{"the same target at two addresses", announcement("odd", twice, endpoint("odd", "t1", "10.0.0.9:2"))},
		{"the same target three times", announcement("odd", twice, endpoint("odd", "t1", "10.0.0.9:2"), twice)},
		{"the target of another node", announcement("odd", endpoint("good-1", "t1", "10.0.0.9:1"))},
		{"the list of another node as well", announcement("odd", twice, endpoint("good-2", "t1", "10.0.0.9:1"), endpoint("good-2", "t1", "10.0.0.9:1"))},
		{"negative numbers", announcement("odd", negative)},
		{"largest numbers", announcement("odd", huge)},
		{"empty entry", announcement("odd", empty, empty)},
		{"empty node", announcement("", empty)},
		{"unknown service", announcement("odd", applier.Endpoint{EndpointKey: applier.EndpointKey{Node: "odd", Target: "t1"}, Service: "none"})},
		{"long name", announcement("odd", long)},
		{"control characters", announcement("odd", control)},
		{"20000 targets", announcement("odd", many...)},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 1)
			current := &nodeState{} // a node that has followed from the start
			edit := func(revision uint64) {
				sim.apply(applier.EditSection{EditID: fmt.Sprint("e", revision), Section: "s0", Team: "t", Action: applier.ActionEdit, BaseRevision: revision, At: at,
					Body: fmt.Appendf(nil, "services: [{name: svc0}]\nroutes: [{path: /r%d, service: svc0}]\n", revision)})
			}
			follows := func(node *nodeState, route string) {
				t.Helper()
				for range 2 { // after a rejected update, a node requests the whole state
					_ = node.applyUpdate(node.requestUpdate(sim.state))
				}
				is.True(node.store.Table() != nil)
				_, ok := node.store.Table().Match("", "GET", route)
				is.True(ok) // the newest configuration is in force
				is.Equal(node.snapshot.Version, sim.state.Version)
				is.Equal(node.snapshot.Revision, sim.state.Revision)
				found := 0
				for _, e := range node.store.Table().Service("svc0").Pool("v1").Remote {
					if strings.HasPrefix(e.Node, "good") && e.Target == "own" {
						found++
					}
				}
				is.Equal(found, 3) // the targets of the good nodes
			}
			good := func(n int) applier.Announcement {
				node := fmt.Sprint("good-", n)
				return announcement(node, endpoint(node, "own", "10.0.0.1:1"), endpoint(node, "t1", "10.0.0.1:1"))
			}
			edit(0)
			sim.apply(applier.Announce{Announcements: []applier.Announcement{good(1)}, At: at})
			sim.applyDecoded(applier.Announce{Announcements: []applier.Announcement{good(2), row.list, good(3)}, At: at})
			follows(current, "/r0")
			edit(1)
			follows(current, "/r1")
			follows(&nodeState{}, "/r1") // a node that starts now
			sim.applyDecoded(applier.Announce{Announcements: []applier.Announcement{row.list}, At: at})
			sim.apply(applier.ExpireNodes{Nodes: []applier.NodeID{{Node: "odd", Incarnation: 1}}, At: at})
			edit(2)
			follows(current, "/r2")
			follows(&nodeState{}, "/r2")
		})
	}
}
