package controller

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/recorder"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// TestNodeWithFewHostsGetsOnlyAddresses guards against work of the seeds for all nodes
// after a restart: a node that has fewer host addresses than there are gets the
// addresses at once. The host here has no leader, so a read-index round would fail.
func TestNodeWithFewHostsGetsOnlyAddresses(t *testing.T) {
	is := is.New(t)
	const hosts = 5
	var members replicator.Membership
	for i := range hosts {
		members = members.WithMember(replicator.Member{ID: fmt.Sprintf("m%d", i), Address: fmt.Sprintf("10.0.0.%d:7600", i)})
	}
	group := &replicator.Group{Name: "config", ID: "m0", Recorder: &recorder.Recorder{Disk: recorder.Folder{Path: t.TempDir()}}, Applier: &applier.Applier{}}
	is.NoErr(group.Open(members))
	c := &Controller{}
	c.replicas[configIndex] = &groupReplica{group: group}
	m := &nodeMethods{c: c}
	var reply messenger.SyncReply
	is.NoErr(m.Sync(messenger.SyncArgs{Known: 1}, &reply))
	is.Equal(len(reply.Hosts), 0) // the host has not joined yet
	c.joined.Store(true)
	c.identity.ID = "new"
	is.NoErr(m.Sync(messenger.SyncArgs{Known: 1}, &reply))
	is.Equal(len(reply.Hosts), 0) // it is no member, so these may be hosts that are gone
	c.identity.ID = "m0"
	is.NoErr(m.Sync(messenger.SyncArgs{Known: 1}, &reply))
	is.Equal(len(reply.Hosts), hosts)
	is.True(!reply.Confirmed)
}
