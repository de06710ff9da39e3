// Package registrar stores the targets on a node's own host.
//
// A target announces itself and renews its lease while it runs. When it announces
// that it is leaving, or its lease expires, its limiter is closed: it receives no new
// requests, and requests in flight complete. The registrar is the authority on its
// targets; the state that other nodes hold may be older.
//
// # Usage
//
//	r := &registrar.Registrar{}
//	err := r.Announce(registrar.Announcement{Target: "t1", Service: "designs", ...})
//	target, ok := r.Find("t1")
//	list, changed := r.List()
package registrar

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/limiter"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

const (
	// LeaseDuration is how long an announcement is valid without renewal.
	LeaseDuration = 6 * time.Second
	// MaxTargets is the maximum number of targets on one host.
	MaxTargets = 64

	maxSlots = 10_000
	maxPort  = 1<<16 - 1
	// maxClockStep is how far in the future a start time, or the end of a target's cold
	// time, may be. The clock of a host may be set back after its targets have started.
	maxClockStep = 24 * time.Hour
	// maxQuotedBytes bounds the values that an error quotes.
	maxQuotedBytes = 80
)

// Kind is the reason why an announcement or a leave was rejected.
type Kind string

// The kinds of registrar errors.
const (
	KindInvalid       Kind = "invalid"
	KindFull          Kind = "full"
	KindUnknownTarget Kind = "unknown"
	KindUnconfirmed   Kind = "unconfirmed" // KindUnconfirmed means that a leave is in force, but a restart of this node would forget it.
)

// Error is the only error type of this package. Op is announce or leave.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string { return fmt.Sprintf("registrar: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Announcement is the description that a target sends of itself.
type Announcement struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	Version     string `json:"version"`
	Address     string `json:"address"` // Address is the target's IP and port on this host.
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	StartedAt   int64  `json:"startedAt"` // StartedAt is the start time in Unix milliseconds; it distinguishes the incarnations of the target.
	// Sequence grows with each announcement of one incarnation, so that a delayed one
	// is recognised; 0 means that the target does not number them.
	Sequence uint64 `json:"sequence"`
	Leaving  bool   `json:"leaving"` // Leaving means that the target accepts no new requests.
	// ColdUntil is when the target has warmed up after its start; nil means that it
	// does not report this.
	ColdUntil *time.Time `json:"coldUntil"`
}

// sameDescription reports whether two announcements describe the same incarnation
// with the same values, apart from Sequence, Leaving and ColdUntil.
func (a Announcement) sameDescription(o Announcement) bool {
	a.Sequence, a.Leaving, a.ColdUntil = 0, false, nil
	o.Sequence, o.Leaving, o.ColdUntil = 0, false, nil
	return a == o
}

// isIPAndPort reports whether address is an IP address and a port in digits.
func isIPAndPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// isPossibleStart reports whether a target can have started at a time in Unix
// milliseconds. An incarnation with a later start would exclude all that follow it.
func isPossibleStart(startedAt int64, now time.Time) bool {
	return startedAt >= 0 && startedAt <= now.Add(maxClockStep).UnixMilli()
}

// validate sets defaults and returns an error if a field is invalid at the time now.
func (a *Announcement) validate(now time.Time) error {
	if a.Version == "" {
		a.Version = "v1"
	}
	for _, f := range []struct{ key, value string }{{"target", a.Target}, {"service", a.Service}, {"version", a.Version}} {
		if !parser.ValidName(f.value) {
			return errors.Errorf("%s %.*q is not valid; use lower-case letters, digits and hyphens, a letter first", f.key, maxQuotedBytes, f.value)
		}
	}
	if !isIPAndPort(a.Address) {
		return errors.Errorf("address %.*q is not of the form IP:PORT with a port from 1 to %d", maxQuotedBytes, a.Address, maxPort)
	}
	if !isPossibleStart(a.StartedAt, now) {
		return errors.Errorf("startedAt %d is not a time in the past in Unix milliseconds", a.StartedAt)
	}
	if a.ColdUntil != nil && a.ColdUntil.After(now.Add(maxClockStep)) {
		return errors.Errorf("coldUntil is more than %s from now", maxClockStep)
	}
	if a.Slots < 0 || a.Slots > maxSlots || a.Connections < 0 || a.Connections > maxSlots {
		return errors.Errorf("slots and connections must be from 1 to %d", maxSlots)
	}
	if a.Slots == 0 {
		a.Slots = parser.DefaultSlots
	}
	if a.Connections == 0 {
		a.Connections = parser.DefaultConnections
	}
	return nil
}

