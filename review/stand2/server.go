package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The times of the platform's pages.
const (
	heartbeatInterval = 1500 * time.Millisecond
	callTimeout       = time.Second
	drainTime         = 2 * time.Second
	workTime          = 20 * time.Millisecond
)

// server is a stand-in for an application server beside a node.
type server struct {
	id, service, version, address, control, zone string
	// badShare is the part of the requests below badPath that fail; badPath "/" means all.
	badShare       float64
	badPath        string
	work           time.Duration // work is how long a request takes, workTime when zero.
	born           int64
	sequence       atomic.Int64
	runs, failures atomic.Int64
	draining       atomic.Bool
	http           *http.Server
	stopBeats      context.CancelFunc
}

// start listens and begins to send heartbeats.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = s.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeats = cancel
	go func() {
		for ctx.Err() == nil {
			s.beat()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return nil
}

// handle serves one request as PROTOCOL.md says.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	named := r.Header.Get("X-Target-Instance")
	switch {
	case r.URL.Path == "/healthz":
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case named != "" && named != s.id:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.runs.Add(1)
	time.Sleep(cmp.Or(s.work, workTime))
	w.Header().Set("X-Response-Signature", "stand-in."+id)
	if strings.HasPrefix(r.URL.Path, s.badPath) && rand.Float64() < s.badShare {
		s.failures.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s\n", s.service, s.version, id)
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (s *server) beat() bool {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": 9,
		"state": state, "coldLeftMs": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	return s.post("heartbeat", body)
}

// post sends a call to the node beside the server and reports whether it was acknowledged.
func (s *server) post(call string, body []byte) bool {
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Post("http://"+s.control+"/hornbeamrack/instances/"+s.id+"/"+call, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode/100 == 2
}

// leave drains the server: it says so until that is acknowledged, serves on for a while,
// deregisters and ends.
func (s *server) leave() {
	s.draining.Store(true)
	for range 8 {
		if s.beat() {
			break
		}
		time.Sleep(callTimeout / 2)
	}
	time.Sleep(drainTime + time.Second)
	body, _ := json.Marshal(map[string]any{"born": s.born})
	s.stopBeats()
	s.post("deregister", body)
	_ = s.http.Close()
}

// end ends the server at once.
func (s *server) end() {
	s.stopBeats()
	_ = s.http.Close()
}
