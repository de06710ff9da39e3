package assigner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var now = time.Unix(1000, 0)

func hostList(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.0.%d.7:7000", i))
	}
	return out
}

// TestNodesSpreadOverAllHosts lets 281 nodes learn ten control hosts: none serves
// much more than its part, and a host that is lost moves its own nodes alone.
func TestNodesSpreadOverAllHosts(t *testing.T) {
	is := is.New(t)
	hosts := hostList(10)
	nodes := map[string]int{}
	moved := 0
	for i := range 281 {
		a := &Assigner{NodeName: fmt.Sprintf("node-%d", i)}
		first := a.Pick(hosts, now)
		nodes[first]++
		a.RecordFailure(hosts[3], now)
		second := a.Pick(hosts, now)
		is.True(second != hosts[3])
		if second != first {
			is.Equal(first, hosts[3])
			moved++
		}
		is.Equal(a.Pick(hosts, now.Add(restTime)), first) // it is called again after its rest
	}
	t.Logf("nodes by host: %v", nodes)
	for _, h := range hosts {
		is.True(nodes[h] <= 2*281/len(hosts))
	}
	is.Equal(moved, nodes[hosts[3]])
}

// TestAllHostsAreTriedInTurn fails every host: each is called before one is
// called again.
func TestAllHostsAreTriedInTurn(t *testing.T) {
	is := is.New(t)
	hosts := hostList(5)
	a := &Assigner{NodeName: "node"}
	is.Equal(a.Pick(nil, now), "")
	var calls []string
	for i := range 10 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		calls = append(calls, a.Pick(hosts, at))
		a.RecordFailure(calls[i], at)
	}
	tried := map[string]bool{}
	for _, c := range calls[:5] {
		tried[c] = true
	}
	is.Equal(len(tried), 5)
	is.Equal(calls[:5], calls[5:])
}
