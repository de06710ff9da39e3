package registrar

import (
	"errors"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// target returns an announcement of a target of the service designs.
func target(name string, startedAt int64, sequence uint64) Announcement {
	return Announcement{Target: name, Service: "designs", Address: "127.0.0.1:9", Slots: 4, StartedAt: startedAt, Sequence: sequence}
}

// names returns the names of the targets that accept new requests.
func names(r *Registrar) []string {
	list, _ := r.List()
	var out []string
	for _, a := range list {
		out = append(out, a.Target)
	}
	return out
}

// TestLateAnnouncementsChangeNothing guards against delayed announcements that bring
// back a target which left or was replaced. Each row is an order of arrival.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	leaving := target("t1", 100, 9)
	leaving.Leaving = true
	rows := []struct {
		name          string
		announcements []Announcement
		want          []string
	}{
		{"renewal after the leave", []Announcement{target("t1", 100, 8), leaving, target("t1", 100, 7)}, nil},
		{"higher sequence after the leave", []Announcement{leaving, target("t1", 100, 10)}, nil},
		{"leaving is the first announcement", []Announcement{leaving}, nil},
		{"new incarnation of the same name", []Announcement{leaving, target("t1", 200, 1)}, []string{"t1"}},
		{"earlier incarnation after the new one", []Announcement{target("t1", 200, 1), target("t1", 100, 50)}, []string{"t1"}},
		{"new target at the same address", []Announcement{target("t1", 100, 5), target("t2", 200, 1)}, []string{"t2"}},
		{"delayed announcement of the earlier target of an address", []Announcement{target("t2", 200, 1), target("t1", 100, 5)}, []string{"t2"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			r := &Registrar{}
			for _, a := range row.announcements {
				is.NoErr(r.Announce(a))
			}
			is.Equal(names(r), row.want)
		})
	}
}

// TestDepartedIncarnationStaysDeparted guards against a delayed announcement that
// brings back an incarnation which left, after the node has removed the target. Each
// row is a way in which the node can have no target when the announcement arrives.
func TestDepartedIncarnationStaysDeparted(t *testing.T) {
	rows := []struct {
		name string
		do   func(is *is.I, r *Registrar, now *time.Time)
	}{
		{"only the leave was received", func(is *is.I, r *Registrar, _ *time.Time) {
			is.True(r.MarkLeaving("t1", 100) != nil) // the node has no such target
		}},
		{"the target has been removed", func(is *is.I, r *Registrar, now *time.Time) {
			is.NoErr(r.Announce(target("t1", 100, 1)))
			is.NoErr(r.MarkLeaving("t1", 100))
			*now = now.Add(2 * LeaseDuration)
			r.ExpireLeases()
			_, ok := r.Find("t1")
			is.True(!ok)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := &Registrar{Now: func() time.Time { return now }}
			row.do(is, r, &now)
			is.NoErr(r.Announce(target("t1", 100, 7)))
			is.Equal(names(r), nil)
			is.NoErr(r.Announce(target("t1", 200, 1)))
			is.Equal(names(r), []string{"t1"}) // the next incarnation is accepted
		})
	}
}

// TestLeaveOfEarlierIncarnationIsIgnored guards against a delayed leave of an earlier
// incarnation that stops the current one.
func TestLeaveOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	r := &Registrar{}
	is.NoErr(r.Announce(target("t1", 200, 1)))
	is.NoErr(r.MarkLeaving("t1", 100)) // delayed leave of an earlier incarnation
	is.Equal(names(r), []string{"t1"})
	is.NoErr(r.MarkLeaving("t1", 0))
	is.Equal(names(r), nil)
}

// TestEndingTargetIsNotAlive guards against a crashed process that is taken for a
// running one. When the kernel ends a process, the connection breaks first, and the
// port accepts others for another 10 ms.
func TestEndingTargetIsNotAlive(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	target := &Target{Announcement: Announcement{Target: "t", Address: l.Addr().String()}}
	is.True(target.AliveAfterDisconnect())
	time.AfterFunc(10*time.Millisecond, func() { _ = l.Close() })
	is.True(!target.AliveAfterDisconnect())
}

