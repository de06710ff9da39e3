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
	soakSeeds = flag.Int("soakSeeds", 1, "histories of the soak")
	soakSeed  = flag.Uint64("soakSeed", 1, "seed of the first history")
	soakTime  = flag.Duration("soakTime", 8*time.Second, "how long each history injects faults")
)

const (
	soakNodes = 4
	// soakRecovery bounds the time after the last fault until everything that
	// was accepted is served by every node again.
	soakRecovery = 15 * time.Second
	// soakCalls is the number of callers.
	soakCalls = 8
	// soakEditing is the time between two edits.
	soakEditing = 700 * time.Millisecond
)

// soak is one history: real processes, callers, an operator, and faults from
// outside.
type soak struct {
	*Mesh
	t       *testing.T
	r       *rand.Rand
	proxies []*proxy // proxies stand before the nodes' entry addresses.
	busy    map[string]bool

	mu     sync.Mutex
	ran    []string // ran are the keys whose callers were told that the deposit ran.
	notRun []string // notRun are the keys whose callers were told that it did not.
	routes []string // routes are those of accepted edits.
	broken []string // broken are promises that were seen broken.
}

// fail notes a broken promise.
func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// TestSoak runs histories of random faults against the real programs. Longer
// runs: go test -count=1 -timeout 60m -run TestSoak ./stand/starter -soakSeeds 50.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{Mesh: newMesh(t, soakNodes), t: t, r: rand.New(rand.NewPCG(seed, 3)), busy: map[string]bool{}}
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

func (s *soak) run() {
	is := is.New(s.t)
	ctx, cancel := context.WithCancel(s.t.Context())
	var work conc.WaitGroup
	for i := range soakCalls {
		seed := s.r.Uint64()
		work.Go(func() { s.callRepeatedly(ctx, i, rand.New(rand.NewPCG(seed, 5))) })
	}
	work.Go(func() { s.editRepeatedly(ctx) })
	var faults conc.WaitGroup
	for until := time.Now().Add(*soakTime); time.Now().Before(until); {
		s.fault(&faults)
		time.Sleep(time.Duration(100+s.r.IntN(400)) * time.Millisecond)
	}
	faults.Wait()
	for _, p := range s.proxies {
		p.set(passing)
	}
	s.recover()
	cancel()
	work.Wait()
	s.checkLedger()
	s.t.Logf("%d deposits ran, %d did not, %d edits accepted", len(s.ran), len(s.notRun), len(s.routes))
	is.Equal(s.broken, nil) // promises that were seen broken
	is.True(len(s.ran) > 0)
}

// recover waits until every node serves every accepted route again.
func (s *soak) recover() {
	s.mu.Lock()
	routes := slices.Clone(s.routes)
	s.mu.Unlock()
	until := time.Now().Add(soakRecovery)
	for _, n := range s.Nodes {
		for _, route := range routes {
			err := WaitUntil(s.t.Context(), time.Until(until), route+" on "+n.Name, func() bool {
				status, _, err := Get("http://" + n.EntryAddress + route)
				return err == nil && status == fasthttp.StatusOK
			})
			if err != nil {
				s.fail("an accepted route is not served: %v", err)
				return
			}
		}
	}
}

// callRepeatedly sends deposits with keys of their own, and reads.
func (s *soak) callRepeatedly(ctx context.Context, caller int, r *rand.Rand) {
	for k := 0; ctx.Err() == nil; k++ {
		entry := s.proxies[r.IntN(len(s.proxies))].address
		if r.IntN(3) > 0 {
			s.read(entry, fmt.Sprintf("/designs/%d-%d", caller, k))
			continue
		}
		key := fmt.Sprintf("soak-%d-%d", caller, k)
		_, outcome, _, err := deposit(entry, key)
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

// read checks that an answer is the whole answer to its own request.
func (s *soak) read(entry, path string) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+entry+path, 3*time.Second)
	if err == nil && status == fasthttp.StatusOK && !strings.HasPrefix(string(body), path+" by t") {
		s.fail("a read of %s got %q", path, body)
	}
}

// editRepeatedly adds a route with each edit.
func (s *soak) editRepeatedly(ctx context.Context) {
	text := section
	for i := 0; ctx.Err() == nil; i++ {
		route := fmt.Sprintf("/soak%d", i)
		next := text + fmt.Sprintf("  - {path: %s, methods: [GET], service: designs}\n", route)
		if s.EditSection("designs", next) == nil {
			text = next
			s.mu.Lock()
			s.routes = append(s.routes, route)
			s.mu.Unlock()
		}
		time.Sleep(soakEditing)
	}
}

