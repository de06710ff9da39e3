package registrar

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// departedRetention is how long the record of an incarnation that left is kept. Its delayed
	// announcements arrive within seconds.
	departedRetention = 5 * time.Minute
	// unnamedRetention is how long the record is kept of a leave that names no incarnation
	// and whose target this node does not know. It is short, since the start of that
	// incarnation is only known to be before the leave, by another clock.
	unnamedRetention = 15 * time.Second
	maxDeparted      = 1024
)

// Departure is an incarnation of a target that has left, with all earlier ones. None of
// them receives requests again, even if delayed announcements of it arrive.
type Departure struct {
	Target    string
	StartedAt int64 // StartedAt is in Unix milliseconds.
	ExpiresAt time.Time
}

// departedIncarnation is what this node knows of a departure. confirmed is set, and done is
// closed, once it is recorded where it outlives this process.
type departedIncarnation struct {
	Departure
	named     bool // named means that StartedAt is the start of an incarnation, and not the time of a leave.
	confirmed bool
	done      chan struct{}
}

// covers reports whether the announced incarnation has left. Of a leave that named none it
// is known only for announcements that state their start.
func (d departedIncarnation) covers(a Announcement) bool {
	return a.StartedAt <= d.StartedAt && (d.named || a.StartedAt != 0)
}

// recordLeave stores that a target has left whose present incarnation this node does not
// know. r.mu is held.
func (r *Registrar) recordLeave(name string, startedAt int64) {
	if startedAt != 0 {
		r.recordDeparture(name, startedAt)
		return
	}
	now := r.now()
	r.storeDeparture(Departure{Target: name, StartedAt: now.UnixMilli(), ExpiresAt: now.Add(unnamedRetention)}, false)
}

// recordDeparture stores that an incarnation of a target has left. r.mu is held.
func (r *Registrar) recordDeparture(name string, startedAt int64) {
	if startedAt != 0 {
		r.storeDeparture(Departure{Target: name, StartedAt: startedAt, ExpiresAt: r.now().Add(departedRetention)}, true)
	}
}

// storeDeparture stores a departure unless that of a later incarnation is known. It removes
// all earlier records when there are maxDeparted of them. r.mu is held.
func (r *Registrar) storeDeparture(d Departure, named bool) {
	if old, ok := r.departed[d.Target]; ok {
		if d.StartedAt <= old.StartedAt {
			return
		}
		if old.ExpiresAt.After(d.ExpiresAt) {
			d.ExpiresAt = old.ExpiresAt // The new record covers the earlier incarnation, too.
		}
	}
	if r.departed == nil || len(r.departed) >= maxDeparted {
		r.departed = map[string]departedIncarnation{}
	}
	r.departed[d.Target] = departedIncarnation{Departure: d, named: named, done: make(chan struct{})}
	r.notifyChange()
}

// UnconfirmedDepartures returns the departures that are known to this process alone,
// sorted by target.
func (r *Registrar) UnconfirmedDepartures() []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Departure
	for _, d := range r.departed {
		if !d.confirmed {
			out = append(out, d.Departure)
		}
	}
	slices.SortFunc(out, func(a, b Departure) int { return strings.Compare(a.Target, b.Target) })
	return out
}

// ConfirmDepartures records that the departures are stored where they outlive this process.
func (r *Registrar) ConfirmDepartures(list []Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range list {
		d := r.departed[c.Target]
		if d.Departure != c || d.confirmed {
			continue
		}
		d.confirmed = true
		close(d.done)
		r.departed[c.Target] = d
	}
}

// RestoreDepartures stores departures that an earlier process of this node has confirmed,
// and stops new requests to their targets.
func (r *Registrar) RestoreDepartures(list []Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range list {
		if old := r.departed[d.Target]; old.StartedAt >= d.StartedAt || !r.now().Before(d.ExpiresAt) {
			continue
		}
		if r.departed == nil {
			r.departed = map[string]departedIncarnation{}
		}
		done := make(chan struct{})
		close(done)
		r.departed[d.Target] = departedIncarnation{Departure: d, named: true, confirmed: true, done: done}
		if t := r.targets[d.Target]; t != nil && t.StartedAt != 0 && t.StartedAt <= d.StartedAt {
			r.stopNewRequests(t, "the target left before this node started")
		}
	}
}

// AwaitDeparture waits until the departure of a target is recorded where it outlives this
// process, so that the leave may be acknowledged. It returns at once if the target has no
// record, and an *Error of KindUnconfirmed when ctx ends first.
func (r *Registrar) AwaitDeparture(ctx context.Context, name string) error {
	r.mu.Lock()
	d, ok := r.departed[name]
	r.mu.Unlock()
	if !ok {
		return nil
	}
	select {
	case <-d.done:
		return nil
	case <-ctx.Done():
		return &Error{"leave", KindUnconfirmed, errors.Errorf("no control host has recorded that target %q leaves; send this again", name)}
	}
}
