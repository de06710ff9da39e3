package reserver

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSpareFollowsWhatCame(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	r := &Reserve{Slots: 9}
	first := r.SpareSlots(now)
	is.True(first > 0 && first < 9) // at the start some are kept
	now = now.Add(time.Minute)
	is.Equal(r.SpareSlots(now), 9) // nothing came for long
	for range 40 {
		now = now.Add(25 * time.Millisecond)
		r.RecordArrival(now, 200*time.Millisecond) // 40 a second of 0.2 s keep 8 busy
	}
	is.True(r.SpareSlots(now) <= 2)
	is.True(r.SpareSlots(now) >= 0)
	now = now.Add(3 * time.Second)
	is.Equal(r.SpareSlots(now), 9) // they have stopped coming
}
