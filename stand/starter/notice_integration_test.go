package starter

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// The indexes of the nodes of a noticeMesh: the node beside the target that makes
// statements about itself, and the other nodes, the first of which has a target too.
const (
	statingNode    = 3
	firstOtherNode = 4
	noticeNodes    = 6
)

// noticeTarget is a stand-in target that makes statements about itself in its responses.
type noticeTarget struct {
	id       string
	address  string
	node     int
	sequence atomic.Int64

	mu       sync.Mutex
	headers  map[string]string // headers are set on each response.
	arrivals []arrival
	ids      map[string]bool // ids holds the requests that arrived.
	// depositTime is how long requests with the method POST are processed, 0 for as long as
	// others.
	depositTime time.Duration
}

// arrival is a request that reached a target.
type arrival struct {
	at    time.Time
	sent  time.Time // sent is when the caller sent it.
	entry int       // entry is the index of the node that it was sent to.
}

// startNoticeTarget starts a target that announces itself to a node until ctx ends.
func (m *platformMesh) startNoticeTarget(ctx context.Context, tasks *conc.WaitGroup, id string, node int) *noticeTarget {
	m.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = l.Close() })
	target := &noticeTarget{id: id, address: l.Addr().String(), node: node}
	tasks.Go(func() { _ = fasthttp.Serve(l, target.handle) })
	tasks.Go(func() {
		for ctx.Err() == nil {
			m.announceReady(target)
			time.Sleep(200 * time.Millisecond)
		}
		_ = l.Close()
	})
	return target
}

// announceReady sends a heartbeat of a target with the state ready.
func (m *platformMesh) announceReady(target *noticeTarget) {
	body := fmt.Sprintf(`{"service":"svc1","address":"%s","zone":"zone-a","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"sequence":%d,"born":1700000000000}`, target.address, target.sequence.Add(1))
	sendHTTP("POST", "http://"+m.address(target.node, controlPort)+"/hornbeamrack/instances/"+target.id+"/heartbeat", nil, body)
}

// handle records an arrival and responds with the target's statements.
func (n *noticeTarget) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	n.mu.Lock()
	if entry, sent, ok := parseNoticeID(id); ok {
		n.arrivals = append(n.arrivals, arrival{at: time.Now(), sent: sent, entry: entry})
	}
	if n.ids == nil {
		n.ids = map[string]bool{}
	}
	n.ids[id] = true
	for name, value := range n.headers {
		ctx.Response.Header.Set(name, value)
	}
	processingTime := 5 * time.Millisecond
	if ctx.IsPost() && n.depositTime > 0 {
		processingTime = n.depositTime
	}
	n.mu.Unlock()
	time.Sleep(processingTime)
	ctx.Response.Header.Set("X-Request-Id", id)
	ctx.Response.Header.Set("X-Response-Signature", "signed")
	ctx.SetBodyString("ok")
}

// state makes the target set headers on each response from now on, in place of earlier
// ones. It returns the time.
func (n *noticeTarget) state(headers map[string]string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.headers = headers
	return time.Now()
}

// setDepositTime sets how long requests with the method POST are processed.
func (n *noticeTarget) setDepositTime(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.depositTime = d
}

// received reports whether a request reached the target.
func (n *noticeTarget) received(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ids[id]
}

// arrivalsFromOthers returns the requests that reached the target, were sent at since or
// later, and began at another node than the target's own.
func (n *noticeTarget) arrivalsFromOthers(since time.Time) []arrival {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []arrival
	for _, a := range n.arrivals {
		if a.entry != n.node && !a.sent.Before(since) {
			out = append(out, a)
		}
	}
	return out
}

// noticeID returns a request id that names the entry node and the time of sending.
func noticeID(entry int, number int64) string {
	return fmt.Sprintf("%d-%d-%d", entry, time.Now().UnixNano(), number)
}

// parseNoticeID returns the entry node and the time in an id of noticeID.
func parseNoticeID(id string) (entry int, sent time.Time, ok bool) {
	parts := strings.Split(id, "-")
	if len(parts) != 3 {
		return 0, time.Time{}, false
	}
	entry, err := strconv.Atoi(parts[0])
	nanos, errNanos := strconv.ParseInt(parts[1], 10, 64)
	return entry, time.Unix(0, nanos), err == nil && errNanos == nil
}

