package main

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	nodeMemory      = nodeMemoryMB << 20
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
