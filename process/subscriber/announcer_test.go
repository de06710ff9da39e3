package subscriber

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// TestAcceptedListIsNotAnnouncedAgain guards against a node that repeats an accepted
// announcement for each new table. It replays a restart of all nodes: for a second,
// every 40 ms, a table arrives that lacks this node's targets. The announcement must
// be sent once, a changed one at once, and one that never appears again after
// repeatDelay.
func TestAcceptedListIsNotAnnouncedAgain(t *testing.T) {
	is := is.New(t)
	list := applier.Announcement{Node: "a", Incarnation: 1, Endpoints: []applier.Endpoint{{Address: "10.0.0.1:1", Service: "designs"}}}
	now := time.Unix(1000, 0)
	var a announcer
	sent := 0
	announce := func(l applier.Announcement, at time.Time) {
		if !a.recentlyAccepted(l, at) {
			sent++
			a.recordAccepted(l, at)
		}
	}
	for i := range 25 {
		announce(list, now.Add(time.Duration(i)*40*time.Millisecond))
	}
	is.Equal(sent, 1)
	announce(list, now.Add(repeatDelay))
	is.Equal(sent, 2)
	drained := applier.Announcement{Node: "a", Incarnation: 1}
	announce(drained, now.Add(repeatDelay+time.Millisecond))
	is.Equal(sent, 3)
	announce(list, now.Add(repeatDelay+2*time.Millisecond)) // only the announcement accepted last is in force
	is.Equal(sent, 4)
}
