// Package logger writes log lines without ever holding up who writes them.
//
// Lines go through a bounded buffer to one goroutine, which writes them. When
// the buffer is full, lines are dropped and counted, and a later line says how
// many. Lines that come with each request are bounded by kind; every tenth
// ordinary one is written, and refusals have a bound of their own.
//
// # Usage
//
//	j := logger.New(os.Stdout, "host-a", log.InfoLevel)
//	defer j.Close()
//	if j.Allowed("request refused") {
//		j.Warn("request refused", "id", id, "reason", reason)
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
	// linesPerSecond bounds the lines of one kind.
	linesPerSecond = 20
	// sampleEvery is the part of ordinary events that is written: one in so many.
	sampleEvery = 10
	// dropInterval is the least time between two lines on drops.
	dropInterval = time.Second
)

var droppedTotal = metrics.NewCounter("hornbeam_log_lines_dropped_total")

// AsyncLogger is safe for concurrent use. A nil AsyncLogger writes nothing that is
// bounded by kind.
type AsyncLogger struct {
	*log.Logger

	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	mu    sync.Mutex
	kinds map[string]*allowance
}

// allowance is what is left of a kind's lines in the second that began at since.
type allowance struct {
	since  time.Time
	used   int
	events int
}

// New starts a journal that writes lines of a level or above.
func New(out io.Writer, process string, level log.Level) *AsyncLogger {
	j := &AsyncLogger{out: out, lines: make(chan []byte, bufferLines), done: make(chan struct{}), kinds: map[string]*allowance{}}
	l := log.NewWithOptions(j, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter, Level: level})
	j.Logger = l.With("process", process)
	go j.run()
	return j
}

// Write takes in one line. It never blocks and never fails.
func (j *AsyncLogger) Write(line []byte) (int, error) {
	select {
	case j.lines <- append([]byte(nil), line...):
	default:
		droppedTotal.Inc()
		j.dropped.Add(1)
	}
	return len(line), nil
}

func (j *AsyncLogger) run() {
	defer close(j.done)
	var said time.Time // said is when drops were last reported.
	for line := range j.lines {
		if line == nil {
			return
		}
		if now := time.Now(); now.Sub(said) >= dropInterval {
			if n := j.dropped.Swap(0); n > 0 {
				said = now
				j.Warn("log lines dropped", "lines", n)
			}
		}
		if _, err := j.out.Write(line); err != nil {
			droppedTotal.Inc() // There is no other place to say so.
		}
	}
}

// Close writes what is waiting, for a second at the most.
func (j *AsyncLogger) Close() {
	select {
	case j.lines <- nil:
	case <-time.After(time.Second):
		return
	}
	select {
	case <-j.done:
	case <-time.After(time.Second):
	}
}

// AllowLine reports whether one more line of a kind may be written now.
func (j *AsyncLogger) AllowLine(kind string) bool {
	if j == nil {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.take(kind)
}

// SampleEvent reports whether an ordinary event of a kind is to be written.
func (j *AsyncLogger) SampleEvent(kind string) bool {
	if j == nil {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.kind(kind)
	a.events++
	return a.events%sampleEvery == 1 && j.take(kind)
}

func (j *AsyncLogger) kind(kind string) *allowance {
	a, ok := j.kinds[kind]
	if !ok {
		a = &allowance{}
		j.kinds[kind] = a
	}
	return a
}

func (j *AsyncLogger) take(kind string) bool {
	a := j.kind(kind)
	if now := time.Now(); now.Sub(a.since) > time.Second {
		a.since, a.used = now, 0
	}
	if a.used >= linesPerSecond {
		droppedTotal.Inc()
		j.dropped.Add(1)
		return false
	}
	a.used++
	return true
}
