package budgeter

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// TestSumOverNodesHolds guards against nodes that together exceed the retry budget which
// they share without messages: every request is retried as often as the budget of its
// node allows, and in each window the sum stays within the shared budget.
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
			requests, retries := 0, 0
			for range 2000 {
				b := list[r.IntN(nodes)]
				b.Earn("designs", nodes)
				requests++
				for b.Spend("designs") {
					retries++
				}
			}
			t.Logf("%d nodes, window %d: %d retries of %d requests", nodes, window, retries, requests)
			is.True(float64(retries) <= ratio*float64(requests)+slack+float64(nodes)) // a node may always send one retry
			is.True(retries > 0)
		}
	}
}
