package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	hotShare    = 0.9                     // hotShare is the part of the clients that request one path.
	longWork    = 200 * time.Millisecond  // longWork is how long a request takes at a server.
	crashTime   = 4500 * time.Millisecond // crashTime is how long a crashed server is down.
	recoverTime = 15 * time.Second        // recoverTime is recoveryS of the deployment.
	span        = 4 * time.Second         // span is the time over which answers are counted.
	moreServers = 6                       // moreServers is the number of servers of the service.
)

// playCrash lets one server of six crash once while most clients request the same path. Later
// all control hosts are killed. It checks that requests are served recoveryS after that.
func playCrash(m *mesh, r *record, trouble bool) (int, error) {
	c := &clients{status: map[int]int{}, hotShare: hotShare}
	_, controls, pairs, err := startAll(m, r, c)
	if err != nil {
		return exitFailed, err
	}
	more, err := addPairs(m, r, c, len(pairs), moreServers, "v1", fault{path: "/"})
	if err != nil {
		return exitFailed, err
	}
	pairs = append(pairs, more...)
	for _, p := range pairs {
		p.server.work = longWork
	}
	time.Sleep(6 * time.Second)
	r.line("clients: %s", c.measure(span))
	if trouble {
		if err := crash(r, pairs[0]); err != nil {
			return exitFailed, err
		}
	}
	time.Sleep(2 * time.Second)
	r.line("clients: %s", c.measure(span))
	if trouble {
		if err := restartControls(m, r, controls); err != nil {
			return exitFailed, err
		}
	}
	time.Sleep(recoverTime)
	last := c.measure(span)
	r.line("clients: %s", last)
	if 4*last.served < last.all {
		r.line("broken: RECOVER. Less than a quarter is served %s after the final fault", recoverTime)
		return exitBroken, nil
	}
	r.line("held")
	return exitHeld, nil
}

// crash ends a server with its requests in flight, and starts it again after crashTime.
func crash(r *record, p *pair) error {
	old := p.server
	old.end()
	r.line("platform: server %s has crashed", old.id)
	time.Sleep(crashTime)
	p.server = &server{
		id: old.id + "b", service: old.service, version: old.version, zone: old.zone, badPath: "/", work: longWork,
		address: old.address, control: old.control,
	}
	r.line("platform: it is back as %s", p.server.id)
	return p.server.start()
}

// restartControls kills all control hosts and starts them again half a second later.
func restartControls(m *mesh, r *record, controls []*process) error {
	for _, p := range controls {
		p.kill()
	}
	time.Sleep(500 * time.Millisecond)
	for i := range controls {
		if _, err := m.startControl(i, false); err != nil {
			return err
		}
	}
	r.line("platform: all control hosts were killed and are back")
	return nil
}

// answered holds how many requests were answered, and how many of them with success.
type answered struct {
	served, all int
	status      map[int]int
}

// String describes the numbers for the record.
func (a answered) String() string {
	return fmt.Sprintf("%d of %d requests were served in %s: %v", a.served, a.all, span, a.status)
}

// measure counts the answers that arrive within d.
func (c *clients) measure(d time.Duration) answered {
	from := c.counts()
	time.Sleep(d)
	a := answered{status: map[int]int{}}
	for status, n := range c.counts() {
		if n -= from[status]; n > 0 {
			a.status[status] = n
			a.all += n
		}
	}
	a.served = a.status[http.StatusOK]
	return a
}
