package parser

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// partCount is the number of sections that the routes of a document are
	// spread over: a change of one route then costs one small section.
	partCount   = 32
	servicePart = "document-services"
)

// NamedSection is one section of a document that was split.
type NamedSection struct {
	Name    string
	Content Content
}

// Split spreads a document over sections. A route always goes to the same
// section, so a small change of the document changes few sections.
func Split(c Content) []NamedSection {
	parts := []NamedSection{{Name: servicePart, Content: Content{Services: c.Services, Limits: c.Limits}}}
	var routes [partCount][]Route
	for _, r := range c.Routes {
		i := xxhash.Sum64String(r.Host+"\x00"+r.Path) % partCount
		routes[i] = append(routes[i], r)
	}
	for i, list := range routes {
		if len(list) > 0 {
			parts = append(parts, NamedSection{Name: fmt.Sprintf("document-%02d", i), Content: Content{Routes: list}})
		}
	}
	return parts
}
