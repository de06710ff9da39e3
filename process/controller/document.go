package controller

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
	"github.com/hornbeamrack/hornbeamrack/version/validator"
)

// DocumentEdit replaces the whole document.
type DocumentEdit struct {
	Number  uint64 // Number is the operators' own version number.
	Base    uint64 // Base is the number of the document that the edit was made on; 0 before the first.
	Source  []byte // Source is the document as it was sent; it is given back as it is.
	Content parser.Content
}

// Confirmed returns a state that holds everything accepted before the call. It
// waits for a leader until ctx ends, then gives an error of KindNoLeader.
func (c *Controller) Confirmed(ctx context.Context) (applier.State, error) {
	if !c.ready.Load() {
		return applier.State{}, &Error{"confirm", KindNoLeader, errors.New("this control host has not joined yet")}
	}
	if err := c.confirm[configPlace].wait(ctx, time.Now().Add(operatorTimeout)); err != nil {
		return applier.State{}, err
	}
	return c.state.State(), nil
}

// ReplaceDocument replaces the document in one step. The edit is idempotent:
// an accepted document is accepted again whenever it is sent again.
func (c *Controller) ReplaceDocument(ctx context.Context, e DocumentEdit) (applier.Result, error) {
	s, err := c.Confirmed(ctx)
	if err != nil {
		return applier.Result{}, err
	}
	cmd := applier.ReplaceDocument{Number: e.Number, Base: e.Base, Source: e.Source, At: time.Now()}
	if s.WasAccepted(e.Number, e.Source) || s.Document.Number != e.Base || e.Number <= s.Document.Number {
		// The state alone decides; the content is not needed for that.
		_, r := s.Next(0, cmd)
		return r, nil
	}
	if cmd.Sections, err = documentParts(s, e.Content); err != nil {
		return applier.Result{Outcome: applier.OutcomeRefused, Version: s.Version, Message: err.Error()}, nil
	}
	r, err := c.propose(ctx, cmd)
	c.Log.Info("document edit", "number", e.Number, "base", e.Base, "inForce", s.Document.Number, "version", r.Version, "outcome", r.Outcome, "message", r.Message, "err", err)
	return r, err
}

// documentParts checks the content together with the teams' sections and
// returns its sections; those that the state has already stay empty.
func documentParts(s applier.State, content parser.Content) ([]applier.DocumentSection, error) {
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
	var parts []applier.DocumentSection
	for _, p := range parser.Split(content) {
		body, err := parser.Encode(p.Content)
		if err != nil {
			return nil, &Error{"document", KindEncoding, err}
		}
		sources = append(sources, validator.Source{Name: p.Name, Body: body})
		contents = append(contents, p.Content)
		part := applier.DocumentSection{Name: p.Name, Body: body}
		if sec, ok := s.Section(p.Name); ok && !sec.Current.Retired && bytes.Equal(sec.Current.Body, body) {
			part.Body = nil
		}
		parts = append(parts, part)
	}
	if _, err := validator.MergeParsed(sources, contents); err != nil {
		return nil, err
	}
	return parts, nil
}

// BeginMove begins a move. It is idempotent: a move that runs or has ended
// with the same service, version and time is accepted again.
func (c *Controller) BeginMove(ctx context.Context, cmd applier.BeginMove) (applier.Result, error) {
	r, err := c.propose(ctx, cmd)
	c.Log.Info("move asked for", "service", cmd.Service, "to", cmd.To, "deadline", cmd.Deadline, "id", cmd.EditID, "outcome", r.Outcome, "message", r.Message, "err", err)
	return r, err
}

// Move returns the newest move of a service; ok is false when there was none.
func (c *Controller) Move(ctx context.Context, service string) (m applier.Move, ok bool, err error) {
	s, err := c.Confirmed(ctx)
	if err != nil {
		return applier.Move{}, false, err
	}
	t, _ := s.Traffic(service)
	if t.Move == nil {
		return applier.Move{}, false, nil
	}
	return *t.Move, true, nil
}
