package quarantiner

import (
	"slices"
	"time"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// maxLocalRequests bounds the requests whose crashes are remembered at this node.
	maxLocalRequests = 256
	// maxLocalCrashes bounds the crashes that are remembered of one request.
	maxLocalCrashes = 8
	// tableDelay is the time within which a table with a crash that control hosts have
	// counted reaches this node.
	tableDelay = time.Second
)

// localCrash is a crash of a target of this node with a certain request in flight.
type localCrash struct {
	id     applier.CrashID
	served bool // served means that the request was served here not long before.
	// countedAt is when the control hosts had counted the crash, the zero time before.
	countedAt time.Time
}

// localCrashes are the crashes at this node's own targets of a request that they have not
// served since, the newest last. A localCrashes is immutable.
type localCrashes struct {
	list   []localCrash
	lastAt time.Time
}

// has reports whether a crash is in the list.
func (l localCrashes) has(id applier.CrashID) bool {
	return slices.ContainsFunc(l.list, func(c localCrash) bool { return c.id == id })
}

// withCrash returns the list with one more crash, and without the oldest beyond
// maxLocalCrashes.
func (l localCrashes) withCrash(c localCrash, now time.Time) localCrashes {
	list := slices.Clone(l.list[max(0, len(l.list)-maxLocalCrashes+1):])
	return localCrashes{append(list, c), now}
}

// withCounted returns the list after the control hosts have counted a crash.
func (l localCrashes) withCounted(id applier.CrashID, now time.Time) localCrashes {
	l.list = slices.Clone(l.list)
	for i := range l.list {
		if l.list[i].id == id {
			l.list[i].countedAt = now
		}
	}
	return l
}

// unknown returns the number of crashes that speak against the request and that the table
// in force may lack: the control hosts have not counted them, or not until a moment ago.
// Of the others the table has what every node knows.
func (l localCrashes) unknown(now time.Time) int {
	n := 0
	for _, c := range l.list {
		if !c.served && (c.countedAt.IsZero() || now.Before(c.countedAt.Add(tableDelay))) {
			n++
		}
	}
	return n
}

// expired reports whether the last crash is too long ago to matter.
func (l localCrashes) expired(now time.Time) bool {
	return !now.Before(l.lastAt.Add(applier.PoisonRequestTTL))
}

// storeCrashes sets the local crashes of a request. At maxLocalRequests it drops the
// request with the fewest crashes. q.mu is held.
func (q *Quarantiner) storeCrashes(key requestKey, l localCrashes, now time.Time) {
	if q.crashes == nil {
		q.crashes = map[requestKey]localCrashes{}
	}
	if _, ok := q.crashes[key]; !ok && len(q.crashes) >= maxLocalRequests {
		delete(q.crashes, q.leastSuspect(now))
	}
	q.crashes[key] = l
}

// leastSuspect returns the request with the fewest unknown crashes, of these the one whose
// last crash is longest ago. q.mu is held.
func (q *Quarantiner) leastSuspect(now time.Time) requestKey {
	var least requestKey
	found := false
	for key, l := range q.crashes {
		n, fewest := l.unknown(now), q.crashes[least].unknown(now)
		if !found || n < fewest || n == fewest && l.lastAt.Before(q.crashes[least].lastAt) {
			least, found = key, true
		}
	}
	return least
}
