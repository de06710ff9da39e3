package receiver

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/request/router"
)

// TestLongQueueLooksNoFaster fills the queue of a target: what an entry node
// then believes of its speed must not hold the wait for a slot, in neither
// direction, or every node would send more to the target with the longest queue.
func TestLongQueueLooksNoFaster(t *testing.T) {
	is := is.New(t)
	const work = 20 * time.Millisecond
	a := newNode(t, "a", &claims{})
	address, _ := listen(t, func(ctx *fasthttp.RequestCtx) { time.Sleep(work) })
	is.NoErr(a.targets.Announce(registrar.Announcement{Target: "t1", Service: "designs", Version: "v1", Address: address, Slots: 2, Connections: 4}))
	put(t, 1, a)
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for n := range 4 {
				call(t, a.entry, "GET", fmt.Sprintf("/designs/%d", n), "")
			}
		})
	}
	callers.Wait()
	c, ok := a.receiver.Board.Pick(router.Query{Service: a.keeper.Table().Service("designs"), Version: "v1", Route: "/designs"})
	is.True(ok)
	t.Logf("usual %s", c.Usual)
	is.True(c.Usual >= work)
	is.True(c.Usual < 3*work)
}
