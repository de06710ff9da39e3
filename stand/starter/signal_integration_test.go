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

// TestSignalsInSeriesCutNothing sends SIGHUP to a node while it serves, and
// again and again during its planned stop: it neither ends early nor cuts a
// request.
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
	l.end(t, "signals in series")
	is.Equal(l.broken.Load(), int64(0))
	is.Equal(l.unknown.Load(), int64(0))
	is.True(l.ran.Load() > 0)
}

// TestStoppingNodeServesOthersFirst stops the node beside the only target of a
// service: other nodes use the target for as long as the node waits for its
// own callers to leave.
func TestStoppingNodeServesOthersFirst(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3)
	_, err := m.StartTarget(m.Nodes[1], "only", "lonely", "v1")
	is.NoErr(err)
	lonely := strings.Replace(section, "routes:", "  - name: lonely\nroutes:\n  - {path: /lonely, methods: [GET], service: lonely}", 1)
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

// TestSignalsDuringTheStart holds a daemon at its settings, which come through a
// pipe, and signals it there: SIGHUP does not end it, and SIGTERM ends it in order.
func TestSignalsDuringTheStart(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 2)
	settings, err := os.ReadFile(m.Nodes[0].settings)
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
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // it opens once the daemon reads
	is.NoErr(err)
	is.NoErr(os.Rename(file, pipe)) // later reads, to see changes, find a file
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	_, err = w.Write(settings)
	is.NoErr(err)
	is.NoErr(w.Close())
	err = cmd.Wait()
	t.Log(out.String())
	is.NoErr(err)
}
