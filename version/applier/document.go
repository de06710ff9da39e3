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

// Document is the document that operators replace as a whole, beside the
// sections that teams edit. Its content is in sections of DocumentTeam.
type Document struct {
	Number uint64 `cbor:"1,keyasint" json:"number"` // Number is the operators' own version number; 0 before the first.
	Digest uint64 `cbor:"2,keyasint" json:"-"`
	Source []byte `cbor:"3,keyasint" json:"source"` // Source is the document as it was sent.
}

// DocumentID identifies a document that was accepted.
type DocumentID struct {
	Number uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
}

// DocumentSection is one section of a document. A part without a body is the same
// as in the document that the edit is based on.
type DocumentSection struct {
	Name string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// ReplaceDocument replaces the whole document in one step. It is accepted only
// if the document in force has the number Base. Whoever proposes it has checked
// the merged content, which cannot change without the number.
type ReplaceDocument struct {
	Number   uint64            `cbor:"1,keyasint"`
	Base     uint64            `cbor:"2,keyasint"`
	Source   []byte            `cbor:"3,keyasint"`
	Sections []DocumentSection `cbor:"4,keyasint"`
	At       time.Time         `cbor:"5,keyasint"`
}

// SourceDigest identifies a document as it was sent.
func SourceDigest(source []byte) uint64 { return xxhash.Sum64(source) }

// WasAccepted reports whether exactly this document was accepted at any time.
func (s State) WasAccepted(number uint64, source []byte) bool {
	return slices.Contains(s.AcceptedDocuments, DocumentID{number, SourceDigest(source)})
}

// replaceDocument is idempotent: a document that was accepted is accepted
// again, whatever has followed it.
func (s State) replaceDocument(index uint64, c ReplaceDocument) (State, Result) {
	if s.WasAccepted(c.Number, c.Source) {
		return s, Result{Outcome: OutcomeAccepted, Version: s.Version, Revision: c.Number}
	}
	if s.Document.Number != c.Base {
		return s, Result{Outcome: OutcomeConflict, Version: s.Version, Revision: s.Document.Number,
			Message: fmt.Sprintf("the document in force is %d, the edit was made on %d", s.Document.Number, c.Base)}
	}
	if c.Number <= s.Document.Number {
		return s, refused(s, fmt.Sprintf("document %d does not follow document %d", c.Number, s.Document.Number))
	}
	next := s
	next.Version++
	for _, p := range c.Sections {
		if len(p.Body) > 0 {
			next = next.WithSection(Section{Name: p.Name, Team: DocumentTeam,
				Current: Revision{Number: c.Number, Version: next.Version, Body: p.Body, Team: DocumentTeam, At: c.At}})
		}
	}
	next = next.withoutParts(c)
	if next.hasTeamSections() {
		// A team may have edited its section since the proposer looked.
		if _, err := validator.Merge(next.Sources()); err != nil {
			return s, refusedAt(s, err)
		}
	}
	next.Document = Document{Number: c.Number, Digest: SourceDigest(c.Source), Source: c.Source}
	next.AcceptedDocuments = withBounded(s.AcceptedDocuments, DocumentID{c.Number, next.Document.Digest}, MaxAcceptedDocuments)
	next = next.WithEvent(Event{Index: index, At: c.At, Kind: "documentReplaced", Subject: fmt.Sprint(c.Number),
		Detail: fmt.Sprintf("in place of document %d", c.Base)})
	return next, Result{Outcome: OutcomeAccepted, Version: next.Version, Revision: c.Number}
}

// withoutParts retires the sections of the document that it no longer has.
func (s State) withoutParts(c ReplaceDocument) State {
	named := func(name string) bool {
		return slices.ContainsFunc(c.Sections, func(p DocumentSection) bool { return p.Name == name })
	}
	for _, sec := range s.Sections {
		if sec.Team != DocumentTeam || sec.Current.Retired || named(sec.Name) {
			continue
		}
		sec.Current = Revision{Number: c.Number, Version: s.Version, Retired: true, Team: DocumentTeam, At: c.At}
		s = s.WithSection(sec)
	}
	return s
}

func (s State) hasTeamSections() bool {
	return slices.ContainsFunc(s.Sections, func(sec Section) bool { return sec.Team != DocumentTeam && !sec.Current.Retired })
}
