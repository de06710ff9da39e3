// Package configurer reads the settings of one process.
//
// Settings are one YAML file. They are read once, checked as a whole, and never
// change afterwards. Every fault is reported with file, line, column and how
// to mend it, so that `hornbeamd check` can say so without starting anything.
//
// # Usage
//
//	s, err := configurer.Load("hornbeam.yaml")
//	if s.HasRole(configurer.RoleNode) { ... }
package configurer

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/common/decoder"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// Role is a part that a process plays.
type Role string

// The roles of a process.
const (
	RoleNode    Role = "node"
	RoleControl Role = "control"
)

const (
	// DefaultMemoryLimitBytes is the soft limit of a process that is only a node, in bytes.
	DefaultMemoryLimitBytes = 128 << 20
	// DefaultHeapGrowthPercent lets a small heap grow between collections, which would
	// else come many times a second; the memory limit still bounds it.
	DefaultHeapGrowthPercent = 800
	// DefaultDrainTime is how long a stopping node still takes requests while the others learn of it.
	DefaultDrainTime = 2 * time.Second
	// DefaultStopTime bounds the wait for requests in flight at a planned stop.
	DefaultStopTime = 30 * time.Second
	// DefaultClaimLifetime is how long an idempotency key is remembered.
	DefaultClaimLifetime = 24 * time.Hour

	maxControlHosts = 7
	maxPort         = 65535
	leastElection   = 200 * time.Millisecond
	mostElection    = 10 * time.Second
	// mostTolerated bounds the losses that control hosts are to bear: every edit
	// waits for as many disks and one more.
	mostTolerated = 10
	// softPart is the part of the hard memory limit that the heap is held to.
	softPart = 0.6
)

// Kind tells why settings could not be read.
type Kind string

// The kinds of settings errors.
const (
	KindIO Kind = "io"
)

// Error is the only error type of this package, beside *decoder.Error for
// faults with a place.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("configurer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Settings are the settings of one process.
type Settings struct {
	Name              string           `yaml:"name"`
	DataCentre        string           `yaml:"dataCentre"`
	Roles             []Role           `yaml:"roles"`
	DataFolder        string           `yaml:"dataFolder"`
	AdminAddress      string           `yaml:"adminAddress"`
	LogLevel          string           `yaml:"logLevel"`
	MemoryLimitMB     int              `yaml:"memoryLimitMB"`
	StopTime          decoder.Duration `yaml:"stopTime"`
	HardLimitMB       int              `yaml:"hardLimitMB"` // HardLimitMB is what the host ends the process at; the soft limit then follows from it.
	HeapGrowthPercent int              `yaml:"heapGrowth"`  // HeapGrowth is by how many percent the heap grows between collections.
	Discovery         Discovery        `yaml:"discovery"`
	Edge              Edge             `yaml:"edge"`
	Retries           Retries          `yaml:"retries"`
	Traces            Traces           `yaml:"traces"`
	Node              Node             `yaml:"node"`
	Control           Control          `yaml:"control"`
}

// Traces says where spans go.
type Traces struct {
	File          string  `yaml:"file"`
	Endpoint      string  `yaml:"endpoint"` // Endpoint is an OTLP collector's URL, such as http://10.0.0.9:4318/v1/traces.
	SamplingRatio float64 `yaml:"ratio"`
}

// Discovery says how control hosts are found where their list is not fixed.
type Discovery struct {
	Seeds          []string `yaml:"seeds"` // Seeds are addresses of some control hosts; only their IPs count.
	Port           int      `yaml:"port"`  // Port is the port of every control host's rpcAddress.
	AllowBootstrap bool     `yaml:"found"` // Found lets the seeds begin the groups, when every disk is new.
}

// Edge lets a platform's targets and operators speak to this process in their
// own way.
type Edge struct {
	Adapter      string `yaml:"adapter"`      // Adapter is one of Adapters; empty means the project's own interfaces.
	Address      string `yaml:"address"`      // Address takes the platform's calls.
	ReadyAddress string `yaml:"readyAddress"` // ReadyAddress tells the platform whether a node serves.
	Service      string `yaml:"service"`      // Service is the service of the targets on this host.
}

// Adapters are the platforms that Edge may name.
var Adapters = []string{"platform"}

// Retries bounds the further attempts of all nodes together, by service.
type Retries struct {
	Ratio float64 `yaml:"ratio"` // Ratio is the number of further attempts for each request.
	Slack float64 `yaml:"slack"` // Slack is the number of further attempts beyond the ratio.
}

