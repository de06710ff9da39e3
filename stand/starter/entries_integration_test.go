package starter

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// oddHeartbeatFields are fields of heartbeats of another writer, each of which replaces
// the field of the same name in a valid heartbeat.
var oddHeartbeatFields = []string{
	`"address":"127.0.0.1:99999"`, `"address":"127.0.0.1:0"`, `"address":"127.0.0.1"`, `"address":7`, `"address":"[[[[:80"`,
	`"slots":1e300`, `"slots":1e400`, `"slots":-1`, `"sequence":1e300`, `"born":9007199254740991`, `"born":1e300`, `"coldLeftMs":1e300`,
	`"service":"svc2"`, `"service":"` + strings.Repeat("s", 50_000) + `"`, `"state":"resting"`, `"version":"v1\u0000\n"`, "\"version\":\"\xff\"",
	`"version":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000), `"extra":` + strings.Repeat("[", 60_000),
	`"extra":"` + strings.Repeat("x", 2<<20) + `"`,
}

// TestOddHeartbeatLosesRequests guards against heartbeats of another writer after which
// processes end, nodes stop following the configuration, or requests are lost that the
// good target of the same host could serve.
func TestOddHeartbeatLosesRequests(t *testing.T) {
	is := is.New(t)
	m := &platformMesh{Mesh: &Mesh{Folder: t.TempDir(), ProgramFolder: programFolder}, t: t, ports: freePorts(t, 5)}
	t.Cleanup(func() {
		m.KillAll()
		if t.Failed() {
			for _, p := range m.processes() {
				t.Logf("--- %s\n%s", p.Name, p.Log())
			}
		}
	})
	for i := range 3 {
		m.start(i, "control.yaml", true)
	}
	m.start(3, "node.yaml", true)
	m.start(4, "node.yaml", true)
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "first document accepted", func() bool { return m.putDocument(0, "r0", platformDocument(3, 1000)) == 200 }))
	target := m.answer(is)
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "responses through both nodes", func() bool {
		_ = m.sendHeartbeat(3, 1, "ready", target)
		own, _ := m.sendRequest(3, "id-0")
		other, _ := m.sendRequest(4, "id-0")
		return own == 200 && other == 200
	}))
	sequence := 1
	for n, field := range oddHeartbeatFields {
		for _, id := range []string{"i-1", fmt.Sprintf("i-odd-%d", n)} {
			sequence++
			if m.sendOddHeartbeat(3, id, sequence, target, field) == 200 {
				t.Errorf("%.40q of %s is accepted", field, id)
			}
		}
		sequence++
		is.Equal(m.sendHeartbeat(3, sequence, "ready", target), 200)
		for i := 3; i < 5; i++ {
			status, resp := m.sendRequest(i, fmt.Sprintf("id-%d", n))
			if status != 200 {
				t.Errorf("after %.40q: status %d at process %d: %s", field, status, i, resp.Body())
			}
		}
	}
	is.Equal(m.putDocument(1, "r3", strings.Replace(platformDocument(4, 900), "/a/", "/next/", 1)), 200)
	for i := 3; i < 5; i++ {
		is.NoErr(WaitUntil(t.Context(), readyTimeout, "the next configuration in force", func() bool {
			_ = m.sendHeartbeat(3, sequence, "ready", target)
			status, _ := sendHTTP("GET", "http://"+m.address(i, outboundPort)+"/next/x", map[string]string{"Host": "h.example", "X-Request-Id": "id", "X-Deadline-Ms": "2000"}, "")
			return status == 200
		}))
	}
	for _, p := range m.processes() {
		is.True(p.Running())
	}
}

// answer starts a stand-in target that answers every request, and returns its address.
func (m *platformMesh) answer(is *is.I) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	m.t.Cleanup(func() { _ = l.Close() })
	go func() {
		_ = fasthttp.Serve(l, func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
			ctx.Response.Header.Set("X-Response-Signature", "signed")
			ctx.SetBodyString("the target's answer")
		})
	}()
	return l.Addr().String()
}

// sendOddHeartbeat sends a heartbeat with one field replaced to process i and returns the
// status, 0 when the connection ended without a response.
func (m *platformMesh) sendOddHeartbeat(i int, id string, sequence int, target, field string) int {
	name, _, _ := strings.Cut(field, ":")
	body := "{" + field
	for _, f := range []string{`"service":"svc1"`, `"address":"` + target + `"`, `"zone":"zone-a"`, `"version":"v1"`, `"slots":6`, `"state":"ready"`, `"coldLeftMs":0`, fmt.Sprintf(`"sequence":%d`, sequence), fmt.Sprintf(`"born":%d`, time.Now().UnixMilli())} {
		if !strings.HasPrefix(f, name+":") {
			body += "," + f
		}
	}
	status, _ := sendHTTP("POST", "http://"+m.address(i, controlPort)+"/hornbeamrack/instances/"+id+"/heartbeat", nil, body+"}")
	return status
}
