package commands

import (
	"strings"
	"text/tabwriter"

	"github.com/pmezard/go-difflib/difflib"
)

const diffContextLines = 3

// sectionDiff prints a unified diff from the current revision of a section to a file.
type sectionDiff struct {
	client *clientOptions
	File   string      `short:"f" long:"file" required:"yes" description:"The text; - reads standard input" value-name:"FILE"`
	Args   sectionName `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *sectionDiff) Execute([]string) error {
	body, err := readFile(c.File)
	if err != nil {
		return err
	}
	s, err := c.client.getSection(c.Args.Name)
	if err != nil {
		return err
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(s.Current.Body)), FromFile: c.Args.Name,
		B: difflib.SplitLines(body), ToFile: c.File, Context: diffContextLines,
	})
	if err != nil {
		return &Error{"diff", KindFailure, err}
	}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	return c.client.print(lines, func(w *tabwriter.Writer) {
		for _, l := range lines {
			writeRow(w, l)
		}
	})
}
