package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLongRequestsSayNothingOfShortOnes has requests of a long route in flight:
// none of them is out for longer than usual, so the target is not slow for a short
// one.
func TestLongRequestsSayNothingOfShortOnes(t *testing.T) {
	is := is.New(t)
	begun := time.Unix(100, 0)
	var f InFlight
	for range 6 {
		f.Begin(begun, 700*time.Millisecond)
	}
	now := begun.Add(600 * time.Millisecond)
	is.True(f.MinProcessingTime(now, 70*time.Millisecond) < 70*time.Millisecond)
	now = begun.Add(7 * time.Second) // ten times the usual: the target is slow for all
	is.Equal(f.MinProcessingTime(now, 70*time.Millisecond), 350*time.Millisecond)
	is.Equal(f.MinProcessingTime(now, 0), 3500*time.Millisecond) // nothing usual is known
}

// TestOneLongRequestSaysNothing shows that a single request may just be long.
func TestOneLongRequestSaysNothing(t *testing.T) {
	is := is.New(t)
	begun := time.Unix(100, 0)
	var f InFlight
	id := f.Begin(begun, 100*time.Millisecond)
	is.Equal(f.MinProcessingTime(begun.Add(time.Minute), 100*time.Millisecond), time.Duration(0))
	f.End(id)
	is.Equal(f.Len(), 0)
}
