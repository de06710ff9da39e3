// Package configurer reads the settings of one process.
//
// The settings are one YAML file. Load reads it, checks it as a whole and fills in
// defaults; the returned Settings do not change afterwards. An error in the file is
// reported with file, line, column and a hint, so that `hornbeamd check` can print
// it without starting the process.
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
	"github.com/hornbeamrack/hornbeamrack/request/claimer"
	"github.com/hornbeamrack/hornbeamrack/version/parser"
)

// Role is a function that a process performs in the mesh.
type Role string

// The roles of a process.
const (
	RoleNode    Role = "node"    // RoleNode proxies requests beside the targets of a host.
	RoleControl Role = "control" // RoleControl stores and distributes the configuration.
)

const (
	// DefaultMemoryLimitBytes is the soft memory limit of a process with the node role alone.
	DefaultMemoryLimitBytes = 128 << 20
	// DefaultHeapGrowthPercent lets a small heap grow between garbage collections, which
	// would otherwise run many times a second; the memory limit still bounds the heap.
	DefaultHeapGrowthPercent = 800
	// DefaultDrainTime is how long a stopping node still accepts requests of other nodes
	// while their tables are updated.
	DefaultDrainTime = 2 * time.Second
	// DefaultStopTime bounds the wait for requests in flight at a planned stop.
	DefaultStopTime = 30 * time.Second
	// DefaultMaxConfirmationAge is how old the last confirmation of a node's configuration
	// may be before the node is no longer ready.
	DefaultMaxConfirmationAge = 2 * time.Second
	// DefaultClaimLifetime is how long the claim of an idempotency key is stored.
	DefaultClaimLifetime = 24 * time.Hour

	maxControlHosts = 7
	maxPort         = 65535
	// minConfirmationAge leaves time for a call to a second control host, so that a node is
	// ready while one of them does not reply.
	minConfirmationAge = 800 * time.Millisecond
	minElectionTimeout = 200 * time.Millisecond
	maxElectionTimeout = 10 * time.Second
	// maxToleratedLosses bounds Control.ToleratedLosses: every edit waits for the disks
	// of that many control hosts and one more.
	maxToleratedLosses = 10
	// The upper bounds of numbers that have no natural one. A number above its bound is a
	// mistake, and some overflow where they are used.
	maxMemoryMB          = 1 << 24
	maxHeapGrowthPercent = 1e6
	maxQueueLimit        = 1e6
	maxLinkMbps          = 1e12
	maxRetryRatio        = 1e12
	maxRetrySlack        = 1e12
	maxClaimLifetime     = claimer.MaxLifetime
	// softLimitRatio is the soft memory limit as a part of the hard limit.
	softLimitRatio = 0.6
)

// Kind is the cause of an Error.
type Kind string

// The kinds of settings errors.
const (
	KindIO Kind = "io" // KindIO means that the settings file could not be read.
)

