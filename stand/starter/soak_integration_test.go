package starter

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

var (
	soakSeeds         = flag.Int("soakSeeds", 1, "number of histories of the soak test")
	soakSeed          = flag.Uint64("soakSeed", 1, "seed of the first history")
	soakFaultDuration = flag.Duration("soakTime", 8*time.Second, "time for which each history injects faults")
)

const (
	soakNodes = 4
	// soakRecoveryTimeout bounds the time from the end of the last fault until every node
	// serves every accepted route.
	soakRecoveryTimeout = 15 * time.Second
	// soakCallers is the number of concurrent callers.
	soakCallers = 8
	// soakEditInterval is the time between two edits.
	soakEditInterval = 700 * time.Millisecond
)

// soak is one history: real processes, callers and an operator, and random faults of
// processes and connections.
type soak struct {
	*Mesh
	t         *testing.T
	r         *rand.Rand
	proxies   []*proxy        // proxies forward to the nodes' entry addresses, one each.
	disturbed map[string]bool // disturbed holds the names under a fault; mu guards it.

	mu         sync.Mutex
	ran        []string // ran are the keys of deposits whose response has the outcome "ran".
	notRun     []string // notRun are the keys of deposits whose response has the outcome "notRun".
	routes     []string // routes are the paths that accepted edits have added.
	violations []string // violations describe each guarantee that was violated.
}

// recordViolation stores the description of a violated guarantee; run fails the test
// when there is any.
func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// TestSoak guards against combinations of faults that no other test covers. Each history
// injects random faults into the real programs under load, then checks that no deposit
// ran twice, that every reported outcome is true, that no response belongs to another
// request, and that accepted routes are served. Longer runs: go test -count=1 -timeout
// 60m -run TestSoak ./stand/starter -soakSeeds 50.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// newSoak starts a mesh with a proxy before each node.
func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{Mesh: newMesh(t, soakNodes), t: t, r: rand.New(rand.NewPCG(seed, 3)), disturbed: map[string]bool{}}
	for _, n := range s.Nodes {
		p, err := newProxy(n.EntryAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.close)
		s.proxies = append(s.proxies, p)
	}
	return s
}

// run injects faults under load for soakFaultDuration, waits for the recovery, and checks
// the guarantees.
func (s *soak) run() {
	is := is.New(s.t)
	ctx, cancel := context.WithCancel(s.t.Context())
	var work conc.WaitGroup
	for i := range soakCallers {
		seed := s.r.Uint64()
		work.Go(func() { s.callRepeatedly(ctx, i, rand.New(rand.NewPCG(seed, 5))) })
	}
	work.Go(func() { s.editRepeatedly(ctx) })
	var faults conc.WaitGroup
	for until := time.Now().Add(*soakFaultDuration); time.Now().Before(until); {
		s.injectFault(&faults)
		time.Sleep(time.Duration(100+s.r.IntN(400)) * time.Millisecond)
	}
	faults.Wait()
	for _, p := range s.proxies {
		p.setMode(modeForward)
	}
	s.waitUntilRecovered()
	cancel()
	work.Wait()
	s.checkLedger()
	s.t.Logf("%d deposits ran, %d did not, %d edits accepted", len(s.ran), len(s.notRun), len(s.routes))
	is.Equal(s.violations, nil) // no guarantee was violated
	is.True(len(s.ran) > 0)
}

// waitUntilRecovered waits until every node serves every accepted route, and records a
// violation after soakRecoveryTimeout.
func (s *soak) waitUntilRecovered() {
	s.mu.Lock()
	routes := slices.Clone(s.routes)
	s.mu.Unlock()
	until := time.Now().Add(soakRecoveryTimeout)
	for _, n := range s.Nodes {
		for _, route := range routes {
			err := WaitUntil(s.t.Context(), time.Until(until), route+" on "+n.Name, func() bool {
				status, _, err := Get("http://" + n.EntryAddress + route)
				return err == nil && status == fasthttp.StatusOK
			})
			if err != nil {
				s.recordViolation("an accepted route is not served: %v", err)
				return
			}
		}
	}
}

// callRepeatedly sends reads, and deposits with a new key each, until ctx ends.
func (s *soak) callRepeatedly(ctx context.Context, caller int, r *rand.Rand) {
	for k := 0; ctx.Err() == nil; k++ {
		entry := s.proxies[r.IntN(len(s.proxies))].address
		if r.IntN(3) > 0 {
			s.read(entry, fmt.Sprintf("/designs/%d-%d", caller, k))
			continue
		}
		key := fmt.Sprintf("soak-%d-%d", caller, k)
		_, outcome, _, err := sendDeposit(entry, key)
		s.mu.Lock()
		switch {
		case err != nil:
		case outcome == "ran":
			s.ran = append(s.ran, key)
		case outcome == "notRun":
			s.notRun = append(s.notRun, key)
		}
		s.mu.Unlock()
	}
}

// read checks that a response with status 200 belongs to this request.
func (s *soak) read(entry, path string) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+entry+path, 3*time.Second)
	if err == nil && status == fasthttp.StatusOK && !strings.HasPrefix(string(body), path+" by t") {
		s.recordViolation("a read of %s returned %q", path, body)
	}
}

