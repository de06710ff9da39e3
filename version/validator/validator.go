// Package validator merges the sections of the document and checks them against
// each other.
//
// Each team edits its own section, but routes of one section may name services
// of another. So an edit is accepted only if the whole merged document is valid:
// each service is defined once, each route names a service that exists, and no
// two routes have the same host, path and method.
//
// # Usage
//
//	doc, err := validator.Merge([]validator.Source{{Name: "designs", Body: body}})
//
// Errors are of type *decoder.Error and name the section as their file.
package validator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// Source is the name and the text of one section.
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

// merger merges sections and records which section defines each item.
type merger struct {
	document      Document
	services      map[string]string
	routes        map[routeKey]string
	limitsSection string // limitsSection is the section that sets the limits.
}

// routeKey is the combination that only one route may have.
type routeKey struct{ host, method, path string }

// String returns the method, host and path for error texts.
func (k routeKey) String() string {
	if k.host == "" {
		return k.method + " " + k.path
	}
	return k.method + " " + k.host + k.path
}

// Merge parses and merges sections. Whether it succeeds does not depend on the order
// of sources.
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

// MergeParsed merges parsed sections; contents[i] is the content of sources[i].
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

// addServices adds the services of a section. It returns an error for a service
// that another entry defines already.
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

// addLimits sets the limits of a section. It returns an error if another section
// sets them too.
func (m *merger) addLimits(s Source, c parser.Content) error {
	if c.Limits == nil {
		return nil
	}
	if m.limitsSection != "" {
		return decoder.ErrorAt(s.Name, s.Body, "$.limits", "section %q has limits already", m.limitsSection).WithHint("keep them in one section")
	}
	m.limitsSection, m.document.Limits = s.Name, *c.Limits
	return nil
}

// addRoutes adds the routes of a section, whose services must all be added.
func (m *merger) addRoutes(s Source, c parser.Content) error {
	for i, r := range c.Routes {
		for _, t := range r.ServiceShares() {
			if _, ok := m.services[t.Service]; !ok {
				return m.unknownService(s, i, t.Service)
			}
		}
		if err := m.addRouteKeys(s, i, r); err != nil {
			return err
		}
		m.document.Routes = append(m.document.Routes, r)
	}
	return nil
}

// unknownService returns the error of route i, with a suggestion.
func (m *merger) unknownService(s Source, i int, service string) error {
	e := decoder.ErrorAt(s.Name, s.Body, fmt.Sprintf("$.routes[%d].service", i), "no section defines service %q", service)
	var defined []string
	for name := range m.services {
		defined = append(defined, name)
	}
	slices.Sort(defined)
	if near := decoder.ClosestName(service, defined); near != "" {
		return e.WithHint("did you mean %q?", near)
	}
	return e.WithHint("define the service first; known ones: %s", strings.Join(defined, ", "))
}

// addRouteKeys records the keys of route i. It returns an error if another route
// has one of them.
func (m *merger) addRouteKeys(s Source, i int, r parser.Route) error {
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
