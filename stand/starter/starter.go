// Package starter starts the real programs as separate processes, for tests
// and measurements.
//
// # Usage
//
//	m := &starter.Mesh{Folder: dir, Control: 3, Nodes: 4}
//	err := m.Start(ctx)
//	defer m.Stop()
//	out, err := m.Control("section", "list")
//
// Every process listens on loopback, keeps its files below Folder and is ended
// by its own id.
package starter

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/process/controller"
)

const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	httpTimeout  = 5 * time.Second
)

// Process is one running program.
type Process struct {
	Name         string
	AdminAddress string // Admin is the address of its metrics, empty for a target.
	cmd          *exec.Cmd
	done         chan struct{}
	err          error
	log          *output
}

// output keeps what a process prints.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// String returns what was printed so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// ControlHost is a control host.
type ControlHost struct {
	*Process
	RPCAddress, OperatorAddress string
	settings                    string
}

// Node is a node with its addresses.
type Node struct {
	*Process
	EntryAddress, PeerAddress, AnnounceAddress, DataCentre string
	settings                                               string
}

// Target is a stand-in target.
type Target struct {
	*Process
	Address string
}

// Mesh is a set of processes. Exported fields but the lists are set before
// Start.
type Mesh struct {
	Folder           string
	ProgramFolder    string // Bin holds the programs; Build makes them.
	ControlHostCount int
	NodeCount        int
	DataCentreCount  int // DataCentres is 1 when zero; nodes are spread over them.
	WriteTraces      bool

	ControlHosts []*ControlHost
	Nodes        []*Node
	Targets      []*Target
}

// TeamToken is the token of the only team, "designs".
const TeamToken = "stand-in-token"

