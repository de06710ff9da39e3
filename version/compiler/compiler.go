// Package compiler builds the table that a node routes by.
//
// A Table is made whole, from one configuration version and one revision of
// the endpoints, checked, and only then put in place by Keeper in one atomic
// step. A request reads one table for its whole life. A route names its services
// and a service holds its endpoints; no table is put in place whose routes name
// a service that it does not have. Endpoints of a service that the configuration
// does not define yet wait in the holding.
//
// Endpoints change far more often than routes, and many times within a second
// while a mesh restarts, so the routes and their index are made once for each
// document and shared by its tables.
//
// # Usage
//
//	c := &compiler.Compiler{DataCentre: "bkk-1"}
//	t, err := c.Compile(holding)
//	err = keeper.Put(t)
//	route, ok := keeper.Table().Match("shop.example", "GET", "/designs/7")
package compiler

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
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
	Local   []applier.Endpoint // Near are in the node's own data centre.
	Remote  []applier.Endpoint
}

// Empty reports whether no target runs the version.
func (p *Pool) Empty() bool { return p == nil || len(p.Local)+len(p.Remote) == 0 }

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

// WeightedService is one service of a route with its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is a route with its parts. It never changes.
type Route struct {
	parser.Route
	WeightedServices []WeightedService
	TotalWeight      int // Weight is the sum over the parts.
}

// Table is one whole configuration version with one revision of endpoints. It
// never changes.
type Table struct {
	Version                   uint64
	Revision                  uint64
	UndefinedServiceEndpoints int // Waiting is the number of endpoints whose service is not defined.
	Limits                    parser.Limits
	NodeCount                 int // Nodes is the number of nodes that have targets.
	index                     index
	routes                    []*Route
	services                  []*Service
	byName                    map[string]*Service
	suspects                  []applier.PoisonRequest
}

// Compiler builds tables for a node in one data centre. It keeps the merged
// document of the last table with its routes, and reads sections again only when
// one differs. It is not safe for concurrent use.
type Compiler struct {
	DataCentre string

	sections []differ.Section
	parsed   map[string]parsed
	document validator.Document
	routes   []*Route
	index    index
}

// parsed is a section that was read for the last table.
type parsed struct {
	body    []byte
	content parser.Content
}

// merge returns the document of the sections.
func (c *Compiler) merge(sections []differ.Section) (validator.Document, error) {
	same := func(a, b differ.Section) bool { return a.Name == b.Name && bytes.Equal(a.Body, b.Body) }
	if len(sections) > 0 && slices.EqualFunc(c.sections, sections, same) {
		return c.document, nil
	}
	sources := make([]validator.Source, 0, len(sections))
	contents := make([]parser.Content, 0, len(sections))
	fresh := make(map[string]parsed, len(sections))
	for _, s := range sections {
		p, err := c.parse(s)
		if err != nil {
			return validator.Document{}, &Error{"compile", KindInvalid, err}
		}
		fresh[s.Name] = p
		sources = append(sources, validator.Source{Name: s.Name, Body: s.Body})
		contents = append(contents, p.content)
	}
	doc, err := validator.MergeParsed(sources, contents)
	if err != nil {
		return doc, &Error{"compile", KindInvalid, err}
	}
	c.sections, c.parsed, c.document = sections, fresh, doc
	c.routes = routesOf(doc)
	c.index = newIndex(c.routes)
	return doc, nil
}

// parse reads a section unless the last table had the same.
func (c *Compiler) parse(s differ.Section) (parsed, error) {
	if p, ok := c.parsed[s.Name]; ok && bytes.Equal(p.body, s.Body) {
		return p, nil
	}
	content, err := parser.Parse(s.Name, s.Body)
	return parsed{s.Body, content}, err
}

