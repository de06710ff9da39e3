package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// document returns a document with n routes. change adds milliseconds to the timeout
// of the first route.
func document(n, change int) parser.Content {
	c := parser.Content{Services: []parser.Service{{Name: "designs", Slots: 9, Connections: 110, Queue: 20}}}
	for i := range n {
		c.Routes = append(c.Routes, parser.Route{
			Host: "shop.example", Path: fmt.Sprintf("/route%04d/", i), Service: "designs", Timeout: decoder.Duration(time.Second), Idempotent: true, Retries: 1,
		})
	}
	c.Routes[0].Timeout += decoder.Duration(time.Duration(change) * time.Millisecond)
	return c
}

// edit replaces the document of a state, and returns the new state and the sections
// of the edit.
func edit(tb testing.TB, s applier.State, number uint64, c parser.Content) (applier.State, []applier.DocumentSection) {
	tb.Helper()
	sections, err := documentSections(s, c)
	if err != nil {
		tb.Fatal(err)
	}
	next, r := s.Next(number, applier.ReplaceDocument{Number: number, Base: s.Document.Number, Source: []byte(fmt.Sprint(number)), Sections: sections})
	if r.Outcome != applier.OutcomeAccepted {
		tb.Fatal(r)
	}
	return next, sections
}

// TestSmallChangeCostsOneSection guards against sending the whole document after a
// small change: one of 300 routes changes, and one section of 33 is sent to the
// other control hosts and to nodes.
func TestSmallChangeCostsOneSection(t *testing.T) {
	is := is.New(t)
	s, sections := edit(t, applier.State{}, 1, document(300, 0))
	position := differ.SnapshotOf(s).Position()
	is.True(len(sections) > 20)
	s, sections = edit(t, s, 2, document(300, 1))
	sent := 0
	for _, p := range sections {
		if len(p.Body) > 0 {
			sent++
		}
	}
	is.Equal(sent, 1)
	is.Equal(len(differ.NewUpdate(s, differ.SnapshotOf(s).Position(), position).Sections), 1)
	_, err := documentSections(s, parser.Content{Routes: document(1, 0).Routes})
	is.True(err != nil) // a route refers to a service that does not exist
}

// TestDocumentTooLargeForNodes guards against an accepted document that no frame to a node
// can hold, so that no node gets it or any later one.
func TestDocumentTooLargeForNodes(t *testing.T) {
	is := is.New(t)
	r := rand.NewChaCha8([32]byte{1})
	large := func(bytes int) parser.Content {
		c := document(300, 0)
		for i := range c.Routes {
			path := make([]byte, bytes/len(c.Routes)/2)
			_, _ = r.Read(path)
			c.Routes[i].Path = fmt.Sprintf("/%x/", path) // random digits, which hardly compress
		}
		return c
	}
	for _, bytes := range []int{1 << 20, 5 << 20, 20 << 20} {
		sections, err := documentSections(applier.State{}, large(bytes))
		t.Log(bytes, err)
		if err != nil {
			is.True(bytes > 1<<20)
			continue
		}
		s, result := applier.State{}.Next(1, applier.ReplaceDocument{Number: 1, Sections: sections})
		is.Equal(result.Outcome, applier.OutcomeAccepted)
		packed, err := differ.Pack(differ.NewUpdate(s, differ.SnapshotOf(s).Position(), differ.Have{}))
		is.NoErr(err)
		is.True(len(packed) < messenger.MaxNodeFrameBytes)
	}
}

// BenchmarkDocument measures the processor time for one changed route, at the
// control host that receives the edit and at a node.
func BenchmarkDocument(b *testing.B) {
	for _, n := range []int{300, 3000} {
		s, _ := edit(b, applier.State{}, 1, document(n, 0))
		b.Run(fmt.Sprintf("edit of %d routes", n), func(b *testing.B) {
			for i := range b.N {
				edit(b, s, 2, document(n, i+1))
			}
		})
		b.Run(fmt.Sprintf("table of %d routes", n), func(b *testing.B) {
			c := &compiler.Compiler{DataCentre: "a"}
			var states []differ.Snapshot
			for i := range 2 {
				next, _ := edit(b, s, 2, document(n, i+1))
				states = append(states, differ.SnapshotOf(next))
			}
			for i := range b.N {
				if _, err := c.Compile(states[i%2]); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("endpoints beside %d routes", n), func(b *testing.B) {
			c := &compiler.Compiler{DataCentre: "a"}
			h := differ.SnapshotOf(s)
			for i := range b.N {
				h.Revision = uint64(i)
				if _, err := c.Compile(h); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkManyNodeUpdates measures the processor time that a control host
// spends on each node that requests the whole state, with a document of 2,600 routes.
func BenchmarkManyNodeUpdates(b *testing.B) {
	s, _ := edit(b, applier.State{}, 1, document(2600, 0))
	position := differ.SnapshotOf(s).Position()
	b.Run("written for each node", func(b *testing.B) {
		for b.Loop() {
			if _, err := differ.Pack(differ.NewUpdate(s, position, differ.Have{})); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("written once", func(b *testing.B) {
		var p packer
		for b.Loop() {
			if _, err := p.pack(differ.NewUpdate(s, position, differ.Have{})); err != nil {
				b.Fatal(err)
			}
		}
	})
}
