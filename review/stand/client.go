package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lastID numbers the requests of all clients.
var lastID atomic.Int64

// newID returns a request id that names the machine of the client and the time of sending.
func newID(entry string) string {
	return fmt.Sprintf("%s.%d.%d", entry, time.Now().UnixNano(), lastID.Add(1))
}

// parseID returns the machine and the time in an id of newID.
func parseID(id string) (entry string, sent time.Time) {
	parts := strings.Split(id, ".")
	if len(parts) != 3 {
		return "", time.Time{}
	}
	nanos, _ := strconv.ParseInt(parts[1], 10, 64)
	return parts[0], time.Unix(0, nanos)
}

// answer is what a client received. The status is 0 without an answer.
type answer struct {
	id     string
	entry  string
	path   string
	sent   time.Time
	ended  time.Time
	status int
	signed bool
	body   string
}

// client sends requests to the node of its machine, over a connection that it keeps.
type client struct {
	rec  *record
	side *machine
	http *http.Client
	host string
}

// newClient returns a client that keeps one connection.
func newClient(rec *record, side *machine, host string) *client {
	return &client{rec: rec, side: side, host: host, http: &http.Client{Transport: &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}}}
}

// send sends one request and returns the answer.
func (c *client) send(method, path string, header map[string]string, body string, wait time.Duration) answer {
	id := newID(c.side.name)
	a := answer{id: id, entry: c.side.name, path: path, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.side.address(outboundPort)+path, strings.NewReader(body))
	if err != nil {
		return a
	}
	req.Host = c.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req.Header.Set("Accept-Encoding", "identity")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.status, a.body, a.signed = resp.StatusCode, string(b), resp.Header.Get("X-Response-Signature") != ""
		}
	}
	a.ended = time.Now()
	failure := ""
	if err != nil {
		failure = err.Error()
	}
	c.rec.line("client", "%s sent at %s %s %s: status %d signed %v %.160q %s", id, c.rec.at(a.sent), method, path, a.status, a.signed, a.body, failure)
	return a
}

// answers collects the answers of many clients.
type answers struct {
	mu   sync.Mutex
	list []answer
}

func (a *answers) add(x answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *answers) all() []answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]answer(nil), a.list...)
}

// count returns how many answers fulfil the condition.
func (a *answers) count(condition func(answer) bool) int {
	n := 0
	for _, x := range a.all() {
		if condition(x) {
			n++
		}
	}
	return n
}
