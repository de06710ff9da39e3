package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["rollout-never-ends"] = rolloutNeverEnds }

// rolloutNeverEnds orders a rollout whose new server is lost for good before it has announced
// itself. Long after the deadline the operator orders a rollout to another version, whose
// servers are sound. That order must be acknowledged within ackMs, as the core is calm.
func rolloutNeverEnds(r *recorder, trouble bool) (bool, error) {
	const (
		work          = 40 * time.Millisecond
		duration      = 12 * time.Second
		ackTime       = 4 * time.Second
		orders        = 3 // orders is how often the operator orders the second rollout.
		betweenOrders = 9 * time.Second
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
	second, err := c.startNodes(1, "orders")
	if err != nil {
		return false, err
	}
	third, err := c.startNodes(3, "orders")
	if err != nil {
		return false, err
	}
	if err := c.putDocument("r0", document(1, rule("r-orders", "safe", "/orders/", `"service":"orders"`, 2000, 2)), 8*time.Second); err != nil {
		return false, err
	}
	if _, err := c.startServers(oldMachines, "v1", 1, 9, work); err != nil {
		return false, err
	}
	if err := c.awaitReady(10*time.Second, append(append(append([]*machine{}, oldMachines...), second...), third...)...); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := newTraffic(c, testHost)
	go t.watch(ctx, func() []*machine { return oldMachines })
	go t.send(ctx, "/orders/", 60, 2*time.Second)
	time.Sleep(2 * time.Second)

	if trouble {
		r.sayf("the server of v2 crashes for good before its first heartbeat")
	} else if _, err := c.startServers(second, "v2", 1, 9, work); err != nil {
		return false, err
	}
	status, text := c.order("POST", "/hornbeamrack/rollouts/start", nil, `{"service":"orders","targetVersion":"v2","durationS":12}`, ackTime)
	r.sayf("rollout of orders to v2 within %s ordered: %d %s", duration, status, text)
	if status != 200 {
		return false, fmt.Errorf("the rollout was not accepted")
	}
	time.Sleep(duration + 4*time.Second)
	_, text = c.order("GET", "/hornbeamrack/rollouts/orders/get", nil, "", 2*time.Second)
	r.sayf("state 4 s after the deadline: %s", text)
	if _, err := c.startServers(third, "v3", 1, 9, work); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// An order may be sent again for ackTime at most; the operator gives a new one later.
	for i := range orders {
		if i > 0 {
			time.Sleep(betweenOrders)
		}
		sentAt := time.Now()
		status, text = c.order("POST", "/hornbeamrack/rollouts/start", nil, `{"service":"orders","targetVersion":"v3","durationS":12}`, ackTime)
		r.sayf("rollout of orders to v3 ordered: %d %s, after %d ms", status, text, time.Since(sentAt).Milliseconds())
		if status == 200 {
			break
		}
	}
	return status != 200, nil
}
