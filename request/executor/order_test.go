package executor

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/request/translator"
)

// testOrder returns an order with a value in each field.
func testOrder(now time.Time) Order {
	return Order{
		RequestID: "id;1", AttemptID: "a1", Target: "t1", Service: "designs", Version: "v1", Route: "/designs?é", Unsafe: true, Rank: -3, Origin: "o",
		Deadline: now.Add(200 * 365 * 24 * time.Hour), QueueDeadline: now.Add(-time.Second), SoftDeadline: now.Add(time.Second), ProcessingTime: time.Millisecond, NoWait: true,
	}
}

// withField returns a header value with the field at index i replaced.
func withField(value string, i int, field string) string {
	f := strings.Split(value, ";")
	f[i] = field
	return strings.Join(f, ";")
}

// oddNumbers are texts that aren't a number of microseconds, or one beyond all deadlines.
var oddNumbers = []string{"", "x", "1.5", "1e3", "NaN", "inf", "-", "0x10", "99999999999999999999", "9223372036854775807", "-9223372036854775808", "9223372036854776", strings.Repeat("9", 10_000), "[[["}

// TestOddOrderMovesDeadline guards against an order whose times overflow, so that a
// request runs without a deadline or is rejected although it has time left.
func TestOddOrderMovesDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	value := testOrder(now).Encode(now)
	o, err := DecodeOrder(value, now)
	is.NoErr(err)
	is.Equal(o, testOrder(now))
	for _, i := range []int{7, 8, 10, 12} {
		for _, odd := range oddNumbers {
			if _, err := DecodeOrder(withField(value, i, odd), now); err == nil {
				t.Errorf("field %d of %.30q is accepted", i, odd)
			}
		}
	}
	for _, odd := range []string{"%zz", "%"} {
		_, err := DecodeOrder(withField(value, 1, odd), now)
		is.True(err != nil)
	}
	for _, odd := range []string{"", ";", value + ";", strings.Repeat(";", 1<<20)} {
		_, err := DecodeOrder(odd, now)
		is.True(err != nil)
	}
}

// TestOddLoadReportIsValid guards against a load report that makes a target look free for
// years, or busy.
func TestOddLoadReportIsValid(t *testing.T) {
	is := is.New(t)
	l := translator.LoadReport{Valid: true, RequestCount: 3, ExpectedWait: time.Second, ProcessingTime: time.Millisecond, LinkBacklog: time.Microsecond}
	value := encodeLoad(l)
	is.Equal(decodeLoad(value), l)
	for i := range loadFieldCount {
		for _, odd := range append([]string{"-1", strconv.Itoa(math.MinInt64)}, oddNumbers...) {
			if i == 0 && (odd == "9223372036854775807" || odd == "9223372036854776") {
				continue // a count can have this value
			}
			if decodeLoad(withField(value, i, odd)).Valid {
				t.Errorf("field %d of %.30q is valid", i, odd)
			}
		}
	}
	is.True(!decodeLoad(value + ";1").Valid)
	is.True(!decodeLoad("").Valid)
}

// FuzzDecodeOrder checks that no header panics, and that the times of an accepted order
// are near.
func FuzzDecodeOrder(f *testing.F) {
	now := time.Unix(1_800_000_000, 0)
	f.Add(testOrder(now).Encode(now))
	f.Add(strings.Repeat("1;", 14) + "1")
	f.Fuzz(func(t *testing.T, value string) {
		if l := decodeLoad(value); l.Valid && (l.ExpectedWait < 0 || l.ProcessingTime < 0 || l.LinkBacklog < 0 || l.RequestCount < 0) {
			t.Fatalf("%+v", l)
		}
		o, err := DecodeOrder(value, now)
		if err != nil {
			return
		}
		for _, at := range []time.Time{o.Deadline, o.QueueDeadline, o.SoftDeadline} {
			if next, err := DecodeOrder(o.Encode(now), now); err != nil || at.Year() < 1 || !next.Deadline.Equal(o.Deadline) {
				t.Fatalf("%+v %+v %v", o, next, err)
			}
		}
	})
}
