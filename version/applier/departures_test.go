package applier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// departure returns the departure of the incarnation of a target that started at startedAt.
func departure(node, target string, startedAt int64, until time.Time) applier.Departure {
	return applier.Departure{EndpointKey: applier.EndpointKey{Node: node, Target: target}, StartedAt: startedAt, ExpiresAt: until}
}

// TestDepartedTargetIsAddedAgain guards against a node that has restarted, does not know
// that its target has left, and adds it again by announcing it.
func TestDepartedTargetIsAddedAgain(t *testing.T) {
	is := is.New(t)
	h := &controlHost{t: t}
	keys := func() []string {
		var out []string
		for _, e := range h.applier.State().Endpoints {
			out = append(out, e.String())
		}
		return out
	}
	list := func(incarnation uint64, startedAt int64) applier.Announcement {
		e := goodEndpoint("n1", "t1")
		e.StartedAt, e.Incarnation = startedAt, incarnation
		return applier.Announcement{Node: "n1", Incarnation: incarnation, Endpoints: []applier.Endpoint{e}}
	}
	until := at.Add(time.Minute)
	h.run(applier.Announce{At: at, Announcements: []applier.Announcement{list(1, 100)}})
	is.Equal(keys(), []string{"n1/t1"})
	left := applier.Announcement{Node: "n1", Incarnation: 1, Departures: []applier.Departure{departure("n1", "t1", 100, until)}}
	h.run(applier.Announce{At: at, Announcements: []applier.Announcement{left}})
	is.Equal(keys(), nil)
	h.run(applier.Announce{At: at.Add(time.Second), Announcements: []applier.Announcement{list(2, 100)}})
	is.Equal(keys(), nil) // the restarted node announces the incarnation that has left
	is.Equal(len(h.applier.State().DeparturesOf("n1")), 1)
	is.Equal(len(h.applier.State().DeparturesOf("n2")), 0)

	snapshot, err := h.applier.Snapshot()
	is.NoErr(err)
	is.NoErr(h.applier.Restore(9, snapshot))
	h.run(applier.Announce{At: at.Add(time.Second), Announcements: []applier.Announcement{list(2, 100)}})
	is.Equal(keys(), nil) // a snapshot keeps it

	h.run(applier.Announce{At: at.Add(time.Second), Announcements: []applier.Announcement{list(2, 101)}})
	is.Equal(keys(), []string{"n1/t1"}) // a later incarnation serves
	late := applier.Announcement{Node: "n1", Incarnation: 1, Departures: []applier.Departure{departure("n1", "t1", 101, until)}}
	h.run(applier.Announce{At: at.Add(2 * time.Second), Announcements: []applier.Announcement{late}})
	h.run(applier.Announce{At: at.Add(2 * time.Second), Announcements: []applier.Announcement{list(2, 101)}})
	is.Equal(keys(), nil) // also a leave that the earlier process of the node has announced
	h.run(applier.Announce{At: until, Announcements: []applier.Announcement{list(2, 101)}})
	is.Equal(keys(), []string{"n1/t1"}) // the record has expired
	is.Equal(len(h.applier.State().Departures), 0)
}

// TestOddDeparturesAreStored guards against departures that no node can have announced, and
// against more of them than the state keeps.
func TestOddDeparturesAreStored(t *testing.T) {
	is := is.New(t)
	h := &controlHost{t: t}
	until := at.Add(time.Minute)
	odd := applier.Announcement{Node: "n1", Incarnation: 1, Departures: []applier.Departure{
		departure("n2", "t1", 100, until), departure("n1", "t\xff", 100, until), departure("n1", "", 100, until), departure("n1", "t1", 0, until),
	}}
	h.run(applier.Announce{At: at, Announcements: []applier.Announcement{odd}})
	is.Equal(len(h.applier.State().Departures), 0)
	for node := range 6 {
		name := fmt.Sprintf("n%d", node)
		a := applier.Announcement{Node: name, Incarnation: 1}
		for i := range applier.MaxNodeEndpoints {
			a.Departures = append(a.Departures, departure(name, fmt.Sprintf("t%d", i), 100, until))
		}
		h.run(applier.Announce{At: at, Announcements: []applier.Announcement{a}})
	}
	is.Equal(len(h.applier.State().Departures), applier.MaxDepartures)
	is.Equal(h.applier.State().Departures[0].Node, "n2") // the oldest are dropped
}
