package parser

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

const (
	// routeSectionCount is the number of sections that the routes of a document
	// are distributed over, so that the change of one route changes only one small
	// section.
	routeSectionCount = 32
	servicesSection   = "document-services"
)

// NamedSection is one section of a document that Split has divided.
type NamedSection struct {
	Name    string
	Content Content
}

// Split divides a document into sections. The hash of its host and path assigns a
// route to a section, so a small change of the document changes few sections.
func Split(c Content) []NamedSection {
	sections := []NamedSection{{Name: servicesSection, Content: Content{Services: c.Services, Limits: c.Limits}}}
	var routes [routeSectionCount][]Route
	for _, r := range c.Routes {
		i := xxhash.Sum64String(r.Host+"\x00"+r.Path) % routeSectionCount
		routes[i] = append(routes[i], r)
	}
	for i, list := range routes {
		if len(list) > 0 {
			sections = append(sections, NamedSection{Name: fmt.Sprintf("document-%02d", i), Content: Content{Routes: list}})
		}
	}
	return sections
}
