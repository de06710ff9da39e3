package applier

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/pkg/errors"
)

// Command is a change of the state. The leader that proposes a command sets its
// field At, so that every host applies it with the same time.
type Command interface{ isCommand() }

// Action is the change that an edit makes to its section.
type Action string

// The actions of edits.
const (
	ActionEdit    Action = "edit"
	ActionRetire  Action = "retire"
	ActionRestore Action = "restore"
)

// EditSection changes one section. BaseRevision is the revision that the edit is
// based on; 0 means that the section is new.
type EditSection struct {
	EditID          string    `cbor:"1,keyasint"`
	Section         string    `cbor:"2,keyasint"`
	Team            string    `cbor:"3,keyasint"`
	Action          Action    `cbor:"4,keyasint"`
	BaseRevision    uint64    `cbor:"5,keyasint"`
	Body            []byte    `cbor:"6,keyasint,omitempty"`
	RestoreRevision uint64    `cbor:"7,keyasint,omitempty"` // RestoreRevision is the revision to restore; 0 restores the last one in force.
	At              time.Time `cbor:"8,keyasint"`
}

// BeginMove starts a move, which shifts a service's traffic to another target
// version by the deadline.
type BeginMove struct {
	EditID     string     `cbor:"1,keyasint"`
	Service    string     `cbor:"2,keyasint"`
	From       string     `cbor:"3,keyasint"`
	To         string     `cbor:"4,keyasint"`
	Deadline   time.Time  `cbor:"5,keyasint"`
	Preference Preference `cbor:"6,keyasint"`
	Team       string     `cbor:"7,keyasint"`
	At         time.Time  `cbor:"8,keyasint"`
	// AllowUnannounced lets the move begin before any target of the version has
	// announced itself.
	AllowUnannounced bool `cbor:"9,keyasint,omitempty"`
}

// CancelMove ends a running move; all traffic returns to the old version.
type CancelMove struct {
	EditID  string    `cbor:"1,keyasint"`
	Service string    `cbor:"2,keyasint"`
	Team    string    `cbor:"3,keyasint"`
	At      time.Time `cbor:"4,keyasint"`
}

// StepMove applies the next step of the decider. It takes effect only while the
// share of the move is OldShare, so that a decision on an older state is
// dropped. Shares are in basis points.
type StepMove struct {
	MoveID      string    `cbor:"1,keyasint"`
	Service     string    `cbor:"2,keyasint"`
	OldShare    int       `cbor:"3,keyasint"`
	Share       int       `cbor:"4,keyasint"`
	UnsafeShare int       `cbor:"5,keyasint"`
	Phase       Phase     `cbor:"6,keyasint"`
	Reason      string    `cbor:"7,keyasint,omitempty"`
	Late        bool      `cbor:"8,keyasint,omitempty"`
	At          time.Time `cbor:"9,keyasint"`
}

// Announcement is the complete list of the targets at one node, and the targets that have
// left since the last accepted one.
type Announcement struct {
	Node        string      `cbor:"1,keyasint"`
	Incarnation uint64      `cbor:"2,keyasint"`
	Endpoints   []Endpoint  `cbor:"3,keyasint"`
	Departures  []Departure `cbor:"4,keyasint,omitempty"`
}

// Announce replaces the target lists of several nodes and carries what nodes report
// about served requests. Hosts of an earlier build ignore Served, where a command of its
// own would be an error to them.
type Announce struct {
	Announcements []Announcement  `cbor:"1,keyasint"`
	At            time.Time       `cbor:"2,keyasint"`
	Served        []ServedRequest `cbor:"3,keyasint,omitempty"`
}

// NodeID identifies one incarnation of a node.
type NodeID struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// ExpireNodes removes the targets of nodes whose lease has run out.
type ExpireNodes struct {
	Nodes []NodeID  `cbor:"1,keyasint"`
	At    time.Time `cbor:"2,keyasint"`
}

// ReportCrash reports that a target crashed while a request was in flight. A report
// without a Target is from a node of an earlier build, which sends one for each run in
// flight instead of one for each crash.
type ReportCrash struct {
	Service   string    `cbor:"1,keyasint"`
	Signature uint64    `cbor:"2,keyasint"`
	Node      string    `cbor:"3,keyasint"`
	At        time.Time `cbor:"4,keyasint"`
	Crash     CrashID   `cbor:"5,keyasint"`
	// Served means that a target at the node served the request not long before.
	Served bool `cbor:"6,keyasint,omitempty"`
	// KnownIndex is the PoisonRequest.Index that the node had when the run began, 0 when
	// no crash was known.
	KnownIndex uint64 `cbor:"7,keyasint,omitempty"`
}

