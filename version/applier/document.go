package applier

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamrack/hornbeamrack/version/validator"
)

// DocumentTeam owns the sections of a document that is replaced as a whole.
const DocumentTeam = "document"

// Document describes the document that operators replace as a whole, next to the
// sections that teams edit. Its content is stored in sections of DocumentTeam.
type Document struct {
	Number uint64 `cbor:"1,keyasint" json:"number"` // Number is the version number that operators assign; 0 before the first document.
	Digest uint64 `cbor:"2,keyasint" json:"-"`      // Digest is the SourceDigest of Source.
	Source []byte `cbor:"3,keyasint" json:"source"` // Source is the document as it was received.
}

// DocumentID identifies a document that was accepted.
type DocumentID struct {
	Number uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
}

// DocumentSection is one section of a document. A section without a body is
// unchanged from the document that the edit is based on.
type DocumentSection struct {
	Name string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// ReplaceDocument replaces the whole document in one step. It is accepted only
// if the document in force has the number Base. The proposer has validated the
// merged content, which cannot change without a change of the number.
type ReplaceDocument struct {
	Number   uint64            `cbor:"1,keyasint"`
	Base     uint64            `cbor:"2,keyasint"`
	Source   []byte            `cbor:"3,keyasint"`
	Sections []DocumentSection `cbor:"4,keyasint"`
	At       time.Time         `cbor:"5,keyasint"`
}

// SourceDigest returns the digest of a document as it was received.
func SourceDigest(source []byte) uint64 { return xxhash.Sum64(source) }

// WasAccepted reports whether exactly this document is among the last
// MaxAcceptedDocuments accepted ones.
func (s State) WasAccepted(number uint64, source []byte) bool {
	return slices.Contains(s.AcceptedDocuments, DocumentID{number, SourceDigest(source)})
}

// replaceDocument applies a replacement of the document. It is idempotent: a
// document that was accepted before is accepted again without a change, whatever
// documents have followed it.
func (s State) replaceDocument(index uint64, c ReplaceDocument) (State, Result) {
	if s.WasAccepted(c.Number, c.Source) {
		return s, Result{Outcome: OutcomeAccepted, Version: s.Version, Revision: c.Number}
	}
	if s.Document.Number != c.Base {
		return s, Result{Outcome: OutcomeConflict, Version: s.Version, Revision: s.Document.Number,
			Message: fmt.Sprintf("the document in force is %d, the edit was made on %d", s.Document.Number, c.Base)}
	}
	if c.Number <= s.Document.Number {
		return s, rejected(s, fmt.Sprintf("document %d does not follow document %d", c.Number, s.Document.Number))
	}
	next := s
	next.Version++
	for _, p := range c.Sections {
		if len(p.Body) > 0 {
			next = next.WithSection(Section{Name: p.Name, Team: DocumentTeam,
				Current: Revision{Number: c.Number, Version: next.Version, Body: p.Body, Team: DocumentTeam, At: c.At}})
		}
	}
	next = next.retireMissingSections(c)
	if next.hasTeamSections() {
		// A team may have edited its section since the proposer validated.
		if _, err := validator.Merge(next.Sources()); err != nil {
			return s, rejectedWithLocation(s, err)
		}
	}
	next.Document = Document{Number: c.Number, Digest: SourceDigest(c.Source), Source: c.Source}
	next.AcceptedDocuments = appendBounded(s.AcceptedDocuments, DocumentID{c.Number, next.Document.Digest}, MaxAcceptedDocuments)
	next = next.WithEvent(Event{Index: index, At: c.At, Kind: "documentReplaced", Subject: fmt.Sprint(c.Number),
		Detail: fmt.Sprintf("in place of document %d", c.Base)})
	return next, Result{Outcome: OutcomeAccepted, Version: next.Version, Revision: c.Number}
}

// retireMissingSections retires the sections of the old document that the new one
// does not have.
func (s State) retireMissingSections(c ReplaceDocument) State {
	isInDocument := func(name string) bool {
		return slices.ContainsFunc(c.Sections, func(p DocumentSection) bool { return p.Name == name })
	}
	for _, sec := range s.Sections {
		if sec.Team != DocumentTeam || sec.Current.Retired || isInDocument(sec.Name) {
			continue
		}
		sec.Current = Revision{Number: c.Number, Version: s.Version, Retired: true, Team: DocumentTeam, At: c.At}
		s = s.WithSection(sec)
	}
	return s
}

// hasTeamSections reports whether any section in force belongs to a team other
// than DocumentTeam.
func (s State) hasTeamSections() bool {
	return slices.ContainsFunc(s.Sections, func(sec Section) bool { return sec.Team != DocumentTeam && !sec.Current.Retired })
}