// Error is the only error type of this package, beside *decoder.Error for
// errors at a place in the file.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind
	Err  error // Err is the cause.
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("configurer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Settings are the settings of one process.
type Settings struct {
	Name              string           `yaml:"name"` // Name is the name of this host, unique in the mesh.
	DataCentre        string           `yaml:"dataCentre"`
	Roles             []Role           `yaml:"roles"`
	DataFolder        string           `yaml:"dataFolder"`    // DataFolder holds the stored state of a control host.
	AdminAddress      string           `yaml:"adminAddress"`  // AdminAddress serves metrics, health and readiness; empty serves none.
	LogLevel          string           `yaml:"logLevel"`      // LogLevel is debug, info, warn or error; empty means info.
	MemoryLimitMB     int              `yaml:"memoryLimitMB"` // MemoryLimitMB is the soft limit of the process's memory; for its default see DefaultMemoryLimitBytes.
	StopTime          decoder.Duration `yaml:"stopTime"`      // StopTime is the maximum duration of a planned stop.
	HardLimitMB       int              `yaml:"hardLimitMB"`   // HardLimitMB is the memory at which the host kills the process; without a MemoryLimitMB the soft limit is a part of it.
	HeapGrowthPercent int              `yaml:"heapGrowth"`    // HeapGrowthPercent is the growth of the heap between garbage collections, in percent.
	Discovery         Discovery        `yaml:"discovery"`
	Edge              Edge             `yaml:"edge"`
	Retries           Retries          `yaml:"retries"`
	Traces            Traces           `yaml:"traces"`
	Node              Node             `yaml:"node"`
	Control           Control          `yaml:"control"`
}

// Traces holds the destinations of spans and their sampling.
type Traces struct {
	File          string  `yaml:"file"`     // File receives spans as JSON lines; empty writes none.
	Endpoint      string  `yaml:"endpoint"` // Endpoint is the URL of an OTLP collector, such as http://10.0.0.9:4318/v1/traces.
	SamplingRatio float64 `yaml:"ratio"`    // SamplingRatio is the part of the requests without a trace that are recorded, from 0 to 1.
}

// Discovery holds how a process finds the control hosts when their list is not fixed.
type Discovery struct {
	Seeds          []string `yaml:"seeds"` // Seeds are addresses of some control hosts; only their IPs are used.
	Port           int      `yaml:"port"`  // Port is the port of every control host's rpcAddress.
	AllowBootstrap bool     `yaml:"found"` // AllowBootstrap lets the seeds create the groups when all their disks are empty.
}

// Edge holds the settings of the adapter for the interfaces of a platform's targets
// and operators.
type Edge struct {
	Adapter      string `yaml:"adapter"`      // Adapter is one of Adapters; empty means the project's own interfaces.
	Address      string `yaml:"address"`      // Address receives the platform's calls.
	ReadyAddress string `yaml:"readyAddress"` // ReadyAddress serves the readiness of a node to the platform.
	Service      string `yaml:"service"`      // Service is the service of the targets on this host.
}

// Adapters are the names that Edge.Adapter may have.
var Adapters = []string{"platform"}

// Retries holds the retry budget of each service, for all nodes together. The one
// ratio and slack apply to each service; their units are retries per request and
// retries.
type Retries struct {
	Ratio float64 `yaml:"ratio"` // Ratio is the number of retries allowed for each request.
	Slack float64 `yaml:"slack"` // Slack is the number of retries allowed beyond the ratio.
}

// SeedAddresses returns the rpcAddress of each seed: the seed's IP with Port. Seeds
// that are not of the form IP:PORT are left out.
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
	EntryAddress     string           `yaml:"entryAddress"`    // EntryAddress receives callers' requests.
	PeerAddress      string           `yaml:"peerAddress"`     // PeerAddress receives other nodes' requests.
	AnnounceAddress  string           `yaml:"announceAddress"` // AnnounceAddress receives announcements of targets on this host.
	ControlAddresses []string         `yaml:"control"`         // ControlAddresses lists the control hosts' rpcAddress.
	QueueLimit       int              `yaml:"queue"`           // QueueLimit is the number of requests that may wait for a target.
	LinkMbps         float64          `yaml:"linkMbps"`        // LinkMbps is the rate of the host's network link in megabits a second, 0 when unknown.
	ClaimLifetime    decoder.Duration `yaml:"claimLifetime"`   // ClaimLifetime is how long the claim of an idempotency key is stored.
	DrainTime        decoder.Duration `yaml:"drainTime"`       // DrainTime is how long a stopping node still accepts other nodes' requests.
	// MaxConfirmationAge is how old the last confirmation of the configuration by a control
	// host may be before the node is no longer ready.
	MaxConfirmationAge decoder.Duration `yaml:"maxConfirmationAge"`
}

// Control holds the settings of the control role.
type Control struct {
	RPCAddress      string `yaml:"rpcAddress"`      // RPCAddress receives calls of nodes and of other control hosts.
	OperatorAddress string `yaml:"operatorAddress"` // OperatorAddress serves the operators' API; empty serves none.
	Peers           []Peer `yaml:"peers"`           // Peers are all control hosts, this one included; empty when Discovery has seeds.
	Teams           []Team `yaml:"teams"`           // Teams are the operators that may call the operators' API.
	// ElectionTimeout is the minimum time without a heartbeat of the leader after which
	// another is elected.
	ElectionTimeout decoder.Duration `yaml:"electionTimeout"`
	// ToleratedLosses is how many control hosts may fail at once while the rest still
	// serve; 0 tolerates the loss of any minority. Control hosts beyond the number
	// that this needs do not vote.
	ToleratedLosses int `yaml:"toleratedLosses"`
}

// VoterCount returns the maximum number of control hosts that vote, 0 for all.
func (c Control) VoterCount() int {
	if c.ToleratedLosses == 0 {
		return 0
	}
	return 2*c.ToleratedLosses + 1
}

// Peer is the name and the rpcAddress of one control host.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Team is a team of operators and the hash of its token.
type Team struct {
	Name      string `yaml:"name"`
	TokenHash string `yaml:"tokenHash"`
}

