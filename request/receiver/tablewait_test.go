package receiver

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateRequestsWaitForNewTable guards against a retry that fails right after a
// restart of all processes, although targets announce themselves a moment later. It
// has a row for each position of the soft deadline.
func TestLateRequestsWaitForNewTable(t *testing.T) {
	now := time.Unix(100, 0)
	rows := []struct {
		name                string
		softDeadline, until time.Duration // softDeadline and until are relative to now.
	}{
		{"far in the future", time.Second, maxTableWait},
		{"soon", maxTableWait / 2, maxTableWait / 2},
		{"passed", -time.Second, maxTableWait},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tableWaitUntil(now, now.Add(row.softDeadline)).Sub(now), row.until)
		})
	}
}
