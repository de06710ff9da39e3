package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["first-configuration"] = firstConfiguration }

// firstConfiguration starts a deployment and its traffic. The operator sends the first
// configuration before the traffic starts, and again until it is accepted. With trouble, all
// processes of the core are killed at about that moment and are back within a second, so
// that the configuration is accepted after the traffic has started. Until then a node, which
// knows no configuration yet, must answer 503.
func firstConfiguration(r *recorder, trouble bool) (bool, error) {
	const (
		trafficStart = 8 * time.Second // trafficStart is counted from the start of the machines.
		sentAt       = 7 * time.Second
		killedAt     = sentAt - 50*time.Millisecond
		downTime     = 900 * time.Millisecond
		trafficTime  = 8 * time.Second
		allowed      = 10 // allowed is the number of answers 404 from machines out of touch that break nothing.
	)
	begun := time.Now()
	c, err := newCluster(r)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.startControl(); err != nil {
		return false, err
	}
	machines, err := c.startNodes(6, "orders")
	if err != nil {
		return false, err
	}
	if _, err := c.startServers(machines, "v1", 1, 9, 40*time.Millisecond); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := newTraffic(c, testHost)
	go t.watch(ctx, func() []*machine { return machines })

	accepted := make(chan error, 1)
	time.AfterFunc(time.Until(begun.Add(sentAt)), func() {
		r.sayf("the operator sends the first configuration")
		err := c.putFirst(r, document(1, rule("r-orders", "safe", "/orders/", `"service":"orders"`, 2000, 2)), 20*time.Second)
		r.sayf("the first configuration is acknowledged, err=%v", err)
		accepted <- err
	})
	if trouble {
		time.Sleep(time.Until(begun.Add(killedAt)))
		for _, m := range c.machines[:3] {
			c.signal(m, syscall.SIGKILL)
		}
		r.sayf("all processes of the core were killed")
		time.Sleep(downTime)
		for _, m := range c.machines[:3] {
			c.kill(m)
			if err := c.start(m, false); err != nil {
				return false, err
			}
		}
		r.sayf("all processes of the core were started again")
	}
	time.Sleep(time.Until(begun.Add(trafficStart)))
	r.sayf("traffic starts")
	from := time.Now()
	sending, stop := context.WithTimeout(ctx, trafficTime)
	defer stop()
	go t.send(sending, "/orders/", 100, 2*time.Second)
	<-sending.Done()
	time.Sleep(2500 * time.Millisecond)
	if err := <-accepted; err != nil {
		return false, fmt.Errorf("the first configuration was not accepted: %w", err)
	}
	counts := map[int]int{}
	t.mu.Lock()
	for _, a := range t.answers {
		if !a.sentAt.Before(from) {
			counts[a.status]++
		}
	}
	t.mu.Unlock()
	r.sayf("answers by status, 0 is none: %v", counts)
	return counts[404] > allowed, nil
}
