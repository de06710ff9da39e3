// Package starter builds the programs and runs them as separate processes, for
// integration tests and measurements.
//
// # Usage
//
//	err := starter.Build(programs)
//	m := &starter.Mesh{Folder: dir, ProgramFolder: programs, ControlHostCount: 3, NodeCount: 4}
//	err = m.Start(ctx)
//	defer m.KillAll()
//	out, exitCode, err := m.RunClient("section", "list")
//
// Every process listens on loopback, keeps its files below Folder and is signalled by
// its own process id.
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
	readyTimeout = 30 * time.Second      // readyTimeout bounds the time from start to readiness.
	stopTimeout  = 60 * time.Second      // stopTimeout bounds a planned stop after SIGTERM.
	pollInterval = 20 * time.Millisecond // pollInterval is the pause between two checks of a condition.
	httpTimeout  = 5 * time.Second
)

// Process is one started program, running or ended.
type Process struct {
	Name         string
	AdminAddress string // AdminAddress serves metrics and readiness; it is empty for a target or relay.
	cmd          *exec.Cmd
	done         chan struct{} // done is closed when the process has ended.
	err          error         // err is the result of the wait; it is valid after done is closed.
	output       *outputBuffer
}

// outputBuffer stores the standard output and error of a process.
type outputBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer; it never fails.
func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// String returns what has been written so far.
func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// ControlHost is a process with the control role, and its addresses.
type ControlHost struct {
	*Process
	RPCAddress, OperatorAddress string
	settingsFile                string
}

// Node is a process with the node role, its addresses and its data centre. A process
// started by StartDaemon has only those that its caller passes.
type Node struct {
	*Process
	EntryAddress, PeerAddress, AnnounceAddress, DataCentre string
	settingsFile                                           string
}

// Target is a stand-in target, or a relay, and the address that it listens on.
type Target struct {
	*Process
	Address string
}

// Mesh is a set of processes. The caller sets the exported fields before Start, except
// the three lists, which Start and the other Start… methods fill.
type Mesh struct {
	Folder           string // Folder gets the settings files, the data of control hosts and the traces.
	ProgramFolder    string // ProgramFolder holds the programs that Build compiles.
	ControlHostCount int
	NodeCount        int
	DataCentreCount  int  // DataCentreCount is 1 when zero; nodes are assigned to them in turn.
	WriteTraces      bool // WriteTraces makes every node trace all requests to a file.

	ControlHosts []*ControlHost
	Nodes        []*Node
	Targets      []*Target
}

// TeamToken is the operator token of the only team, "designs".
const TeamToken = "stand-in-token"

// Build compiles hornbeamd, hornbeamctl, the stand-in target and the relay into folder.
// A failure holds the compiler's output.
func Build(folder string) error {
	for _, p := range []string{"cmd/hornbeamd", "cmd/hornbeamctl", "stand/target", "stand/relay"} {
		cmd := exec.Command("go", "build", "-o", filepath.Join(folder, filepath.Base(p)), "github.com/hornbeamrack/hornbeamrack/"+p)
		if out, err := cmd.CombinedOutput(); err != nil {
			return errors.Errorf("build %s: %v\n%s", p, err, out)
		}
	}
	return nil
}

