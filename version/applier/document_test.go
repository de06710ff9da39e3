package applier

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// document returns a replacement by a document with one service and one route.
func document(t *testing.T, number, base uint64, path string) ReplaceDocument {
	t.Helper()
	c := ReplaceDocument{Number: number, Base: base, Source: []byte(path), At: time.Unix(1, 0)}
	content := parser.Content{Services: []parser.Service{{Name: "designs", Slots: 1, Connections: 1, Queue: 1}}, Routes: []parser.Route{{Path: path, Service: "designs"}}}
	for _, p := range parser.Split(content) {
		body, err := parser.Encode(p.Content)
		if err != nil {
			t.Fatal(err)
		}
		c.Sections = append(c.Sections, DocumentSection{p.Name, body})
	}
	return c
}

// TestDocumentsReplaceEachOther guards against lost updates and double replacement
// when documents race, are resent, or have a number that does not increase.
func TestDocumentsReplaceEachOther(t *testing.T) {
	is := is.New(t)
	var s State
	next := func(c ReplaceDocument) Outcome {
		var r Result
		s, r = s.Next(1, c)
		return r.Outcome
	}
	first, second := document(t, 2, 0, "/a/"), document(t, 5, 2, "/b/")
	is.Equal(next(first), OutcomeAccepted)
	is.Equal(next(second), OutcomeAccepted)
	is.Equal(next(document(t, 5, 2, "/c/")), OutcomeConflict) // the same base and number, another content
	is.Equal(next(document(t, 6, 2, "/c/")), OutcomeConflict)
	is.Equal(next(document(t, 5, 5, "/c/")), OutcomeRefused) // its number is not above the one in force
	version := s.Version
	is.Equal(next(second), OutcomeAccepted) // sent again
	is.Equal(next(first), OutcomeAccepted)  // sent again after a later document
	is.Equal(s.Version, version)            // the state stays unchanged
	is.Equal(s.Document.Number, uint64(5))
	is.Equal(string(s.Document.Source), "/b/")
	is.Equal(len(s.Sources()), 2) // the section that held /a/ is retired
	var again State
	a := &Applier{state: s}
	data, err := a.Snapshot()
	is.NoErr(err)
	b := &Applier{}
	is.NoErr(b.Restore(9, data))
	again, r := b.State().Next(10, first)
	is.Equal(r.Outcome, OutcomeAccepted) // also after a snapshot
	is.Equal(again.Document.Number, uint64(5))
}

// TestUnchangedPartsStay guards against sections that get a new version, and are
// sent to all nodes, though only the layout of the document has changed.
func TestUnchangedPartsStay(t *testing.T) {
	is := is.New(t)
	s, _ := State{}.Next(1, document(t, 1, 0, "/a/"))
	c := document(t, 2, 1, "/a/")
	for i := range c.Sections {
		c.Sections[i].Body = nil
	}
	c.Source = []byte("other layout")
	s, r := s.Next(2, c)
	is.Equal(r.Outcome, OutcomeAccepted)
	is.Equal(len(s.Sources()), 2)
	sec, _ := s.Section(c.Sections[0].Name)
	is.Equal(sec.Current.Version, uint64(1)) // nothing is sent to nodes again
}
