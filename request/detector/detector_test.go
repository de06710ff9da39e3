package detector

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOverloadIsDetectedAndEnds guards against an overload that is not detected, that is
// detected on too little evidence, or that does not end. Each row is a load on a target
// with widely different processing times.
func TestOverloadIsDetectedAndEnds(t *testing.T) {
	rows := []struct {
		name         string
		served, late int           // served and late are counted at the same moment.
		after        time.Duration // after is the time until Overloaded is called.
		overloaded   bool
	}{
		{"no requests", 0, 0, 0, false},
		{"one late request alone", 0, 1, 0, false},
		{"a few of many late", 30, 3, 0, false},
		{"half of them late", 10, 10, 0, true},
		{"all of them late", 0, 5, 0, true},
		{"half of them late, long ago", 10, 10, 10 * decayTime, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			o, now := &Overload{}, time.Unix(100, 0)
			for i := range 2 * slowShareSamples {
				o.RecordProcessingTime(time.Second, time.Second*time.Duration(1+i%2)) // processing times differ widely
			}
			for range row.served {
				o.RecordServed(now)
			}
			o.RecordLate(now, row.late)
			is.Equal(o.Overloaded(now.Add(row.after)), row.overloaded)
		})
	}
}

// TestEvenProcessingTimesAreNoOverload guards against an overload that is reported for a
// target whose processing times are as expected: half of its requests are late, but the
// order of soft deadlines is the best one there.
func TestEvenProcessingTimesAreNoOverload(t *testing.T) {
	is := is.New(t)
	o, now := &Overload{}, time.Unix(100, 0)
	for i := range 4 * slowShareSamples {
		o.RecordProcessingTime(time.Second, time.Second*time.Duration(7+i%7)/10) // 0.7 to 1.3 times the expected
	}
	for range 10 {
		o.RecordServed(now)
		o.RecordLate(now, 1)
	}
	is.True(!o.Overloaded(now))
}
