package starter

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const designsSection = `services:
  - name: designs
    slots: 10
routes:
  - path: /designs
    methods: [GET]
    service: designs
    retries: 2
  - path: /previews
    methods: [GET]
    service: designs
    stream: true
  - path: /deposits
    methods: [POST]
    service: designs
    nonIdempotent: true
    importance: high
    retries: 2
`

// programFolder holds the programs that TestMain builds once for all tests.
var programFolder string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "hornbeam-bin")
	if err == nil {
		err = Build(folder)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programFolder = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// newMesh starts three control hosts, the nodes and two targets, creates the section, and
// waits until every node serves it. A failed test logs the output of all processes.
func newMesh(t *testing.T, nodes int) *Mesh { return newMeshOf(t, 3, nodes) }

// newMeshOf does the same as newMesh with the given number of control hosts.
func newMeshOf(t *testing.T, controlHosts, nodes int) *Mesh {
	is := is.New(t)
	m := &Mesh{Folder: t.TempDir(), ProgramFolder: programFolder, ControlHostCount: controlHosts, NodeCount: nodes, DataCentreCount: 2, WriteTraces: true}
	t.Cleanup(func() {
		m.KillAll()
		if t.Failed() {
			for _, p := range m.processes() {
				t.Logf("--- %s\n%s", p.Name, p.Log())
			}
		}
	})
	is.NoErr(m.Start(t.Context()))
	for i := range 2 {
		_, err := m.StartTarget(m.Nodes[i], fmt.Sprintf("t%d", i+1), "designs", "v1", "--ledger", filepath.Join(m.Folder, "ledger"))
		is.NoErr(err)
	}
	out, code, err := m.RunClientWithInput([]byte(designsSection), "section", "edit", "designs", "--file", "-", "--base", "0")
	is.NoErr(err)
	is.Equal(code, 0) // the edit is accepted
	is.True(strings.Contains(out, "accepted"))
	for _, n := range m.Nodes {
		is.NoErr(WaitUntil(t.Context(), 20*time.Second, n.Name+" serves", func() bool {
			status, _, err := Get("http://" + n.EntryAddress + "/designs/1")
			return err == nil && status == fasthttp.StatusOK
		}))
	}
	return m
}

// sendDeposit sends a deposit with a key and returns the status, the Hornbeam-Outcome
// header and the body.
func sendDeposit(entry, key string) (int, string, string, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry + "/deposits")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Idempotency-Key", key)
	req.SetBodyString("100 for " + key)
	err := fasthttp.DoTimeout(req, resp, 10*time.Second)
	return resp.StatusCode(), string(resp.Header.Peek("Hornbeam-Outcome")), string(resp.Body()), err
}

// readLedger returns the lines of the targets' common ledger, one for each deposit that a
// target ran.
func readLedger(t *testing.T, m *Mesh) []string {
	b, err := os.ReadFile(filepath.Join(m.Folder, "ledger"))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(b))
}

// TestWholePath guards against faults in the path of a request over two nodes. It sends a
// read, a deposit with a retry, and a stream through every node, and checks the ledger and
// the traces.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 4)
	for _, n := range m.Nodes {
		status, body, err := Get("http://" + n.EntryAddress + "/designs/7")
		is.NoErr(err)
		is.Equal(status, fasthttp.StatusOK)
		is.True(strings.HasPrefix(string(body), "/designs/7 by t")) // the target's own response

		key := "key-" + n.Name
		_, outcome, first, err := sendDeposit(n.EntryAddress, key)
		is.NoErr(err)
		is.Equal(outcome, "ran")
		_, outcome, second, err := sendDeposit(m.Nodes[0].EntryAddress, key)
		is.NoErr(err)
		is.Equal(outcome, "ran")
		is.Equal(first, second) // a retry returns the stored response

		status, body, err = Get("http://" + n.EntryAddress + "/previews/1")
		is.NoErr(err)
		is.Equal(status, fasthttp.StatusOK)
		is.True(bytes.HasSuffix(bytes.TrimSpace(body), []byte("v1"))) // the stream is complete
		is.True(len(body) > 16*8<<10)
	}
	is.Equal(len(readLedger(t, m)), len(m.Nodes)) // each deposit ran once
	is.NoErr(m.Nodes[3].Stop())
	is.NoErr(m.Nodes[0].Stop())
	is.NoErr(m.Nodes[1].Stop())
	checkTrace(t, m)
}

