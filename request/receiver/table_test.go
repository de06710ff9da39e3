package receiver

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/common/clock"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
	"github.com/hornbeamrack/hornbeamrack/version/differ"
)

// TestStaleTableAnswersNothing guards against a 404, or a response by an older
// configuration, from a node whose table no control host has confirmed for too long: such
// a node is not ready unless the control hosts have an outage, when it serves the routes
// that it has and does not deny others.
func TestStaleTableAnswersNothing(t *testing.T) {
	const age = 3 * time.Second
	stale := func(n *node) { n.tables.Confirm(clock.Now().Add(-age), clock.Now().Add(-time.Second)) }
	current := func(n *node) { n.tables.Confirm(clock.Now(), clock.Now().Add(time.Hour)) }
	rows := []struct {
		name           string
		prepare        func(n *node)
		route, unknown int // route and unknown are the statuses of a route of the table and of an unknown one.
	}{
		{"current", current, fasthttp.StatusOK, fasthttp.StatusNotFound},
		{"stale", stale, fasthttp.StatusServiceUnavailable, fasthttp.StatusServiceUnavailable},
		{"outage of the control hosts", func(n *node) { stale(n); n.tables.ReportOutage() }, fasthttp.StatusOK, fasthttp.StatusServiceUnavailable},
		{"outage reported before the table is stale", func(n *node) { current(n); n.tables.ReportOutage() }, fasthttp.StatusOK, fasthttp.StatusNotFound},
		{"confirmed after an outage", func(n *node) { stale(n); n.tables.ReportOutage(); current(n) }, fasthttp.StatusOK, fasthttp.StatusNotFound},
		{"stale again after an outage", func(n *node) { n.tables.ReportOutage(); stale(n) }, fasthttp.StatusServiceUnavailable, fasthttp.StatusServiceUnavailable},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeTarget{}
			n := newNode(t, "a", &claims{})
			address, _ := listen(t, f.handle)
			announce(t, n, "t1", address)
			publishTable(t, 1, n)
			row.prepare(n)
			is.Equal(call(t, n.entry, "GET", "/designs/1", "").status, row.route)
			is.Equal(call(t, n.entry, "GET", "/added/1", "").status, row.unknown)
		})
	}
}

// TestRequestsOfWokenNodeWaitForConfirmation guards against a 404 by the old table of a
// process that has just got processor time again: its requests wait for the confirmation,
// and are then served by the table that it brought.
func TestRequestsOfWokenNodeWaitForConfirmation(t *testing.T) {
	is := is.New(t)
	f := &fakeTarget{}
	n := newNode(t, "a", &claims{})
	address, _ := listen(t, f.handle)
	announce(t, n, "t1", address)
	old, err := (&compiler.Compiler{}).Compile(differ.Snapshot{Version: 1})
	is.NoErr(err)
	is.NoErr(n.tables.Store(old))
	n.tables.Confirm(clock.Now().Add(-3*time.Second), clock.Now().Add(-time.Second))
	go func() {
		for n.receiver.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		publishTable(t, 2, n)
		n.tables.Confirm(clock.Now(), clock.Now().Add(time.Hour))
	}()
	got := fasthttp.StatusServiceUnavailable
	for got == fasthttp.StatusServiceUnavailable { // A slow machine confirms the table after the wait.
		got = call(t, n.entry, "GET", "/designs/1", "").status
	}
	is.Equal(got, fasthttp.StatusOK)
}
