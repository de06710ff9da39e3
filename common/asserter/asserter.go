// Package asserter checks invariants inside the running program.
//
// An invariant is a condition that must hold regardless of failures around the
// process. Each violation is counted in the metric
// hornbeam_invariant_violations_total, so that operators can alert on it. In a
// test binary it also panics, so that the test stops at the violation.
//
// # Usage
//
//	asserter.Check(next >= current, "versionMonotonic", "from %d to %d", current, next)
//
// The caller must still reject the step that would violate the invariant:
// in production Check returns false and the caller keeps its previous state.
package asserter

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
)

// violations counts the violations in this process.
var violations atomic.Uint64

// Check returns holds. If holds is false, it counts a violation of the invariant
// called name, and in a test binary it panics with the formatted detail.
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

// Violations returns the number of violations counted in this process.
func Violations() uint64 {
	return violations.Load()
}
