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
	mustAdd(p, "status", "Show control hosts and nodes", "Shows who leads, who lags and since when, and which version each node runs.\n\nExample:\n  hornbeamctl status", &statusCommand{client: o})
	mustAdd(p, "services", "Show services and their targets", "Example:\n  hornbeamctl services", &servicesCommand{client: o})
	mustAdd(p, "events", "Show what happened", "Example:\n  hornbeamctl events --after 120", &eventsCommand{client: o})
}

type statusCommand struct{ client *clientOptions }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var v controller.StatusView
	if err := c.client.get("/v1/status", &v); err != nil {
		return err
	}
	return c.client.show(v, func(w *tabwriter.Writer) {
		row(w, fmt.Sprintf("version %d, endpoint revision %d, %d claims (as %s sees it)", v.Version, v.Revision, v.Claims, v.ReportingHost))
		showGroups(w, v.Groups)
		row(w)
		row(w, "NODE", "DATA CENTRE", "VERSION", "REVISION", "TARGETS", "LAST SEEN", "BEHIND SINCE")
		for _, n := range v.Nodes {
			behind := "-"
			if n.Lags > 0 {
				behind = n.Lags.Round(time.Millisecond).String()
			}
			row(w, n.Report.Node, n.Report.DataCentre, n.Report.Version, n.Report.Revision, n.Report.Targets, n.Age.Round(time.Millisecond), behind)
		}
	})
}

func showGroups(w *tabwriter.Writer, groups []controller.GroupView) {
	row(w)
	row(w, "GROUP", "CONTROL HOST", "ADDRESS", "PART", "ENTRIES BEHIND")
	for _, g := range groups {
		for _, m := range g.Membership.Members {
			part, behind := "voter", "-"
			switch {
			case m.ID == g.Leader:
				part = "leader"
			case m.Learner:
				part = "learner"
			}
			for _, l := range g.Lagging {
				if l.ID == m.ID {
					behind = fmt.Sprint(l.Entries)
				}
			}
			row(w, g.Name, m.Name, m.Address, part, behind)
		}
	}
}

type servicesCommand struct{ client *clientOptions }

// Execute implements flags.Commander.
func (c *servicesCommand) Execute([]string) error {
	var list []controller.ServiceView
	if err := c.client.get("/v1/services", &list); err != nil {
		return err
	}
	return c.client.show(list, func(w *tabwriter.Writer) {
		row(w, "SERVICE", "SERVING", "MOVE", "TARGET", "VERSION", "DATA CENTRE", "SLOTS")
		for _, s := range list {
			for _, e := range s.Endpoints {
				row(w, s.Traffic.Service, s.Traffic.ServingVersion, moveOf(s.Traffic), e.EndpointKey, e.Version, e.DataCentre, e.Slots)
			}
		}
	})
}

func moveOf(t applier.Traffic) string {
	if t.Move == nil {
		return "-"
	}
	return fmt.Sprintf("%s to %s %.2f%%", t.Move.Phase, t.Move.To, float64(t.Move.Share)/100)
}

type eventsCommand struct {
	client *clientOptions
	After  uint64 `long:"after" description:"Only events with a higher index" value-name:"INDEX"`
}

// Execute implements flags.Commander.
func (c *eventsCommand) Execute([]string) error {
	var list []applier.Event
	if err := c.client.get(fmt.Sprintf("/v1/events?after=%d", c.After), &list); err != nil {
		return err
	}
	return c.client.show(list, func(w *tabwriter.Writer) {
		row(w, "INDEX", "TIME", "EVENT", "SUBJECT", "VERSION", "DETAIL")
		for _, e := range list {
			row(w, e.Index, stamp(e.At), e.Kind, e.Subject, e.Version, e.Detail)
		}
	})
}
