package dispatcher

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/request/router"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

// bargain returns a bargain over n endpoints in the node's own data centre.
func bargain(n int) *Dispatcher {
	p := &compiler.Pool{Version: "v1"}
	for i := range n {
		name := fmt.Sprintf("t%d", i)
		p.Local = append(p.Local, applier.Endpoint{EndpointKey: applier.EndpointKey{Node: name, Target: name}, Slots: 4})
	}
	s := &compiler.Service{Pools: []*compiler.Pool{p}}
	return &Dispatcher{Balancer: &router.Balancer{}, Query: router.Query{Service: s, Version: "v1", Route: "/designs"}}
}

// refuseAll refuses every offer and returns them.
func refuseAll(b *Dispatcher, failed bool) (asked, queued []Attempt) {
	for o, ok := b.Next(); ok; o, ok = b.Next() {
		if o.NoWait {
			asked = append(asked, o)
		} else {
			queued = append(queued, o)
		}
		b.RecordFailure(o, failed)
	}
	return asked, queued
}

func TestOffersEndWithEachMeshSize(t *testing.T) {
	for _, row := range []struct{ endpoints, leastAsked, mostAsked, queued int }{
		{0, 0, 0, 0},
		{1, 0, 0, 1}, // the only endpoint is not asked first: there is no other
		{2, 1, 2, 2}, // to wait at the first may be the better deal than to ask the second
		{20, 1, maxAsks, maxQueued},
	} {
		t.Run(fmt.Sprint(row.endpoints), func(t *testing.T) {
			is := is.New(t)
			asked, queued := refuseAll(bargain(row.endpoints), false)
			is.True(len(asked) >= row.leastAsked)
			is.True(len(asked) <= row.mostAsked)
			for i, o := range asked {
				for _, earlier := range asked[:i] {
					is.True(o.EndpointKey != earlier.EndpointKey) // nobody is asked twice
				}
			}
			is.Equal(len(queued), row.queued)
		})
	}
}

// TestFailedEndpointIsNotOfferedAgain lets every endpoint fail.
func TestFailedEndpointIsNotOfferedAgain(t *testing.T) {
	is := is.New(t)
	asked, queued := refuseAll(bargain(3), true)
	seen := map[applier.EndpointKey]bool{}
	for _, o := range append(asked, queued...) {
		is.True(!seen[o.EndpointKey])
		seen[o.EndpointKey] = true
	}
	is.Equal(len(seen), 3)
}

func TestResetBeginsAnew(t *testing.T) {
	is := is.New(t)
	b := bargain(2)
	refuseAll(b, false)
	b.Reset()
	o, ok := b.Next()
	is.True(ok)
	is.True(o.NoWait)
}
