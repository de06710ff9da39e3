// Package validator checks that the sections of the document fit together.
//
// Each team edits its own section, but routes of one section may name services
// of another. So an edit is accepted only if the whole merged document holds:
// each service is defined once, each route names a service that exists, and no
// two routes claim the same path and method.
//
// # Usage
//
//	doc, err := validator.Merge([]validator.Source{{Name: "designs", Body: body}})
//
// Errors are of type *decoder.Error and name the section as the file.
package validator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// Source is one section as it was written.
type Source struct {
	Name string
	Body []byte
}

// Document is the merged content of all sections.
type Document struct {
	Services []parser.Service
	Routes   []parser.Route
	Limits   parser.Limits
}

// HasService reports whether the document defines the service.
func (d Document) HasService(name string) bool {
	return slices.ContainsFunc(d.Services, func(s parser.Service) bool { return s.Name == name })
}

// merger collects the document and remembers where each part came from.
type merger struct {
	document Document
	services map[string]string
	routes   map[routeKey]string
	limits   string // limits is the section that has them.
}

// routeKey is what only one route may claim.
type routeKey struct{ host, method, path string }

// String describes the claim to operators.
func (k routeKey) String() string {
	if k.host == "" {
		return k.method + " " + k.path
	}
	return k.method + " " + k.host + k.path
}

// Merge parses and joins sections. The order of sources does not matter for
// whether it succeeds.
func Merge(sources []Source) (Document, error) {
	contents := make([]parser.Content, len(sources))
	for i, s := range sources {
		c, err := parser.Parse(s.Name, s.Body)
		if err != nil {
			return Document{}, err
		}
		contents[i] = c
	}
	return MergeParsed(sources, contents)
}

// MergeParsed joins sections that were parsed already.
func MergeParsed(sources []Source, contents []parser.Content) (Document, error) {
	m := merger{services: map[string]string{}, routes: map[routeKey]string{}}
	for i, s := range sources {
		if err := m.addServices(s, contents[i]); err != nil {
			return Document{}, err
		}
		if err := m.addLimits(s, contents[i]); err != nil {
			return Document{}, err
		}
	}
	for i, s := range sources {
		if err := m.addRoutes(s, contents[i]); err != nil {
			return Document{}, err
		}
	}
	return m.document, nil
}

func (m *merger) addServices(s Source, c parser.Content) error {
	for i, service := range c.Services {
		if owner, ok := m.services[service.Name]; ok {
			return decoder.ErrorAt(s.Name, s.Body, fmt.Sprintf("$.services[%d].name", i),
				"service %q is defined in section %q already", service.Name, owner).WithHint("rename one of the two")
		}
		m.services[service.Name] = s.Name
		m.document.Services = append(m.document.Services, service)
	}
	return nil
}

func (m *merger) addLimits(s Source, c parser.Content) error {
	if c.Limits == nil {
		return nil
	}
	if m.limits != "" {
		return decoder.ErrorAt(s.Name, s.Body, "$.limits", "section %q has limits already", m.limits).WithHint("keep them in one section")
	}
	m.limits, m.document.Limits = s.Name, *c.Limits
	return nil
}

func (m *merger) addRoutes(s Source, c parser.Content) error {
	for i, r := range c.Routes {
		for _, t := range r.ServiceShares() {
			if _, ok := m.services[t.Service]; !ok {
				return m.unknownService(s, i, t.Service)
			}
		}
		if err := m.claimPath(s, i, r); err != nil {
			return err
		}
		m.document.Routes = append(m.document.Routes, r)
	}
	return nil
}

func (m *merger) unknownService(s Source, i int, service string) error {
	e := decoder.ErrorAt(s.Name, s.Body, fmt.Sprintf("$.routes[%d].service", i), "no section defines service %q", service)
	var known []string
	for name := range m.services {
		known = append(known, name)
	}
	slices.Sort(known)
	if near := decoder.ClosestName(service, known); near != "" {
		return e.WithHint("did you mean %q?", near)
	}
	return e.WithHint("define the service first; known ones: %s", strings.Join(known, ", "))
}

func (m *merger) claimPath(s Source, i int, r parser.Route) error {
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{"*"}
	}
	for _, method := range methods {
		key := routeKey{r.Host, method, r.Path}
		if owner, ok := m.routes[key]; ok {
			return decoder.ErrorAt(s.Name, s.Body, fmt.Sprintf("$.routes[%d].path", i),
				"%s is routed in section %q already", key, owner).WithHint("use another path or method")
		}
		m.routes[key] = s.Name
	}
	return nil
}
