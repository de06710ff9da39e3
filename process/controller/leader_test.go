package controller

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// newLeader returns a control host that is the only member of its groups and leads
// them. config is the state of the configuration group.
func newLeader(t *testing.T, config replicator.Applier) *Controller {
	t.Helper()
	c := &Controller{DataFolder: t.TempDir(), Log: log.New(io.Discard), state: &applier.Applier{}, registry: &claimer.Registry{}}
	c.identity.ID = "only-member"
	c.pool, c.groupPool = c.newPool(), c.newPool()
	c.replicas[configIndex] = c.newGroupReplica(messenger.GroupConfig, config)
	c.replicas[claimsIndex] = c.newGroupReplica(messenger.GroupClaims, c.registry)
	ctx, cancel := context.WithCancel(context.Background())
	members := replicator.Membership{}.WithMember(replicator.Member{ID: c.identity.ID, Address: "127.0.0.1:1"})
	for _, m := range c.replicas {
		if err := m.open(members); err != nil {
			t.Fatal(err)
		}
		c.tasks.Go(func() { c.runGroup(ctx, m) })
	}
	t.Cleanup(func() {
		cancel()
		c.tasks.Wait()
	})
	c.joined.Store(true)
	awaitLeadership(t, c)
	return c
}

// awaitLeadership waits until a control host leads both of its groups.
func awaitLeadership(t *testing.T, c *Controller) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for _, m := range c.replicas {
		for m.group.Status().Role != replicator.RoleLeader {
			if time.Now().After(deadline) {
				t.Fatal("the group has no leader")
			}
			time.Sleep(pollInterval)
		}
	}
}
