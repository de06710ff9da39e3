package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in application server beside a node. It announces itself to the node
// on its own machine, runs requests and rejects those that name another server.
type server struct {
	rec     *record
	side    *machine
	id      string
	service string
	version string
	born    int64
	work    time.Duration
	// respond, when set, answers in place of the normal answer and reports whether it did.
	respond func(w http.ResponseWriter, r *http.Request) bool

	listener net.Listener
	http     *http.Server
	sequence atomic.Int64

	mu   sync.Mutex
	runs []run
}

// run is a request that the server began to work on.
type run struct {
	id     string
	method string
	path   string
	at     time.Time
	sent   time.Time
	entry  string
}

// newServer starts a server that listens at a free port of its machine.
func newServer(rec *record, side *machine, id, version string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(machineIP(side.index), "0"))
	if err != nil {
		return nil, err
	}
	s := &server{rec: rec, side: side, id: id, service: side.service, version: version, born: time.Now().UnixMilli(), work: work, listener: l}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// handle runs a request, or rejects one for another server.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if named := r.Header.Get("X-Target-Instance"); named != "" && named != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	entry, sent := parseID(id)
	now := time.Now()
	s.mu.Lock()
	s.runs = append(s.runs, run{id, r.Method, r.URL.RequestURI(), now, sent, entry})
	s.mu.Unlock()
	b, berr := io.ReadAll(r.Body)
	s.rec.line(s.id, "runs %s %s %s body %d %.20q %v", id, r.Method, r.URL.RequestURI(), len(b), string(b), berr)
	if s.respond != nil && s.respond(w, r) {
		return
	}
	time.Sleep(s.work)
	w.Header().Set("X-Response-Signature", "signed."+s.id+"."+id)
	body := "answer of " + s.id + " to " + id
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write([]byte(body))
}

// allRuns returns the requests that the server ran.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

// heartbeatBody returns the body of a heartbeat with the next number.
func (s *server) heartbeatBody(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":%q,"slots":6,"state":%q,"coldLeftMs":0,"sequence":%d,"born":%d}`,
		s.service, s.listener.Addr().String(), s.version, state, s.sequence.Add(1), s.born)
}

// sendHeartbeat sends a heartbeat with a body to the node beside the server.
func (s *server) sendHeartbeat(body string) int {
	status, _ := call("POST", "http://"+s.side.address(controlPort)+"/hornbeamrack/instances/"+s.id+"/heartbeat", nil, body)
	return status
}

// deregister tells the node that the server leaves.
func (s *server) deregister() int {
	body := fmt.Sprintf(`{"born":%d}`, s.born)
	status, _ := call("POST", "http://"+s.side.address(controlPort)+"/hornbeamrack/instances/"+s.id+"/deregister", nil, body)
	return status
}

// announce sends heartbeats until ctx ends.
func (s *server) announce(ctx context.Context) {
	for ctx.Err() == nil {
		body := s.heartbeatBody("ready")
		status := s.sendHeartbeat(body)
		s.rec.line(s.id, "heartbeat %s: status %d", body, status)
		sleep(ctx, heartbeatTime)
	}
}

// stop ends the server.
func (s *server) stop() { _ = s.http.Close() }
