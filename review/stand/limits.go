package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	smallHeaderLimit = 16384
	largeHeaderLimit = 32768
	// largeHeader is the size of a header between the two limits.
	largeHeader      = 20000
	clientsOfMachine = 20
)

// playKeptConnections plays a change of the configuration that allows larger headers.
// Later than configApplyTime after its acknowledgement each client sends one request with
// a header that the new limit allows, over the connection that it has kept and used since
// before the change. Without trouble, the first configuration has the new limit already.
//
// The rule DENIED is broken if the nodes end more than 5 and one in 500 of all requests
// with a status 4xx of their own.
func playKeptConnections(rec *record, root string, trouble bool) (bool, error) {
	m, err := newMesh(rec, root, 3, []string{serviceName, serviceName, serviceName})
	if err != nil {
		return false, err
	}
	defer m.stopAll()
	limit := largeHeaderLimit
	if trouble {
		limit = smallHeaderLimit
	}
	if err := m.startAll(document(3, limit, 1000)); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i, side := range m.nodes() {
		s, err := newServer(rec, side, fmt.Sprintf("i-%d", i+1), version, 10*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer s.stop()
		go s.announce(ctx)
		go side.watchReadiness(ctx)
	}
	time.Sleep(2 * time.Second)
	var got answers
	var clients sync.WaitGroup
	large := make(chan struct{}) // large is closed when the larger headers may be sent.
	header := map[string]string{"X-Baggage": strings.Repeat("b", largeHeader)}
	for _, side := range m.nodes() {
		for range clientsOfMachine {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c := newClient(rec, side, hostName)
				sent := false
				for ctx.Err() == nil {
					extra := map[string]string(nil)
					select {
					case <-large:
						if !sent {
							sent, extra = true, header
						}
					default:
					}
					a := c.send("GET", safePrefix+"x", extra, "", time.Second)
					got.add(a)
					if extra != nil {
						rec.line("client", "%s had a header of %d bytes: status %d", a.id, largeHeader, a.status)
					}
					sleep(ctx, 200*time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(3 * time.Second)
	if trouble && !m.put(3, document(5, largeHeaderLimit, 1000), ackTime) {
		return false, fmt.Errorf("the change was not acknowledged")
	}
	time.Sleep(2 * configApplyTime)
	close(large)
	time.Sleep(3 * time.Second)
	// The same header on new connections shows that the limit is in force on the nodes.
	for _, side := range m.nodes() {
		a := newClient(rec, side, hostName).send("GET", safePrefix+"x", header, "", time.Second)
		rec.line("check", "%s on a new connection: status %d", side.name, a.status)
		got.add(a)
	}
	cancel()
	clients.Wait()
	denied := got.count(func(a answer) bool {
		return a.status >= 300 && a.status < 500 && !a.signed && a.status != 408 && a.status != 421 && a.status != 429
	})
	bound := 5 + float64(len(got.all()))/500
	rec.line("check", "%d of %d requests were ended with a 3xx or 4xx of a node; the bound is %.1f", denied, len(got.all()), bound)
	return float64(denied) > bound, nil
}
