package starter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

const (
	// longUploadBytes is more than the socket buffers of a node and a target hold.
	longUploadBytes = 8 << 20
	// earlyReadBytes is the part of an upload that a target reads before it responds.
	earlyReadBytes = 1000
	uploadRounds   = 10

	wholeText = "the target's answer"
	wholePath = "whole"
)

// brokenResponse is a response of a target that no caller may get as a whole one. Its text
// has a %s where the headers that show whose response it is belong.
type brokenResponse struct {
	path, text string
	early      bool // early means that the target responds and resets the connection while a long upload is written.
}

var brokenResponses = []brokenResponse{
	{"early-reset", "HTTP/1.1 200 OK\r\n%s\r\npart", true},
	{"early-reset-closes", "HTTP/1.1 200 OK\r\nConnection: close\r\n%s\r\npart", true},
	{"early-reset-http-1.0", "HTTP/1.0 200 OK\r\n%s\r\npart", true},
	{"status-000", "HTTP/1.1 000 None\r\n%sContent-Length: 4\r\n\r\npart", false},
	{"status-000-interim", "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\npart", false},
	{"blank-in-name", "HTTP/1.1 200 OK\r\nX-A B: 1\r\n%sContent-Length: 4\r\n\r\npart", false},
	{"blank-behind-name", "HTTP/1.1 200 OK\r\n%sContent-Length : 4\r\n\r\npart", false},
	{"blank-before-name", "HTTP/1.1 200 OK\r\n%sX-A: 1\r\n Content-Length: 4\r\n\r\npart", false},
	{"control-byte-in-name", "HTTP/1.1 200 OK\r\nX-A\x01: 1\r\n%sContent-Length: 4\r\n\r\npart", false},
	{"blank-in-name-interim", "HTTP/1.1 103 Early Hints\r\nX-A B: 1\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\npart", false},
	{"blank-in-name-trailer", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX-A B: 1\r\n\r\n", false},
	{"control-byte-in-reason", "HTTP/1.1 200 O\x01K\r\n%sContent-Length: 4\r\n\r\npart", false},
}

// brokenTarget is a stand-in target that responds to a path that ends with that of a
// brokenResponse with its text, and to any other with a whole response.
type brokenTarget struct {
	address  string
	arrivals [64]atomic.Int64 // arrivals counts the requests by the index of their response.
}

// serveConns runs serve for each connection to a new address, and closes the connection
// after it, until the test ends. It returns the address.
func serveConns(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// startBrokenTarget starts a target that serves until the test ends.
func startBrokenTarget(t *testing.T) *brokenTarget {
	t.Helper()
	target := &brokenTarget{}
	target.address = serveConns(t, target.serve)
	return target
}

// serve responds to the requests of one connection.
func (b *brokenTarget) serve(conn *net.TCPConn) {
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		identity := "X-Request-Id: " + req.Header.Get("X-Request-Id") + "\r\nX-Response-Signature: signed\r\n"
		i, broken := b.find(req.URL.Path)
		if !broken {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", identity, len(wholeText), wholeText)
			continue
		}
		b.arrivals[i].Add(1)
		b.respond(conn, req.Body, i, identity)
		return
	}
}

// startTextHost starts a stand-in control host that responds to each request with the text,
// and returns its address.
func startTextHost(t *testing.T, text string) string {
	t.Helper()
	return serveConns(t, func(conn *net.TCPConn) {
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, text)
		}
	})
}

// find returns the index of the response that a path asks for, false for a whole one.
func (b *brokenTarget) find(path string) (int, bool) {
	for i, broken := range brokenResponses {
		if strings.HasSuffix(path, "/"+broken.path) {
			return i, true
		}
	}
	return 0, false
}

// respond sends a broken response.
func (b *brokenTarget) respond(conn *net.TCPConn, body io.Reader, i int, identity string) {
	broken := brokenResponses[i]
	text := strings.Replace(broken.text, "%s", identity, 1)
	if !broken.early {
		_, _ = io.Copy(io.Discard, body)
		_, _ = io.WriteString(conn, text)
		return
	}
	_, _ = io.CopyN(io.Discard, body, earlyReadBytes)
	_, _ = io.WriteString(conn, text)
	time.Sleep(20 * time.Millisecond) // The bytes arrive before the reset.
	_ = conn.SetLinger(0)
}

