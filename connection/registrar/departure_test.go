package registrar

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// targetAt returns an announcement of a target at an address of its own.
func targetAt(name string, startedAt int64, sequence uint64) Announcement {
	a := target(name, startedAt, sequence)
	a.Address = "127.0.0.1:1" + name[1:]
	return a
}

// isUnconfirmed reports whether a leave may not be acknowledged yet.
func isUnconfirmed(r *Registrar, name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	var e *Error
	return errors.As(r.AwaitDeparture(ctx, name), &e) && e.Kind == KindUnconfirmed
}

// TestLeaveIsAcknowledgedTooEarly guards against a leave that is acknowledged while only
// this process knows it.
func TestLeaveIsAcknowledgedTooEarly(t *testing.T) {
	is := is.New(t)
	r := &Registrar{}
	is.NoErr(r.Announce(targetAt("t1", 100, 1)))
	is.NoErr(r.Announce(targetAt("t2", 100, 1)))
	is.True(!isUnconfirmed(r, "t1")) // it does not leave
	is.NoErr(r.MarkLeaving("t1", 0))
	drains := targetAt("t2", 100, 2)
	drains.Leaving = true
	is.NoErr(r.Announce(drains))
	is.True(isUnconfirmed(r, "t1"))
	is.True(isUnconfirmed(r, "t2"))
	sent := r.UnconfirmedDepartures()
	is.Equal(len(sent), 2)

	is.NoErr(r.Announce(targetAt("t2", 200, 1)))
	is.NoErr(r.MarkLeaving("t2", 0)) // a later incarnation leaves while the first record is on its way
	r.ConfirmDepartures(sent)
	is.True(!isUnconfirmed(r, "t1"))
	is.True(isUnconfirmed(r, "t2"))
	r.ConfirmDepartures(r.UnconfirmedDepartures())
	is.True(!isUnconfirmed(r, "t2"))
	is.Equal(len(r.UnconfirmedDepartures()), 0)
}

// TestRestoredDepartureIsForgotten guards against a delayed announcement that brings back a
// target which left before this process started, whichever of the two comes first.
func TestRestoredDepartureIsForgotten(t *testing.T) {
	for _, restoredFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("restoredFirst=", restoredFirst), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(10_000, 0)
			r := &Registrar{Now: func() time.Time { return now }}
			list := []Departure{{Target: "t1", StartedAt: 100, ExpiresAt: now.Add(time.Minute)}, {Target: "t2", StartedAt: 100, ExpiresAt: now}}
			if restoredFirst {
				r.RestoreDepartures(list)
			}
			is.NoErr(r.Announce(targetAt("t1", 100, 7)))
			is.NoErr(r.Announce(targetAt("t2", 100, 7)))
			is.NoErr(r.Announce(targetAt("t3", 100, 7)))
			r.RestoreDepartures(list)
			is.Equal(names(r), []string{"t2", "t3"}) // the record of t2 has expired
			is.Equal(len(r.UnconfirmedDepartures()), 0)
			is.NoErr(r.Announce(targetAt("t1", 200, 1)))
			is.Equal(names(r), []string{"t1", "t2", "t3"}) // a later incarnation serves
		})
	}
}

// TestLeaveOfUnknownTargetIsLost guards against a leave without a start time that is
// acknowledged and not recorded, since this process has not heard of its target.
func TestLeaveOfUnknownTargetIsLost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(10_000, 0)
	r := &Registrar{Now: func() time.Time { return now }}
	is.True(r.MarkLeaving("t1", 0) != nil) // unknown
	is.Equal(len(r.UnconfirmedDepartures()), 1)
	is.NoErr(r.Announce(targetAt("t1", now.UnixMilli()-5_000, 7)))
	is.Equal(names(r), nil)
	is.NoErr(r.Announce(targetAt("t1", now.UnixMilli()+1, 1)))
	is.Equal(names(r), []string{"t1"})

	is.True(r.MarkLeaving("t2", 0) != nil)
	is.NoErr(r.Announce(targetAt("t2", 0, 0))) // nothing tells its incarnations apart
	is.Equal(names(r), []string{"t1", "t2"})

	is.True(r.MarkLeaving("t3", 0) != nil)
	now = now.Add(unnamedRetention + time.Second)
	r.ExpireLeases()
	is.NoErr(r.Announce(targetAt("t3", 9_000_000, 1))) // a wrong clock does not keep it out for longer
	is.True(len(names(r)) > 0)
}

// TestLeaveOfLaterIncarnationIsLost guards against a leave that names a later incarnation
// than the one which this process knows, and of which only the earlier one is recorded.
func TestLeaveOfLaterIncarnationIsLost(t *testing.T) {
	is := is.New(t)
	r := &Registrar{}
	is.NoErr(r.Announce(targetAt("t1", 100, 1)))
	is.NoErr(r.MarkLeaving("t1", 200))
	is.Equal(r.UnconfirmedDepartures()[0].StartedAt, int64(200))
}
