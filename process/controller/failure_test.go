package controller

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// failingState is a state to which no command can be applied.
type failingState struct{ applier.Applier }

// Apply implements replicator.Applier.
func (*failingState) Apply(uint64, []byte) any {
	return &applier.Error{Op: "decode", Kind: applier.KindCorrupt, Err: errors.New("not a command")}
}

// TestFailedCommandIsAccepted guards against a command that no host could apply and whose
// sender takes the empty reply for an accepted one.
func TestFailedCommandIsAccepted(t *testing.T) {
	is := is.New(t)
	c := newLeader(t, &failingState{})
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	reply := c.proposeHere(ctx, messenger.GroupConfig, []byte("x"))
	is.True(!reply.NotLeader)
	is.Equal(len(reply.Result), 0)
	is.True(strings.Contains(reply.Failure, "not a command"))
	_, err := c.propose(ctx, applier.CancelMove{EditID: "e", Service: "designs", Team: "a"})
	is.True(err != nil)
}
