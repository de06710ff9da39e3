package claimer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hornbeamrack/hornbeamrack/common/encoder"
)

var start = time.Unix(1_800_000_000, 0).UTC()

func claimOf(key, attempt string) Command {
	return Command{Key: key, Attempt: attempt, Action: ActionClaim, Lifetime: time.Hour}
}

// run sends a command as a node encodes it through the stamp of a control host.
func run(t *testing.T, r *Registry, c Command, now time.Time) Result {
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

// TestWrongClockForgetsNothing lets a node claim with a clock that is a year
// ahead: no other key may be forgotten for it.
func TestWrongClockForgetsNothing(t *testing.T) {
	is := is.New(t)
	r := &Registry{}
	is.Equal(run(t, r, claimOf("deposit", "a"), start).Verdict, VerdictGranted)
	ahead := claimOf("other", "b")
	ahead.ProposedAt, ahead.ExpiresAt = start.AddDate(1, 0, 0), start.AddDate(1, 0, 1)
	is.Equal(run(t, r, ahead, start.Add(time.Second)).Verdict, VerdictGranted)
	is.Equal(run(t, r, claimOf("deposit", "c"), start.Add(2*time.Second)).Verdict, VerdictHeld)
}

func TestClaimLife(t *testing.T) {
	is := is.New(t)
	r := &Registry{MaxClaims: 2}
	is.Equal(run(t, r, claimOf("k", "a"), start).Verdict, VerdictGranted)
	is.Equal(run(t, r, claimOf("k", "a"), start).Verdict, VerdictGranted) // the same attempt, sent again
	is.Equal(run(t, r, claimOf("k", "b"), start).Verdict, VerdictHeld)
	other := claimOf("k", "b")
	other.Fingerprint = 9
	is.Equal(run(t, r, other, start).Verdict, VerdictMismatch)
	settle := Command{Key: "k", Attempt: "a", Action: ActionSettle, Response: &Response{Status: 200, Body: []byte("ok")}}
	is.Equal(run(t, r, settle, start).Verdict, VerdictSettled)
	is.Equal(string(run(t, r, claimOf("k", "b"), start).Response.Body), "ok")
	// The answers survive a snapshot.
	raw, err := r.Snapshot()
	is.NoErr(err)
	copied := &Registry{MaxClaims: 2}
	is.NoErr(copied.Restore(1, raw))
	is.Equal(run(t, copied, claimOf("k", "b"), start).Verdict, VerdictSettled)
	// A full register grants nothing and forgets nothing before its time.
	is.Equal(run(t, copied, claimOf("l", "a"), start).Verdict, VerdictGranted)
	is.Equal(run(t, copied, claimOf("m", "a"), start).Verdict, VerdictFull)
	is.Equal(run(t, copied, Command{Key: "l", Attempt: "a", Action: ActionRelease}, start).Verdict, Verdict(""))
	is.Equal(run(t, copied, claimOf("m", "a"), start).Verdict, VerdictGranted)
	is.Equal(run(t, copied, claimOf("k", "z"), start.Add(2*time.Hour)).Verdict, VerdictGranted)
}
