package claimer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
)

var start = time.Unix(1_800_000_000, 0).UTC()

func newClaim(key, attempt string) Command {
	return Command{Key: key, Attempt: attempt, Action: ActionClaim, Lifetime: time.Hour}
}

// apply encodes a command as a node does, stamps it as a control host does and
// applies it to r.
func apply(t *testing.T, r *Registry, c Command, now time.Time) Result {
	t.Helper()
	raw, err := encoder.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	stamped, err := Stamp(raw, now)
	if err != nil {
		t.Fatal(err)
	}
	result, ok := r.Apply(1, stamped).(Result)
	if !ok {
		t.Fatal("no result")
	}
	return result
}

// TestWrongClockForgetsNothing guards against claims that expire early because a
// node's clock is wrong: a command with times a year ahead may not expire the
// claims of other keys.
func TestWrongClockForgetsNothing(t *testing.T) {
	is := is.New(t)
	r := &Registry{}
	is.Equal(apply(t, r, newClaim("deposit", "a"), start).Verdict, VerdictGranted)
	ahead := newClaim("other", "b")
	ahead.ProposedAt, ahead.ExpiresAt = start.AddDate(1, 0, 0), start.AddDate(1, 0, 1)
	is.Equal(apply(t, r, ahead, start.Add(time.Second)).Verdict, VerdictGranted)
	is.Equal(apply(t, r, newClaim("deposit", "c"), start.Add(2*time.Second)).Verdict, VerdictHeld)
}

// TestClaimLifecycle guards against a key whose request runs twice: a claim is
// granted to one attempt, settled, kept in a snapshot, released or expired, and the
// bound on the number of claims deletes none of them.
func TestClaimLifecycle(t *testing.T) {
	is := is.New(t)
	r := &Registry{MaxClaims: 2}
	is.Equal(apply(t, r, newClaim("k", "a"), start).Verdict, VerdictGranted)
	is.Equal(apply(t, r, newClaim("k", "a"), start).Verdict, VerdictGranted) // the same attempt, repeated
	is.Equal(apply(t, r, newClaim("k", "b"), start).Verdict, VerdictHeld)
	other := newClaim("k", "b")
	other.Fingerprint = 9
	is.Equal(apply(t, r, other, start).Verdict, VerdictMismatch)
	settle := Command{Key: "k", Attempt: "a", Action: ActionSettle, Response: &Response{Status: 200, Body: []byte("ok")}}
	is.Equal(apply(t, r, settle, start).Verdict, VerdictSettled)
	is.Equal(string(apply(t, r, newClaim("k", "b"), start).Response.Body), "ok")
	// A snapshot includes the responses.
	raw, err := r.Snapshot()
	is.NoErr(err)
	copied := &Registry{MaxClaims: 2}
	is.NoErr(copied.Restore(1, raw))
	is.Equal(apply(t, copied, newClaim("k", "b"), start).Verdict, VerdictSettled)
	// A full registry grants no claim and deletes none before it expires.
	is.Equal(apply(t, copied, newClaim("l", "a"), start).Verdict, VerdictGranted)
	is.Equal(apply(t, copied, newClaim("m", "a"), start).Verdict, VerdictFull)
	is.Equal(apply(t, copied, Command{Key: "l", Attempt: "a", Action: ActionRelease}, start).Verdict, Verdict(""))
	is.Equal(apply(t, copied, newClaim("m", "a"), start).Verdict, VerdictGranted)
	is.Equal(apply(t, copied, newClaim("k", "z"), start.Add(2*time.Hour)).Verdict, VerdictGranted)
}
