package commands

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamrack/hornbeamrack/process/controller"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

func addViewCommands(p *flags.Parser, o *clientOptions) {
	mustAdd(p, "status", "Show control hosts and nodes", "Shows the leader of each group, the members and nodes that are behind and since when, and the version of each node.\n\nExample:\n  hornbeamctl status", &statusCommand{client: o})
	mustAdd(p, "services", "Show services and their targets", "Example:\n  hornbeamctl services", &servicesCommand{client: o})
	mustAdd(p, "events", "Show stored events", "Example:\n  hornbeamctl events --after 120", &eventsCommand{client: o})
}

// statusCommand prints the members of both Raft groups and the last status report of
// each node.
type statusCommand struct{ client *clientOptions }

// Execute implements flags.Commander: it fetches the status from a control host and prints
// the groups and nodes.
func (c *statusCommand) Execute([]string) error {
	var v controller.StatusView
	if err := c.client.get("/v1/status", &v); err != nil {
		return err
	}
	return c.client.print(v, func(w *tabwriter.Writer) {
		writeRow(w, fmt.Sprintf("version %d, endpoint revision %d, %d claims (as %s sees it)", v.Version, v.Revision, v.Claims, v.ReportingHost))
		showGroups(w, v.Groups)
		writeRow(w)
		writeRow(w, "NODE", "DATA CENTRE", "VERSION", "REVISION", "TARGETS", "LAST SEEN", "BEHIND SINCE")
		for _, n := range v.Nodes {
			behind := "-"
			if n.Lags > 0 {
				behind = n.Lags.Round(time.Millisecond).String()
			}
			writeRow(w, n.Report.Node, n.Report.DataCentre, n.Report.Version, n.Report.Revision, n.Report.Targets, n.Age.Round(time.Millisecond), behind)
		}
	})
}

// showGroups writes one line for each member of each Raft group.
func showGroups(w *tabwriter.Writer, groups []controller.GroupView) {
	writeRow(w)
	writeRow(w, "GROUP", "CONTROL HOST", "ADDRESS", "PART", "ENTRIES BEHIND")
	for _, g := range groups {
		for _, m := range g.Membership.Members {
			role, behind := "voter", "-"
			switch {
			case m.ID == g.Leader:
				role = "leader"
			case m.Learner:
				role = "learner"
			}
			for _, l := range g.Lagging {
				if l.ID == m.ID {
					behind = fmt.Sprint(l.Entries)
				}
			}
			writeRow(w, g.Name, m.Name, m.Address, role, behind)
		}
	}
}

// servicesCommand prints every service with its targets and its move.
type servicesCommand struct{ client *clientOptions }

// Execute implements flags.Commander: it fetches the services from a control host and prints
// one row for each endpoint.
func (c *servicesCommand) Execute([]string) error {
	var list []controller.ServiceView
	if err := c.client.get("/v1/services", &list); err != nil {
		return err
	}
	return c.client.print(list, func(w *tabwriter.Writer) {
		writeRow(w, "SERVICE", "SERVING", "MOVE", "TARGET", "VERSION", "DATA CENTRE", "SLOTS")
		for _, s := range list {
			for _, e := range s.Endpoints {
				writeRow(w, s.Traffic.Service, s.Traffic.ServingVersion, moveText(s.Traffic), e.EndpointKey, e.Version, e.DataCentre, e.Slots)
			}
		}
	})
}

// moveText returns the text of the MOVE column: phase, new version and share in
// percent, or "-" without a move.
func moveText(t applier.Traffic) string {
	if t.Move == nil {
		return "-"
	}
	return fmt.Sprintf("%s to %s %.2f%%", t.Move.Phase, t.Move.To, float64(t.Move.Share)/100)
}

// eventsCommand prints the stored events, oldest first.
type eventsCommand struct {
	client     *clientOptions
	AfterIndex uint64 `long:"after" description:"Only events with a higher index" value-name:"INDEX"`
}

// Execute implements flags.Commander: it fetches the events after AfterIndex from a control
// host and prints one row for each.
func (c *eventsCommand) Execute([]string) error {
	var list []applier.Event
	if err := c.client.get(fmt.Sprintf("/v1/events?after=%d", c.AfterIndex), &list); err != nil {
		return err
	}
	return c.client.print(list, func(w *tabwriter.Writer) {
		writeRow(w, "INDEX", "TIME", "EVENT", "SUBJECT", "VERSION", "DETAIL")
		for _, e := range list {
			writeRow(w, e.Index, formatTime(e.At), e.Kind, e.Subject, e.Version, e.Detail)
		}
	})
}
