package receiver

import (
	"time"

	"github.com/hornbeamrack/hornbeamrack/common/clock"
	"github.com/hornbeamrack/hornbeamrack/connection/acceptor"
	"github.com/hornbeamrack/hornbeamrack/request/translator"
	"github.com/hornbeamrack/hornbeamrack/version/compiler"
)

// maxConfirmationWait is how long a request may wait for the confirmation of a stale
// table: a process that has just got processor time again is confirmed within moments.
const maxConfirmationWait = 300 * time.Millisecond

// Details of responses of a node that is not ready.
const (
	detailNoTable     = "this node has no confirmed configuration yet"
	detailStale       = "no control host has confirmed this node's configuration in time"
	detailUnconfirmed = "this node's configuration has no route for this host, method and path, and no control host confirms that it is the newest"
)

// currentTable returns the table for a request, with its freshness. It waits for a first
// table and for the confirmation of a stale one, and returns nil when the wait was in
// vain. During an outage of the control hosts it returns the last table at once.
func (v *Receiver) currentTable(x *acceptor.Exchange) (*compiler.Table, compiler.Freshness) {
	// The freshness is read before the table, which only gets newer.
	freshness := v.awaitConfirmation(x)
	table := v.Tables.Table()
	if table == nil && v.awaitNewTable(x, nil, x.ReceivedAt.Add(maxTableWait)) {
		table = v.Tables.Table()
	}
	if freshness == compiler.FreshnessStale {
		return nil, freshness
	}
	return table, freshness
}

// awaitConfirmation returns the freshness of the table. While the table is stale it waits,
// for at most maxConfirmationWait from the receipt of the request.
func (v *Receiver) awaitConfirmation(x *acceptor.Exchange) compiler.Freshness {
	if freshness := v.Tables.Freshness(clock.Now()); freshness != compiler.FreshnessStale {
		return freshness
	}
	timer := time.NewTimer(time.Until(x.ReceivedAt.Add(maxConfirmationWait)))
	defer timer.Stop()
	for {
		report := v.Tables.NextReport()
		freshness := v.Tables.Freshness(clock.Now())
		if freshness != compiler.FreshnessStale {
			return freshness
		}
		select {
		case <-report:
		case <-timer.C:
			return freshness
		case <-x.Context().Done():
			return freshness
		}
	}
}

// notReadyDetail returns the detail of a response of a node without a table to serve by.
func notReadyDetail(f compiler.Freshness) string {
	if f == compiler.FreshnessStale {
		return detailStale
	}
	return detailNoTable
}

// rejectNotReady rejects a request that no current table allows to serve.
func (v *Receiver) rejectNotReady(x *acceptor.Exchange, detail string) translator.Report {
	v.logUnmatched(x, translator.ReasonNotReady, detail)
	return v.reject(x, translator.NotRun(translator.ReasonNotReady), detail, x.ReceivedAt.Add(notReadyRetryAfter))
}

// rejectNoRoute rejects a request that matches no route. Without a recent confirmation the
// route may have been added, so the response is then that of a node that is not ready.
func (v *Receiver) rejectNoRoute(x *acceptor.Exchange, freshness compiler.Freshness) translator.Report {
	if freshness != compiler.FreshnessCurrent {
		return v.rejectNotReady(x, detailUnconfirmed)
	}
	const detail = "the configuration has no route for this host, method and path"
	v.logUnmatched(x, translator.ReasonNoRoute, detail)
	return v.reject(x, translator.NotRun(translator.ReasonNoRoute), detail, time.Time{})
}
