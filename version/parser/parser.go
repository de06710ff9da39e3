// Package parser reads one section of the configuration document.
//
// A section belongs to a team. It names services and routes:
//
//	services:
//	  - name: designs
//	    slots: 10
//	    connections: 100
//	    queue: 20
//	routes:
//	  - path: /designs
//	    methods: [GET]
//	    service: designs
//	    timeout: 2s
//	    retries: 2
//	  - path: /deposits
//	    methods: [POST]
//	    service: designs
//	    nonIdempotent: true
//	    importance: high
//
// # Usage
//
//	content, err := parser.Parse("designs", body)
//
// Parse checks what can be seen in one section alone. Whether the sections fit
// together is the validator's work.
package parser

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
)

const (
	// DefaultSlots is the number of requests that a target works on at once.
	DefaultSlots = 10
	// DefaultConnections is the number of connections to a target.
	DefaultConnections = 100
	// DefaultQueue is the number of requests that wait for a slot of one target.
	DefaultQueue = 20
	// DefaultTimeout bounds a request from entry to answer.
	DefaultTimeout = 5 * time.Second
	// MaxTimeout is the longest timeout that a route may set.
	MaxTimeout = 10 * time.Minute
	// MaxRetries is the highest number of further attempts that a route may set.
	MaxRetries = 5

	maxCount = 100_000
)

// Importance orders requests when a target has too few slots.
type Importance string

// The importances, from the first to be shed to the last.
const (
	ImportanceLow    Importance = "low"
	ImportanceNormal Importance = "normal"
	ImportanceHigh   Importance = "high"
)

// Rank returns a number that grows with importance.
func (i Importance) Rank() int { return slices.Index(importances, i) }

var importances = []Importance{ImportanceLow, ImportanceNormal, ImportanceHigh}

// Service is a group of targets that answer the same requests.
type Service struct {
	Name        string `yaml:"name" json:"name"`
	Slots       int    `yaml:"slots" json:"slots"`
	Connections int    `yaml:"connections" json:"connections"`
	Queue       int    `yaml:"queue" json:"queue"`
}

// Route sends the requests below one path to a service.
type Route struct {
	Path          string       `yaml:"path" json:"path"`
	Methods       []string     `yaml:"methods" json:"methods"`
	Service       string       `yaml:"service" json:"service"`
	NonIdempotent bool         `yaml:"nonIdempotent" json:"nonIdempotent"`
	Stream        bool         `yaml:"stream" json:"stream"`
	Importance    Importance   `yaml:"importance" json:"importance"`
	Timeout       decoder.Span `yaml:"timeout" json:"timeout"`
	Retries       int          `yaml:"retries" json:"retries"`
}

// Matches reports whether the route takes requests of the method.
func (r Route) Matches(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// Content is one section as it was understood.
type Content struct {
	Services []Service `yaml:"services" json:"services"`
	Routes   []Route   `yaml:"routes" json:"routes"`
}

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	methodNames = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// ValidName reports whether a section, service or version may have this name.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Parse reads a section. section names it in errors, which are of type
// *decoder.Error.
func Parse(section string, body []byte) (Content, error) {
	var c Content
	if err := decoder.Decode(section, body, &c); err != nil {
		return Content{}, err
	}
	for i := range c.Services {
		if err := checkService(section, body, i, &c.Services[i]); err != nil {
			return Content{}, err
		}
	}
	for i := range c.Routes {
		if err := checkRoute(section, body, i, &c.Routes[i]); err != nil {
			return Content{}, err
		}
	}
	return c, nil
}

func checkService(section string, body []byte, i int, s *Service) error {
	at := fmt.Sprintf("$.services[%d]", i)
	if !ValidName(s.Name) {
		return decoder.At(section, body, at+".name", "service name %q is not valid", s.Name).
			WithMend("use lower-case letters, digits and hyphens, a letter first")
	}
	fields := []struct {
		key   string
		value *int
		first int
	}{{"slots", &s.Slots, DefaultSlots}, {"connections", &s.Connections, DefaultConnections}, {"queue", &s.Queue, DefaultQueue}}
	for _, f := range fields {
		if *f.value < 0 || *f.value > maxCount {
			return decoder.At(section, body, at+"."+f.key, "%s is %d", f.key, *f.value).
				WithMend("use a number from 1 to %d, or leave the key out for %d", maxCount, f.first)
		}
		if *f.value == 0 {
			*f.value = f.first
		}
	}
	return nil
}

func checkRoute(section string, body []byte, i int, r *Route) error {
	at := fmt.Sprintf("$.routes[%d]", i)
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?#% ") || strings.Contains(r.Path, "//") || strings.Contains(r.Path, "/.") {
		return decoder.At(section, body, at+".path", "path %q is not valid", r.Path).
			WithMend("write a plain path that begins with /, such as /designs")
	}
	r.Path = "/" + strings.Trim(r.Path, "/")
	for j, m := range r.Methods {
		if !slices.Contains(methodNames, m) {
			return decoder.At(section, body, fmt.Sprintf("%s.methods[%d]", at, j), "unknown method %q", m).
				WithMend("use one of %s", strings.Join(methodNames, ", "))
		}
	}
	if r.Service == "" {
		return decoder.At(section, body, at, "the route names no service").WithMend("add service: NAME")
	}
	if r.Importance == "" {
		r.Importance = ImportanceNormal
	}
	if r.Importance.Rank() < 0 {
		return decoder.At(section, body, at+".importance", "unknown importance %q", r.Importance).
			WithMend("use low, normal or high")
	}
	if r.Timeout == 0 {
		r.Timeout = decoder.Span(DefaultTimeout)
	}
	if r.Timeout.Duration() > MaxTimeout {
		return decoder.At(section, body, at+".timeout", "timeout is longer than %s", MaxTimeout).WithMend("use at most %s", MaxTimeout)
	}
	if r.Retries < 0 || r.Retries > MaxRetries {
		return decoder.At(section, body, at+".retries", "retries is %d", r.Retries).WithMend("use 0 to %d", MaxRetries)
	}
	return nil
}
