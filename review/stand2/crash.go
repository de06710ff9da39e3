package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	hotShare    = 0.9                     // hotShare is the part of the clients that request one path.
	longWork    = 200 * time.Millisecond  // longWork is how long a request takes at a server.
	crashLead   = time.Second             // crashLead is the time from the crash to the final fault.
	crashTime   = 4500 * time.Millisecond // crashTime is how long a crashed server is down.
	recoverTime = 15 * time.Second        // recoverTime is recoveryS of the deployment.
	span        = 4 * time.Second         // span is the time over which answers are counted.
	moreServers = 6                       // moreServers is the number of servers of the service.
)

// playCrash lets one server of six crash once while most clients request the same path, a
// second before the final fault. It checks that requests are served recoveryS after that,
// as a quarter or more was before it.
func playCrash(m *mesh, r *record, trouble bool) (int, error) {
	c := &clients{status: map[int]int{}, hotShare: hotShare}
	o, controls, pairs, err := startAll(m, r, c)
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
	from := c.counts()
	time.Sleep(span - crashLead)
	old, crashed := pairs[0].server, time.Now()
	if trouble {
		old.end()
		r.line("platform: server %s has crashed", old.id)
	}
	time.Sleep(crashLead)
	whole, before := c.since(nil), c.since(from)
	r.line("clients: before the final fault, from the first request on: %s", whole)
	r.line("clients: before the final fault, in the last %s: %s", span, before)
	if trouble {
		if err := finalFault(m, r, o, controls, pairs); err != nil {
			return exitFailed, err
		}
		time.Sleep(time.Until(crashed.Add(crashTime)))
		pairs[0].server = again(old)
		if err := pairs[0].server.start(); err != nil {
			return exitFailed, err
		}
		r.line("platform: the server is back as %s", pairs[0].server.id)
	}
	time.Sleep(recoverTime)
	from = c.counts()
	time.Sleep(span)
	after := c.since(from)
	r.line("clients: %s later, in %s: %s", recoverTime, span, after)
	if whole.quarter() && before.quarter() && !after.quarter() {
		r.line("broken: RECOVER. Less than a quarter is served %s after the final fault, a quarter or more was before", recoverTime)
		return exitBroken, nil
	}
	r.line("held")
	return exitHeld, nil
}

// again returns the next incarnation of a server that has ended.
func again(s *server) *server {
	return &server{
		id: s.id + "b", service: s.service, version: s.version, zone: s.zone, badPath: s.badPath, work: s.work,
		address: s.address, control: s.control,
	}
}

// answered holds how many requests were answered, and how many of them with success.
type answered struct {
	served, all int
	status      map[int]int
}

// String describes the numbers for the record.
func (a answered) String() string {
	return fmt.Sprintf("%d of %d requests were served: %v", a.served, a.all, a.status)
}

// quarter reports whether a quarter of the requests or more was served.
func (a answered) quarter() bool { return 4*a.served >= a.all }

// since returns what was answered since the counts were from, nil for the beginning.
func (c *clients) since(from map[int]int) answered {
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
