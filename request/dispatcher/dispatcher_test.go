package dispatcher

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/request/router"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

// newDispatcher returns a dispatcher over n endpoints in the local data centre.
func newDispatcher(n int) *Dispatcher {
	p := &compiler.Pool{Version: "v1"}
	for i := range n {
		name := fmt.Sprintf("t%d", i)
		p.Local = append(p.Local, applier.Endpoint{EndpointKey: applier.EndpointKey{Node: name, Target: name}, Slots: 4})
	}
	s := &compiler.Service{Pools: []*compiler.Pool{p}}
	return &Dispatcher{Balancer: &router.Balancer{}, Query: router.Query{Service: s, Version: "v1", Route: "/designs"}}
}

// rejectAll records a failure of every attempt and returns the NoWait attempts and
// the queued ones.
func rejectAll(b *Dispatcher, failed bool) (noWait, queued []Attempt) {
	for o, ok := b.Next(); ok; o, ok = b.Next() {
		if o.NoWait {
			noWait = append(noWait, o)
		} else {
			queued = append(queued, o)
		}
		b.RecordFailure(o, failed)
	}
	return noWait, queued
}

// TestAttemptsEndForEachMeshSize guards against a request that is tried without
// end, or at one endpoint twice, when every owner node rejects it.
func TestAttemptsEndForEachMeshSize(t *testing.T) {
	for _, row := range []struct{ endpoints, minNoWait, maxNoWait, queued int }{
		{0, 0, 0, 0},
		{1, 0, 0, 1}, // a single endpoint gets no NoWait attempt, since there is no alternative
		{2, 1, 2, 2}, // queueing at the first may cost less than a NoWait attempt at the second
		{20, 1, maxNoWaitAttempts, maxQueuedAttempts},
	} {
		t.Run(fmt.Sprint(row.endpoints), func(t *testing.T) {
			is := is.New(t)
			noWait, queued := rejectAll(newDispatcher(row.endpoints), false)
			is.True(len(noWait) >= row.minNoWait)
			is.True(len(noWait) <= row.maxNoWait)
			for i, o := range noWait {
				for _, earlier := range noWait[:i] {
					is.True(o.EndpointKey != earlier.EndpointKey) // no endpoint gets two NoWait attempts
				}
			}
			is.Equal(len(queued), row.queued)
		})
	}
}

// TestFailedEndpointIsNotTriedAgain guards against a second attempt at an endpoint
// that failed: every endpoint fails, and each one gets exactly one attempt.
func TestFailedEndpointIsNotTriedAgain(t *testing.T) {
	is := is.New(t)
	noWait, queued := rejectAll(newDispatcher(3), true)
	seen := map[applier.EndpointKey]bool{}
	for _, o := range append(noWait, queued...) {
		is.True(!seen[o.EndpointKey])
		seen[o.EndpointKey] = true
	}
	is.Equal(len(seen), 3)
}

// TestResetBeginsAnew guards against failures that outlive Reset: after it, a NoWait
// attempt is possible again.
func TestResetBeginsAnew(t *testing.T) {
	is := is.New(t)
	b := newDispatcher(2)
	rejectAll(b, false)
	b.Reset()
	o, ok := b.Next()
	is.True(ok)
	is.True(o.NoWait)
}
