package commands

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// explainCommand prints what the logs of all processes say of one request.
type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"The request's id" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"Log files; standard input without any"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var lines []string
	if len(c.Args.Files) == 0 {
		found, err := linesOf(os.Stdin, c.Args.ID)
		if err != nil {
			return &Error{"explain", KindFailure, errors.WithMessage(err, "standard input")}
		}
		lines = found
	}
	for _, name := range c.Args.Files {
		found, err := linesOfFile(name, c.Args.ID)
		if err != nil {
			return &Error{"explain", KindUsage, err}
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return &Error{"explain", KindFailure, errors.Errorf("no line names request %s; ordinary answers are sampled, and lines are bounded: see hornbeam_log_lines_dropped_total", c.Args.ID)}
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(timeOf(a), timeOf(b)) })
	for _, line := range lines {
		fmt.Println(line)
	}
	return nil
}

func linesOfFile(name, id string) ([]string, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.WithMessage(err, "name a log file, or give the log on standard input")
	}
	defer func() { _ = f.Close() }()
	return linesOf(f, id)
}

// linesOf returns the lines that have the id as the value of a field.
func linesOf(r io.Reader, id string) ([]string, error) {
	var out []string
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		line := s.Text()
		if slices.Contains(strings.Fields(line), "id="+id) {
			out = append(out, line[max(strings.Index(line, "time="), 0):])
		}
	}
	return out, errors.Wrap(s.Err(), "read the log")
}

// timeOf returns the time that a line begins with; lines of hosts with clocks
// that differ are ordered by what their hosts believed.
func timeOf(line string) string {
	value, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	return value
}