// SeedAddresses returns the rpcAddress of each seed.
func (d Discovery) SeedAddresses() []string {
	var out []string
	for _, s := range d.Seeds {
		host, _, err := net.SplitHostPort(s)
		if err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(d.Port)))
		}
	}
	return out
}

// Node holds the settings of the node role.
type Node struct {
	EntryAddress     string           `yaml:"entryAddress"`    // EntryAddress takes callers' requests.
	PeerAddress      string           `yaml:"peerAddress"`     // PeerAddress takes other nodes' requests.
	AnnounceAddress  string           `yaml:"announceAddress"` // AnnounceAddress takes announcements of targets on this host.
	ControlAddresses []string         `yaml:"control"`         // Control lists the control hosts' rpcAddress.
	QueueLimit       int              `yaml:"queue"`
	LinkMbps         float64          `yaml:"linkMbps"` // LinkMbps is the rate of the host's network link, 0 when it is not known.
	ClaimLifetime    decoder.Duration `yaml:"claimLifetime"`
	DrainTime        decoder.Duration `yaml:"drainTime"`
}

// Control holds the settings of the control role.
type Control struct {
	RPCAddress      string `yaml:"rpcAddress"`
	OperatorAddress string `yaml:"operatorAddress"`
	Peers           []Peer `yaml:"peers"`
	Teams           []Team `yaml:"teams"`
	// ElectionTimeout is the least silence of a leader after which another is elected.
	ElectionTimeout decoder.Duration `yaml:"electionTimeout"`
	// ToleratedLosses is how many control hosts may be lost at once without an end of
	// service; 0 bears the loss of any minority. Control hosts beyond what that
	// takes do not vote.
	ToleratedLosses int `yaml:"toleratedLosses"`
}

// VoterCount returns how many control hosts vote at the most, 0 for all.
func (c Control) VoterCount() int {
	if c.ToleratedLosses == 0 {
		return 0
	}
	return 2*c.ToleratedLosses + 1
}

// Peer is one control host.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Team is a team of operators and the hash of its token.
type Team struct {
	Name      string `yaml:"name"`
	TokenHash string `yaml:"tokenHash"`
}

// HasRole reports whether the process plays a role.
func (s Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// Load reads and checks a settings file. Relative paths in it count from the
// file's own folder.
func Load(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{"load", KindIO, errors.WithMessage(err, "name the settings file with --settings")}
	}
	s, err := Parse(file, raw)
	if err != nil {
		return Settings{}, err
	}
	folder := filepath.Dir(file)
	if s.DataFolder != "" && !filepath.IsAbs(s.DataFolder) {
		s.DataFolder = filepath.Join(folder, s.DataFolder)
	}
	if s.Traces.File != "" && !filepath.IsAbs(s.Traces.File) {
		s.Traces.File = filepath.Join(folder, s.Traces.File)
	}
	return s, nil
}

// Parse checks settings and fills in defaults.
func Parse(file string, raw []byte) (Settings, error) {
	var s Settings
	if err := decoder.Decode(file, raw, &s); err != nil {
		return Settings{}, err
	}
	c := checker{file: file, raw: raw}
	c.checkProcess(&s)
	c.checkDiscovery(s)
	c.checkEdge(s)
	if s.HasRole(RoleNode) {
		c.checkNode(&s)
	}
	if s.HasRole(RoleControl) {
		c.checkControl(&s)
	}
	c.checkAddresses(s)
	if c.err != nil {
		return Settings{}, c.err
	}
	return s, nil
}

// checker keeps the first fault.
type checker struct {
	file string
	raw  []byte
	err  error
}

func (c *checker) fail(path, mend, format string, args ...any) {
	if c.err == nil {
		c.err = decoder.ErrorAt(c.file, c.raw, path, format, args...).WithHint("%s", mend)
	}
}

