// Package asserter checks invariants inside the running program.
//
// An invariant is a statement that must hold whatever fails around the
// process. A violation is always counted in a metric, so that operators can
// alert on it; in tests it panics, so that the run that broke it stops there.
//
// # Usage
//
//	asserter.That(next >= current, "versionMonotonic", "from %d to %d", current, next)
//
// The caller still has to refuse the step that would violate the invariant:
// in production That returns false and the caller keeps its old state.
package asserter

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

var violations atomic.Uint64

// Check reports whether the invariant called name holds. When it does not, the
// violation is counted, and a test binary panics with the formatted detail.
func Check(holds bool, name, format string, args ...any) bool {
	if holds {
		return true
	}
	violations.Add(1)
	metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeam_invariant_violations_total{name=%q}`, name)).Inc()
	if testing.Testing() {
		panic(fmt.Sprintf("invariant %s violated: %s", name, fmt.Sprintf(format, args...)))
	}
	return false
}

// Violations returns how many violations this process has counted.
func Violations() uint64 {
	return violations.Load()
}
