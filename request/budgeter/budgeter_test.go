package budgeter

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// TestSumOverNodesHolds lets every request of many nodes ask to be sent again:
// in each window the sum stays within the budget that all nodes share.
func TestSumOverNodesHolds(t *testing.T) {
	const ratio, slack = 0.2, 56.0
	for _, nodes := range []int{1, 9, 68} {
		is := is.New(t)
		list := make([]*Budgeter, nodes)
		for i := range list {
			list[i] = &Budgeter{Ratio: ratio, Slack: slack}
		}
		r := rand.New(rand.NewPCG(1, uint64(nodes)))
		for window := range 5 {
			requests, again := 0, 0
			for range 2000 {
				b := list[r.IntN(nodes)]
				b.Earn("designs", nodes)
				requests++
				for b.Spend("designs") {
					again++
				}
			}
			t.Logf("%d nodes, window %d: %d again of %d", nodes, window, again, requests)
			is.True(float64(again) <= ratio*float64(requests)+slack+float64(nodes)) // a node may always send one again
			is.True(again > 0)
		}
	}
}
