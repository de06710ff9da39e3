package subscriber

import (
	"slices"
	"time"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

// repeatDelay is how long the node waits for an accepted announcement to appear in
// its own table before it sends the announcement again.
const repeatDelay = 1500 * time.Millisecond

// announcer decides when this node announces its targets.
//
// Load pattern: after a restart of all nodes, or a release, every node announces
// its targets at almost the same time, and the tables that contain them arrive late
// and one after the other. A node that repeated its announcement for each of these
// tables would overload the leader, so an accepted announcement is not repeated
// before repeatDelay has passed.
type announcer struct {
	accepted applier.Announcement
	repeatAt time.Time // repeatAt is when accepted may be sent again.
}

// recentlyAccepted reports whether the same announcement was accepted less than
// repeatDelay ago, so that it may not be in this node's table yet. One with departures was
// not accepted yet.
func (a *announcer) recentlyAccepted(list applier.Announcement, now time.Time) bool {
	if len(list.Departures) > 0 {
		return false
	}
	same := a.accepted.Incarnation == list.Incarnation && slices.Equal(a.accepted.Endpoints, list.Endpoints)
	return same && now.Before(a.repeatAt)
}

// recordAccepted stores an announcement that the leader accepted at the time now.
func (a *announcer) recordAccepted(list applier.Announcement, now time.Time) {
	a.accepted, a.repeatAt = list, now.Add(repeatDelay)
}
