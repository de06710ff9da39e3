// Package budgeter bounds the retries that nodes send to targets.
//
// Load pattern: targets fail or slow down, and every retry adds load to the remaining
// ones. All nodes share one retry budget for each service: a ratio of the requests for
// it and a slack. Each node spends only its part of the slack and a part of the ratio of
// its own requests, so that the sum over all nodes stays within the budget without any
// message between them.
//
// # Usage
//
//	b := &budgeter.Budgeter{Ratio: 0.2, Slack: 56}
//	b.Earn("designs", nodes)
//	if b.Spend("designs") { /* retry */ }
package budgeter

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// DefaultRatio is the number of retries for each request.
	DefaultRatio = 0.1
	// DefaultSlack is the number of retries of all nodes beyond the ratio.
	DefaultSlack = 100
	// nestedShare is the share of the budget that is not spent here, since a retried
	// request repeats the calls to other services that it makes.
	nestedShare = 0.4
	// minSlack lets a node of a large mesh send at least one retry.
	minSlack = 1
)

// Budgeter holds one node's part of the retry budget of each service. It is safe for
// concurrent use. The exported fields are set before use.
type Budgeter struct {
	Ratio float64 // Ratio is the number of retries for each request, DefaultRatio when zero.
	Slack float64 // Slack is the number of retries of all nodes beyond the ratio, DefaultSlack when zero.

	mu     sync.Mutex
	tokens map[string]float64 // tokens holds the remaining retries by service.
}

// emptyTotal counts the retries that were not sent since the budget was empty.
var emptyTotal = metrics.NewCounter("hornbeam_retry_budget_empty_total")

// Earn adds the share of one request to the budget of a service. nodes is the number of
// nodes that share the budget.
func (b *Budgeter) Earn(service string, nodes int) {
	ratio, slack := b.Ratio, b.Slack
	if ratio == 0 {
		ratio = DefaultRatio
	}
	if slack == 0 {
		slack = DefaultSlack
	}
	maxTokens := max(slack*(1-nestedShare)/float64(max(nodes, 1)), minSlack)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == nil {
		b.tokens = map[string]float64{}
	}
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = maxTokens
	}
	b.tokens[service] = min(tokens+ratio*(1-nestedShare), maxTokens)
}

// Spend takes one retry out of the budget of a service. It returns false when the budget
// is empty, and the retry must not be sent. Only Earn fills the budget, with each request;
// a service without a call of Earn has an empty one.
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
