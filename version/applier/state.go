package applier

import (
	"slices"
	"strings"
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
	"github.com/hornbeamrack/hornbeamrack/version/validator"
)

const (
	// MaxHistory is the number of earlier revisions kept of each section.
	MaxHistory = 50
	// MaxResults is the number of edit results kept to answer resent edits.
	MaxResults = 10_000
	// MaxEvents is the number of events kept for operators.
	MaxEvents = 2_000
	// MaxAcceptedDocuments is the number of accepted documents whose identity is
	// kept to recognise resends.
	MaxAcceptedDocuments = 4_096
	// MaxRemovedEndpoints is the number of removed endpoints kept for updates that
	// hold only the difference.
	MaxRemovedEndpoints = 4_096
)

// Revision is one accepted text of a section.
type Revision struct {
	Number  uint64    `cbor:"1,keyasint" json:"revision"`
	Version uint64    `cbor:"2,keyasint" json:"version"`
	Body    []byte    `cbor:"3,keyasint" json:"body"`
	Retired bool      `cbor:"4,keyasint,omitempty" json:"retired"`
	EditID  string    `cbor:"5,keyasint" json:"editId"`
	Team    string    `cbor:"6,keyasint" json:"team"`
	At      time.Time `cbor:"7,keyasint" json:"at"`
}

// Section is one team's part of the document. A retired section stays in the
// state with its history, so that it can be restored at any later time.
type Section struct {
	Name    string     `cbor:"1,keyasint" json:"name"`
	Team    string     `cbor:"2,keyasint" json:"team"`
	Current Revision   `cbor:"3,keyasint" json:"current"`
	History []Revision `cbor:"4,keyasint,omitempty" json:"history,omitempty"`
}

// WithRevision returns the section with a new current revision. The previous
// revision moves to the history; the oldest revisions beyond MaxHistory are
// dropped, but never the newest text that was in force.
func (s Section) WithRevision(r Revision) Section {
	history := append(slices.Clone(s.History), s.Current)
	if s.Current.Number == 0 {
		history = nil
	}
	if len(history) > MaxHistory {
		history = history[len(history)-MaxHistory:]
	}
	s.Current, s.History = r, history
	return s
}

// Find returns the revision with the given number, false if it is not kept.
func (s Section) Find(number uint64) (Revision, bool) {
	if s.Current.Number == number {
		return s.Current, true
	}
	i := slices.IndexFunc(s.History, func(r Revision) bool { return r.Number == number })
	if i < 0 {
		return Revision{}, false
	}
	return s.History[i], true
}

// Phase is the phase of a move.
type Phase string

// The phases of a move.
const (
	PhaseRunning    Phase = "running"
	PhaseDone       Phase = "done"
	PhaseRolledBack Phase = "takenBack"
	PhaseCancelled  Phase = "cancelled"
)

// Preference decides whether a move with too little evidence continues, to meet
// its deadline, or waits.
type Preference string

// The preferences of a move.
const (
	PreferDeadline Preference = "deadline"
	PreferCaution  Preference = "caution"
)

// Move shifts a service's traffic gradually from one target version to another by
// a deadline. Shares are in basis points, hundredths of a percent.
type Move struct {
	ID          string     `cbor:"1,keyasint" json:"id"`
	Service     string     `cbor:"2,keyasint" json:"service"`
	From        string     `cbor:"3,keyasint" json:"from"`
	To          string     `cbor:"4,keyasint" json:"to"`
	Deadline    time.Time  `cbor:"5,keyasint" json:"deadline"`
	Preference  Preference `cbor:"6,keyasint" json:"preference"`
	Phase       Phase      `cbor:"7,keyasint" json:"phase"`
	Share       int        `cbor:"8,keyasint" json:"share"`
	UnsafeShare int        `cbor:"9,keyasint" json:"unsafeShare"` // UnsafeShare is the share of requests that are not idempotent.
	Reason      string     `cbor:"10,keyasint,omitempty" json:"reason,omitempty"`
	BegunAt     time.Time  `cbor:"11,keyasint" json:"begunAt"`
	EndedAt     time.Time  `cbor:"12,keyasint,omitempty" json:"endedAt"`
	Late        bool       `cbor:"13,keyasint,omitempty" json:"late,omitempty"` // Late is whether the deadline cannot be met any more.
}

