package main

import (
	"bytes"
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

// The indexes of the ports that every process listens on. The ports are the same on all
// machines, since each machine has a loopback address of its own.
const (
	rpcPort = iota
	adminPort
	controlPort
	readinessPort
	inboundPort
	outboundPort
	appPort
	portCount
)

// cluster runs the project's daemons with the settings of the deploy file.
type cluster struct {
	root   string // root is the root of the repository.
	folder string // folder is the temporary folder of the run.
	record *recorder
	ports  []int

	mu       sync.Mutex
	machines []*machine
	closed   bool // closed means that no further process is started.
}

// opened is the cluster of the case that runs.
var opened atomic.Pointer[cluster]

// closeAll ends the processes of the case that runs.
func closeAll() {
	if c := opened.Load(); c != nil {
		c.close()
	}
}

// machine is one machine with one daemon.
type machine struct {
	index    int
	name     string
	template string
	service  string
	zone     string
	memoryMB int
	cmd      *exec.Cmd
	exited   chan struct{}
}

// newCluster returns a cluster without machines.
func newCluster(record *recorder) (*cluster, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "hornbeamd")); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, folder: folder, record: record}
	c.ports = freePorts()
	if len(c.ports) < portCount {
		return nil, fmt.Errorf("no free ports")
	}
	opened.Store(c)
	return c, nil
}

// ipOf returns the loopback address of a machine, in a network of this run alone.
func ipOf(index int) string {
	run := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+run>>8&0x7f, run&0xff, index+1)
}

// freePorts returns ports that are free on the first addresses of this run.
func freePorts() []int {
	var ports []int
	for port := 21000 + os.Getpid()%20000; len(ports) < portCount && port < 60000; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ipOf(0), port))
		if err != nil {
			continue
		}
		_ = l.Close()
		ports = append(ports, port)
	}
	return ports
}

// address returns the address of a port of a machine.
func (c *cluster) address(index, port int) string {
	return net.JoinHostPort(ipOf(index), strconv.Itoa(c.ports[port]))
}

// fields returns the values that the platform passes to the templates.
func (c *cluster) fields(m *machine, bootstrap bool) map[string]any {
	seeds := []any{}
	for i := range 3 {
		seeds = append(seeds, c.address(i, controlPort))
	}
	return map[string]any{
		"nodeName": m.name, "zone": m.zone, "ip": ipOf(m.index), "bootstrap": bootstrap, "service": m.service,
		"portRange": []any{c.ports[rpcPort], c.ports[adminPort]}, "dataDir": filepath.Join(c.folder, "data-"+m.name),
		"seeds": seeds, "tolerate": map[string]any{"machines": 1},
		"limits": map[string]any{"memoryMb": m.memoryMB, "linkMbps": 1000.0},
		"bounds": map[string]any{"graceS": 6, "configApplyMs": 2000, "retryRatio": 0.2, "retrySlack": 56},
		"listen": map[string]any{"control": c.address(m.index, controlPort), "readinessAddr": c.address(m.index, readinessPort),
			"inbound": c.address(m.index, inboundPort), "outbound": c.address(m.index, outboundPort)},
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

// render fills in a template as the platform does.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(p string) string {
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
	})
}

// addMachine adds a machine whose daemon has the given template. Each machine has the
// next address.
func (c *cluster) addMachine(template, service, zone string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &machine{index: len(c.machines), template: template, service: service, zone: zone, memoryMB: 284}
	if service == "" {
		m.memoryMB = 280
	}
	m.name = fmt.Sprintf("%s-%d", strings.TrimSuffix(template, ".yaml"), m.index+1)
	c.machines = append(c.machines, m)
	return m
}

// start starts the daemon of a machine.
func (c *cluster) start(m *machine, bootstrap bool) error {
	raw, err := os.ReadFile(filepath.Join(c.root, "deploy", m.template))
	if err != nil {
		return err
	}
	settings := filepath.Join(c.folder, "settings-"+m.name+".yaml")
	if err := os.WriteFile(settings, []byte(render(string(raw), c.fields(m, bootstrap))), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(c.root, "target", "hornbeamd"), "run", "--settings", settings)
	cmd.Dir = c.root
	cmd.Stdout, cmd.Stderr = log, log
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return fmt.Errorf("the case is ending")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.cmd, m.exited = cmd, exited
	return nil
}

// signal sends a signal to the daemon of a machine.
func (c *cluster) signal(m *machine, s syscall.Signal) {
	c.mu.Lock()
	cmd := m.cmd
	c.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(s)
	}
}

// kill ends the daemon of a machine and waits for its end.
func (c *cluster) kill(m *machine) {
	c.mu.Lock()
	cmd, exited := m.cmd, m.exited
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// close ends all processes and removes the temporary folder unless KEEP is set.
func (c *cluster) close() {
	c.mu.Lock()
	c.closed = true
	list := c.machines
	c.mu.Unlock()
	for _, m := range list {
		c.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
		return
	}
	c.record.logf("logs are in %s", c.folder)
}

// operatorClient sends the operator's calls, as the protocol's page says: to one control
// host after the other until there is a clear response.
var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one call to a control host and returns the status, 0 without a response.
func (c *cluster) call(host int, method, path string, header map[string]string, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+c.address(host, controlPort)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(b))
}

// order repeats a call at the control hosts in turn until its response is clear or the
// time is over.
func (c *cluster) order(method, path string, header map[string]string, body string, limit time.Duration) (int, string) {
	status, text := 0, ""
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		status, text = c.call(i%3, method, path, header, body)
		switch status {
		case 200, 400, 404, 409, 412, 413, 422:
			return status, text
		}
		time.Sleep(150 * time.Millisecond)
	}
	return status, text
}

// putDocument sends a configuration until it is accepted.
func (c *cluster) putDocument(base, document string, limit time.Duration) error {
	status, text := c.order("POST", "/hornbeamrack/config/put", map[string]string{"X-Base-Version": base, "Content-Type": "application/json"}, document, limit)
	if status != 200 {
		return fmt.Errorf("configuration not accepted: %d %s", status, text)
	}
	return nil
}

// putFirst sends the first configuration to the control hosts in turn, with an increasing
// pause, until it is accepted.
func (c *cluster) putFirst(r *recorder, document string, limit time.Duration) error {
	pause := 250 * time.Millisecond
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		status, text := c.call(i%3, "POST", "/hornbeamrack/config/put", map[string]string{"X-Base-Version": "r0", "Content-Type": "application/json"}, document)
		r.logf("first configuration sent to control host %d, answered %d %s", i%3, status, text)
		if status == 200 {
			return nil
		}
		time.Sleep(pause)
		pause = min(2*pause, 2*time.Second)
	}
	return fmt.Errorf("no acknowledgement within %s", limit)
}

// ready asks a node once whether it is ready.
func (c *cluster) ready(m *machine) bool {
	resp, err := operatorClient.Get("http://" + c.address(m.index, readinessPort) + "/hornbeamrack/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// awaitReady waits until all given nodes are ready.
func (c *cluster) awaitReady(limit time.Duration, list ...*machine) error {
	end := time.Now().Add(limit)
	for _, m := range list {
		for !c.ready(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
