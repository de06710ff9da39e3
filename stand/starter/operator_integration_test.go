package starter

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// TestOperatorCommands goes through what operators type, and the exit codes
// that their scripts see.
func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 2)
	changed := section + "  - {path: /extra, methods: [GET], service: designs}\n"
	broken := strings.Replace(section, "service: designs", "service: desings", 1)
	rows := []struct {
		name, stdin string
		args        []string
		code        int
		out         string
	}{
		{"help has examples", "", []string{"section", "edit", "--help"}, 0, "Examples:"},
		{"no such command", "", []string{"sections"}, 2, ""},
		{"list", "", []string{"section", "list"}, 0, "in force"},
		{"show", "", []string{"section", "show", "designs"}, 0, "nonIdempotent: true"},
		{"validate", changed, []string{"section", "validate", "designs", "--file", "-"}, 0, "valid"},
		{"validate a fault", broken, []string{"section", "validate", "designs", "--file", "-"}, 4, `did you mean "designs"?`},
		{"diff", changed, []string{"section", "diff", "designs", "--file", "-"}, 0, "+  - {path: /extra"},
		{"edit", changed, []string{"section", "edit", "designs", "--file", "-", "--base", "1", "--edit-id", "e1"}, 0, "revision 2"},
		{"the same edit again", changed, []string{"section", "edit", "designs", "--file", "-", "--base", "1", "--edit-id", "e1"}, 0, "revision 2"},
		{"a late edit", section, []string{"section", "edit", "designs", "--file", "-", "--base", "1"}, 3, "the winner, by team designs"},
		{"a fault", broken, []string{"section", "edit", "designs", "--file", "-"}, 4, "designs:"},
		{"history", "", []string{"section", "history", "designs"}, 0, "e1"},
		{"an earlier revision", "", []string{"section", "show", "designs", "--revision", "1"}, 0, "previews"},
		{"retire", "", []string{"section", "retire", "designs"}, 0, "revision 3"},
		{"edit a retired one", section, []string{"section", "edit", "designs", "--file", "-"}, 4, "restore it first"},
		{"restore", "", []string{"section", "restore", "designs"}, 0, "revision 4"},
		{"show unknown", "", []string{"section", "show", "nothing"}, 4, "no section"},
		{"services", "", []string{"services"}, 0, "node-1/t1"},
		{"move to the unknown", "", []string{"move", "begin", "designs", "--to", "v9", "--deadline", "1h"}, 4, "no target"},
		{"move too soon", "", []string{"move", "begin", "designs", "--to", "v2", "--deadline", "5s"}, 4, "name a later deadline"},
		{"move without a time", "", []string{"move", "begin", "designs", "--to", "v2", "--deadline", "soon"}, 2, "neither a time"},
		{"cancel nothing", "", []string{"move", "cancel", "designs"}, 4, "no move"},
		{"events", "", []string{"events"}, 0, "sectionRestore"},
		{"status", "", []string{"status"}, 0, "leader"},
		{"wrong token", "", []string{"--token", "wrong", "status"}, 4, "no team"},
	}
	for _, row := range rows {
		out, code, err := m.RunClientWithInput([]byte(row.stdin), row.args...)
		is.NoErr(err)
		if code != row.code || !strings.Contains(out, row.out) {
			t.Fatalf("%s: code %d, want %d:\n%s", row.name, code, row.code, out)
		}
	}
	// A move that is cancelled.
	_, err := m.StartTarget(m.Nodes[1], "t3", "designs", "v2")
	is.NoErr(err)
	is.NoErr(WaitUntil(t.Context(), 10*time.Second, "move begun", func() bool {
		_, code, err := m.RunClient("move", "begin", "designs", "--to", "v2", "--deadline", "1h")
		return err == nil && code == 0
	}))
	_, code, err := m.RunClient("move", "cancel", "designs")
	is.NoErr(err)
	is.Equal(code, 0)
	_, code, err = m.RunClient("move", "watch", "designs")
	is.NoErr(err)
	is.Equal(code, 6)
	out, _, err := m.RunClient("--json", "move", "list")
	is.NoErr(err)
	is.True(json.Valid([]byte(out)))
	// Nobody answers.
	for _, c := range m.ControlHosts {
		c.Kill()
	}
	_, code, err = m.RunClient("section", "list")
	is.NoErr(err)
	is.Equal(code, 5)
	// Settings are checked without starting.
	file := filepath.Join(m.Folder, "wrong.yaml")
	is.NoErr(os.WriteFile(file, []byte("name: a\ndataCenter: b\n"), 0o600))
	text, err := exec.Command(filepath.Join(m.ProgramFolder, "hornbeamd"), "check", "--settings", file).CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(text), `wrong.yaml:2:1: unknown key "dataCenter"`))
}

// TestAnyProcessKilled kills each kind of process under deposits that their
// callers send again until they are answered: none runs twice, and none that
// was answered is missing.
func TestAnyProcessKilled(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, 3)
	_, err := m.StartTarget(m.Nodes[2], "t3", "designs", "v1", "--ledger", filepath.Join(m.Folder, "ledger"))
	is.NoErr(err)
	var mu sync.Mutex
	answered, undecided := map[string]bool{}, map[string]bool{}
	stop := make(chan struct{})
	var callers conc.WaitGroup
	for i := range 4 {
		callers.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
				}
				key, outcome := fmt.Sprintf("kill-%d-%d", i, k), ""
				for try := 0; outcome != "ran" && try < 6; try++ {
					_, outcome, _, _ = deposit(m.Nodes[(i+k+try)%3].EntryAddress, key)
				}
				mu.Lock()
				answered[key] = outcome == "ran"
				undecided[key] = outcome != "ran"
				mu.Unlock()
			}
		})
	}
	for i, p := range []*Process{m.Nodes[0].Process, m.ControlHosts[0].Process, m.Nodes[1].Process, m.ControlHosts[1].Process, m.ControlHosts[2].Process} {
		time.Sleep(400 * time.Millisecond)
		p.Kill()
		time.Sleep(300 * time.Millisecond)
		switch i {
		case 0, 2:
			is.NoErr(m.StartNode(m.Nodes[i/2]))
		default:
			c := m.ControlHosts[slices.IndexFunc(m.ControlHosts, func(c *ControlHost) bool { return c.Process == p })]
			is.NoErr(m.StartControlHost(c))
		}
		is.NoErr(p.WaitReady(t.Context()))
	}
	close(stop)
	callers.Wait()
	runs := map[string]int{}
	for _, key := range ledger(t, m) {
		runs[key]++
	}
	twice, missing, open := 0, 0, 0
	for key := range answered {
		switch {
		case runs[key] > 1:
			twice++
		case answered[key] && runs[key] == 0:
			missing++
		case undecided[key]:
			open++
		}
	}
	t.Logf("%d deposits, %d ran twice, %d answered but missing, %d undecided", len(answered), twice, missing, open)
	is.Equal(twice, 0)
	is.Equal(missing, 0)
	is.True(len(answered) > 100)
}
