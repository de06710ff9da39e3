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
	// MaxResults is the number of edit results kept for resent edits.
	MaxResults = 10_000
	// MaxEvents is the number of events kept for operators.
	MaxEvents = 2_000
	// MaxAcceptedDocuments is the number of accepted documents that are remembered for resends.
	MaxAcceptedDocuments = 4_096
	// MaxRemovedEndpoints is the number of removed endpoints that deltas can still name.
	MaxRemovedEndpoints = 4_096
	// MaxPoisonRequests is the number of requests that are remembered for crashes.
	MaxPoisonRequests = 64
	// PoisonRequestTTL is how long a request is remembered after its last crash.
	PoisonRequestTTL = time.Hour
	// CrashThreshold is the number of crashes after which a request is refused.
	CrashThreshold = 2
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

// Section is one team's part of the document. A retired section stays here
// with its history, so that it can be restored after any time.
type Section struct {
	Name    string     `cbor:"1,keyasint" json:"name"`
	Team    string     `cbor:"2,keyasint" json:"team"`
	Current Revision   `cbor:"3,keyasint" json:"current"`
	History []Revision `cbor:"4,keyasint,omitempty" json:"history,omitempty"`
}

// WithRevision returns the section with a new current revision. The newest
// text that was in force is kept whatever the bound of the history is.
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

// Find returns the revision with the given number.
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

// Phase is how far a move has come.
type Phase string

// The phases of a move.
const (
	PhaseRunning    Phase = "running"
	PhaseDone       Phase = "done"
	PhaseRolledBack Phase = "takenBack"
	PhaseCancelled  Phase = "cancelled"
)

// Preference weighs a move's deadline against caution.
type Preference string

// The preferences of a move.
const (
	PreferDeadline Preference = "deadline"
	PreferCaution  Preference = "caution"
)

// Move carries a service's traffic from one target version to another by a
// deadline. Shares are in basis points, hundredths of a percent.
type Move struct {
	ID          string     `cbor:"1,keyasint" json:"id"`
	Service     string     `cbor:"2,keyasint" json:"service"`
	From        string     `cbor:"3,keyasint" json:"from"`
	To          string     `cbor:"4,keyasint" json:"to"`
	Deadline    time.Time  `cbor:"5,keyasint" json:"deadline"`
	Preference  Preference `cbor:"6,keyasint" json:"preference"`
	Phase       Phase      `cbor:"7,keyasint" json:"phase"`
	Share       int        `cbor:"8,keyasint" json:"share"`
	UnsafeShare int        `cbor:"9,keyasint" json:"unsafeShare"` // UnsafeShare is for routes that are not idempotent.
	Reason      string     `cbor:"10,keyasint,omitempty" json:"reason,omitempty"`
	BegunAt     time.Time  `cbor:"11,keyasint" json:"begunAt"`
	EndedAt     time.Time  `cbor:"12,keyasint,omitempty" json:"endedAt"`
	Late        bool       `cbor:"13,keyasint,omitempty" json:"late,omitempty"`
}

// Running reports whether the move still shifts traffic.
func (m Move) Running() bool { return m.Phase == PhaseRunning }

// Traffic tells which target version of a service gets which share.
type Traffic struct {
	Service        string `cbor:"1,keyasint" json:"service"`
	ServingVersion string `cbor:"2,keyasint" json:"serving"` // Serving is the version that gets what no move shifts away.
	Move           *Move  `cbor:"3,keyasint,omitempty" json:"move,omitempty"`
	Modified       uint64 `cbor:"4,keyasint" json:"modified"` // Modified is the configuration version of the last change.
}

// EndpointKey identifies one target for the whole mesh.
type EndpointKey struct {
	Node   string `cbor:"1,keyasint" json:"node"`
	Target string `cbor:"2,keyasint" json:"target"`
}

// String returns node and target joined by a slash.
func (k EndpointKey) String() string { return k.Node + "/" + k.Target }

// Compare orders keys.
func (k EndpointKey) Compare(o EndpointKey) int {
	if c := strings.Compare(k.Node, o.Node); c != 0 {
		return c
	}
	return strings.Compare(k.Target, o.Target)
}

// Endpoint is one target as its own node announced it.
type Endpoint struct {
	EndpointKey
	Incarnation uint64 `cbor:"3,keyasint" json:"incarnation"` // Incarnation is the node's.
	Address     string `cbor:"4,keyasint" json:"address"`     // Address is the node's for requests from other nodes.
	DataCentre  string `cbor:"5,keyasint" json:"dataCentre"`
	Service     string `cbor:"6,keyasint" json:"service"`
	Version     string `cbor:"7,keyasint" json:"version"`
	Slots       int    `cbor:"8,keyasint" json:"slots"`
	Connections int    `cbor:"9,keyasint" json:"connections"`
	Modified    uint64 `cbor:"10,keyasint" json:"modified"`  // Modified is the endpoint revision of the last change.
	StartedAt   int64  `cbor:"11,keyasint" json:"startedAt"` // StartedAt is the target's start in Unix milliseconds.
}

// same reports whether two announcements differ in nothing but the revision.
func (e Endpoint) same(o Endpoint) bool {
	e.Modified, o.Modified = 0, 0
	return e == o
}

