// Package compiler builds the routing table of a node from a snapshot of the
// configuration and the endpoints.
//
// A Table is built completely, from one configuration version and one revision
// of the endpoints, and checked; only then TableStore puts it in force, in one
// atomic step. A request uses the same table from its start to its end. A route
// names its services and a service holds its endpoints; a table whose routes name
// a service that it does not have is never put in force. Endpoints of a service
// that the configuration does not define yet stay in the snapshot only.
//
// Endpoints change far more often than routes, and many times within a second
// while a mesh restarts, so the routes and their index are built once for each
// document and shared by its tables.
//
// # Usage
//
//	c := &compiler.Compiler{DataCentre: "bkk-1"}
//	t, err := c.Compile(snapshot)
//	err = store.Store(t)
//	route, ok := store.Table().Match("shop.example", "GET", "/designs/7")
package compiler

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/asserter"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
	"github.com/hornbeamrack/hornbeamrack/version/validator"
)

// Kind is the reason why a table could not be built or put in force.
type Kind string

// The kinds of compiler errors.
const (
	KindInvalid Kind = "invalid" // KindInvalid means that the sections or the table are not valid.
	KindOlder   Kind = "older"   // KindOlder means that a newer configuration version is in force.
)

// Error is the only error type of this package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("compiler: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// undialableTotal counts the endpoints that were left out of tables.
var undialableTotal = metrics.NewCounter("hornbeam_undialable_endpoints_total")

// Pool holds the endpoints of one target version of a service.
type Pool struct {
	Version string
	Local   []applier.Endpoint // Local holds the endpoints in the node's own data centre, Remote the others.
	Remote  []applier.Endpoint
}

// Empty reports whether no target runs the version.
func (p *Pool) Empty() bool { return p == nil || len(p.Local)+len(p.Remote) == 0 }

// Service is a service with its traffic and its endpoints by target version.
type Service struct {
	parser.Service
	Traffic applier.Traffic
	Pools   []*Pool
}

// Pool returns the pool of a target version, nil when it has no endpoints.
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

// Route is a route with its weighted services. It is immutable.
type Route struct {
	parser.Route
	WeightedServices []WeightedService
	TotalWeight      int // TotalWeight is the sum of the weights.
}

// Table is the routing table of one configuration version and one revision of the
// endpoints. It is immutable.
type Table struct {
	Version                   uint64
	Revision                  uint64
	UndefinedServiceEndpoints int // UndefinedServiceEndpoints is the number of endpoints whose service is not defined.
	UndialableEndpoints       int // UndialableEndpoints is the number of endpoints whose address is not an IP address and a port.
	Limits                    parser.Limits
	NodeCount                 int // NodeCount is the number of nodes that have targets.
	index                     index
	routes                    []*Route
	services                  []*Service
	byName                    map[string]*Service
	poisonRequests            []applier.PoisonRequest
}

// Compiler builds tables for a node in one data centre. It caches the merged
// document and the routes of the last table, and parses only sections that have
// changed. It is not safe for concurrent use.
type Compiler struct {
	DataCentre string

	sections       []differ.Section
	parsedSections map[string]parsedSection
	document       validator.Document
	routes         []*Route
	index          index
}

// parsedSection is a section that was parsed for the last table.
type parsedSection struct {
	body    []byte
	content parser.Content
}

// merge returns the merged document of the sections, or an error of KindInvalid.
func (c *Compiler) merge(sections []differ.Section) (validator.Document, error) {
	same := func(a, b differ.Section) bool { return a.Name == b.Name && bytes.Equal(a.Body, b.Body) }
	if len(sections) > 0 && slices.EqualFunc(c.sections, sections, same) {
		return c.document, nil
	}
	sources := make([]validator.Source, 0, len(sections))
	contents := make([]parser.Content, 0, len(sections))
	parsed := make(map[string]parsedSection, len(sections))
	for _, s := range sections {
		p, err := c.parse(s)
		if err != nil {
			return validator.Document{}, &Error{"compile", KindInvalid, err}
		}
		parsed[s.Name] = p
		sources = append(sources, validator.Source{Name: s.Name, Body: s.Body})
		contents = append(contents, p.content)
	}
	doc, err := validator.MergeParsed(sources, contents)
	if err != nil {
		return doc, &Error{"compile", KindInvalid, err}
	}
	c.sections, c.parsedSections, c.document = sections, parsed, doc
	c.routes = buildRoutes(doc)
	c.index = newIndex(c.routes)
	return doc, nil
}

