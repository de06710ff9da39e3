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

// joinInterval is the pause between two attempts of join to determine the initial
// membership.
const joinInterval = 100 * time.Millisecond

// Identity identifies one disk of a control host; it is created once for each
// disk. A host whose disk was lost or exchanged gets a new identity, so it cannot
// vote as the member that it was before.
type Identity struct {
	ID                string                `cbor:"1,keyasint"`
	Name              string                `cbor:"2,keyasint"`
	InitialMembership replicator.Membership `cbor:"3,keyasint"` // InitialMembership is the membership that the groups began with; empty before this host belongs to them.
}

// loadIdentity reads the identity from the disk, or creates and stores one with a
// random ID on a new disk. It returns an error of KindDisk on failure.
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

// saveIdentity stores the identity on the disk. It returns an error of KindEncoding
// or KindDisk on failure.
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

// join determines and stores the initial membership of the groups. Only the first
// host of the settings may bootstrap the groups, and only when every host has a
// new disk; all other hosts take the membership from a host that stores it. A
// host with a new disk that starts beside existing groups is not a member and waits
// until operators add it. join returns an error of KindJoin when ctx ends first.
func (c *Controller) join(ctx context.Context) error {
	failed := false
	for len(c.initialMembership().Members) == 0 {
		replies := c.identifyHosts(ctx)
		initial := c.chooseInitialMembership(replies)
		if len(initial.Members) > 0 {
			next := c.identity
			next.InitialMembership = initial
			err := saveIdentity(recorder.Folder{Path: c.DataFolder}, next)
			if err == nil {
				c.setInitialMembership(initial)
				c.Log.Info("control host joined its groups", "id", next.ID, "voter", initial.IsVoter(next.ID))
				return nil
			}
			if !isDiskError(err) {
				return err
			}
			if !failed {
				c.Log.Error("identity of this host cannot be stored, since its disk fails; free disk space", "err", err)
			}
			failed = true
		}
		sleeper.Sleep(ctx, joinInterval)
		if err := ctx.Err(); err != nil {
			return &Error{"join", KindJoin, err}
		}
	}
	return nil
}

// setInitialMembership stores the membership that the groups began with.
func (c *Controller) setInitialMembership(m replicator.Membership) {
	c.identityMu.Lock()
	defer c.identityMu.Unlock()
	c.identity.InitialMembership = m
}

// otherHostAddresses returns the addresses at which other control hosts may
// listen, from the settings and the locator.
func (c *Controller) otherHostAddresses() []string {
	var out []string
	for _, p := range c.Peers {
		out = append(out, p.Address)
	}
	if c.Hosts != nil {
		out = append(out, c.Hosts.List()...)
	}
	return slices.DeleteFunc(out, func(a string) bool { return a == c.RPCAddress })
}

// identifyHosts requests the identities of all control hosts concurrently. This
// host comes first in the result; hosts that do not reply within peerTimeout are
// left out.
func (c *Controller) identifyHosts(ctx context.Context) []messenger.IdentifyReply {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	hosts := c.otherHostAddresses()
	replies := make([]*messenger.IdentifyReply, len(hosts))
	var calls conc.WaitGroup
	for i, address := range hosts {
		calls.Go(func() {
			var reply messenger.IdentifyReply
			if c.pool.Get(address).Call(call, messenger.MethodIdentify, messenger.Empty{}, &reply) == nil {
				replies[i] = &reply
			}
		})
	}
	calls.Wait()
	out := []messenger.IdentifyReply{c.identify()}
	for _, r := range replies {
		if r != nil {
			c.addresses.record(r.ID, r.Address)
			out = append(out, *r)
		}
	}
	return out
}

// identify returns the identity of this host, and once it has joined also the
// members and leaders that it follows.
func (c *Controller) identify() messenger.IdentifyReply {
	r := messenger.IdentifyReply{ID: c.identity.ID, Name: c.Name, Address: c.RPCAddress, Initial: c.initialMembership(), Leaders: map[string]string{}}
	if !c.joined.Load() {
		return r
	}
	r.Members = c.memberAddresses()
	for _, m := range c.replicas {
		if leader := m.group.Status().Leader; leader != "" {
			r.Leaders[m.group.Name] = c.addressOf(leader)
		}
	}
	return r
}

// initialMembership returns the membership that the groups began with, which is
// empty before this host belongs to them.
func (c *Controller) initialMembership() replicator.Membership {
	c.identityMu.Lock()
	defer c.identityMu.Unlock()
	return c.identity.InitialMembership
}

// chooseInitialMembership returns the membership of a host that stores one. When
// no host does, the first host bootstraps the groups as soon as all hosts have
// replied that their disks are new. It returns an empty membership otherwise.
func (c *Controller) chooseInitialMembership(replies []messenger.IdentifyReply) replicator.Membership {
	for _, r := range replies {
		if len(r.Initial.Members) > 0 {
			return r.Initial
		}
	}
	if c.Hosts != nil {
		return c.bootstrapFromSeeds(replies)
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

// bootstrapFromSeeds returns a membership of all seeds on the host whose seed
// address sorts first, once all seeds have replied. It returns an empty
// membership otherwise.
func (c *Controller) bootstrapFromSeeds(replies []messenger.IdentifyReply) replicator.Membership {
	if !c.AllowBootstrap || len(c.Seeds) == 0 || slices.Min(c.Seeds) != c.RPCAddress {
		return replicator.Membership{}
	}
	seeds := slices.DeleteFunc(slices.Clone(replies), func(r messenger.IdentifyReply) bool { return !slices.Contains(c.Seeds, r.Address) })
	if len(seeds) < len(c.Seeds) {
		return replicator.Membership{}
	}
	return membershipOf(seeds)
}

// membershipOf returns a membership of the hosts that sent the replies.
func membershipOf(replies []messenger.IdentifyReply) replicator.Membership {
	var m replicator.Membership
	for _, r := range replies {
		m.Members = append(m.Members, replicator.Member{ID: r.ID, Name: r.Name, Address: r.Address})
	}
	return m
}
