package translator

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// values returns header values as ParseNotice takes them.
func values(texts ...string) [][]byte {
	var out [][]byte
	for _, text := range texts {
		out = append(out, []byte(text))
	}
	return out
}

// TestOddRateLimitIsBelieved guards against a rate limit that is no decimal number and is
// taken for one, and against an error that quotes a long value in full.
func TestOddRateLimitIsBelieved(t *testing.T) {
	for _, text := range []string{"", " ", "-1", "+1", "1e3", "0x10", "inf", "Infinity", "NaN", "1,5", "1.2.3", ".", "1_000", "12 ", "12/s", "١", strings.Repeat("9", 1<<20)} {
		is := is.New(t)
		n := ParseNotice(values(text), nil)
		is.True(n.Err != nil)
		is.True(len(n.Err.Error()) < 200)
		is.Equal(n.RateLimit, RateLimit{})
	}
}

// TestParseNotice checks the accepted forms of both headers.
func TestParseNotice(t *testing.T) {
	for _, row := range []struct {
		limits, leaving [][]byte
		want            Notice
	}{
		{nil, nil, Notice{}},
		{values("24"), nil, Notice{RateLimit: RateLimit{true, 24}}},
		{values("0.05"), nil, Notice{RateLimit: RateLimit{true, 0.05}}},
		{values("0"), nil, Notice{RateLimit: RateLimit{Named: true}}},
		{values("6.8", "6.80"), nil, Notice{RateLimit: RateLimit{true, 6.8}}},
		{values(strings.Repeat("9", 30)), nil, Notice{RateLimit: RateLimit{true, maxRateLimit}}},
		{nil, values("1"), Notice{Leaving: true}},
		{values("3"), values("0", "1"), Notice{RateLimit: RateLimit{true, 3}, Leaving: true}},
		{nil, values("0"), Notice{}},
		{nil, values("yes"), Notice{}},
	} {
		is := is.New(t)
		is.Equal(ParseNotice(row.limits, row.leaving), row.want)
	}
}

// TestTwoRateLimitsAreOne guards against a response with two different limits of which
// one is believed. What else it states holds.
func TestTwoRateLimitsAreOne(t *testing.T) {
	is := is.New(t)
	n := ParseNotice(values("5", "50"), values("1"))
	is.True(n.Err != nil)
	is.Equal(n.RateLimit, RateLimit{})
	is.True(n.Leaving)
}
