package claimer

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
)

// TestNodeLifetimeHasNoBound guards against claims that stay for centuries, or expire at
// once so that a request runs twice, because a node sent such a lifetime.
func TestNodeLifetimeHasNoBound(t *testing.T) {
	for _, lifetime := range []time.Duration{math.MaxInt64, math.MinInt64, -time.Hour, 0} {
		is := is.New(t)
		r := &Registry{}
		c := newClaim("deposits\x00k", "a")
		c.Lifetime = lifetime
		is.Equal(apply(t, r, c, start).Verdict, VerdictGranted)
		is.Equal(apply(t, r, newClaim("deposits\x00k", "b"), start.Add(time.Hour)).Verdict, VerdictHeld)
		is.Equal(apply(t, r, newClaim("deposits\x00k", "c"), start.Add(MaxLifetime+time.Second)).Verdict, VerdictGranted)
	}
}

// TestLongKeyIsGranted guards against a key, or the id of an attempt, of a megabyte in the
// replicated state.
func TestLongKeyIsGranted(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("k", 1<<20)
	for _, c := range []Command{newClaim("deposits\x00"+long, "a"), newClaim(long+"\x00k", "a"), newClaim(long, "a"), newClaim("deposits\x00k", long)} {
		b, err := encoder.Marshal(c)
		is.NoErr(err)
		_, err = Stamp(b, start)
		is.True(err != nil)
	}
	b, err := encoder.Marshal(newClaim(strings.Repeat("s", 300)+"\x00"+long[:MaxKeyBytes], "a"))
	is.NoErr(err)
	_, err = Stamp(b, start)
	is.NoErr(err)
}

// TestLongResponseIsStored guards against a response of a megabyte in the replicated state,
// and against a claim that is not settled because of it.
func TestLongResponseIsStored(t *testing.T) {
	is := is.New(t)
	r := &Registry{}
	is.Equal(apply(t, r, newClaim("k", "a"), start).Verdict, VerdictGranted)
	settle := Command{Key: "k", Attempt: "a", Action: ActionSettle, Response: &Response{Status: 200, Body: make([]byte, 1<<20)}}
	is.Equal(apply(t, r, settle, start), Result{Verdict: VerdictSettled, Response: &Response{Status: 200, Truncated: true}})
}
