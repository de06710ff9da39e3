package quarantiner

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"
)

const (
	// reportTimeout bounds the sending of one report, which is repeated until then.
	reportTimeout = 30 * time.Second
	// maxPendingReports bounds the reports that are being sent.
	maxPendingReports = 128
	// maxPendingServed is the number of pending reports from which on reports on served
	// requests are dropped, which leaves places for crash reports.
	maxPendingServed = maxPendingReports / 2
)

// The reports to control hosts that were given up, and those that were not sent since too
// many were pending.
var (
	lostReportsTotal    = metrics.NewCounter("hornbeam_crash_reports_lost_total")
	droppedReportsTotal = metrics.NewCounter("hornbeam_crash_reports_dropped_total")
)

// sender sends reports in the background. It is safe for concurrent use.
type sender struct {
	tasks   conc.WaitGroup
	once    sync.Once
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	pending int
}

// init creates the context of all reports at the first call.
func (s *sender) init() {
	s.once.Do(func() { s.ctx, s.cancel = context.WithCancel(context.Background()) })
}

// send calls report in the background with a context of reportTimeout. It drops the report
// when as many as limit are pending.
func (s *sender) send(limit int, report func(ctx context.Context) error) {
	s.init()
	if !s.begin(limit) {
		droppedReportsTotal.Inc()
		return
	}
	s.tasks.Go(func() {
		defer s.end()
		ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
		defer cancel()
		if report(ctx) != nil {
			lostReportsTotal.Inc()
		}
	})
}

// pendingCount returns the number of pending reports.
func (s *sender) pendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending
}

// begin counts one more pending report, unless there are as many as limit.
func (s *sender) begin(limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending >= limit {
		return false
	}
	s.pending++
	return true
}

// end counts one pending report less.
func (s *sender) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending--
}

// wait returns when no report is pending. It gives up those that are when ctx ends.
func (s *sender) wait(ctx context.Context) {
	s.init()
	stop := context.AfterFunc(ctx, s.cancel)
	defer stop()
	s.tasks.Wait()
}
