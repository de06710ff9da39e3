package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	nodeMemory = nodeMemoryMB << 20
	// largeBody is the size of a body that maxBodyBytes allows.
	largeBody       = 48 << 20
	smallBody       = 4 << 10
	bodiesAtOnce    = 4
	bodyRounds      = 3
	memoryInterval  = 10 * time.Millisecond
	maxOwnEnds      = 3 // maxOwnEnds is the number of ends of one process that break the rule.
	machinesForRule = 2
)

// memory returns the memory of the process in bytes, without files that are mapped; 0 if
// it doesn't run.
func (x *machine) memory() int64 {
	x.mu.Lock()
	pid := 0
	if x.cmd != nil {
		pid = x.cmd.Process.Pid
	}
	x.mu.Unlock()
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(raw), "RssAnon:")
	fields := strings.Fields(rest)
	if !ok || len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// limitMemory kills the process of the machine each time that it uses more than limit, and
// starts it again, until ctx ends. It counts the kills.
func (x *machine) limitMemory(ctx context.Context, limit int64, kills *atomic.Int64, peak *atomic.Int64) {
	for ctx.Err() == nil {
		used := x.memory()
		if used > peak.Load() {
			peak.Store(used)
		}
		if used > limit {
			x.kill()
			kills.Add(1)
			x.mesh.rec.line("platform", "%s uses %d MB, more than %d MB: killed", x.name, used>>20, limit>>20)
			sleep(ctx, killRestartTime)
			if ctx.Err() == nil {
				_ = x.start(false)
			}
		}
		sleep(ctx, memoryInterval)
	}
}

// playLargeBodies plays clients that send a few bodies of a size that the configuration
// allows, at once. The platform kills a process that uses more than its memory.
//
// The rule Fault is broken if the processes of two machines end so three times each.
func playLargeBodies(rec *record, root string, trouble bool) (bool, error) {
	m, err := newMesh(rec, root, 3, []string{serviceName, serviceName, serviceName})
	if err != nil {
		return false, err
	}
	defer m.stopAll()
	if err := m.startAll(document(3, 16384, 5000)); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	kills, peaks := make([]atomic.Int64, len(m.nodes())), make([]atomic.Int64, len(m.nodes()))
	var watching sync.WaitGroup
	for i, side := range m.nodes() {
		s, err := newServer(rec, side, fmt.Sprintf("i-%d", i+1), version, 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer s.stop()
		go s.announce(ctx)
		go side.watchReadiness(ctx)
		watching.Add(1)
		go func() {
			defer watching.Done()
			side.limitMemory(ctx, nodeMemory, &kills[i], &peaks[i])
		}()
	}
	time.Sleep(3 * time.Second)
	size := smallBody
	if trouble {
		size = largeBody
	}
	body := string(bytes.Repeat([]byte("b"), size))
	var got answers
	for round := range bodyRounds {
		var clients sync.WaitGroup
		for _, side := range m.nodes() {
			if !until(5*time.Second, side.ready) {
				return false, fmt.Errorf("%s is not ready", side.name)
			}
			for range bodiesAtOnce {
				clients.Add(1)
				go func() {
					defer clients.Done()
					got.add(newClient(rec, side, hostName).send("POST", unsafePath+"x", nil, body, 5*time.Second))
				}()
			}
		}
		clients.Wait()
		rec.line("check", "round %d ended", round+1)
		time.Sleep(6 * time.Second)
	}
	cancel()
	watching.Wait()
	over := 0
	for i, side := range m.nodes() {
		rec.line("check", "%s: killed %d times, most memory %d MB of %d MB", side.name, kills[i].Load(), peaks[i].Load()>>20, nodeMemory>>20)
		if kills[i].Load() >= maxOwnEnds {
			over++
		}
	}
	rec.line("check", "%d of %d requests served; %d machines whose process ended %d times or more", got.count(func(a answer) bool { return a.status == 200 }), len(got.all()), over, maxOwnEnds)
	return over >= machinesForRule, nil
}
