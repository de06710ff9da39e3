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
	is.True(l.dropped.Load() > 0)
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