// Registrar stores the targets of one host. Exported fields are set before use. It is
// safe for concurrent use.
type Registrar struct {
	QueueLimit int              // QueueLimit is the maximum number of requests that wait for each target; parser.DefaultQueue when zero.
	Now        func() time.Time // Now returns the current time; time.Now when nil.
	Log        *log.Logger      // Log may be nil.

	mu       sync.Mutex
	targets  map[string]*Target
	departed map[string]departedIncarnation // departed is keyed by target.
	changed  chan struct{}
}

// Announce adds a new target or renews a lease. A target whose description has
// changed, its start time included, replaces the earlier one. A delayed announcement
// of an earlier incarnation is ignored without an error. The *Error has KindInvalid
// for an invalid field, and KindFull if the host has MaxTargets targets.
func (r *Registrar) Announce(a Announcement) error {
	if err := a.validate(r.now()); err != nil {
		return &Error{"announce", KindInvalid, err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.targets[a.Target]
	if r.isOutdated(a, old) {
		return nil
	}
	if d, ok := r.departed[a.Target]; ok && old == nil && d.covers(a) {
		return nil
	}
	if old == nil && len(r.targets) >= MaxTargets {
		return &Error{"announce", KindFull, errors.Errorf("this host already has the maximum of %d targets", MaxTargets)}
	}
	switch {
	case old != nil && old.StartedAt == a.StartedAt && old.leaving:
		// The renewal was sent before the target's leave and arrived after it.
	case old != nil && old.sameDescription(a):
		old.Sequence, old.expiresAt = a.Sequence, r.now().Add(LeaseDuration)
		old.coldUntil.Store(a.ColdUntil)
	default:
		if old != nil {
			old.Limiter.Close()
		}
		r.stopPredecessors(a)
		r.addTarget(a, old)
	}
	if a.Leaving {
		r.recordDeparture(a.Target, a.StartedAt)
		r.stopNewRequests(r.targets[a.Target], "the target is draining")
	}
	return nil
}

// isOutdated reports whether an announcement is older than old, the stored target of
// the same name, or than another target at the same address.
func (r *Registrar) isOutdated(a Announcement, old *Target) bool {
	if old != nil && a.StartedAt < old.StartedAt {
		return true
	}
	if old != nil && a.StartedAt == old.StartedAt && a.Sequence != 0 && a.Sequence <= old.Sequence {
		return true
	}
	for _, t := range r.targets {
		if t.Target != a.Target && t.Address == a.Address && a.StartedAt != 0 && t.StartedAt > a.StartedAt {
			return true
		}
	}
	return false
}

// stopPredecessors stops new requests to earlier targets at the same address, since
// their processes have ended.
func (r *Registrar) stopPredecessors(a Announcement) {
	for _, t := range r.targets {
		if t.Target != a.Target && t.Address == a.Address && t.StartedAt != 0 && t.StartedAt < a.StartedAt {
			r.stopNewRequests(t, "a newer target uses the same address")
		}
	}
}

// addTarget stores a target with a new limiter and forwarder in place of old, which may be
// nil. r.mu is held.
func (r *Registrar) addTarget(a Announcement, old *Target) {
	if r.targets == nil {
		r.targets = map[string]*Target{}
	}
	queue := r.QueueLimit
	if queue == 0 {
		queue = parser.DefaultQueue
	}
	t := &Target{
		Announcement: a,
		Limiter:      &limiter.Limiter{Slots: a.Slots, QueueLimit: queue},
		Forwarder:    &forwarder.Forwarder{Address: a.Address, MaxConnections: a.Connections},
		expiresAt:    r.now().Add(LeaseDuration),
	}
	t.coldUntil.Store(a.ColdUntil)
	t.inheritLimit(old, r.now())
	r.targets[a.Target] = t
	r.logTarget("target announced", t, "slots", a.Slots, "sequence", a.Sequence)
	r.notifyChange()
}

// MarkLeaving stops new requests to a target; requests in flight complete. startedAt
// identifies the incarnation that leaves, in Unix milliseconds; 0 means the current
// one, or any that has started by now if the target is not known. A leave of an earlier
// incarnation is ignored. The *Error has KindInvalid, and nothing changes, if no target can
// have started then; it has KindUnknownTarget if there is no such target.
func (r *Registrar) MarkLeaving(name string, startedAt int64) error {
	if !isPossibleStart(startedAt, r.now()) {
		return &Error{"leave", KindInvalid, errors.Errorf("startedAt %d is not a time in the past in Unix milliseconds", startedAt)}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[name]
	if t != nil && startedAt != 0 && startedAt < t.StartedAt {
		return nil // An earlier incarnation left.
	}
	if t == nil {
		r.recordLeave(name, startedAt)
		return &Error{"leave", KindUnknownTarget, errors.Errorf("no target %q on this host", name)}
	}
	r.recordDeparture(name, max(startedAt, t.StartedAt))
	r.stopNewRequests(t, "the target left")
	return nil
}

// MarkAllLeaving stops new requests to every target, before the node itself stops.
func (r *Registrar) MarkAllLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		r.stopNewRequests(t, "the node is stopping")
	}
}

// logTarget logs a message with the fields of a target.
func (r *Registrar) logTarget(line string, t *Target, fields ...any) {
	if r.Log != nil {
		r.Log.Info(line, append([]any{"target", t.Target, "service", t.Service, "targetVersion", t.Version, "address", t.Address, "startedAt", t.StartedAt}, fields...)...)
	}
}

// stopNewRequests marks a target as leaving and closes its limiter. r.mu is held.
func (r *Registrar) stopNewRequests(t *Target, why string) {
	if t.leaving {
		return
	}
	r.logTarget("target accepts no new requests", t, "why", why, "running", t.Limiter.Used(), "busy", t.Limiter.RequestCount())
	t.leaving = true
	t.expiresAt = r.now().Add(LeaseDuration)
	t.Limiter.Close()
	r.notifyChange()
}

// ExpireLeases stops new requests to targets whose lease has expired, and removes
// targets that left one LeaseDuration ago and have no request in flight. It also
// removes old records of departed incarnations.
func (r *Registrar) ExpireLeases() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for name, l := range r.departed {
		if now.After(l.ExpiresAt) {
			delete(r.departed, name)
		}
	}
	for name, t := range r.targets {
		if now.Before(t.expiresAt) {
			continue
		}
		if !t.leaving {
			r.stopNewRequests(t, "the lease expired")
			continue
		}
		if t.Limiter.Used() == 0 {
			t.Forwarder.Close()
			delete(r.targets, name)
		}
	}
}

