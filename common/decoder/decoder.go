// Package decoder decodes YAML settings and sections strictly.
//
// It rejects unknown and repeated keys, aliases, anchors, tags, deep nesting and
// long input. Its errors hold the position of the fault (file, line, column and
// the text of the line) and a hint on how to correct it. Settings and sections use
// the same code, so that their errors have the same form.
//
// # Usage
//
//	var s Settings
//	err := decoder.Decode("hornbeam.yaml", raw, &s)
//
// ErrorAt gives the position of errors that are found only after decoding:
//
//	return decoder.ErrorAt("hornbeam.yaml", raw, "$.routes[2].service", "no service %q", name)
package decoder

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/agnivade/levenshtein"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"
)

const (
	// MaxBytes is the maximum length of the YAML text that Decode reads, in bytes.
	// Decode returns an error of KindLimit for a longer one.
	MaxBytes = 256 << 10
	// MaxDepth is the maximum nesting of the input, in levels.
	MaxDepth = 16
	// MaxKeys is the maximum number of keys in one mapping, and of empty entries in all
	// sequences.
	MaxKeys = 256

	// maxSuggestionDistance is the maximum Levenshtein distance of a suggested name.
	maxSuggestionDistance = 3
	// maxExcerptBytes bounds the excerpt of an error, since control hosts store the
	// errors of rejected sections.
	maxExcerptBytes = 256
	// replacementText replaces bytes of an error that are not valid UTF-8.
	replacementText = "\uFFFD"
)

var panicsTotal = metrics.NewCounter("hornbeam_decoder_panics_total")

// Kind classifies the fault in the input.
type Kind string

// The kinds of decoding errors.
const (
	KindSyntax       Kind = "syntax"
	KindUnknownKey   Kind = "unknownKey"
	KindInvalidValue Kind = "value"
	KindLimit        Kind = "limit"
)

// Error describes a fault at one position in the input. Line and Column count from
// 1. Hint describes how to correct the input and Excerpt is the text of the line; both
// may be empty.
type Error struct {
	Op      string `json:"op"`
	Kind    Kind   `json:"kind"`
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
	Hint    string `json:"mend,omitempty"`
	Excerpt string `json:"excerpt,omitempty"`
}

// Error returns the position, the message, the excerpt and the hint as text of up to
// three lines.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
	if e.Excerpt != "" {
		fmt.Fprintf(&b, "\n    %s", e.Excerpt)
	}
	if e.Hint != "" {
		fmt.Fprintf(&b, "\n  mend: %s", e.Hint)
	}
	return b.String()
}

// WithHint returns a copy of the error with a formatted hint on how to correct the
// input.
func (e *Error) WithHint(format string, args ...any) *Error {
	out := *e
	out.Hint = fmt.Sprintf(format, args...)
	return &out
}

// Decode decodes raw into out, a pointer to a struct. file is the name of the input
// in errors, which are of type *Error. After an error, out may be partly filled.
func Decode(file string, raw []byte, out any) (err error) {
	// Control hosts decode operators' input while they apply the replicated log. A
	// panic in the YAML library would end all of them, and again at each restart.
	defer func() {
		if r := recover(); r != nil {
			panicsTotal.Inc()
			err = &Error{Op: "decode", Kind: KindSyntax, File: file, Line: 1, Column: 1,
				Message: fmt.Sprintf("the text cannot be read: %v", r), Hint: "look for unusual syntax"}
		}
	}()
	if err := checkLimits(file, raw); err != nil {
		return err
	}
	root, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return convertError(file, raw, out, err)
	}
	if err := checkTree(file, raw, root); err != nil {
		return err
	}
	if err := yaml.UnmarshalWithOptions(raw, out, yaml.Strict()); err != nil {
		return convertError(file, raw, out, err)
	}
	return nil
}

// ErrorAt returns an error with a formatted message at the position of a YAML path
// such as "$.routes[0].service". If the key is missing, the position is that of its
// nearest parent that exists. It is line 1, column 1 if there is none, or if raw cannot
// be parsed within the limits of Decode.
func ErrorAt(file string, raw []byte, path, format string, args ...any) (e *Error) {
	e = &Error{Op: "check", Kind: KindInvalidValue, File: file, Line: 1, Column: 1, Message: fmt.Sprintf(format, args...)}
	defer func() {
		if recover() != nil {
			panicsTotal.Inc()
		}
	}()
	if checkLimits(file, raw) != nil {
		return e
	}
	root, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return e
	}
	for path != "" && path != "$" {
		if setPositionOfPath(e, raw, root, path) {
			return e
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return e
}

// setPositionOfPath sets the position of e to that of path in root. It returns false
// if the path is not found.
func setPositionOfPath(e *Error, raw []byte, root *ast.File, path string) bool {
	p, err := yaml.PathString(path)
	if err != nil {
		return false
	}
	node, err := p.FilterFile(root)
	if err != nil || node == nil || node.GetToken() == nil {
		return false
	}
	setPosition(e, raw, node.GetToken())
	return true
}

// ClosestName returns the known name with the smallest Levenshtein distance to name,
// ignoring case, or an empty string if none is within maxSuggestionDistance.
func ClosestName(name string, known []string) string {
	best, distance := "", maxSuggestionDistance+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(k)); d < distance {
			best, distance = k, d
		}
	}
	return best
}

