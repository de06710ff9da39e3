// Package applier is the state machine of the control hosts: it stores the
// replicated state and applies the commands of the log to it.
//
// Every host applies the same commands in the same order, so Next depends on
// nothing but the state and the command: the time is part of the command. The
// whole merged document is validated here, where commands run one after the
// other, so that no other edit can come between the check and the change.
//
// # Usage
//
//	a := &applier.Applier{}
//	result := a.Apply(index, encodedCommand)
//	state := a.State()
//
// Applier implements replicator.Applier.
package applier

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/common/decoder"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
	"github.com/hornbeamrack/hornbeamrack/version/validator"
)

// Kind is the kind of an applier error.
type Kind string

// The kinds of applier errors.
const (
	// KindCorrupt means that a command or snapshot cannot be encoded or decoded.
	KindCorrupt Kind = "damaged"
)

// Error is the only error type of this package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("applier: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Applier applies commands and publishes the newest state to any number of
// readers. It is safe for concurrent use.
type Applier struct {
	mu      sync.Mutex
	state   State
	index   uint64
	changed chan struct{}
}

// State returns the newest state.
func (a *Applier) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Watch returns the newest state and a channel that is closed as soon as a newer
// one is published.
func (a *Applier) Watch() (State, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.state, a.changed
}

// Apply applies the command at one index of the log and returns its Result, or
// the error of a command that cannot be decoded, which leaves the state as it is.
func (a *Applier) Apply(index uint64, command []byte) any {
	c, err := Decode(command)
	if err != nil {
		asserter.Check(false, "commandDecodes", "command at log index %d: %v", index, err)
		return err
	}
	next, result := a.next(index, c)
	a.publish(index, next)
	return result
}

// next applies a command to the newest state. A State is immutable, so a command
// that panics leaves it unchanged on every host alike, and is rejected.
func (a *Applier) next(index uint64, c Command) (next State, result Result) {
	old := a.State()
	defer func() {
		if r := recover(); r != nil {
			asserter.Check(false, "commandsDoNotPanic", "command at log index %d: %v", index, r)
			next, result = old, rejected(old, fmt.Sprintf("the command cannot be carried out: %v", r))
		}
	}()
	return old.Next(index, c)
}

// publish makes a state the newest one and notifies the watchers.
func (a *Applier) publish(index uint64, next State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	asserter.Check(next.Version >= a.state.Version, "stateVersionMonotonic", "state of version %d after version %d", next.Version, a.state.Version)
	a.state, a.index = next, index
	if a.changed != nil {
		close(a.changed)
	}
	a.changed = make(chan struct{})
}

// Snapshot returns the encoded state.
func (a *Applier) Snapshot() ([]byte, error) {
	b, err := encoder.Marshal(a.State())
	return b, errors.Wrap(err, "encode state")
}

// Restore replaces the state with a snapshot that includes all commands up to
// index. Counts of crashes that a host of an earlier build made are lowered to one
// crash. On an error of KindCorrupt the state stays as it is.
func (a *Applier) Restore(index uint64, data []byte) error {
	var s State
	if err := encoder.Unmarshal(data, &s); err != nil {
		return &Error{"restore", KindCorrupt, err}
	}
	a.publish(index, s.withoutRunCounts())
	return nil
}

// Next returns the state after a command, and the result for its sender. A
// command that is rejected returns the state unchanged or with the kept result.
func (s State) Next(index uint64, c Command) (State, Result) {
	switch c := c.(type) {
	case EditSection:
		return s.runOnce(c.EditID, c, func() (State, Result) { return s.editSection(index, c) })
	case BeginMove:
		return s.runOnce(c.EditID, c, func() (State, Result) { return s.beginMove(index, c) })
	case CancelMove:
		return s.runOnce(c.EditID, c, func() (State, Result) { return s.cancelMove(index, c) })
	case StepMove:
		return s.stepMove(index, c)
	case Announce:
		return s.announce(index, c), Result{Outcome: OutcomeAccepted}
	case ExpireNodes:
		return s.expireNodes(index, c), Result{Outcome: OutcomeAccepted}
	case ReportCrash:
		return s.reportCrash(index, c), Result{Outcome: OutcomeAccepted}
	case ReplaceDocument:
		return s.replaceDocument(index, c)
	}
	return s, Result{}
}

// runOnce runs an edit unless a result is kept under its id, which it then
// returns. This makes resent edits idempotent.
func (s State) runOnce(id string, c Command, run func() (State, Result)) (State, Result) {
	digest := editDigest(c)
	if kept, ok := s.Result(id); ok {
		if kept.Digest != digest {
			return s, rejected(s, "edit id "+id+" was used for another edit; use a new id")
		}
		return s, kept
	}
	next, result := run()
	if begin, ok := c.(BeginMove); ok && begin.AllowUnannounced && result.Outcome == OutcomeRefused {
		return next, result // Not kept: the first announcement of a target can change the outcome.
	}
	result.EditID, result.Digest = id, digest
	return next.WithResult(result), result
}

