package meter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLinkDelayIsItsBacklog guards against a wrong backlog: pending bytes that are not
// counted or not subtracted, sent bytes that do not queue up, and idle time that is
// credited to later transfers.
func TestLinkDelayIsItsBacklog(t *testing.T) {
	is := is.New(t)
	l := &Link{BytesPerSecond: 1000}
	now := time.Unix(100, 0)
	is.Equal(l.Delay(now), time.Duration(0))
	done := l.AddPending(500)
	is.Equal(l.Delay(now), 500*time.Millisecond) // pending bytes count
	done()
	l.RecordSent(now, 500)
	l.RecordSent(now, 1000)
	is.Equal(l.Delay(now), 1500*time.Millisecond)
	now = now.Add(time.Second)
	is.Equal(l.Delay(now), 500*time.Millisecond)
	now = now.Add(time.Hour)
	is.Equal(l.Delay(now), time.Duration(0)) // idle time gives no credit
	l.RecordSent(now, 100)
	is.Equal(l.Delay(now), 100*time.Millisecond)
}

// TestLinkWithoutRateHasNoDelay guards against delays, and panics, of hosts without a
// configured bandwidth.
func TestLinkWithoutRateHasNoDelay(t *testing.T) {
	is := is.New(t)
	for _, l := range []*Link{nil, {}} {
		l.AddPending(1 << 30)()
		l.RecordSent(time.Now(), 1<<30)
		is.Equal(l.Delay(time.Now()), time.Duration(0))
	}
}
