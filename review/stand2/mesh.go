package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The offsets of a machine's ports from the first one.
const (
	portRPC = iota
	portControl
	portInbound
	portOutbound
	portReady
	portServer
	portAdmin
	portCount
)

// mesh starts the project's programs, each with a loopback address of its own.
type mesh struct {
	root, folder string
	network      int // network is the second byte of all addresses.
	port         int // port is the first port of every machine.
	seeds        []string
	zones        []string
	all          []*process
}

// process is one started program.
type process struct {
	name, ip, settings string
	cmd                *exec.Cmd
	done               chan struct{}
}

// newMesh finds free ports and makes a temporary folder. controls is the number of control
// hosts; the first of them are the seeds.
func newMesh(root string, controls int) (*mesh, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	m := &mesh{root: root, folder: folder, network: 64 + rand.IntN(128), zones: []string{"z-a", "z-b", "z-c"}}
	for range 200 {
		m.port = 20000 + rand.IntN(20000)
		if m.portsFree() {
			break
		}
	}
	for i := range min(controls, 3) {
		m.seeds = append(m.seeds, m.address(m.controlIP(i), portControl))
	}
	return m, nil
}

// portsFree reports whether the ports can be listened on.
func (m *mesh) portsFree() bool {
	for i := range portCount {
		l, err := net.Listen("tcp", m.address(m.controlIP(0), i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (m *mesh) controlIP(i int) string { return fmt.Sprintf("127.%d.1.%d", m.network, i+1) }
func (m *mesh) nodeIP(i int) string    { return fmt.Sprintf("127.%d.2.%d", m.network, i+1) }

// address returns a port of the machine at ip.
func (m *mesh) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(m.port+port))
}

// fill returns a template of the deploy file with the platform's fields filled in, those of
// a small deployment.
func (m *mesh) fill(template, name, ip, zone, service string, bootstrap bool) (string, error) {
	raw, err := os.ReadFile(filepath.Join(m.root, template))
	if err != nil {
		return "", err
	}
	seeds, _ := json.Marshal(m.seeds)
	return strings.NewReplacer(
		"{{nodeName}}", name, "{{zone}}", zone, "{{ip}}:9464", m.address(ip, portAdmin), "{{ip}}", ip, "{{service}}", service,
		"{{dataDir}}", filepath.Join(m.folder, name), "{{limits.memoryMb}}", "284", "{{limits.linkMbps}}", "1000.0",
		"{{seeds|json}}", string(seeds), "{{portRange.0}}", strconv.Itoa(m.port), "{{bootstrap}}", strconv.FormatBool(bootstrap),
		"{{listen.control}}", m.address(ip, portControl), "{{listen.readinessAddr}}", m.address(ip, portReady),
		"{{listen.inbound}}", m.address(ip, portInbound), "{{listen.outbound}}", m.address(ip, portOutbound),
		"{{tolerate.machines}}", "1", "{{bounds.graceS}}", "6", "{{bounds.retryRatio}}", "0.2", "{{bounds.retrySlack}}", "56",
		"{{#bounds.configApplyMs}}\n", "", "{{/bounds.configApplyMs}}\n", "", "{{bounds.configApplyMs}}", "2000",
	).Replace(string(raw)), nil
}

// startControl starts control host i.
func (m *mesh) startControl(i int, bootstrap bool) (*process, error) {
	name := fmt.Sprintf("core-%d", i+1)
	if err := os.MkdirAll(filepath.Join(m.folder, name), 0o700); err != nil {
		return nil, err
	}
	text, err := m.fill("deploy/control.yaml", name, m.controlIP(i), m.zones[i%3], "", bootstrap)
	if err != nil {
		return nil, err
	}
	return m.start(name, m.controlIP(i), text)
}

// startNode starts node i beside a server of the service.
func (m *mesh) startNode(i int, service string) (*process, error) {
	name := fmt.Sprintf("sidecar-%d", i+1)
	text, err := m.fill("deploy/node.yaml", name, m.nodeIP(i), m.zones[i%3], service, false)
	if err != nil {
		return nil, err
	}
	return m.start(name, m.nodeIP(i), text)
}

// start runs hornbeamd with settings, as the deploy file says.
func (m *mesh) start(name, ip, text string) (*process, error) {
	p := &process{name: name, ip: ip, settings: filepath.Join(m.folder, name+".yaml"), done: make(chan struct{})}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(m.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(filepath.Join(m.root, "target/hornbeamd"), "run", "--settings", p.settings)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = m.root, out, out
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	m.all = append(m.all, p)
	return p, nil
}

// signal sends a signal to the process unless it has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate sends SIGTERM, and SIGKILL after the grace time.
func (p *process) terminate() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(6 * time.Second):
		p.kill()
	}
}

// close ends all processes and removes the folder.
func (m *mesh) close() {
	for _, p := range m.all {
		p.kill()
	}
	_ = os.RemoveAll(m.folder)
}
