package main

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["rollout-ordered-again"] = rolloutOrderedAgain }

// rolloutOrderedAgain orders a rollout to a bad version, which is rolled back. The team mends
// the version's environment, starts its servers anew and orders the same rollout again, which
// is acknowledged. Right after that comes the final fault: all processes are killed. The
// second order must not be gone afterwards.
func rolloutOrderedAgain(r *recorder, trouble bool) (bool, error) {
	const (
		badShare  = 50 // badShare is in percent, that of rollout_bad.
		work      = 40 * time.Millisecond
		recovery  = 15 * time.Second
		orderBody = `{"service":"orders","targetVersion":"v2","durationS":12}`
	)
	c, err := newCluster(r)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.startControl(); err != nil {
		return false, err
	}
	oldMachines, err := c.startNodes(3, "orders")
	if err != nil {
		return false, err
	}
	newMachines, err := c.startNodes(3, "orders")
	if err != nil {
		return false, err
	}
	if err := c.putDocument("r0", document(1, rule("r-orders", "safe", "/orders/", `"service":"orders"`, 2000, 2)), 8*time.Second); err != nil {
		return false, err
	}
	oldServers, err := c.startServers(oldMachines, "v1", 1, 9, work)
	if err != nil {
		return false, err
	}
	machines := append(append([]*machine{}, oldMachines...), newMachines...)
	if err := c.awaitReady(10*time.Second, machines...); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	t := newTraffic(c, testHost)
	go t.watch(ctx, func() []*machine { return machines })
	go t.send(ctx, "/orders/", 60, 2*time.Second)
	time.Sleep(2 * time.Second)

	if trouble {
		bad, err := c.startServers(newMachines, "v2", 1, 9, work)
		if err != nil {
			return false, err
		}
		for _, s := range bad {
			s.grey.Store(badShare)
		}
		status, text := c.order("POST", "/hornbeamrack/rollouts/start", nil, orderBody, 4*time.Second)
		r.sayf("rollout of orders to v2 ordered, %d in 100 requests of v2 fail: %d %s", badShare, status, text)
		if status != 200 {
			return false, fmt.Errorf("the rollout was not accepted")
		}
		if _, ok := c.awaitRollout(r, "orders", "rolled_back", 15*time.Second); !ok {
			return false, fmt.Errorf("the bad version was not rolled back")
		}
		for _, s := range bad {
			s.state.Store("draining")
		}
		time.Sleep(5 * time.Second)
		for _, s := range bad {
			s.end()
		}
		time.Sleep(2 * time.Second) // The second order comes long after ackMs, so it is none that is sent again.
	}
	good, err := c.startServers(newMachines, "v2", 2, 9, work)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	status, text := c.order("POST", "/hornbeamrack/rollouts/start", nil, orderBody, 4*time.Second)
	r.sayf("rollout of orders to v2 ordered, whose servers are sound: %d %s", status, text)
	if status != 200 {
		return false, fmt.Errorf("the rollout was not accepted")
	}
	if trouble {
		for _, m := range c.machines {
			c.signal(m, syscall.SIGKILL)
		}
		r.sayf("final fault: all processes were killed")
		time.Sleep(time.Second)
		for _, m := range c.machines {
			c.kill(m)
			if err := c.start(m, false); err != nil {
				return false, err
			}
		}
		r.sayf("all processes were started again")
	}
	state, _ := c.awaitRollout(r, "orders", "succeeded", recovery+6*time.Second)
	from := time.Now()
	time.Sleep(5 * time.Second)
	all, ok := t.served("/orders/", from, from.Add(3*time.Second))
	r.sayf("%d of %d requests of the last seconds were served", ok, all)
	r.sayf("servers of v1 ran %d requests, the sound ones of v2 %d", totalRuns(oldServers), totalRuns(good))
	if state == "" {
		return false, fmt.Errorf("the state of the rollout could not be read")
	}
	lost := !strings.Contains(state, "succeeded") && !strings.Contains(state, "running") && totalRuns(good) == 0
	return lost, nil
}
