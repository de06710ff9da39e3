package applier

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hornbeamrack/hornbeamrack/common/encoder"
	"github.com/pkg/errors"
)

// Command is a change of the state. At is set by the leader that proposes it,
// so that every host sees the same time.
type Command interface{ isCommand() }

// Action tells what an edit does with its section.
type Action string

// The actions of edits.
const (
	ActionEdit    Action = "edit"
	ActionRetire  Action = "retire"
	ActionRestore Action = "restore"
)

// EditSection changes one section. BaseRevision is the revision that the
// operator saw; 0 means that the section is new.
type EditSection struct {
	EditID          string    `cbor:"1,keyasint"`
	Section         string    `cbor:"2,keyasint"`
	Team            string    `cbor:"3,keyasint"`
	Action          Action    `cbor:"4,keyasint"`
	BaseRevision    uint64    `cbor:"5,keyasint"`
	Body            []byte    `cbor:"6,keyasint,omitempty"`
	RestoreRevision uint64    `cbor:"7,keyasint,omitempty"` // Restore is the revision to restore; 0 takes the last that was in force.
	At              time.Time `cbor:"8,keyasint"`
}

// BeginMove starts to carry a service's traffic to another target version.
type BeginMove struct {
	EditID     string     `cbor:"1,keyasint"`
	Service    string     `cbor:"2,keyasint"`
	From       string     `cbor:"3,keyasint"`
	To         string     `cbor:"4,keyasint"`
	Deadline   time.Time  `cbor:"5,keyasint"`
	Preference Preference `cbor:"6,keyasint"`
	Team       string     `cbor:"7,keyasint"`
	At         time.Time  `cbor:"8,keyasint"`
	// AllowUnannounced lets the move begin before a target of the version has announced itself.
	AllowUnannounced bool `cbor:"9,keyasint,omitempty"`
}

// CancelMove ends a running move; all traffic goes back to the old version.
type CancelMove struct {
	EditID  string    `cbor:"1,keyasint"`
	Service string    `cbor:"2,keyasint"`
	Team    string    `cbor:"3,keyasint"`
	At      time.Time `cbor:"4,keyasint"`
}

// StepMove is the decider's next step. It counts only while the move is still
// at OldShare, so that a decision made on an older state is dropped.
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

// Announcement is the whole list of targets at one node.
type Announcement struct {
	Node        string     `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	Endpoints   []Endpoint `cbor:"3,keyasint"`
}

// Announce takes in the lists of several nodes.
type Announce struct {
	Announcements []Announcement `cbor:"1,keyasint"`
	At            time.Time      `cbor:"2,keyasint"`
}

// NodeID is a node in one of its lives.
type NodeID struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// ExpireNodes removes the targets of nodes whose lease has run out.
type ExpireNodes struct {
	Nodes []NodeID  `cbor:"1,keyasint"`
	At    time.Time `cbor:"2,keyasint"`
}

// ReportCrash says that a target died with a request in flight.
type ReportCrash struct {
	Service   string    `cbor:"1,keyasint"`
	Signature uint64    `cbor:"2,keyasint"`
	Node      string    `cbor:"3,keyasint"`
	At        time.Time `cbor:"4,keyasint"`
}

func (ReplaceDocument) isCommand() {}
func (ReportCrash) isCommand()     {}
func (EditSection) isCommand()     {}
func (BeginMove) isCommand()       {}
func (CancelMove) isCommand()      {}
func (StepMove) isCommand()        {}
func (Announce) isCommand()        {}
func (ExpireNodes) isCommand()     {}

// record is a command in the log.
type record struct {
	Edit     *EditSection     `cbor:"1,keyasint,omitempty"`
	Begin    *BeginMove       `cbor:"2,keyasint,omitempty"`
	Cancel   *CancelMove      `cbor:"3,keyasint,omitempty"`
	Step     *StepMove        `cbor:"4,keyasint,omitempty"`
	Announce *Announce        `cbor:"5,keyasint,omitempty"`
	Expire   *ExpireNodes     `cbor:"6,keyasint,omitempty"`
	Crash    *ReportCrash     `cbor:"7,keyasint,omitempty"`
	Replace  *ReplaceDocument `cbor:"8,keyasint,omitempty"`
}

// Encode writes a command for the log.
func Encode(c Command) ([]byte, error) {
	var r record
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
	b, err := encoder.Marshal(r)
	if err != nil {
		return nil, &Error{"encode", KindCorrupt, err}
	}
	return b, nil
}

// Decode reads a command from the log.
func Decode(b []byte) (Command, error) {
	var r record
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
	return nil, &Error{"decode", KindCorrupt, errors.New("empty command")}
}

// digest identifies what an edit asks for, leaving its time out.
func digest(c Command) uint64 {
	switch e := c.(type) {
	case EditSection:
		e.At = time.Time{}
		c = e
	case BeginMove:
		e.At = time.Time{}
		if e.AllowUnannounced {
			e.Deadline = time.Time{} // It was worked out anew from the length of the move.
		}
		c = e
	case CancelMove:
		e.At = time.Time{}
		c = e
	}
	b, err := Encode(c)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}
