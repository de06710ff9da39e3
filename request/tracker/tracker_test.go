package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLongRequestsDoNotSlowShortOnes guards against a target that counts as slow for
// short requests because of requests of a long route: none of these is in flight for
// longer than expected.
func TestLongRequestsDoNotSlowShortOnes(t *testing.T) {
	is := is.New(t)
	startedAt := time.Unix(100, 0)
	var f InFlight
	for range 6 {
		f.Begin(startedAt, 700*time.Millisecond)
	}
	now := startedAt.Add(600 * time.Millisecond)
	is.True(f.MinProcessingTime(now, 70*time.Millisecond) < 70*time.Millisecond)
	now = startedAt.Add(7 * time.Second) // ten times the expected: the target is slow for all
	is.Equal(f.MinProcessingTime(now, 70*time.Millisecond), 350*time.Millisecond)
	is.Equal(f.MinProcessingTime(now, 0), 3500*time.Millisecond) // the expected time is unknown
}

// TestOneLongRequestIsIgnored guards against a target that counts as slow because of a
// single request, which may be unusually long.
func TestOneLongRequestIsIgnored(t *testing.T) {
	is := is.New(t)
	startedAt := time.Unix(100, 0)
	var f InFlight
	id := f.Begin(startedAt, 100*time.Millisecond)
	is.Equal(f.MinProcessingTime(startedAt.Add(time.Minute), 100*time.Millisecond), time.Duration(0))
	f.End(id)
	is.Equal(f.Len(), 0)
}
