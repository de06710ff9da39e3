package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/hornbeamrack/hornbeamrack/connection/locator"
	"github.com/hornbeamrack/hornbeamrack/connection/messenger"
	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/process/subscriber"
	"github.com/hornbeamrack/hornbeamrack/stand/starter"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

const (
	fullNodeCount         = 940 // fullNodeCount is the number of nodes expected in two years.
	fullServiceCount      = 39
	changesPerDay         = 790
	secondsPerDay         = 86400
	readyLimitSeconds     = 7.0    // readyLimitSeconds bounds a start of all nodes, and convergence after a fault.
	faultFreeLimitSeconds = 1.0    // faultFreeLimitSeconds bounds convergence without a fault.
	bytesPerSecondLimit   = 2048.0 // bytesPerSecondLimit is for each node.
	cpuLimitCores         = 0.037  // cpuLimitCores is for each node.
	memoryLimitMB         = 128.0  // memoryLimitMB is for each node.
	idleDuration          = 10 * time.Second
	editsPerSize          = 8
	ticksPerSecond        = 100 // ticksPerSecond is the number of units of CPU time in /proc for a second.
)

// fleet measures the load that nodes put on their control hosts. The control hosts are
// real processes; the nodes are agents in this process, besides one real node.
type fleet struct {
	options *options
	Sizes   []int `long:"size" description:"Number of nodes; repeat the option to fit a line"`
}

// sample holds the measurements with one number of nodes.
type sample struct {
	nodes                          int
	readySeconds, convergedSeconds float64 // readySeconds is the start of all agents, convergedSeconds the slowest edit.
	killedSeconds                  float64 // killedSeconds is the slowest edit with one control host killed.
	idleBytes, editBytes           float64 // idleBytes is per node and second, editBytes per node and edit.
	controlCPUCores, controlRSSMB  float64 // controlCPUCores and controlRSSMB are the highest of any control host.
	nodeIdleCores                  float64 // nodeIdleCores is the CPU use of the real node without changes.
	nodeCPUSeconds, nodeRSSMB      float64 // nodeCPUSeconds is the CPU time of the real node per edit, nodeRSSMB its memory.
	announceBytes                  float64 // announceBytes is per node, from the start of all agents until all are ready.
}

// agent is the part of a node that subscribes to the control hosts.
type agent struct {
	subscriber *subscriber.Subscriber
	tables     *compiler.TableStore
	cancel     context.CancelFunc
}

// Execute implements flags.Commander.
func (c *fleet) Execute([]string) error {
	if len(c.Sizes) == 0 {
		c.Sizes = []int{50, 100, 200, 400}
	}
	folder, remove, err := buildPrograms()
	if err != nil {
		return err
	}
	defer remove()
	var samples []sample
	var list []figure
	for _, n := range c.Sizes {
		s, err := c.measureSize(folder, n)
		if err != nil {
			return errors.WithMessagef(err, "%d nodes", n)
		}
		samples = append(samples, s)
		list = append(list, s.figures()...)
	}
	return c.options.print(append(list, extrapolate(samples)...))
}

// figures returns the sample's measurements as figures.
func (s sample) figures() []figure {
	name := func(what string) string { return fmt.Sprintf("%d nodes: %s", s.nodes, what) }
	return []figure{
		atMost(name("herd, all ready"), s.readySeconds, "s", readyLimitSeconds),
		atMost(name("convergence, worst"), s.convergedSeconds, "s", faultFreeLimitSeconds),
		atMost(name("convergence with a control host killed, worst"), s.killedSeconds, "s", readyLimitSeconds),
		withoutTarget(name("bytes at the herd's start, each"), s.announceBytes, "B"),
		withoutTarget(name("idle control bytes, each"), s.idleBytes, "B/s"),
		withoutTarget(name("bytes of an edit, each"), s.editBytes, "B"),
		withoutTarget(name("busiest control host, idle"), s.controlCPUCores, "cores"),
		withoutTarget(name("largest control host"), s.controlRSSMB, "MB"),
		withoutTarget(name("one node, each edit"), s.nodeCPUSeconds, "core s"),
		atMost(name("one node"), s.nodeRSSMB, "MB", memoryLimitMB),
	}
}

