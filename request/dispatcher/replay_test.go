package dispatcher

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/request/limiter"
	"github.com/hornbeamrack/hornbeamrack/request/router"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

var (
	replaySeeds = flag.Int("replaySeeds", 1, "seeds of each pattern")
	replaySeed  = flag.Uint64("replaySeed", 0, "seed of the first replay")
)

// pattern is a load pattern of a mesh, replayed in simulated time.
type pattern struct {
	name             string
	entries          int
	targets, slots   int
	speeds           []float64                      // speeds are the factors on the processing time; the targets take them in rotation.
	load             func(at time.Duration) float64 // load is the offered load as a part of the capacity of all slots.
	slow             func(target int, at time.Duration) float64
	latencyObjective time.Duration
	restart          time.Duration // restart is when all processes and targets go down for downDuration, 0 for never.
	release          time.Duration // release is when one target in releaseStride is replaced by a new one, 0 for never.
}

const (
	replayDuration     = 9 * time.Second
	meanProcessingTime = 220 * time.Millisecond
	nearDelay          = 100 * time.Microsecond
	farDelay           = 1400 * time.Microsecond
	zones              = 3
	queueLimit         = 40
	maxQueueWait       = time.Second // maxQueueWait is the longest time that a request waits for a slot.
	downDuration       = 1500 * time.Millisecond
	coldDuration       = 3 * time.Second // coldDuration is the time after a restart in which processing times are doubled.
	maxTries           = 3               // maxTries bounds the tries of a caller.
	// releaseStride is the number of targets of which a release replaces one.
	releaseStride = 2
	route         = "/designs"
)

// mesh simulates nodes and targets. The limiters, balancers and dispatchers are
// the real ones.
type mesh struct {
	pattern
	startedAt     time.Time
	balancers     []*router.Balancer
	owners        []*registrar.Target
	responseBytes int                 // responseBytes is the size of a response body.
	services      []*compiler.Service // services holds the endpoints in the view of each data centre.

	mu              sync.Mutex     // mu guards services, owners and the fields below.
	incarnation     int            // incarnation is the number of restarts.
	inTime, total   [2]int         // inTime and total count requests by rank.
	crossDataCentre int            // crossDataCentre counts the responses from another data centre.
	sent            map[[2]int]int // sent counts the requests in flight by entry and target, for byTwoChoices.
}

func newMesh(p pattern) *mesh {
	m := &mesh{pattern: p, startedAt: time.Now(), sent: map[[2]int]int{}}
	m.start()
	m.services = m.table(targetName)
	return m
}

// table returns the endpoints in the view of each data centre; name returns the
// name of target i.
func (m *mesh) table(name func(i int) string) []*compiler.Service {
	var services []*compiler.Service
	for range zones {
		services = append(services, &compiler.Service{Pools: []*compiler.Pool{{Version: "v1"}}})
	}
	for i := range m.targets {
		e := applier.Endpoint{EndpointKey: applier.EndpointKey{Node: targetName(i), Target: name(i)}, Slots: m.slots, Connections: i}
		for z, s := range services {
			if i%zones == z {
				s.Pools[0].Local = append(s.Pools[0].Local, e)
			} else {
				s.Pools[0].Remote = append(s.Pools[0].Remote, e)
			}
		}
	}
	return services
}

