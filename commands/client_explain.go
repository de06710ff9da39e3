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

// maxLogLineBytes bounds one line of a log; a longer line ends the command with an
// error.
const maxLogLineBytes = 1 << 20

// explainCommand prints the log lines of all given files that belong to one request,
// ordered by their timestamps.
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
		found, err := linesWithID(os.Stdin, c.Args.ID)
		if err != nil {
			return &Error{"explain", KindFailure, errors.WithMessage(err, "standard input")}
		}
		lines = found
	}
	for _, name := range c.Args.Files {
		found, err := fileLinesWithID(name, c.Args.ID)
		if err != nil {
			return &Error{"explain", KindUsage, err}
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return &Error{"explain", KindFailure, errors.Errorf("no log line has request id %s; lines of ordinary responses are sampled, and lines beyond the logger's limit are dropped: see hornbeam_log_lines_dropped_total", c.Args.ID)}
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(timeField(a), timeField(b)) })
	for _, line := range lines {
		fmt.Println(line)
	}
	return nil
}

// fileLinesWithID returns the lines of the named file that belong to the request.
func fileLinesWithID(name, id string) ([]string, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.WithMessage(err, "open the log file; without file names, the log is read from standard input")
	}
	defer func() { _ = f.Close() }()
	return linesWithID(f, id)
}

// linesWithID returns the lines whose id field equals id. Text before the time field,
// such as a prefix added by a log collector, is cut off.
func linesWithID(r io.Reader, id string) ([]string, error) {
	var lines []string
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		line := s.Text()
		if slices.Contains(strings.Fields(line), "id="+id) {
			lines = append(lines, line[max(strings.Index(line, "time="), 0):])
		}
	}
	return lines, errors.Wrap(s.Err(), "read the log")
}

// timeField returns the timestamp at the start of a line. Timestamps come from each
// host's own clock, so lines of hosts whose clocks differ may be out of order.
func timeField(line string) string {
	value, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	return value
}
