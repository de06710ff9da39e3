package reserver

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSpareSlotsFollowArrivals guards against too few reserved slots while new requests
// arrive, and against slots that stay reserved after the arrivals have ended.
func TestSpareSlotsFollowArrivals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	r := &Reserve{Slots: 9}
	first := r.SpareSlots(now)
	is.True(first > 0 && first < 9) // some are reserved at the start
	now = now.Add(time.Minute)
	is.Equal(r.SpareSlots(now), 9) // no arrivals for a minute
	for range 40 {
		now = now.Add(25 * time.Millisecond)
		r.RecordArrival(now, 200*time.Millisecond) // 40 requests a second of 0.2 s use 8 slots
	}
	is.True(r.SpareSlots(now) <= 2)
	is.True(r.SpareSlots(now) >= 0)
	now = now.Add(3 * time.Second)
	is.Equal(r.SpareSlots(now), 9) // the arrivals have ended
}