// FreeAddress returns a loopback address on which no process listens. Another process
// may take it before the caller does.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// freeAddresses returns n different free loopback addresses. All listeners stay open
// until the last address is found, so that no address is returned twice.
func freeAddresses(n int) ([]string, error) {
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

// Start starts all control hosts and nodes and waits until they are ready. It returns
// the first failure; processes that have been started keep running until KillAll.
func (m *Mesh) Start(ctx context.Context) error {
	if err := m.writeSettings(); err != nil {
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

// writeSettings assigns names and addresses to all control hosts and nodes, and writes
// their settings files.
func (m *Mesh) writeSettings() error {
	free, err := freeAddresses(3*m.ControlHostCount + 4*m.NodeCount)
	if err != nil {
		return err
	}
	take := func() string {
		address := free[0]
		free = free[1:]
		return address
	}
	for i := range m.ControlHostCount {
		m.ControlHosts = append(m.ControlHosts, &ControlHost{Process: &Process{Name: fmt.Sprintf("control-%d", i+1), AdminAddress: take()}, RPCAddress: take(), OperatorAddress: take()})
	}
	for i := range m.NodeCount {
		dc := fmt.Sprintf("dc-%d", i%max(m.DataCentreCount, 1)+1)
		m.Nodes = append(m.Nodes, &Node{Process: &Process{Name: fmt.Sprintf("node-%d", i+1), AdminAddress: take()}, EntryAddress: take(), PeerAddress: take(), AnnounceAddress: take(), DataCentre: dc})
	}
	for _, c := range m.ControlHosts {
		c.settingsFile = filepath.Join(m.Folder, c.Name+".yaml")
		if err := os.WriteFile(c.settingsFile, []byte(m.controlSettings(c)), 0o600); err != nil {
			return err
		}
	}
	for _, n := range m.Nodes {
		n.settingsFile = filepath.Join(m.Folder, n.Name+".yaml")
		if err := os.WriteFile(n.settingsFile, []byte(m.nodeSettings(n)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// controlSettings returns the settings of a control host as YAML.
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

// ReplaceControlHost starts a control host with a new name, an empty disk and new
// addresses, and puts it in the place of the lost one in ControlHosts. Its settings list
// it among the peers; the settings of the running hosts do not change.
func (m *Mesh) ReplaceControlHost(lost *ControlHost, name string) (*ControlHost, error) {
	free, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	c := &ControlHost{Process: &Process{Name: name, AdminAddress: free[0]}, RPCAddress: free[1], OperatorAddress: free[2]}
	for i, old := range m.ControlHosts {
		if old == lost {
			m.ControlHosts[i] = c
		}
	}
	c.settingsFile = filepath.Join(m.Folder, c.Name+".yaml")
	if err := os.WriteFile(c.settingsFile, []byte(m.controlSettings(c)), 0o600); err != nil {
		return nil, err
	}
	return c, m.StartControlHost(c)
}

// nodeSettings returns the settings of a node as YAML.
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

// StartControlHost starts a control host for the first time, or again after Kill or
// Stop. It does not wait until the host is ready.
func (m *Mesh) StartControlHost(c *ControlHost) error {
	return c.start(exec.Command(filepath.Join(m.ProgramFolder, "hornbeamd"), "run", "--settings", c.settingsFile))
}

// StartNode starts a node for the first time, or again after Kill or Stop. It does not
// wait until the node is ready.
func (m *Mesh) StartNode(n *Node) error {
	return n.start(exec.Command(filepath.Join(m.ProgramFolder, "hornbeamd"), "run", "--settings", n.settingsFile))
}

// StartDaemon starts hornbeamd with a settings file of the caller, and adds it to Nodes.
// The admin and announce addresses must be those in the file.
func (m *Mesh) StartDaemon(name, admin, announce, settings string) (*Node, error) {
	n := &Node{Process: &Process{Name: name, AdminAddress: admin}, AnnounceAddress: announce, settingsFile: settings}
	m.Nodes = append(m.Nodes, n)
	return n, m.StartNode(n)
}

// StartTarget starts a stand-in target that announces itself to n, with extra flags of
// the target program. It does not wait for the announcement.
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

// StartRelay starts a relay that forwards every request to the given address. It does
// not wait until the relay listens.
func (m *Mesh) StartRelay(to string) (*Target, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	r := &Target{Process: &Process{Name: "relay to " + to}, Address: address}
	m.Targets = append(m.Targets, r)
	return r, r.start(exec.Command(filepath.Join(m.ProgramFolder, "relay"), "--address", address, "--to", to))
}

// start runs cmd with an empty output buffer and waits for its end in the background.
func (p *Process) start(cmd *exec.Cmd) error {
	p.output = &outputBuffer{}
	cmd.Stdout, cmd.Stderr = p.output, p.output
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

// Pid returns the process id of the last start.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Signal sends a signal to the process. It fails if the process has ended.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits until the process has ended. It returns an error for an
// exit code other than 0. A process that runs longer than stopTimeout is killed, and
// the error holds its output.
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

// Running reports whether the process has not yet ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Log returns the standard output and error that the process has written since its
// last start.
func (p *Process) Log() string { return p.output.String() }

// KillAll kills every process that still runs, targets first, then nodes, then control
// hosts.
func (m *Mesh) KillAll() {
	for _, p := range m.processes() {
		if p.cmd != nil && p.Running() {
			p.Kill()
		}
	}
}

// processes returns all processes in the order in which KillAll ends them.
func (m *Mesh) processes() []*Process {
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

// WaitReady waits until /readyz on AdminAddress returns status 200. It fails after
// readyTimeout or when ctx ends.
func (p *Process) WaitReady(ctx context.Context) error {
	return WaitUntil(ctx, readyTimeout, p.Name+" ready", func() bool {
		status, _, err := Get("http://" + p.AdminAddress + "/readyz")
		return err == nil && status == fasthttp.StatusOK
	})
}

// WaitUntil polls condition until it returns true. It fails after the limit, or when ctx
// ends, with an error that names what.
func WaitUntil(ctx context.Context, limit time.Duration, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !condition() {
		if ctx.Err() != nil {
			return errors.Errorf("condition not met within %s: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Get sends a GET request and returns the status and the body. It fails after
// httpTimeout.
func Get(url string) (int, []byte, error) {
	return fasthttp.GetTimeout(nil, url, httpTimeout)
}

// EditSection creates or replaces a section with hornbeamctl, based on its current
// revision. It fails with the output of hornbeamctl unless the edit is accepted.
func (m *Mesh) EditSection(section, body string) error {
	out, code, err := m.RunClientWithInput([]byte(body), "section", "edit", section, "--file", "-")
	if err == nil && code != 0 {
		err = errors.Errorf("edit of %s ended with code %d: %s", section, code, out)
	}
	return err
}

// RunClient runs hornbeamctl with the addresses of all control hosts and the team's
// token. It returns standard output and error together, and the exit code. The error is
// set only if the program could not be run.
func (m *Mesh) RunClient(args ...string) (string, int, error) {
	return m.RunClientWithInput(nil, args...)
}

// RunClientWithInput does the same as RunClient with the given standard input.
func (m *Mesh) RunClientWithInput(stdin []byte, args ...string) (string, int, error) {
	var options []string
	for _, c := range m.ControlHosts {
		options = append(options, "--address", c.OperatorAddress)
	}
	cmd := exec.Command(filepath.Join(m.ProgramFolder, "hornbeamctl"), append(append(options, "--token", TeamToken), args...)...)
	cmd.Stdin = bytes.NewReader(stdin)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode(), nil
	}
	return string(out), 0, err
}
