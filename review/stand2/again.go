package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	service         = "huvo11a"
	rolloutSeconds  = 12
	requestsASecond = 25 // at each node
)

// downTime is how long the processes are down in a final fault.
const downTime = 600 * time.Millisecond

const document = `{"version":%q,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"listeners":[{"host":"shop.example","rules":[{"name":"r-designs","kind":"safe","sloMs":600,"priority":2,"match":{"prefix":"/designs/"},` +
	`"action":{"service":"huvo11a","timeoutMs":2000,"attempts":2}},` +
	`{"name":"r-previews","kind":"safe","sloMs":600,"priority":2,"match":{"prefix":"/previews/"},` +
	`"action":{"service":"huvo11a","timeoutMs":2000,"attempts":2}}]}],` +
	`"clusters":[{"name":"huvo11a","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}]}`

// pair is a node with the server beside it.
type pair struct {
	index  int // index is the node's number.
	node   *process
	server *server
	stop   context.CancelFunc // stop ends its clients.
}

// playAgain orders a roll-out, whose version is bad if there is trouble, and orders the same
// again later, when servers of the mended version run. In the end all processes are
// killed. It checks that the second roll-out, which was acknowledged, is carried out.
func playAgain(m *mesh, r *record, trouble bool) (int, error) {
	c := &clients{status: map[int]int{}}
	o, controls, old, err := startAll(m, r, c)
	if err != nil {
		return exitFailed, err
	}
	add := func(from, to int, version string, bad bool) ([]*pair, error) {
		f := fault{path: "/"}
		if bad {
			f.share = 0.5
		}
		return addPairs(m, r, c, from, to, version, f)
	}
	first, err := add(3, 5, "v2", trouble)
	if err != nil {
		return exitFailed, err
	}
	if status := o.order(service, "v2", rolloutSeconds); status != http.StatusOK {
		return exitFailed, fmt.Errorf("first order: status %d", status)
	}
	want := "succeeded"
	if trouble {
		want = "rolled_back"
	}
	if state, ok := o.await(service, 20*time.Second, "succeeded", "rolled_back"); !ok || state.State != want {
		return exitFailed, fmt.Errorf("first roll-out: state %q, expected %s", state.State, want)
	}
	if !trouble {
		for _, p := range old {
			p.server.end()
		}
		return holds(o, r, c, first)
	}
	time.Sleep(2 * time.Second)
	for _, p := range first {
		p.leave()
	}
	r.line("platform: the servers of the first roll-out have drained and ended; they ran %d requests, %d failed", runs(first), failures(first))
	time.Sleep(3 * time.Second) // More than ackMs after the first order.

	second, err := add(5, 7, "v2", false)
	if err != nil {
		return exitFailed, err
	}
	time.Sleep(2 * time.Second)
	if status := o.order(service, "v2", rolloutSeconds); status != http.StatusOK {
		return exitFailed, fmt.Errorf("second order: status %d", status)
	}
	state, done := o.await(service, (rolloutSeconds+4)*time.Second, "succeeded")
	r.line("platform: %d s after the second order: state %s, its servers ran %d requests", rolloutSeconds+4, state.State, runs(second))
	if err := finalFault(m, r, o, controls, append(old, second...)); err != nil {
		return exitFailed, err
	}
	time.Sleep(recoverTime)
	after, ok := o.state(service)
	r.line("operator: after the final fault: state %s, targetVersion %s, read %t; servers of the second order ran %d requests", after.State, after.To, ok, runs(second))
	r.line("clients: answers by status: %v", c.counts())
	if !ok {
		return exitFailed, errors.New("the state of the roll-out cannot be read after the final fault")
	}
	if !done && after.State == "rolled_back" && runs(second) == 0 {
		r.line("broken: LOST. The second roll-out was acknowledged with 200 and is gone: it never ran, and no request ever reached its servers")
		return exitBroken, nil
	}
	r.line("held: the second roll-out was carried out")
	return exitHeld, nil
}

