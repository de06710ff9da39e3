package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/recorder"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

const joinPause = 100 * time.Millisecond

// Identity is minted once on each disk. A host whose disk was lost or swapped
// gets another identity, so it cannot vote as the host that it was.
type Identity struct {
	ID                string                `cbor:"1,keyasint"`
	Name              string                `cbor:"2,keyasint"`
	InitialMembership replicator.Membership `cbor:"3,keyasint"` // Initial is what the groups began with; empty before this host belongs to them.
}

func loadIdentity(d recorder.Disk, name string) (Identity, error) {
	raw, err := recorder.ReadIdentity(d)
	if err != nil {
		return Identity{}, &Error{"identity", KindDisk, err}
	}
	if raw == nil {
		id := Identity{ID: uuid.NewString(), Name: name}
		return id, saveIdentity(d, id)
	}
	var id Identity
	if err := encoder.Unmarshal(raw, &id); err != nil {
		return Identity{}, &Error{"identity", KindDisk, err}
	}
	return id, nil
}

func saveIdentity(d recorder.Disk, id Identity) error {
	raw, err := encoder.Marshal(id)
	if err != nil {
		return &Error{"identity", KindEncoding, err}
	}
	if err := recorder.WriteIdentity(d, raw); err != nil {
		return &Error{"identity", KindDisk, err}
	}
	return nil
}

// join finds out what the groups began with. Only the first host of the
// settings may begin them, and only when every host has a new disk; all others
// take the membership from a host that has it. A host that comes with a new
// disk to groups that exist waits as an outsider until operators add it.
func (c *Controller) join(ctx context.Context) error {
	for len(c.initial().Members) == 0 {
		replies := c.askPeers(ctx)
		initial := c.chooseInitial(replies)
		if len(initial.Members) > 0 {
			next := c.identity
			next.InitialMembership = initial
			if err := saveIdentity(recorder.Folder{Path: c.DataFolder}, next); err != nil {
				return err
			}
			c.identityMu.Lock()
			c.identity = next
			c.identityMu.Unlock()
			c.Log.Info("joined", "id", next.ID, "voter", initial.IsVoter(next.ID))
			return nil
		}
		sleeper.Sleep(ctx, joinPause)
		if err := ctx.Err(); err != nil {
			return &Error{"join", KindJoin, err}
		}
	}
	return nil
}

// otherHosts returns where other control hosts may be.
func (c *Controller) otherHosts() []string {
	var out []string
	for _, p := range c.Peers {
		out = append(out, p.Address)
	}
	if c.Hosts != nil {
		out = append(out, c.Hosts.List()...)
	}
	return slices.DeleteFunc(out, func(a string) bool { return a == c.RPCAddress })
}

// askPeers asks all control hosts at once who they are; this host comes first.
func (c *Controller) askPeers(ctx context.Context) []messenger.IdentifyReply {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	hosts := c.otherHosts()
	replies := make([]*messenger.IdentifyReply, len(hosts))
	var asks conc.WaitGroup
	for i, address := range hosts {
		asks.Go(func() {
			var reply messenger.IdentifyReply
			if c.pool.Get(address).Call(call, messenger.MethodIdentify, messenger.Empty{}, &reply) == nil {
				replies[i] = &reply
			}
		})
	}
	asks.Wait()
	out := []messenger.IdentifyReply{c.identify()}
	for _, r := range replies {
		if r != nil {
			out = append(out, *r)
		}
	}
	return out
}

func (c *Controller) identify() messenger.IdentifyReply {
	r := messenger.IdentifyReply{ID: c.identity.ID, Name: c.Name, Address: c.RPCAddress, Initial: c.initial(), Leaders: map[string]string{}}
	if !c.ready.Load() {
		return r
	}
	r.Members = c.memberAddresses()
	for _, m := range c.members {
		if leader := m.group.Status().Leader; leader != "" {
			r.Leaders[m.group.Name] = c.addressOf(leader)
		}
	}
	return r
}

// initial returns what the groups began with.
func (c *Controller) initial() replicator.Membership {
	c.identityMu.Lock()
	defer c.identityMu.Unlock()
	return c.identity.InitialMembership
}

// chooseInitial takes the membership from a host that has it. Without one, the
// first host begins the groups, once every disk is known to be new.
func (c *Controller) chooseInitial(replies []messenger.IdentifyReply) replicator.Membership {
	for _, r := range replies {
		if len(r.Initial.Members) > 0 {
			return r.Initial
		}
	}
	if c.Hosts != nil {
		return c.foundFromSeeds(replies)
	}
	named := slices.DeleteFunc(slices.Clone(replies), func(r messenger.IdentifyReply) bool {
		return !slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.Name == r.Name })
	})
	first := slices.MinFunc(c.Peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	if len(named) < len(c.Peers) || first.Name != c.Name {
		return replicator.Membership{}
	}
	return membershipOf(named)
}

// foundFromSeeds begins the groups with the seeds, on the first of them.
func (c *Controller) foundFromSeeds(replies []messenger.IdentifyReply) replicator.Membership {
	if !c.AllowBootstrap || len(c.Seeds) == 0 || slices.Min(c.Seeds) != c.RPCAddress {
		return replicator.Membership{}
	}
	seeds := slices.DeleteFunc(slices.Clone(replies), func(r messenger.IdentifyReply) bool { return !slices.Contains(c.Seeds, r.Address) })
	if len(seeds) < len(c.Seeds) {
		return replicator.Membership{}
	}
	return membershipOf(seeds)
}

func membershipOf(replies []messenger.IdentifyReply) replicator.Membership {
	var m replicator.Membership
	for _, r := range replies {
		m.Members = append(m.Members, replicator.Member{ID: r.ID, Name: r.Name, Address: r.Address})
	}
	return m
}
