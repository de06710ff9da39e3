// Package budgeter bounds the further attempts that nodes make at targets.
//
// Load pattern: targets fail or slow down, and every request that is sent
// again adds load to those that are left. All nodes share one budget for each
// service: a ratio of the requests for it and a slack. Each node spends only
// its part of the slack and a part of the ratio of its own requests, so that
// the sum holds without any message.
//
// # Usage
//
//	b := &budgeter.Budgeter{Ratio: 0.2, Slack: 56}
//	b.Earn("designs", nodes)
//	if b.Spend("designs") { /* send again */ }
package budgeter

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// DefaultRatio is the number of further attempts for each request.
	DefaultRatio = 0.1
	// DefaultSlack is the number of further attempts of all nodes beyond the ratio.
	DefaultSlack = 100
	// reserve is the part of the budget that is kept back, since a repeated run
	// repeats the calls that it makes.
	reserve = 0.4
	// leastSlack lets a node of a large mesh send at least one request again.
	leastSlack = 1
)

// Budgeter is safe for concurrent use. Exported fields are set before use.
type Budgeter struct {
	Ratio float64 // Ratio is DefaultRatio when zero.
	Slack float64 // Slack is DefaultSlack when zero.

	mu     sync.Mutex
	tokens map[string]float64
}

var emptyTotal = metrics.NewCounter("hornbeam_retry_budget_empty_total")

// Earn counts one request for a service; nodes is the number of nodes that
// share the budget.
func (b *Budgeter) Earn(service string, nodes int) {
	ratio, slack := b.Ratio, b.Slack
	if ratio == 0 {
		ratio = DefaultRatio
	}
	if slack == 0 {
		slack = DefaultSlack
	}
	most := max(slack*(1-reserve)/float64(max(nodes, 1)), leastSlack)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == nil {
		b.tokens = map[string]float64{}
	}
	have, ok := b.tokens[service]
	if !ok {
		have = most
	}
	b.tokens[service] = min(have+ratio*(1-reserve), most)
}

// Spend takes one further attempt out of the budget, if there is one.
func (b *Budgeter) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		emptyTotal.Inc()
		return false
	}
	b.tokens[service]--
	return true
}