// startAll starts three control hosts and three nodes with servers of v1, and puts the
// configuration in force.
func startAll(m *mesh, r *record, c *clients) (*operator, []*process, []*pair, error) {
	o := &operator{record: r}
	var controls []*process
	for i := range 3 {
		p, err := m.startControl(i, true)
		if err != nil {
			return nil, nil, nil, err
		}
		controls = append(controls, p)
		o.addresses = append(o.addresses, m.address(p.ip, portControl))
	}
	old, err := addPairs(m, r, c, 0, 3, "v1", fault{path: "/"})
	if err != nil {
		return nil, nil, nil, err
	}
	if err := o.put("r1", "0", 20*time.Second); err != nil {
		return nil, nil, nil, err
	}
	time.Sleep(5 * time.Second)
	return o, controls, old, nil
}

// finalFault kills all processes of the project right after a configuration was
// acknowledged, and starts them again after downTime.
func finalFault(m *mesh, r *record, o *operator, controls []*process, pairs []*pair) error {
	if err := o.put("r2", "r1", 4*time.Second); err != nil {
		return err
	}
	for _, p := range controls {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range pairs {
		p.node.signal(syscall.SIGKILL)
	}
	r.line("platform: final fault, all processes of the system are killed")
	time.Sleep(downTime)
	for i := range controls {
		if _, err := m.startControl(i, false); err != nil {
			return err
		}
	}
	for _, p := range pairs {
		node, err := m.startNode(p.index, service)
		if err != nil {
			return err
		}
		p.node = node
	}
	r.line("platform: they are back")
	return nil
}

// holds checks the run without trouble: the version serves, and the state remains.
func holds(o *operator, r *record, c *clients, pairs []*pair) (int, error) {
	time.Sleep(5 * time.Second)
	if status := o.order(service, "v2", rolloutSeconds); status != http.StatusOK {
		return exitFailed, fmt.Errorf("second order: status %d", status)
	}
	time.Sleep(2 * time.Second)
	state, ok := o.state(service)
	r.line("operator: state %s, targetVersion %s, read %t; its servers ran %d requests", state.State, state.To, ok, runs(pairs))
	r.line("clients: answers by status: %v", c.counts())
	if ok && state.State == "succeeded" && runs(pairs) > 0 {
		r.line("held: the roll-out was carried out")
		return exitHeld, nil
	}
	return exitBroken, nil
}

// fault says which requests fail at a server: a share of those below a path.
type fault struct {
	share float64
	path  string
}

// addPairs starts nodes from..to-1 with a server of the version beside each, and clients.
func addPairs(m *mesh, r *record, c *clients, from, to int, version string, f fault) ([]*pair, error) {
	var out []*pair
	for i := from; i < to; i++ {
		node, err := m.startNode(i, service)
		if err != nil {
			return nil, err
		}
		s := &server{
			id: fmt.Sprintf("i-%08x", 0x51a0+i), service: service, version: version, badShare: f.share, badPath: f.path, zone: m.zones[i%3],
			address: m.address(node.ip, portServer), control: m.address(node.ip, portControl),
		}
		if err := s.start(); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.run(ctx, m.address(node.ip, portOutbound), m.address(node.ip, portReady), requestsASecond)
		out = append(out, &pair{i, node, s, cancel})
		r.line("platform: %s with server %s of %s %s, fails %g of the requests to %s", node.name, s.id, service, version, f.share, f.path)
	}
	return out, nil
}

// leave drains the server and then stops the node.
func (p *pair) leave() {
	p.server.leave()
	p.stop()
	p.node.terminate()
}

// runs returns the requests that the servers have run.
func runs(pairs []*pair) int64 {
	n := int64(0)
	for _, p := range pairs {
		n += p.server.runs.Load()
	}
	return n
}

// failures returns the requests that have failed at the servers.
func failures(pairs []*pair) int64 {
	n := int64(0)
	for _, p := range pairs {
		n += p.server.failures.Load()
	}
	return n
}
