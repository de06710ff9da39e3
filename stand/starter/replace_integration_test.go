package starter

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// promotions counts how often process i was made a voter of a group.
func (m *platformMesh) promotions(i int, control []*Node) int {
	n := 0
	for _, c := range control {
		for line := range strings.Lines(c.Log()) {
			if strings.Contains(line, "membership of the group changed") && strings.Contains(line, "action=promote") && strings.Contains(line, fmt.Sprintf("member=machine-%d ", i+1)) {
				n++
			}
		}
	}
	return n
}

// catchUpTime is the time after which the platform may take the next control host: its
// bound catchUpS.
const catchUpTime = 4 * time.Second

// TestReplacedHostsNeverJoin guards against a control host with an empty disk that never
// becomes a member once no host is left of those that the groups began with, and against a
// replaced host that is still a voter when the next one is lost. All first hosts are
// replaced in turn; then the disks of the new ones are lost, one after the other.
func TestReplacedHostsNeverJoin(t *testing.T) {
	is := is.New(t)
	m, control := newControlMesh(t, 6)
	number := 1
	for old := range 3 {
		added := old + 3
		m.seeds = []int{old, old + 1, old + 2}
		control = append(control, m.start(added, "control.yaml", false))
		m.awaitMember(added, control) // it stays a learner until the old one is gone
		is.NoErr(control[old].Signal(syscall.SIGTERM))
		time.Sleep(catchUpTime)
		is.Equal(m.promotions(added, control), 2)
		number++
		m.awaitDocument(added, number-1, number)
	}
	m.seeds = []int{3, 4, 5}
	running := map[int]*Node{3: control[3], 4: control[4], 5: control[5]}
	for _, lost := range []int{3, 4, 5, 3} {
		before := m.promotions(lost, control)
		running[lost].Kill()
		is.NoErr(os.RemoveAll(filepath.Join(m.Folder, fmt.Sprintf("data-%d", lost))))
		running[lost] = m.start(lost, "control.yaml", false)
		control = append(control, running[lost])
		time.Sleep(catchUpTime)
		is.Equal(m.promotions(lost, control), before+2)
		number++
		m.awaitDocument(lost, number-1, number)
	}
}

// awaitMember waits until process i is a member of both groups.
func (m *platformMesh) awaitMember(i int, control []*Node) {
	m.t.Helper()
	err := WaitUntil(m.t.Context(), readyTimeout, fmt.Sprintf("process %d is a member of both groups", i), func() bool {
		groups := 0
		for _, group := range []string{"config", "claims"} {
			for _, c := range control {
				if strings.Contains(c.Log(), "group="+group+" action=add member=machine-"+fmt.Sprint(i+1)+" ") {
					groups++
					break
				}
			}
		}
		return groups == 2
	})
	if err != nil {
		m.t.Fatal(err)
	}
}