// replace replaces one target in releaseStride by a new, cold one. Every entry node
// receives the new endpoints at the same moment and has no measurement of them.
func (m *mesh) replace() {
	fresh := m.table(func(i int) string {
		if i%releaseStride == 0 {
			return targetName(i) + "-new"
		}
		return targetName(i)
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.services = fresh
	m.owners = slices.Clone(m.owners)
	for i := 0; i < m.targets; i += releaseStride {
		m.owners[i] = m.newTarget(i)
		m.owners[i].SetColdUntil(time.Now().Add(coldDuration))
	}
}

// servicesOf returns the endpoints in the view of an entry node.
func (m *mesh) servicesOf(entry int) *compiler.Service {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.services[entry%zones]
}

// owner returns the owner node's record of a target.
func (m *mesh) owner(i int) *registrar.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[i]
}

func (m *mesh) newTarget(i int) *registrar.Target {
	return &registrar.Target{
		Announcement: registrar.Announcement{Target: targetName(i), Slots: m.slots},
		Limiter:      &limiter.Limiter{Slots: m.slots, QueueLimit: queueLimit},
	}
}

func targetName(i int) string { return fmt.Sprintf("t%d", i) }

// start starts all nodes without any measurement.
func (m *mesh) start() {
	m.balancers, m.owners = nil, nil
	for range m.entries {
		m.balancers = append(m.balancers, &router.Balancer{})
	}
	for i := range m.targets {
		t := m.newTarget(i)
		if m.incarnation > 0 {
			t.SetColdUntil(time.Now().Add(coldDuration))
		}
		m.owners = append(m.owners, t)
	}
}

// down reports whether all processes are down.
func (m *mesh) down() bool {
	at := time.Since(m.startedAt)
	return m.restart > 0 && at >= m.restart && at < m.restart+downDuration
}

// slowdown returns the current factor on the processing time of a target.
func (m *mesh) slowdown(target int) float64 {
	x := m.speeds[target%len(m.speeds)]
	at := time.Since(m.startedAt)
	if m.slow != nil {
		x *= m.slow(target, at)
	}
	if m.restart > 0 && at >= m.restart && at < m.restart+downDuration+coldDuration {
		x *= 2
	}
	if m.release > 0 && target%releaseStride == 0 && at >= m.release && at < m.release+coldDuration {
		x *= 2
	}
	return x
}

// capacity returns the number of requests per second that all targets can process.
func (m *mesh) capacity() float64 {
	sum := 0.0
	for i := range m.owners {
		sum += float64(m.slots) / meanProcessingTime.Seconds() / m.speeds[i%len(m.speeds)]
	}
	return sum
}

// replay sends the pattern's requests through a placement function and returns the
// parts of the requests that met their soft deadline, by rank.
func (m *mesh) replay(seed uint64, place func(m *mesh, entry int, r *simulatedRequest) bool) [2]float64 {
	g := rand.New(rand.NewPCG(seed, 11))
	rate := m.capacity()
	var pending sync.WaitGroup
	if m.restart > 0 {
		pending.Go(func() {
			time.Sleep(m.restart + downDuration)
			m.incarnation++
			m.start()
		})
	}
	if m.release > 0 {
		pending.Go(func() {
			time.Sleep(m.release)
			m.replace()
		})
	}
	for at := time.Duration(0); at < replayDuration; {
		pause := time.Duration(g.ExpFloat64() / (rate * m.load(at)) * float64(time.Second))
		time.Sleep(pause)
		at += pause
		r := &simulatedRequest{sentAt: time.Now(), processingTime: time.Duration((0.7 + 0.6*g.Float64()) * float64(meanProcessingTime)), softDeadline: time.Now().Add(m.latencyObjective)}
		if g.IntN(4) == 0 {
			r.rank, r.softDeadline = 1, r.softDeadline.Add(m.latencyObjective/4)
		}
		m.total[r.rank]++
		entry := g.IntN(m.entries)
		retry := time.Duration(300+g.IntN(200)) * time.Millisecond
		pending.Go(func() { m.sendWithRetries(entry, r, retry, place) })
	}
	pending.Wait()
	return [2]float64{float64(m.inTime[0]) / float64(m.total[0]), float64(m.inTime[1]) / float64(m.total[1])}
}

// sendWithRetries simulates a caller that retries when its request is rejected or
// its connection ends.
func (m *mesh) sendWithRetries(entry int, r *simulatedRequest, retry time.Duration, place func(m *mesh, entry int, r *simulatedRequest) bool) {
	for range maxTries {
		r.sentAt = time.Now()
		incarnation := m.incarnation
		if !m.down() && place(m, entry, r) && m.incarnation == incarnation && !m.down() {
			m.finish(r)
			return
		}
		time.Sleep(retry)
	}
}

// simulatedRequest is one request of a replay.
type simulatedRequest struct {
	sentAt, softDeadline time.Time
	processingTime       time.Duration
	rank                 int
}

// process runs a request at a target and releases its slot.
func (m *mesh) process(t *registrar.Target, slot limiter.Slot, target int, r *simulatedRequest) {
	took := float64(r.processingTime) * m.slowdown(target)
	end := t.BeginRequest(route)
	time.Sleep(time.Duration(took))
	end()
	t.RecordResponse(route, time.Duration(took), 0)
	slot.Release()
}

// finish counts a request that got a response before its soft deadline.
func (m *mesh) finish(r *simulatedRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !time.Now().After(r.softDeadline) {
		m.inTime[r.rank]++
	}
}

// sameDataCentre reports whether an entry and a target are in one data centre.
func sameDataCentre(entry, target int) bool { return entry%zones == target%zones }

// networkDelay returns the one-way network latency between an entry node and a target.
func networkDelay(entry, target int) time.Duration {
	if sameDataCentre(entry, target) {
		return nearDelay
	}
	return farDelay
}

// countCrossDataCentre counts a response if it came from another data centre.
func (m *mesh) countCrossDataCentre(entry, target int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !sameDataCentre(entry, target) {
		m.crossDataCentre++
	}
}

// byDispatcher places a request as nodes do.
func byDispatcher(m *mesh, entry int, r *simulatedRequest) bool {
	balancer := m.balancers[entry]
	d := &Dispatcher{Balancer: balancer, Query: router.Query{Service: m.servicesOf(entry), Version: "v1", Route: route, LatencyObjective: m.latencyObjective}}
	for o, ok := d.Next(); ok; o, ok = d.Next() {
		target := o.Connections
		t := m.owner(target)
		order := limiter.Request{Rank: r.rank, SoftDeadline: r.softDeadline, QueueDeadline: r.sentAt.Add(maxQueueWait), NoWait: o.NoWait}
		done := balancer.Begin(o.EndpointKey, o.AverageTime)
		time.Sleep(networkDelay(entry, target))
		order.ProcessingTime = cmp.Or(t.ProcessingTime(route), o.ProcessingTime)
		slot, err := t.Limiter.Acquire(context.Background(), order)
		if err == nil {
			m.process(t, slot, target, r)
		}
		order.ProcessingTime = t.ProcessingTime(route)
		report := t.LoadReport(order)
		time.Sleep(networkDelay(entry, target))
		done()
		balancer.UpdateLoad(o.Endpoint, route, report)
		if err == nil {
			balancer.RecordResponse(o.EndpointKey, route, report, m.responseBytes)
			m.countCrossDataCentre(entry, target)
			return true
		}
		d.RecordFailure(o, false)
	}
	return false
}

// byTwoChoices is the baseline without load reports: it sends the request to the
// less busy of two random targets, which serves requests in order of arrival.
func byTwoChoices(m *mesh, entry int, r *simulatedRequest) bool {
	a, b := rand.IntN(m.targets), rand.IntN(m.targets)
	m.mu.Lock()
	if m.sent[[2]int{entry, b}] < m.sent[[2]int{entry, a}] {
		a = b
	}
	m.sent[[2]int{entry, a}]++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.sent[[2]int{entry, a}]--
	}()
	time.Sleep(networkDelay(entry, a))
	t := m.owner(a)
	// Requests with equal soft deadlines and no processing time are served in order
	// of arrival.
	order := limiter.Request{SoftDeadline: r.sentAt.Add(time.Hour), QueueDeadline: r.sentAt.Add(maxQueueWait)}
	slot, err := t.Limiter.Acquire(context.Background(), order)
	if err != nil {
		return false
	}
	m.process(t, slot, a, r)
	time.Sleep(networkDelay(entry, a))
	return true
}

