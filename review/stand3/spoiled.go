package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["spoiled-version"] = spoiledVersion }

// spoiledVersion lets servers send their answers in chunks and, as page and bench say, a
// part of them with Connection: close. With trouble one byte of a few of these answers is
// wrong: HTTP/1.0 stands in place of HTTP/1.1. They come from one server of three, in the
// time spoilFor. A client must not get a success whose body
// isn't the server's.
func spoiledVersion(r *recorder, trouble bool) (bool, error) {
	const (
		total     = 600
		perSecond = 60
		spoilEach = 34 // spoilEach spoils one answer of so many of one server, less than 0.03.
		spoilFrom = 2500 * time.Millisecond
		spoilFor  = 5 * time.Second
		closeEach = 10
		patience  = 2 * time.Second
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
	if err := c.putDocument("r0", document(1, rule("r-designs", "safe", "/designs/", `"service":"orders"`, 2000, 2)), 8*time.Second); err != nil {
		return false, err
	}
	servers, err := c.startServers(machines, "v1", 1, 9, 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	var begin atomic.Int64 // begin is the Unix time in ns at which the first request is sent.
	var spoilable, spoiled atomic.Int64
	for i, s := range servers {
		var count atomic.Int64
		s.respond = func(w http.ResponseWriter, id string) {
			n := count.Add(1)
			parts := partsOf(id)
			since := time.Duration(time.Now().UnixNano() - begin.Load())
			faulty := trouble && i == 0 && since >= spoilFrom && since < spoilFrom+spoilFor
			switch {
			case faulty && spoilable.Add(1)%spoilEach == 0:
				spoiled.Add(1)
				r.logf("answer to %s spoiled by %s", id, s.id)
				writeSpoiled(w, w.Header(), parts)
			default:
				if n%closeEach == 0 {
					w.Header().Set("Connection", "close")
				}
				for _, part := range parts {
					_, _ = io.WriteString(w, part)
					w.(http.Flusher).Flush()
				}
			}
		}
	}
	if err := c.awaitReady(10*time.Second, machines...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	client := &http.Client{Timeout: patience, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 8 * time.Second, DisableCompression: true}}
	var mu sync.Mutex
	var tasks sync.WaitGroup
	ok, failed, wrong := 0, 0, 0
	begin.Store(time.Now().UnixNano())
	for i := range total {
		time.Sleep(time.Second / perSecond)
		m := machines[i%len(machines)]
		tasks.Go(func() {
			id := fmt.Sprintf("s%d", i)
			status, signed, body := get(client, c.address(m.index, outboundPort), id, patience)
			good := status == 200 && signed && body == strings.Join(partsOf(id), "")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case good:
				ok++
			case status >= 200 && status < 300:
				wrong++
				r.sayf("%s got %d, signed=%t, with a body that isn't the server's: %q", id, status, signed, body)
			default:
				failed++
			}
			r.logf("sent %s at %s, answered %d, whole=%t", id, m.name, status, good)
		})
	}
	tasks.Wait()
	r.sayf("%s answered %d requests in the %s in which it spoils answers, and spoiled %d", servers[0].id, spoilable.Load(), spoilFor, spoiled.Load())
	r.sayf("%d requests: %d got the server's whole body, %d failed, %d got a success with another body", total, ok, failed, wrong)
	return wrong > 0, nil
}

// partsOf returns the parts of the body of the answer to a request.
func partsOf(id string) []string {
	return []string{`{"design":"` + id + `",`, `"ring":"gold",`, `"stones":[1,2,3]}`}
}

// writeSpoiled writes an answer in chunks whose status line says HTTP/1.0, and closes the
// connection as the answer says.
func writeSpoiled(w http.ResponseWriter, h http.Header, parts []string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var text strings.Builder
	text.WriteString("HTTP/1.0 200 OK\r\n")
	for name, values := range h {
		fmt.Fprintf(&text, "%s: %s\r\n", name, values[0])
	}
	text.WriteString("Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, part := range parts {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	text.WriteString("0\r\n\r\n")
	_, _ = io.WriteString(conn, text.String())
}

// get sends one request and returns its status, whether it is signed, and its body. The
// status is 0 without a complete answer.
func get(client *http.Client, address, id string, patience time.Duration) (status int, signed bool, body string) {
	req, _ := http.NewRequest("GET", "http://"+address+"/designs/"+id, nil)
	req.Host = testHost
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, false, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, false, ""
	}
	return resp.StatusCode, resp.Header.Get("X-Response-Signature") != "", string(b)
}