// Build compiles the programs into a folder.
func Build(folder string) error {
	for _, p := range []string{"cmd/hornbeamd", "cmd/hornbeamctl", "stand/target", "stand/relay"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(folder, filepath.Base(p)), "github.com/hornbeamrack/hornbeamrack/"+p)
		if out, err := cmd.CombinedOutput(); err != nil {
			return errors.Errorf("build %s: %v\n%s", p, err, out)
		}
	}
	return nil
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// addresses returns n different free addresses.
func addresses(n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// Start starts all control hosts and nodes and waits until they are ready.
func (m *Mesh) Start(ctx context.Context) error {
	if err := m.plan(); err != nil {
		return err
	}
	for _, c := range m.ControlHosts {
		if err := m.StartControlHost(c); err != nil {
			return err
		}
	}
	for _, n := range m.Nodes {
		if err := m.StartNode(n); err != nil {
			return err
		}
	}
	for _, c := range m.ControlHosts {
		if err := c.WaitReady(ctx); err != nil {
			return err
		}
	}
	for _, n := range m.Nodes {
		if err := n.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// plan writes the settings of every process.
func (m *Mesh) plan() error {
	free, err := addresses(3*m.ControlHostCount + 4*m.NodeCount)
	if err != nil {
		return err
	}
	take := func() string {
		a := free[0]
		free = free[1:]
		return a
	}
	for i := range m.ControlHostCount {
		m.ControlHosts = append(m.ControlHosts, &ControlHost{Process: &Process{Name: fmt.Sprintf("control-%d", i+1), AdminAddress: take()}, RPCAddress: take(), OperatorAddress: take()})
	}
	for i := range m.NodeCount {
		dc := fmt.Sprintf("dc-%d", i%max(m.DataCentreCount, 1)+1)
		m.Nodes = append(m.Nodes, &Node{Process: &Process{Name: fmt.Sprintf("node-%d", i+1), AdminAddress: take()}, EntryAddress: take(), PeerAddress: take(), AnnounceAddress: take(), DataCentre: dc})
	}
	for _, c := range m.ControlHosts {
		c.settings = filepath.Join(m.Folder, c.Name+".yaml")
		if err := os.WriteFile(c.settings, []byte(m.controlSettings(c)), 0o600); err != nil {
			return err
		}
	}
	for _, n := range m.Nodes {
		n.settings = filepath.Join(m.Folder, n.Name+".yaml")
		if err := os.WriteFile(n.settings, []byte(m.nodeSettings(n)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mesh) controlSettings(c *ControlHost) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\ndataCentre: dc-1\nroles: [control]\ndataFolder: %s\nadminAddress: %s\n", c.Name, "data-"+c.Name, c.AdminAddress)
	fmt.Fprintf(&b, "control:\n  rpcAddress: %s\n  operatorAddress: %s\n  peers:\n", c.RPCAddress, c.OperatorAddress)
	for _, p := range m.ControlHosts {
		fmt.Fprintf(&b, "    - {name: %s, address: \"%s\"}\n", p.Name, p.RPCAddress)
	}
	fmt.Fprintf(&b, "  teams:\n    - {name: designs, tokenHash: \"%s\"}\n", controller.HashToken(TeamToken))
	return b.String()
}

// ReplaceControlHost starts a control host with an empty disk that nobody knows yet,
// in the place of a lost one in the list of peers.
func (m *Mesh) ReplaceControlHost(lost *ControlHost, name string) (*ControlHost, error) {
	free, err := addresses(3)
	if err != nil {
		return nil, err
	}
	c := &ControlHost{Process: &Process{Name: name, AdminAddress: free[0]}, RPCAddress: free[1], OperatorAddress: free[2]}
	for i, old := range m.ControlHosts {
		if old == lost {
			m.ControlHosts[i] = c
		}
	}
	c.settings = filepath.Join(m.Folder, c.Name+".yaml")
	if err := os.WriteFile(c.settings, []byte(m.controlSettings(c)), 0o600); err != nil {
		return nil, err
	}
	return c, m.StartControlHost(c)
}

func (m *Mesh) nodeSettings(n *Node) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name: %s\ndataCentre: %s\nroles: [node]\nadminAddress: %s\n", n.Name, n.DataCentre, n.AdminAddress)
	if m.WriteTraces {
		fmt.Fprintf(&b, "traces: {file: %s.trace.json, ratio: 1}\n", n.Name)
	}
	fmt.Fprintf(&b, "node:\n  entryAddress: %s\n  peerAddress: %s\n  announceAddress: %s\n  control:\n", n.EntryAddress, n.PeerAddress, n.AnnounceAddress)
	for _, c := range m.ControlHosts {
		fmt.Fprintf(&b, "    - \"%s\"\n", c.RPCAddress)
	}
	return b.String()
}

// StartControlHost starts a control host, again after a Kill or Stop as well.
func (m *Mesh) StartControlHost(c *ControlHost) error {
	return c.start(exec.Command(filepath.Join(m.ProgramFolder, "hornbeamd"), "run", "--settings", c.settings))
}

// StartNode starts a node, again after a Kill or Stop as well.
func (m *Mesh) StartNode(n *Node) error {
	return n.start(exec.Command(filepath.Join(m.ProgramFolder, "hornbeamd"), "run", "--settings", n.settings))
}

// StartDaemon starts a daemon with settings of the caller's own.
func (m *Mesh) StartDaemon(name, admin, announce, settings string) (*Node, error) {
	n := &Node{Process: &Process{Name: name, AdminAddress: admin}, AnnounceAddress: announce, settings: settings}
	m.Nodes = append(m.Nodes, n)
	return n, m.StartNode(n)
}

// StartTarget starts a stand-in target beside a node.
func (m *Mesh) StartTarget(n *Node, name, service, version string, extra ...string) (*Target, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	args := append([]string{"--name", name, "--service", service, "--version", version, "--address", address, "--announce", n.AnnounceAddress}, extra...)
	t := &Target{Process: &Process{Name: name}, Address: address}
	m.Targets = append(m.Targets, t)
	return t, t.start(exec.Command(filepath.Join(m.ProgramFolder, "target"), args...))
}

// StartRelay starts a bare relay to an address.
func (m *Mesh) StartRelay(to string) (*Target, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	r := &Target{Process: &Process{Name: "relay to " + to}, Address: address}
	m.Targets = append(m.Targets, r)
	return r, r.start(exec.Command(filepath.Join(m.ProgramFolder, "relay"), "--address", address, "--to", to))
}

func (p *Process) start(cmd *exec.Cmd) error {
	p.log = &output{}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		p.err = cmd.Wait()
		close(done)
	}()
	return nil
}

// Pid returns the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause stops the process's time; Thaw lets it go on.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Resume lets a frozen process go on.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop asks the process to stop and waits for it.
func (p *Process) Stop() error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return errors.Errorf("%s did not stop within %s:\n%s", p.Name, stopTimeout, p.Log())
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Log returns what the process has printed so far.
func (p *Process) Log() string { return p.log.String() }

// KillAll ends every process that still runs, targets first.
func (m *Mesh) KillAll() {
	for _, p := range m.all() {
		if p.cmd != nil && p.Running() {
			p.Kill()
		}
	}
}

func (m *Mesh) all() []*Process {
	var out []*Process
	for _, t := range m.Targets {
		out = append(out, t.Process)
	}
	for _, n := range m.Nodes {
		out = append(out, n.Process)
	}
	for _, c := range m.ControlHosts {
		out = append(out, c.Process)
	}
	return out
}

// WaitReady waits until the process says that it is ready.
func (p *Process) WaitReady(ctx context.Context) error {
	return WaitUntil(ctx, readyTimeout, p.Name+" ready", func() bool {
		status, _, err := Get("http://" + p.AdminAddress + "/readyz")
		return err == nil && status == fasthttp.StatusOK
	})
}

// WaitUntil waits until condition holds.
func WaitUntil(ctx context.Context, limit time.Duration, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !condition() {
		if ctx.Err() != nil {
			return errors.Errorf("not within %s: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Get fetches a URL.
func Get(url string) (int, []byte, error) {
	return fasthttp.GetTimeout(nil, url, httpTimeout)
}

// EditSection has a section accepted, new or changed.
func (m *Mesh) EditSection(section, body string) error {
	out, code, err := m.RunClientWithInput([]byte(body), "section", "edit", section, "--file", "-")
	if err == nil && code != 0 {
		err = errors.Errorf("edit of %s ended with code %d: %s", section, code, out)
	}
	return err
}

// RunClient runs hornbeamctl and returns its output and exit code.
func (m *Mesh) RunClient(args ...string) (string, int, error) {
	return m.RunClientWithInput(nil, args...)
}

// RunClientWithInput runs hornbeamctl with a standard input.
func (m *Mesh) RunClientWithInput(stdin []byte, args ...string) (string, int, error) {
	var all []string
	for _, c := range m.ControlHosts {
		all = append(all, "--address", c.OperatorAddress)
	}
	cmd := exec.Command(filepath.Join(m.ProgramFolder, "hornbeamctl"), append(append(all, "--token", TeamToken), args...)...)
	cmd.Stdin = bytes.NewReader(stdin)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode(), nil
	}
	return string(out), 0, err
}
