package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// answer is the end of one client attempt.
type answer struct {
	route  string
	sentAt time.Time
	status int // status is 0 without an answer.
}

// traffic sends requests to the nodes of machines whose node is ready.
type traffic struct {
	c       *cluster
	host    string
	mu      sync.Mutex
	in      []*machine // in are the machines whose clients send.
	answers []answer
	lastID  atomic.Int64
	tasks   sync.WaitGroup
	client  *http.Client
}

// newTraffic returns the clients of a host name.
func newTraffic(c *cluster, host string) *traffic {
	return &traffic{c: c, host: host, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second}}}
}

// watch asks the nodes of machines every second whether they are ready. Two misses in a row
// take a machine out, one answer takes it in.
func (t *traffic) watch(ctx context.Context, list func() []*machine) {
	misses := map[*machine]int{}
	for ctx.Err() == nil {
		var in []*machine
		for _, m := range list() {
			if t.c.ready(m) {
				misses[m] = 0
			} else {
				misses[m]++
			}
			if misses[m] < 2 {
				in = append(in, m)
			}
		}
		t.mu.Lock()
		t.in = in
		t.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// send sends requests of a route at a rate until ctx ends.
func (t *traffic) send(ctx context.Context, route string, perSecond float64, deadline time.Duration) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t.mu.Lock()
		in := t.in
		t.mu.Unlock()
		if len(in) == 0 {
			continue
		}
		m := in[i%len(in)]
		t.tasks.Go(func() { t.request(m, route, deadline) })
	}
}

// request sends one client attempt.
func (t *traffic) request(m *machine, route string, deadline time.Duration) {
	id := fmt.Sprintf("q%x", t.lastID.Add(1))
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+t.c.address(m.index, outboundPort)+route+id, nil)
	req.Host = t.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	status := 0
	resp, err := t.client.Do(req)
	if err == nil {
		status = resp.StatusCode
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			status = 0
		}
		_ = resp.Body.Close()
	}
	t.c.record.logf("sent %s %s%s at %s, answered %d after %d ms", id, t.host, route, m.name, status, time.Since(sentAt).Milliseconds())
	t.mu.Lock()
	t.answers = append(t.answers, answer{route, sentAt, status})
	t.mu.Unlock()
}

// served returns the number of answers to requests of a route that were sent in a span, and
// how many of them are successes.
func (t *traffic) served(route string, from, to time.Time) (all, ok int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.answers {
		if a.route != route || a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		all++
		if a.status == 200 {
			ok++
		}
	}
	return all, ok
}
