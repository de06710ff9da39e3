package registrar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

// Learned states how this node came to know a target's rate limit.
type Learned string

// The ways in which a rate limit becomes known.
const (
	LearnedNothing      Learned = ""
	LearnedFromResponse Learned = "response" // LearnedFromResponse means that this node read it in a response of the target.
	// LearnedFromEntry means that an entry node knew it, and that this node has had no
	// response of the target since it started.
	LearnedFromEntry Learned = "entry"
)

// statedLimit is the rate limit of one incarnation of a target, as far as this node knows.
// It is an immutable value.
type statedLimit struct {
	limit   translator.RateLimit
	learned Learned
	heardAt time.Time // heardAt is when a response last stated this limit; zero before the first response.
}

// withResponse returns the limit that is known after a response to a request that was
// sent at sentAt, whose header was received at now. A lower limit holds at once. A higher
// one, or none, holds only if the request was sent after the present limit was last
// heard: otherwise the response may be the older one.
func (s statedLimit) withResponse(limit translator.RateLimit, sentAt, now time.Time) statedLimit {
	if limit != s.limit && !limit.Below(s.limit) && !sentAt.After(s.heardAt) {
		return s
	}
	return statedLimit{limit: limit, learned: LearnedFromResponse, heardAt: now}
}

// withEntry returns the limit that is known after an entry node has sent the one that it
// knows. It is used until the first response of the target; of several, the lowest is.
func (s statedLimit) withEntry(limit translator.RateLimit) statedLimit {
	if s.learned == LearnedFromResponse || !limit.Below(s.limit) {
		return s
	}
	return statedLimit{limit: limit, learned: LearnedFromEntry}
}

// LimitChange is a change of the rate limit that this node knows of a target.
type LimitChange struct {
	Was, Is    translator.RateLimit
	Learned    Learned
	WasLearned Learned
	HeardAgo   time.Duration // HeardAgo is how long ago the earlier limit was last heard.
}

// RecordLimit records the rate limit, or its absence, in a response to a request that was
// sent at sentAt. It returns the change and true if another limit holds from now on.
func (t *Target) RecordLimit(limit translator.RateLimit, sentAt, now time.Time) (LimitChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.setLimit(t.limit.withResponse(limit, sentAt, now), now)
}

// AdoptLimit records the rate limit that an entry node knows. It returns the change and
// true if another limit holds from now on.
func (t *Target) AdoptLimit(limit translator.RateLimit, now time.Time) (LimitChange, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.setLimit(t.limit.withEntry(limit), now)
}

// setLimit stores the known limit and applies it to the limiter. t.mu is held.
func (t *Target) setLimit(s statedLimit, now time.Time) (LimitChange, bool) {
	old := t.limit
	t.limit = s
	if old.limit == s.limit {
		return LimitChange{}, false
	}
	if s.limit.Named {
		t.Limiter.SetRateLimit(s.limit.PerSecond)
	} else {
		t.Limiter.ClearRateLimit()
	}
	change := LimitChange{Was: old.limit, Is: s.limit, Learned: s.learned, WasLearned: old.learned}
	if !old.heardAt.IsZero() {
		change.HeardAgo = now.Sub(old.heardAt)
	}
	return change, true
}

// inheritLimit takes the limit over from the same incarnation of the target, which has
// announced another description of itself. The target is not in use yet.
func (t *Target) inheritLimit(old *Target, now time.Time) {
	if old == nil || old.StartedAt == 0 || old.StartedAt != t.StartedAt {
		return
	}
	old.mu.Lock()
	s := old.limit
	old.mu.Unlock()
	t.setLimit(s, now)
}

// State returns what this node knows of the target from its own statements.
func (t *Target) State() translator.TargetState {
	return translator.TargetState{Target: t.Target, StartedAt: t.StartedAt, RateLimit: t.RateLimit(), Leaving: t.statesLeaving.Load()}
}

// RecordLeaving records that the target states that it leaves. It returns true for the
// first statement.
func (t *Target) RecordLeaving() bool { return !t.statesLeaving.Swap(true) }

// RateLimit returns the rate limit that this node knows of the target.
func (t *Target) RateLimit() translator.RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit.limit
}

// arrivalWindow is the time over which the requests to a target with a rate limit are
// counted for one log line.
const arrivalWindow = time.Second

// Arrivals counts the requests that were forwarded to a target with a rate limit within
// arrivalWindow or longer, by the entry nodes that sent them.
type Arrivals struct {
	Since   time.Time
	Total   int
	ByEntry map[string]int
}

// String returns the entry nodes with their numbers, the largest first.
func (a Arrivals) String() string {
	entries := slices.SortedFunc(maps.Keys(a.ByEntry), func(x, y string) int {
		if a.ByEntry[x] != a.ByEntry[y] {
			return a.ByEntry[y] - a.ByEntry[x]
		}
		return strings.Compare(x, y)
	})
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, fmt.Sprintf("%s:%d", e, a.ByEntry[e]))
	}
	return strings.Join(out, " ")
}

// CountArrival counts a request that is forwarded to the target for an entry node. If the
// target has a rate limit and arrivalWindow has passed, it returns the earlier requests and
// true, and starts anew.
func (t *Target) CountArrival(entry string, now time.Time) (Arrivals, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.limit.limit.Named {
		t.arrivals = Arrivals{}
		return Arrivals{}, false
	}
	past, full := t.arrivals, t.arrivals.Total > 0 && now.Sub(t.arrivals.Since) >= arrivalWindow
	if t.arrivals.Total == 0 || full {
		t.arrivals = Arrivals{Since: now, ByEntry: map[string]int{}}
	}
	t.arrivals.Total++
	t.arrivals.ByEntry[entry]++
	return past, full
}
