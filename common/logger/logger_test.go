package logger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestBlockedWriterDoesNotBlockCallers guards against callers that block when the
// output, such as a pipe, is not read. It logs five times as many lines as the
// buffer holds while the output blocks.
func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	l := New(blockedWriter{release}, "host-a", log.InfoLevel)
	done := make(chan struct{})
	go func() {
		for i := range 5 * bufferLines {
			l.Info("line", "i", i)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Info blocked while the output blocks")
	}
	is.True(l.stateLines.dropped.Load() > 0)
	close(release)
	l.Close()
}

// buffer is a writer for concurrent use whose contents a test reads after Close.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// TestKindsAreBounded guards against one kind of line that floods the log: AllowLine
// and SampleEvent limit the lines of each kind. A nil logger allows none.
func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	b := &buffer{}
	l := New(b, "host-a", log.InfoLevel)
	rejected, sampled := 0, 0
	for range 1000 {
		if l.AllowLine("rejected") {
			rejected++
		}
		if l.SampleEvent("sampled") {
			sampled++
		}
	}
	is.True(rejected >= maxLinesPerSecond && rejected < 200)
	is.True(sampled > 0 && sampled < 200)
	l.Info("last", "id", "x")
	l.Close()
	is.True(strings.Contains(b.b.String(), "process=host-a id=x"))
	var none *AsyncLogger
	is.True(!none.AllowLine("rejected") && !none.SampleEvent("sampled"))
}

// TestRequestLinesDropNoStateLine guards against lines on state changes that are lost
// among the lines on requests of a busy second: the output blocks while the lines of ten
// buffers on requests and then one on a state change are logged.
func TestRequestLinesDropNoStateLine(t *testing.T) {
	is := is.New(t)
	release, b := make(chan struct{}), &buffer{}
	l := New(gatedWriter{release, b}, "host-a", log.InfoLevel)
	for i := range 10 * bufferLines {
		l.Requests.Info("request", "i", i)
	}
	l.Info("state changed")
	close(release)
	l.Close()
	is.True(strings.Contains(b.b.String(), "state changed"))
	is.True(strings.Contains(b.b.String(), "msg=request"))
	is.True(strings.Contains(b.b.String(), "stateLines=0"))
	is.True(l.requestLines.dropped.Load() == 0) // all drops are reported
}

// gatedWriter passes lines on once gate is closed.
type gatedWriter struct {
	gate chan struct{}
	to   *buffer
}

func (w gatedWriter) Write(p []byte) (int, error) {
	<-w.gate
	return w.to.Write(p)
}