// Running reports whether the move still shifts traffic.
func (m Move) Running() bool { return m.Phase == PhaseRunning }

// Traffic is the distribution of a service's requests over its target versions.
type Traffic struct {
	Service        string `cbor:"1,keyasint" json:"service"`
	ServingVersion string `cbor:"2,keyasint" json:"serving"` // ServingVersion gets all requests that no move shifts away.
	Move           *Move  `cbor:"3,keyasint,omitempty" json:"move,omitempty"`
	Modified       uint64 `cbor:"4,keyasint" json:"modified"` // Modified is the configuration version of the last change.
}

// EndpointKey identifies one target in the whole mesh.
type EndpointKey struct {
	Node   string `cbor:"1,keyasint" json:"node"`
	Target string `cbor:"2,keyasint" json:"target"`
}

// String returns node and target joined by a slash.
func (k EndpointKey) String() string { return k.Node + "/" + k.Target }

// Compare orders keys by node, then by target.
func (k EndpointKey) Compare(o EndpointKey) int {
	if c := strings.Compare(k.Node, o.Node); c != 0 {
		return c
	}
	return strings.Compare(k.Target, o.Target)
}

// Endpoint is one target as announced by its node.
type Endpoint struct {
	EndpointKey
	Incarnation uint64 `cbor:"3,keyasint" json:"incarnation"` // Incarnation is the incarnation of the node.
	Address     string `cbor:"4,keyasint" json:"address"`     // Address is the address of the node for requests from other nodes.
	DataCentre  string `cbor:"5,keyasint" json:"dataCentre"`
	Service     string `cbor:"6,keyasint" json:"service"`
	Version     string `cbor:"7,keyasint" json:"version"`
	Slots       int    `cbor:"8,keyasint" json:"slots"`
	Connections int    `cbor:"9,keyasint" json:"connections"`
	Modified    uint64 `cbor:"10,keyasint" json:"modified"`  // Modified is the endpoint revision of the last change.
	StartedAt   int64  `cbor:"11,keyasint" json:"startedAt"` // StartedAt is the start time of the target in Unix milliseconds.
}

// equalExceptModified reports whether two endpoints differ in nothing but
// Modified.
func (e Endpoint) equalExceptModified(o Endpoint) bool {
	e.Modified, o.Modified = 0, 0
	return e == o
}

// RemovedEndpoint records the revision in which an endpoint was removed.
type RemovedEndpoint struct {
	EndpointKey
	Revision uint64 `cbor:"3,keyasint"`
}

// Outcome is the outcome of an edit.
type Outcome string

// The outcomes of edits.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeConflict Outcome = "conflict"
	OutcomeRefused  Outcome = "refused"
)

// Result is the result of an edit. It is kept, so that an edit that is resent
// under the same id gets the same result. The state keeps up to MaxResults results.
type Result struct {
	EditID          string         `cbor:"1,keyasint" json:"editId"`
	Digest          uint64         `cbor:"2,keyasint" json:"-"` // Digest is a digest of the content of the edit.
	Outcome         Outcome        `cbor:"3,keyasint" json:"outcome"`
	Version         uint64         `cbor:"4,keyasint" json:"version"`
	Revision        uint64         `cbor:"5,keyasint,omitempty" json:"revision,omitempty"`
	Message         string         `cbor:"6,keyasint,omitempty" json:"message,omitempty"`
	Location        *decoder.Error `cbor:"7,keyasint,omitempty" json:"place,omitempty"`  // Location is the place of an error in the document.
	CurrentRevision *Revision      `cbor:"8,keyasint,omitempty" json:"winner,omitempty"` // CurrentRevision is the revision in force that a conflicting edit is not based on.
	MoveID          string         `cbor:"9,keyasint,omitempty" json:"moveId,omitempty"`
}

// Event is one entry of the event list for operators.
type Event struct {
	Index   uint64    `cbor:"1,keyasint" json:"index"`
	At      time.Time `cbor:"2,keyasint" json:"at"`
	Kind    string    `cbor:"3,keyasint" json:"kind"`
	Subject string    `cbor:"4,keyasint" json:"subject"`
	Detail  string    `cbor:"5,keyasint" json:"detail"`
	Version uint64    `cbor:"6,keyasint" json:"version"`
}