// Compile builds a table.
func (c *Compiler) Compile(h differ.Snapshot) (*Table, error) {
	doc, err := c.merge(h.Sections)
	if err != nil {
		return nil, err
	}
	t := &Table{Version: h.Version, Revision: h.Revision, Limits: doc.Limits, suspects: h.PoisonRequests}
	t.byName = make(map[string]*Service, len(doc.Services))
	for _, s := range doc.Services {
		service := &Service{Service: s, Traffic: trafficOf(h, s.Name)}
		t.services = append(t.services, service)
		t.byName[s.Name] = service
	}
	node := ""
	for _, e := range h.Endpoints {
		t.addEndpoint(e, c.DataCentre)
		if e.Node != node {
			node = e.Node
			t.NodeCount++
		}
	}
	t.routes, t.index = c.routes, c.index
	return t, t.check(h)
}

// routesOf returns the routes of a document, the longest path first: it wins,
// whatever order the sections came in.
func routesOf(doc validator.Document) []*Route {
	routes := make([]*Route, 0, len(doc.Routes))
	for _, r := range doc.Routes {
		route := &Route{Route: r}
		for _, share := range r.ServiceShares() {
			route.WeightedServices = append(route.WeightedServices, WeightedService{share.Service, share.Weight})
			route.TotalWeight += share.Weight
		}
		routes = append(routes, route)
	}
	slices.SortStableFunc(routes, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(len(b.Path), len(a.Path)), strings.Compare(a.Path, b.Path))
	})
	return routes
}

func trafficOf(h differ.Snapshot, service string) applier.Traffic {
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
		t.UndefinedServiceEndpoints++
		return
	}
	p := s.Pool(e.Version)
	if p == nil {
		p = &Pool{Version: e.Version}
		s.Pools = append(s.Pools, p)
	}
	if e.DataCentre == dataCentre {
		p.Local = append(p.Local, e)
		return
	}
	p.Remote = append(p.Remote, e)
}

// check makes sure that nothing dangles before the table can be put in place.
func (t *Table) check(h differ.Snapshot) error {
	for _, r := range t.routes {
		for _, p := range r.WeightedServices {
			if !asserter.Check(t.byName[p.Service] != nil, "routeHasService", "%s", r.Path) {
				return &Error{"check", KindInvalid, errors.Errorf("route %s has no service", r.Path)}
			}
		}
	}
	n := t.UndefinedServiceEndpoints
	for _, s := range t.services {
		for _, p := range s.Pools {
			n += len(p.Local) + len(p.Remote)
		}
	}
	if !asserter.Check(n == len(h.Endpoints), "endpointsAccounted", "%d of %d", n, len(h.Endpoints)) {
		return &Error{"check", KindInvalid, errors.Errorf("%d endpoints of %d", n, len(h.Endpoints))}
	}
	return nil
}

// Service returns a service by name, nil when the configuration has none.
func (t *Table) Service(name string) *Service { return t.byName[name] }

// HasPoisonRequests reports whether any request of the service is remembered for
// crashes.
func (t *Table) HasPoisonRequests(service string) bool {
	return slices.ContainsFunc(t.suspects, func(s applier.PoisonRequest) bool { return s.Service == service })
}

// CrashCount returns the crashes that are held against a request.
func (t *Table) CrashCount(service string, signature uint64, now time.Time) int {
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

// TableStore holds the table in force.
type TableStore struct {
	table atomic.Pointer[Table]

	mu      sync.Mutex
	changed chan struct{} // changed is closed when the next table is in force.
}

// Newer returns a channel that is closed once another table than t is in force.
func (k *TableStore) Newer(t *Table) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.table.Load() != t {
		return closed
	}
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.changed
}

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Table returns the table in force, nil before the first.
func (k *TableStore) Table() *Table { return k.table.Load() }

// Store sets the table in force. Neither the configuration version nor the
// endpoint revision ever goes back. One goroutine calls Store.
func (k *TableStore) Store(t *Table) error {
	old := k.table.Load()
	if old != nil && t.Version < old.Version {
		return &Error{"put", KindOlder, errors.Errorf("version %d after %d", t.Version, old.Version)}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Store(t)
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	return nil
}
