package starter

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/connection/assigner"
)

const (
	// applyBound is the stated bound on the time from the acknowledgement of an edit until
	// it is in force at every node that says it is ready.
	applyBound = 2 * time.Second
	// editInterval is the time between two edits.
	editInterval = 100 * time.Millisecond
	// holdTime is how long processes are held up.
	holdTime = 6 * time.Second
	// callersPerNode is the number of concurrent callers of each node.
	callersPerNode = 4
)

// ackedRoute is a route that an acknowledged edit has added.
type ackedRoute struct {
	path    string
	ackedAt time.Time
}

// applyCheck edits the configuration of a mesh and calls all its nodes.
type applyCheck struct {
	mesh     *Mesh
	operator Mesh // operator is the mesh as the operator calls it.

	mu         sync.Mutex
	routes     []ackedRoute
	served     int
	refused    int
	violations []string
}

// run edits and calls while hold runs, then checks that every node serves the newest
// route.
func (c *applyCheck) run(t *testing.T, hold func(ctx context.Context)) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var work conc.WaitGroup
	work.Go(func() { c.editRepeatedly(ctx) })
	for _, n := range c.mesh.Nodes {
		for range callersPerNode {
			work.Go(func() { c.callRepeatedly(ctx, n) })
		}
	}
	holdCtx, endHold := context.WithTimeout(ctx, holdTime)
	hold(holdCtx)
	endHold()
	cancel()
	work.Wait()
	newest := c.routes[len(c.routes)-1]
	for _, n := range c.mesh.Nodes {
		is.NoErr(WaitUntil(t.Context(), 15*time.Second, newest.path+" on "+n.Name, func() bool {
			status, _, err := Get("http://" + n.EntryAddress + newest.path)
			return err == nil && status == fasthttp.StatusOK
		}))
	}
	t.Logf("%d edits, %d requests served, %d refused as not ready", len(c.routes), c.served, c.refused)
	is.Equal(c.violations, nil) // no node denies a route after the bound
	is.True(c.served > 0)
}

// editRepeatedly adds one route with each edit until ctx ends.
func (c *applyCheck) editRepeatedly(ctx context.Context) {
	text := designsSection
	for i := 0; ctx.Err() == nil; i++ {
		nextAt := time.Now().Add(editInterval)
		path := fmt.Sprintf("/added%d", i)
		next := text + fmt.Sprintf("  - {path: %s, methods: [GET], service: designs}\n", path)
		if c.operator.EditSection("designs", next) == nil {
			text = next
			c.mu.Lock()
			c.routes = append(c.routes, ackedRoute{path, time.Now()})
			c.mu.Unlock()
		}
		time.Sleep(time.Until(nextAt))
	}
}

// routeToCall returns the newest route that must be in force.
func (c *applyCheck) routeToCall() (ackedRoute, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range slices.Backward(c.routes) {
		if time.Since(r.ackedAt) > applyBound {
			return r, true
		}
	}
	return ackedRoute{}, false
}

// callRepeatedly requests the newest route that must be in force from a node, until ctx
// ends.
func (c *applyCheck) callRepeatedly(ctx context.Context, n *Node) {
	for ; ctx.Err() == nil; time.Sleep(pollInterval) {
		r, ok := c.routeToCall()
		if !ok {
			continue
		}
		sentAt := time.Now()
		status, _, err := Get("http://" + n.EntryAddress + r.path)
		if err == nil {
			c.record(n, r, sentAt, status)
		}
	}
}

// record stores the response to a request.
func (c *applyCheck) record(n *Node, r ackedRoute, sentAt time.Time, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch status {
	case fasthttp.StatusOK:
		c.served++
	case fasthttp.StatusServiceUnavailable:
		c.refused++
	case fasthttp.StatusNotFound:
		c.violations = append(c.violations, fmt.Sprintf("%s denied %s, acknowledged %s before the request", n.Name, r.path, sentAt.Sub(r.ackedAt).Round(time.Millisecond)))
	}
}

// holdRepeatedly stops processes for a time in turns with a time in which they run, until
// ctx ends.
func holdRepeatedly(ctx context.Context, t *testing.T, stopped, running time.Duration, list ...*Process) {
	for ctx.Err() == nil {
		for _, p := range list {
			if err := p.Pause(); err != nil {
				t.Error(err)
			}
		}
		time.Sleep(stopped)
		for _, p := range list {
			if err := p.Resume(); err != nil {
				t.Error(err)
			}
		}
		time.Sleep(running)
	}
}

// preferredHosts returns the control hosts in the order in which a node prefers them.
func preferredHosts(m *Mesh, n *Node) []*ControlHost {
	picker := assigner.Assigner{NodeName: n.Name}
	var out []*ControlHost
	for left := slices.Clone(m.ControlHosts); len(left) > 0; {
		var addresses []string
		for _, c := range left {
			addresses = append(addresses, c.RPCAddress)
		}
		i := slices.Index(addresses, picker.Pick(addresses, time.Now()))
		out = append(out, left[i])
		left = slices.Delete(left, i, i+1)
	}
	return out
}

// leaderOf waits until one of the control hosts has logged that it leads the group of the
// configuration, and returns its index.
func leaderOf(t *testing.T, hosts []*ControlHost) int {
	leads := func(c *ControlHost) bool {
		return strings.LastIndex(c.Log(), "leads=true") > strings.LastIndex(c.Log(), "leads=false")
	}
	i := -1
	err := WaitUntil(t.Context(), readyTimeout, "a leader", func() bool {
		i = slices.IndexFunc(hosts, leads)
		return i >= 0
	})
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// TestNoNodeDeniesAnEditAfterTheBound guards against a node that answers by an older
// configuration later than the bound after the acknowledgement of an edit, while some
// processes get no processor time. Every node must serve the newest route that is due, or
// refuse as not ready.
func TestNoNodeDeniesAnEditAfterTheBound(t *testing.T) {
	rows := []struct {
		name             string
		controlHosts     int
		heldHosts        int  // heldHosts is the number of control hosts that are held, those that node-1 prefers.
		holdLeader       bool // holdLeader also holds the leader.
		holdNode         bool // holdNode also holds node-1.
		stopped, running time.Duration
	}{
		{"nothing", 3, 0, false, false, 0, time.Second},
		{"a node stopped for 4 s", 3, 0, false, true, 4 * time.Second, time.Second},
		{"a node with a tenth of the time", 3, 0, false, true, 900 * time.Millisecond, 100 * time.Millisecond},
		{"a control host with a tenth of the time", 3, 1, false, false, 900 * time.Millisecond, 100 * time.Millisecond},
		{"the leader stopped", 3, 0, true, false, 3 * time.Second, 2 * time.Second},
		{"two of five control hosts stopped", 5, 2, false, false, 5 * time.Second, 2 * time.Second},
		{"two of five control hosts and a node with a tenth of the time", 5, 2, false, true, 900 * time.Millisecond, 100 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			m := newMeshOf(t, row.controlHosts, 3)
			running := preferredHosts(m, m.Nodes[0])
			var list []*Process
			for range row.heldHosts {
				list, running = append(list, running[0].Process), running[1:]
			}
			if row.holdLeader {
				i := leaderOf(t, running)
				list, running = append(list, running[i].Process), slices.Delete(running, i, i+1)
			}
			c := &applyCheck{mesh: m, operator: Mesh{ProgramFolder: m.ProgramFolder, ControlHosts: running}}
			if row.holdNode {
				list = append(list, m.Nodes[0].Process)
			}
			c.run(t, func(ctx context.Context) { holdRepeatedly(ctx, t, row.stopped, row.running, list...) })
		})
	}
}
