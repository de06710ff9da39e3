package decoder

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// checkLimits returns an *Error of KindLimit if the input is longer than MaxBytes, nested
// more deeply than MaxDepth, or has more than MaxKeys keys in a mapping or empty entries.
// It runs before the parser, whose recursion and memory grow with the nesting, and whose
// time grows with the square of the others.
func checkLimits(file string, raw []byte) error {
	if len(raw) > MaxBytes {
		return &Error{Op: "decode", Kind: KindLimit, File: file, Line: 1, Column: 1,
			Message: fmt.Sprintf("%d bytes, the limit is %d", len(raw), MaxBytes), Hint: "split it into several sections"}
	}
	if line := firstTooDeepLine(raw); line > 0 {
		return limitError(file, line, excessDepth)
	}
	var s tokenScanner
	if line, excess := s.scan(lexer.Tokenize(string(raw))); line > 0 {
		return limitError(file, line, excess)
	}
	return nil
}

// excess is a limit that the input exceeds.
type excess int

const (
	excessDepth excess = iota
	excessKeys
	excessEmpty
)

// limitError returns the error for input that exceeds a limit at a line.
func limitError(file string, line int, x excess) *Error {
	e := &Error{Op: "decode", Kind: KindLimit, File: file, Line: line, Column: 1}
	switch x {
	case excessDepth:
		e.Message, e.Hint = fmt.Sprintf("more than %d levels of nesting", MaxDepth), "flatten the value"
	case excessKeys:
		e.Message, e.Hint = fmt.Sprintf("more than %d keys in one mapping", MaxKeys), "remove unknown and repeated keys"
	case excessEmpty:
		e.Message, e.Hint = fmt.Sprintf("more than %d empty entries", MaxKeys), "remove them"
	}
	return e
}

// firstTooDeepLine returns the first line at which the nesting of brackets and braces
// exceeds MaxDepth, or 0 if it never does. It also counts those in texts and comments.
func firstTooDeepLine(raw []byte) int {
	depth, line := 0, 1
	for _, c := range raw {
		switch c {
		case '\n':
			line++
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > MaxDepth {
			return line
		}
	}
	return 0
}

// tokenScanner finds the first token that exceeds a limit.
type tokenScanner struct {
	brackets []bracket // brackets holds the open brackets and braces, the outermost first.
	blocks   []block   // blocks holds the open block mappings, by increasing column.
	line     int       // line is that of the last token.
	entries  int       // entries is the number of "-" and "?" on that line.
	empty    int       // empty is the number of empty entries of sequences.
	last     *token.Token
}

// bracket is an open bracket or, for a mapping, brace. keys is the number of its keys.
type bracket struct {
	mapping bool
	keys    int
}

// block is an open block mapping with the column and the number of its keys.
type block struct{ column, keys int }

// scan returns the line of the first token that exceeds a limit, and the limit. The line
// is 0 if no token does.
func (s *tokenScanner) scan(tokens token.Tokens) (line int, x excess) {
	for _, t := range tokens {
		if t.Position == nil || t.Type == token.CommentType {
			continue
		}
		if t.Position.Line != s.line {
			s.beginLine(t)
		}
		s.count(t)
		switch {
		case max(len(s.brackets), s.entries) > MaxDepth:
			return s.line, excessDepth
		case s.tooManyKeys():
			return s.line, excessKeys
		case s.empty > MaxKeys:
			return s.line, excessEmpty
		}
		s.last = t
	}
	return 0, 0
}

// beginLine ends the block mappings that the first token of a line ends: those whose keys
// are to the right of it.
func (s *tokenScanner) beginLine(first *token.Token) {
	s.line, s.entries = first.Position.Line, 0
	for len(s.blocks) > 0 && s.blocks[len(s.blocks)-1].column > first.Position.Column {
		s.blocks = s.blocks[:len(s.blocks)-1]
	}
}

// count counts one token.
func (s *tokenScanner) count(t *token.Token) {
	inBrackets := len(s.brackets) > 0
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.brackets = append(s.brackets, bracket{mapping: t.Type == token.MappingStartType})
	case token.SequenceEndType, token.MappingEndType:
		s.brackets = s.brackets[:max(len(s.brackets)-1, 0)]
	case token.CollectEntryType:
		if inBrackets && s.brackets[len(s.brackets)-1].mapping {
			s.brackets[len(s.brackets)-1].keys++
		}
	case token.MappingKeyType:
		s.entries++
		if !inBrackets {
			s.addBlockKey(t.Position.Column)
		}
	case token.SequenceEntryType:
		s.entries++
		if s.last != nil && s.last.Type == token.SequenceEntryType && s.last.Position.Line != t.Position.Line && s.last.Position.Column >= t.Position.Column {
			s.empty++
		}
	case token.MappingValueType:
		if !inBrackets && s.last != nil {
			s.addBlockKey(s.last.Position.Column)
		}
	}
}

// addBlockKey counts a key of the block mapping whose keys are at a column.
func (s *tokenScanner) addBlockKey(column int) {
	if n := len(s.blocks); n > 0 && s.blocks[n-1].column >= column {
		s.blocks[n-1].keys++
		return
	}
	s.blocks = append(s.blocks, block{column, 1})
}

// tooManyKeys reports whether the innermost mapping has more than MaxKeys keys.
func (s *tokenScanner) tooManyKeys() bool {
	if n := len(s.brackets); n > 0 {
		return s.brackets[n-1].keys > MaxKeys
	}
	n := len(s.blocks)
	return n > 0 && s.blocks[n-1].keys > MaxKeys
}
