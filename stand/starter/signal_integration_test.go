package starter

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSignalsInSeriesCutNothing sends SIGHUP to a node while it serves, and
// again and again during its planned stop: it neither ends early nor cuts a
// request.
func TestSignalsInSeriesCutNothing(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 2)
	l := &load{entries: []string{m.Node[0].Entry}}
	l.start(4, "signals")
	n := m.Node[1]
	is.NoErr(n.Signal(syscall.SIGHUP))
	is.NoErr(n.Signal(syscall.SIGTERM))
	for n.Running() {
		_ = n.Signal(syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond)
	}
	is.NoErr(n.Stop())
	l.end(t, "signals in series")
	is.Equal(l.broken.Load(), int64(0))
	is.Equal(l.unknown.Load(), int64(0))
	is.True(l.ran.Load() > 0)
}
