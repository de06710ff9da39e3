package subscriber

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// TestTwoNodesOfOneName lets two nodes announce under one name: one of them
// gives way, and nothing changes any more.
func TestTwoNodesOfOneName(t *testing.T) {
	is := is.New(t)
	newNode := func(address string, incarnation uint64) *Subscriber {
		s := &Subscriber{Node: "same", Address: address, Tables: &compiler.TableStore{}, Registrar: &registrar.Registrar{}, Log: log.New(io.Discard)}
		s.incarnation = incarnation
		s.applied = make(chan struct{})
		is.NoErr(s.Registrar.Announce(registrar.Announcement{Target: "t1", Service: "designs", Address: "127.0.0.1:9"}))
		return s
	}
	nodes := []*Subscriber{newNode("10.0.0.1:1", 1), newNode("10.0.0.2:1", 2)}
	var state applier.State
	changes := 0
	for range 20 {
		for _, s := range nodes {
			is.NoErr(s.apply(differ.NewUpdate(state, differ.SnapshotOf(state).Position(), differ.Position{}), differ.Position{}))
			list, _ := s.Registrar.List()
			a, _, due := s.announcement(list)
			if !due {
				continue
			}
			changes++
			state, _ = state.Next(uint64(changes), applier.Announce{Announcements: []applier.Announcement{a}})
		}
	}
	t.Logf("%d announcements in 20 rounds", changes)
	is.True(changes <= 2)
	is.Equal(state.Endpoints[0].Address, "10.0.0.2:1") // the later one has the name
	is.True(nodes[0].usurped)
}

// TestReportsComeLessOftenInALargeMesh shows that the calls of all nodes together
// do not grow with their number while a move runs.
func TestReportsComeLessOftenInALargeMesh(t *testing.T) {
	is := is.New(t)
	is.Equal(reportWait(nil), moveWait)
	is.Equal(reportWait(&compiler.Table{NodeCount: 9}), moveWait)
	is.True(reportWait(&compiler.Table{NodeCount: 281}) >= 3*moveWait)
}
