package detector

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCrowdIsSeenAndForgotten has a row for each kind of time at a target.
func TestCrowdIsSeenAndForgotten(t *testing.T) {
	rows := []struct {
		name         string
		served, lost int           // served and lost are events of one moment.
		after        time.Duration // after is when the question comes.
		crowded      bool
	}{
		{"nothing came", 0, 0, 0, false},
		{"one request alone", 0, 1, 0, false},
		{"a few of many", 30, 3, 0, false},
		{"half of them", 10, 10, 0, true},
		{"all of them", 0, 5, 0, true},
		{"half of them, long ago", 10, 10, 10 * memory, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c, now := &Overload{}, time.Unix(100, 0)
			for i := range 2 * workMemory {
				c.RecordProcessingTime(time.Second, time.Second*time.Duration(1+i%2)) // work differs widely
			}
			for range row.served {
				c.RecordServed(now)
			}
			c.RecordLate(now, row.lost)
			is.Equal(c.Overloaded(now.Add(row.after)), row.crowded)
		})
	}
}

// TestEvenWorkMakesNoCrowd loses half of the requests at a target that works as
// long as is expected on each.
func TestEvenWorkMakesNoCrowd(t *testing.T) {
	is := is.New(t)
	c, now := &Overload{}, time.Unix(100, 0)
	for i := range 4 * workMemory {
		c.RecordProcessingTime(time.Second, time.Second*time.Duration(7+i%7)/10) // 0.7 to 1.3 times
	}
	for range 10 {
		c.RecordServed(now)
		c.RecordLate(now, 1)
	}
	is.True(!c.Overloaded(now))
}
