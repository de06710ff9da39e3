package compiler

import "strings"

// index finds routes by host and by the first segment of their path. Each list
// keeps the order of the table: the longest path first.
type index map[string]map[string][]*Route

// anyHost and anySegment hold the routes that say nothing of them.
const (
	anyHost    = ""
	anySegment = ""
)

func newIndex(routes []*Route) index {
	x := index{}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		if x[host] == nil {
			x[host] = map[string][]*Route{}
		}
		segment := firstSegment(r.Path)
		x[host][segment] = append(x[host][segment], r)
	}
	return x
}

// firstSegment returns what stands between the first two slashes.
func firstSegment(path string) string {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return anySegment
	}
	segment, _, _ := strings.Cut(rest, "/")
	return segment
}

// Match returns the route for a request: the longest path that takes the
// method, among the routes of the host before those of every host.
func (t *Table) Match(host, method, path string) (*Route, bool) {
	segment := firstSegment(path)
	for _, h := range [2]string{hostName(host), anyHost} {
		segments := t.index[h]
		for _, s := range [2]string{segment, anySegment} {
			for _, r := range segments[s] {
				if below(path, r.Path) && r.MatchesMethod(method) {
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

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// below reports whether path is prefix itself or lies under it. A prefix that
// ends with a slash does not match without it.
func below(path, prefix string) bool {
	if strings.HasSuffix(prefix, "/") {
		return strings.HasPrefix(path, prefix)
	}
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}
