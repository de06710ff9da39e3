package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for the application server of one machine. It follows the
// protocol's page: it rejects what names another server, echoes the id, signs what it ran,
// queues a few requests and sends heartbeats.
type server struct {
	c       *cluster
	m       *machine
	id      string
	service string
	version string
	slots   int
	work    time.Duration
	// grey is the part of the requests, in percent, that the server fails while its health
	// check is good.
	grey atomic.Int64

	born     int64
	sequence atomic.Int64
	state    atomic.Value
	running  chan struct{}
	http     *http.Server
	stop     context.CancelFunc
	runs     atomic.Int64
	active   sync.Map                               // active holds the start time of each request that the server works on, by its id.
	respond  func(w http.ResponseWriter, id string) // respond, when set, writes the answer to a request that was run.
	onRun    func(id string, at time.Time)
	onEnd    func(id string, at time.Time, cancelled bool)
}

// startServer starts a server beside the node of m.
func startServer(c *cluster, m *machine, id, service, version string, slots int, work time.Duration) (*server, error) {
	s := &server{c: c, m: m, id: id, service: service, version: version, slots: slots, work: work, born: time.Now().UnixMilli()}
	s.state.Store("ready")
	s.running = make(chan struct{}, slots)
	l, err := net.Listen("tcp", c.address(m.index, appPort))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	go s.beat(ctx)
	c.record.logf("server %s of %s %s started on %s", id, service, version, m.name)
	return s, nil
}

// end stops the server at once: it closes its listener and all connections.
func (s *server) end() {
	s.stop()
	_ = s.http.Close()
	s.c.record.logf("server %s stopped", s.id)
}

// serve runs one request.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthz" {
		h.Set("X-Instance-Id", s.id)
		return
	}
	h.Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case s.running <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.running }()
	begun := time.Now()
	n := s.runs.Add(1)
	if s.onRun != nil {
		s.onRun(id, begun)
	}
	cancelled := false
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		cancelled = true // The server drops a request when its connection closes.
	}
	if s.onEnd != nil {
		s.onEnd(id, time.Now(), cancelled)
	}
	if cancelled {
		return
	}
	h.Set("X-Response-Signature", "sig."+s.id+"."+id)
	if n*s.grey.Load()%100 < s.grey.Load() && s.grey.Load() > 0 {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
		return
	}
	if s.respond != nil {
		s.respond(w, id)
		return
	}
	_, _ = io.WriteString(w, "answer of "+s.id+" to "+id)
}

// beat sends a heartbeat to the node of the machine every 1.5 s.
func (s *server) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"coldLeftMs":0,"sequence":%d,"born":%d}`,
			s.service, s.c.address(s.m.index, appPort), s.m.zone, s.version, s.slots, s.state.Load(), s.sequence.Add(1), s.born)
		resp, err := client.Post("http://"+s.c.address(s.m.index, controlPort)+"/hornbeamrack/instances/"+s.id+"/heartbeat", "application/json", strings.NewReader(body))
		pause := 1500 * time.Millisecond
		if err != nil {
			pause = 300 * time.Millisecond
		} else {
			_ = resp.Body.Close()
			if resp.StatusCode != 200 {
				pause = 300 * time.Millisecond
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}
