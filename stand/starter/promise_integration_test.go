package starter

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/process/controller"
)

// load is a set of callers that retry only what was certainly not run.
type load struct {
	stop            chan struct{}
	wait            conc.WaitGroup
	ran, notRun     atomic.Int64
	unknown, broken atomic.Int64
	lastFault       atomic.Value
	entries         []string
	client          fasthttp.Client
}

// start sends deposits with keys of their own to the entries.
func (l *load) start(callers int, prefix string) {
	l.stop = make(chan struct{})
	l.client.MaxIdemponentCallAttempts = 1
	for i := range callers {
		l.wait.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-l.stop:
					return
				default:
					l.deposit(l.entries[(i+k)%len(l.entries)], fmt.Sprintf("%s-%d-%d", prefix, i, k))
				}
			}
		})
	}
}

func (l *load) deposit(entry, key string) {
	_, outcome, body, err := deposit(entry, key)
	switch {
	case err != nil:
		l.broken.Add(1)
		l.lastFault.Store(err.Error())
	case outcome == "ran":
		l.ran.Add(1)
	case outcome == "notRun":
		l.notRun.Add(1)
		l.lastFault.Store(body)
	default:
		l.unknown.Add(1)
		l.lastFault.Store(body)
	}
}

func (l *load) end(t *testing.T, what string) {
	close(l.stop)
	l.wait.Wait()
	t.Logf("%s: %d ran, %d not run, %d unknown, %d broken, last fault %v", what, l.ran.Load(), l.notRun.Load(), l.unknown.Load(), l.broken.Load(), l.lastFault.Load())
}

// TestPlannedStopCutsNothing stops a node, a control host and a target under
// load: no request is cut, and none is left in doubt.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3)
	// Callers use nodes 1 and 3; node 2 is stopped as an owner, and control
	// hosts and a target after it.
	l := &load{entries: []string{m.Nodes[0].EntryAddress, m.Nodes[2].EntryAddress}}
	l.start(6, "stop")
	time.Sleep(500 * time.Millisecond)
	is.NoErr(m.Nodes[1].Stop())
	is.NoErr(m.StartNode(m.Nodes[1]))
	is.NoErr(m.Nodes[1].WaitReady(t.Context()))
	for _, c := range m.ControlHosts {
		is.NoErr(c.Stop())
		is.NoErr(m.StartControlHost(c))
		is.NoErr(c.WaitReady(t.Context()))
	}
	_, err := m.StartTarget(m.Nodes[2], "t3", "designs", "v1")
	is.NoErr(err)
	is.NoErr(WaitUntil(t.Context(), 10*time.Second, "t3 announced", func() bool {
		out, _, err := m.RunClient("services")
		return err == nil && strings.Contains(out, "t3")
	}))
	is.NoErr(m.Targets[0].Stop())
	l.end(t, "planned stops")
	is.Equal(l.broken.Load(), int64(0))
	is.Equal(l.unknown.Load(), int64(0))
	is.True(l.ran.Load() > 0)
}

// TestAcceptedConfigConverges kills a control host in the middle of edits:
// what was accepted is in force on every node within 7 s and stays.
func TestAcceptedConfigConverges(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 4)
	worst := time.Duration(0)
	for i := range 6 {
		if i == 3 {
			m.ControlHosts[i%3].Kill()
		}
		path := fmt.Sprintf("/launch%d", i)
		is.NoErr(m.EditSection("designs", section+fmt.Sprintf("  - {path: %s, methods: [GET], service: designs}\n", path)))
		accepted := time.Now()
		for _, n := range m.Nodes {
			is.NoErr(WaitUntil(t.Context(), 7*time.Second, path+" on "+n.Name, func() bool {
				status, _, err := Get("http://" + n.EntryAddress + path)
				return err == nil && status == fasthttp.StatusOK
			}))
		}
		worst = max(worst, time.Since(accepted))
	}
	t.Logf("worst %s after the operator's answer, with a control host killed", worst)
	is.NoErr(m.StartControlHost(m.ControlHosts[0]))
	is.NoErr(m.ControlHosts[0].WaitReady(t.Context()))
	// A node that restarts gets the newest version, not what the host that
	// came back last knew.
	m.Nodes[3].Kill()
	is.NoErr(m.StartNode(m.Nodes[3]))
	is.NoErr(m.Nodes[3].WaitReady(t.Context()))
	status, _, err := Get("http://" + m.Nodes[3].EntryAddress + "/launch5")
	is.NoErr(err)
	is.Equal(status, fasthttp.StatusOK)
}

