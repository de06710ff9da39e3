package starter

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// acknowledgeLimit is how long an operator sends an order again.
	acknowledgeLimit = 4 * time.Second
	// rolloutLimit is when a rollout without servers must have ended after its deadline.
	rolloutLimit = 5 * time.Second
	// heartbeatInterval is the interval of a server's heartbeats.
	heartbeatInterval = 500 * time.Millisecond
)

// announceServer sends the heartbeats of a server of a version to process i until ctx ends.
func (m *platformMesh) announceServer(ctx context.Context, i int, version string) {
	id := fmt.Sprintf("i-%d-%s", i, version)
	born := time.Now().UnixMilli()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body := fmt.Sprintf(`{"service":"svc1","address":"127.0.0.1:1","zone":"zone-a","version":%q,"slots":6,"state":"ready","coldLeftMs":0,"sequence":%d,"born":%d}`, version, sequence, born)
		_, _ = sendHTTP("POST", "http://"+m.address(i, controlPort)+"/hornbeamrack/instances/"+id+"/heartbeat", nil, body)
		time.Sleep(heartbeatInterval)
	}
}

// orderRollout orders a rollout, and sends the order again for acknowledgeLimit. It returns
// the last status.
func (m *platformMesh) orderRollout(version string, duration time.Duration) int {
	body := fmt.Sprintf(`{"service":"svc1","targetVersion":%q,"durationS":%g}`, version, duration.Seconds())
	status := 0
	for i, end := 0, time.Now().Add(acknowledgeLimit); time.Now().Before(end) && status != 200; i++ {
		status, _ = sendHTTP("POST", "http://"+m.address(i%3, controlPort)+"/hornbeamrack/rollouts/start", nil, body)
		time.Sleep(50 * time.Millisecond)
	}
	return status
}

// rollout returns the state of the last rollout and its version.
func (m *platformMesh) rollout() (state, version string) {
	var r struct {
		State   string `json:"state"`
		Version string `json:"targetVersion"`
	}
	status, resp := sendHTTP("GET", "http://"+m.address(0, controlPort)+"/hornbeamrack/rollouts/svc1/get", nil, "")
	if status != 200 || json.Unmarshal(resp.Body(), &r) != nil {
		return "", ""
	}
	return r.State, r.Version
}

// awaitRollout waits until the last rollout is one to the version in the given state.
func (m *platformMesh) awaitRollout(limit time.Duration, state, version string) {
	m.t.Helper()
	var at, to string
	err := WaitUntil(m.t.Context(), limit, "rollout to "+version+" "+state, func() bool {
		at, to = m.rollout()
		return at == state && to == version
	})
	if err != nil {
		m.t.Fatalf("%v; it is %s to %s", err, at, to)
	}
}

// newRolloutMesh starts control hosts and two nodes; the first one has a server of version v1
// that serves. It returns the second one and a context for the servers.
func newRolloutMesh(t *testing.T) (m *platformMesh, second *Node, ctx context.Context) {
	t.Helper()
	m, _ = newControlMesh(t, 5)
	first := m.start(3, "node.yaml", true)
	second = m.start(4, "node.yaml", true)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.announceServer(ctx, 3, "v1")
	err := WaitUntil(t.Context(), readyTimeout, "v1 is announced", func() bool {
		return strings.Contains(first.Log(), "target announced")
	})
	if err != nil {
		t.Fatal(err)
	}
	return m, second, ctx
}

// TestRolloutWithoutServersEnds guards against a rollout whose servers never come or are
// lost: it runs for good, or is reported as succeeded, and later orders are refused.
func TestRolloutWithoutServersEnds(t *testing.T) {
	is := is.New(t)
	const duration = 4 * time.Second
	m, _, ctx := newRolloutMesh(t)
	is.Equal(m.orderRollout("v2", duration), 200)
	begun := time.Now()
	m.awaitRollout(time.Second, "running", "v2")
	m.awaitRollout(duration+rolloutLimit, "rolled_back", "v2")
	is.True(time.Since(begun) >= duration-time.Second) // servers that come in time are moved to

	go m.announceServer(ctx, 4, "v3")
	is.Equal(m.orderRollout("v3", 8*time.Second), 200)
	m.awaitRollout(2*time.Second, "running", "v3")
	is.Equal(m.orderRollout("v2", 2*duration), 503) // not beside a rollout that runs
	m.awaitRollout(8*time.Second, "succeeded", "v3")
}

// TestRolloutToLostNodeIsNotDone guards against a rollout that is reported as succeeded while
// the machine of its only server is lost, before its targets are removed. No request shows it.
func TestRolloutToLostNodeIsNotDone(t *testing.T) {
	is := is.New(t)
	const duration = 8 * time.Second
	m, second, ctx := newRolloutMesh(t)
	is.Equal(m.orderRollout("v2", duration), 200) // v1 serves by then
	go m.announceServer(ctx, 4, "v2")
	time.Sleep(2 * time.Second)
	second.Kill()
	m.awaitRollout(duration+3*rolloutLimit, "rolled_back", "v2")
}
