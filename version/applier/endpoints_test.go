package applier_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// goodEndpoint returns a valid endpoint.
func goodEndpoint(node, target string) applier.Endpoint {
	return applier.Endpoint{EndpointKey: applier.EndpointKey{Node: node, Target: target}, Incarnation: 1,
		Address: "10.0.0.1:7101", DataCentre: "dc-1", Service: "designs", Version: "v1", Slots: 4, Connections: 4, StartedAt: 1}
}

// TestOddEndpointSpoilsBatch guards against an entry of one node's list that keeps the
// lists of other nodes in the batch out of the state, or gets into the state itself.
func TestOddEndpointSpoilsBatch(t *testing.T) {
	rows := []struct {
		name   string
		change func(e *applier.Endpoint)
	}{
		{"target that isn't UTF-8", func(e *applier.Endpoint) { e.Target = "t\xff" }},
		{"node that isn't UTF-8", func(e *applier.Endpoint) { e.Node = "odd\xff" }},
		{"service that isn't UTF-8", func(e *applier.Endpoint) { e.Service = "\xc3\x28" }},
		{"address that isn't UTF-8", func(e *applier.Endpoint) { e.Address = "10.0.0.1:7101\xff" }},
		{"long target", func(e *applier.Endpoint) { e.Target = strings.Repeat("t", 1<<20) }},
		{"control characters", func(e *applier.Endpoint) { e.Version = "v1\n" }},
		{"no target", func(e *applier.Endpoint) { e.Target = "" }},
		{"no service", func(e *applier.Endpoint) { e.Service = "" }},
		{"target of another node", func(e *applier.Endpoint) { e.Node = "good-1" }},
		{"repeated target", func(e *applier.Endpoint) { e.Target = "good" }},
		{"port out of range", func(e *applier.Endpoint) { e.Address = "10.0.0.1:99999" }},
		{"port 0", func(e *applier.Endpoint) { e.Address = "10.0.0.1:0" }},
		{"name for an IP", func(e *applier.Endpoint) { e.Address = "host:7101" }},
		{"no address", func(e *applier.Endpoint) { e.Address = "" }},
		{"negative slots", func(e *applier.Endpoint) { e.Slots = -1 }},
		{"largest slots", func(e *applier.Endpoint) { e.Slots = math.MaxInt }},
		{"negative connections", func(e *applier.Endpoint) { e.Connections = math.MinInt }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			h := &controlHost{t: t}
			odd := goodEndpoint("odd", "t1")
			row.change(&odd)
			h.run(applier.Announce{At: at, Announcements: []applier.Announcement{
				{Node: "good-1", Incarnation: 1, Endpoints: []applier.Endpoint{goodEndpoint("good-1", "t1")}},
				{Node: "odd", Incarnation: 1, Endpoints: []applier.Endpoint{goodEndpoint("odd", "good"), odd}},
				{Node: "good-2", Incarnation: 1, Endpoints: []applier.Endpoint{goodEndpoint("good-2", "t1")}},
			}})
			var keys []string
			for _, e := range h.applier.State().Endpoints {
				keys = append(keys, e.String())
			}
			is.Equal(keys, []string{"good-1/t1", "good-2/t1", "odd/good"})
			snapshot, err := h.applier.Snapshot()
			is.NoErr(err)
			is.NoErr((&applier.Applier{}).Restore(h.index, snapshot)) // a host can start from it
		})
	}
}

// TestOddNodeNameSpoilsBatch guards against the list of a node without a valid name that
// keeps the lists of other nodes in the batch out of the state.
func TestOddNodeNameSpoilsBatch(t *testing.T) {
	for _, node := range []string{"\xff", "", "node\n", strings.Repeat("n", 1<<20)} {
		is := is.New(t)
		h := &controlHost{t: t}
		h.run(applier.Announce{At: at, Announcements: []applier.Announcement{
			{Node: node, Incarnation: 1, Endpoints: []applier.Endpoint{goodEndpoint(node, "t1")}},
			{Node: "good", Incarnation: 1, Endpoints: []applier.Endpoint{goodEndpoint("good", "t1")}},
		}})
		is.Equal(len(h.applier.State().Endpoints), 1)
	}
}

// TestEndlessListFillsTheState guards against a node's list that makes the state of all
// hosts large.
func TestEndlessListFillsTheState(t *testing.T) {
	is := is.New(t)
	h := &controlHost{t: t}
	list := applier.Announcement{Node: "odd", Incarnation: 1}
	for i := range 20_000 {
		list.Endpoints = append(list.Endpoints, goodEndpoint("odd", fmt.Sprintf("t%d", i)))
	}
	h.run(applier.Announce{Announcements: []applier.Announcement{list}, At: at})
	is.Equal(len(h.applier.State().Endpoints), applier.MaxNodeEndpoints)
	is.True(slices.ContainsFunc(h.applier.State().Endpoints, func(e applier.Endpoint) bool { return e.Target == "t0" }))
}
