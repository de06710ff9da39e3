package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/hornbeamrack/hornbeamrack/version/applier"
)

const (
	// maxReportNameBytes bounds each name in a node's report.
	maxReportNameBytes = 4 << 10
	// maxServedReports bounds the served requests in one report of a node.
	maxServedReports = applier.MaxPoisonRequests
)

// The verdicts on requests that were in flight at crashes.
var (
	rejectedRequests = metrics.NewCounter(`hornbeam_poison_verdicts_total{verdict="rejected"}`)
	releasedRequests = metrics.NewCounter(`hornbeam_poison_verdicts_total{verdict="released"}`)
)

// logVerdicts logs and counts the events on poison requests between two states, each of
// them once.
func (c *Controller) logVerdicts(before, after applier.State) {
	from, to := c.verdicts.advance(newestEvent(before), newestEvent(after))
	for _, e := range after.Events {
		if e.Index <= from || e.Index > to {
			continue
		}
		switch e.Kind {
		case applier.EventQuarantined:
			rejectedRequests.Inc()
			c.Log.Warn("poison request", "service", e.Subject, "index", e.Index, "detail", e.Detail)
		case applier.EventReleased:
			releasedRequests.Inc()
			c.Log.Info("poison request released", "service", e.Subject, "index", e.Index, "detail", e.Detail)
		}
	}
}

// newestEvent returns the log index of the newest event, 0 if there is none.
func newestEvent(s applier.State) uint64 {
	if len(s.Events) == 0 {
		return 0
	}
	return s.Events[len(s.Events)-1].Index
}

// loggedEvents holds the log index up to which events are logged. It is safe for
// concurrent use.
type loggedEvents struct {
	mu    sync.Mutex
	index uint64
}

// advance returns which of the events between two indexes are not logged yet, and takes
// them for logged.
func (l *loggedEvents) advance(before, after uint64) (from, to uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = max(before, l.index)
	l.index = max(l.index, after)
	return from, after
}

// isNews reports whether a node's report can change the state. Many nodes report on one
// request at about the same time, and only the first report needs to be proposed.
func isNews(s applier.State, report applier.Command) bool {
	a, ok := report.(applier.Announce)
	return !ok || slices.ContainsFunc(a.Served, s.IsNews)
}

// stampReport decodes a node's report and sets its time to now, so that the clock of a
// node decides nothing. It returns an error for a report that is too long to be
// stored, and for any command that is not a report.
func stampReport(command []byte, now time.Time) (applier.Command, error) {
	c, err := applier.Decode(command)
	if err != nil {
		return nil, err
	}
	var names []string
	switch r := c.(type) {
	case applier.ReportCrash:
		names = append(names, r.Service, r.Node, r.Crash.Target)
		r.At = now
		c = r
	case applier.Announce:
		if len(r.Announcements) > 0 || len(r.Served) > maxServedReports {
			return nil, errors.Errorf("a node reports at most %d served requests, and nothing else beside them", maxServedReports)
		}
		for _, s := range r.Served {
			names = append(names, s.Service)
		}
		r.At = now
		c = r
	default:
		return nil, errors.New("nodes are not allowed to change the configuration")
	}
	if slices.ContainsFunc(names, func(n string) bool { return len(n) > maxReportNameBytes }) {
		return nil, errors.Errorf("a name in the report is longer than %d bytes", maxReportNameBytes)
	}
	return c, nil
}
