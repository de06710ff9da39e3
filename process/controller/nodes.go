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
	// NodeLease is how long a node's targets stay without a sign of life.
	NodeLease = 10 * time.Second

	seenInterval   = time.Second
	evidenceWindow = 50 * time.Millisecond
	forgetNodes    = time.Hour
)

// sighting is the last sign of life of one node.
type sighting struct {
	report    messenger.NodeReport
	seenAt    time.Time
	expiresAt time.Time
	behindAt  time.Time // behindAt is since when the node has been behind; zero when it is not.
	told      bool      // told means that the leader knows.
}

// sightings is what this host knows of nodes. It is safe for concurrent use.
type sightings struct {
	mu    sync.Mutex
	nodes map[string]*sighting
}

// saw notes that a node called this host.
func (s *sightings) saw(r messenger.NodeReport, newest uint64) {
	s.note(r, time.Now(), newest)
}

// heard notes that another host saw a node.
func (s *sightings) heard(o messenger.NodeStatus, newest uint64) {
	s.note(o.Report, time.Now().Add(-o.Age), newest)
}

func (s *sightings) note(r messenger.NodeReport, at time.Time, newest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.nodes[r.Node]
	if old != nil && (old.seenAt.After(at) || old.report.Incarnation > r.Incarnation) {
		return
	}
	if s.nodes == nil {
		s.nodes = map[string]*sighting{}
	}
	next := &sighting{report: r, seenAt: at, expiresAt: at.Add(NodeLease)}
	if r.Version < newest {
		next.behindAt = at
		if old != nil && !old.behindAt.IsZero() {
			next.behindAt = old.behindAt
		}
	}
	s.nodes[r.Node] = next
}

// list returns all sightings by name.
func (s *sightings) list() []messenger.NodeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]messenger.NodeStatus, 0, len(s.nodes))
	for _, n := range s.nodes {
		out = append(out, n.asMessage())
	}
	slices.SortFunc(out, func(a, b messenger.NodeStatus) int { return strings.Compare(a.Report.Node, b.Report.Node) })
	return out
}

func (n *sighting) asMessage() messenger.NodeStatus {
	m := messenger.NodeStatus{Report: n.report, Age: time.Since(n.seenAt)}
	if !n.behindAt.IsZero() {
		m.Lags = time.Since(n.behindAt)
	}
	return m
}

// untold returns what the leader does not know yet.
func (s *sightings) untold() []messenger.NodeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []messenger.NodeStatus
	for name, n := range s.nodes {
		if time.Since(n.seenAt) > forgetNodes {
			delete(s.nodes, name)
			continue
		}
		if !n.told {
			n.told = true
			out = append(out, n.asMessage())
		}
	}
	return out
}

// expired returns those of the nodes whose lease has run out. A node that was
// never seen here gets a new lease first. What an earlier life of a node
// announced stays until its present life, which renews the lease, says otherwise:
// the owner knows the targets' present lives, and after a restart of all nothing
// else leads to them.
func (s *sightings) expired(nodes []applier.NodeID) []applier.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []applier.NodeID
	for _, n := range nodes {
		known := s.nodes[n.Node]
		if known == nil {
			if s.nodes == nil {
				s.nodes = map[string]*sighting{}
			}
			s.nodes[n.Node] = &sighting{report: messenger.NodeReport{Node: n.Node, Incarnation: n.Incarnation}, seenAt: now, expiresAt: now.Add(NodeLease)}
			continue
		}
		if now.After(known.expiresAt) {
			out = append(out, n)
		}
	}
	return out
}

// renew gives every node a new lease, when this host begins to lead.
func (s *sightings) renew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		n.expiresAt = time.Now().Add(NodeLease)
	}
}

// watchNodes tells the leader whom this host saw, or, as the leader, removes
// the targets of nodes that nobody sees any more.
func (c *Controller) watchNodes(ctx context.Context) {
	led := false
	for ctx.Err() == nil {
		if led {
			sleeper.Sleep(ctx, seenInterval)
		} else {
			// Evidence goes to the leader at once; many pieces share one message.
			sleeper.SleepOrSignal(ctx, seenInterval, c.evidence.arrived(), nil)
			sleeper.Sleep(ctx, evidenceWindow)
		}
		leads := c.leads()
		if leads && !led {
			c.sight.renew()
		}
		if leads != led {
			st := c.members[configPlace].group.Status()
			c.Log.Info("lead changed", "leads", leads, "term", st.Term, "leader", st.Leader, "commit", st.Commit, "applied", st.Applied, "voters", len(st.Membership.Voters()))
		}
		led = leads
		if leads {
			c.expireNodes(ctx)
			continue
		}
		c.tellLeader(ctx)
	}
}

func (c *Controller) tellLeader(ctx context.Context) {
	r := c.redirect(c.members[configPlace])
	if r.Leader == "" {
		return
	}
	args := messenger.SeenArgs{Sightings: c.sight.untold(), Evidence: c.evidence.take()}
	if len(args.Sightings)+len(args.Evidence) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_ = c.pool.Get(r.Leader).Call(call, messenger.MethodSeen, args, &messenger.Empty{})
}

func (c *Controller) expireNodes(ctx context.Context) {
	var nodes []applier.NodeID
	for _, e := range c.state.State().Endpoints {
		id := applier.NodeID{Node: e.Node, Incarnation: e.Incarnation}
		if !slices.Contains(nodes, id) {
			nodes = append(nodes, id)
		}
	}
	dead := c.sight.expired(nodes)
	if len(dead) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c.Log.Info("nodes expired", "nodes", dead, "silentFor", NodeLease)
	if _, err := c.propose(call, applier.ExpireNodes{Nodes: dead, At: time.Now()}); err != nil {
		c.Log.Warn("could not remove the targets of dead nodes", "nodes", len(dead), "err", err)
	}
}
