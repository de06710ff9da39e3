package commands

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/process/controller"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// watchInterval is the time between two requests for the state of a watched move.
const watchInterval = 500 * time.Millisecond

// serviceName is the positional argument that names a command's service.
type serviceName struct {
	Name string `positional-arg-name:"SERVICE"`
}

func addMoveCommands(p *flags.Parser, o *clientOptions) {
	m := mustAdd(p, "move", "Move traffic between target versions", "A move shifts a service's traffic to a new target version by a deadline, or rolls it back.", &struct{}{})
	mustAdd(m, "begin", "Begin a move", "The deadline is a time, such as 2027-03-01T18:00:00Z, or a length of time from now, such as 30m.\n\nExamples:\n  hornbeamctl move begin designs --to v2 --deadline 2h\n  hornbeamctl move begin designs --to v2 --deadline 10m --prefer deadline", &moveBegin{client: o})
	mustAdd(m, "watch", "Watch a move until it ends", "Ends with exit code 0 when the move is done, and 6 when it was rolled back or cancelled.\n\nExample:\n  hornbeamctl move watch designs", &moveWatch{client: o})
	mustAdd(m, "cancel", "Cancel a running move", "All traffic goes back to the old version.\n\nExample:\n  hornbeamctl move cancel designs", &moveCancel{client: o})
	mustAdd(m, "list", "List moves", "Example:\n  hornbeamctl move list", &moveList{client: o})
}

// parseDeadline parses an RFC 3339 time, or a duration that is added to now. Any other
// text gives a KindUsage error.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, &Error{"deadline", KindUsage, errors.Errorf("deadline %q is neither a time like 2027-03-01T18:00:00Z nor a length of time like 30m", text)}
	}
	return t, nil
}

// moveBegin begins a move of a service's traffic to a new target version.
type moveBegin struct {
	client     *clientOptions
	From       string      `long:"from" description:"The version that serves now; the move is rejected if another one serves" value-name:"VERSION"`
	To         string      `long:"to" required:"yes" description:"The version to move to" value-name:"VERSION"`
	Deadline   string      `long:"deadline" required:"yes" description:"When the move must be done" value-name:"TIME"`
	Preference string      `long:"prefer" choice:"deadline" choice:"caution" default:"caution" description:"What to favour in doubt"`
	EditID     string      `long:"edit-id" description:"Names the move, so that it can be sent again" value-name:"ID"`
	Args       serviceName `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *moveBegin) Execute([]string) error {
	deadline, err := parseDeadline(c.Deadline, time.Now())
	if err != nil {
		return err
	}
	req := controller.MoveRequest{
		EditID: newEditID(c.EditID), Service: c.Args.Name, From: c.From, To: c.To,
		Deadline: deadline, Preference: applier.Preference(c.Preference),
	}
	var r applier.Result
	if err := c.client.post("/v1/moves", req, &r); err != nil {
		return errors.WithMessagef(err, "edit id %s", req.EditID)
	}
	return c.client.printResult(r, func(w *tabwriter.Writer) {
		writeRow(w, fmt.Sprintf("begun: move %s of %s to %s by %s", r.MoveID, c.Args.Name, c.To, formatTime(deadline)))
	})
}

// moveWatch prints the state of a service's latest move at each change until the move
// ends.
type moveWatch struct {
	client *clientOptions
	Args   serviceName `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *moveWatch) Execute([]string) error {
	var last applier.Move
	for {
		m, err := c.client.lastMove(c.Args.Name)
		if err != nil {
			return err
		}
		if m.Share != last.Share || m.Phase != last.Phase || m.Reason != last.Reason {
			if err := c.client.print(m, func(w *tabwriter.Writer) { writeRow(w, moveLine(m)) }); err != nil {
				return err
			}
		}
		last = m
		switch m.Phase {
		case applier.PhaseDone:
			return nil
		case applier.PhaseRolledBack, applier.PhaseCancelled:
			return &Error{"watch", KindRolledBack, errors.Errorf("the move ended without version %s: %s", m.To, m.Reason)}
		}
		time.Sleep(watchInterval)
	}
}

// moveLine formats the state of a move as one line that begins with the current time.
func moveLine(m applier.Move) string {
	line := fmt.Sprintf("%s  %s  %s to %s  %s  %.2f%% of requests, %.2f%% of those that are not idempotent",
		formatTime(time.Now()), m.Service, m.From, m.To, m.Phase, float64(m.Share)/100, float64(m.UnsafeShare)/100)
	if m.Reason != "" {
		line += "  " + m.Reason
	}
	return line
}

// lastMove returns the latest move of a service, running or ended, or a KindRejected
// error if there is none.
func (o *clientOptions) lastMove(service string) (applier.Move, error) {
	var list []applier.Move
	if err := o.get("/v1/moves", &list); err != nil {
		return applier.Move{}, err
	}
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].Service == service {
			return list[i], nil
		}
	}
	return applier.Move{}, &Error{"watch", KindRejected, errors.Errorf("service %q has had no move", service)}
}

// moveCancel cancels the running move of a service.
type moveCancel struct {
	client *clientOptions
	EditID string      `long:"edit-id" description:"Names the edit, so that it can be sent again" value-name:"ID"`
	Args   serviceName `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander: it requests the cancellation and prints the result.
// An error contains the edit ID.
func (c *moveCancel) Execute([]string) error {
	var r applier.Result
	req := controller.CancelRequest{EditID: newEditID(c.EditID)}
	if err := c.client.post("/v1/moves/"+c.Args.Name+"/cancel", req, &r); err != nil {
		return errors.WithMessagef(err, "edit id %s", req.EditID)
	}
	return c.client.printResult(r, func(w *tabwriter.Writer) { writeRow(w, "cancelled: move "+r.MoveID) })
}

// moveList prints all moves, running and ended.
type moveList struct{ client *clientOptions }

// Execute implements flags.Commander: it fetches the moves from a control host and prints
// one row for each.
func (c *moveList) Execute([]string) error {
	var list []applier.Move
	if err := c.client.get("/v1/moves", &list); err != nil {
		return err
	}
	return c.client.print(list, func(w *tabwriter.Writer) {
		writeRow(w, "SERVICE", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "ENDED", "REASON")
		for _, m := range list {
			writeRow(w, m.Service, m.From, m.To, m.Phase, fmt.Sprintf("%.2f%%", float64(m.Share)/100), formatTime(m.Deadline), formatTime(m.EndedAt), m.Reason)
		}
	})
}
