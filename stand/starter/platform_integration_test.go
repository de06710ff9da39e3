package starter

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/process/configurer"
)

// The indexes of the ports that every process on the platform listens on. The ports are
// the same for all processes, since each process has an IP of its own.
const (
	rpcPort = iota
	adminPort
	controlPort
	readinessPort
	inboundPort
	outboundPort
	portCount
)

// platformMesh runs daemons on loopback with settings that are rendered from the
// templates in deploy/.
type platformMesh struct {
	*Mesh
	t     *testing.T
	ports []int
	seeds []int // seeds are the processes that new ones get as seeds; the first three when nil.
}

// nextPort is the first port that freePorts tries. The HTTP client keeps connections to
// the processes of an earlier test, so that their ports must not be used again.
var nextPort = 20000 + os.Getpid()%20000

// freePorts returns portCount ports that are free on the first ips addresses, other ones
// at each call.
func freePorts(t *testing.T, ips int) []int {
	t.Helper()
	var ports []int
	for ; len(ports) < portCount && nextPort < 60000; nextPort++ {
		free := true
		for i := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", processIP(i), nextPort))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			ports = append(ports, nextPort)
		}
	}
	if len(ports) < portCount {
		t.Fatal("no free ports on loopback")
	}
	return ports
}

// processIP returns the loopback address of the process with index i. It is in a network
// of this run alone, since the admin port of the templates is the same in every run.
func processIP(i int) string {
	run := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+run>>8&0x7f, run&0xff, i+1)
}

// address returns the IP and port of process i; port is one of the indexes above.
func (m *platformMesh) address(i, port int) string {
	return net.JoinHostPort(processIP(i), strconv.Itoa(m.ports[port]))
}

// seedIndexes returns the indexes of the processes that new ones get as seeds.
func (m *platformMesh) seedIndexes() []int {
	if m.seeds == nil {
		return []int{0, 1, 2}
	}
	return m.seeds
}

// templateFields returns the values that the platform passes to the templates for
// process i.
func (m *platformMesh) templateFields(i int, bootstrap bool) map[string]any {
	seeds := []any{}
	for _, s := range m.seedIndexes() {
		seeds = append(seeds, m.address(s, controlPort))
	}
	f := map[string]any{
		"nodeName": fmt.Sprintf("machine-%d", i+1), "zone": "zone-a", "ip": processIP(i), "bootstrap": bootstrap,
		"portRange": []any{m.ports[rpcPort], m.ports[adminPort]}, "dataDir": filepath.Join(m.Folder, fmt.Sprintf("data-%d", i)),
		"seeds":   seeds,
		"service": "svc1", "tolerate": map[string]any{"machines": 1},
		"limits": map[string]any{"memoryMb": 280, "linkMbps": 1000.0},
		"bounds": map[string]any{"graceS": 6, "configApplyMs": 2000, "retryRatio": 0.2, "retrySlack": 56},
		"listen": map[string]any{"control": m.address(i, controlPort), "readinessAddr": m.address(i, readinessPort),
			"inbound": m.address(i, inboundPort), "outbound": m.address(i, outboundPort)},
	}
	return f
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

// renderTemplate replaces the placeholders and sections of a template in deploy/ as the
// platform does.
func renderTemplate(t *testing.T, file string, fields map[string]any) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", file))
	if err != nil {
		t.Fatal(err)
	}
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
		b, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	})
}

// TestNodeWithoutConfigurationBoundStarts guards against nodes that end at their start
// where the platform states no bound on configuration, or a short one.
func TestNodeWithoutConfigurationBoundStarts(t *testing.T) {
	is := is.New(t)
	m := &platformMesh{Mesh: &Mesh{Folder: t.TempDir()}, ports: freePorts(t, 2), t: t}
	for _, row := range []struct {
		bound any
		want  time.Duration
	}{{nil, configurer.DefaultMaxConfirmationAge}, {1000, time.Second}, {2000, 2 * time.Second}} {
		fields := m.templateFields(0, true)
		fields["bounds"].(map[string]any)["configApplyMs"] = row.bound
		settings, err := configurer.Parse("node.yaml", []byte(renderTemplate(t, "node.yaml", fields)))
		is.NoErr(err)
		is.Equal(settings.Node.MaxConfirmationAge.AsDuration(), row.want)
	}
}

