package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// operator sends orders to the control hosts, one after the other until one answers.
type operator struct {
	addresses []string
	record    *record
	next      int
}

// call sends an order until a control host answers with another status than 5xx, for up to
// limit. It returns the status, 0 if there was none, and the body.
func (o *operator) call(method, path, base string, body []byte, limit time.Duration) (int, []byte) {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		address := o.addresses[o.next%len(o.addresses)]
		req, _ := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		if base != "" {
			req.Header.Set("X-Base-Version", base)
		}
		resp, err := client.Do(req)
		if err != nil {
			o.next++
			continue
		}
		answer, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode < 500 {
			return resp.StatusCode, answer
		}
		o.next++
	}
	return 0, nil
}

// put sends the configuration as a version on top of base.
func (o *operator) put(version, base string, limit time.Duration) error {
	body := fmt.Appendf(nil, document, version)
	status, answer := o.call(http.MethodPost, "/hornbeamrack/config/put", base, body, limit)
	o.record.line("operator: config/put %s -> %d", version, status)
	if status != http.StatusOK {
		return fmt.Errorf("configuration %s: status %d: %s", version, status, answer)
	}
	return nil
}

// rollout is the state of a roll-out.
type rollout struct {
	State string `json:"state"`
	To    string `json:"targetVersion"`
}

// state returns the state of the last roll-out of a service.
func (o *operator) state(service string) (rollout, bool) {
	status, body := o.call(http.MethodGet, "/hornbeamrack/rollouts/"+service+"/get", "", nil, 3*time.Second)
	var r rollout
	return r, status == http.StatusOK && json.Unmarshal(body, &r) == nil
}

// order starts a roll-out and returns the status of the answer.
func (o *operator) order(service, version string, seconds int) int {
	body := fmt.Sprintf(`{"service":%q,"targetVersion":%q,"durationS":%d}`, service, version, seconds)
	status, _ := o.call(http.MethodPost, "/hornbeamrack/rollouts/start", "", []byte(body), 4*time.Second)
	o.record.line("operator: rollouts/start %s -> %d", body, status)
	return status
}

// await polls the state until it is one of wanted, and reports whether it was within limit.
func (o *operator) await(service string, limit time.Duration, wanted ...string) (rollout, bool) {
	last := rollout{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		r, ok := o.state(service)
		if !ok {
			continue
		}
		if r != last {
			o.record.line("operator: rollouts/%s/get -> state %s, targetVersion %s", service, r.State, r.To)
			last = r
		}
		for _, w := range wanted {
			if r.State == w {
				return r, true
			}
		}
	}
	return last, false
}

// clients send safe requests to the nodes that are ready.
type clients struct {
	hotShare float64 // hotShare is the part of the requests that go to one and the same path.

	mu     sync.Mutex
	status map[int]int
}

// run sends perSecond requests a second to a node until ctx ends.
func (c *clients) run(ctx context.Context, outbound, ready string, perSecond int) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	checked, isReady := time.Time{}, false
	for ctx.Err() == nil {
		time.Sleep(time.Second / time.Duration(perSecond))
		if time.Since(checked) > time.Second {
			checked = time.Now()
			resp, err := client.Get("http://" + ready + "/hornbeamrack/readyz")
			isReady = err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
		}
		if isReady {
			go c.send(client, outbound)
		}
	}
}

// quietShare is the part of the requests that go to the quiet route.
const quietShare = 0.12

// hotPath is the path that most clients request if there is a hotShare.
const hotPath = "/designs/all"

// path returns the path of the next request.
func (c *clients) path() string {
	if rand.Float64() < c.hotShare {
		return hotPath
	}
	prefix := "/designs/"
	if rand.Float64() < quietShare {
		prefix = "/previews/"
	}
	return fmt.Sprintf("%s%d", prefix, rand.IntN(1e6))
}

// send sends one request and counts the status of its answer, 0 for none.
func (c *clients) send(client *http.Client, outbound string) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+outbound+c.path(), nil)
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", fmt.Sprintf("%016x", rand.Uint64()))
	req.Header.Set("X-Deadline-Ms", "4000")
	status := 0
	if resp, err := client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status[status]++
}

// counts returns a copy of the numbers of answers by status.
func (c *clients) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.status)
}