// extrapolate fits a line through the samples for each measurement and returns its value at
// fullNodeCount. It returns nothing for fewer than two samples.
func extrapolate(samples []sample) []figure {
	if len(samples) < 2 {
		return nil
	}
	last := samples[len(samples)-1]
	perNode := last.idleBytes + last.editBytes*changesPerDay/secondsPerDay
	list := []figure{atMost(fmt.Sprintf("control bytes, each, at %d changes a day", changesPerDay), perNode, "B/s", bytesPerSecondLimit)}
	for _, f := range []struct {
		name, unit string
		value      func(sample) float64
		limit      float64
	}{
		{"herd, all ready", "s", func(s sample) float64 { return s.readySeconds }, readyLimitSeconds},
		{"convergence, worst", "s", func(s sample) float64 { return s.convergedSeconds }, faultFreeLimitSeconds},
		{"busiest control host, idle", "cores", func(s sample) float64 { return s.controlCPUCores }, 0},
		{"largest control host", "MB", func(s sample) float64 { return s.controlRSSMB }, 0},
		{"one node, idle", "cores", func(s sample) float64 { return s.nodeIdleCores }, cpuLimitCores},
		{"one node, each edit", "core s", func(s sample) float64 { return s.nodeCPUSeconds }, 0},
		{"one node", "MB", func(s sample) float64 { return s.nodeRSSMB }, memoryLimitMB},
	} {
		slope, base, spread := fitLine(samples, f.value)
		name := fmt.Sprintf("%d nodes by the slope: %s (slope %.3g a node, spread %.2g)", fullNodeCount, f.name, slope, spread)
		value := base + slope*fullNodeCount
		if f.limit > 0 {
			list = append(list, atMost(name, value, f.unit, f.limit))
			continue
		}
		list = append(list, withoutTarget(name, value, f.unit))
	}
	return list
}