// Find returns the target with the given name, also if it is leaving.
func (r *Registrar) Find(name string) (*Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[name]
	return t, ok
}

// FindServing returns the target for a request that names one: that target, or, if it
// accepts no new requests, the newest on this host of the same service and version.
// After a restart of all targets, entry nodes still select earlier incarnations for a
// while. If there is no substitute, it returns the named target, or false if there is
// none of that name.
func (r *Registrar) FindServing(name, service, version string) (*Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	named, ok := r.targets[name]
	if ok && !named.leaving {
		return named, true
	}
	var newest *Target
	for _, t := range r.targets {
		if t.leaving || t.Service != service || t.Version != version {
			continue
		}
		if newest == nil || t.StartedAt > newest.StartedAt {
			newest = t
		}
	}
	if newest != nil {
		return newest, true
	}
	return named, ok
}

// List returns the announcements of the targets that accept new requests, sorted by
// name, and a channel that is closed at the next change.
func (r *Registrar) List() ([]Announcement, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Announcement
	for _, t := range r.targets {
		if !t.leaving {
			out = append(out, t.Announcement)
		}
	}
	slices.SortFunc(out, func(a, b Announcement) int { return strings.Compare(a.Target, b.Target) })
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return out, r.changed
}

// notifyChange closes the channel that List returned. r.mu is held.
func (r *Registrar) notifyChange() {
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

func (r *Registrar) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}
