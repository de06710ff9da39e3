package commands

import (
	"fmt"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/controller"
	"github.com/hornbeamrack/hornbeamrack/process/replicator"
)

const (
	// replaceTimeout bounds the whole replacement, over both groups.
	replaceTimeout      = 2 * time.Minute
	memberRetryInterval = 500 * time.Millisecond
)

func addControlCommands(p *flags.Parser, o *clientOptions) {
	c := mustAdd(p, "control", "Replace control hosts", "Control hosts are identified by an id that is stored on their disk; a host with a new disk is a different member.", &struct{}{})
	mustAdd(c, "replace", "Replace a lost control host by a new one",
		"Removes the lost host from both groups, adds the new one as a learner, and promotes it to a voter once it has caught up. Start the new host first; it waits to be added. The command can be repeated after a failure.\n\nExample:\n  hornbeamctl control replace --old control-2 --new 10.0.0.9:7000", &controlReplace{client: o})
}

// controlReplace replaces a lost control host by a new one in both Raft groups.
type controlReplace struct {
	client         *clientOptions
	LostHostName   string `long:"old" required:"yes" description:"Name of the lost control host" value-name:"NAME"`
	NewHostAddress string `long:"new" required:"yes" description:"rpcAddress of the new control host" value-name:"IP:PORT"`
}

// Execute implements flags.Commander.
func (c *controlReplace) Execute([]string) error {
	var identity messenger.IdentifyReply
	if err := c.client.get("/v1/identify?address="+url.QueryEscape(c.NewHostAddress), &identity); err != nil {
		return err
	}
	member := replicator.Member{ID: identity.ID, Name: identity.Name, Address: identity.Address}
	deadline := time.Now().Add(replaceTimeout)
	for _, group := range []string{messenger.GroupConfig, messenger.GroupClaims} {
		if err := c.replaceInGroup(group, member, deadline); err != nil {
			return err
		}
	}
	return c.client.print(member, func(w *tabwriter.Writer) {
		writeRow(w, fmt.Sprintf("%s votes in the place of %s", member.Name, c.LostHostName))
	})
}

// replaceInGroup removes the lost host from one group, adds the new one as a learner
// and promotes it to a voter. The membership changes by one voter at a time: each
// step starts after the one before it has been accepted. Steps that an earlier run
// has completed are left out, so the command can be repeated after a failure.
func (c *controlReplace) replaceInGroup(group string, member replicator.Member, deadline time.Time) error {
	var status controller.StatusView
	if err := c.client.get("/v1/status", &status); err != nil {
		return err
	}
	var steps []messenger.MemberArgs
	for _, g := range status.Groups {
		if g.Name != group {
			continue
		}
		for _, m := range g.Membership.Members {
			if m.Name == c.LostHostName && m.ID != member.ID {
				steps = append(steps, messenger.MemberArgs{Group: group, Action: messenger.MemberRemove, Member: m})
			}
		}
		if !g.Membership.IsVoter(member.ID) {
			steps = append(steps,
				messenger.MemberArgs{Group: group, Action: messenger.MemberAdd, Member: member},
				messenger.MemberArgs{Group: group, Action: messenger.MemberPromote, Member: member})
		}
	}
	for _, s := range steps {
		if err := c.changeMember(s, deadline); err != nil {
			return errors.WithMessagef(err, "%s %s in group %s", s.Action, s.Member.Name, group)
		}
	}
	return nil
}

// changeMember sends one membership change, and retries it until it is accepted or the
// deadline has passed. It returns the last error.
func (c *controlReplace) changeMember(args messenger.MemberArgs, deadline time.Time) error {
	for {
		err := c.client.post("/v1/members", args, &messenger.Empty{})
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(memberRetryInterval)
	}
}
