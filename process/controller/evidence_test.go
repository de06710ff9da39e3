package controller

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/version/decider"
)

// TestImpossibleEvidenceDecidesMove guards against a node whose evidence no requests can
// have led to: more failures than requests, or sums that are negative or no number.
func TestImpossibleEvidenceDecidesMove(t *testing.T) {
	is := is.New(t)
	buckets := func(n uint64) []uint64 {
		list := make([]uint64, 36)
		list[0], list[35] = n, n
		return list
	}
	odd := []decider.Tally{
		{Requests: 1, Failures: 2}, {Failures: 1 << 60}, {Requests: math.MaxUint64, Seconds: 1}, {Requests: 1, Seconds: -1}, {Requests: 1, Seconds: math.NaN()},
		{Requests: 1, Seconds: math.Inf(1)}, {Requests: 1, Seconds: 1e12}, {Seconds: 1}, {Requests: 9, Failures: 1, Buckets: buckets(5)}, {Requests: 9, Buckets: buckets(1 << 63)},
	}
	var valid decider.Tally
	valid.Add(true, false, time.Minute)
	valid.Add(false, false, time.Hour)
	valid.Add(false, true, time.Millisecond)
	rejected := rejectedEvidence.Get()
	b := &evidenceBuffer{}
	for _, tally := range odd {
		b.add([]decider.Evidence{{MoveID: "m", New: true, Route: "/designs", Tally: tally}})
	}
	is.Equal(len(b.take()), 0)
	is.Equal(rejectedEvidence.Get()-rejected, uint64(len(odd)))
	b.add([]decider.Evidence{{MoveID: "m", Tally: odd[0]}, {MoveID: "m", Tally: valid}, {MoveID: "m", Tally: decider.Tally{Requests: 4, Failures: 4, Buckets: make([]uint64, 8)}}})
	is.Equal(len(b.take()), 2) // the others of a list are kept
}