// PoisonRequest is a request that was in flight when targets died.
type PoisonRequest struct {
	Service   string    `cbor:"1,keyasint" json:"service"`
	Signature uint64    `cbor:"2,keyasint" json:"signature"`
	Crashes   int       `cbor:"3,keyasint" json:"crashes"`
	ExpiresAt time.Time `cbor:"4,keyasint" json:"expiresAt"`
}

// RemovedEndpoint is an endpoint that was removed.
type RemovedEndpoint struct {
	EndpointKey
	Revision uint64 `cbor:"3,keyasint"`
}

// Outcome is how an edit ended.
type Outcome string

// The outcomes of edits.
const (
	OutcomeAccepted Outcome = "accepted"
	OutcomeConflict Outcome = "conflict"
	OutcomeRefused  Outcome = "refused"
)

// Result is the answer to an edit. It is kept, so that an edit that is sent
// again under the same id gets the same answer.
type Result struct {
	EditID          string         `cbor:"1,keyasint" json:"editId"`
	Digest          uint64         `cbor:"2,keyasint" json:"-"` // Digest identifies what the edit asked for.
	Outcome         Outcome        `cbor:"3,keyasint" json:"outcome"`
	Version         uint64         `cbor:"4,keyasint" json:"version"`
	Revision        uint64         `cbor:"5,keyasint,omitempty" json:"revision,omitempty"`
	Message         string         `cbor:"6,keyasint,omitempty" json:"message,omitempty"`
	Location        *decoder.Error `cbor:"7,keyasint,omitempty" json:"place,omitempty"`
	CurrentRevision *Revision      `cbor:"8,keyasint,omitempty" json:"winner,omitempty"` // Winner is what a conflicting edit lost to.
	MoveID          string         `cbor:"9,keyasint,omitempty" json:"moveId,omitempty"`
}

// Event is one change of state that operators read about.
type Event struct {
	Index   uint64    `cbor:"1,keyasint" json:"index"`
	At      time.Time `cbor:"2,keyasint" json:"at"`
	Kind    string    `cbor:"3,keyasint" json:"kind"`
	Subject string    `cbor:"4,keyasint" json:"subject"`
	Detail  string    `cbor:"5,keyasint" json:"detail"`
	Version uint64    `cbor:"6,keyasint" json:"version"`
}

// State is everything that the control hosts agree on but claims. A State
// never changes; each command makes a new one. All lists are sorted.
type State struct {
	Version             uint64            `cbor:"1,keyasint"`
	Sections            []Section         `cbor:"2,keyasint"`
	Traffics            []Traffic         `cbor:"3,keyasint"`
	Revision            uint64            `cbor:"4,keyasint"` // Revision counts changes of the endpoints.
	Endpoints           []Endpoint        `cbor:"5,keyasint"`
	RemovedEndpoints    []RemovedEndpoint `cbor:"6,keyasint"`
	RemovalsTruncatedAt uint64            `cbor:"7,keyasint"` // GoneFrom is the newest revision whose removals are forgotten.
	Results             []Result          `cbor:"8,keyasint"`
	Events              []Event           `cbor:"9,keyasint"`
	PastMoves           []Move            `cbor:"10,keyasint"`
	PoisonRequests      []PoisonRequest   `cbor:"11,keyasint"`
	Document            Document          `cbor:"12,keyasint"`
	AcceptedDocuments   []DocumentID      `cbor:"13,keyasint"` // Labels are the documents that were accepted, oldest first.
}

// Section returns a section by name.
func (s State) Section(name string) (Section, bool) {
	i, ok := slices.BinarySearchFunc(s.Sections, name, func(sec Section, n string) int { return strings.Compare(sec.Name, n) })
	if !ok {
		return Section{}, false
	}
	return s.Sections[i], true
}

// Traffic returns the traffic of a service.
func (s State) Traffic(service string) (Traffic, bool) {
	i, ok := slices.BinarySearchFunc(s.Traffics, service, func(t Traffic, n string) int { return strings.Compare(t.Service, n) })
	if !ok {
		return Traffic{}, false
	}
	return s.Traffics[i], true
}

// Result returns the kept answer to an edit.
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
	s.Sections = withSorted(s.Sections, sec, func(a, b Section) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// WithTraffic returns the state with one service's traffic replaced.
func (s State) WithTraffic(t Traffic) State {
	s.Traffics = withSorted(s.Traffics, t, func(a, b Traffic) int { return strings.Compare(a.Service, b.Service) })
	return s
}

// WithResult returns the state with one more kept answer.
func (s State) WithResult(r Result) State {
	s.Results = withBounded(s.Results, r, MaxResults)
	return s
}

// WithEvent returns the state with one more event.
func (s State) WithEvent(e Event) State {
	e.Version = s.Version
	s.Events = withBounded(s.Events, e, MaxEvents)
	return s
}

// withSorted returns a sorted copy that holds v in place of its equal.
func withSorted[T any](list []T, v T, compare func(a, b T) int) []T {
	i, ok := slices.BinarySearchFunc(list, v, compare)
	out := slices.Clone(list)
	if ok {
		out[i] = v
		return out
	}
	return slices.Insert(out, i, v)
}

// withBounded returns a copy with v at the end and at most limit elements.
func withBounded[T any](list []T, v T, limit int) []T {
	if len(list) >= limit {
		list = list[len(list)-limit+1:]
	}
	out := make([]T, 0, len(list)+1)
	out = append(out, list...)
	return append(out, v)
}