// treeChecker visits the nodes of the parsed input and records an error for an
// alias, an anchor, a tag or a node that is nested too deeply.
type treeChecker struct {
	file string
	raw  []byte
	err  *Error
}

// Visit implements ast.Visitor. It returns nil after an error, which ends the walk of
// that branch.
func (v *treeChecker) Visit(n ast.Node) ast.Visitor {
	switch n.(type) {
	case *ast.AliasNode, *ast.AnchorNode, *ast.TagNode:
		v.err = &Error{Op: "decode", Kind: KindLimit, File: v.file, Message: "aliases, anchors and tags are not allowed", Hint: "write the value out"}
		setPosition(v.err, v.raw, n.GetToken())
		return nil
	}
	if strings.Count(n.GetPath(), ".") > MaxDepth {
		v.err = &Error{Op: "decode", Kind: KindLimit, File: v.file, Message: fmt.Sprintf("more than %d levels of nesting", MaxDepth)}
		setPosition(v.err, v.raw, n.GetToken())
		return nil
	}
	return v
}

// checkTree rejects input with forbidden nodes, with nesting beyond MaxDepth or with
// more than one document.
func checkTree(file string, raw []byte, root *ast.File) error {
	v := &treeChecker{file: file, raw: raw}
	for _, doc := range root.Docs {
		if doc.Body == nil {
			continue
		}
		ast.Walk(v, doc.Body)
		if v.err != nil {
			return v.err
		}
	}
	if len(root.Docs) > 1 {
		return &Error{Op: "decode", Kind: KindSyntax, File: file, Line: 1, Column: 1, Message: "more than one document", Hint: "remove the line ---"}
	}
	return nil
}

// convertError converts an error of the YAML library to an *Error. For an unknown key
// it adds the closest key of out's type as a hint.
func convertError(file string, raw []byte, out any, err error) error {
	e := &Error{Op: "decode", Kind: KindSyntax, File: file, Line: 1, Column: 1}
	var own *Error
	if errors.As(err, &own) {
		located := *own
		located.File = file
		located.Excerpt = excerpt(raw, own.Line)
		return &located
	}
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		e.Kind = KindUnknownKey
	}
	var located yaml.Error
	if !errors.As(err, &located) {
		e.Message = strings.ToValidUTF8(err.Error(), replacementText)
		return e
	}
	// Error of the library would format the whole line, in quadratic time.
	e.Message = strings.ToValidUTF8(located.GetMessage(), replacementText)
	if located.GetToken() == nil {
		return e
	}
	setPosition(e, raw, located.GetToken())
	if e.Kind != KindUnknownKey {
		return e
	}
	key := located.GetToken().Value
	e.Message = fmt.Sprintf("unknown key %q", key)
	e.Hint = "remove it"
	if near := ClosestName(key, yamlKeys(reflect.TypeOf(out), 0)); near != "" {
		e.Hint = fmt.Sprintf("did you mean %q?", near)
	}
	return e
}

// setPosition sets the line, column and excerpt of e to those of t, if t has a
// position.
func setPosition(e *Error, raw []byte, t *token.Token) {
	if t == nil || t.Position == nil {
		return
	}
	e.Line, e.Column = t.Position.Line, t.Position.Column
	e.Excerpt = excerpt(raw, e.Line)
}

// excerpt returns the first maxExcerptBytes of the given line of the input without
// surrounding space, or an empty string if there is no such line. It is valid UTF-8, so
// that it can be stored in CBOR.
func excerpt(raw []byte, line int) string {
	lines := strings.Split(string(raw), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	text := strings.TrimSpace(lines[line-1])
	if len(text) > maxExcerptBytes {
		text = text[:maxExcerptBytes]
	}
	return strings.ToValidUTF8(text, replacementText)
}

// yamlKeys returns the names of all yaml tags of a type and of the types nested in
// it, down to MaxDepth.
func yamlKeys(t reflect.Type, depth int) []string {
	if t == nil || depth > MaxDepth {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice:
		return yamlKeys(t.Elem(), depth+1)
	case reflect.Struct:
	default:
		return nil
	}
	var keys []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "" {
			continue
		}
		keys = append(keys, name)
		keys = append(keys, yamlKeys(f.Type, depth+1)...)
	}
	return keys
}

// Duration is a duration in settings and sections. It is written with its unit,
// such as "250ms", "5s" or "24h", and is never negative after decoding.
type Duration time.Duration

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// UnmarshalYAML implements yaml.NodeUnmarshaler, whose node holds the position of the
// value for errors. It fails if the value is negative or not a duration with a unit.
func (s *Duration) UnmarshalYAML(node ast.Node) error {
	text := strings.Trim(strings.TrimSpace(node.String()), `"'`)
	d, err := time.ParseDuration(text)
	if err == nil && d >= 0 {
		*s = Duration(d)
		return nil
	}
	e := &Error{Op: "decode", Kind: KindInvalidValue, Message: fmt.Sprintf("%q is not a length of time with its unit", text), Hint: "write it like 250ms, 5s or 24h"}
	setPosition(e, nil, node.GetToken())
	return e
}

// MarshalYAML implements yaml.BytesMarshaler. It writes the duration with its unit.
func (d Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