func (c *checker) checkProcess(s *Settings) {
	if !parser.ValidName(s.Name) {
		c.fail("$.name", "use lower-case letters, digits and hyphens, a letter first", "name %q is not valid", s.Name)
	}
	if !parser.ValidName(s.DataCentre) {
		c.fail("$.dataCentre", "name the data centre that this host is in, such as bkk-1", "dataCentre %q is not valid", s.DataCentre)
	}
	if len(s.Roles) == 0 {
		c.fail("$.roles", "write roles: [node], [control] or [node, control]", "the process has no role")
	}
	for i, r := range s.Roles {
		if r != RoleNode && r != RoleControl {
			c.fail(fmt.Sprintf("$.roles[%d]", i), "use node or control", "unknown role %q", r)
		}
		if slices.Index(s.Roles, r) != i {
			c.fail(fmt.Sprintf("$.roles[%d]", i), "remove it", "role %q is named twice", r)
		}
	}
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, s.LogLevel) {
		c.fail("$.logLevel", "use debug, info, warn or error", "unknown logLevel %q", s.LogLevel)
	}
	if s.Traces.SamplingRatio < 0 || s.Traces.SamplingRatio > 1 {
		c.fail("$.traces.ratio", "use a number from 0 to 1", "ratio is %g", s.Traces.SamplingRatio)
	}
	if s.MemoryLimitMB < 0 {
		c.fail("$.memoryLimitMB", "use a number of megabytes", "memoryLimitMB is %d", s.MemoryLimitMB)
	}
	if s.HeapGrowthPercent < 0 {
		c.fail("$.heapGrowth", "use a number of percent, or leave the key out", "heapGrowth is %d", s.HeapGrowthPercent)
	}
	if s.HeapGrowthPercent == 0 {
		s.HeapGrowthPercent = DefaultHeapGrowthPercent
	}
	if s.HardLimitMB > 0 && s.MemoryLimitMB == 0 {
		s.MemoryLimitMB = int(softPart * float64(s.HardLimitMB))
	}
	if s.MemoryLimitMB == 0 && !s.HasRole(RoleControl) {
		s.MemoryLimitMB = DefaultMemoryLimitBytes >> 20
	}
	if s.StopTime == 0 {
		s.StopTime = decoder.Duration(DefaultStopTime)
	}
}

func (c *checker) checkNode(s *Settings) {
	n := &s.Node
	if len(n.ControlAddresses) == 0 && s.HasRole(RoleControl) {
		for _, p := range s.Control.Peers {
			n.ControlAddresses = append(n.ControlAddresses, p.Address)
		}
	}
	if len(n.ControlAddresses) == 0 {
		n.ControlAddresses = s.Discovery.SeedAddresses()
	}
	if len(n.ControlAddresses) == 0 {
		c.fail("$.node.control", "list the rpcAddress of each control host", "a node without control hosts can never be ready")
	}
	for i, a := range n.ControlAddresses {
		c.checkAddress(fmt.Sprintf("$.node.control[%d]", i), a)
	}
	if n.QueueLimit < 0 {
		c.fail("$.node.queue", "use a number of requests", "queue is %d", n.QueueLimit)
	}
	if n.LinkMbps < 0 {
		c.fail("$.node.linkMbps", "use megabits a second, or leave it out", "linkMbps is %g", n.LinkMbps)
	}
	if n.QueueLimit == 0 {
		n.QueueLimit = parser.DefaultQueue
	}
	if n.ClaimLifetime == 0 {
		n.ClaimLifetime = decoder.Duration(DefaultClaimLifetime)
	}
	if n.DrainTime == 0 {
		n.DrainTime = decoder.Duration(DefaultDrainTime)
	}
}