// fitLine returns the least-squares line through the samples and the largest distance of a
// sample from it.
func fitLine(samples []sample, value func(sample) float64) (slope, base, spread float64) {
	n := float64(len(samples))
	var sx, sy, sxx, sxy float64
	for _, s := range samples {
		x, y := float64(s.nodes), value(s)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	base = (sy - slope*sx) / n
	for _, s := range samples {
		d := value(s) - base - slope*float64(s.nodes)
		spread = max(spread, max(d, -d))
	}
	return slope, base, spread
}

// byteCounter holds the number of bytes that all agents' connections have read and written.
type byteCounter struct{ bytes atomic.Int64 }

func (c *byteCounter) wrapConn(conn net.Conn) net.Conn { return countingConn{conn, c} }

// countingConn adds the bytes that a connection reads and writes to a byteCounter.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// measureSize starts a mesh with n agents and measures it: start, idle time, edits, and
// edits after a control host was killed.
func (c *fleet) measureSize(folder string, n int) (sample, error) {
	s := sample{nodes: n}
	run, err := os.MkdirTemp(folder, "run")
	if err != nil {
		return s, err
	}
	m := &starter.Mesh{Folder: run, ProgramFolder: folder, ControlHostCount: 3, NodeCount: 1}
	defer m.KillAll()
	if err := m.Start(context.Background()); err != nil {
		return s, err
	}
	if err := m.EditSection("designs", documentText(0)); err != nil {
		return s, err
	}
	var count byteCounter
	var wait conc.WaitGroup
	agents, err := startAgents(m, n, &count, &wait)
	defer func() {
		for _, a := range agents {
			a.cancel()
		}
		wait.Wait()
	}()
	if err != nil {
		return s, err
	}
	if s.readySeconds, err = allReady(agents, n); err != nil {
		return s, err
	}
	s.announceBytes = float64(count.bytes.Load()) / float64(n)
	s.measureIdle(m, &count)
	before, cpu := count.bytes.Load(), cpuSeconds(m.Nodes[0].Pid())
	if s.convergedSeconds, err = editAll(m, agents, 1); err != nil {
		return s, err
	}
	s.editBytes = max(0, float64(count.bytes.Load()-before)/float64(n*editsPerSize)-s.idleBytes*s.convergedSeconds)
	s.nodeCPUSeconds = (cpuSeconds(m.Nodes[0].Pid()) - cpu) / editsPerSize
	s.nodeRSSMB = residentMB(m.Nodes[0].Pid())
	m.ControlHosts[0].Kill()
	s.killedSeconds, err = editAll(m, agents, 1+editsPerSize)
	return s, err
}

// documentText returns a section with all services, each with a read and a deposit route. The
// change number is in the last line, a comment.
func documentText(change int) string {
	var b strings.Builder
	b.WriteString("services:\n")
	for i := range fullServiceCount {
		fmt.Fprintf(&b, "  - {name: svc%d, slots: 10}\n", i)
	}
	b.WriteString("routes:\n")
	for i := range fullServiceCount {
		fmt.Fprintf(&b, "  - {path: /svc%d, methods: [GET], service: svc%d, retries: 2}\n", i, i)
		fmt.Fprintf(&b, "  - {path: /svc%d, methods: [POST], service: svc%d, nonIdempotent: true}\n", i, i)
	}
	fmt.Fprintf(&b, "# change %d\n", change)
	return b.String()
}

// startAgents starts n agents, each with one target. The agents run until their cancel
// functions are called.
func startAgents(m *starter.Mesh, n int, count *byteCounter, wait *conc.WaitGroup) ([]*agent, error) {
	var addresses []string
	for _, c := range m.ControlHosts {
		addresses = append(addresses, c.RPCAddress)
	}
	var agents []*agent
	for i := range n {
		ctx, cancel := context.WithCancel(context.Background())
		a := &agent{tables: &compiler.TableStore{}, cancel: cancel}
		targets := &registrar.Registrar{}
		err := targets.Announce(registrar.Announcement{Target: "t1", Service: fmt.Sprintf("svc%d", i%fullServiceCount), Address: "127.0.0.1:9"})
		if err != nil {
			cancel()
			return agents, err
		}
		hosts := locator.New(addresses...)
		pool := &messenger.Pool{Preface: messenger.PrefaceNode, MaxFrameBytes: messenger.MaxNodeFrameBytes, WrapConn: count.wrapConn}
		a.subscriber = &subscriber.Subscriber{
			Node: fmt.Sprintf("agent-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%7), Address: "127.0.0.1:9", Hosts: hosts,
			Tables: a.tables, Registrar: targets, Client: &messenger.Client{Hosts: hosts, Pool: pool}, Log: log.New(io.Discard), WrapConn: count.wrapConn,
		}
		agents = append(agents, a)
		wait.Go(func() { _ = a.subscriber.Run(ctx) })
		// An agent has no target that announces itself, so its lease is renewed here.
		wait.Go(func() { renewLease(ctx, targets, i) })
	}
	return agents, nil
}

// renewLease announces agent i's target until ctx ends, three times in a lease.
func renewLease(ctx context.Context, targets *registrar.Registrar, i int) {
	for ctx.Err() == nil {
		_ = targets.Announce(registrar.Announcement{Target: "t1", Service: fmt.Sprintf("svc%d", i%fullServiceCount), Address: "127.0.0.1:9"})
		select {
		case <-ctx.Done():
		case <-time.After(registrar.LeaseDuration / 3):
		}
	}
}

// allReady waits until every agent's table holds n endpoints, and returns the time in
// seconds.
func allReady(agents []*agent, n int) (float64, error) {
	start := time.Now()
	err := starter.WaitUntil(context.Background(), time.Minute, "all tables complete", func() bool {
		return !slices.ContainsFunc(agents, func(a *agent) bool { return endpointCount(a.tables.Table()) < n })
	})
	return time.Since(start).Seconds(), err
}

// endpointCount returns the number of endpoints in a table, 0 without a table.
func endpointCount(t *compiler.Table) int {
	if t == nil {
		return 0
	}
	n := 0
	for _, s := range t.Services() {
		for _, p := range s.Pools {
			n += len(p.Local) + len(p.Remote)
		}
	}
	return n
}

// editAll makes editsPerSize edits, numbered from first. It returns the longest time in
// seconds from the response to an edit until the edit is in force on every agent.
func editAll(m *starter.Mesh, agents []*agent, first int) (float64, error) {
	worst := 0.0
	for i := range editsPerSize {
		if err := m.EditSection("designs", documentText(first+i)); err != nil {
			return worst, err
		}
		start := time.Now()
		marker := fmt.Sprintf("# change %d\n", first+i)
		err := starter.WaitUntil(context.Background(), time.Minute, marker, func() bool {
			return !slices.ContainsFunc(agents, func(a *agent) bool { return !a.subscriber.SectionEndsWith("designs", marker) })
		})
		if err != nil {
			return worst, err
		}
		worst = max(worst, time.Since(start).Seconds())
	}
	return worst, nil
}

// measureIdle measures bytes, CPU time and memory for idleDuration without changes.
func (s *sample) measureIdle(m *starter.Mesh, count *byteCounter) {
	time.Sleep(2 * time.Second)
	bytes, cpu := count.bytes.Load(), controlCPU(m)
	node := cpuSeconds(m.Nodes[0].Pid())
	time.Sleep(idleDuration)
	s.idleBytes = float64(count.bytes.Load()-bytes) / idleDuration.Seconds() / float64(s.nodes)
	s.nodeIdleCores = (cpuSeconds(m.Nodes[0].Pid()) - node) / idleDuration.Seconds()
	for i, now := range controlCPU(m) {
		s.controlCPUCores = max(s.controlCPUCores, (now-cpu[i])/idleDuration.Seconds())
	}
	for _, c := range m.ControlHosts {
		s.controlRSSMB = max(s.controlRSSMB, residentMB(c.Pid()))
	}
}

// controlCPU returns the CPU seconds that each control host has used so far.
func controlCPU(m *starter.Mesh) []float64 {
	var out []float64
	for _, c := range m.ControlHosts {
		out = append(out, cpuSeconds(c.Pid()))
	}
	return out
}

// cpuSeconds returns the CPU seconds, user and system, that a process has used so far. It
// returns 0 if they cannot be read.
func cpuSeconds(pid int) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= 12 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// residentMB returns the resident memory of a process in MB, 0 if it cannot be read.
func residentMB(pid int) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
