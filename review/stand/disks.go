package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// diskLosses is the number of control hosts that lose their disks, one after the other.
	diskLosses = 4
	// downTime is how long such a host is down, and calmTime the time from its start to the
	// next loss. The pages ask for catchUpS, 4 s.
	downTime = 2 * time.Second
	calmTime = 9 * time.Second
	// recoveryTime is recoveryS of the pages.
	recoveryTime = 15 * time.Second
)

// playLostDisks plays control hosts that lose their disks in turn, each long after the
// one before has caught up. A configuration is acknowledged before each loss. In the end
// the operator reads the configuration back.
//
// The rule CONFIG is broken if the newest acknowledged version doesn't come.
func playLostDisks(rec *record, root string, trouble bool) (bool, error) {
	m, err := newMesh(rec, root, 3, []string{serviceName})
	if err != nil {
		return false, err
	}
	defer m.stopAll()
	number := 3
	if err := m.startAll(document(number, 16384, 1000)); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := newServer(rec, m.nodes()[0], "i-1", version, 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer s.stop()
	go s.announce(ctx)
	newest := number
	for i := range diskLosses {
		next := number + 2*(i+1)
		if m.put(newest, document(next, 16384, 1000+i), ackTime) {
			newest = next
		}
		x := m.controls()[i%len(m.controls())]
		if trouble {
			x.kill()
			if err := os.RemoveAll(filepath.Join(m.folder, "data-"+x.name)); err != nil {
				return false, err
			}
			rec.line("platform", "%s has lost power and its disk; acknowledged: r%d", x.name, newest)
			time.Sleep(downTime)
			if err := x.start(false); err != nil {
				return false, err
			}
		}
		time.Sleep(calmTime)
	}
	time.Sleep(recoveryTime - calmTime)
	return !m.readBack(newest), nil
}

// readBack reads the configuration at all control hosts for at least contactTime, and
// reports whether the newest acknowledged one came.
func (m *mesh) readBack(newest int) bool {
	want := fmt.Sprintf(`"version":"r%d"`, newest)
	found := false
	for begun, i := time.Now(), 0; time.Since(begun) < 2*contactTime || i < 2*m.seeds; i++ {
		x := m.controls()[i%m.seeds]
		status, body := call("GET", "http://"+x.address(controlPort)+"/hornbeamrack/config/get", nil, "")
		m.rec.line("operator", "configuration read at %s: status %d %.90s", x.name, status, body)
		found = found || status == 200 && strings.Contains(body, want)
		time.Sleep(200 * time.Millisecond)
	}
	m.rec.line("check", "newest acknowledged: r%d; it came: %v", newest, found)
	return found
}
