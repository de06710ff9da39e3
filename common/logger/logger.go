// Package logger writes log lines asynchronously, so that logging never blocks
// the calling goroutine.
//
// Lines pass through two bounded buffers to one goroutine, which writes them: one for
// lines on state changes and one for lines on requests. The lines on state changes are
// written first, so that a flood of requests drops none of them. When a buffer is full,
// lines are dropped and counted, and a later line reports the numbers. Lines that are
// logged for each request are also rate limited by kind: ordinary events are sampled one
// in ten, and each kind, such as rejections, has a limit of its own.
//
// # Usage
//
//	l := logger.New(os.Stdout, "host-a", log.InfoLevel)
//	defer l.Close()
//	l.Info("role changed", "role", role)
//	if l.AllowLine("request rejected") {
//		l.Requests.Warn("request rejected", "id", id, "reason", reason)
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
	bufferLines = 1024 // bufferLines is the size of each buffer.
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
	Requests *log.Logger // Requests is for lines on requests, which may be dropped before other lines are.

	out          io.Writer
	stateLines   lineBuffer
	requestLines lineBuffer
	limited      atomic.Int64 // limited counts the lines that the quotas of their kinds rejected since the last report.
	done         chan struct{}

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

// lineBuffer is a bounded buffer of lines.
type lineBuffer struct {
	lines   chan []byte
	dropped atomic.Int64 // dropped counts the lines that did not fit since the last report.
}

// Write queues a copy of one line, or drops and counts it if the buffer is full. It
// never blocks and never returns an error.
func (b *lineBuffer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		droppedTotal.Inc()
		b.dropped.Add(1)
	}
	return len(line), nil
}

// New returns a logger that writes lines of the given level or above to out, each
// with the field process. It starts a goroutine that Close ends.
func New(out io.Writer, process string, level log.Level) *AsyncLogger {
	l := &AsyncLogger{out: out, done: make(chan struct{}), quotas: map[string]*lineQuota{}}
	l.stateLines.lines, l.requestLines.lines = make(chan []byte, bufferLines), make(chan []byte, bufferLines)
	options := log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter, Level: level}
	l.Logger = log.NewWithOptions(&l.stateLines, options).With("process", process)
	l.Requests = log.NewWithOptions(&l.requestLines, options).With("process", process)
	go l.writeLines()
	return l
}

// next returns the next line to write, or nil at the end.
func (l *AsyncLogger) next() []byte {
	select {
	case line := <-l.stateLines.lines:
		return line
	default:
	}
	select {
	case line := <-l.stateLines.lines:
		return line
	case line := <-l.requestLines.lines:
		return line
	}
}

// writeLines writes queued lines until it receives nil, and then what is left.
func (l *AsyncLogger) writeLines() {
	defer close(l.done)
	var lastReport time.Time // lastReport is when dropped lines were last reported.
	for line := l.next(); line != nil; line = l.next() {
		if now := time.Now(); now.Sub(lastReport) >= dropReportInterval && l.reportDropped() {
			lastReport = now
		}
		l.writeLine(line)
	}
	l.reportDropped()
	for _, b := range []*lineBuffer{&l.stateLines, &l.requestLines} {
		l.writeQueued(b)
	}
}

// writeQueued writes the lines that are in a buffer.
func (l *AsyncLogger) writeQueued(b *lineBuffer) {
	for len(b.lines) > 0 {
		l.writeLine(<-b.lines)
	}
}

// writeLine writes one line to the output.
func (l *AsyncLogger) writeLine(line []byte) {
	if _, err := l.out.Write(line); err != nil {
		droppedTotal.Inc() // The failure can be reported only by the metric.
	}
}

// reportDropped logs how many lines were dropped since the last report, if any.
func (l *AsyncLogger) reportDropped() bool {
	state, requests, limited := l.stateLines.dropped.Swap(0), l.requestLines.dropped.Swap(0), l.limited.Swap(0)
	if state+requests+limited == 0 {
		return false
	}
	l.Warn("log lines dropped", "lines", state+requests+limited, "stateLines", state, "requestLines", requests, "overQuota", limited)
	return true
}

// Close writes the queued lines and ends the writing goroutine. It waits for at
// most one second for the buffer and one more for the writer.
func (l *AsyncLogger) Close() {
	select {
	case l.stateLines.lines <- nil:
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
		l.limited.Add(1)
		return false
	}
	q.lines++
	return true
}
