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
	fullSize       = 940 // fullSize is the number of nodes two years from now.
	fullServices   = 39
	changesPerDay  = 790
	secondsPerDay  = 86400
	readyLimit     = 7.0    // readyLimit is in seconds.
	faultFreeLimit = 1.0    // faultFreeLimit is in seconds.
	bytesLimit     = 2048.0 // bytesLimit is in bytes a second for each node.
	cpuLimit       = 0.037  // cpuLimit is in cores for each node.
	memoryLimit    = 128.0  // memoryLimit is in MB for each node.
	idleTime       = 10 * time.Second
	editsPerSize   = 8
	ticksPerSecond = 100 // ticksPerSecond is the unit of CPU time in /proc.
)

// fleet measures what nodes cost their control hosts, with node agents as
// small stand-ins in this process and real control hosts.
type fleet struct {
	options *options
	Sizes   []int `long:"size" description:"Number of nodes; give several for a slope"`
}

// sample is what one size gave.
type sample struct {
	nodes                  int
	ready, converged       float64 // ready and converged are in seconds.
	killed                 float64 // killed is converged with one control host killed.
	idleBytes, editBytes   float64 // idleBytes is per node and second, editBytes per node and edit.
	controlCPU, controlRSS float64 // controlCPU is in cores, controlRSS in MB, of the busiest control host.
	nodeIdle               float64 // nodeIdle is in cores, of one real node.
	nodeCPU, nodeRSS       float64 // nodeCPU is in core seconds an edit, nodeRSS in MB, of one real node.
	announceBytes          float64 // announceBytes is per node for the start of the whole herd.
}

// agent is one node's link to the control hosts.
type agent struct {
	subscriber *subscriber.Subscriber
	keeper     *compiler.TableStore
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
		s, err := c.measure(folder, n)
		if err != nil {
			return errors.WithMessagef(err, "%d nodes", n)
		}
		samples = append(samples, s)
		list = append(list, s.figures()...)
	}
	return c.options.print(append(list, slopes(samples)...))
}

func (s sample) figures() []figure {
	name := func(what string) string { return fmt.Sprintf("%d nodes: %s", s.nodes, what) }
	return []figure{
		atMost(name("herd, all ready"), s.ready, "s", readyLimit),
		atMost(name("convergence, worst"), s.converged, "s", faultFreeLimit),
		atMost(name("convergence with a control host killed, worst"), s.killed, "s", readyLimit),
		plain(name("bytes at the herd's start, each"), s.announceBytes, "B"),
		plain(name("idle control bytes, each"), s.idleBytes, "B/s"),
		plain(name("bytes of an edit, each"), s.editBytes, "B"),
		plain(name("busiest control host, idle"), s.controlCPU, "cores"),
		plain(name("largest control host"), s.controlRSS, "MB"),
		plain(name("one node, each edit"), s.nodeCPU, "core s"),
		atMost(name("one node"), s.nodeRSS, "MB", memoryLimit),
	}
}

// slopes fits lines through the samples and carries them to the full size.
func slopes(samples []sample) []figure {
	if len(samples) < 2 {
		return nil
	}
	last := samples[len(samples)-1]
	perNode := last.idleBytes + last.editBytes*changesPerDay/secondsPerDay
	list := []figure{atMost(fmt.Sprintf("control bytes, each, at %d changes a day", changesPerDay), perNode, "B/s", bytesLimit)}
	for _, f := range []struct {
		name, unit string
		value      func(sample) float64
		limit      float64
	}{
		{"herd, all ready", "s", func(s sample) float64 { return s.ready }, readyLimit},
		{"convergence, worst", "s", func(s sample) float64 { return s.converged }, faultFreeLimit},
		{"busiest control host, idle", "cores", func(s sample) float64 { return s.controlCPU }, 0},
		{"largest control host", "MB", func(s sample) float64 { return s.controlRSS }, 0},
		{"one node, idle", "cores", func(s sample) float64 { return s.nodeIdle }, cpuLimit},
		{"one node, each edit", "core s", func(s sample) float64 { return s.nodeCPU }, 0},
		{"one node", "MB", func(s sample) float64 { return s.nodeRSS }, memoryLimit},
	} {
		slope, base, spread := fit(samples, f.value)
		name := fmt.Sprintf("%d nodes by the slope: %s (slope %.3g a node, spread %.2g)", fullSize, f.name, slope, spread)
		value := base + slope*fullSize
		if f.limit > 0 {
			list = append(list, atMost(name, value, f.unit, f.limit))
			continue
		}
		list = append(list, plain(name, value, f.unit))
	}
	return list
}

// fit returns the least-squares line and the largest distance from it.
func fit(samples []sample, value func(sample) float64) (slope, base, spread float64) {
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

// counter counts the bytes of all agents' connections.
type counter struct{ bytes atomic.Int64 }

func (c *counter) wrap(conn net.Conn) net.Conn { return countedConn{conn, c} }

type countedConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c *fleet) measure(folder string, n int) (sample, error) {
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
	if err := m.EditSection("designs", document(0)); err != nil {
		return s, err
	}
	var count counter
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
	if s.ready, err = allReady(agents, n); err != nil {
		return s, err
	}
	s.announceBytes = float64(count.bytes.Load()) / float64(n)
	s.idle(m, &count)
	before, cpu := count.bytes.Load(), cpuOf(m.Nodes[0].Pid())
	if s.converged, err = editAll(m, agents, 1); err != nil {
		return s, err
	}
	s.editBytes = max(0, float64(count.bytes.Load()-before)/float64(n*editsPerSize)-s.idleBytes*s.converged)
	s.nodeCPU = (cpuOf(m.Nodes[0].Pid()) - cpu) / editsPerSize
	s.nodeRSS = rssOf(m.Nodes[0].Pid())
	m.ControlHosts[0].Kill()
	s.killed, err = editAll(m, agents, 1+editsPerSize)
	return s, err
}

