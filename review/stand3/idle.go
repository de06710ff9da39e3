package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["idle-limit"] = idleLimit }

// keptAnswer is the end of a request on a kept connection.
type keptAnswer struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	status  int // status is 0 if the connection ended without an answer.
	signed  bool
}

// idleLimit lowers the limit on idle connections by a change of the configuration. Clients
// send requests on connections that they keep open, whose work takes a little longer than
// that limit. Then the node that takes them is stopped as planned. It must not break off
// requests at which servers are at work.
func idleLimit(r *recorder, trouble bool) (bool, error) {
	const (
		work     = 1200 * time.Millisecond
		deadline = 4 * time.Second
		timeout  = 4000
		clients  = 6
		grace    = 6 * time.Second
	)
	c, err := newCluster(r)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.startControl(); err != nil {
		return false, err
	}
	machines, err := c.startNodes(3, "orders")
	if err != nil {
		return false, err
	}
	designs := rule("r-designs", "safe", "/designs/", `"service":"orders"`, timeout, 2)
	if err := c.putDocument("r0", document(1, designs), 8*time.Second); err != nil {
		return false, err
	}
	servers, err := c.startServers(machines, "v1", 1, 9, work)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	running := map[string]int{} // running counts the servers that are at work on a request.
	dropped := map[string]bool{}
	for _, s := range servers {
		s.onRun = func(id string, _ time.Time) {
			mu.Lock()
			running[id]++
			mu.Unlock()
			r.logf("run of %s begins at %s", id, s.id)
		}
		s.onEnd = func(id string, _ time.Time, cancelled bool) {
			mu.Lock()
			running[id]--
			dropped[id] = dropped[id] || cancelled
			mu.Unlock()
			r.logf("run of %s ends at %s, dropped=%t", id, s.id, cancelled)
		}
	}
	if err := c.awaitReady(10*time.Second, machines...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	second := document(2, designs)
	if trouble {
		second = strings.Replace(second, `"idleTimeoutMs":15000`, `"idleTimeoutMs":1000`, 1)
	}
	if err := c.putDocument("r1", second, 8*time.Second); err != nil {
		return false, err
	}
	r.sayf("configuration r2 is acknowledged: %s", second[strings.Index(second, `"limits"`):strings.Index(second, `,"listeners"`)])
	time.Sleep(6 * time.Second) // More than configApplyMs + 1 s and contactMs.

	m := machines[0]
	stopped := make(chan struct{}) // stopped is closed when the clients of the machine send nothing new.
	var answers []keptAnswer
	var tasks sync.WaitGroup
	for n := range clients {
		tasks.Go(func() {
			list := keepSending(r, c.address(m.index, outboundPort), fmt.Sprintf("k%d", n), deadline, stopped)
			mu.Lock()
			answers = append(answers, list...)
			mu.Unlock()
		})
	}
	time.Sleep(4 * time.Second)
	termAt := time.Now()
	c.signal(m, syscall.SIGTERM)
	r.sayf("%s gets SIGTERM", m.name)
	for misses := 0; misses < 2; time.Sleep(time.Second) {
		if c.ready(m) {
			misses = 0
			continue
		}
		misses++
	}
	close(stopped)
	tasks.Wait()
	time.Sleep(time.Second)
	before, brokenBefore, after, brokenAfter := 0, 0, 0, 0
	for _, a := range answers {
		broken := a.status != 0 && !a.signed && dropped[a.id] && a.endedAt.Before(a.sentAt.Add(deadline-500*time.Millisecond))
		if a.endedAt.Before(termAt) {
			before++
			if broken {
				brokenBefore++
			}
			continue
		}
		if a.endedAt.After(termAt.Add(grace - grace/6)) {
			continue // In the last sixth of the grace time it may be broken off.
		}
		after++
		if broken {
			brokenAfter++
			r.logf("broken off: %s, answered %d after %d ms", a.id, a.status, a.endedAt.Sub(a.sentAt).Milliseconds())
		}
	}
	r.sayf("before the SIGTERM %d requests ended, %d of them were broken off while their server was at work and answered by the node", before, brokenBefore)
	r.sayf("after it %d ended, %d of them were broken off so", after, brokenAfter)
	if after == 0 {
		return false, fmt.Errorf("no request ended after the SIGTERM")
	}
	return brokenAfter > 0, nil
}

// keepSending sends one request after the other on a kept connection until stopped is closed.
// It opens a new connection when the node has closed the one before.
func keepSending(r *recorder, address, name string, deadline time.Duration, stopped <-chan struct{}) []keptAnswer {
	var out []keptAnswer
	var conn net.Conn
	var br *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stopped:
			if conn != nil {
				_ = conn.Close()
			}
			return out
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", address, time.Second); err != nil {
				r.logf("%s: %v", name, err)
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(conn)
		}
		a := keptAnswer{id: fmt.Sprintf("%s-%d", name, i), sentAt: time.Now()}
		again, err := getKept(conn, br, &a, deadline)
		a.endedAt = time.Now()
		r.logf("sent %s on a kept connection, answered %d after %d ms, signed=%t, err=%v", a.id, a.status, a.endedAt.Sub(a.sentAt).Milliseconds(), a.signed, err)
		out = append(out, a)
		if err != nil || !again {
			_ = conn.Close()
			conn = nil
		}
	}
}

// getKept sends one request and reads its answer into a. again is true if the connection may
// be used again.
func getKept(conn net.Conn, br *bufio.Reader, a *keptAnswer, deadline time.Duration) (again bool, err error) {
	_ = conn.SetDeadline(time.Now().Add(deadline))
	_, err = fmt.Fprintf(conn, "GET /designs/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", a.id, testHost, a.id, deadline.Milliseconds())
	if err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return false, err
	}
	a.status, a.signed = resp.StatusCode, resp.Header.Get("X-Response-Signature") != ""
	return !resp.Close, nil
}
