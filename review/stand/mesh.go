package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The bounds of a small deployment, as the users' site files state them.
const (
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	drainTime       = 2 * time.Second
	ackTime         = 4 * time.Second
	graceTime       = 6 * time.Second
	heartbeatTime   = 1500 * time.Millisecond
	killRestartTime = time.Second // killRestartTime is how long a killed process is down.

	controlMemoryMB = 280
	nodeMemoryMB    = 134
)

// The ports of every machine. All machines have the same ports and an IP of their own.
const (
	rpcPort = iota
	adminPort
	controlPort
	readinessPort
	inboundPort
	outboundPort
	portCount
)

// machine is one machine of the stand-in platform with its only process.
type machine struct {
	mesh     *mesh
	index    int
	name     string
	template string
	service  string

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
	misses    int
}

// mesh is the stand-in platform: it renders settings, starts and signals processes and
// asks nodes for their readiness.
type mesh struct {
	rec       *record
	folder    string
	program   string
	templates string
	ports     []int
	machines  []*machine
	seeds     int
}

// started is the mesh of this run, nil before newMesh.
var started atomic.Pointer[mesh]

// newMesh prepares a mesh with some control hosts, followed by one node for each service
// in the list. Nothing is started yet.
func newMesh(rec *record, root string, controlHosts int, services []string) (*mesh, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join(root, "target", "hornbeamd"))
	if err != nil {
		return nil, err
	}
	m := &mesh{rec: rec, folder: folder, program: program, templates: filepath.Join(root, "deploy"), seeds: controlHosts}
	if m.ports, err = freePorts(controlHosts + len(services)); err != nil {
		return nil, err
	}
	for i := range controlHosts {
		m.machines = append(m.machines, &machine{mesh: m, index: i, name: fmt.Sprintf("core-%d", i+1), template: "control.yaml"})
	}
	for i, s := range services {
		m.machines = append(m.machines, &machine{mesh: m, index: controlHosts + i, name: fmt.Sprintf("side-%d", i+1), template: "node.yaml", service: s})
	}
	started.Store(m)
	return m, nil
}

// machineIP returns the loopback address of a machine, in a network of this run alone.
func machineIP(i int) string {
	run := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+run>>8&0x7f, run&0xff, i+1)
}

