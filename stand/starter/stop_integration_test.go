package starter

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// keptConnection is a caller's connection to a node that has served a request.
type keptConnection struct {
	conn net.Conn
	br   *bufio.Reader
}

// openKept opens a connection to a node and sends one request on it.
func (m *platformMesh) openKept(node int) *keptConnection {
	m.t.Helper()
	conn, err := net.Dial("tcp", m.address(node, outboundPort))
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = conn.Close() })
	k := &keptConnection{conn, bufio.NewReader(conn)}
	if status, err := k.deposit(noticeID(node, 0)); err != nil || status != fasthttp.StatusOK {
		m.t.Fatalf("first request on a connection: status %d, %v", status, err)
	}
	return k
}

// deposit sends a request that may run only once and returns the status of its complete
// response, or an error if the connection ends before.
func (k *keptConnection) deposit(id string) (int, error) {
	_ = k.conn.SetDeadline(time.Now().Add(httpTimeout))
	if _, err := fmt.Fprintf(k.conn, "POST /b/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n", id); err != nil {
		return 0, err
	}
	var resp fasthttp.Response
	err := resp.Read(k.br)
	return resp.StatusCode(), err
}

// stopDocument is platformDocument with a further route, whose requests may run only once
// and may take 5 s.
func stopDocument(version int) string {
	route := `{"name":"r2","kind":"unsafe","sloMs":3000,"priority":0,"match":{"prefix":"/b/"},"action":{"service":"svc1","timeoutMs":5000,"attempts":1}},`
	return strings.Replace(platformDocument(version, 1000), `"rules":[`, `"rules":[`+route, 1)
}

// TestRequestsLateInAStopAreCut guards against requests that a stopping node takes on kept
// connections later than 3 s after SIGTERM, half of its stop time, and passes on although it
// ends before they do: they are cut without a response, also those that must not run
// again. The control hosts do not answer when the node says that it leaves.
func TestRequestsLateInAStopAreCut(t *testing.T) {
	const (
		stopTime  = 6 * time.Second // graceS in the settings
		firstSent = stopTime/2 + 50*time.Millisecond
		interval  = 50 * time.Millisecond
		count     = 20
		pauseAt   = 1800 * time.Millisecond
		work      = 2600 * time.Millisecond
	)
	is := is.New(t)
	m, targets := startNoticeMesh(t)
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "document with a further route", func() bool { return m.putDocument(0, "r3", stopDocument(4)) == 200 }))
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "route in force", func() bool {
		status, _ := sendHTTP("POST", "http://"+m.address(statingNode, outboundPort)+"/b/x", map[string]string{"Host": "h.example", "X-Request-Id": noticeID(statingNode, 0), "X-Deadline-Ms": "2000"}, "")
		return status == fasthttp.StatusOK
	}))
	var kept []*keptConnection
	for range count {
		kept = append(kept, m.openKept(statingNode))
	}
	for _, target := range targets {
		target.setDepositTime(work)
	}
	begun := time.Now()
	is.NoErr(m.daemon(statingNode).Signal(syscall.SIGTERM))
	time.Sleep(time.Until(begun.Add(pauseAt)))
	for i := range statingNode {
		is.NoErr(m.daemon(i).Pause())
	}
	type result struct {
		id     string
		after  time.Duration
		status int
		err    error
	}
	results := make(chan result, count)
	var sends conc.WaitGroup
	for i, k := range kept {
		after := firstSent + time.Duration(i)*interval
		time.Sleep(time.Until(begun.Add(after)))
		sends.Go(func() {
			id := noticeID(statingNode, int64(i))
			status, err := k.deposit(id)
			results <- result{id, after, status, err}
		})
	}
	sends.Wait()
	close(results)
	for r := range results {
		passedOn := targets[0].received(r.id) || targets[1].received(r.id)
		t.Logf("sent %s after SIGTERM: passed on %v, status %d, %v", r.after, passedOn, r.status, r.err)
		is.True(!passedOn || r.err == nil) // a request that was passed on has a response
		is.True(!passedOn)                 // none is taken that late
	}
}

// daemon returns the process of a control host or node that was started last.
func (m *platformMesh) daemon(i int) *Process {
	m.t.Helper()
	var last *Process
	for _, p := range m.processes() {
		if p.Name == fmt.Sprintf("machine-%d", i+1) {
			last = p
		}
	}
	if last == nil {
		m.t.Fatalf("process %d was not started", i)
	}
	return last
}
