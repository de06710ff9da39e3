package starter

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSignalsInSeriesCutNothing guards against a SIGHUP that ends a node early, which
// would interrupt its requests. The node receives SIGHUP while it serves, and repeatedly
// during its planned stop; no request may fail or end with an unknown outcome.
func TestSignalsInSeriesCutNothing(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 2)
	l := &load{entries: []string{m.Nodes[0].EntryAddress}}
	l.start(4, "signals")
	n := m.Nodes[1]
	is.NoErr(n.Signal(syscall.SIGHUP))
	is.NoErr(n.Signal(syscall.SIGTERM))
	for n.Running() {
		_ = n.Signal(syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond)
	}
	is.NoErr(n.Stop())
	l.stopAndLog(t, "signals in series")
	is.Equal(l.failed.Load(), int64(0))
	is.Equal(l.unknown.Load(), int64(0))
	is.True(l.ran.Load() > 0)
}

// TestStoppingNodeServesOthersFirst guards against a node that stops forwarding requests
// of other nodes too early. It stops the node on the host of a service's only target:
// other nodes must reach the target through it for as long as it waits for its own
// callers to disconnect.
func TestStoppingNodeServesOthersFirst(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3)
	_, err := m.StartTarget(m.Nodes[1], "only", "lonely", "v1")
	is.NoErr(err)
	lonely := strings.Replace(designsSection, "routes:", "  - name: lonely\nroutes:\n  - {path: /lonely, methods: [GET], service: lonely}", 1)
	is.NoErr(m.EditSection("designs", lonely))
	url := "http://" + m.Nodes[0].EntryAddress + "/lonely"
	served := func() bool {
		status, _, err := Get(url)
		return err == nil && status == 200
	}
	is.NoErr(WaitUntil(t.Context(), 10*time.Second, "the target serves", served))
	begun := time.Now()
	is.NoErr(m.Nodes[1].Signal(syscall.SIGTERM))
	last := begun
	for m.Nodes[1].Running() {
		if served() {
			last = time.Now()
		}
	}
	t.Logf("the target served for %s of the stop", last.Sub(begun))
	is.True(last.Sub(begun) >= 900*time.Millisecond)
	is.NoErr(m.Nodes[1].Stop())
}

// TestSignalsDuringTheStart guards against signals that arrive before their handlers are
// installed. The daemon blocks while it reads its settings from a named pipe and is
// signalled there: SIGHUP must not end it, and SIGTERM must end it with exit code 0.
func TestSignalsDuringTheStart(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 2)
	settings, err := os.ReadFile(m.Nodes[0].settingsFile)
	is.NoErr(err)
	is.NoErr(m.Nodes[0].Stop())
	folder := t.TempDir()
	pipe, file := filepath.Join(folder, "settings.yaml"), filepath.Join(folder, "next.yaml")
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	is.NoErr(os.WriteFile(file, settings, 0o600))
	cmd := exec.Command(filepath.Join(m.ProgramFolder, "hornbeamd"), "run", "--settings", pipe)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	is.NoErr(cmd.Start())
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // blocks until the daemon opens the pipe for reading
	is.NoErr(err)
	is.NoErr(os.Rename(file, pipe)) // later reads, which check for changes, must not block
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	_, err = w.Write(settings)
	is.NoErr(err)
	is.NoErr(w.Close())
	err = cmd.Wait()
	t.Log(out.String())
	is.NoErr(err)
}