// bound returns about the largest part of the requests that can meet their soft
// deadline: all slots serve one queue, every processing time is known, and no
// request is started that would miss its soft deadline.
func (p pattern) bound(seed uint64) [2]float64 {
	var out [2]float64
	m := newMesh(p)
	out = m.replay(seed, func(m *mesh, _ int, r *simulatedRequest) bool {
		for {
			best, least := -1, time.Duration(math.MaxInt64)
			for i := range m.targets {
				t := m.owner(i)
				took := time.Duration(float64(r.processingTime) * m.slowdown(i))
				if t.Limiter.Used() < m.slots && took < least {
					best, least = i, took
				}
			}
			if best >= 0 && !time.Now().Add(least).After(r.softDeadline) {
				t := m.owner(best)
				if slot, err := t.Limiter.Acquire(context.Background(), limiter.Request{NoWait: true}); err == nil {
					m.process(t, slot, best, r)
					return true
				}
			}
			if time.Now().After(r.softDeadline) {
				return false
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	return out
}

func steady(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func slowdownOfSome(share int, times float64) func(int, time.Duration) float64 {
	return func(target int, at time.Duration) float64 {
		if target%share == 0 && at > 4*time.Second && at < 9*time.Second {
			return times
		}
		return 1
	}
}

// mixedSpeeds returns factors on the processing time that differ threefold.
func mixedSpeeds() []float64 { return []float64{0.5, 1, 1, 1.5} }

// patterns returns the load patterns for two sizes of mesh.
func patterns() []pattern {
	mixed := mixedSpeeds()
	burst := func(at time.Duration) float64 {
		if at > 4*time.Second && at < 7*time.Second {
			return 1.3
		}
		return 0.7
	}
	return []pattern{
		{"54 targets, half loaded", 68, 54, 9, mixed, steady(0.5), nil, 800 * time.Millisecond, 0, 0},
		{"54 targets, at 0.9 of capacity", 68, 54, 9, mixed, steady(0.9), nil, 800 * time.Millisecond, 0, 0},
		{"54 targets, at 1.3 of capacity", 68, 54, 9, mixed, steady(1.3), nil, 800 * time.Millisecond, 0, 0},
		{"54 targets, burst of 1.8 times for 3 s", 68, 54, 9, mixed, burst, nil, 800 * time.Millisecond, 0, 0},
		{"54 targets, one in six 8 times slower", 68, 54, 9, mixed, steady(0.6), slowdownOfSome(6, 8), 800 * time.Millisecond, 0, 0},
		{"54 targets, all restarted", 68, 54, 9, mixed, steady(0.45), nil, 800 * time.Millisecond, 3 * time.Second, 0},
		{"6 targets, at 0.9 of capacity", 9, 6, 9, mixed, steady(0.9), nil, 600 * time.Millisecond, 0, 0},
		{"6 targets, at 1.3 of capacity", 9, 6, 9, mixed, steady(1.3), nil, 600 * time.Millisecond, 0, 0},
		{"6 targets, burst of 1.8 times for 3 s", 9, 6, 9, mixed, burst, nil, 600 * time.Millisecond, 0, 0},
		{"6 targets, one 5 times slower", 9, 6, 9, mixed, steady(0.6), slowdownOfSome(6, 5), 600 * time.Millisecond, 0, 0},
	}
}

// TestGoodputOfPlacement guards against a placement of requests that loses goodput.
// It replays load patterns of whole meshes and compares the dispatcher with the
// two-choices baseline and with an upper bound that has full information.
func TestGoodputOfPlacement(t *testing.T) {
	for _, p := range patterns() {
		t.Run(p.name, func(t *testing.T) { p.check(t) })
	}
}

// TestGoodputOfRelease guards against lost goodput when many entry nodes receive
// new targets at the same moment during high load. An entry node's measurements of
// a target are then old or missing.
func TestGoodputOfRelease(t *testing.T) {
	p := pattern{"54 targets, half of them replaced", 281, 54, 7, mixedSpeeds(), steady(0.85), nil, 800 * time.Millisecond, 0, 4 * time.Second}
	p.check(t)
}

// TestGoodputOfSmallMeshAfterRestart guards against lost goodput in a mesh of six
// targets after a restart of all processes and targets.
func TestGoodputOfSmallMeshAfterRestart(t *testing.T) {
	p := pattern{"6 targets, all restarted", 9, 6, 9, mixedSpeeds(), steady(0.6), nil, 600 * time.Millisecond, 3 * time.Second, 0}
	p.check(t)
}

// TestResponsesStayInTheirDataCentre guards against needless traffic between data
// centres. In a half-loaded mesh whose targets differ in speed, few responses may
// come from another data centre for a speed that the soft deadline does not need,
// and fewer the larger they are.
func TestResponsesStayInTheirDataCentre(t *testing.T) {
	rows := []struct {
		name  string
		bytes int
		most  float64 // most bounds the part of the responses from another data centre.
	}{
		{"small responses", 400, 0.4},
		{"responses of 5 KB", 5 << 10, 0.1},
		{"responses of 300 KB", 300 << 10, 0.05},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			p := pattern{"6 targets, half loaded", 9, 6, 9, mixedSpeeds(), steady(0.5), nil, 600 * time.Millisecond, 0, 0}
			var met [2]float64
			var crossed float64
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(p)
				m.responseBytes = row.bytes
				met = m.replay(*replaySeed, byDispatcher)
				crossed = float64(m.crossDataCentre) / float64(m.total[0]+m.total[1])
			})
			t.Logf("met the soft deadline: rank 0 %.3f, rank 1 %.3f; from another data centre %.3f", met[0], met[1], crossed)
			is.True(crossed <= row.most)
			is.True(met[0] >= 0.99 && met[1] >= 0.99) // callers still meet their soft deadlines
		})
	}
}

// check replays the pattern with each seed.
func (p pattern) check(t *testing.T) {
	credit := func(s [2]float64) float64 { return s[0]*0.75 + s[1]*2*0.25 }
	for i := range *replaySeeds {
		seed := *replaySeed + uint64(i)
		var now, before, bound [2]float64
		synctest.Test(t, func(t *testing.T) { now = newMesh(p).replay(seed, byDispatcher) })
		synctest.Test(t, func(t *testing.T) { before = newMesh(p).replay(seed, byTwoChoices) })
		synctest.Test(t, func(t *testing.T) { bound = p.bound(seed) })
		t.Logf("seed %d: met the soft deadline: rank 0 %.3f, rank 1 %.3f; two choices %.3f %.3f; bound %.3f %.3f", seed, now[0], now[1], before[0], before[1], bound[0], bound[1])
		is := is.NewRelaxed(t)
		is.True(credit(now) >= credit(before))    // never below the two-choices baseline
		is.True(credit(now) >= 0.9*credit(bound)) // at least nine tenths of the bound
		is.True(now[1] >= now[0]-0.05)            // requests of higher rank are not served less
	}
}
