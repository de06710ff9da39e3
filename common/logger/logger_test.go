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

// stuck is a reader that has stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStuckReaderHoldsNobody writes far more lines than the buffer takes while
// nobody reads.
func TestStuckReaderHoldsNobody(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	j := New(stuck{release}, "host-a", log.InfoLevel)
	done := make(chan struct{})
	go func() {
		for i := range 5 * bufferLines {
			j.Info("line", "i", i)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a writer was held up")
	}
	is.True(j.dropped.Load() > 0)
	close(release)
	j.Close()
}

// buffer is a writer that tests may read.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func TestKindsAreBounded(t *testing.T) {
	is := is.New(t)
	b := &buffer{}
	j := New(b, "host-a", log.InfoLevel)
	refused, answered := 0, 0
	for range 1000 {
		if j.AllowLine("refused") {
			refused++
		}
		if j.SampleEvent("answered") {
			answered++
		}
	}
	is.True(refused >= linesPerSecond && refused < 200)
	is.True(answered > 0 && answered < 200)
	j.Info("last", "id", "x")
	j.Close()
	is.True(strings.Contains(b.b.String(), "process=host-a id=x"))
	var none *AsyncLogger
	is.True(!none.AllowLine("refused") && !none.SampleEvent("answered"))
}
