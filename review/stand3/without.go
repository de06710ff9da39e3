package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["rollout-without-servers"] = rolloutWithoutServers }

// rolloutWithoutServers orders a rollout at night, when a service gets no requests. Its new
// server is lost for good before the deadline. When the rollout has succeeded, the old servers
// stop, as the platform does it. In the morning the service must get its share of a split.
func rolloutWithoutServers(r *recorder, trouble bool) (bool, error) {
	const (
		work       = 40 * time.Millisecond
		day        = 4 * time.Second
		crashAfter = 5 * time.Second
		calm       = 4 * time.Second // calm is more than contactMs.
		judged     = 15 * time.Second
		splitRoute = "/split/"
		perSecond  = 40
		patience   = 2 * time.Second
	)
	c, err := newCluster(r)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.startControl(); err != nil {
		return false, err
	}
	oldMachines, err := c.startNodes(6, "orders")
	if err != nil {
		return false, err
	}
	render, err := c.startNodes(2, "render")
	if err != nil {
		return false, err
	}
	newMachines, err := c.startNodes(1, "orders")
	if err != nil {
		return false, err
	}
	machines := append(append(append([]*machine{}, render...), newMachines...), oldMachines...)
	first := document(1, rule("r-orders", "safe", "/orders/", `"service":"orders"`, 2000, 2),
		rule("r-split", "safe", splitRoute, `"split":[{"service":"orders","weight":50},{"service":"render","weight":50}]`, 2000, 2))
	if err := c.putDocument("r0", first, 8*time.Second); err != nil {
		return false, err
	}
	oldServers, err := c.startServers(oldMachines, "v1", 1, 9, work)
	if err != nil {
		return false, err
	}
	renderServers, err := c.startServers(render, "v1", 1, 9, work)
	if err != nil {
		return false, err
	}
	if err := c.awaitReady(10*time.Second, machines...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := newTraffic(c, testHost)
	go t.watch(ctx, func() []*machine { return machines })
	sendFor := func(d time.Duration) {
		sending, stop := context.WithTimeout(ctx, d)
		defer stop()
		go t.send(sending, "/orders/", perSecond, patience)
		go t.send(sending, splitRoute, perSecond, patience)
		<-sending.Done()
	}
	begun := time.Now()
	sendFor(day)
	time.Sleep(time.Second)
	all, ok := t.served("/orders/", begun, time.Now())
	r.sayf("by day %d of %d requests to orders were served; now it is night", ok, all)

	newServers, err := c.startServers(newMachines, "v2", 1, 9, work)
	if err != nil {
		return false, err
	}
	status, text := c.order("POST", "/hornbeamrack/rollouts/start", nil, `{"service":"orders","targetVersion":"v2","durationS":16}`, 4*time.Second)
	r.sayf("rollout of orders to v2 within 16 s ordered: %d %s", status, text)
	if status != 200 {
		return false, fmt.Errorf("the rollout was not accepted")
	}
	if trouble {
		time.AfterFunc(crashAfter, func() {
			newServers[0].end()
			r.sayf("the server of v2 crashed for good")
		})
	}
	if _, done := c.awaitRollout(r, "orders", "succeeded", 25*time.Second); done {
		for _, s := range oldServers {
			s.end()
		}
		r.sayf("the old servers were stopped")
		time.AfterFunc(time.Second, func() {
			for _, m := range oldMachines {
				c.signal(m, syscall.SIGTERM)
			}
			r.sayf("the nodes of the old servers got SIGTERM")
		})
	}
	time.Sleep(8 * time.Second)
	r.sayf("it is day again")
	sendFor(calm)
	from := time.Now()
	runs := func() int64 { return totalRuns(newServers) + totalRuns(oldServers) }
	ordersBefore, renderBefore := runs(), totalRuns(renderServers)
	sendFor(judged)
	time.Sleep(patience)
	all, ok = t.served("/orders/", from, time.Now())
	splitAll, splitOK := t.served(splitRoute, from, time.Now())
	r.sayf("in %s without a disruption %d of %d requests to orders were served, %d of %d of the split", judged, ok, all, splitOK, splitAll)
	if splitAll < 300 {
		return false, fmt.Errorf("too few requests of the split were sent: %d", splitAll)
	}
	// What the servers of orders ran beyond the requests to /orders/ is of the split.
	ofSplit := max(runs()-ordersBefore-int64(ok), 0)
	renderRuns := totalRuns(renderServers) - renderBefore
	share := float64(ofSplit) / float64(max(ofSplit+renderRuns, 1))
	r.sayf("of the split, servers of orders ran %d requests, those of render %d: share %.2f, weight 0.50", ofSplit, renderRuns, share)
	return share < 0.3 || share > 0.7, nil
}
