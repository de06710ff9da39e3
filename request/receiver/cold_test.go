package receiver

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamrack/hornbeamrack/connection/registrar"
	"github.com/hornbeamrack/hornbeamrack/request/executor"
)

// observations records the observations of an owner node.
type observations struct {
	mu   sync.Mutex
	list []executor.Observation
}

// Observe implements executor.ObservationProvider.
func (o *observations) Observe(seen executor.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, seen)
}

// TestColdStartIsNoFault guards against a version that is blamed for a cold start.
// A target responds after the deadline: that counts as a failure of its version,
// unless the target has just started.
func TestColdStartIsNoFault(t *testing.T) {
	for _, cold := range []bool{true, false} {
		t.Run(fmt.Sprintf("cold %t", cold), func(t *testing.T) {
			is := is.New(t)
			a := newNode(t, "a", &claims{})
			seen := &observations{}
			a.executor.Observer = seen
			address, _ := listen(t, func(ctx *fasthttp.RequestCtx) { time.Sleep(300 * time.Millisecond) })
			until := time.Now().Add(-time.Second)
			if cold {
				until = time.Now().Add(time.Minute)
			}
			is.NoErr(a.targets.Announce(registrar.Announcement{Target: "t1", Service: "designs", Address: address, Slots: 4, Connections: 4, ColdUntil: &until}))
			publishTable(t, 1, a)
			got := call(t, a.entry, "POST", "/notes", "", "Hornbeam-Deadline", fmt.Sprint(time.Now().Add(120*time.Millisecond).UnixMilli()))
			is.Equal(got.reason, "deadline")
			failures := 0
			for _, o := range seen.list {
				if o.Failed {
					failures++
				}
			}
			is.Equal(failures == 0, cold)
		})
	}
}