// TestReconnectStormBounded kills every control host and every node at once:
// all are back within their bounds, and the control hosts stay below theirs.
func TestReconnectStormBounded(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 8)
	for _, n := range m.Nodes {
		n.Kill()
	}
	for _, c := range m.ControlHosts {
		c.Kill()
	}
	for _, c := range m.ControlHosts {
		is.NoErr(m.StartControlHost(c))
	}
	start := time.Now()
	for _, n := range m.Nodes {
		is.NoErr(m.StartNode(n))
	}
	for _, n := range m.Nodes {
		is.NoErr(WaitUntil(t.Context(), 7*time.Second, n.Name+" ready", func() bool {
			status, _, err := Get("http://" + n.AdminAddress + "/readyz")
			return err == nil && status == fasthttp.StatusOK
		}))
	}
	t.Logf("all %d nodes ready %s after the herd's restart", len(m.Nodes), time.Since(start))
	for _, c := range m.ControlHosts {
		_, body, err := Get("http://" + c.AdminAddress + "/metrics")
		is.NoErr(err)
		is.True(!strings.Contains(string(body), "hornbeam_control_connections_refused_total"))
		is.True(!strings.Contains(string(body), "hornbeam_invariant_violations_total"))
	}
}

// revisions returns the newest endpoint revision and the oldest that a node has.
func revisions(t *testing.T, m *Mesh) (newest, oldest uint64) {
	is := is.New(t)
	out, _, err := m.RunClient("--json", "status")
	is.NoErr(err)
	var v controller.StatusView
	is.NoErr(json.Unmarshal([]byte(out), &v))
	newest, oldest = v.Revision, v.Revision
	for _, n := range v.Nodes {
		oldest = min(oldest, n.Report.Revision)
	}
	return newest, oldest
}

// TestPoisonRequestBounded sends a request that crashes each target that runs
// it, again and again through every node; each crashed target is replaced.
func TestPoisonRequestBounded(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3)
	is.NoErr(m.EditSection("designs", section+"  - {path: /notes, methods: [POST, PUT], service: designs, retries: 2}\n"))
	fresh := 0
	replace := func() {
		fresh++
		_, err := m.StartTarget(m.Nodes[fresh%3], fmt.Sprintf("p%d", fresh), "designs", "v1", "--crash", "poison", "--ledger", m.Folder+"/crashes")
		is.NoErr(err)
	}
	for _, old := range m.Targets {
		is.NoErr(old.Stop())
	}
	for range 4 {
		replace()
	}
	is.NoErr(WaitUntil(t.Context(), 20*time.Second, "targets announced", func() bool {
		out, _, err := m.RunClient("services")
		newest, oldest := revisions(t, m)
		return err == nil && strings.Count(out, "/p") == 4 && oldest == newest
	}))
	send := func(entry string) (int, string) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI("http://" + entry + "/notes")
		req.Header.SetMethod(fasthttp.MethodPut)
		req.SetBodyString("a poison note")
		is.NoErr(fasthttp.DoTimeout(req, resp, 10*time.Second))
		return resp.StatusCode(), string(resp.Header.Peek("Hornbeam-Reason"))
	}
	refused := 0
	for i := range 12 {
		before, _ := revisions(t, m)
		status, reason := send(m.Nodes[i%3].EntryAddress)
		t.Logf("sending %d through %s: status %d, reason %q", i, m.Nodes[i%3].Name, status, reason)
		switch reason {
		case "poison":
			refused++
		case "crash":
			is.NoErr(WaitUntil(t.Context(), 10*time.Second, "news of the crash", func() bool {
				newest, oldest := revisions(t, m)
				return newest > before && oldest == newest
			}))
		}
	}
	crashed := 0
	for _, target := range m.Targets[2:] {
		if !target.Running() {
			crashed++
		}
	}
	t.Logf("%d targets crashed by 12 sendings, %d refused", crashed, refused)
	is.True(crashed <= 2)
	is.True(refused >= 9)
	status, _, err := Get("http://" + m.Nodes[0].EntryAddress + "/designs/1")
	is.NoErr(err)
	is.Equal(status, fasthttp.StatusOK) // other requests are served
}

// TestControlHostReplaced loses a control host with its disk, puts a new one
// in its place, and loses a second one right after the repair.
func TestControlHostReplaced(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 2)
	for i := range 5 {
		_, outcome, _, err := deposit(m.Nodes[0].EntryAddress, fmt.Sprintf("before-%d", i))
		is.NoErr(err)
		is.Equal(outcome, "ran")
	}
	lost := m.ControlHosts[1]
	lost.Kill()
	_, err := m.ReplaceControlHost(lost, "control-9")
	is.NoErr(err)
	out, code, err := m.RunClient("control", "replace", "--old", lost.Name, "--new", m.ControlHosts[1].RPCAddress)
	is.NoErr(err)
	t.Log(out)
	is.Equal(code, 0)
	m.ControlHosts[0].Kill()
	is.NoErr(WaitUntil(t.Context(), 10*time.Second, "edit accepted by the two that are left", func() bool {
		return m.EditSection("designs", section+"# after the second loss\n") == nil
	}))
	// What was accepted before the losses is still known: no deposit runs again.
	for i := range 5 {
		_, outcome, _, err := deposit(m.Nodes[1].EntryAddress, fmt.Sprintf("before-%d", i))
		is.NoErr(err)
		is.Equal(outcome, "ran")
	}
	is.Equal(len(ledger(t, m)), 5)
}