// start starts process i with the settings rendered from a template; each role has its
// own template. It does not wait until the process is ready.
func (m *platformMesh) start(i int, template string, bootstrap bool) *Node {
	m.t.Helper()
	file := filepath.Join(m.Folder, fmt.Sprintf("settings-%d.yaml", i))
	if err := os.WriteFile(file, []byte(renderTemplate(m.t, template, m.templateFields(i, bootstrap))), 0o600); err != nil {
		m.t.Fatal(err)
	}
	n, err := m.StartDaemon(fmt.Sprintf("machine-%d", i+1), m.address(i, adminPort), "", file)
	if err != nil {
		m.t.Fatal(err)
	}
	return n
}

// sendHTTP sends one HTTP request and returns the status and the response. The status is
// 0 when no response is received.
func sendHTTP(method, url string, headers map[string]string, body string) (int, *fasthttp.Response) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	req.UseHostHeader = headers["Host"] != ""
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, httpTimeout); err != nil {
		return 0, resp
	}
	return resp.StatusCode(), resp
}

// platformDocument returns a configuration document in the platform's format. A timeout
// of 0 ms is not valid.
func platformDocument(version, timeout int) string {
	return fmt.Sprintf(`{"version":"r%d","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"listeners":[{"host":"h.example","rules":[{"name":"r1","kind":"safe","sloMs":500,"priority":1,"match":{"prefix":"/a/"},"action":{"service":"svc1","timeoutMs":%d,"attempts":2}}]}],`+
		`"clusters":[{"name":"svc1","healthPath":"/healthz","maxConns":110}]}`, version, timeout)
}

// putDocument sends a document that replaces version base to process i, and returns the
// status.
func (m *platformMesh) putDocument(i int, base, document string) int {
	status, _ := sendHTTP("POST", "http://"+m.address(i, controlPort)+"/hornbeamrack/config/put", map[string]string{"X-Base-Version": base}, document)
	return status
}

// sendHeartbeat sends a target's heartbeat to process i and returns the status.
func (m *platformMesh) sendHeartbeat(i, sequence int, state, target string) int {
	body := fmt.Sprintf(`{"service":"svc1","address":"%s","zone":"zone-a","version":"v1","slots":6,"state":"%s","coldLeftMs":0,"sequence":%d,"born":1}`, target, state, sequence)
	status, _ := sendHTTP("POST", "http://"+m.address(i, controlPort)+"/hornbeamrack/instances/i-1/heartbeat", nil, body)
	return status
}

// sendRequest sends a caller's request to process i.
func (m *platformMesh) sendRequest(i int, id string) (int, *fasthttp.Response) {
	return sendHTTP("GET", "http://"+m.address(i, outboundPort)+"/a/x?q=%2F", map[string]string{"Host": "h.example", "X-Request-Id": id, "X-Deadline-Ms": "2000"}, "")
}

// receivedRequest holds the headers and the URI of a request that the stand-in target
// received.
type receivedRequest struct{ target, origin, id, path string }

// startControlHosts starts three control hosts of a mesh of up to the given number of
// processes. A failed test logs the output of all processes.
func startControlHosts(t *testing.T, processes int) (*platformMesh, []*Node) {
	t.Helper()
	m := &platformMesh{Mesh: &Mesh{Folder: t.TempDir(), ProgramFolder: programFolder}, t: t, ports: freePorts(t, processes)}
	t.Cleanup(func() {
		m.KillAll()
		if t.Failed() {
			for _, p := range m.processes() {
				t.Logf("--- %s\n%s", p.Name, p.Log())
			}
		}
	})
	return m, []*Node{m.start(0, "control.yaml", true), m.start(1, "control.yaml", true), m.start(2, "control.yaml", true)}
}

// newControlMesh starts three control hosts and sends the first document.
func newControlMesh(t *testing.T, processes int) (*platformMesh, []*Node) {
	t.Helper()
	m, control := startControlHosts(t, processes)
	m.awaitDocument(0, 0, 1)
	return m, control
}

// awaitDocument waits until process i accepts document number, which replaces the one of
// the number base.
func (m *platformMesh) awaitDocument(i, base, number int) {
	m.t.Helper()
	document := platformDocument(number, 1000+number)
	err := WaitUntil(m.t.Context(), readyTimeout, fmt.Sprintf("document %d accepted by process %d", number, i), func() bool {
		return m.putDocument(i, fmt.Sprintf("r%d", base), document) == 200
	})
	if err != nil {
		m.t.Fatal(err)
	}
}