// HasRole reports whether the process has the role r.
func (s Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// Load reads and checks a settings file. Relative paths in it are relative to the
// folder of the file. It returns an Error when the file cannot be read, and a
// *decoder.Error when its content is not valid.
func Load(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{"load", KindIO, errors.WithMessage(err, "set the path of the settings file with --settings")}
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

// Parse decodes and checks settings and fills in defaults; file is the name for
// error messages. It returns a *decoder.Error when the settings are not valid.
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

// checker checks settings and stores the first error.
type checker struct {
	file string
	raw  []byte
	err  error
}

// fail stores an error at a YAML path, with a hint, if it is the first one.
func (c *checker) fail(path, hint, format string, args ...any) {
	if c.err == nil {
		c.err = decoder.ErrorAt(c.file, c.raw, path, format, args...).WithHint("%s", hint)
	}
}

// checkNumber checks that the number at a YAML path is from 0 to limit. unit names what
// it counts, for the hint.
func (c *checker) checkNumber(path, unit string, n, limit float64) {
	if n >= 0 && n <= limit {
		return
	}
	key := path[strings.LastIndexByte(path, '.')+1:]
	c.fail(path, fmt.Sprintf("use a number of %s from 0 to %g, or leave the key out", unit, limit), "%s is %g", key, n)
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
			c.fail(fmt.Sprintf("$.roles[%d]", i), "remove it", "role %q is listed twice", r)
		}
	}
	if !slices.Contains([]string{"", "debug", "info", "warn", "error"}, s.LogLevel) {
		c.fail("$.logLevel", "use debug, info, warn or error", "unknown logLevel %q", s.LogLevel)
	}
	c.checkNumber("$.traces.ratio", "requests traced per request", s.Traces.SamplingRatio, 1)
	c.checkNumber("$.memoryLimitMB", "megabytes", float64(s.MemoryLimitMB), maxMemoryMB)
	c.checkNumber("$.hardLimitMB", "megabytes", float64(max(s.HardLimitMB, 0)), maxMemoryMB)
	c.checkNumber("$.heapGrowth", "percent", float64(s.HeapGrowthPercent), maxHeapGrowthPercent)
	if s.HeapGrowthPercent == 0 {
		s.HeapGrowthPercent = DefaultHeapGrowthPercent
	}
	if s.HardLimitMB > 0 && s.MemoryLimitMB == 0 {
		s.MemoryLimitMB = int(softLimitRatio * float64(s.HardLimitMB))
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
	c.checkNumber("$.node.queue", "requests", float64(n.QueueLimit), maxQueueLimit)
	c.checkNumber("$.node.linkMbps", "megabits a second", n.LinkMbps, maxLinkMbps)
	if n.ClaimLifetime.AsDuration() > maxClaimLifetime {
		c.fail("$.node.claimLifetime", fmt.Sprintf("use at most %s", maxClaimLifetime), "claimLifetime is %s", n.ClaimLifetime.AsDuration())
	}
	if n.QueueLimit == 0 {
		n.QueueLimit = parser.DefaultQueue
	}
	if n.MaxConfirmationAge == 0 {
		n.MaxConfirmationAge = decoder.Duration(DefaultMaxConfirmationAge)
	}
	if age := n.MaxConfirmationAge.AsDuration(); age < minConfirmationAge {
		c.fail("$.node.maxConfirmationAge", fmt.Sprintf("use %s or more", minConfirmationAge), "maxConfirmationAge is %s", age)
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
	c.checkNumber("$.retries.ratio", "retries per request", s.Retries.Ratio, maxRetryRatio)
	c.checkNumber("$.retries.slack", "retries", s.Retries.Slack, maxRetrySlack)
}

func (c *checker) checkEdge(s Settings) {
	if s.Edge.Adapter != "" && !slices.Contains(Adapters, s.Edge.Adapter) {
		c.fail("$.edge.adapter", "use one of "+strings.Join(Adapters, ", ")+", or leave it out", "unknown adapter %q", s.Edge.Adapter)
	}
}

func (c *checker) checkControl(s *Settings) {
	if s.DataFolder == "" {
		c.fail("$.dataFolder", "set a folder on a persistent disk", "a control host needs a dataFolder")
	}
	if e := s.Control.ElectionTimeout.AsDuration(); e != 0 && (e < minElectionTimeout || e > maxElectionTimeout) {
		c.fail("$.control.electionTimeout", fmt.Sprintf("use %s to %s, several times the network latency between control hosts", minElectionTimeout, maxElectionTimeout), "electionTimeout is %s", e)
	}
	if n := s.Control.ToleratedLosses; n < 0 || n > maxToleratedLosses {
		c.fail("$.control.toleratedLosses", fmt.Sprintf("use 0 to %d", maxToleratedLosses), "toleratedLosses is %d", n)
	}
	if len(s.Discovery.Seeds) > 0 && len(s.Control.Peers) == 0 {
		c.checkTeams(s.Control)
		return
	}
	own := slices.IndexFunc(s.Control.Peers, func(p Peer) bool { return p.Name == s.Name })
	switch {
	case len(s.Control.Peers) == 0:
		c.fail("$.control.peers", "list every control host, this one included", "the control role has no peers")
	case len(s.Control.Peers) > maxControlHosts:
		c.fail("$.control.peers", fmt.Sprintf("use at most %d", maxControlHosts), "peers lists %d control hosts", len(s.Control.Peers))
	case own < 0:
		c.fail("$.control.peers", "add this host to the list", "peers does not contain %q", s.Name)
	case s.Control.Peers[own].Address != s.Control.RPCAddress:
		c.fail(fmt.Sprintf("$.control.peers[%d].address", own), "use the same address here and in control.rpcAddress",
			"address %q is not this host's rpcAddress %q", s.Control.Peers[own].Address, s.Control.RPCAddress)
	}
	for i, p := range s.Control.Peers {
		c.checkAddress(fmt.Sprintf("$.control.peers[%d].address", i), p.Address)
		same := func(o Peer) bool { return o.Name == p.Name || o.Address == p.Address }
		if slices.IndexFunc(s.Control.Peers, same) != i {
			c.fail(fmt.Sprintf("$.control.peers[%d]", i), "give each host its own name and address", "peer %q has the name or the address of another peer", p.Name)
		}
	}
	c.checkTeams(s.Control)
}

var tokenHashPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

func (c *checker) checkTeams(control Control) {
	if control.OperatorAddress != "" && len(control.Teams) == 0 {
		c.fail("$.control.operatorAddress", "add control.teams; hornbeamctl token makes a token and its hash", "operatorAddress is set without teams, so no operator can authenticate")
	}
	for i, t := range control.Teams {
		at := fmt.Sprintf("$.control.teams[%d]", i)
		if !parser.ValidName(t.Name) {
			c.fail(at+".name", "use lower-case letters, digits and hyphens", "team name %q is not valid", t.Name)
		}
		if !tokenHashPattern.MatchString(t.TokenHash) {
			c.fail(at+".tokenHash", "run hornbeamctl token and write its hash here", "tokenHash is not sha256: and 64 hexadecimal digits")
		}
		if slices.IndexFunc(control.Teams, func(o Team) bool { return o.Name == t.Name || o.TokenHash == t.TokenHash }) != i {
			c.fail(at, "give each team its own name and token", "team %q has the name or the token of another team", t.Name)
		}
	}
}

// listenAddress is an address that this process listens on, and its YAML path.
type listenAddress struct{ path, address string }

// checkAddresses checks the addresses that this process listens on: each must be
// valid and used once.
func (c *checker) checkAddresses(s Settings) {
	var addresses []listenAddress
	if s.AdminAddress != "" {
		addresses = append(addresses, listenAddress{"$.adminAddress", s.AdminAddress})
	}
	if s.HasRole(RoleNode) {
		addresses = append(addresses, listenAddress{"$.node.entryAddress", s.Node.EntryAddress}, listenAddress{"$.node.peerAddress", s.Node.PeerAddress})
		if s.Node.AnnounceAddress != "" || s.Edge.Adapter == "" {
			addresses = append(addresses, listenAddress{"$.node.announceAddress", s.Node.AnnounceAddress})
		}
	}
	if s.Edge.Adapter != "" {
		addresses = append(addresses, listenAddress{"$.edge.address", s.Edge.Address})
		if s.HasRole(RoleNode) {
			addresses = append(addresses, listenAddress{"$.edge.readyAddress", s.Edge.ReadyAddress})
		}
	}
	if s.HasRole(RoleControl) {
		addresses = append(addresses, listenAddress{"$.control.rpcAddress", s.Control.RPCAddress})
		if s.Control.OperatorAddress != "" {
			addresses = append(addresses, listenAddress{"$.control.operatorAddress", s.Control.OperatorAddress})
		}
	}
	for i, p := range addresses {
		c.checkAddress(p.path, p.address)
		first := slices.IndexFunc(addresses, func(o listenAddress) bool { return o.address == p.address })
		if first != i {
			c.fail(p.path, "use another port", "address %s is used by %s already", p.address, strings.TrimPrefix(addresses[first].path, "$."))
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
