package controller

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/sleeper"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// NodeLease is the time without a heartbeat after which the lease of a node
	// expires, and expireNodes proposes to remove the node's targets.
	NodeLease = 10 * time.Second

	// maxNodeSilence is the time without a heartbeat after which a node may be lost. Nodes
	// call every 3 s at least, and other hosts report that to the leader within a second.
	maxNodeSilence = 5 * time.Second

	// reportInterval is the time between two reports to the leader, or between two
	// checks of the leases on the leader.
	reportInterval = time.Second
	// evidenceBatchDelay is the time for which evidence is collected into one report.
	evidenceBatchDelay = 50 * time.Millisecond
	// nodeRetention is the time after the last heartbeat for which a status is stored.
	nodeRetention = time.Hour
)

// nodeStatus is the last heartbeat of one node and the lease that it renews.
type nodeStatus struct {
	report         messenger.NodeReport
	heartbeatAt    time.Time
	leaseExpiresAt time.Time
	laggingSince   time.Time // laggingSince is when the node fell behind the newest version; zero when it is up to date.
	reported       bool      // reported is set once the status was sent to the leader.
}

// nodeTable stores the statuses of nodes by name. It is safe for concurrent use.
type nodeTable struct {
	mu    sync.Mutex
	nodes map[string]*nodeStatus
}

// recordHeartbeat stores the report of a node that called this host. newest is the
// newest version of the configuration.
func (t *nodeTable) recordHeartbeat(r messenger.NodeReport, newest uint64) {
	t.update(r, time.Now(), newest)
}

// mergeStatus stores a node status that another host received.
func (t *nodeTable) mergeStatus(o messenger.Sighting, newest uint64) {
	t.update(o.Report, time.Now().Add(-o.Age), newest)
}

// update stores a report received at a time, and renews the lease of the node. A
// report that is older than the stored one, or of an earlier incarnation, is
// ignored.
func (t *nodeTable) update(r messenger.NodeReport, at time.Time, newest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.nodes[r.Node]
	if old != nil && (old.heartbeatAt.After(at) || old.report.Incarnation > r.Incarnation) {
		return
	}
	if t.nodes == nil {
		t.nodes = map[string]*nodeStatus{}
	}
	next := &nodeStatus{report: r, heartbeatAt: at, leaseExpiresAt: at.Add(NodeLease)}
	if r.Version < newest {
		next.laggingSince = at
		if old != nil && !old.laggingSince.IsZero() {
			next.laggingSince = old.laggingSince
		}
	}
	t.nodes[r.Node] = next
}

// list returns the statuses of all nodes, sorted by name.
func (t *nodeTable) list() []messenger.Sighting {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]messenger.Sighting, 0, len(t.nodes))
	for _, n := range t.nodes {
		out = append(out, n.message())
	}
	slices.SortFunc(out, func(a, b messenger.Sighting) int { return strings.Compare(a.Report.Node, b.Report.Node) })
	return out
}

// message returns the status with times as ages, since clocks differ between hosts.
func (n *nodeStatus) message() messenger.Sighting {
	m := messenger.Sighting{Report: n.report, Age: time.Since(n.heartbeatAt)}
	if !n.laggingSince.IsZero() {
		m.Lags = time.Since(n.laggingSince)
	}
	return m
}

// takeUnreported returns the statuses that were not sent to the leader yet, and
// marks them as sent. It deletes statuses older than nodeRetention.
func (t *nodeTable) takeUnreported() []messenger.Sighting {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []messenger.Sighting
	for name, n := range t.nodes {
		if time.Since(n.heartbeatAt) > nodeRetention {
			delete(t.nodes, name)
			continue
		}
		if !n.reported {
			n.reported = true
			out = append(out, n.message())
		}
	}
	return out
}

// expired returns those of the nodes whose lease has expired. A node without a
// status gets a new lease first. Endpoints that an earlier incarnation of a node
// announced stay until its present incarnation, whose heartbeats renew the lease,
// announces a new list: the owner node stores the present incarnations of its
// targets, and after a restart of all nodes no other entries lead to them.
func (t *nodeTable) expired(nodes []applier.NodeID) []applier.NodeID {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []applier.NodeID
	for _, n := range nodes {
		status := t.nodes[n.Node]
		if status == nil {
			if t.nodes == nil {
				t.nodes = map[string]*nodeStatus{}
			}
			t.nodes[n.Node] = &nodeStatus{report: messenger.NodeReport{Node: n.Node, Incarnation: n.Incarnation}, heartbeatAt: now, leaseExpiresAt: now.Add(NodeLease)}
			continue
		}
		if now.After(status.leaseExpiresAt) {
			out = append(out, n)
		}
	}
	return out
}

// silent reports whether nothing has been heard of a node for maxNodeSilence, though this
// host has led for that long.
func (t *nodeTable) silent(node string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.nodes[node]
	return n != nil && time.Since(n.leaseExpiresAt.Add(-NodeLease)) > maxNodeSilence
}

// renewLeases gives every node a new lease. It is called when this host becomes
// the leader.
func (t *nodeTable) renewLeases() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.nodes {
		n.leaseExpiresAt = time.Now().Add(NodeLease)
	}
}

// monitorNodes sends the node statuses of this host to the leader. On the leader it
// removes the targets of nodes whose lease has expired instead.
func (c *Controller) monitorNodes(ctx context.Context) {
	wasLeader := false
	for ctx.Err() == nil {
		if wasLeader {
			sleeper.Sleep(ctx, reportInterval)
		} else {
			// Evidence is sent without waiting for the interval; the delay collects
			// many pieces into one message.
			sleeper.SleepOrSignal(ctx, reportInterval, c.evidence.available(), nil)
			sleeper.Sleep(ctx, evidenceBatchDelay)
		}
		leads := c.isLeader()
		if leads && !wasLeader {
			c.nodes.renewLeases()
		}
		if leads != wasLeader {
			st := c.replicas[configIndex].group.Status()
			c.Log.Info("leadership of the configuration group changed", "leads", leads, "term", st.Term, "leader", st.Leader, "commit", st.Commit, "applied", st.Applied, "voters", len(st.Membership.Voters()))
		}
		wasLeader = leads
		if leads {
			c.expireNodes(ctx)
			continue
		}
		c.reportToLeader(ctx)
	}
}

// reportToLeader sends new node statuses and evidence to the leader. A lost
// report is not sent again.
func (c *Controller) reportToLeader(ctx context.Context) {
	r := c.redirect(c.replicas[configIndex])
	if r.Leader == "" {
		return
	}
	args := messenger.SeenArgs{Sightings: c.nodes.takeUnreported(), Evidence: c.evidence.take()}
	if len(args.Sightings)+len(args.Evidence) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_ = c.pool.Get(r.Leader).Call(call, messenger.MethodSeen, args, &messenger.Empty{})
}

// expireNodes proposes to remove the targets of nodes whose lease has expired.
func (c *Controller) expireNodes(ctx context.Context) {
	var nodes []applier.NodeID
	for _, e := range c.state.State().Endpoints {
		id := applier.NodeID{Node: e.Node, Incarnation: e.Incarnation}
		if !slices.Contains(nodes, id) {
			nodes = append(nodes, id)
		}
	}
	expired := c.nodes.expired(nodes)
	if len(expired) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c.Log.Info("leases of nodes expired", "nodes", expired, "silentFor", NodeLease)
	if _, err := c.propose(call, applier.ExpireNodes{Nodes: expired, At: time.Now()}); err != nil {
		c.Log.Warn("failed to propose the removal of the targets of nodes with expired leases", "nodes", len(expired), "err", err)
	}
}
