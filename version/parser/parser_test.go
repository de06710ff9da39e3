package parser

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
)

const valid = `services:
  - name: designs
routes:
  - path: /designs/
    methods: [GET]
    service: designs
    timeout: 2s
`

// TestDefaults checks the defaults of a service and a route, and the normalised
// path.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	c, err := Parse("designs", []byte(valid))
	is.NoErr(err)
	is.Equal(c.Services[0].Slots, DefaultSlots)
	is.Equal(c.Routes[0].Path, "/designs")
	is.Equal(c.Routes[0].Importance, ImportanceNormal)
}

// TestFaults checks that each invalid section is rejected with the line of its
// error, and that deeply nested, self-referencing and oversized input is rejected.
func TestFaults(t *testing.T) {
	for _, row := range []struct {
		old, new string
		line     int
	}{
		{"path: /designs/", "path: designs", 4},
		{"path: /designs/", "path: /a/../b", 4},
		{"[GET]", "[FETCH]", 5},
		{"timeout: 2s", "timeout: 2", 7},
		{"timeout: 2s", "timeout: 20h", 7},
		{"timeout: 2s", "importance: urgent", 7},
		{"timeout: 2s", "retries: 99", 7},
		{"name: designs", "name: Designs", 2},
		{"name: designs", "name: designs\n    slots: -1", 3},
		{"timeout: 2s", "timeuot: 2s", 7},
	} {
		is := is.New(t)
		_, err := Parse("designs", []byte(strings.Replace(valid, row.old, row.new, 1)))
		at, ok := err.(*decoder.Error)
		is.True(ok)
		t.Log(err)
		is.Equal(at.Line, row.line)
	}
	is := is.New(t)
	_, err := Parse("deep", []byte(strings.Repeat("[", 1000)))
	is.True(err != nil)
	_, err = Parse("alias", []byte("services: &a [*a]"))
	is.True(err != nil)
	_, err = Parse("long", make([]byte, decoder.MaxBytes+1))
	is.True(err != nil)
}

// FuzzParse guards against a panic, and against accepted routes without path,
// service or timeout.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("routes: [{path: /, service: a, timeout: 1h}]"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Parse("fuzz", raw)
		if err != nil {
			return
		}
		for _, r := range c.Routes {
			if r.Path == "" || r.Service == "" || r.Timeout <= 0 {
				t.Fatalf("accepted invalid route %+v", r)
			}
		}
	})
}