// ServedRequest reports that a target served a request that was in flight at crashes.
type ServedRequest struct {
	Service   string `cbor:"1,keyasint"`
	Signature uint64 `cbor:"2,keyasint"`
	// KnownIndex is the PoisonRequest.Index that the node had when the run began, 0 when
	// no crash was known.
	KnownIndex uint64 `cbor:"3,keyasint,omitempty"`
}

func (ReplaceDocument) isCommand() {}
func (ReportCrash) isCommand()     {}
func (EditSection) isCommand()     {}
func (BeginMove) isCommand()       {}
func (CancelMove) isCommand()      {}
func (StepMove) isCommand()        {}
func (Announce) isCommand()        {}
func (ExpireNodes) isCommand()     {}

// commandRecord is the encoding of a command in the log; one field is set.
type commandRecord struct {
	Edit     *EditSection     `cbor:"1,keyasint,omitempty"`
	Begin    *BeginMove       `cbor:"2,keyasint,omitempty"`
	Cancel   *CancelMove      `cbor:"3,keyasint,omitempty"`
	Step     *StepMove        `cbor:"4,keyasint,omitempty"`
	Announce *Announce        `cbor:"5,keyasint,omitempty"`
	Expire   *ExpireNodes     `cbor:"6,keyasint,omitempty"`
	Crash    *ReportCrash     `cbor:"7,keyasint,omitempty"`
	Replace  *ReplaceDocument `cbor:"8,keyasint,omitempty"`
}

// Encode returns a command as it is stored in the log. It returns an error of KindCorrupt
// for a command that Decode rejects, since no host could apply it. The lists of an
// Announce are encoded without the endpoints that no node can have announced, so that an
// odd one affects neither the others nor the hosts that apply the command.
func Encode(c Command) ([]byte, error) {
	if a, ok := c.(Announce); ok {
		c = a.withoutInvalid()
	}
	b, err := marshal(c)
	if err == nil {
		_, err = Decode(b)
	}
	if err != nil {
		return nil, &Error{"encode", KindCorrupt, err}
	}
	return b, nil
}

// marshal returns the encoding of a command without a check of its content.
func marshal(c Command) ([]byte, error) {
	var r commandRecord
	switch c := c.(type) {
	case EditSection:
		r.Edit = &c
	case BeginMove:
		r.Begin = &c
	case CancelMove:
		r.Cancel = &c
	case StepMove:
		r.Step = &c
	case Announce:
		r.Announce = &c
	case ExpireNodes:
		r.Expire = &c
	case ReportCrash:
		r.Crash = &c
	case ReplaceDocument:
		r.Replace = &c
	}
	return encoder.Marshal(r)
}

// Decode returns the command of a log entry, or an error of KindCorrupt.
func Decode(b []byte) (Command, error) {
	var r commandRecord
	if err := encoder.Unmarshal(b, &r); err != nil {
		return nil, &Error{"decode", KindCorrupt, err}
	}
	switch {
	case r.Edit != nil:
		return *r.Edit, nil
	case r.Begin != nil:
		return *r.Begin, nil
	case r.Cancel != nil:
		return *r.Cancel, nil
	case r.Step != nil:
		return *r.Step, nil
	case r.Announce != nil:
		return *r.Announce, nil
	case r.Expire != nil:
		return *r.Expire, nil
	case r.Crash != nil:
		return *r.Crash, nil
	case r.Replace != nil:
		return *r.Replace, nil
	}
	return nil, &Error{"decode", KindCorrupt, errors.New("the log entry contains no command")}
}

// editDigest returns a digest of the content of an edit without its time, so that
// a resent edit has the same digest.
func editDigest(c Command) uint64 {
	switch e := c.(type) {
	case EditSection:
		e.At = time.Time{}
		c = e
	case BeginMove:
		e.At = time.Time{}
		if e.AllowUnannounced {
			e.Deadline = time.Time{} // Each resend computes it anew from the duration of the move.
		}
		c = e
	case CancelMove:
		e.At = time.Time{}
		c = e
	}
	b, err := marshal(c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}
