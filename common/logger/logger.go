// Package logger writes log lines asynchronously, so that logging never blocks
// the calling goroutine.
//
// Lines pass through a bounded buffer to one goroutine, which writes them. When
// the buffer is full, lines are dropped and counted, and a later line reports the
// number of dropped lines. Lines that are logged for each request are rate
// limited by kind: ordinary events are sampled one in ten, and each kind, such as
// rejections, has a limit of its own.
//
// # Usage
//
//	l := logger.New(os.Stdout, "host-a", log.InfoLevel)
//	defer l.Close()
//	if l.AllowLine("request rejected") {
//		l.Warn("request rejected", "id", id, "reason", reason)
//	}
package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
)

const (
	bufferLines = 1024
	// maxLinesPerSecond limits the lines of each kind.
	maxLinesPerSecond = 20
	// sampleEvery is the number of ordinary events of a kind for each one that is logged.
	sampleEvery = 10
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

var droppedTotal = metrics.NewCounter("hornbeam_log_lines_dropped_total")

// AsyncLogger is a logger that drops lines instead of blocking. It is safe for
// concurrent use. On a nil AsyncLogger, AllowLine and SampleEvent return false;
// the other methods must not be called.
type AsyncLogger struct {
	*log.Logger

	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	quotas map[string]*lineQuota
}

// lineQuota counts the lines of one kind in the current second, and all of its
// sampled events.
type lineQuota struct {
	periodStart time.Time
	lines       int
	events      int
}

// New returns a logger that writes lines of the given level or above to out, each
// with the field process. It starts a goroutine that Close ends.
func New(out io.Writer, process string, level log.Level) *AsyncLogger {
	l := &AsyncLogger{out: out, lines: make(chan []byte, bufferLines), done: make(chan struct{}), quotas: map[string]*lineQuota{}}
	base := log.NewWithOptions(l, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter, Level: level})
	l.Logger = base.With("process", process)
	go l.writeLines()
	return l
}

// Write queues a copy of one line, or drops and counts it if the buffer is full. It
// never blocks and never returns an error.
func (l *AsyncLogger) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		droppedTotal.Inc()
		l.dropped.Add(1)
	}
	return len(line), nil
}

// writeLines writes queued lines until it receives nil.
func (l *AsyncLogger) writeLines() {
	defer close(l.done)
	var lastReport time.Time // lastReport is when dropped lines were last reported.
	for line := range l.lines {
		if line == nil {
			return
		}
		if now := time.Now(); now.Sub(lastReport) >= dropReportInterval {
			if n := l.dropped.Swap(0); n > 0 {
				lastReport = now
				l.Warn("log lines dropped", "lines", n)
			}
		}
		if _, err := l.out.Write(line); err != nil {
			droppedTotal.Inc() // The failure can be reported only by the metric.
		}
	}
}

// Close writes the queued lines and ends the writing goroutine. It waits for at
// most one second for the buffer and one more for the writer.
func (l *AsyncLogger) Close() {
	select {
	case l.lines <- nil:
	case <-time.After(time.Second):
		return
	}
	select {
	case <-l.done:
	case <-time.After(time.Second):
	}
}

// AllowLine reports whether a line of the given kind may be written now, and counts
// it against the quota of that kind. A rejected line is counted as dropped.
func (l *AsyncLogger) AllowLine(kind string) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.takeLine(kind)
}

// SampleEvent counts an ordinary event of the given kind and reports whether to
// write a line for it: one in sampleEvery, within the quota of that kind.
func (l *AsyncLogger) SampleEvent(kind string) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.quota(kind)
	q.events++
	return q.events%sampleEvery == 1 && l.takeLine(kind)
}

// quota returns the quota of a kind. l.mu is held.
func (l *AsyncLogger) quota(kind string) *lineQuota {
	q, ok := l.quotas[kind]
	if !ok {
		q = &lineQuota{}
		l.quotas[kind] = q
	}
	return q
}

// takeLine counts a line of a kind, or returns false if its quota for this second is
// used up. l.mu is held.
func (l *AsyncLogger) takeLine(kind string) bool {
	q := l.quota(kind)
	if now := time.Now(); now.Sub(q.periodStart) > time.Second {
		q.periodStart, q.lines = now, 0
	}
	if q.lines >= maxLinesPerSecond {
		droppedTotal.Inc()
		l.dropped.Add(1)
		return false
	}
	q.lines++
	return true
}
