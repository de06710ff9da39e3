// Package compiler builds the table that a node routes by.
//
// A Table is made whole, from one configuration version and one revision of
// the endpoints, checked, and only then put in place by Keeper in one atomic
// step. A request reads one table for its whole life. A route holds a pointer
// to its service and a service holds its endpoints, so a route cannot point at
// anything that the table does not have. Endpoints of a service that the
// configuration does not define yet wait in the holding.
//
// # Usage
//
//	c := &compiler.Compiler{DataCentre: "bkk-1"}
//	t, err := c.Compile(holding)
//	err = keeper.Put(t)
//	route, ok := keeper.Table().Match("GET", "/designs/7")
package compiler

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
	"github.com/hornbeamrack/hornbeamrack/version/validator"
)

// Kind tells why no table could be built or put in place.
type Kind string

// The kinds of compiler errors.
const (
	KindInvalid Kind = "invalid"
	KindOlder   Kind = "older"
)

// Error is the only error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("compiler: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool holds the endpoints of one target version of a service.
type Pool struct {
	Version string
	Near    []applier.Endpoint // Near are in the node's own data centre.
	Far     []applier.Endpoint
}

// Empty reports whether no target runs the version.
func (p *Pool) Empty() bool { return p == nil || len(p.Near)+len(p.Far) == 0 }

// Service is a service with its traffic and endpoints.
type Service struct {
	parser.Service
	Traffic applier.Traffic
	Pools   []*Pool
}

// Pool returns the endpoints of a target version, nil when there are none.
func (s *Service) Pool(version string) *Pool {
	for _, p := range s.Pools {
		if p.Version == version {
			return p
		}
	}
	return nil
}

// Route is a route with its service.
type Route struct {
	parser.Route
	Target *Service
}

// Table is one whole configuration version with one revision of endpoints. It
// never changes.
type Table struct {
	Version  uint64
	Revision uint64
	Waiting  int // Waiting is the number of endpoints whose service is not defined.
	routes   []*Route
	services []*Service
	suspects []applier.Suspect
}

// Compiler builds tables for a node in one data centre. Endpoints change far
// more often than sections, so the merged document of the last table is kept
// and sections are only read again when one differs. It is not safe for
// concurrent use.
type Compiler struct {
	DataCentre string

	sections []differ.Section
	document validator.Document
}

// merge returns the document of the sections.
func (c *Compiler) merge(sections []differ.Section) (validator.Document, error) {
	same := func(a, b differ.Section) bool { return a.Name == b.Name && bytes.Equal(a.Body, b.Body) }
	if len(sections) > 0 && slices.EqualFunc(c.sections, sections, same) {
		return c.document, nil
	}
	sources := make([]validator.Source, 0, len(sections))
	for _, s := range sections {
		sources = append(sources, validator.Source{Name: s.Name, Body: s.Body})
	}
	doc, err := validator.Merge(sources)
	if err != nil {
		return doc, &Error{"compile", KindInvalid, err}
	}
	c.sections, c.document = sections, doc
	return doc, nil
}

// Compile builds a table.
func (c *Compiler) Compile(h differ.Holding) (*Table, error) {
	doc, err := c.merge(h.Sections)
	if err != nil {
		return nil, err
	}
	t := &Table{Version: h.Version, Revision: h.Revision, suspects: h.Suspects}
	for _, s := range doc.Services {
		t.services = append(t.services, &Service{Service: s, Traffic: trafficOf(h, s.Name)})
	}
	for _, e := range h.Endpoints {
		t.addEndpoint(e, c.DataCentre)
	}
	for _, r := range doc.Routes {
		t.routes = append(t.routes, &Route{Route: r, Target: t.Service(r.Service)})
	}
	// The longest path wins, whatever order the sections came in.
	slices.SortStableFunc(t.routes, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), strings.Compare(a.Path, b.Path))
	})
	return t, t.check(h)
}

func trafficOf(h differ.Holding, service string) applier.Traffic {
	for _, t := range h.Traffics {
		if t.Service == service {
			return t
		}
	}
	return applier.Traffic{Service: service}
}

func (t *Table) addEndpoint(e applier.Endpoint, dataCentre string) {
	s := t.Service(e.Service)
	if s == nil {
		t.Waiting++
		return
	}
	p := s.Pool(e.Version)
	if p == nil {
		p = &Pool{Version: e.Version}
		s.Pools = append(s.Pools, p)
	}
	if e.DataCentre == dataCentre {
		p.Near = append(p.Near, e)
		return
	}
	p.Far = append(p.Far, e)
}

// check makes sure that nothing dangles before the table can be put in place.
func (t *Table) check(h differ.Holding) error {
	for _, r := range t.routes {
		if !asserter.That(r.Target != nil && slices.Contains(t.services, r.Target), "routeHasService", "%s", r.Path) {
			return &Error{"check", KindInvalid, errors.Errorf("route %s has no service", r.Path)}
		}
	}
	n := t.Waiting
	for _, s := range t.services {
		for _, p := range s.Pools {
			n += len(p.Near) + len(p.Far)
		}
	}
	if !asserter.That(n == len(h.Endpoints), "endpointsAccounted", "%d of %d", n, len(h.Endpoints)) {
		return &Error{"check", KindInvalid, errors.Errorf("%d endpoints of %d", n, len(h.Endpoints))}
	}
	return nil
}

// Service returns a service by name, nil when the configuration has none.
func (t *Table) Service(name string) *Service {
	for _, s := range t.services {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Suspects reports whether any request of the service is remembered for
// crashes.
func (t *Table) Suspects(service string) bool {
	return slices.ContainsFunc(t.suspects, func(s applier.Suspect) bool { return s.Service == service })
}

// Crashes returns the crashes that are held against a request.
func (t *Table) Crashes(service string, signature uint64, now time.Time) int {
	for _, s := range t.suspects {
		if s.Service == service && s.Signature == signature && now.Before(s.ExpiresAt) {
			return s.Crashes
		}
	}
	return 0
}

// Services returns all services; the caller must not change the list.
func (t *Table) Services() []*Service { return t.services }

// Routes returns all routes; the caller must not change the list.
func (t *Table) Routes() []*Route { return t.routes }

// Match returns the route for a request: the longest path that takes the
// method.
func (t *Table) Match(method, path string) (*Route, bool) {
	for _, r := range t.routes {
		if below(path, r.Path) && r.Matches(method) {
			return r, true
		}
	}
	return nil, false
}

// below reports whether path is prefix itself or lies under it.
func below(path, prefix string) bool {
	if prefix == "/" {
		return strings.HasPrefix(path, "/")
	}
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// Keeper holds the table in force.
type Keeper struct {
	table atomic.Pointer[Table]
}

// Table returns the table in force, nil before the first.
func (k *Keeper) Table() *Table { return k.table.Load() }

// Put sets the table in force. Neither the configuration version nor the
// endpoint revision ever goes back. One goroutine calls Put.
func (k *Keeper) Put(t *Table) error {
	old := k.table.Load()
	if old != nil && t.Version < old.Version {
		return &Error{"put", KindOlder, errors.Errorf("version %d after %d", t.Version, old.Version)}
	}
	k.table.Store(t)
	return nil
}
