package controller

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
	"github.com/hornbeamrack/hornbeamrack/version/validator"
)

const (
	// maxPackedBytes bounds the packed sections in force, and maxUnpackedBytes
	// the sections before they are packed. An update of a node holds the endpoints too.
	maxPackedBytes   = messenger.MaxNodeFrameBytes * 3 / 4
	maxUnpackedBytes = differ.MaxUpdateBytes * 3 / 4
)

// DocumentEdit is a request to replace the whole document.
type DocumentEdit struct {
	Number  uint64         // Number is the version number that the operators chose.
	Base    uint64         // Base is the number of the document that the edit is based on; 0 for the first document.
	Source  []byte         // Source is the document as received; it is returned to readers byte for byte.
	Content parser.Content // Content is the parsed Source.
}

// LinearizableState returns a state that includes everything accepted before the call
// (a linearizable read). It waits for a leader until ctx ends, then returns an
// error of KindNoLeader.
func (c *Controller) LinearizableState(ctx context.Context) (applier.State, error) {
	if !c.joined.Load() {
		return applier.State{}, &Error{"confirm", KindNoLeader, errors.New("this control host has not joined its groups yet")}
	}
	if err := c.readIndexers[configIndex].wait(ctx, time.Now().Add(operatorTimeout)); err != nil {
		return applier.State{}, err
	}
	return c.state.State(), nil
}

// ReplaceDocument replaces the document atomically. The edit is idempotent: an
// accepted document is accepted again whenever it is sent again. A rejected edit
// returns a result with the reason and no error.
func (c *Controller) ReplaceDocument(ctx context.Context, e DocumentEdit) (applier.Result, error) {
	s, err := c.LinearizableState(ctx)
	if err != nil {
		return applier.Result{}, err
	}
	cmd := applier.ReplaceDocument{Number: e.Number, Base: e.Base, Source: e.Source, At: time.Now()}
	if s.WasAccepted(e.Number, e.Source) || s.Document.Number != e.Base || e.Number <= s.Document.Number {
		// The state alone determines the result; the content is not needed.
		_, r := s.Next(0, cmd)
		return r, nil
	}
	if cmd.Sections, err = documentSections(s, e.Content); err != nil {
		return applier.Result{Outcome: applier.OutcomeRefused, Version: s.Version, Message: err.Error()}, nil
	}
	r, err := c.propose(ctx, cmd)
	c.Log.Info("replacement of the document requested", "number", e.Number, "base", e.Base, "inForce", s.Document.Number, "version", r.Version, "outcome", r.Outcome, "message", r.Message, "err", err)
	return r, err
}

// documentSections validates the content together with the teams' sections and
// splits it into sections. A section that the state already stores has no body.
func documentSections(s applier.State, content parser.Content) ([]applier.DocumentSection, error) {
	var sources []validator.Source
	var contents []parser.Content
	for _, sec := range s.Sections {
		if sec.Current.Retired || sec.Team == applier.DocumentTeam {
			continue
		}
		parsed, err := parser.Parse(sec.Name, sec.Current.Body)
		if err != nil {
			return nil, err
		}
		sources = append(sources, validator.Source{Name: sec.Name, Body: sec.Current.Body})
		contents = append(contents, parsed)
	}
	var sections []applier.DocumentSection
	for _, p := range parser.Split(content) {
		body, err := parser.Encode(p.Content)
		if err != nil {
			return nil, &Error{"document", KindEncoding, err}
		}
		sources = append(sources, validator.Source{Name: p.Name, Body: body})
		contents = append(contents, p.Content)
		section := applier.DocumentSection{Name: p.Name, Body: body}
		if sec, ok := s.Section(p.Name); ok && !sec.Current.Retired && bytes.Equal(sec.Current.Body, body) {
			section.Body = nil
		}
		sections = append(sections, section)
	}
	if _, err := validator.MergeParsed(sources, contents); err != nil {
		return nil, err
	}
	return sections, checkPackedSize(sources)
}

// checkPackedSize returns an Error of KindTooLarge when the sections do not fit into one
// update of a node.
func checkPackedSize(sources []validator.Source) error {
	var u differ.Update
	total := 0
	for _, s := range sources {
		total += len(s.Body)
		u.Sections = append(u.Sections, differ.Section{Name: s.Name, Body: s.Body})
	}
	if total <= maxPackedBytes {
		return nil // Packing makes them hardly larger.
	}
	packed, err := differ.Pack(u)
	if err != nil {
		return &Error{"document", KindEncoding, err}
	}
	if len(packed) > maxPackedBytes || total > maxUnpackedBytes {
		return &Error{"document", KindTooLarge, errors.Errorf("the sections have %d bytes, %d packed, more than a node can receive; use fewer or shorter routes", total, len(packed))}
	}
	return nil
}
