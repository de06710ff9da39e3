// Package parser parses one section of the configuration document.
//
// A section belongs to a team. It defines services and routes:
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
//	  - path: /previews
//	    host: shop.example
//	    shares: [{service: designs, weight: 90}, {service: designs-b, weight: 10}]
//
// A section that a program generates can be encoded as CBOR, see Encode; it parses
// many times faster than YAML.
//
// # Usage
//
//	content, err := parser.Parse("designs", body)
//
// Parse checks what one section alone determines. Package validator checks the
// sections against each other.
package parser

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
)

const (
	// DefaultSlots is the default number of requests that a target processes
	// concurrently.
	DefaultSlots = 10
	// DefaultConnections is the default number of connections to a target.
	DefaultConnections = 100
	// DefaultQueue is the default number of requests that may wait for a slot of
	// one target.
	DefaultQueue = 20
	// DefaultTimeout is the default time from the receipt of a request to the end
	// of its response.
	DefaultTimeout = 5 * time.Second
	// MaxTimeout is the longest timeout that a route may set.
	MaxTimeout = 10 * time.Minute
	// MaxRetries is the highest number of retries that a route may set.
	MaxRetries = 5

	// maxCount bounds slots, connections, queues and weights.
	maxCount = 100_000
	// priorityRankBase minus a priority is its rank, which keeps the ranks of
	// priorities above those of importances.
	priorityRankBase = 1_000_000
)

// Importance is the order of requests when a target has too few slots.
type Importance string

// The importances; requests of low importance are shed first.
const (
	ImportanceLow    Importance = "low"
	ImportanceNormal Importance = "normal"
	ImportanceHigh   Importance = "high"
)

// Rank returns the priority rank; higher is served first. It is -1 for an unknown
// importance.
func (i Importance) Rank() int { return slices.Index(importances, i) }

var importances = []Importance{ImportanceLow, ImportanceNormal, ImportanceHigh}

// Service is a group of targets that serve the same requests. Slots, Connections
// and Queue are per target; 0 means the default.
type Service struct {
	Name        string `yaml:"name" json:"name"`
	Slots       int    `yaml:"slots" json:"slots"`
	Connections int    `yaml:"connections" json:"connections"`
	Queue       int    `yaml:"queue" json:"queue"`
}

// Share is the weight of one service in the distribution of a route's requests.
type Share struct {
	Service string `yaml:"service" json:"service"`
	Weight  int    `yaml:"weight" json:"weight"`
}

// Route directs the requests below one path to one service, or distributes them
// over several.
type Route struct {
	Path             string           `yaml:"path" json:"path"`
	Host             string           `yaml:"host" json:"host,omitempty"` // Host is empty for a route of all hosts.
	Methods          []string         `yaml:"methods" json:"methods,omitempty"`
	Service          string           `yaml:"service" json:"service,omitempty"`
	Shares           []Share          `yaml:"shares" json:"shares,omitempty"` // Shares replaces Service.
	NonIdempotent    bool             `yaml:"nonIdempotent" json:"nonIdempotent,omitempty"`
	Idempotent       bool             `yaml:"idempotent" json:"idempotent,omitempty"` // Idempotent overrides the default of the method.
	Stream           bool             `yaml:"stream" json:"stream,omitempty"`
	Bulk             bool             `yaml:"bulk" json:"bulk,omitempty"` // Bulk means that responses are large; targets in the own data centre are then preferred more.
	Importance       Importance       `yaml:"importance" json:"importance,omitempty"`
	Priority         int              `yaml:"priority" json:"priority,omitempty"` // Priority ranks finer than Importance: 1 is served first, 0 means that Importance decides.
	Timeout          decoder.Duration `yaml:"timeout" json:"timeout"`
	LatencyObjective decoder.Duration `yaml:"aim" json:"aim,omitempty"` // LatencyObjective is the time within which a response keeps most of its value; 0 means the timeout.
	Retries          int              `yaml:"retries" json:"retries,omitempty"`
}

// ServiceShares returns the shares of the route; a route with a single service has
// one share of weight 1.
func (r Route) ServiceShares() []Share {
	if len(r.Shares) > 0 {
		return r.Shares
	}
	return []Share{{Service: r.Service, Weight: 1}}
}

// Rank returns the priority rank; higher is served first.
func (r Route) Rank() int {
	if r.Priority > 0 {
		return priorityRankBase - r.Priority
	}
	return r.Importance.Rank()
}

// EffectiveLatencyObjective returns the latency objective, or the timeout if none
// is set.
func (r Route) EffectiveLatencyObjective() time.Duration {
	if r.LatencyObjective == 0 {
		return r.Timeout.AsDuration()
	}
	return r.LatencyObjective.AsDuration()
}

// MatchesMethod reports whether the route accepts requests with the method.
func (r Route) MatchesMethod(method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}

// Limits bound the requests of callers. At most one section sets them; a field
// that is 0 means the limit of the node.
type Limits struct {
	HeaderBytes   int              `yaml:"headerBytes" json:"headerBytes,omitempty"`
	BodyBytes     int              `yaml:"bodyBytes" json:"bodyBytes,omitempty"`
	HeaderTimeout decoder.Duration `yaml:"headerTimeout" json:"headerTimeout,omitempty"`
	IdleTimeout   decoder.Duration `yaml:"idleTimeout" json:"idleTimeout,omitempty"`
}

