package commands

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestLinesOfARequest guards against two failures of explain: lines of another request
// whose id merely begins with the one searched for (abcd for abc), and lines whose
// timestamp is not found because a prefix stands before it.
func TestLinesOfARequest(t *testing.T) {
	is := is.New(t)
	log := "  12.5 host-b time=2026-01-01T00:00:02Z level=warn msg=\"request refused\" id=abc reason=limit\n" +
		"time=2026-01-01T00:00:01Z level=info msg=other id=abcd\n" +
		"time=2026-01-01T00:00:01Z level=info msg=first id=abc\n"
	lines, err := linesWithID(strings.NewReader(log), "abc")
	is.NoErr(err)
	is.Equal(len(lines), 2)
	is.Equal(timeField(lines[0]), "2026-01-01T00:00:02Z")
	is.Equal(timeField(lines[1]), "2026-01-01T00:00:01Z")
}
