package compiler

import (
	"strings"

	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// index maps a host and the first segment of a path to routes. Each list has the
// order of the table: the longest path first.
type index map[string]map[string][]*Route

// anyHost is the key of routes without a host, anySegment that of routes without a
// first segment.
const (
	anyHost    = ""
	anySegment = ""
)

// newIndex returns the index of routes that are sorted by buildRoutes. The keys are
// the parser.HostName of the host and the first segment of the path; the routes of one
// key keep their order.
func newIndex(routes []*Route) index {
	x := index{}
	for _, r := range routes {
		host := parser.HostName(r.Host)
		if x[host] == nil {
			x[host] = map[string][]*Route{}
		}
		segment := firstSegment(r.Path)
		x[host][segment] = append(x[host][segment], r)
	}
	return x
}

// firstSegment returns the part of a path between its first two slashes.
func firstSegment(path string) string {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return anySegment
	}
	segment, _, _ := strings.Cut(rest, "/")
	return segment
}

// Match returns the route of a request: the one with the longest path that
// contains the request path and accepts the method. Routes of the host precede
// those without a host. It returns false when no route matches.
func (t *Table) Match(host, method, path string) (*Route, bool) {
	segment := firstSegment(path)
	for _, h := range [2]string{parser.HostName(host), anyHost} {
		segments := t.index[h]
		for _, s := range [2]string{segment, anySegment} {
			for _, r := range segments[s] {
				if isBelow(path, r.Path) && r.MatchesMethod(method) {
					return r, true
				}
			}
			if s == anySegment {
				break
			}
		}
		if h == anyHost {
			break
		}
	}
	return nil, false
}

// isBelow reports whether path equals prefix or lies below it. A prefix that ends
// with a slash does not match the path without the slash.
func isBelow(path, prefix string) bool {
	if strings.HasSuffix(prefix, "/") {
		return strings.HasPrefix(path, prefix)
	}
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
