package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// document is one of n routes; change sets the timeout of the first.
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

// edit replaces the document of a state.
func edit(tb testing.TB, s applier.State, number uint64, c parser.Content) (applier.State, []applier.DocumentSection) {
	tb.Helper()
	parts, err := documentParts(s, c)
	if err != nil {
		tb.Fatal(err)
	}
	next, r := s.Next(number, applier.ReplaceDocument{Number: number, Base: s.Document.Number, Source: []byte(fmt.Sprint(number)), Sections: parts})
	if r.Outcome != applier.OutcomeAccepted {
		tb.Fatal(r)
	}
	return next, parts
}

// TestSmallChangeCostsOneSection changes one route of 300: one part of 33 is
// sent, to the other control hosts and to nodes alike.
func TestSmallChangeCostsOneSection(t *testing.T) {
	is := is.New(t)
	s, parts := edit(t, applier.State{}, 1, document(300, 0))
	have := differ.SnapshotOf(s).Position()
	is.True(len(parts) > 20)
	s, parts = edit(t, s, 2, document(300, 1))
	carried := 0
	for _, p := range parts {
		if len(p.Body) > 0 {
			carried++
		}
	}
	is.Equal(carried, 1)
	is.Equal(len(differ.NewUpdate(s, differ.SnapshotOf(s).Position(), have).Sections), 1)
	_, err := documentParts(s, parser.Content{Routes: document(1, 0).Routes})
	is.True(err != nil) // a route without its service
}

// BenchmarkDocument gives the processor time of one changed route at the
// control host that takes the edit and at a node.
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

// BenchmarkHerd gives the processor time that a control host takes for each node
// which asks for everything, of a document of 2,600 routes.
func BenchmarkHerd(b *testing.B) {
	s, _ := edit(b, applier.State{}, 1, document(2600, 0))
	have := differ.SnapshotOf(s).Position()
	b.Run("written for each node", func(b *testing.B) {
		for b.Loop() {
			if _, err := differ.Pack(differ.NewUpdate(s, have, differ.Position{})); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("written once", func(b *testing.B) {
		var p packer
		for b.Loop() {
			if _, err := p.pack(differ.NewUpdate(s, have, differ.Position{})); err != nil {
				b.Fatal(err)
			}
		}
	})
}