// checkBroken sends requests for each broken response to a URL, which gets the path of the
// response, and fails the test if one gets a whole response or none reaches the target.
func (b *brokenTarget) checkBroken(t *testing.T, url, host string) {
	t.Helper()
	headers := map[string]string{"X-Request-Id": "id-1", "X-Deadline-Ms": "4000"}
	if host != "" {
		headers["Host"] = host
	}
	for i, broken := range brokenResponses {
		before := b.arrivals[i].Load()
		rounds, body := 1, "small"
		if broken.early {
			rounds, body = uploadRounds, strings.Repeat("x", longUploadBytes)
		}
		whole := 0
		for range rounds {
			if status, _ := sendHTTP("POST", url+broken.path, headers, body); status > 0 && status < 500 {
				whole++
			}
		}
		arrived := b.arrivals[i].Load() - before
		t.Logf("%s%s: %d of %d got a whole response, %d arrived", url, broken.path, whole, rounds, arrived)
		if whole > 0 || arrived == 0 {
			t.Errorf("%s: %d of %d got a whole response, %d arrived", broken.path, whole, rounds, arrived)
		}
		err := WaitUntil(t.Context(), readyTimeout, "whole response after "+broken.path, func() bool {
			status, resp := sendHTTP("POST", url+wholePath, headers, body)
			return status == 200 && string(resp.Body()) == wholeText
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// keepAnnounced runs announce at once and repeatedly until the test ends.
func keepAnnounced(t *testing.T, announce func(sequence int)) {
	ctx, cancel := context.WithCancel(t.Context())
	var tasks conc.WaitGroup
	tasks.Go(func() {
		for sequence := 1; ctx.Err() == nil; sequence++ {
			announce(sequence)
			time.Sleep(200 * time.Millisecond)
		}
	})
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
}

// TestBrokenResponsesOnThePlatform guards against broken responses of a target that callers
// get as whole ones, from the node beside the target and through another one, with the
// settings and calls of the platform.
func TestBrokenResponsesOnThePlatform(t *testing.T) {
	is := is.New(t)
	m, _ := startControlHosts(t, 5)
	m.start(leaveNode, "node.yaml", true)
	m.start(otherNode, "node.yaml", true)
	document := strings.Replace(platformDocument(3, 4000), `"maxBodyBytes":1048576`, `"maxBodyBytes":`+strconv.Itoa(2*longUploadBytes), 1)
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "document accepted", func() bool { return m.putDocument(0, "r0", document) == 200 }))
	target := startBrokenTarget(t)
	keepAnnounced(t, func(sequence int) { m.sendHeartbeat(leaveNode, sequence, "ready", target.address) })
	for _, node := range []int{leaveNode, otherNode} {
		m.awaitReady(node)
		url := "http://" + m.address(node, outboundPort) + "/a/"
		is.NoErr(WaitUntil(t.Context(), readyTimeout, "target served", func() bool {
			status, _ := sendHTTP("POST", url+wholePath, map[string]string{"Host": "h.example", "X-Request-Id": "id-1", "X-Deadline-Ms": "4000"}, "small")
			return status == 200
		}))
		target.checkBroken(t, url, "h.example")
	}
}

const uploadsSection = `services:
  - name: designs
    slots: 10
limits: {bodyBytes: 16777216}
routes:
  - path: /plain
    service: designs
    idempotent: true
  - path: /stream
    service: designs
    idempotent: true
    stream: true
`

// TestBrokenResponsesOverNodes guards against the same on the product's own interface, with
// responses that are read completely before they are passed on, and with streamed ones.
func TestBrokenResponsesOverNodes(t *testing.T) {
	is := is.New(t)
	m := &Mesh{Folder: t.TempDir(), ProgramFolder: programFolder, ControlHostCount: 3, NodeCount: 2}
	t.Cleanup(func() {
		m.KillAll()
		if t.Failed() {
			for _, p := range m.processes() {
				t.Logf("--- %s\n%s", p.Name, p.Log())
			}
		}
	})
	is.NoErr(m.Start(t.Context()))
	is.NoErr(m.EditSection("designs", uploadsSection))
	target := startBrokenTarget(t)
	announcement := fmt.Sprintf(`{"target":"t1","service":"designs","version":"v1","address":"%s","slots":10,"startedAt":1}`, target.address)
	keepAnnounced(t, func(int) { sendHTTP("POST", "http://"+m.Nodes[0].AnnounceAddress+"/v1/announce", nil, announcement) })
	for _, node := range m.Nodes {
		for _, route := range []string{"/plain/", "/stream/"} {
			url := "http://" + node.EntryAddress + route
			is.NoErr(WaitUntil(t.Context(), readyTimeout, "target served", func() bool {
				status, _ := sendHTTP("POST", url+wholePath, nil, "small")
				return status == 200
			}))
			target.checkBroken(t, url, "")
		}
	}
}

// TestBrokenResponsesOfControlHosts guards against an edit that hornbeamctl reports as done
// because it takes a broken response of a control host for a whole one.
func TestBrokenResponsesOfControlHosts(t *testing.T) {
	const (
		body            = `{"outcome":"accepted","revision":1}`
		exitUnreachable = 5
	)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	rows := []struct {
		name, head string
		exitCode   int
	}{
		{"whole", "HTTP/1.1 200 OK\r\n" + length, 0},
		{"status 000", "HTTP/1.1 000 None\r\n" + length, exitUnreachable},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX A: 1\r\n" + length, exitUnreachable},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01A: 1\r\n" + length, exitUnreachable},
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n", exitUnreachable},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			host := &ControlHost{OperatorAddress: startTextHost(t, row.head+"\r\n"+body)}
			m := &Mesh{ProgramFolder: programFolder, ControlHosts: []*ControlHost{host}}
			out, code, err := m.RunClientWithInput([]byte(designsSection), "section", "edit", "designs", "--file", "-", "--base", "0")
			t.Logf("exit code %d: %s", code, out)
			is.NoErr(err)
			is.Equal(code, row.exitCode)
		})
	}
}