// rejected returns the result of a rejected command.
func rejected(s State, message string) Result {
	return Result{Outcome: OutcomeRefused, Version: s.Version, Message: message}
}

// editSection applies an edit of a section if it is based on the current revision
// and the merged document is valid with it.
func (s State) editSection(index uint64, c EditSection) (State, Result) {
	sec, exists := s.Section(c.Section)
	if !exists {
		sec = Section{Name: c.Section, Team: c.Team}
	}
	if sec.Team != c.Team {
		return s, rejected(s, fmt.Sprintf("section %q belongs to team %q", c.Section, sec.Team))
	}
	if sec.Current.Number != c.BaseRevision {
		current := sec.Current
		return s, Result{Outcome: OutcomeConflict, Version: s.Version, Revision: current.Number, CurrentRevision: &current,
			Message: fmt.Sprintf("section %q is at revision %d, the edit was made on %d", c.Section, current.Number, c.BaseRevision)}
	}
	revision, message := nextRevision(sec, c)
	if message != "" {
		return s, rejected(s, message)
	}
	revision.Version = s.Version + 1
	next := s.WithSection(sec.WithRevision(revision))
	if _, err := validator.Merge(next.Sources()); err != nil {
		return s, rejectedWithLocation(s, err)
	}
	next.Version++
	next = next.WithEvent(Event{Index: index, At: c.At, Kind: eventKind("section", string(c.Action)), Subject: c.Section,
		Detail: fmt.Sprintf("revision %d by team %s", revision.Number, c.Team)})
	return next, Result{Outcome: OutcomeAccepted, Version: next.Version, Revision: revision.Number}
}

// eventKind returns the kind of an event: the subject and the action joined in
// camel case.
func eventKind(subject, action string) string {
	return subject + strings.ToUpper(action[:1]) + action[1:]
}

// rejectedWithLocation returns the result of an edit whose document is not valid,
// with the location of the error.
func rejectedWithLocation(s State, err error) Result {
	r := rejected(s, err.Error())
	var location *decoder.Error
	if errors.As(err, &location) {
		r.Location = location
	}
	return r
}

// nextRevision returns the revision that an edit makes, or the reason why the
// edit is rejected.
func nextRevision(sec Section, c EditSection) (Revision, string) {
	r := Revision{Number: sec.Current.Number + 1, EditID: c.EditID, Team: c.Team, At: c.At, Body: c.Body}
	switch c.Action {
	case ActionEdit:
		if !parser.ValidName(c.Section) {
			return r, fmt.Sprintf("section name %q is not valid; use lower-case letters, digits and hyphens", c.Section)
		}
		if sec.Current.Retired {
			return r, fmt.Sprintf("section %q is retired; restore it first", c.Section)
		}
	case ActionRetire:
		if sec.Current.Number == 0 || sec.Current.Retired {
			return r, fmt.Sprintf("section %q is not in force", c.Section)
		}
		r.Body, r.Retired = sec.Current.Body, true
	case ActionRestore:
		old, ok := sec.Find(c.RestoreRevision)
		if c.RestoreRevision == 0 {
			old, ok = sec.Current, sec.Current.Number > 0
		}
		if !ok {
			return r, fmt.Sprintf("section %q has no revision %d; see its history", c.Section, c.RestoreRevision)
		}
		r.Body = old.Body
	default:
		return r, fmt.Sprintf("unknown action %q", c.Action)
	}
	return r, ""
}

// beginMove starts a move of a service that has traffic and no running move.
func (s State) beginMove(index uint64, c BeginMove) (State, Result) {
	t, ok := s.Traffic(c.Service)
	if !ok {
		return s, rejected(s, fmt.Sprintf("no target of service %q has announced itself", c.Service))
	}
	if t.Move != nil && t.Move.Running() {
		return s, rejected(s, fmt.Sprintf("move %s of service %q is running; cancel it first", t.Move.ID, c.Service))
	}
	if message := s.moveRejection(t, c); message != "" {
		return s, rejected(s, message)
	}
	next := s.archiveMove(t)
	next.Version++
	t.Move = &Move{ID: c.EditID, Service: c.Service, From: t.ServingVersion, To: c.To, Deadline: c.Deadline,
		Preference: c.Preference, Phase: PhaseRunning, BegunAt: c.At}
	t.Modified = next.Version
	next = next.WithTraffic(t).WithEvent(Event{Index: index, At: c.At, Kind: "moveBegun", Subject: c.Service,
		Detail: fmt.Sprintf("%s to %s by %s", t.Move.From, t.Move.To, c.Deadline.UTC().Format(time.RFC3339))})
	return next, Result{Outcome: OutcomeAccepted, Version: next.Version, MoveID: c.EditID}
}

