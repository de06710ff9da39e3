package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

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
	ID      string                `cbor:"1,keyasint"`
	Name    string                `cbor:"2,keyasint"`
	Initial replicator.Membership `cbor:"3,keyasint"` // Initial is what the groups began with; empty before this host belongs to them.
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
	for len(c.identity.Initial.Members) == 0 {
		replies := c.askPeers(ctx)
		initial := c.chooseInitial(replies)
		if len(initial.Members) > 0 {
			next := c.identity
			next.Initial = initial
			if err := saveIdentity(recorder.Folder{Path: c.DataFolder}, next); err != nil {
				return err
			}
			c.identity = next
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

func (c *Controller) askPeers(ctx context.Context) []messenger.IdentifyReply {
	replies := []messenger.IdentifyReply{c.identify()}
	for _, p := range c.Peers {
		if p.Name == c.Name {
			continue
		}
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		var reply messenger.IdentifyReply
		err := c.pool.Get(p.Address).Call(call, messenger.MethodIdentify, messenger.Empty{}, &reply)
		cancel()
		if err == nil && reply.Name == p.Name {
			replies = append(replies, reply)
		}
	}
	return replies
}

func (c *Controller) identify() messenger.IdentifyReply {
	return messenger.IdentifyReply{ID: c.identity.ID, Name: c.Name, Address: c.RPCAddress, Initial: c.identity.Initial}
}

func (c *Controller) chooseInitial(replies []messenger.IdentifyReply) replicator.Membership {
	for _, r := range replies {
		if len(r.Initial.Members) > 0 {
			return r.Initial
		}
	}
	first := slices.MinFunc(c.Peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	if len(replies) < len(c.Peers) || first.Name != c.Name {
		return replicator.Membership{}
	}
	var m replicator.Membership
	for _, r := range replies {
		m.Members = append(m.Members, replicator.Member{ID: r.ID, Name: r.Name, Address: r.Address})
	}
	return m
}