// document has all services, each with a read and a deposit route.
func document(change int) string {
	var b strings.Builder
	b.WriteString("services:\n")
	for i := range fullServices {
		fmt.Fprintf(&b, "  - {name: svc%d, slots: 10}\n", i)
	}
	b.WriteString("routes:\n")
	for i := range fullServices {
		fmt.Fprintf(&b, "  - {path: /svc%d, methods: [GET], service: svc%d, retries: 2}\n", i, i)
		fmt.Fprintf(&b, "  - {path: /svc%d, methods: [POST], service: svc%d, nonIdempotent: true}\n", i, i)
	}
	fmt.Fprintf(&b, "# change %d\n", change)
	return b.String()
}

func startAgents(m *starter.Mesh, n int, count *counter, wait *conc.WaitGroup) ([]*agent, error) {
	var addresses []string
	for _, c := range m.ControlHosts {
		addresses = append(addresses, c.RPCAddress)
	}
	var agents []*agent
	for i := range n {
		ctx, cancel := context.WithCancel(context.Background())
		a := &agent{keeper: &compiler.TableStore{}, cancel: cancel}
		targets := &registrar.Registrar{}
		err := targets.Announce(registrar.Announcement{Target: "t1", Service: fmt.Sprintf("svc%d", i%fullServices), Address: "127.0.0.1:9"})
		if err != nil {
			cancel()
			return agents, err
		}
		hosts := locator.New(addresses...)
		pool := &messenger.Pool{Preface: messenger.PrefaceNode, MaxFrameBytes: messenger.MaxNodeFrameBytes, WrapConn: count.wrap}
		a.subscriber = &subscriber.Subscriber{
			Node: fmt.Sprintf("agent-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%7), Address: "127.0.0.1:9", Hosts: hosts,
			Tables: a.keeper, Registrar: targets, Client: &messenger.Client{Hosts: hosts, Pool: pool}, Log: log.New(io.Discard), WrapConn: count.wrap,
		}
		agents = append(agents, a)
		wait.Go(func() { _ = a.subscriber.Run(ctx) })
		// A stand-in has no server, so its lease is renewed here.
		wait.Go(func() { renew(ctx, targets, i) })
	}
	return agents, nil
}

func renew(ctx context.Context, targets *registrar.Registrar, i int) {
	for ctx.Err() == nil {
		_ = targets.Announce(registrar.Announcement{Target: "t1", Service: fmt.Sprintf("svc%d", i%fullServices), Address: "127.0.0.1:9"})
		select {
		case <-ctx.Done():
		case <-time.After(registrar.LeaseDuration / 3):
		}
	}
}

// allReady waits until every agent's table holds every agent's target.
func allReady(agents []*agent, n int) (float64, error) {
	start := time.Now()
	err := starter.WaitUntil(context.Background(), time.Minute, "all tables whole", func() bool {
		return !slices.ContainsFunc(agents, func(a *agent) bool { return endpoints(a.keeper.Table()) < n })
	})
	return time.Since(start).Seconds(), err
}

func endpoints(t *compiler.Table) int {
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

// editAll makes edits and returns the worst time until one is in force
// everywhere, counted from the operator's answer.
func editAll(m *starter.Mesh, agents []*agent, first int) (float64, error) {
	worst := 0.0
	for i := range editsPerSize {
		if err := m.EditSection("designs", document(first+i)); err != nil {
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

// idle measures a while without changes.
func (s *sample) idle(m *starter.Mesh, count *counter) {
	time.Sleep(2 * time.Second)
	bytes, cpu := count.bytes.Load(), controlCPU(m)
	node := cpuOf(m.Nodes[0].Pid())
	time.Sleep(idleTime)
	s.idleBytes = float64(count.bytes.Load()-bytes) / idleTime.Seconds() / float64(s.nodes)
	s.nodeIdle = (cpuOf(m.Nodes[0].Pid()) - node) / idleTime.Seconds()
	for i, now := range controlCPU(m) {
		s.controlCPU = max(s.controlCPU, (now-cpu[i])/idleTime.Seconds())
	}
	for _, c := range m.ControlHosts {
		s.controlRSS = max(s.controlRSS, rssOf(c.Pid()))
	}
}

// controlCPU returns the CPU seconds that each control host has used.
func controlCPU(m *starter.Mesh) []float64 {
	var out []float64
	for _, c := range m.ControlHosts {
		out = append(out, cpuOf(c.Pid()))
	}
	return out
}

// cpuOf returns the CPU seconds that a process has used.
func cpuOf(pid int) float64 {
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

// rssOf returns the resident memory of a process in MB.
func rssOf(pid int) float64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