// mostWithin returns the largest number of arrivals in any span of time that begins at
// since or later.
func mostWithin(arrivals []arrival, since time.Time, span time.Duration) int {
	most := 0
	for i, first := range arrivals {
		if first.at.Before(since) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(first.at) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// startNoticeMesh starts three control hosts and three nodes on the platform, and two
// targets: the first is beside statingNode, to make statements, the second beside
// firstOtherNode. Callers send requests to all nodes until the test ends.
func startNoticeMesh(t *testing.T) (*platformMesh, [2]*noticeTarget) {
	t.Helper()
	is := is.New(t)
	m := &platformMesh{Mesh: &Mesh{Folder: t.TempDir(), ProgramFolder: programFolder}, t: t, ports: freePorts(t, noticeNodes)}
	ctx, cancel := context.WithCancel(t.Context())
	tasks := &conc.WaitGroup{}
	t.Cleanup(func() {
		cancel()
		m.KillAll()
		tasks.Wait()
		if t.Failed() {
			for _, p := range m.processes() {
				t.Logf("--- %s\n%s", p.Name, p.Log())
			}
		}
	})
	for i := range statingNode {
		m.start(i, "control.yaml", true)
	}
	for i := statingNode; i < noticeNodes; i++ {
		m.start(i, "node.yaml", true)
	}
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "document accepted", func() bool { return m.putDocument(0, "r0", platformDocument(3, 1000)) == 200 }))
	stating := m.startNoticeTarget(ctx, tasks, "i-stating", statingNode)
	plain := m.startNoticeTarget(ctx, tasks, "i-plain", firstOtherNode)
	m.sendNoticeTraffic(ctx, tasks)
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "traffic of other nodes at the target", func() bool { return len(stating.arrivalsFromOthers(time.Time{})) > 20 }))
	return m, [2]*noticeTarget{stating, plain}
}

// sendNoticeTraffic sends about 50 requests a second to each node until ctx ends.
func (m *platformMesh) sendNoticeTraffic(ctx context.Context, tasks *conc.WaitGroup) {
	var number atomic.Int64
	for entry := statingNode; entry < noticeNodes; entry++ {
		tasks.Go(func() {
			var requests conc.WaitGroup
			for ctx.Err() == nil {
				requests.Go(func() { m.sendRequest(entry, noticeID(entry, number.Add(1))) })
				time.Sleep(20 * time.Millisecond)
			}
			requests.Wait()
		})
	}
}

// TestNamedLimitIsExceeded guards against a target that gets more requests than the limit
// that it names allows: 1.5 times the limit, plus 5 requests, in any 4 s from 3 s after it
// first named it. The node beside it is killed and started meanwhile.
func TestNamedLimitIsExceeded(t *testing.T) {
	const (
		limit         = 6 // requests a second
		effectiveTime = 3 * time.Second
		window        = 4 * time.Second
		allowed       = 3*limit*4/2 + 5
	)
	is := is.New(t)
	m, targets := startNoticeMesh(t)
	target := targets[0]
	namedAt := target.state(map[string]string{"Server-Limit": fmt.Sprintf("%d.0", limit)})
	time.Sleep(effectiveTime + time.Second)
	m.restartNode(statingNode)
	time.Sleep(2 * window)
	got := mostWithin(target.arrivalsFromOthers(namedAt), namedAt.Add(effectiveTime), window)
	t.Logf("%d requests in %s, allowed %d", got, window, allowed)
	is.True(got <= allowed) // requests in any 4 s
	is.True(got >= limit)   // the target is still used
	endedAt := target.state(nil)
	is.NoErr(WaitUntil(t.Context(), readyTimeout, "traffic above the limit after its end", func() bool {
		return mostWithin(target.arrivalsFromOthers(endedAt), endedAt, time.Second) > 2*limit
	}))
}

// TestStatedLeaveIsIgnored guards against requests to a target that states in its
// responses that it leaves, sent later than 2 s after it first did so. Its heartbeats are
// late and still say that it is ready, and the node beside it is killed and started.
func TestStatedLeaveIsIgnored(t *testing.T) {
	const drainTime = 2 * time.Second
	is := is.New(t)
	m, targets := startNoticeMesh(t)
	target := targets[0]
	leavingAt := target.state(map[string]string{"Server-Leaving": "1"})
	time.Sleep(time.Second)
	m.restartNode(statingNode)
	time.Sleep(3 * drainTime)
	late := target.arrivalsFromOthers(leavingAt.Add(drainTime))
	t.Logf("%d requests later than %s after the statement", len(late), drainTime)
	is.Equal(len(late), 0)
}

// restartNode kills the process of a node and starts it again.
func (m *platformMesh) restartNode(i int) {
	m.t.Helper()
	m.daemon(i).Kill()
	m.start(i, "node.yaml", false)
}