// State is everything that the control hosts replicate except claims. A State is
// immutable; each command makes a new one. Sections, traffics and endpoints are
// sorted by their keys, the other lists by age.
type State struct {
	Version             uint64            `cbor:"1,keyasint"`
	Sections            []Section         `cbor:"2,keyasint"`
	Traffics            []Traffic         `cbor:"3,keyasint"`
	Revision            uint64            `cbor:"4,keyasint"` // Revision counts the changes of the endpoints.
	Endpoints           []Endpoint        `cbor:"5,keyasint"`
	RemovedEndpoints    []RemovedEndpoint `cbor:"6,keyasint"`
	RemovalsTruncatedAt uint64            `cbor:"7,keyasint"` // RemovalsTruncatedAt is the newest revision whose removals have been dropped.
	Results             []Result          `cbor:"8,keyasint"`
	Events              []Event           `cbor:"9,keyasint"`
	PastMoves           []Move            `cbor:"10,keyasint"`
	PoisonRequests      []PoisonRequest   `cbor:"11,keyasint"`
	Document            Document          `cbor:"12,keyasint"`
	AcceptedDocuments   []DocumentID      `cbor:"13,keyasint"` // AcceptedDocuments are the last accepted documents, oldest first.
	Departures          []Departure       `cbor:"14,keyasint,omitempty"`
	CountedCrashes      []CountedCrash    `cbor:"15,keyasint,omitempty"`
	PoisonChanges       uint64            `cbor:"16,keyasint,omitempty"` // PoisonChanges counts the changes of PoisonRequests that leave Revision as it is.
}

// Section returns a section by name, false if there is none.
func (s State) Section(name string) (Section, bool) {
	i, ok := slices.BinarySearchFunc(s.Sections, name, func(sec Section, n string) int { return strings.Compare(sec.Name, n) })
	if !ok {
		return Section{}, false
	}
	return s.Sections[i], true
}

// Traffic returns the traffic of a service, false if there is none.
func (s State) Traffic(service string) (Traffic, bool) {
	i, ok := slices.BinarySearchFunc(s.Traffics, service, func(t Traffic, n string) int { return strings.Compare(t.Service, n) })
	if !ok {
		return Traffic{}, false
	}
	return s.Traffics[i], true
}

// Result returns the kept result of an edit, false if there is none.
func (s State) Result(editID string) (Result, bool) {
	i := slices.IndexFunc(s.Results, func(r Result) bool { return r.EditID == editID })
	if i < 0 {
		return Result{}, false
	}
	return s.Results[i], true
}

// Sources returns the sections that are in force.
func (s State) Sources() []validator.Source {
	var out []validator.Source
	for _, sec := range s.Sections {
		if !sec.Current.Retired {
			out = append(out, validator.Source{Name: sec.Name, Body: sec.Current.Body})
		}
	}
	return out
}

// WithSection returns the state with one section added or replaced.
func (s State) WithSection(sec Section) State {
	s.Sections = insertSorted(s.Sections, sec, func(a, b Section) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// WithTraffic returns the state with one service's traffic added or replaced.
func (s State) WithTraffic(t Traffic) State {
	s.Traffics = insertSorted(s.Traffics, t, func(a, b Traffic) int { return strings.Compare(a.Service, b.Service) })
	return s
}

// WithResult returns the state with one more kept result.
func (s State) WithResult(r Result) State {
	s.Results = appendBounded(s.Results, r, MaxResults)
	return s
}

// WithEvent returns the state with one more event.
func (s State) WithEvent(e Event) State {
	e.Version = s.Version
	s.Events = appendBounded(s.Events, e, MaxEvents)
	return s
}

// insertSorted returns a sorted copy of list in which v replaces the element that
// compares equal, or is inserted.
func insertSorted[T any](list []T, v T, compare func(a, b T) int) []T {
	i, ok := slices.BinarySearchFunc(list, v, compare)
	out := slices.Clone(list)
	if ok {
		out[i] = v
		return out
	}
	return slices.Insert(out, i, v)
}

// appendBounded returns a copy of list with v at the end, without the oldest
// elements beyond limit.
func appendBounded[T any](list []T, v T, limit int) []T {
	if len(list) >= limit {
		list = list[len(list)-limit+1:]
	}
	out := make([]T, 0, len(list)+1)
	out = append(out, list...)
	return append(out, v)
}
