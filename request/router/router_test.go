package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/applier"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

// TestSlownessCountsOnce guards against a target whose slowness counts twice, in its load
// report and in the requests in flight: a pause of some milliseconds then makes a fast
// target look as if no request could end there before its deadline.
func TestSlownessCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const usual, pause = time.Millisecond, 40 * time.Millisecond
		e := applier.Endpoint{EndpointKey: applier.EndpointKey{Node: "n", Target: "t"}, Slots: 64}
		q := Query{Service: &compiler.Service{Pools: []*compiler.Pool{{Version: "v1", Local: []applier.Endpoint{e}}}}, Version: "v1", Route: "/designs", LatencyObjective: time.Second}
		report := func(processing time.Duration) translator.LoadReport {
			return translator.LoadReport{Valid: true, ProcessingTime: processing}
		}
		b := &Balancer{}
		b.RecordResponse(e.EndpointKey, q.Route, report(usual), 0)
		b.UpdateLoad(e, q.Route, report(usual))
		for range 3 {
			selection, ok := b.Pick(q)
			is.True(ok)
			is.True(selection.ProcessingTime <= 2*usual)
			defer b.Begin(e.EndpointKey, selection.AverageTime)()
		}
		time.Sleep(pause)
		inFlight, _ := b.Pick(q)
		is.True(inFlight.ProcessingTime >= pause/4) // the requests in flight alone show that it is slow
		b.UpdateLoad(e, q.Route, report(pause))
		both, _ := b.Pick(q)
		t.Log(inFlight.ProcessingTime, both.ProcessingTime)
		is.True(both.ProcessingTime >= pause/4)
		is.True(both.ProcessingTime <= pause)
	})
}
