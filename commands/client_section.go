package commands

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/process/controller"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// sectionName is the positional argument that names a command's section.
type sectionName struct {
	Name string `positional-arg-name:"SECTION"`
}

func addSectionCommands(p *flags.Parser, o *clientOptions) {
	s := mustAdd(p, "section", "Show and change sections", "Each team edits only its own section of the document.", &struct{}{})
	mustAdd(s, "list", "List all sections", "Example:\n  hornbeamctl section list", &sectionList{client: o})
	mustAdd(s, "show", "Print a section", "Prints the section as it was written; redirect it to a file to edit it.\n\nExample:\n  hornbeamctl section show designs > designs.yaml", &sectionShow{client: o})
	mustAdd(s, "edit", "Replace a section", "Replaces a section by a file. --base is the revision that the file was made from; without it the current one is taken, and 0 makes a new section. After a lost response, the same command with the same --edit-id can be repeated safely.\n\nExamples:\n  hornbeamctl section edit designs --file designs.yaml --base 4\n  hornbeamctl section edit designs --file designs.yaml --edit-id launch-17", &sectionEdit{client: o})
	mustAdd(s, "validate", "Check a section without changing anything", "Merges the file with the other teams' sections as an edit would.\n\nExample:\n  hornbeamctl section validate designs --file designs.yaml", &sectionValidate{client: o})
	mustAdd(s, "diff", "Compare the section in force with a file", "Example:\n  hornbeamctl section diff designs --file designs.yaml", &sectionDiff{client: o})
	mustAdd(s, "history", "List a section's revisions", "Example:\n  hornbeamctl section history designs", &sectionHistory{client: o})
	mustAdd(s, "retire", "Remove a section from the document", "The section and its history are kept and can be restored after any time.\n\nExample:\n  hornbeamctl section retire designs", &sectionRetire{client: o})
	mustAdd(s, "restore", "Restore an earlier revision", "Restores a retired section, or an earlier revision of one in force, as a new revision that is validated against the current services.\n\nExamples:\n  hornbeamctl section restore designs\n  hornbeamctl section restore designs --revision 3", &sectionRestore{client: o})
}

// readFile returns the content of the named file, or of standard input for "-".
func readFile(name string) (string, error) {
	if name == "-" {
		b, err := io.ReadAll(os.Stdin)
		return string(b), errors.WithStack(err)
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return "", &Error{"read", KindUsage, err}
	}
	return string(b), nil
}

// getSection fetches a section with its history.
func (o *clientOptions) getSection(name string) (applier.Section, error) {
	var s applier.Section
	err := o.get("/v1/sections/"+name, &s)
	return s, err
}

// baseRevision returns the revision that an edit replaces: the given one, else the
// current one. It returns 0 when the control host rejects the request for the current
// one, as it does for a section that does not exist.
func (o *clientOptions) baseRevision(name string, given *uint64) (uint64, error) {
	if given != nil {
		return *given, nil
	}
	s, err := o.getSection(name)
	var e *Error
	if errors.As(err, &e) && e.Kind == KindRejected {
		return 0, nil
	}
	return s.Current.Number, err
}

// edit sends an edit of the named section and prints its outcome. A name that is not
// valid gives a KindUsage error before anything is sent.
func (o *clientOptions) edit(name string, req controller.EditRequest) error {
	if !parser.ValidName(name) {
		return &Error{"edit", KindUsage, errors.Errorf("section name %q is not valid; use lower-case letters, digits and hyphens", name)}
	}
	var r applier.Result
	if err := o.post("/v1/sections/"+name, req, &r); err != nil {
		return errors.WithMessagef(err, "edit id %s", req.EditID)
	}
	return o.printResult(r, func(w *tabwriter.Writer) {
		writeRow(w, fmt.Sprintf("accepted: section %s revision %d, version %d", name, r.Revision, r.Version))
	})
}

// printResult prints an accepted result. For any other outcome it returns a
// KindConflict or KindRejected error with the result's message, and for a conflict also
// the revision that was accepted instead; with --json it prints the result as well.
func (o *clientOptions) printResult(r applier.Result, fill func(w *tabwriter.Writer)) error {
	if r.Outcome == applier.OutcomeAccepted {
		return o.print(r, fill)
	}
	if o.JSON {
		if err := o.print(r, nil); err != nil {
			return err
		}
	}
	kind := KindRejected
	message := r.Message
	if r.Outcome == applier.OutcomeConflict {
		kind = KindConflict
		if r.CurrentRevision != nil {
			message += fmt.Sprintf("\nthe winner, by team %s at %s:\n%s", r.CurrentRevision.Team, formatTime(r.CurrentRevision.At), r.CurrentRevision.Body)
		}
	}
	return &Error{"edit", kind, errors.New(message)}
}

// sectionList prints all sections with their current revisions.
type sectionList struct{ client *clientOptions }

