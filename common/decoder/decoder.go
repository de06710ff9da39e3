// Package decoder reads YAML that people wrote, strictly.
//
// It refuses unknown and repeated keys, aliases, tags, deep nesting and long input,
// and it says where the fault is: file, line, column, the line itself, and how
// to mend it. Settings and sections go through the same code, so that their
// errors look the same.
//
// # Usage
//
//	var s Settings
//	err := decoder.Decode("hornbeam.yaml", raw, &s)
//
// Errors that are found only after decoding get their place by At:
//
//	return decoder.At("hornbeam.yaml", raw, "$.routes[2].service", "no service %q", name)
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
	// MaxBytes bounds the input of one Decode, in bytes.
	MaxBytes = 256 << 10
	// MaxDepth bounds the nesting of the input, in levels.
	MaxDepth = 16

	maxSuggestionDistance = 3
)

var panicsTotal = metrics.NewCounter("hornbeam_decoder_panics_total")

// Kind tells what is wrong with the input.
type Kind string

// The kinds of decoding errors.
const (
	KindSyntax       Kind = "syntax"
	KindUnknownKey   Kind = "unknownKey"
	KindInvalidValue Kind = "value"
	KindLimit        Kind = "limit"
)

// Error points at one place in the input.
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

// Error implements error.
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

// WithHint returns a copy of the error that says how to mend the input.
func (e *Error) WithHint(format string, args ...any) *Error {
	out := *e
	out.Hint = fmt.Sprintf(format, args...)
	return &out
}

// Decode reads raw into out, a pointer to a struct. file names the input in
// errors, which are of type *Error.
func Decode(file string, raw []byte, out any) (err error) {
	// Control hosts decode what operators wrote while they apply the log: a
	// panic of the library would end them all, again at every start.
	defer func() {
		if r := recover(); r != nil {
			panicsTotal.Inc()
			err = &Error{Op: "decode", Kind: KindSyntax, File: file, Line: 1, Column: 1,
				Message: fmt.Sprintf("the text cannot be read: %v", r), Hint: "look for unusual syntax"}
		}
	}()
	if len(raw) > MaxBytes {
		return &Error{Op: "decode", Kind: KindLimit, File: file, Line: 1, Column: 1,
			Message: fmt.Sprintf("%d bytes, the limit is %d", len(raw), MaxBytes), Hint: "split it into several sections"}
	}
	if line := tooDeep(raw); line > 0 {
		return &Error{Op: "decode", Kind: KindLimit, File: file, Line: line, Column: 1,
			Message: fmt.Sprintf("more than %d levels of nesting", MaxDepth), Hint: "flatten the value"}
	}
	root, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return wrap(file, raw, out, err)
	}
	if err := checkTree(file, raw, root); err != nil {
		return err
	}
	if err := yaml.UnmarshalWithOptions(raw, out, yaml.Strict()); err != nil {
		return wrap(file, raw, out, err)
	}
	return nil
}

// ErrorAt returns an error at the place of a path such as "$.routes[0].service".
// When the key is not there, the nearest parent's place is taken.
func ErrorAt(file string, raw []byte, path, format string, args ...any) *Error {
	e := &Error{Op: "check", Kind: KindInvalidValue, File: file, Line: 1, Column: 1, Message: fmt.Sprintf(format, args...)}
	root, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return e
	}
	for path != "" && path != "$" {
		if place(e, raw, root, path) {
			return e
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return e
}

func place(e *Error, raw []byte, root *ast.File, path string) bool {
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

// ClosestName returns the known name that is closest to name, or an empty string
// when none is close.
func ClosestName(name string, known []string) string {
	best, distance := "", maxSuggestionDistance+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(k)); d < distance {
			best, distance = k, d
		}
	}
	return best
}

// tooDeep returns the line at which flow nesting passes the limit, 0 when it
// never does. It runs before the parser, whose recursion it bounds.
func tooDeep(raw []byte) int {
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

// treeChecker walks the parsed input for aliases, anchors and depth.
type treeChecker struct {
	file string
	raw  []byte
	err  *Error
}

// Visit implements ast.Visitor.
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

// wrap turns an error of the YAML library into an Error.
func wrap(file string, raw []byte, out any, err error) error {
	e := &Error{Op: "decode", Kind: KindSyntax, File: file, Line: 1, Column: 1, Message: err.Error()}
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
		return e
	}
	e.Message = located.GetMessage()
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
	if near := ClosestName(key, keysOf(reflect.TypeOf(out), 0)); near != "" {
		e.Hint = fmt.Sprintf("did you mean %q?", near)
	}
	return e
}

func setPosition(e *Error, raw []byte, t *token.Token) {
	if t == nil || t.Position == nil {
		return
	}
	e.Line, e.Column = t.Position.Line, t.Position.Column
	e.Excerpt = excerpt(raw, e.Line)
}

// excerpt returns one line of the input.
func excerpt(raw []byte, line int) string {
	lines := strings.Split(string(raw), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	return strings.TrimSpace(lines[line-1])
}

// keysOf lists every key that a type knows, at any depth.
func keysOf(t reflect.Type, depth int) []string {
	if t == nil || depth > MaxDepth {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice:
		return keysOf(t.Elem(), depth+1)
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
		keys = append(keys, keysOf(f.Type, depth+1)...)
	}
	return keys
}

// Duration is a length of time in settings and sections. It is written with its
// unit, such as "250ms", "5s" or "24h".
type Duration time.Duration

// AsDuration returns the span in the standard type.
func (s Duration) AsDuration() time.Duration { return time.Duration(s) }

// UnmarshalYAML implements yaml.NodeUnmarshaler, which knows the place of the
// value.
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

// MarshalYAML implements yaml.BytesMarshaler.
func (s Duration) MarshalYAML() ([]byte, error) { return []byte(time.Duration(s).String()), nil }