// checkLedger compares what targets ran with what callers were told.
func (s *soak) checkLedger() {
	runs := map[string]int{}
	for _, key := range ledger(s.t, s.Mesh) {
		runs[key]++
	}
	for key, n := range runs {
		if n > 1 {
			s.fail("deposit %s ran %d times", key, n)
		}
	}
	for _, key := range s.ran {
		if runs[key] == 0 {
			s.fail("deposit %s was answered and never ran", key)
		}
	}
	for _, key := range s.notRun {
		if runs[key] > 0 {
			s.fail("deposit %s was refused as not run and ran", key)
		}
	}
}

// fault does one random thing; what takes time goes on beside the next faults.
func (s *soak) fault(faults *conc.WaitGroup) {
	pause := time.Duration(200+s.r.IntN(1500)) * time.Millisecond
	switch s.r.IntN(8) {
	case 0:
		s.with(faults, s.anyNode(), func(n *Node) { s.killNode(n, pause) })
	case 1:
		s.with(faults, s.anyNode(), func(n *Node) { s.stopNode(n) })
	case 2:
		s.with(faults, s.anyNode(), func(n *Node) { s.freeze(n.Process, pause) })
	case 3:
		s.withControl(faults, func(c *ControlHost) { s.killControl(c, pause) })
	case 4:
		s.withControl(faults, func(c *ControlHost) { s.freeze(c.Process, pause) })
	case 5:
		s.with(faults, s.anyNode(), func(n *Node) { _ = n.Signal(syscall.SIGHUP) })
	case 6:
		s.addTarget()
	case 7:
		p, mode := s.proxies[s.r.IntN(len(s.proxies))], modes[s.r.IntN(len(modes))]
		p.set(mode)
		faults.Go(func() {
			time.Sleep(pause)
			p.set(passing)
		})
	}
}

func (s *soak) anyNode() *Node { return s.Nodes[s.r.IntN(len(s.Nodes))] }

// claim marks a name as under a fault; it is false when it is already.
func (s *soak) claim(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[name] {
		return false
	}
	s.busy[name] = true
	return true
}

func (s *soak) release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, name)
}

// with disturbs a node unless it is disturbed already.
func (s *soak) with(faults *conc.WaitGroup, n *Node, do func(n *Node)) {
	if !s.claim(n.Name) {
		return
	}
	faults.Go(func() {
		defer s.release(n.Name)
		do(n)
	})
}

// withControl disturbs one control host at a time: one loss is to be borne.
func (s *soak) withControl(faults *conc.WaitGroup, do func(c *ControlHost)) {
	c := s.ControlHosts[s.r.IntN(len(s.ControlHosts))]
	if !s.claim("control") {
		return
	}
	faults.Go(func() {
		defer s.release("control")
		do(c)
		if err := c.WaitReady(s.t.Context()); err != nil {
			s.fail("a control host does not come back: %v", err)
		}
	})
}

func (s *soak) killNode(n *Node, pause time.Duration) {
	n.Kill()
	time.Sleep(pause)
	s.back(s.StartNode(n), n.Name)
}

func (s *soak) stopNode(n *Node) {
	if err := n.Stop(); err != nil {
		s.fail("a planned stop of %s: %v", n.Name, err)
	}
	s.back(s.StartNode(n), n.Name)
}

func (s *soak) killControl(c *ControlHost, pause time.Duration) {
	c.Kill()
	time.Sleep(pause)
	s.back(s.StartControlHost(c), c.Name)
}

func (s *soak) back(err error, name string) {
	if err != nil {
		s.fail("start of %s: %v", name, err)
	}
}

func (s *soak) freeze(p *Process, pause time.Duration) {
	s.back(p.Pause(), p.Name)
	time.Sleep(pause)
	s.back(p.Resume(), p.Name)
}

// addTarget starts one more target beside any node, a few at most.
func (s *soak) addTarget() {
	const most = 8
	if len(s.Targets) >= most {
		return
	}
	name := fmt.Sprintf("t%d", len(s.Targets)+1)
	if _, err := s.StartTarget(s.anyNode(), name, "designs", "v1", "--ledger", filepath.Join(s.Folder, "ledger")); err != nil {
		s.fail("start of %s: %v", name, err)
	}
}
