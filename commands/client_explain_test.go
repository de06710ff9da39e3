package commands

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestLinesOfARequest(t *testing.T) {
	is := is.New(t)
	log := "  12.5 host-b time=2026-01-01T00:00:02Z level=warn msg=\"request refused\" id=abc reason=limit\n" +
		"time=2026-01-01T00:00:01Z level=info msg=other id=abcd\n" +
		"time=2026-01-01T00:00:01Z level=info msg=first id=abc\n"
	lines, err := linesOf(strings.NewReader(log), "abc")
	is.NoErr(err)
	is.Equal(len(lines), 2)
	is.Equal(timeOf(lines[0]), "2026-01-01T00:00:02Z")
	is.Equal(timeOf(lines[1]), "2026-01-01T00:00:01Z")
}