// TestPlatformWholePath guards against settings in deploy/ or calls of the platform that
// the daemons do not accept. It runs control hosts and nodes with the settings of deploy/
// and sends the platform's calls: documents, heartbeats of targets, requests over two
// nodes and readiness; it also loses the disk of a control host.
func TestPlatformWholePath(t *testing.T) {
	is := is.New(t)
	m, control := startControlHosts(t, 5)
	m.start(3, "node.yaml", true)
	m.start(4, "node.yaml", true)
	first := platformDocument(3, 1000)
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "first document accepted", func() bool { return m.putDocument(0, "r0", first) == 200 }))
	is.Equal(m.putDocument(1, "r0", first), 200) // a retry at another host is idempotent
	is.Equal(m.putDocument(1, "r0", platformDocument(4, 900)), 412)
	is.Equal(m.putDocument(2, "r3", platformDocument(5, 0)), 400)
	is.Equal(m.putDocument(2, "r3", first[:40]), 400)
	for i := range 3 {
		status, resp := sendHTTP("GET", "http://"+m.address(i, controlPort)+"/hornbeamrack/config/get", nil, "")
		is.Equal(status, 200)
		is.Equal(string(resp.Body()), first)
	}
	for i := 3; i < 5; i++ {
		is.NoErr(WaitUntil(t.Context(), readyTimeout, "node ready", func() bool {
			status, _ := sendHTTP("GET", "http://"+m.address(i, readinessPort)+"/hornbeamrack/readyz", nil, "")
			return status == 200
		}))
	}
	m.serveTarget(is)
	m.replaceDisk(is, control)
}

// serveTarget announces a target at one node, sends requests through the other node, and
// checks that none reaches the target after its heartbeat reported draining.
func (m *platformMesh) serveTarget(is *is.I) {
	got := make(chan receivedRequest, 64)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	m.t.Cleanup(func() { _ = l.Close() })
	go func() {
		_ = fasthttp.Serve(l, func(ctx *fasthttp.RequestCtx) {
			h := &ctx.Request.Header
			got <- receivedRequest{string(h.Peek("X-Target-Instance")), string(h.Peek("X-Caller-Service")), string(h.Peek("X-Request-Id")), string(h.RequestURI())}
			ctx.Response.Header.Set("X-Request-Id", string(h.Peek("X-Request-Id")))
			ctx.Response.Header.Set("X-Response-Signature", "signed")
			ctx.SetBodyString("the target's answer")
		})
	}()
	target := l.Addr().String()
	is.Equal(m.sendHeartbeat(3, 1, "ready", target), 200)
	is.Equal(m.sendHeartbeat(3, 2, "resting", target), 400)
	is.NoErr(WaitUntil(m.t.Context(), readyTimeout, "response through the other node", func() bool {
		status, resp := m.sendRequest(4, "id-7")
		return status == 200 && string(resp.Body()) == "the target's answer" && string(resp.Header.Peek("X-Response-Signature")) == "signed"
	}))
	is.Equal(<-got, receivedRequest{"i-1", "svc1", "id-7", "/a/x?q=%2F"})
	is.Equal(m.sendHeartbeat(3, 3, "draining", target), 200)
	for len(got) > 0 {
		<-got
	}
	for range 5 {
		status, resp := m.sendRequest(4, "id-8")
		is.Equal(status, 503)
		is.True(len(resp.Header.Peek("Retry-After")) > 0)
	}
	is.Equal(len(got), 0) // the node drains the target before it acknowledges the heartbeat
}

// replaceDisk kills a control host, deletes its data and starts it again. It must become
// a voter without an operator, so that the group keeps its quorum when another host is
// killed afterwards.
func (m *platformMesh) replaceDisk(is *is.I, control []*Node) {
	control[2].Kill()
	is.NoErr(os.RemoveAll(filepath.Join(m.Folder, "data-2")))
	m.start(2, "control.yaml", false)
	is.NoErr(WaitUntil(m.t.Context(), readyTimeout, "voter again", func() bool {
		return strings.Contains(control[0].Log()+control[1].Log(), "group=config action=promote")
	}))
	control[1].Kill()
	second := platformDocument(9, 800)
	is.NoErr(WaitUntil(m.t.Context(), readyTimeout, "document accepted by the first and the new host", func() bool { return m.putDocument(2, "r3", second) == 200 }))
	is.NoErr(control[0].Signal(syscall.SIGHUP))
	time.Sleep(pollInterval)
	is.True(control[0].Running())
	status, resp := sendHTTP("GET", "http://"+m.address(0, controlPort)+"/hornbeamrack/config/get", nil, "")
	is.Equal(status, 200)
	is.Equal(string(resp.Body()), second)
}
