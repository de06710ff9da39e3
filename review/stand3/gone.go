package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["pipeline-left"] = pipelineLeft }

// runSpan is the time during which a server worked on a request.
type runSpan struct{ begun, ended time.Time }

// pipelineLeft lets clients send safe requests before the first is answered and leave half
// an objective later. Servers must not be at work on them half a second after that.
func pipelineLeft(r *recorder, trouble bool) (bool, error) {
	const (
		clients  = 6
		depth    = 24 // depth is the number of requests that a client sends before the first is answered.
		work     = 1200 * time.Millisecond
		stay     = 300 * time.Millisecond // stay is half of the objective.
		lateTime = 500 * time.Millisecond
	)
	c, err := newCluster(r)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.startControl(); err != nil {
		return false, err
	}
	machines, err := c.startNodes(4, "orders")
	if err != nil {
		return false, err
	}
	if err := c.putDocument("r0", document(1, rule("r-orders", "safe", "/orders/", `"service":"orders"`, 4000, 2)), 8*time.Second); err != nil {
		return false, err
	}
	servers, err := c.startServers(machines, "v1", 1, 9, work)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	spans := map[string]*runSpan{}
	for _, s := range servers {
		s.onRun = func(id string, at time.Time) {
			mu.Lock()
			spans[id] = &runSpan{begun: at}
			mu.Unlock()
			r.logf("run of %s begins", id)
		}
		s.onEnd = func(id string, at time.Time, cancelled bool) {
			mu.Lock()
			spans[id].ended = at
			mu.Unlock()
			r.logf("run of %s ends, dropped=%t", id, cancelled)
		}
	}
	if err := c.awaitReady(10*time.Second, machines...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	counted, atWork, late := 0, 0, 0
	for n := range clients {
		m := machines[n%len(machines)]
		conn, err := net.DialTimeout("tcp", c.address(m.index, outboundPort), time.Second)
		if err != nil {
			return false, err
		}
		var text strings.Builder
		var ids []string
		for i := range depth {
			id := fmt.Sprintf("p%d-%d", n, i)
			ids = append(ids, id)
			fmt.Fprintf(&text, "GET /orders/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", id, testHost, id)
		}
		if _, err := conn.Write([]byte(text.String())); err != nil {
			return false, err
		}
		r.sayf("client %d sent %d requests at %s", n, depth, m.name)
		if !trouble {
			answered := readAnswers(conn, depth)
			r.sayf("client %d got %d answers", n, answered)
			_ = conn.Close()
			time.Sleep(time.Second)
			continue
		}
		time.Sleep(stay)
		_ = conn.Close()
		left := time.Now()
		r.sayf("client %d left", n)
		time.Sleep(4 * time.Second)
		mu.Lock()
		for _, id := range ids {
			s := spans[id]
			if s == nil {
				continue
			}
			if s.begun.After(left.Add(lateTime)) {
				late++
			}
			if s.begun.Before(left) && s.begun.Add(work).After(left.Add(lateTime)) {
				counted++
				if s.ended.IsZero() || s.ended.After(left.Add(lateTime)) {
					atWork++
				}
			}
		}
		mu.Unlock()
	}
	r.sayf("%d requests would have lasted half a second beyond their client, servers were still at work on %d of them", counted, atWork)
	r.sayf("%d requests reached a server later than half a second after their client had left", late)
	return counted > 0 && 4*atWork > counted || late > 5, nil
}

// readAnswers reads answers until n have arrived or the connection ends.
func readAnswers(conn net.Conn, n int) int {
	_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	br := bufio.NewReader(conn)
	for i := range n {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return i
		}
		buf := make([]byte, 4096)
		for {
			if _, err := resp.Body.Read(buf); err != nil {
				break
			}
		}
		_ = resp.Body.Close()
	}
	return n
}
