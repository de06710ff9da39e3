package receiver

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
)

// TestOwnerPicksTheTargetsIncarnation guards against requests that are lost, or that
// reach the wrong target, after a restart of all targets. The tables then still name
// the earlier incarnations, and the owner node must select the current one.
func TestOwnerPicksTheTargetsIncarnation(t *testing.T) {
	rows := []struct {
		name    string
		next    registrar.Announcement // next is the announcement with the same address after the restart.
		outcome string
	}{
		{"next incarnation", registrar.Announcement{Target: "t2", Service: "designs", Version: "v1"}, "ran"},
		{"another service", registrar.Announcement{Target: "t2", Service: "pictures", Version: "v1"}, "notRun"},
		{"another version", registrar.Announcement{Target: "t2", Service: "designs", Version: "v2"}, "notRun"},
		{"next incarnation that leaves", registrar.Announcement{Target: "t2", Service: "designs", Version: "v1", Leaving: true}, "notRun"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			a, b := newNode(t, "a", &claims{}), newNode(t, "b", &claims{})
			address, _ := listen(t, func(ctx *fasthttp.RequestCtx) { fmt.Fprint(ctx, "ok") })
			announced := registrar.Announcement{Target: "t1", Service: "designs", Version: "v1", Address: address, Slots: 4, Connections: 4, StartedAt: 100}
			is.NoErr(b.targets.Announce(announced))
			publishTable(t, 1, a, b)
			row.next.Address, row.next.Slots, row.next.Connections, row.next.StartedAt = address, 4, 4, 200
			is.NoErr(b.targets.Announce(row.next))
			got := call(t, a.entry, "GET", "/designs/7", "")
			is.Equal(got.outcome, row.outcome)
		})
	}
}
