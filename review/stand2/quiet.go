package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// The bounds of the deployment.
	canaryShare = 0.1
	canarySlack = 50
	touchTime   = 3500 * time.Millisecond // touchTime is a little more than contactMs.
	// badShare is the part of the requests of the quiet route that the bad version fails.
	badShare = 0.1
)

// playQuietRoute orders a roll-out to a version that fails a part of the requests of one
// route, if there is trouble. It checks the share of the requests that the version gets from
// the order to the deadline.
func playQuietRoute(m *mesh, r *record, trouble bool) (int, error) {
	c := &clients{status: map[int]int{}}
	o, _, old, err := startAll(m, r, c)
	if err != nil {
		return exitFailed, err
	}
	f := fault{path: "/previews/"}
	if trouble {
		f.share = badShare
	}
	next, err := addPairs(m, r, c, 3, 5, "v2", f)
	if err != nil {
		return exitFailed, err
	}
	time.Sleep(touchTime) // The new machines are in touch from now on.
	oldBefore, nextBefore, ordered := runs(old), runs(next), time.Now()
	if status := o.order(service, "v2", rolloutSeconds); status != http.StatusOK {
		return exitFailed, fmt.Errorf("order: status %d", status)
	}
	deadline := ordered.Add(rolloutSeconds * time.Second)
	state, _ := o.await(service, time.Until(deadline), "succeeded", "rolled_back")
	if state.State == "succeeded" {
		for _, p := range old {
			p.server.end()
			p.stop()
			go p.node.terminate()
		}
	}
	time.Sleep(time.Until(deadline))
	got := runs(next) - nextBefore
	all := got + runs(old) - oldBefore
	allowed := int64(canaryShare*float64(all)) + canarySlack
	r.line("servers: from the order to its deadline v2 got %d of %d requests, %d of them failed; a bad version may get %d", got, all, failures(next), allowed)
	r.line("clients: answers by status: %v", c.counts())
	if trouble && got > allowed {
		r.line("broken: EXPOSURE. Last state of the roll-out: %s", state.State)
		return exitBroken, nil
	}
	r.line("held. Last state of the roll-out: %s", state.State)
	return exitHeld, nil
}
