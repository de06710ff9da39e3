package controller

import (
	"sync"
	"time"

	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

const (
	// maxAddresses bounds the addresses that a host keeps.
	maxAddresses = 1024
	// dropLogInterval is the minimum time between two log lines on dropped messages.
	dropLogInterval = time.Second
)

// addressBook stores the addresses at which other control hosts have said that they
// receive messages. A host whose log is empty finds the address of its leader only here:
// the membership that the groups began with may name none of the present hosts. It is
// safe for concurrent use.
type addressBook struct {
	mu        sync.Mutex
	addresses map[string]string // addresses is keyed by the identity of the host.
}

// record stores the address of a host.
func (b *addressBook) record(id, address string) {
	if id == "" || address == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.addresses == nil || len(b.addresses) >= maxAddresses {
		b.addresses = map[string]string{}
	}
	b.addresses[id] = address
}

// find returns the address of a host, or an empty string.
func (b *addressBook) find(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses[id]
}

// addressOf returns the address of a member: the one that it has stated itself last, else
// the one in the memberships that this host stores, else the one that it had when the
// groups began. It returns an empty string for an unknown member.
func (c *Controller) addressOf(id string) string {
	if address := c.addresses.find(id); address != "" {
		return address
	}
	for _, m := range c.replicas {
		if !c.joined.Load() {
			break
		}
		if mem, ok := m.group.Status().Membership.Find(id); ok {
			return mem.Address
		}
	}
	mem, _ := c.initialMembership().Find(id)
	return mem.Address
}

// logDrop logs a dropped message, at most one in dropLogInterval.
func (c *Controller) logDrop(group string, e replicator.Envelope, reason string) {
	now := time.Now().UnixNano()
	last := c.dropLoggedAt.Load()
	if now-last < int64(dropLogInterval) || !c.dropLoggedAt.CompareAndSwap(last, now) {
		return
	}
	c.Log.Warn("message of the group dropped", "group", group, "to", e.To, "reason", reason, "term", e.Term)
}
