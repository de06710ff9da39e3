// Package registrar holds the targets on a node's own host.
//
// A target announces itself and renews its lease while it lives. When it says
// that it leaves, or its lease runs out, its limiter is closed: new work stops
// at once, requests in flight go on. The registrar is the authority on its
// targets; what other nodes know of them may be older.
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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/request/forwarder"
	"github.com/hornbeamrack/hornbeamrack/request/limiter"
	"github.com/hornbeamrack/hornbeamrack/request/tracker"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

const (
	// LeaseDuration is how long an announcement counts without renewal.
	LeaseDuration = 6 * time.Second
	// MaxTargets bounds the targets on one host.
	MaxTargets = 64

	// usualWeight is the number of answers that moving averages look back on.
	usualWeight = 8
	maxRoutes   = 4096

	// leftTime is how long a life that left is remembered; its late words come
	// within seconds.
	leftTime = 5 * time.Minute
	maxLeft  = 1024

	maxSlots     = 10_000
	coldRequests = 20
	aliveTimeout = 200 * time.Millisecond
	// deathTime is how long a process may take to close its sockets when it dies.
	deathTime = 30 * time.Millisecond
	coldTime  = 10 * time.Second
)

// Kind tells why an announcement was refused.
type Kind string

// The kinds of registrar errors.
const (
	KindInvalid       Kind = "invalid"
	KindFull          Kind = "full"
	KindUnknownTarget Kind = "unknown"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("registrar: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Announcement is what a target says of itself.
type Announcement struct {
	Target      string `json:"target"`
	Service     string `json:"service"`
	Version     string `json:"version"`
	Address     string `json:"address"` // Address is the target's own, on this host.
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	StartedAt   int64  `json:"startedAt"` // StartedAt is in Unix milliseconds; it tells one life of the target from the next.
	// Sequence grows with each announcement of one life, so that a late one is
	// known; 0 means that the target does not count them.
	Sequence uint64 `json:"sequence"`
	Leaving  bool   `json:"leaving"` // Leaving means that the target takes no new work.
	// ColdUntil is when the target no longer is slow from its start; nil means
	// that it does not say.
	ColdUntil *time.Time `json:"coldUntil"`
}

// sameTarget reports whether two announcements describe the same life in the
// same way.
func (a Announcement) sameTarget(o Announcement) bool {
	a.Sequence, a.Leaving, a.ColdUntil = 0, false, nil
	o.Sequence, o.Leaving, o.ColdUntil = 0, false, nil
	return a == o
}

// check fills in defaults and refuses what cannot work.
func (a *Announcement) check() error {
	if a.Version == "" {
		a.Version = "v1"
	}
	for _, f := range []struct{ key, value string }{{"target", a.Target}, {"service", a.Service}, {"version", a.Version}} {
		if !parser.ValidName(f.value) {
			return errors.Errorf("%s %q is not valid; use lower-case letters, digits and hyphens, a letter first", f.key, f.value)
		}
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return errors.Errorf("address %q is not IP:PORT", a.Address)
	}
	if a.Slots < 0 || a.Slots > maxSlots || a.Connections < 0 || a.Connections > maxSlots {
		return errors.Errorf("slots and connections are from 1 to %d", maxSlots)
	}
	if a.Slots == 0 {
		a.Slots = parser.DefaultSlots
	}
	if a.Connections == 0 {
		a.Connections = parser.DefaultConnections
	}
	return nil
}

// Target is one target in one of its lives.
type Target struct {
	Announcement
	Limiter   *limiter.Limiter
	Forwarder *forwarder.Forwarder

	expiresAt time.Time
	leaving   bool
	served    atomic.Int64
	crashed   atomic.Bool
	coldUntil atomic.Pointer[time.Time]

	mu      sync.Mutex
	usual   map[string]usual // usual is by route.
	flights tracker.InFlight
}

// usual holds the moving averages of a route's answers.
type usual struct {
	latency time.Duration
	size    int // size is in bytes.
}

// BeginRequest notes a request of a route that is handed to the target; the returned
// function notes its end.
func (t *Target) BeginRequest(route string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := t.flights.Begin(time.Now(), t.usual[route].latency)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.flights.End(id)
	}
}

// RecordResponse takes in how long the target worked on a request of a route, and the
// size of its answer in bytes.
func (t *Target) RecordResponse(route string, latency time.Duration, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.usual == nil || len(t.usual) > maxRoutes {
		t.usual = map[string]usual{}
	}
	u, ok := t.usual[route]
	if !ok {
		u = usual{latency, size}
	}
	u.latency += (latency - u.latency) / usualWeight
	u.size += (size - u.size) / usualWeight
	t.usual[route] = u
}

// ResponseSize returns the usual size of the answers of a route in bytes, 0 while
// nothing is known.
func (t *Target) ResponseSize(route string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.usual[route].size
}

// ProcessingTime returns how long the target is expected to work on a request of a route,
// 0 while nothing is known: by its answers, or by what it has not answered yet.
func (t *Target) ProcessingTime(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	usual := t.usual[route].latency
	return max(usual, t.flights.MinProcessingTime(time.Now(), usual))
}

// LoadReport describes how busy the target is for a further request like r.
func (t *Target) LoadReport(r limiter.Request) translator.LoadReport {
	return translator.LoadReport{Valid: true, RequestCount: t.Limiter.Load(), ExpectedWait: t.Limiter.ExpectedWait(r), ProcessingTime: r.ProcessingTime}
}

// AliveAfterDisconnect reports whether the target lives on after a connection to it broke. A
// process that dies closes its sockets one after the other, so it may accept
// connections for another moment.
func (t *Target) AliveAfterDisconnect() bool {
	time.Sleep(deathTime)
	return t.alive()
}

// alive reports whether the target accepts connections.
func (t *Target) alive() bool {
	conn, err := net.DialTimeout("tcp", t.Address, aliveTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// MarkCrashed reports true once in the target's life.
func (t *Target) MarkCrashed() bool { return !t.crashed.Swap(true) }

// SetColdUntil notes until when the target is slow from its start.
func (t *Target) SetColdUntil(until time.Time) { t.coldUntil.Store(&until) }

// CountResponse counts one answer and reports whether the target is so new that its
// latency says nothing yet.
func (t *Target) CountResponse() bool {
	t.served.Add(1)
	return t.IsCold()
}

// IsCold reports whether the target is so new that its latency says nothing
// yet: by its own word, else by its age and the number of its answers.
func (t *Target) IsCold() bool {
	if until := t.coldUntil.Load(); until != nil {
		return time.Now().Before(*until)
	}
	return t.served.Load() <= coldRequests || time.Since(time.UnixMilli(t.StartedAt)) < coldTime
}

// Registrar is safe for concurrent use.
type Registrar struct {
	QueueLimit int              // Queue is the number of requests that may wait for each target; parser.DefaultQueue when zero.
	Now        func() time.Time // Now is time.Now when nil.
	Log        *log.Logger      // Log may be nil.

	mu      sync.Mutex
	targets map[string]*Target
	left    map[string]leftLife // left is by target.
	changed chan struct{}
}

// leftLife is a life of a target that has said that it leaves. It never takes
// work again, whatever comes late.
type leftLife struct {
	startedAt int64 // startedAt is in Unix milliseconds.
	forgetAt  time.Time
}

// Announce takes in a new target or renews a lease. A target that changed
// anything about itself, its start included, replaces its earlier life; a late
// announcement of an earlier life changes nothing.
func (r *Registrar) Announce(a Announcement) error {
	if err := a.check(); err != nil {
		return &Error{"announce", KindInvalid, err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.targets[a.Target]
	if r.outdated(a, old) {
		return nil
	}
	if l, ok := r.left[a.Target]; ok && old == nil && a.StartedAt <= l.startedAt {
		return nil
	}
	if old == nil && len(r.targets) >= MaxTargets {
		return &Error{"announce", KindFull, errors.Errorf("%d targets on this host", MaxTargets)}
	}
	switch {
	case old != nil && old.StartedAt == a.StartedAt && old.leaving:
		// A renewal crossed the target's own leave on the way.
	case old != nil && old.sameTarget(a):
		old.Sequence, old.expiresAt = a.Sequence, r.now().Add(LeaseDuration)
		old.coldUntil.Store(a.ColdUntil)
	default:
		if old != nil {
			old.Limiter.Close()
		}
		r.supersede(a)
		r.put(a)
	}
	if a.Leaving {
		r.leave(a.Target, a.StartedAt)
		r.stop(r.targets[a.Target], "it drains")
	}
	return nil
}

// outdated reports whether an announcement is older than what is known of its
// target or of its address.
func (r *Registrar) outdated(a Announcement, old *Target) bool {
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

// supersede stops earlier targets at the same address: they have ended.
func (r *Registrar) supersede(a Announcement) {
	for _, t := range r.targets {
		if t.Target != a.Target && t.Address == a.Address && t.StartedAt != 0 && t.StartedAt < a.StartedAt {
			r.stop(t, "a newer target has its address")
		}
	}
}

func (r *Registrar) put(a Announcement) {
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
	r.targets[a.Target] = t
	r.note("target announced", t, "slots", a.Slots, "sequence", a.Sequence)
	r.signal()
}

// Leave stops new work at a target. Its requests in flight go on. startedAt
// names the life that leaves; 0 means whichever there is.
func (r *Registrar) Leave(name string, startedAt int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[name]
	if t != nil && startedAt != 0 && startedAt < t.StartedAt {
		return nil // An earlier life left.
	}
	if t != nil {
		startedAt = t.StartedAt
	}
	r.leave(name, startedAt)
	if t == nil {
		return &Error{"leave", KindUnknownTarget, errors.Errorf("no target %q on this host", name)}
	}
	r.stop(t, "it left")
	return nil
}

// leave remembers that a life of a target has left.
func (r *Registrar) leave(name string, startedAt int64) {
	if startedAt == 0 || startedAt < r.left[name].startedAt {
		return
	}
	if r.left == nil || len(r.left) >= maxLeft {
		r.left = map[string]leftLife{}
	}
	r.left[name] = leftLife{startedAt, r.now().Add(leftTime)}
}

// LeaveAll stops new work at every target, before the node itself stops.
func (r *Registrar) LeaveAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		r.stop(t, "this node stops")
	}
}

// note writes a line on a target.
func (r *Registrar) note(line string, t *Target, fields ...any) {
	if r.Log != nil {
		r.Log.Info(line, append([]any{"target", t.Target, "service", t.Service, "targetVersion", t.Version, "address", t.Address, "startedAt", t.StartedAt}, fields...)...)
	}
}

func (r *Registrar) stop(t *Target, why string) {
	if t.leaving {
		return
	}
	r.note("target takes no new work", t, "why", why, "running", t.Limiter.Used(), "busy", t.Limiter.Load())
	t.leaving = true
	t.expiresAt = r.now().Add(LeaseDuration)
	t.Limiter.Close()
	r.signal()
}

// ExpireLeases stops targets whose lease has run out, and forgets those that left.
func (r *Registrar) ExpireLeases() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for name, l := range r.left {
		if now.After(l.forgetAt) {
			delete(r.left, name)
		}
	}
	for name, t := range r.targets {
		if now.Before(t.expiresAt) {
			continue
		}
		if !t.leaving {
			r.stop(t, "its lease ran out")
			continue
		}
		if t.Limiter.Used() == 0 {
			t.Forwarder.Close()
			delete(r.targets, name)
		}
	}
}

// Find returns a target, leaving ones included.
func (r *Registrar) Find(name string) (*Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[name]
	return t, ok
}

// Serving returns the target for a request whose entry node named one: that
// target, or, when it takes no work any more, the newest on this host of the
// same service and version. After a restart of all, entry nodes know the targets'
// earlier lives for a while.
func (r *Registrar) Serving(name, service, version string) (*Target, bool) {
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

// List returns the targets that take work, sorted by name, and a channel that
// is closed at the next change.
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

func (r *Registrar) signal() {
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
