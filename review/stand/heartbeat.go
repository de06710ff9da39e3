package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// heartbeatNodes is the number of nodes of which one is killed: a share of 0.167.
const heartbeatNodes = 6

// playLateHeartbeat plays a server that deregisters and serves on for a while. The node
// beside it acknowledges that. In trouble, the process of the node is killed then and
// starts again. A heartbeat that the server sent before it left arrives seconds late.
//
// The rule DRAIN is broken if a request reaches the server later than drainTime after the
// acknowledgement, over machines that are in touch.
func playLateHeartbeat(rec *record, root string, trouble bool) (bool, error) {
	services := make([]string, heartbeatNodes)
	for i := range services {
		services[i] = serviceName
	}
	m, err := newMesh(rec, root, 3, services)
	if err != nil {
		return false, err
	}
	defer m.stopAll()
	if err := m.startAll(document(3, 16384, 1000)); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var servers []*server
	var announcing []context.CancelFunc
	for i, side := range m.nodes() {
		s, err := newServer(rec, side, fmt.Sprintf("i-%d", i+1), version, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer s.stop()
		servers = append(servers, s)
		beats, end := context.WithCancel(ctx)
		announcing = append(announcing, end)
		go s.announce(beats)
		go side.watchReadiness(ctx)
	}
	var got answers
	var clients sync.WaitGroup
	for _, side := range m.nodes() {
		for range 4 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				c := newClient(rec, side, hostName)
				for ctx.Err() == nil {
					if side.in() {
						got.add(c.send("GET", safePrefix+"x", nil, "", time.Second))
					}
					sleep(ctx, 60*time.Millisecond)
				}
			}()
		}
	}
	leaving, side := servers[0], m.nodes()[0]
	if !until(15*time.Second, func() bool { return len(leaving.allRuns()) > 20 }) {
		return false, fmt.Errorf("no requests reach %s", leaving.id)
	}

	// The last heartbeat is on its way while the server leaves.
	announcing[0]()
	time.Sleep(200 * time.Millisecond)
	late := leaving.heartbeatBody("ready")
	lateSent := time.Now()
	rec.line(leaving.id, "heartbeat sent, delayed on its way: %s", late)
	time.Sleep(300 * time.Millisecond)
	if status := leaving.deregister(); status != 200 {
		return false, fmt.Errorf("the leave was not acknowledged: status %d", status)
	}
	acknowledged := time.Now()
	rec.line(leaving.id, "deregistered; %s has acknowledged it", side.name)
	inTouchAt := acknowledged
	if trouble {
		time.Sleep(200 * time.Millisecond)
		side.kill()
		rec.line("platform", "%s killed", side.name)
		time.Sleep(killRestartTime)
		if err := side.start(false); err != nil {
			return false, err
		}
		if !until(5*time.Second, side.ready) {
			return false, fmt.Errorf("%s is not ready after its restart", side.name)
		}
		rec.line("platform", "%s is ready", side.name)
		inTouchAt = time.Now().Add(contactTime)
	}
	time.Sleep(time.Until(lateSent.Add(3 * time.Second)))
	status := leaving.sendHeartbeat(late)
	rec.line(leaving.id, "the delayed heartbeat arrives, %.1f s late: status %d", time.Since(lateSent).Seconds(), status)
	time.Sleep(time.Until(acknowledged.Add(10 * time.Second)))
	rec.line(leaving.id, "ends")
	leaving.stop()
	cancel()
	clients.Wait()

	bound := acknowledged.Add(drainTime)
	if inTouchAt.After(bound) {
		bound = inTouchAt
	}
	count, any := 0, 0
	for _, r := range leaving.allRuns() {
		if r.at.After(acknowledged.Add(drainTime)) {
			any++
		}
		if r.at.After(bound) && r.entry != side.name {
			count++
			rec.line("check", "%s reached %s %.3f s after the acknowledgement", r.id, leaving.id, r.at.Sub(acknowledged).Seconds())
		}
	}
	rec.line("check", "%d requests reached %s later than %s after the acknowledgement; %d of them over machines in touch (from %s on); served in all: %d of %d",
		any, leaving.id, drainTime, count, rec.at(bound), got.count(func(a answer) bool { return a.status == 200 }), len(got.all()))
	return count > 0, nil
}