// Content is the parsed content of one section.
type Content struct {
	Services []Service `yaml:"services" json:"services,omitempty"`
	Routes   []Route   `yaml:"routes" json:"routes,omitempty"`
	Limits   *Limits   `yaml:"limits" json:"limits,omitempty"`
}

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	methodNames = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// ValidName reports whether name is a valid name of a section, service or version:
// up to 63 lower-case letters, digits and hyphens, a letter first.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// HostName returns a host without its port, in lower case. Hosts with the same name are
// the same to routes.
func HostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Parse parses and checks a section and sets the defaults. Errors are of type
// *decoder.Error and name the section as their file.
func Parse(section string, body []byte) (Content, error) {
	if encoded, ok := bytes.CutPrefix(body, encodedPrefix); ok {
		return decodeEncoded(section, body, encoded)
	}
	var c Content
	if err := decoder.Decode(section, body, &c); err != nil {
		return Content{}, err
	}
	if l := c.Limits; l != nil && (l.HeaderBytes < 0 || l.BodyBytes < 0) {
		return Content{}, decoder.ErrorAt(section, body, "$.limits", "a limit is below 0").WithHint("use a number of bytes, or leave the key out")
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

// checkService checks the service at index i and sets its defaults.
func checkService(section string, body []byte, i int, s *Service) error {
	at := fmt.Sprintf("$.services[%d]", i)
	if !ValidName(s.Name) {
		return decoder.ErrorAt(section, body, at+".name", "service name %q is not valid", s.Name).
			WithHint("use lower-case letters, digits and hyphens, a letter first")
	}
	fields := []struct {
		key          string
		value        *int
		defaultValue int
	}{{"slots", &s.Slots, DefaultSlots}, {"connections", &s.Connections, DefaultConnections}, {"queue", &s.Queue, DefaultQueue}}
	for _, f := range fields {
		if *f.value < 0 || *f.value > maxCount {
			return decoder.ErrorAt(section, body, at+"."+f.key, "%s is %d", f.key, *f.value).
				WithHint("use a number from 1 to %d, or leave the key out for %d", maxCount, f.defaultValue)
		}
		if *f.value == 0 {
			*f.value = f.defaultValue
		}
	}
	return nil
}

// checkRoute checks the route at index i, normalises its path and sets its
// defaults.
func checkRoute(section string, body []byte, i int, r *Route) error {
	at := fmt.Sprintf("$.routes[%d]", i)
	if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?#% ") || strings.Contains(r.Path, "//") || strings.Contains(r.Path, "/.") {
		return decoder.ErrorAt(section, body, at+".path", "path %q is not valid", r.Path).
			WithHint("write a plain path that begins with /, such as /designs")
	}
	r.Path = "/" + strings.Trim(r.Path, "/")
	for j, m := range r.Methods {
		if !slices.Contains(methodNames, m) {
			return decoder.ErrorAt(section, body, fmt.Sprintf("%s.methods[%d]", at, j), "unknown method %q", m).
				WithHint("use one of %s", strings.Join(methodNames, ", "))
		}
	}
	if err := checkShares(section, body, at, r); err != nil {
		return err
	}
	if r.NonIdempotent && r.Idempotent {
		return decoder.ErrorAt(section, body, at+".idempotent", "the route is both idempotent and nonIdempotent").WithHint("remove one of the two")
	}
	if r.Priority < 0 {
		return decoder.ErrorAt(section, body, at+".priority", "priority is %d", r.Priority).WithHint("use 1 for the most urgent requests")
	}
	if r.Importance == "" {
		r.Importance = ImportanceNormal
	}
	if r.Importance.Rank() < 0 {
		return decoder.ErrorAt(section, body, at+".importance", "unknown importance %q", r.Importance).
			WithHint("use low, normal or high")
	}
	if r.Timeout == 0 {
		r.Timeout = decoder.Duration(DefaultTimeout)
	}
	if r.Timeout.AsDuration() > MaxTimeout {
		return decoder.ErrorAt(section, body, at+".timeout", "timeout is longer than %s", MaxTimeout).WithHint("use at most %s", MaxTimeout)
	}
	if r.LatencyObjective.AsDuration() > r.Timeout.AsDuration() {
		return decoder.ErrorAt(section, body, at+".aim", "aim is longer than the timeout").WithHint("use at most %s", r.Timeout.AsDuration())
	}
	if r.Retries < 0 || r.Retries > MaxRetries {
		return decoder.ErrorAt(section, body, at+".retries", "retries is %d", r.Retries).WithHint("use 0 to %d", MaxRetries)
	}
	return nil
}

// checkShares checks that a route has either a service or valid shares.
func checkShares(section string, body []byte, at string, r *Route) error {
	switch {
	case r.Service == "" && len(r.Shares) == 0:
		return decoder.ErrorAt(section, body, at, "the route names no service").WithHint("add service: NAME")
	case r.Service != "" && len(r.Shares) > 0:
		return decoder.ErrorAt(section, body, at+".shares", "the route has both service and shares").WithHint("remove one of the two")
	}
	sum := 0
	for i, s := range r.Shares {
		if s.Service == "" || s.Weight < 0 || s.Weight > maxCount {
			return decoder.ErrorAt(section, body, fmt.Sprintf("%s.shares[%d]", at, i), "the share has no service or no valid weight").
				WithHint("write {service: NAME, weight: 0 to %d}", maxCount)
		}
		sum += s.Weight
	}
	if len(r.Shares) > 0 && sum == 0 {
		return decoder.ErrorAt(section, body, at+".shares", "the weights add up to 0").WithHint("give a share a weight above 0")
	}
	return nil
}