func (c *checker) checkDiscovery(s Settings) {
	if len(s.Discovery.Seeds) > 0 && (s.Discovery.Port < 1 || s.Discovery.Port > maxPort) {
		c.fail("$.discovery.port", "write the port of every control host's rpcAddress", "port is %d", s.Discovery.Port)
	}
	for i, a := range s.Discovery.Seeds {
		c.checkAddress(fmt.Sprintf("$.discovery.seeds[%d]", i), a)
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 {
		c.fail("$.retries", "use numbers of 0 and more", "ratio is %g, slack is %g", s.Retries.Ratio, s.Retries.Slack)
	}
}

func (c *checker) checkEdge(s Settings) {
	if s.Edge.Adapter != "" && !slices.Contains(Adapters, s.Edge.Adapter) {
		c.fail("$.edge.adapter", "use one of "+strings.Join(Adapters, ", ")+", or leave it out", "unknown adapter %q", s.Edge.Adapter)
	}
}

func (c *checker) checkControl(s *Settings) {
	if s.DataFolder == "" {
		c.fail("$.dataFolder", "name a folder on a disk that lasts", "a control host needs a dataFolder")
	}
	if e := s.Control.ElectionTimeout.AsDuration(); e != 0 && (e < leastElection || e > mostElection) {
		c.fail("$.control.electionTimeout", fmt.Sprintf("use %s to %s, several times the way between control hosts", leastElection, mostElection), "electionTimeout is %s", e)
	}
	if n := s.Control.ToleratedLosses; n < 0 || n > mostTolerated {
		c.fail("$.control.toleratedLosses", fmt.Sprintf("use 0 to %d", mostTolerated), "toleratedLosses is %d", n)
	}
	if len(s.Discovery.Seeds) > 0 && len(s.Control.Peers) == 0 {
		c.checkTeams(s.Control)
		return
	}
	own := slices.IndexFunc(s.Control.Peers, func(p Peer) bool { return p.Name == s.Name })
	switch {
	case len(s.Control.Peers) == 0:
		c.fail("$.control.peers", "list every control host, this one included", "the control role names no peers")
	case len(s.Control.Peers) > maxControlHosts:
		c.fail("$.control.peers", fmt.Sprintf("use at most %d", maxControlHosts), "%d control hosts", len(s.Control.Peers))
	case own < 0:
		c.fail("$.control.peers", "add this host to the list", "peers does not name %q", s.Name)
	case s.Control.Peers[own].Address != s.Control.RPCAddress:
		c.fail(fmt.Sprintf("$.control.peers[%d].address", own), "write the same address in both places",
			"address %q is not this host's rpcAddress %q", s.Control.Peers[own].Address, s.Control.RPCAddress)
	}
	for i, p := range s.Control.Peers {
		c.checkAddress(fmt.Sprintf("$.control.peers[%d].address", i), p.Address)
		same := func(o Peer) bool { return o.Name == p.Name || o.Address == p.Address }
		if slices.IndexFunc(s.Control.Peers, same) != i {
			c.fail(fmt.Sprintf("$.control.peers[%d]", i), "give each host its own name and address", "peer %q stands twice", p.Name)
		}
	}
	c.checkTeams(s.Control)
}

var tokenHash = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

func (c *checker) checkTeams(control Control) {
	if control.OperatorAddress != "" && len(control.Teams) == 0 {
		c.fail("$.control.operatorAddress", "add control.teams; hornbeamctl token makes a token and its hash", "operators have no team, so nobody can sign in")
	}
	for i, t := range control.Teams {
		at := fmt.Sprintf("$.control.teams[%d]", i)
		if !parser.ValidName(t.Name) {
			c.fail(at+".name", "use lower-case letters, digits and hyphens", "team name %q is not valid", t.Name)
		}
		if !tokenHash.MatchString(t.TokenHash) {
			c.fail(at+".tokenHash", "run hornbeamctl token and write its hash here", "tokenHash is not sha256: and 64 hexadecimal digits")
		}
		if slices.IndexFunc(control.Teams, func(o Team) bool { return o.Name == t.Name || o.TokenHash == t.TokenHash }) != i {
			c.fail(at, "give each team its own name and token", "team %q stands twice", t.Name)
		}
	}
}

// place is one address that this process listens on.
type place struct{ path, address string }

// checkAddresses makes sure that everything can listen.
func (c *checker) checkAddresses(s Settings) {
	var places []place
	if s.AdminAddress != "" {
		places = append(places, place{"$.adminAddress", s.AdminAddress})
	}
	if s.HasRole(RoleNode) {
		places = append(places, place{"$.node.entryAddress", s.Node.EntryAddress}, place{"$.node.peerAddress", s.Node.PeerAddress})
		if s.Node.AnnounceAddress != "" || s.Edge.Adapter == "" {
			places = append(places, place{"$.node.announceAddress", s.Node.AnnounceAddress})
		}
	}
	if s.Edge.Adapter != "" {
		places = append(places, place{"$.edge.address", s.Edge.Address})
		if s.HasRole(RoleNode) {
			places = append(places, place{"$.edge.readyAddress", s.Edge.ReadyAddress})
		}
	}
	if s.HasRole(RoleControl) {
		places = append(places, place{"$.control.rpcAddress", s.Control.RPCAddress})
		if s.Control.OperatorAddress != "" {
			places = append(places, place{"$.control.operatorAddress", s.Control.OperatorAddress})
		}
	}
	for i, p := range places {
		c.checkAddress(p.path, p.address)
		first := slices.IndexFunc(places, func(o place) bool { return o.address == p.address })
		if first != i {
			c.fail(p.path, "use another port", "address %s is used by %s already", p.address, strings.TrimPrefix(places[first].path, "$."))
		}
	}
}

func (c *checker) checkAddress(path, address string) {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || n < 1 || n > maxPort {
		c.fail(path, "write IP:PORT, such as 10.0.0.1:7000", "%q is not an address", address)
	}
}