// freePorts returns portCount ports that are free on all machines.
func freePorts(machines int) ([]int, error) {
	var ports []int
	for port := 21000 + os.Getpid()%20000; port < 60000 && len(ports) < portCount; port++ {
		free := true
		for i := range machines {
			l, err := net.Listen("tcp", net.JoinHostPort(machineIP(i), strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	if len(ports) < portCount {
		return nil, fmt.Errorf("no %d free ports on loopback", portCount)
	}
	return ports, nil
}

// address returns an address of the machine; port is one of the indexes above.
func (x *machine) address(port int) string {
	return net.JoinHostPort(machineIP(x.index), strconv.Itoa(x.mesh.ports[port]))
}

// fields returns the values that the platform passes to the templates.
func (x *machine) fields(bootstrap bool) map[string]any {
	var seeds []any
	for _, s := range x.mesh.machines[:x.mesh.seeds] {
		seeds = append(seeds, s.address(controlPort))
	}
	return map[string]any{
		"nodeName": x.name, "zone": "zone-a", "ip": machineIP(x.index), "bootstrap": bootstrap,
		"portRange": []any{x.mesh.ports[rpcPort], x.mesh.ports[adminPort]}, "dataDir": filepath.Join(x.mesh.folder, "data-"+x.name),
		"seeds": seeds, "service": x.service, "tolerate": map[string]any{"machines": 1},
		"limits": map[string]any{"memoryMb": x.memoryMB(), "linkMbps": 1000.0},
		"bounds": map[string]any{"graceS": int(graceTime.Seconds()), "configApplyMs": configApplyTime.Milliseconds(), "retryRatio": 0.2, "retrySlack": 56},
		"listen": map[string]any{"control": x.address(controlPort), "readinessAddr": x.address(readinessPort),
			"inbound": x.address(inboundPort), "outbound": x.address(outboundPort)},
	}
}

var (
	placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)
	section     = regexp.MustCompile(`(?s)\{\{#([A-Za-z0-9.]+)\}\}(.*?)\{\{/[A-Za-z0-9.]+\}\}`)
)

// lookUp returns the value of a name such as limits.memoryMb, nil when there is none.
func lookUp(fields map[string]any, name string) any {
	var value any = fields
	for key := range strings.SplitSeq(name, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[key]
		case []any:
			i, _ := strconv.Atoi(key)
			value = v[i]
		}
	}
	return value
}

// render fills in a template of the deploy folder.
func (x *machine) render(bootstrap bool) (string, error) {
	raw, err := os.ReadFile(filepath.Join(x.mesh.templates, x.template))
	if err != nil {
		return "", err
	}
	fields := x.fields(bootstrap)
	text := section.ReplaceAllStringFunc(string(raw), func(p string) string {
		parts := section.FindStringSubmatch(p)
		if lookUp(fields, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(p string) string {
		parts := placeholder.FindStringSubmatch(p)
		value := lookUp(fields, parts[1])
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		b, _ := json.Marshal(value)
		return string(b)
	}), nil
}

// memoryMB returns the memory of the machine's process, as the site file states it.
func (x *machine) memoryMB() int {
	if x.service == "" {
		return controlMemoryMB
	}
	return nodeMemoryMB
}

// start starts the process of the machine with the command of the deploy file. The path
// of the settings is the only argument that differs from it.
func (x *machine) start(bootstrap bool) error {
	text, err := x.render(bootstrap)
	if err != nil {
		return err
	}
	file := filepath.Join(x.mesh.folder, x.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(x.mesh.folder, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(x.mesh.program, "run", "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	x.mu.Lock()
	x.cmd, x.ended, x.startedAt = cmd, ended, time.Now()
	x.mu.Unlock()
	x.mesh.rec.line("platform", "%s started", x.name)
	return nil
}

// signal sends a signal to the process of the machine.
func (x *machine) signal(s syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cmd != nil {
		_ = x.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (x *machine) kill() {
	x.signal(syscall.SIGCONT)
	x.signal(syscall.SIGKILL)
	x.wait()
}

func (x *machine) wait() {
	x.mu.Lock()
	ended := x.ended
	x.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// stopAll ends all processes and removes the temporary folder.
func (m *mesh) stopAll() {
	for _, x := range m.machines {
		x.kill()
	}
	_ = os.RemoveAll(m.folder)
}

// httpClient is used for the calls of the platform and of the operator. It opens a new
// connection for each call.
var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// call sends one HTTP call and returns the status, 0 without a response, and the body.
func call(method, url string, header map[string]string, body string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// ready asks a node once whether it is ready.
func (x *machine) ready() bool {
	status, _ := call("GET", "http://"+x.address(readinessPort)+"/hornbeamrack/readyz", nil, "")
	return status == http.StatusOK
}

// watchReadiness asks the node once a second until ctx ends, as the platform does.
func (x *machine) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		ok := x.ready()
		x.mu.Lock()
		x.misses++
		if ok {
			x.misses = 0
		}
		x.mu.Unlock()
		sleep(ctx, time.Second)
	}
}

// in reports whether clients of the machine receive new work: not after two misses.
func (x *machine) in() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.misses < 2
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// until waits until the condition holds, for at most limit.
func until(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// startAll starts all processes at the same time, puts the first configuration and waits
// until all nodes are ready.
func (m *mesh) startAll(document string) error {
	for _, x := range m.machines {
		if err := x.start(true); err != nil {
			return err
		}
	}
	if !m.put(0, document, 20*time.Second) {
		return fmt.Errorf("the first configuration was not acknowledged")
	}
	for _, x := range m.nodes() {
		if !until(20*time.Second, x.ready) {
			return fmt.Errorf("%s is not ready", x.name)
		}
	}
	return nil
}

func (m *mesh) controls() []*machine { return m.machines[:m.seeds] }

func (m *mesh) nodes() []*machine { return m.machines[m.seeds:] }

// put sends a configuration, again to the next control host after a failure, until it has
// a clear answer. It reports whether it was acknowledged.
func (m *mesh) put(base int, document string, limit time.Duration) bool {
	for i, deadline := 0, time.Now().Add(limit); time.Now().Before(deadline); i++ {
		x := m.controls()[i%m.seeds]
		status, body := call("POST", "http://"+x.address(controlPort)+"/hornbeamrack/config/put", map[string]string{"X-Base-Version": fmt.Sprintf("r%d", base)}, document)
		m.rec.line("operator", "configuration on top of r%d sent to %s: status %d %.120s", base, x.name, status, body)
		switch {
		case status == http.StatusOK:
			return true
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begun: time.Now()}, nil
}

// line writes one line with the time since the start, and who did what.
func (r *record) line(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%9.3f %-10s ", time.Since(r.begun).Seconds(), who)
	fmt.Fprintf(&b, format, args...)
	b.WriteByte('\n')
	_, _ = r.file.Write(b.Bytes())
}

// at returns a time as seconds since the start.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.begun).Seconds()) }
