package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// TestRestartedNodeKeepsItsEndpoints guards against a mesh without endpoints after a
// restart of all nodes: nodes call with a new incarnation while the state stores the
// endpoints of their earlier one. If these were removed, requests would have no
// owner node until every node has announced its targets again.
func TestRestartedNodeKeepsItsEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var nodes nodeTable
		earlier := []applier.NodeID{{Node: "a", Incarnation: 1}}
		nodes.recordHeartbeat(messenger.NodeReport{Node: "a", Incarnation: 2}, 0)
		is.Equal(len(nodes.expired(earlier)), 0)
		time.Sleep(NodeLease + time.Second)
		is.Equal(nodes.expired(earlier), earlier) // a node without heartbeats expires
	})
}