// moveRejection returns why a move cannot begin, or an empty string.
func (s State) moveRejection(t Traffic, c BeginMove) string {
	switch {
	case c.From != "" && c.From != t.ServingVersion:
		return fmt.Sprintf("service %q is served by version %q, not %q", c.Service, t.ServingVersion, c.From)
	case c.To == t.ServingVersion:
		return fmt.Sprintf("service %q is served by version %q already", c.Service, c.To)
	case !c.Deadline.After(c.At):
		return "the deadline has passed already"
	case c.Preference != PreferDeadline && c.Preference != PreferCaution:
		return fmt.Sprintf("unknown preference %q; use %s or %s", c.Preference, PreferDeadline, PreferCaution)
	case !c.AllowUnannounced && !s.hasAnnounced(c.Service, c.To):
		return fmt.Sprintf("no target of service %q runs version %q yet; start one and try again", c.Service, c.To)
	}
	return ""
}

// hasAnnounced reports whether any target of the service runs the version.
func (s State) hasAnnounced(service, version string) bool {
	return slices.ContainsFunc(s.Endpoints, func(e Endpoint) bool { return e.Service == service && e.Version == version })
}

// archiveMove appends the ended move of a service to PastMoves, before another
// move replaces it.
func (s State) archiveMove(t Traffic) State {
	if t.Move != nil {
		s.PastMoves = appendBounded(s.PastMoves, *t.Move, MaxEvents)
	}
	return s
}

// cancelMove ends the running move of a service on behalf of an operator.
func (s State) cancelMove(index uint64, c CancelMove) (State, Result) {
	t, ok := s.Traffic(c.Service)
	if !ok || t.Move == nil || !t.Move.Running() {
		return s, rejected(s, fmt.Sprintf("no move of service %q is running", c.Service))
	}
	next := s.endMove(index, t, PhaseCancelled, "cancelled by team "+c.Team, c.At)
	return next, Result{Outcome: OutcomeAccepted, Version: next.Version, MoveID: t.Move.ID}
}

// endMove ends a move. A rollback makes a new configuration version; the version
// number never decreases.
func (s State) endMove(index uint64, t Traffic, phase Phase, reason string, at time.Time) State {
	m := *t.Move
	m.Phase, m.Reason, m.EndedAt = phase, reason, at
	m.Share, m.UnsafeShare = 0, 0
	t.ServingVersion = m.From
	if phase == PhaseDone {
		m.Share, m.UnsafeShare = FullShare, FullShare
		t.ServingVersion = m.To
	}
	s.Version++
	t.Move, t.Modified = &m, s.Version
	return s.WithTraffic(t).WithEvent(Event{Index: index, At: at, Kind: eventKind("move", string(phase)), Subject: m.Service,
		Detail: fmt.Sprintf("%s to %s: %s", m.From, m.To, reason)})
}

// FullShare is the share of all traffic, in basis points.
const FullShare = 10_000

// stepMove applies a decision on a move unless the move has changed since.
func (s State) stepMove(index uint64, c StepMove) (State, Result) {
	t, ok := s.Traffic(c.Service)
	if !ok || t.Move == nil || t.Move.ID != c.MoveID {
		return s, rejected(s, "the move has ended")
	}
	// A finished move can still be rolled back while its new version is watched.
	watched := t.Move.Phase == PhaseDone && c.Phase == PhaseRolledBack
	if !watched && (!t.Move.Running() || t.Move.Share != c.OldShare) {
		return s, rejected(s, "the move has changed")
	}
	if c.Phase != PhaseRunning {
		next := s.endMove(index, t, c.Phase, c.Reason, c.At)
		return next, Result{Outcome: OutcomeAccepted, Version: next.Version}
	}
	m := *t.Move
	m.Share, m.UnsafeShare, m.Late, m.Reason = c.Share, c.UnsafeShare, c.Late, c.Reason
	next := s
	next.Version++
	t.Move, t.Modified = &m, next.Version
	next = next.WithTraffic(t)
	if c.Late && !s.isMoveLate(c.Service) {
		next = next.WithEvent(Event{Index: index, At: c.At, Kind: "moveLate", Subject: c.Service, Detail: c.Reason})
	}
	return next, Result{Outcome: OutcomeAccepted, Version: next.Version}
}

// isMoveLate reports whether the move of a service is marked as late.
func (s State) isMoveLate(service string) bool {
	t, _ := s.Traffic(service)
	return t.Move != nil && t.Move.Late
}