// editRepeatedly adds one route with each edit until ctx ends.
func (s *soak) editRepeatedly(ctx context.Context) {
	text := designsSection
	for i := 0; ctx.Err() == nil; i++ {
		route := fmt.Sprintf("/soak%d", i)
		next := text + fmt.Sprintf("  - {path: %s, methods: [GET], service: designs}\n", route)
		if s.EditSection("designs", next) == nil {
			text = next
			s.mu.Lock()
			s.routes = append(s.routes, route)
			s.mu.Unlock()
		}
		time.Sleep(soakEditInterval)
	}
}

// checkLedger compares the deposits that targets ran with the outcomes that callers
// received.
func (s *soak) checkLedger() {
	runs := map[string]int{}
	for _, key := range readLedger(s.t, s.Mesh) {
		runs[key]++
	}
	for key, n := range runs {
		if n > 1 {
			s.recordViolation("deposit %s ran %d times", key, n)
		}
	}
	for _, key := range s.ran {
		if runs[key] == 0 {
			s.recordViolation("deposit %s was reported as run and never ran", key)
		}
	}
	for _, key := range s.notRun {
		if runs[key] > 0 {
			s.recordViolation("deposit %s was reported as not run and ran", key)
		}
	}
}

// injectFault starts one random fault. A fault that lasts continues in the background,
// together with later ones.
func (s *soak) injectFault(faults *conc.WaitGroup) {
	pause := time.Duration(200+s.r.IntN(1500)) * time.Millisecond
	switch s.r.IntN(8) {
	case 0:
		s.disturbNode(faults, s.randomNode(), func(n *Node) { s.killNode(n, pause) })
	case 1:
		s.disturbNode(faults, s.randomNode(), func(n *Node) { s.stopNode(n) })
	case 2:
		s.disturbNode(faults, s.randomNode(), func(n *Node) { s.pauseProcess(n.Process, pause) })
	case 3:
		s.disturbControlHost(faults, func(c *ControlHost) { s.killControl(c, pause) })
	case 4:
		s.disturbControlHost(faults, func(c *ControlHost) { s.pauseProcess(c.Process, pause) })
	case 5:
		s.disturbNode(faults, s.randomNode(), func(n *Node) { _ = n.Signal(syscall.SIGHUP) })
	case 6:
		s.addTarget()
	case 7:
		p, mode := s.proxies[s.r.IntN(len(s.proxies))], faultModes[s.r.IntN(len(faultModes))]
		p.setMode(mode)
		faults.Go(func() {
			time.Sleep(pause)
			p.setMode(modeForward)
		})
	}
}

// randomNode returns one of the nodes.
func (s *soak) randomNode() *Node { return s.Nodes[s.r.IntN(len(s.Nodes))] }

// markDisturbed marks a name as under a fault, or returns false if it is already.
func (s *soak) markDisturbed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disturbed[name] {
		return false
	}
	s.disturbed[name] = true
	return true
}

func (s *soak) clearDisturbed(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.disturbed, name)
}

// disturbNode runs a fault on a node in the background, unless the node is under one.
func (s *soak) disturbNode(faults *conc.WaitGroup, n *Node, do func(n *Node)) {
	if !s.markDisturbed(n.Name) {
		return
	}
	faults.Go(func() {
		defer s.clearDisturbed(n.Name)
		do(n)
	})
}

// disturbControlHost runs a fault on a random control host in the background, unless any
// control host is under one: three control hosts tolerate the loss of one.
func (s *soak) disturbControlHost(faults *conc.WaitGroup, do func(c *ControlHost)) {
	c := s.ControlHosts[s.r.IntN(len(s.ControlHosts))]
	if !s.markDisturbed("control") {
		return
	}
	faults.Go(func() {
		defer s.clearDisturbed("control")
		do(c)
		if err := c.WaitReady(s.t.Context()); err != nil {
			s.recordViolation("a control host is not ready after a fault: %v", err)
		}
	})
}

func (s *soak) killNode(n *Node, pause time.Duration) {
	n.Kill()
	time.Sleep(pause)
	s.recordError(s.StartNode(n), n.Name)
}

func (s *soak) stopNode(n *Node) {
	if err := n.Stop(); err != nil {
		s.recordViolation("planned stop of %s: %v", n.Name, err)
	}
	s.recordError(s.StartNode(n), n.Name)
}

func (s *soak) killControl(c *ControlHost, pause time.Duration) {
	c.Kill()
	time.Sleep(pause)
	s.recordError(s.StartControlHost(c), c.Name)
}

// recordError records a violation if starting, pausing or resuming a process failed.
func (s *soak) recordError(err error, name string) {
	if err != nil {
		s.recordViolation("start, pause or resume %s: %v", name, err)
	}
}

func (s *soak) pauseProcess(p *Process, pause time.Duration) {
	s.recordError(p.Pause(), p.Name)
	time.Sleep(pause)
	s.recordError(p.Resume(), p.Name)
}

// addTarget starts one more target on the host of a random node, up to maxTargets.
func (s *soak) addTarget() {
	const maxTargets = 8
	if len(s.Targets) >= maxTargets {
		return
	}
	name := fmt.Sprintf("t%d", len(s.Targets)+1)
	if _, err := s.StartTarget(s.randomNode(), name, "designs", "v1", "--ledger", filepath.Join(s.Folder, "ledger")); err != nil {
		s.recordViolation("start of %s: %v", name, err)
	}
}