// TestOddAnnouncementReplacesGoodTarget guards against an announcement of another writer
// that replaces or shuts out the target of the same name: an address that can't be
// dialled, or a start time that no later incarnation exceeds.
func TestOddAnnouncementReplacesGoodTarget(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	started := now.UnixMilli() - 1000
	farFuture := now.Add(365 * 24 * time.Hour)
	rows := []struct {
		name   string
		change func(a *Announcement)
	}{
		{"port above 65535", func(a *Announcement) { a.Address = "127.0.0.1:65536" }},
		{"port of five nines", func(a *Announcement) { a.Address = "127.0.0.1:99999" }},
		{"port beyond uint64", func(a *Announcement) { a.Address = "127.0.0.1:99999999999999999999999" }},
		{"port 0", func(a *Announcement) { a.Address = "127.0.0.1:0" }},
		{"negative port", func(a *Announcement) { a.Address = "127.0.0.1:-1" }},
		{"signed port", func(a *Announcement) { a.Address = "127.0.0.1:+80" }},
		{"no port", func(a *Announcement) { a.Address = "127.0.0.1:" }},
		{"name of a port", func(a *Announcement) { a.Address = "127.0.0.1:http" }},
		{"no IP", func(a *Announcement) { a.Address = ":8080" }},
		{"no address", func(a *Announcement) { a.Address = "" }},
		{"long address", func(a *Announcement) { a.Address = strings.Repeat("\xff", 1<<20) }},
		{"start in the far future", func(a *Announcement) { a.StartedAt = farFuture.UnixMilli() }},
		{"largest start", func(a *Announcement) { a.StartedAt = math.MaxInt64 }},
		{"negative start", func(a *Announcement) { a.StartedAt = -1 }},
		{"cold for a year", func(a *Announcement) { a.ColdUntil = &farFuture }},
		{"too many slots", func(a *Announcement) { a.Slots = math.MaxInt }},
		{"negative slots", func(a *Announcement) { a.Slots = -1 }},
		{"too many connections", func(a *Announcement) { a.Connections = math.MaxInt }},
		{"long service", func(a *Announcement) { a.Service = strings.Repeat("a", 1<<20) }},
		{"version that is not UTF-8", func(a *Announcement) { a.Version = "v\xff" }},
		{"control characters", func(a *Announcement) { a.Service = "designs\n" }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			r := &Registrar{Now: func() time.Time { return now }}
			is.NoErr(r.Announce(target("t1", started, 1)))
			odd := target("t1", started+1, 2)
			row.change(&odd)
			err := r.Announce(odd)
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Kind, KindInvalid)
			is.True(len(err.Error()) < 1000)
			odd.Leaving = true
			is.True(r.Announce(odd) != nil)
			is.Equal(names(r), []string{"t1"})
			is.NoErr(r.Announce(target("t1", started, 2))) // the target renews its lease
			stored, _ := r.Find("t1")
			is.Equal(stored.Address, "127.0.0.1:9")
			is.Equal(stored.Sequence, uint64(2))
		})
	}
}

// TestOddLeaveShutsOutTarget guards against a leave with a start time in the far future,
// after which no incarnation of the target is accepted.
func TestOddLeaveShutsOutTarget(t *testing.T) {
	is := is.New(t)
	r := &Registrar{}
	is.True(r.MarkLeaving("t1", math.MaxInt64) != nil)
	is.True(r.MarkLeaving("t1", -1) != nil)
	is.NoErr(r.Announce(target("t1", 200, 1)))
	is.Equal(names(r), []string{"t1"})
}

// TestClockSetBackLosesTarget guards against limits on start times that reject a target
// whose host has set its clock back.
func TestClockSetBackLosesTarget(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	r := &Registrar{Now: func() time.Time { return now }}
	is.NoErr(r.Announce(target("t1", now.Add(14*time.Hour).UnixMilli(), 1)))
	is.Equal(names(r), []string{"t1"})
}