// checkTrace checks that one trace holds a span of an entry node and one of an owner
// node.
func checkTrace(t *testing.T, m *Mesh) {
	is := is.New(t)
	read := func(name string) string {
		b, err := os.ReadFile(filepath.Join(m.Folder, name+".trace.json"))
		is.NoErr(err)
		return string(b)
	}
	entry := read("node-4")
	owners := read("node-1") + read("node-2")
	_, rest, ok := strings.Cut(entry, `"TraceID":"`)
	is.True(ok) // node-4 has no target, so it forwards its requests to another node
	id := rest[:32]
	is.True(strings.Contains(owners, id)) // the owner's span is in the same trace
}

// sendTraffic sends reads and deposits to every node until ctx ends.
func sendTraffic(ctx context.Context, m *Mesh, wait *conc.WaitGroup) {
	for i, n := range m.Nodes {
		wait.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				_, _, _ = Get(fmt.Sprintf("http://%s/designs/%d", n.EntryAddress, k))
				if k%10 == 0 {
					_, _, _, _ = sendDeposit(n.EntryAddress, fmt.Sprintf("drive-%d-%d", i, k))
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
}

// TestMoves guards against moves that roll back a good version or keep a failing one. It
// moves traffic to a good version, then to one that fails half of its requests.
func TestMoves(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3)
	ctx, cancel := context.WithCancel(t.Context())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	sendTraffic(ctx, m, &wait)
	for _, c := range []struct {
		name, to string
		extra    []string
		code     int
	}{
		{"a good version is moved to", "v2", nil, 0},
		{"a failing version is rolled back", "v3", []string{"--fail", "0.5"}, 6},
	} {
		for i := range 2 {
			_, err := m.StartTarget(m.Nodes[i], fmt.Sprintf("new%d-of-%d", i, len(m.Targets)), "designs", c.to, c.extra...)
			is.NoErr(err)
		}
		is.NoErr(WaitUntil(ctx, 10*time.Second, c.to+" announced", func() bool {
			out, _, err := m.RunClient("services")
			return err == nil && strings.Count(out, c.to) == 2
		}))
		out, code, err := m.RunClient("move", "begin", "designs", "--to", c.to, "--deadline", "45s", "--prefer", "deadline")
		is.NoErr(err)
		t.Log(c.name, out)
		is.Equal(code, 0)
		out, code, err = m.RunClient("move", "watch", "designs")
		is.NoErr(err)
		t.Log(out)
		is.Equal(code, c.code) // done, or rolled back
	}
	_, body, err := Get("http://" + m.Nodes[2].EntryAddress + "/designs/7")
	is.NoErr(err)
	is.True(strings.Contains(string(body), "v2")) // v2 serves after the move to v3 was rolled back
}

// TestControlHostKilled guards against a control plane that stops accepting edits or
// claims when one of three control hosts is lost.
func TestControlHostKilled(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 2)
	m.ControlHosts[0].Kill()
	out, code, err := m.RunClientWithInput([]byte(designsSection+"# changed\n"), "section", "edit", "designs", "--file", "-", "--base", "1")
	is.NoErr(err)
	t.Log(out)
	is.Equal(code, 0) // the two others are a quorum
	_, outcome, _, err := sendDeposit(m.Nodes[0].EntryAddress, "after-kill")
	is.NoErr(err)
	is.Equal(outcome, "ran")
	is.NoErr(m.StartControlHost(m.ControlHosts[0]))
	is.NoErr(m.ControlHosts[0].WaitReady(context.Background()))
}