// parse parses a section unless the last table used the same.
func (c *Compiler) parse(s differ.Section) (parsedSection, error) {
	if p, ok := c.parsedSections[s.Name]; ok && bytes.Equal(p.body, s.Body) {
		return p, nil
	}
	content, err := parser.Parse(s.Name, s.Body)
	return parsedSection{s.Body, content}, err
}

// Compile builds the table of a snapshot. It returns an error of KindInvalid when
// the sections are not valid; the table must not be used then.
func (c *Compiler) Compile(snapshot differ.Snapshot) (*Table, error) {
	doc, err := c.merge(snapshot.Sections)
	if err != nil {
		return nil, err
	}
	t := &Table{Version: snapshot.Version, Revision: snapshot.Revision, Limits: doc.Limits, poisonRequests: snapshot.PoisonRequests}
	t.byName = make(map[string]*Service, len(doc.Services))
	for _, s := range doc.Services {
		service := &Service{Service: s, Traffic: trafficOf(snapshot, s.Name)}
		t.services = append(t.services, service)
		t.byName[s.Name] = service
	}
	node := ""
	for _, e := range snapshot.Endpoints {
		t.addEndpoint(e, c.DataCentre)
		if e.Node != node {
			node = e.Node
			t.NodeCount++
		}
	}
	t.routes, t.index = c.routes, c.index
	return t, t.check(snapshot)
}

// buildRoutes returns the routes of a document, the longest path first, so that
// the longest match wins in any order of the sections.
func buildRoutes(doc validator.Document) []*Route {
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

// trafficOf returns the traffic of a service, empty except for its name if the
// snapshot has none.
func trafficOf(snapshot differ.Snapshot, service string) applier.Traffic {
	for _, t := range snapshot.Traffics {
		if t.Service == service {
			return t
		}
	}
	return applier.Traffic{Service: service}
}

// addEndpoint adds an endpoint to the pool of its version, or counts it if it can't be
// dialled or its service is not defined.
func (t *Table) addEndpoint(e applier.Endpoint, dataCentre string) {
	if !e.Dialable() {
		t.UndialableEndpoints++
		undialableTotal.Inc()
		return
	}
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

// check returns an error of KindInvalid when a route names a service that the
// table does not have, or when an endpoint is missing.
func (t *Table) check(snapshot differ.Snapshot) error {
	for _, r := range t.routes {
		for _, p := range r.WeightedServices {
			if !asserter.Check(t.byName[p.Service] != nil, "routeHasService", "route %s", r.Path) {
				return &Error{"check", KindInvalid, errors.Errorf("route %s names a service that the table does not contain", r.Path)}
			}
		}
	}
	n := t.UndefinedServiceEndpoints + t.UndialableEndpoints
	for _, s := range t.services {
		for _, p := range s.Pools {
			n += len(p.Local) + len(p.Remote)
		}
	}
	if !asserter.Check(n == len(snapshot.Endpoints), "endpointsAccounted", "the table contains %d of %d endpoints", n, len(snapshot.Endpoints)) {
		return &Error{"check", KindInvalid, errors.Errorf("the table contains %d of %d endpoints", n, len(snapshot.Endpoints))}
	}
	return nil
}

// Service returns a service by name, nil when the configuration has none.
func (t *Table) Service(name string) *Service { return t.byName[name] }

// HasPoisonRequests reports whether crashes are recorded for any request of the
// service.
func (t *Table) HasPoisonRequests(service string) bool {
	return slices.ContainsFunc(t.poisonRequests, func(r applier.PoisonRequest) bool { return r.Service == service })
}

// PoisonRequests returns all requests for which crashes are recorded, expired ones
// included; the caller must not modify the list.
func (t *Table) PoisonRequests() []applier.PoisonRequest { return t.poisonRequests }

// PoisonRequest returns the record of the crashes of a request, false if there is none
// or it has expired.
func (t *Table) PoisonRequest(service string, signature uint64, now time.Time) (applier.PoisonRequest, bool) {
	for _, r := range t.poisonRequests {
		if r.Service == service && r.Signature == signature && now.Before(r.ExpiresAt) {
			return r, true
		}
	}
	return applier.PoisonRequest{}, false
}

// Services returns all services; the caller must not modify the list.
func (t *Table) Services() []*Service { return t.services }

// Routes returns all routes, the longest path first; the caller must not modify
// the list.
func (t *Table) Routes() []*Route { return t.routes }
