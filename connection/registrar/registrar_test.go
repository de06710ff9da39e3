package registrar

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func target(name string, startedAt int64, sequence uint64) Announcement {
	return Announcement{Target: name, Service: "designs", Address: "127.0.0.1:9", Slots: 4, StartedAt: startedAt, Sequence: sequence}
}

func names(r *Registrar) []string {
	list, _ := r.List()
	var out []string
	for _, a := range list {
		out = append(out, a.Target)
	}
	return out
}

// TestLateAnnouncementsChangeNothing has a row for each order in which what a
// target says may arrive.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	leaving := target("t1", 100, 9)
	leaving.Leaving = true
	rows := []struct {
		name string
		said []Announcement
		want []string
	}{
		{"renewal after the leave", []Announcement{target("t1", 100, 8), leaving, target("t1", 100, 7)}, nil},
		{"counted on after the leave", []Announcement{leaving, target("t1", 100, 10)}, nil},
		{"leaving is the first that is heard", []Announcement{leaving}, nil},
		{"new life under the same name", []Announcement{leaving, target("t1", 200, 1)}, []string{"t1"}},
		{"earlier life after the new one", []Announcement{target("t1", 200, 1), target("t1", 100, 50)}, []string{"t1"}},
		{"address taken over", []Announcement{target("t1", 100, 5), target("t2", 200, 1)}, []string{"t2"}},
		{"late word of the address's earlier target", []Announcement{target("t2", 200, 1), target("t1", 100, 5)}, []string{"t2"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			r := &Registrar{}
			for _, a := range row.said {
				is.NoErr(r.Announce(a))
			}
			is.Equal(names(r), row.want)
		})
	}
}

// TestLeftLifeStaysLeft has a row for each way in which a node can have
// forgotten a target when its late word comes.
func TestLeftLifeStaysLeft(t *testing.T) {
	rows := []struct {
		name string
		do   func(is *is.I, r *Registrar, now *time.Time)
	}{
		{"the leave was all that was heard", func(is *is.I, r *Registrar, _ *time.Time) {
			is.True(r.Leave("t1", 100) != nil) // the target is not known
		}},
		{"the target was forgotten since", func(is *is.I, r *Registrar, now *time.Time) {
			is.NoErr(r.Announce(target("t1", 100, 1)))
			is.NoErr(r.Leave("t1", 100))
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
			is.Equal(names(r), []string{"t1"}) // the next life is another
		})
	}
}

func TestLeaveNamesALife(t *testing.T) {
	is := is.New(t)
	r := &Registrar{}
	is.NoErr(r.Announce(target("t1", 200, 1)))
	is.NoErr(r.Leave("t1", 100)) // an earlier life's leave comes late
	is.Equal(names(r), []string{"t1"})
	is.NoErr(r.Leave("t1", 0))
	is.Equal(names(r), nil)
}

// TestDyingTargetDidNotSurvive lets a process die as the kernel ends it: the
// connection breaks first, and the port accepts others for another 10 ms.
func TestDyingTargetDidNotSurvive(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	target := &Target{Announcement: Announcement{Target: "t", Address: l.Addr().String()}}
	is.True(target.AliveAfterDisconnect())
	time.AfterFunc(10*time.Millisecond, func() { _ = l.Close() })
	is.True(!target.AliveAfterDisconnect())
}
