package receiver

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/request/meter"
	"github.com/hornbeamrack/hornbeamrack/request/router"
)

// TestLongQueueLooksNoFaster guards against a processing time that includes the wait
// for a slot, in either direction: every node would then send more requests to the
// target with the longest queue. The test fills the queue of a target and checks the
// processing time that the entry node expects of it.
func TestLongQueueLooksNoFaster(t *testing.T) {
	is := is.New(t)
	const processingTime = 20 * time.Millisecond
	a := newNode(t, "a", &claims{})
	address, _ := listen(t, func(ctx *fasthttp.RequestCtx) { time.Sleep(processingTime) })
	is.NoErr(a.targets.Announce(registrar.Announcement{Target: "t1", Service: "designs", Version: "v1", Address: address, Slots: 2, Connections: 4}))
	publishTable(t, 1, a)
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for n := range 4 {
				call(t, a.entry, "GET", fmt.Sprintf("/designs/%d", n), "")
			}
		})
	}
	callers.Wait()
	c, ok := a.receiver.Balancer.Pick(router.Query{Service: a.tables.Table().Service("designs"), Version: "v1", Route: "/designs"})
	is.True(ok)
	t.Logf("processing time %s", c.ProcessingTime)
	is.True(c.ProcessingTime >= processingTime)
	is.True(c.ProcessingTime < 3*processingTime)
}

// TestFullLinkSendsLargeAnswersElsewhere guards against large responses that queue at
// a host whose network link is full. One of two hosts has a link that carries one
// large response a second: after the first ones the requests go to the other host,
// and small responses still come from both.
func TestFullLinkSendsLargeAnswersElsewhere(t *testing.T) {
	is := is.New(t)
	const large = 64 << 10
	a, b, c := newNode(t, "a", &claims{}), newNode(t, "b", &claims{}), newNode(t, "c", &claims{})
	b.executor.Link = &meter.Link{BytesPerSecond: large}
	var ran [2]atomic.Int64
	for i, n := range []*node{b, c} {
		address, _ := listen(t, func(ctx *fasthttp.RequestCtx) {
			ran[i].Add(1)
			time.Sleep(10 * time.Millisecond)
			if string(ctx.Path()) != "/designs/small" {
				ctx.SetBody(make([]byte, large))
			}
		})
		is.NoErr(n.targets.Announce(registrar.Announcement{Target: "t" + n.name, Service: "designs", Version: "v1", Address: address, Slots: 4, Connections: 4}))
	}
	publishTable(t, 1, a, b, c)
	var callers sync.WaitGroup
	var succeeded atomic.Int64
	for range 8 {
		callers.Go(func() {
			for range 5 {
				if call(t, a.entry, "GET", "/designs/large", "").status == fasthttp.StatusOK {
					succeeded.Add(1)
				}
			}
		})
	}
	callers.Wait()
	is.Equal(succeeded.Load(), int64(40))
	t.Logf("requests at the full link %d, at the free link %d", ran[0].Load(), ran[1].Load())
	is.True(ran[0].Load() <= 6)                      // requests in flight before the first response showed its size
	is.Equal(ran[0].Load()+ran[1].Load(), int64(40)) // a rejected request reaches no target
}
