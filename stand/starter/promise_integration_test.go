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

// load is a set of callers that send deposits without retries and count their outcomes.
type load struct {
	stop            chan struct{}
	wait            conc.WaitGroup
	ran, notRun     atomic.Int64
	unknown, failed atomic.Int64
	lastFailure     atomic.Value // lastFailure is the error or the body of the last deposit whose outcome is not "ran".
	entries         []string
	client          fasthttp.Client
}

// start starts callers that send deposits to the entry addresses in turn, each with a key
// of its own, until stopAndLog.
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

// deposit sends one deposit and counts its outcome; failed counts those without a
// response.
func (l *load) deposit(entry, key string) {
	_, outcome, body, err := sendDeposit(entry, key)
	switch {
	case err != nil:
		l.failed.Add(1)
		l.lastFailure.Store(err.Error())
	case outcome == "ran":
		l.ran.Add(1)
	case outcome == "notRun":
		l.notRun.Add(1)
		l.lastFailure.Store(body)
	default:
		l.unknown.Add(1)
		l.lastFailure.Store(body)
	}
}

// stopAndLog waits for the callers to stop and logs the counts.
func (l *load) stopAndLog(t *testing.T, what string) {
	close(l.stop)
	l.wait.Wait()
	t.Logf("%s: %d ran, %d not run, %d unknown, %d without a response, last failure %v", what, l.ran.Load(), l.notRun.Load(), l.unknown.Load(), l.failed.Load(), l.lastFailure.Load())
}

// TestPlannedStopCutsNothing guards against planned stops that interrupt requests. It
// stops a node, the control hosts and a target under load: no request may fail without a
// response or end with an unknown outcome.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3)
	// Callers use nodes 1 and 3. Node 2, an owner node, is stopped first, then each
	// control host, then a target.
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
	l.stopAndLog(t, "planned stops")
	is.Equal(l.failed.Load(), int64(0))
	is.Equal(l.unknown.Load(), int64(0))
	is.True(l.ran.Load() > 0)
}

// TestAcceptedConfigConverges guards against accepted edits that are lost or arrive late
// when a control host fails. It kills one between two edits: each accepted edit must be
// in force on every node within 7 s, and stay in force when a node restarts.
func TestAcceptedConfigConverges(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 4)
	worst := time.Duration(0)
	for i := range 6 {
		if i == 3 {
			m.ControlHosts[i%3].Kill()
		}
		path := fmt.Sprintf("/launch%d", i)
		is.NoErr(m.EditSection("designs", designsSection+fmt.Sprintf("  - {path: %s, methods: [GET], service: designs}\n", path)))
		accepted := time.Now()
		for _, n := range m.Nodes {
			is.NoErr(WaitUntil(t.Context(), 7*time.Second, path+" on "+n.Name, func() bool {
				status, _, err := Get("http://" + n.EntryAddress + path)
				return err == nil && status == fasthttp.StatusOK
			}))
		}
		worst = max(worst, time.Since(accepted))
	}
	t.Logf("longest convergence %s after the response to the edit, with a control host killed", worst)
	is.NoErr(m.StartControlHost(m.ControlHosts[0]))
	is.NoErr(m.ControlHosts[0].WaitReady(t.Context()))
	// A restarted node must receive the newest version, not the older one that the
	// restarted control host has stored.
	m.Nodes[3].Kill()
	is.NoErr(m.StartNode(m.Nodes[3]))
	is.NoErr(m.Nodes[3].WaitReady(t.Context()))
	status, _, err := Get("http://" + m.Nodes[3].EntryAddress + "/launch5")
	is.NoErr(err)
	is.Equal(status, fasthttp.StatusOK)
}

// TestReconnectStormBounded guards against control hosts that are overloaded when all
// nodes reconnect at once. It kills and restarts every control host and every node: each
// node must be ready within 7 s, no control host may reject a connection, and no
// invariant may be violated.
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
	t.Logf("all %d nodes ready %s after all were restarted", len(m.Nodes), time.Since(start))
	for _, c := range m.ControlHosts {
		_, body, err := Get("http://" + c.AdminAddress + "/metrics")
		is.NoErr(err)
		is.True(!strings.Contains(string(body), "hornbeam_control_connections_refused_total"))
		is.True(!strings.Contains(string(body), "hornbeam_invariant_violations_total"))
	}
}

// revisions returns the newest endpoint revision and the oldest one that a node reports.
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

// TestPoisonRequestBounded guards against a poison request that crashes one target after
// another. It sends such a request 12 times through all nodes in turn: at most two
// targets may crash, later requests must be rejected, and other requests must be served.
func TestPoisonRequestBounded(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3)
	is.NoErr(m.EditSection("designs", designsSection+"  - {path: /notes, methods: [POST, PUT], service: designs, retries: 2}\n"))
	started := 0
	startTarget := func() {
		started++
		_, err := m.StartTarget(m.Nodes[started%3], fmt.Sprintf("p%d", started), "designs", "v1", "--crash", "poison", "--ledger", m.Folder+"/crashes")
		is.NoErr(err)
	}
	for _, old := range m.Targets {
		is.NoErr(old.Stop())
	}
	for range 4 {
		startTarget()
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
	rejected := 0
	for i := range 12 {
		before, _ := revisions(t, m)
		status, reason := send(m.Nodes[i%3].EntryAddress)
		t.Logf("request %d through %s: status %d, reason %q", i, m.Nodes[i%3].Name, status, reason)
		switch reason {
		case "poison":
			rejected++
		case "crash":
			is.NoErr(WaitUntil(t.Context(), 10*time.Second, "crash reported to all nodes", func() bool {
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
	t.Logf("%d targets crashed by 12 requests, %d requests rejected", crashed, rejected)
	is.True(crashed <= 2)
	is.True(rejected >= 9)
	status, _, err := Get("http://" + m.Nodes[0].EntryAddress + "/designs/1")
	is.NoErr(err)
	is.Equal(status, fasthttp.StatusOK) // other requests are served
}

// TestControlHostReplaced guards against a replaced control host that counts as a voter
// before it stores what was accepted. It replaces a lost control host by one with an empty
// disk, then kills a second one at once: edits must still be accepted, and no deposit may
// run twice.
func TestControlHostReplaced(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 2)
	for i := range 5 {
		_, outcome, _, err := sendDeposit(m.Nodes[0].EntryAddress, fmt.Sprintf("before-%d", i))
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
		return m.EditSection("designs", designsSection+"# after the second loss\n") == nil
	}))
	// The claims from before the losses must still be stored: no deposit runs again.
	for i := range 5 {
		_, outcome, _, err := sendDeposit(m.Nodes[1].EntryAddress, fmt.Sprintf("before-%d", i))
		is.NoErr(err)
		is.Equal(outcome, "ran")
	}
	is.Equal(len(readLedger(t, m)), 5)
}
