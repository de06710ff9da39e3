package router

import "time"

const (
	// headersBytes is the size that request and response headers add to each transfer.
	headersBytes = 1 << 10
	// breakEvenBytes is the response size at which the cost of a transfer between
	// data centres equals the value of the response to its caller.
	breakEvenBytes = 64 << 10
	// maxTransferLoss caps the transfer cost at the value of the response, so that a
	// caller that would otherwise wait for long is still served from another data centre.
	maxTransferLoss = 1
	// minLatencyObjective is used when the latency objective is unknown or shorter.
	minLatencyObjective = 50 * time.Millisecond

	// penaltyLoss makes a penalised endpoint the choice of last resort.
	penaltyLoss = 1e6
	// exploreGain makes an exploring request prefer an unused endpoint to every used
	// one. It is below penaltyLoss, so that a penalised endpoint is still avoided.
	exploreGain = 1e4
)

// latencyLoss returns the expected loss of value, as a part of the value of a
// response, for an expected latency and a latency objective. Processing times
// vary between requests: a response expected well within the objective seldom
// misses it, and one expected exactly at the objective misses it half the time.
// In between the loss grows about with the square of the latency. Beyond the
// objective it keeps growing, so that an earlier response still costs less.
func latencyLoss(expected, objective time.Duration) float64 {
	x := expected.Seconds() / max(objective, minLatencyObjective).Seconds()
	return x * x / 2
}

// transferLoss returns the cost of sending a response body of the given size in
// bytes between data centres, as a part of the value of the response.
func transferLoss(bytes float64) float64 {
	return min((headersBytes+bytes)/breakEvenBytes, maxTransferLoss)
}