// Execute implements flags.Commander: it fetches the sections from a control host and prints
// one row for each.
func (c *sectionList) Execute([]string) error {
	var list []applier.Section
	if err := c.client.get("/v1/sections", &list); err != nil {
		return err
	}
	return c.client.print(list, func(w *tabwriter.Writer) {
		writeRow(w, "SECTION", "TEAM", "REVISION", "VERSION", "STATE", "CHANGED")
		for _, s := range list {
			writeRow(w, s.Name, s.Team, s.Current.Number, s.Current.Version, revisionState(s.Current), formatTime(s.Current.At))
		}
	})
}

// revisionState returns the text of the STATE column for a revision.
func revisionState(r applier.Revision) string {
	if r.Retired {
		return "retired"
	}
	return "in force"
}

// sectionShow prints the text of a section's current or an earlier revision.
type sectionShow struct {
	client   *clientOptions
	Revision uint64      `long:"revision" description:"An earlier revision" value-name:"N"`
	Args     sectionName `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *sectionShow) Execute([]string) error {
	s, err := c.client.getSection(c.Args.Name)
	if err != nil {
		return err
	}
	r := s.Current
	if c.Revision > 0 {
		old, ok := s.Find(c.Revision)
		if !ok {
			return &Error{"show", KindRejected, errors.Errorf("section %s has no revision %d", c.Args.Name, c.Revision)}
		}
		r = old
	}
	return c.client.print(r, func(w *tabwriter.Writer) { _, _ = w.Write(r.Body) })
}

// sectionEdit replaces a section by the content of a file.
type sectionEdit struct {
	client       *clientOptions
	File         string      `short:"f" long:"file" required:"yes" description:"The new text; - reads standard input" value-name:"FILE"`
	BaseRevision *uint64     `long:"base" description:"The revision that the text was made from" value-name:"N"`
	EditID       string      `long:"edit-id" description:"Names the edit, so that it can be sent again" value-name:"ID"`
	Args         sectionName `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander: it reads the file and sends it to a control host as the
// new body of the section.
func (c *sectionEdit) Execute([]string) error {
	body, err := readFile(c.File)
	if err != nil {
		return err
	}
	base, err := c.client.baseRevision(c.Args.Name, c.BaseRevision)
	if err != nil {
		return err
	}
	return c.client.edit(c.Args.Name, controller.EditRequest{EditID: newEditID(c.EditID), Action: applier.ActionEdit, BaseRevision: base, Body: body})
}

// sectionValidate checks at a control host whether an edit would be accepted, without
// making it.
type sectionValidate struct {
	client *clientOptions
	File   string      `short:"f" long:"file" required:"yes" description:"The text; - reads standard input" value-name:"FILE"`
	Args   sectionName `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander: it sends the file to a control host and prints "valid",
// or returns the error of the request.
func (c *sectionValidate) Execute([]string) error {
	body, err := readFile(c.File)
	if err != nil {
		return err
	}
	var out messenger.Empty
	if err := c.client.post("/v1/validate", controller.ValidateRequest{Section: c.Args.Name, Body: body}, &out); err != nil {
		return err
	}
	return c.client.print(out, func(w *tabwriter.Writer) { writeRow(w, "valid") })
}

// sectionHistory prints all stored revisions of a section, oldest first.
type sectionHistory struct {
	client *clientOptions
	Args   sectionName `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander: it fetches the section from a control host and prints
// one row for each revision.
func (c *sectionHistory) Execute([]string) error {
	s, err := c.client.getSection(c.Args.Name)
	if err != nil {
		return err
	}
	list := append(s.History, s.Current)
	return c.client.print(list, func(w *tabwriter.Writer) {
		writeRow(w, "REVISION", "VERSION", "STATE", "TEAM", "CHANGED", "EDIT")
		for _, r := range list {
			writeRow(w, r.Number, r.Version, revisionState(r), r.Team, formatTime(r.At), r.EditID)
		}
	})
}

// sectionRetire removes a section from the document; its history stays stored.
type sectionRetire struct {
	client       *clientOptions
	BaseRevision *uint64     `long:"base" description:"The revision to retire" value-name:"N"`
	EditID       string      `long:"edit-id" description:"Names the edit, so that it can be sent again" value-name:"ID"`
	Args         sectionName `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *sectionRetire) Execute([]string) error {
	base, err := c.client.baseRevision(c.Args.Name, c.BaseRevision)
	if err != nil {
		return err
	}
	return c.client.edit(c.Args.Name, controller.EditRequest{EditID: newEditID(c.EditID), Action: applier.ActionRetire, BaseRevision: base})
}

// sectionRestore makes an earlier revision of a section the current one.
type sectionRestore struct {
	client       *clientOptions
	Revision     uint64      `long:"revision" description:"The revision to restore; without it the last one" value-name:"N"`
	BaseRevision *uint64     `long:"base" description:"The current revision" value-name:"N"`
	EditID       string      `long:"edit-id" description:"Names the edit, so that it can be sent again" value-name:"ID"`
	Args         sectionName `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *sectionRestore) Execute([]string) error {
	base, err := c.client.baseRevision(c.Args.Name, c.BaseRevision)
	if err != nil {
		return err
	}
	return c.client.edit(c.Args.Name, controller.EditRequest{EditID: newEditID(c.EditID), Action: applier.ActionRestore, BaseRevision: base, RestoreRevision: c.Revision})
}
